"""Relays that drop traffic in one direction on demand.

Tests of daemons put them between two processes to simulate one-way and two-way
partitions.
"""

from __future__ import annotations

import asyncio

from fulmarshore.adapters.datagrams import DatagramSocket
from fulmarshore.core.records import Address

READ_BYTES = 65_536


class Path:
    """Which directions of a relay pass traffic.

    Parameters
    ----------
    forth, back : bool
        Whether traffic passes to the destination, and back from it.
    """

    __slots__ = ("forth", "back", "lost")

    def __init__(self) -> None:
        self.forth = True
        self.back = True
        self.lost = 0

    def passes(self, is_forth: bool) -> bool:
        """Return whether a direction passes; count what is dropped."""
        is_passing = self.forth if is_forth else self.back
        self.lost += not is_passing
        return is_passing


class DatagramRelay:
    """Relays datagrams to a destination, with a socket for each source."""

    def __init__(self, destination: Address) -> None:
        self.path = Path()
        self._destination = destination
        self._loop = asyncio.get_running_loop()
        self._outer = DatagramSocket(self._loop, self._handle_datagram)
        self._inner: dict[Address, DatagramSocket] = {}

    def open(self) -> Address:
        """Open the relay and return its address."""
        return self._outer.bind(Address("127.0.0.1", 0))

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self._outer, *self._inner.values()):
            sock.close()

    def _handle_datagram(self, payload: bytes, source: Address) -> None:
        if not self.path.passes(True):
            return
        sock = self._inner.get(source)
        if sock is None:
            sock = self._open_inner(source)
        sock.send(payload)

    def _open_inner(self, source: Address) -> DatagramSocket:
        def answer(payload: bytes, _: Address) -> None:
            if self.path.passes(False):
                self._outer.send(payload, source)

        sock = DatagramSocket(self._loop, answer)
        sock.connect(self._destination)
        self._inner[source] = sock
        return sock


class StreamRelay:
    """Relays TCP connections to a destination.

    A cut direction still reads bytes but drops them. A connection that has lost
    bytes stays dead in that direction even when the path passes again; new
    connections work.
    """

    def __init__(self, destination: Address) -> None:
        self.path = Path()
        self._destination = destination
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> Address:
        """Open the relay and return its address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()
        await self._server.wait_closed()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            inner = await asyncio.open_connection(*self._destination)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(inner[1])
        for is_forth, source, sink in (
            (True, reader, inner[1]),
            (False, inner[0], writer),
        ):
            pump = asyncio.create_task(self._pump(is_forth, source, sink))
            self._tasks.add(pump)
            pump.add_done_callback(self._tasks.discard)

    async def _pump(
        self, is_forth: bool, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        has_lost = False
        try:
            while data := await source.read(READ_BYTES):
                has_lost = has_lost or not self.path.passes(is_forth)
                if has_lost:
                    continue
                sink.write(data)
                await sink.drain()
        except OSError:
            pass
        sink.transport.abort()
