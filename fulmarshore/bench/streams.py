"""One stream over a connection between processes, both ends in this one."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter

from fulmarshore.adapters.framing import FramedConnection
from fulmarshore.adapters.keys import KeyRing
from fulmarshore.adapters.listener import Listener
from fulmarshore.adapters.sealing import Sealer
from fulmarshore.adapters.streams import StreamConnection
from fulmarshore.core.records import Address, Reason, StreamRefused

CHUNK_BYTES = 65_536
CLOCK_STEP_S = 0.005
MEGABYTE = 1 << 20
TIMEOUT_S = 60.0
_RECORD = StreamRefused("s", "m", 1, 1, bytes(16), Reason.FULL)


class _PlainEnd(StreamConnection):
    """Stands for the caller and the upstream: gives bytes, and counts them."""

    def __init__(self) -> None:
        super().__init__()
        self.transport = self
        self.count = 0
        self.may_read = asyncio.Event()
        self.finished = asyncio.Event()

    @property
    def is_open(self) -> bool:
        return True

    def write(self, data: bytes | memoryview) -> None:
        self.count += len(data)

    def finish(self) -> None:
        self.finished.set()

    def abort(self) -> None:
        return

    def pause_reading(self) -> None:
        self.may_read.clear()

    def resume_reading(self) -> None:
        self.may_read.set()


async def send_stream(size: int, ring: KeyRing | None) -> float:
    """Send bytes through and return megabytes a second of processor time."""
    loop = asyncio.get_running_loop()
    accepted: asyncio.Future[StreamConnection] = loop.create_future()
    listener = Listener(Address("127.0.0.1", 0), accepted.set_result, FramedConnection)
    _, entry = await loop.create_connection(FramedConnection, *listener.address)
    agent = await accepted
    # Neither end takes what was sealed before its own start.
    sealers = [Sealer(ring) if ring is not None else None for _ in range(2)]
    for end, sealer in zip((entry, agent), sealers, strict=True):
        end.secure(sealer, Counter())
    await asyncio.sleep(CLOCK_STEP_S)
    await _hand_over(entry, agent)
    await _hand_over(agent, entry)
    source, sink = _PlainEnd(), _PlainEnd()
    source.splice(agent)
    sink.splice(entry)
    chunk = os.urandom(CHUNK_BYTES)
    started = time.process_time()
    async with asyncio.timeout(TIMEOUT_S):
        for _ in range(size // CHUNK_BYTES):
            source.data_received(chunk)
            await source.may_read.wait()
        source.eof_received()
        await sink.finished.wait()
    seconds = time.process_time() - started
    assert sink.count == size // CHUNK_BYTES * CHUNK_BYTES, sink.count
    for end in (entry, agent):
        end.abort()
    listener.close()
    await asyncio.sleep(0)
    return sink.count / MEGABYTE / seconds


async def _hand_over(sender: FramedConnection, taker: FramedConnection) -> None:
    """Carry a record from one end to the other."""
    if sender.sealer is not None:
        sender.sealer.refresh()
    taken = asyncio.Event()

    def take() -> None:
        if taker.read_message("peer") == _RECORD:
            taken.set()

    taker.set_callbacks(on_data=take)
    sender.send(_RECORD)
    async with asyncio.timeout(TIMEOUT_S):
        await taken.wait()
    taker.set_callbacks()
