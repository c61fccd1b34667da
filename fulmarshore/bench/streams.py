"""Sends one stream over a connection as used between processes.

Both ends of the connection are in this process.
"""

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


class _LocalEnd(StreamConnection):
    """Stands in for the caller and the upstream; counts the bytes written to it."""

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
    """Send a stream of this size in bytes; return MiB per second of processor time."""
    loop = asyncio.get_running_loop()
    accepted: asyncio.Future[StreamConnection] = loop.create_future()
    listener = Listener(Address("127.0.0.1", 0), accepted.set_result, FramedConnection)
    _, entry = await loop.create_connection(FramedConnection, *listener.address)
    agent = await accepted
    # Each end rejects data that was sealed before it started.
    sealers = [Sealer(ring) if ring is not None else None for _ in range(2)]
    for end, sealer in zip((entry, agent), sealers, strict=True):
        end.secure(sealer, Counter())
    await asyncio.sleep(CLOCK_STEP_S)
    await _deliver_record(entry, agent)
    await _deliver_record(agent, entry)
    source, sink = _LocalEnd(), _LocalEnd()
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


async def _deliver_record(sender: FramedConnection, receiver: FramedConnection) -> None:
    """Send a record from one end and wait until the other has received it."""
    if sender.sealer is not None:
        sender.sealer.refresh()
    delivered = asyncio.Event()

    def handle_data() -> None:
        if receiver.read_message("peer") == _RECORD:
            delivered.set()

    receiver.set_callbacks(on_data=handle_data)
    sender.send(_RECORD)
    async with asyncio.timeout(TIMEOUT_S):
        await delivered.wait()
    receiver.set_callbacks()
