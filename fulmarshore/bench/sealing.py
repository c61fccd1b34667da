"""Measures the cost of sealing (authenticated encryption) for datagrams and streams.

Both ends are in this process, over sockets on loopback, without cores.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import time
from collections import Counter

import uvloop
from msgspec import Struct

from fulmarshore.adapters.keys import RING_SECRET_BYTES, KeyRing, add_ring_key
from fulmarshore.adapters.peers import Messages, PeerSocket
from fulmarshore.adapters.sealing import Sealer
from fulmarshore.bench.streams import send_stream
from fulmarshore.core.records import Address, Forward, Phase

PACKETS = 20_000
ROUNDS = 9
BURST = 32
BURST_TIMEOUT_S = 5.0
PAYLOAD_BYTES = 400
STREAM_BYTES = 256 << 20


class SealingReport(Struct, frozen=True):
    """Rates from one peer socket to another in one process, plain and sealed.

    Parameters
    ----------
    payload_bytes, rounds : int
        Size of a caller's datagram, and number of rounds; each round measures
        plain and sealed traffic in turn.
    plain_per_second, sealed_per_second : float
        Packets per second of processor time, medians over the rounds.
    cost : float
        Share of the packets per second that is lost by sealing, from 0 to 1.
    seal_us, open_us : float
        Wall time of one call that seals or opens a datagram, in microseconds.
    stream_plain_mb, stream_sealed_mb : float
        MiB per second of processor time over a connection as used between
        processes, with both ends in one process. Connections to callers and
        upstreams are left out.
    stream_cost : float
        Share of the stream throughput that is lost by sealing, from 0 to 1.
    """

    payload_bytes: int
    rounds: int
    plain_per_second: float
    sealed_per_second: float
    cost: float
    seal_us: float
    open_us: float
    stream_plain_mb: float
    stream_sealed_mb: float
    stream_cost: float


def run(
    packets: int = PACKETS, rounds: int = ROUNDS, stream_bytes: int = STREAM_BYTES
) -> SealingReport:
    """Send packets and streams in rounds, each plain and then sealed."""
    ring = add_ring_key(KeyRing(()), os.urandom(RING_SECRET_BYTES).hex(), 0.0)
    plain: list[float] = []
    sealed: list[float] = []
    streams: list[float] = []
    sealed_streams: list[float] = []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for _ in range(rounds):
            plain.append(runner.run(_send_all(packets, None)))
            sealed.append(runner.run(_send_all(packets, ring)))
            streams.append(runner.run(send_stream(stream_bytes, None)))
            sealed_streams.append(runner.run(send_stream(stream_bytes, ring)))
    seal_us, open_us = _time_calls(ring, packets)
    plain_rate, sealed_rate = statistics.median(plain), statistics.median(sealed)
    stream_rate, sealed_stream_rate = map(statistics.median, (streams, sealed_streams))
    return SealingReport(
        PAYLOAD_BYTES,
        rounds,
        round(plain_rate),
        round(sealed_rate),
        round(1 - sealed_rate / plain_rate, 3),
        round(seal_us, 2),
        round(open_us, 2),
        round(stream_rate),
        round(sealed_stream_rate),
        round(1 - sealed_stream_rate / stream_rate, 3),
    )


async def _send_all(packets: int, ring: KeyRing | None) -> float:
    """Send packets in bursts; return packets per second of processor time."""
    loop = asyncio.get_running_loop()
    received = 0
    done = asyncio.Event()

    def receive(messages: Messages, now: float) -> None:
        nonlocal received
        received += len(messages)
        if received % BURST == 0:
            done.set()

    def open_socket() -> PeerSocket:
        sealer = Sealer(ring) if ring is not None else None
        return PeerSocket(loop, receive, Counter(), sealer)

    sink = open_socket()
    address = sink.bind(Address("127.0.0.1", 0))
    time.sleep(0.005)  # The sink rejects datagrams sealed before it started.
    source = open_socket()
    source.bind(Address("127.0.0.1", 0))
    message = _make_message()
    started = time.process_time()
    for _ in range(packets // BURST):
        done.clear()
        for _ in range(BURST):
            source.send(message, address)
        await asyncio.wait_for(done.wait(), BURST_TIMEOUT_S)
    seconds = time.process_time() - started
    source.close()
    sink.close()
    return received / seconds


def _time_calls(ring: KeyRing, packets: int) -> tuple[float, float]:
    receiver = Sealer(ring)
    time.sleep(0.005)
    sender = Sealer(ring)
    frame = os.urandom(PAYLOAD_BYTES + 100)
    started = time.perf_counter()
    datagrams = [sender.seal(frame) for _ in range(packets)]
    sealed = time.perf_counter()
    for datagram in datagrams:
        receiver.open(datagram)
    opened = time.perf_counter()
    return (sealed - started) / packets * 1e6, (opened - sealed) / packets * 1e6


def _make_message() -> Forward:
    return Forward(
        service="mendbook",
        target="mendbook-0",
        incarnation=1_700_000_000_000_000,
        version=1234,
        flow=os.urandom(16),
        phase=Phase.UNKNOWN,
        caller_host="10.0.0.1",
        caller_port=40_000,
        entry="entry-0",
        hops=0,
        assignment=0,
        payload=os.urandom(PAYLOAD_BYTES),
    )
