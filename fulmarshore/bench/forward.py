"""Measures the cost of a packet on the data path, relative to a plain UDP relay.

The subjects are the relay, entry hosts and agents, in both directions. Each
runs in a process of its own, the daemons with their real event loop and
sockets on loopback. There is no control host; daemons get their view from here.

A round measures every subject for one short slice, in random order. Ratios are
taken within a round, so that other load on the machine affects all subjects
alike. A subject is stopped while a burst is written to its socket's buffer, so
that the sender never limits the rate. The time runs from resuming the subject
until the last datagram arrives at the sink; only datagrams that reach the sink
are counted. Flows send in a random order that is drawn once for each subject,
because callers do not send in the order in which they connected. Each slice
continues that order where the last one stopped.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from random import Random

from msgspec import Struct

from fulmarshore.adapters.keys import RING_SECRET_BYTES, KeyRing, add_ring_key
from fulmarshore.bench.rates import (
    Rate,
    Spread,
    compare_cpu,
    compare_time,
    take_median,
)
from fulmarshore.bench.subjects import UNUSED_ADDRESS, VERSION, run_agent, run_entry
from fulmarshore.bench.traffic import (
    LOOPBACK,
    ChildProcess,
    count_sink,
    find_caller,
    make_ancillary,
    open_socket,
    run_relay,
    run_sink,
)
from fulmarshore.core.codec import encode
from fulmarshore.core.hashing import hash_flow
from fulmarshore.core.records import (
    Address,
    Answer,
    EntryHost,
    Forward,
    Item,
    Member,
    Profile,
    Service,
    TrafficKind,
)

ROUNDS = 50
SLICE_S = 0.02
ORDER_SEED = 1
PAYLOAD = bytes(200)
FLOWS = (1, 1_000, 300_000)
AGENT_FLOWS = 2_000
ANSWERED_FLOWS = 100
BURST = 2_500
"""Datagrams that fit into the receive buffer of one socket."""
IDLE_TIMEOUT_S = 3600.0
WARM_UP_ROUNDS = 20
WARM_UP_BURST = 100
WARM_UP_PAUSE_S = 0.001
MEGABYTE = 1 << 20
SEALED = "entry_sealed"
SEALED_HOST = 8


class ForwardResult(Struct, frozen=True):
    """Medians over the rounds, and ratios to the relay.

    Parameters
    ----------
    rates : dict of str to Rate
        Median rates by subject.
    ratios, wall_ratios : dict of str to Spread
        Packets per second of processor time, and per second of wall time, as
        a share of the relay's in the same round.
    cost_growth : float
        Processor time of a packet with the most flows over that with the
        fewest.
    cost_growth_from_thousand : float
        The same, compared with the second largest number of flows (1,000).
    new_flows_per_second : float
        First packets of new flows that one entry host forwards per second.
    entry_resident_mb : float
        Resident memory of the entry host with the most flows, in MiB.
    entry_flows : int
        Flows that this entry host held then.
    sealing_cost : float
        Share of an entry host's packets per second of processor time that is
        lost by sealing each forwarded packet.
    agent_flow_bytes : int
        Resident memory of an agent for each flow, with the flow's socket but
        without the kernel's memory for it.
    """

    rates: dict[str, Rate]
    ratios: dict[str, Spread]
    wall_ratios: dict[str, Spread]
    cost_growth: float
    cost_growth_from_thousand: float
    new_flows_per_second: float
    entry_resident_mb: float
    entry_flows: int
    sealing_cost: float
    agent_flow_bytes: int


class Subject(Struct):
    """A process under measurement, and the packets that are sent to it.

    Parameters
    ----------
    name : str
        Its name in the report.
    child : ChildProcess
        The process.
    send : callable
        Sends the packet of a flow.
    order : list of int
        The flows in the order in which they send.
    sent : int
        Packets sent so far while it was measured.
    """

    name: str
    child: ChildProcess
    send: Callable[[int], None]
    order: list[int]
    sent: int = 0


class ForwardBench:
    """One run of the measurement, with all its processes.

    Parameters
    ----------
    rounds : int
        Number of rounds.
    seconds : float
        Length of the slice of one subject in one round, in seconds.
    flows : tuple of int
        Flows of each entry host, in ascending order.
    """

    def __init__(self, rounds: int, seconds: float, flows: tuple[int, ...]) -> None:
        self.rounds = rounds
        self.seconds = seconds
        self.flows = flows
        self.sink = ChildProcess(run_sink)
        self.source = open_socket("0.0.0.0")
        self.callers = make_ancillary(max(flows))
        self.children = [self.sink]
        self.subjects: list[Subject] = []
        self.sockets = [self.source]
        self.services: list[Address] = []
        self.arrived = 0
        self.agent_growth = 0
        self.random = Random(ORDER_SEED)

    def close(self) -> None:
        """End all processes and close all sockets."""
        for child in self.children:
            child.close()
        for sock in self.sockets:
            sock.close()

    def run(self) -> ForwardResult:
        """Start and warm up every subject, measure all rounds, return the medians."""
        self._add_relay()
        for number, count in enumerate(self.flows):
            self._add_entry(number, count)
        self._add_entry_answers()
        self._add_agent()
        self._add_agent_answers()
        self._add_entry_sealed()
        largest = self.subjects[len(self.flows)]
        hints_held = self._count_hints(largest)
        resident = largest.child.read_resident()
        measured: dict[str, list[Rate]] = {s.name: [] for s in self.subjects}
        self.arrived, _ = count_sink(self.sink)
        for _ in range(self.rounds):
            for subject in self.random.sample(self.subjects, len(self.subjects)):
                measured[subject.name].append(self._measure(subject))
        return self._build_result(
            measured, self._measure_new_flows(), resident, hints_held
        )

    def _measure(self, subject: Subject) -> Rate:
        """Measure one slice, in bursts that are buffered while the subject is stopped.

        Raises
        ------
        RuntimeError
            No datagram of a burst arrived at the sink.
        """
        child = subject.child
        first = before = self.arrived
        cpu = child.read_cpu()
        busy = 0.0
        while busy < self.seconds:
            child.pause()
            for _ in range(BURST):
                subject.send(subject.order[subject.sent % len(subject.order)])
                subject.sent += 1
            start = time.perf_counter()
            child.resume()
            after, last = count_sink(self.sink, before + BURST)
            if after == before:
                raise RuntimeError(
                    f"no datagram of a burst passed through {subject.name}"
                )
            busy += last - start
            before = after
        self.arrived = before
        packets = before - first
        return Rate(packets / busy, packets / (child.read_cpu() - cpu))

    def _draw_order(self, count: int) -> list[int]:
        return self.random.sample(range(count), count)

    def _start(self, *arguments: object) -> ChildProcess:
        child = ChildProcess(*arguments)
        self.children.append(child)
        return child

    def _add_relay(self) -> None:
        child = self._start(run_relay, self.sink.hello)
        self._add_subject("relay", child, child.hello, 1)

    def _add_subject(
        self, name: str, child: ChildProcess, destination: Address, count: int
    ) -> None:
        """Add a subject that receives datagrams from callers."""
        send = self._make_sender(self.source, destination)
        self.subjects.append(Subject(name, child, send, self._draw_order(count)))

    def _make_sender(
        self, sock: socket.socket, destination: Address
    ) -> Callable[[int], None]:
        sendmsg = sock.sendmsg
        callers = self.callers
        parts = [PAYLOAD]

        def send(number: int) -> None:
            sendmsg(parts, callers[number], 0, destination)

        return send

    def _add_entry(self, number: int, count: int) -> None:
        """Add an entry host that holds the given number of flows."""
        self._start_entry(f"entry_{count}", number + 1, count, None)

    def _add_entry_sealed(self) -> None:
        """Add an entry host with keys and the second largest number of flows."""
        ring = add_ring_key(KeyRing(()), os.urandom(RING_SECRET_BYTES).hex(), 0.0)
        self._start_entry(SEALED, SEALED_HOST, self.flows[-2], ring)

    def _start_entry(
        self, name: str, host_number: int, count: int, ring: KeyRing | None
    ) -> None:
        host = f"127.0.3.{host_number}"
        service = Address(host, _find_free_port(host))
        items = _build_items(service)
        items.append(_make_member("m0", "s", self.sink.hello))
        child = self._start(run_entry, host, items, ring)
        self.services.append(service)
        self._add_subject(name, child, service, count)
        self._warm_up(self.subjects[-1])

    def _warm_up(self, subject: Subject) -> None:
        """Send a packet of every flow, slowly, until hints for all flows are held."""
        for _ in range(WARM_UP_ROUNDS):
            for number in range(len(subject.order)):
                subject.send(number)
                if number % WARM_UP_BURST == 0:
                    time.sleep(WARM_UP_PAUSE_S)
            time.sleep(WARM_UP_PAUSE_S)
            if self._count_hints(subject) >= len(subject.order):
                return

    def _count_hints(self, subject: Subject) -> int:
        subject.child.pipe.send(None)
        return int(subject.child.receive()["hints"])

    def _add_entry_answers(self) -> None:
        agent = open_socket(LOOPBACK)
        self.sockets.append(agent)
        host = "127.0.3.9"
        service = Address(host, _find_free_port(host))
        member = _make_member("m0", "s", Address(*agent.getsockname()))
        child = self._start(run_entry, host, [*_build_items(service), member])
        data = Address(child.hello.host, child.hello.port)
        frames = []
        for number in range(AGENT_FLOWS):
            caller = Address(find_caller(number), self.sink.hello.port)
            flow = hash_flow("s", *caller)
            answer = Answer(
                "s", "m0", member.incarnation, VERSION, flow, *caller, PAYLOAD
            )
            frames.append(encode(answer))
        self._add_frames("entry_answers", child, agent, frames, data)

    def _add_frames(
        self,
        name: str,
        child: ChildProcess,
        sock: socket.socket,
        frames: list[bytes],
        destination: Address,
    ) -> None:
        sendto = sock.sendto

        def send(number: int) -> None:
            sendto(frames[number], destination)

        order = self._draw_order(len(frames))
        self.subjects.append(Subject(name, child, send, order))

    def _add_agent(self) -> None:
        child = self._start(run_agent, self.sink.hello, _build_items(UNUSED_ADDRESS))
        frames = _make_forwards(child.hello)
        data = Address(child.hello.host, child.hello.port)
        self._add_frames("agent", child, self.source, frames, data)
        before = child.read_resident()
        self._warm_up_agent(self.subjects[-1])
        self.agent_growth = child.read_resident() - before

    def _warm_up_agent(self, subject: Subject) -> None:
        for number in range(len(subject.order)):
            subject.send(number)
            if number % WARM_UP_BURST == 0:
                time.sleep(WARM_UP_PAUSE_S * 10)

    def _add_agent_answers(self) -> None:
        """Add an agent, with this process as its upstream that sends answers."""
        upstream = open_socket(LOOPBACK)
        upstream.settimeout(2.0)
        self.sockets.append(upstream)
        entry = EntryHost("entry", 1, "a", *self.sink.hello)
        items = [*_build_items(UNUSED_ADDRESS), entry]
        child = self._start(run_agent, Address(*upstream.getsockname()), items)
        data = Address(child.hello.host, child.hello.port)
        peers = []
        for frame in _make_forwards(child.hello)[:ANSWERED_FLOWS]:
            self.source.sendto(frame, data)
            peers.append(upstream.recvfrom(2048)[1])

        def send(number: int) -> None:
            upstream.sendto(PAYLOAD, peers[number])

        order = self._draw_order(len(peers))
        self.subjects.append(Subject("agent_answers", child, send, order))

    def _measure_new_flows(self) -> float:
        """Return the rate of first packets of flows new to the first entry host."""
        unseen_source = open_socket("0.0.0.0")
        self.sockets.append(unseen_source)
        first = self.subjects[1]
        send = self._make_sender(unseen_source, self.services[0])
        order = self._draw_order(len(self.callers))
        subject = Subject("new_flows", first.child, send, order)
        return self._measure(subject).pps

    def _build_result(
        self,
        measured: dict[str, list[Rate]],
        new_flows: float,
        resident: int,
        hints_held: int,
    ) -> ForwardResult:
        rates = {name: take_median(rounds) for name, rounds in measured.items()}
        relay = measured["relay"]
        ratios = {name: compare_cpu(found, relay) for name, found in measured.items()}
        wall = {name: compare_time(found, relay) for name, found in measured.items()}
        names = [f"entry_{count}" for count in self.flows]
        return ForwardResult(
            rates,
            ratios,
            wall,
            compare_cpu(measured[names[0]], measured[names[-1]]).median,
            compare_cpu(measured[names[-2]], measured[names[-1]]).median,
            round(new_flows),
            round(resident / MEGABYTE, 1),
            hints_held,
            self._find_sealing_cost(measured),
            round(self.agent_growth / AGENT_FLOWS),
        )

    def _find_sealing_cost(self, measured: dict[str, list[Rate]]) -> float:
        plain = measured[f"entry_{self.flows[-2]}"]
        return round(1 - compare_cpu(measured[SEALED], plain).median, 3)


def run(
    rounds: int = ROUNDS, seconds: float = SLICE_S, flows: tuple[int, ...] = FLOWS
) -> ForwardResult:
    """Run the measurement, each subject in a process of its own."""
    bench = ForwardBench(rounds, seconds, flows)
    try:
        return bench.run()
    finally:
        bench.close()


def _build_items(address: Address) -> list[Item]:
    profile = Profile("p", TrafficKind.FEED, idle_timeout=IDLE_TIMEOUT_S)
    return [profile, Service("s", "p", *address)]


def _make_member(name: str, service: str, address: Address) -> Member:
    return Member(name, 1, service, "a", *address)


def _make_forwards(agent: Member) -> list[bytes]:
    frames = []
    for number in range(AGENT_FLOWS):
        caller = Address(find_caller(number), 4000)
        flow = hash_flow("s", *caller)
        head = ("s", agent.name, agent.incarnation, VERSION, flow, 0, *caller)
        frames.append(encode(Forward(*head, "entry", 0, 0, PAYLOAD)))
    return frames


def _find_free_port(host: str) -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
