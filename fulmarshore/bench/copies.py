"""Measures the traffic and memory that the replication of flow records costs.

One agent of the size that the design targets copies its records to two copy
holders, which acknowledge at once. It runs over the pure cores without a
network. An agent holds as many copies for others as others hold for it, so it
sends its own batches and as many acknowledgements.
"""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.adapters.sealing import HEADER_BYTES, TAG_BYTES
from fulmarshore.bench.capacity import trace_memory
from fulmarshore.core.codec import decode_data, encode
from fulmarshore.core.records import (
    Address,
    FlowCopy,
    FlowCopyAck,
    Identity,
    Member,
    Profile,
    Service,
    TrafficKind,
)
from fulmarshore.membership.view import View, change_view
from fulmarshore.routing.arbitration import ASSIGNMENT_BITS
from fulmarshore.routing.copysender import CopySender
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.heldcopies import HeldCopies
from fulmarshore.routing.table import Table

UDP_BYTES = 28
"""Headers of IP version 4 and UDP."""
DATAGRAM_BYTES = UDP_BYTES + HEADER_BYTES + TAG_BYTES
SERVICE = "service-000"
NAMES = ("host-00001", "host-00002", "host-00003", "host-00004")
INCARNATION = 1_700_000_000_000_000
VERSION = 1_000_000
FLOWS = 1_230
OPENINGS_PER_S = (0.0, 5.4, 20.0, 58.0)
SECONDS = 120
TICKS_PER_S = 20
MAX_SECONDS = 600


class CopyRow(Struct, frozen=True):
    """Cost of copies at one rate of replaced flows.

    Parameters
    ----------
    openings_per_s : float
        Flows opened, and as many ended, per second.
    datagrams_per_s, bytes_per_s : float
        Batches and acknowledgements that the agent sends per second, sealed
        and with all headers.
    uncopied_mean, uncopied_most : float
        Flows not copied yet, which a crash would lose.
    recopied_s : float
        Seconds until all flows are copied once no more are replaced.
    """

    openings_per_s: float
    datagrams_per_s: float
    bytes_per_s: float
    uncopied_mean: float
    uncopied_most: int
    recopied_s: float


class CopyReport(Struct, frozen=True):
    """Cost of the first copy of all flows, and of each rate of replaced flows.

    Parameters
    ----------
    flows : int
        Flows held.
    record_bytes : float
        Bytes for each flow, sent to both copy holders, with all headers and
        acknowledgements.
    kept_bytes : float
        Memory of a record at a copy holder.
    first_copy_s : float
        Seconds until all flows are copied.
    rates : list of CopyRow
        Cost of each rate of replaced flows after that.
    """

    flows: int
    record_bytes: float
    kept_bytes: float
    first_copy_s: float
    rates: list[CopyRow]


class CopyingAgent:
    """An agent that copies its flow records to its copy holders."""

    def __init__(self) -> None:
        members = [
            Member(name, INCARNATION, SERVICE, "zone-0", "10.1.0.1", 7000 + number)
            for number, name in enumerate(NAMES)
        ]
        items = [Profile("p", TrafficKind.FEED), Service(SERVICE, "p", "10.9.0.1", 443)]
        view = change_view(View(), VERSION, [*items, *members], [])
        self.copy_sender = CopySender(Identity(NAMES[0], INCARNATION), SERVICE)
        self.flows: dict[bytes, Flow] = {}
        self.copy_sender.update(Table(view).services[SERVICE], self.flows)
        self.copy_holders = {name: HeldCopies() for name in NAMES}
        self.batches: list[bytes] = []
        self.ticks = 0
        self.opened = 0
        self.datagrams = 0
        self.bytes = 0

    def open(self) -> None:
        """Open a flow."""
        self.opened += 1
        number = self.opened
        caller = Address(f"102.176.{number >> 8 & 255}.{number & 255}", 40_000)
        key = number.to_bytes(16, "big")
        assignment = (VERSION << ASSIGNMENT_BITS) + number
        flow = Flow(key, caller, "entry-0001", None, assignment, 0.0)
        flow.local_port = 32_768 + number % 28_000
        self.flows[key] = flow
        self.copy_sender.record_opened(key)

    def end(self) -> None:
        """End the oldest flow."""
        self.copy_sender.record_ended(self.flows.pop(next(iter(self.flows))))

    def tick(self) -> int:
        """Send the batches that are due and return how many flows are not copied."""
        self.ticks += 1
        now = self.ticks / TICKS_PER_S
        for member, batch in self.copy_sender.list_due(VERSION, self.flows, now):
            assert self.copy_holders[member.name].apply(batch), (
                "a copy holder missed a batch"
            )
            self.batches.append(encode(batch))
            header = (SERVICE, member.name, INCARNATION, VERSION)
            ack = FlowCopyAck(*header, batch.number)
            self.copy_sender.handle_ack(ack, self.flows)
            self.datagrams += 2
            self.bytes += len(self.batches[-1]) + len(encode(ack))
            self.bytes += 2 * DATAGRAM_BYTES
        return self.copy_sender.count_uncopied(len(self.flows))

    def copy_all(self) -> float:
        """Run until all flows are copied and return the time, in seconds."""
        started = self.ticks
        while self.tick():
            assert self.ticks - started < MAX_SECONDS * TICKS_PER_S, (
                "flows are still uncopied after MAX_SECONDS"
            )
        return (self.ticks - started) / TICKS_PER_S


def run() -> CopyReport:
    """Measure the first copy of all flows, and every rate."""
    agent = CopyingAgent()
    for _ in range(FLOWS):
        agent.open()
    bytes_before = agent.bytes
    first = agent.copy_all()
    record = (agent.bytes - bytes_before) / FLOWS
    _, holder_memory = trace_memory(lambda: _apply_batches(agent.batches))
    rates = [measure_rate(rate) for rate in OPENINGS_PER_S]
    return CopyReport(
        FLOWS, round(record, 1), round(holder_memory / FLOWS, 1), round(first, 1), rates
    )


def _apply_batches(batches: list[bytes]) -> HeldCopies:
    """Return the copies that one holder builds from the encoded batches."""
    copies = HeldCopies()
    for frame in batches:
        batch = decode_data(frame, "bench")
        assert isinstance(batch, FlowCopy)
        copies.apply(batch)
    return copies


def measure_rate(rate: float) -> CopyRow:
    """Replace flows at a rate, after all flows were copied once."""
    agent = CopyingAgent()
    for _ in range(FLOWS):
        agent.open()
    agent.copy_all()
    first = agent.opened
    agent.datagrams = agent.bytes = 0
    uncopied = []
    for tick in range(SECONDS * TICKS_PER_S):
        while agent.opened - first < tick * rate / TICKS_PER_S:
            agent.open()
            agent.end()
        uncopied.append(agent.tick())
    sent = agent.datagrams / SECONDS, agent.bytes / SECONDS
    mean = sum(uncopied) / len(uncopied)
    return CopyRow(
        rate,
        round(sent[0], 1),
        round(sent[1]),
        round(mean, 1),
        max(uncopied),
        round(agent.copy_all(), 1),
    )
