"""TCP upstreams for tests and the demo: a line protocol, and an HTTP server."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import struct
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

from fulmarshore.core.records import Address

CHUNK_BYTES = 65_536
FILE_PAUSE_S = 0.05


class StreamUpstream:
    """Runs the command in the first line of a connection.

    ``SUM`` answers with the SHA-256 digest of all bytes up to the half-close,
    ``SEND n`` sends n bytes, ``ECHO`` echoes, ``NAME`` sends the upstream's
    name, ``FILE service n`` sends the name as a line, then n bytes with pauses.

    Parameters
    ----------
    name, service : str
        Name of the upstream and its service; a file asked of another service
        is counted as misdelivered.
    """

    def __init__(self, name: str, service: str = "") -> None:
        self.name = name
        self.service = service
        self.misdelivered = 0
        self.last_packet_at = 0.0
        self.sent = 0
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> Address:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        linger = struct.pack("ii", 1, 0)
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock.fileno() < 0:
                # The peer has reset it; its task has not handled that yet.
                continue
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            await self._answer(reader, writer)
            writer.close()
            await writer.wait_closed()
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        words = (await reader.readline()).decode().split()
        match words:
            case ["NAME"]:
                writer.write(self.name.encode())
            case ["SUM"]:
                digest = hashlib.sha256()
                while chunk := await reader.read(CHUNK_BYTES):
                    digest.update(chunk)
                writer.write(digest.hexdigest().encode())
            case ["SEND", size]:
                await self._send(writer, int(size), 0.0)
            case ["FILE", service, size]:
                self.misdelivered += service != self.service
                writer.write(self.name.encode() + b"\n")
                await self._send(writer, int(size), FILE_PAUSE_S)
            case ["ECHO"]:
                while chunk := await reader.read(CHUNK_BYTES):
                    writer.write(chunk)
                    await writer.drain()
        await writer.drain()

    async def _send(
        self, writer: asyncio.StreamWriter, size: int, pause: float
    ) -> None:
        while size > 0 and not writer.transport.is_closing():
            self.last_packet_at = asyncio.get_running_loop().time()
            chunk = make_bytes(min(size, CHUNK_BYTES))
            writer.write(chunk)
            await writer.drain()
            self.sent += len(chunk)
            size -= len(chunk)
            if pause:
                await asyncio.sleep(pause)


class FileServer:
    """An HTTP server from the standard library; path ``/N`` returns N bytes."""

    def __init__(self) -> None:
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), _FileHandler)
        self._server.daemon_threads = True
        self._thread = Thread(target=self._server.serve_forever, daemon=True)

    def open(self) -> Address:
        """Serve and return the address."""
        self._thread.start()
        return Address(*self._server.server_address[:2])

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()


class _FileHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        body = make_bytes(int(self.path.strip("/")))
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        return


def make_bytes(size: int) -> bytes:
    """Return a pattern of bytes; a lost or repeated part changes its digest."""
    block = b"".join(number.to_bytes(4, "big") for number in range(4096))
    return (block * (size // len(block) + 1))[:size]
