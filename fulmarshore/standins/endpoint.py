"""A health or load endpoint of an upstream that sends a preset HTTP answer."""

from __future__ import annotations

import asyncio

from fulmarshore.core.records import Address

END_OF_HEAD = b"\r\n\r\n"


class StandInEndpoint:
    """Answers every request with a preset status and body.

    Parameters
    ----------
    status : int
        Status of the answers.
    body : bytes
        Body of the answers.
    delay_s : float
        Delay of each answer, in seconds.
    byte_interval_s : float
        Time between two bytes of the body, in seconds; 0 sends it at once.
    """

    def __init__(
        self,
        status: int = 200,
        body: bytes = b"ok",
        delay_s: float = 0.0,
        byte_interval_s: float = 0.0,
    ) -> None:
        self.status = status
        self.body = body
        self.delay_s = delay_s
        self.byte_interval_s = byte_interval_s
        self.asked = 0
        self.active_requests = 0
        self.max_active_requests = 0
        self.address: Address | None = None
        self._server: asyncio.Server | None = None

    @property
    def url(self) -> str:
        """URL of the endpoint."""
        return f"http://{self.address.host}:{self.address.port}/state"

    async def open(self) -> None:
        """Start the server on a free port."""
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop the server."""
        self._server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.asked += 1
        self.active_requests += 1
        self.max_active_requests = max(self.max_active_requests, self.active_requests)
        try:
            await reader.readuntil(END_OF_HEAD)
            await asyncio.sleep(self.delay_s)
            head = f"HTTP/1.1 {self.status} -\r\nconnection: close\r\n"
            head += f"content-length: {len(self.body)}\r\n\r\n"
            writer.write(head.encode())
            await self._send_body(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # A test ended; asyncio would log the cancellation as an error.
            return
        finally:
            self.active_requests -= 1
            writer.close()

    async def _send_body(self, writer: asyncio.StreamWriter) -> None:
        size = 1 if self.byte_interval_s else max(len(self.body), 1)
        for start in range(0, len(self.body), size):
            writer.write(self.body[start : start + size])
            await writer.drain()
            await asyncio.sleep(self.byte_interval_s)
