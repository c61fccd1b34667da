"""The cost of a packet: a bare relay, the entry host's path, the agent's path.

Every subject runs in a process of its own, the daemons with their real loop
and sockets. A round is one short slice of every subject, in an order that is
drawn for each round, and ratios are taken within rounds: what else the machine
does meets all subjects alike. So that the load is never the limit, a subject is
stopped while a burst is put into its socket's buffer; the time runs from its
going on to the last datagram at the sink, and only what reaches the sink is
counted. A subject's flows get their turns in an order that is drawn once, as
callers do not speak in the order in which they came, and packets go on from
slice to slice where they stopped.
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
from fulmarshore.bench.subjects import NOWHERE, VERSION, run_agent, run_entry
from fulmarshore.bench.traffic import (
    LOOPBACK,
    Child,
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
"""Datagrams that fit into the buffer of one socket."""
IDLE_TIMEOUT_S = 3600.0
PRIME_ROUNDS = 20
PRIME_BURST = 100
PRIME_PAUSE_S = 0.001
MEGABYTE = 1 << 20
SEALED = "entry_sealed"
SEALED_HOST = 8


class ForwardResult(Struct, frozen=True):
    """Medians over the rounds; ratios are to the relay, of ``cpu_pps``.

    Parameters
    ----------
    rates : dict of str to Rate
        Medians by subject.
    ratios, wall_ratios : dict of str to Spread
        Packets a second of processor time, and of the clock, as a share of
        the relay's in the same round.
    cost_growth : float
        Processor time of a packet with most flows over that with fewest.
    cost_growth_from_thousand : float
        The same from 1,000 flows on.
    new_flows_per_second : float
        First packets of flows that one entry host forwarded a second.
    entry_resident_mb : float
        Resident memory of the entry host with most flows.
    entry_flows : int
        Flows it held then.
    sealing_cost : float
        Share of an entry host's packets a second of processor time that the
        sealing of each forwarded packet takes.
    agent_flow_bytes : int
        Resident memory of an agent for each flow, with the flow's socket but
        without the kernel's part of it.
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
    """A process under measurement and how to send its n-th packet.

    Parameters
    ----------
    name : str
        Its name in the report.
    child : Child
        The process.
    send : callable
        Sends the packet of a flow.
    order : list of int
        The flows in the order in which they speak.
    sent : int
        Packets sent so far while it was measured.
    """

    name: str
    child: Child
    send: Callable[[int], None]
    order: list[int]
    sent: int = 0


class ForwardBench:
    """One run of the measurement.

    Parameters
    ----------
    rounds : int
        Rounds of all subjects.
    seconds : float
        Length of the slice of one subject in one round.
    flows : tuple of int
        Flows of the entry hosts, ascending.
    """

    def __init__(self, rounds: int, seconds: float, flows: tuple[int, ...]) -> None:
        self.rounds = rounds
        self.seconds = seconds
        self.flows = flows
        self.sink = Child(run_sink)
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
        """End all processes."""
        for child in self.children:
            child.close()
        for sock in self.sockets:
            sock.close()

    def run(self) -> ForwardResult:
        """Measure and return the medians."""
        self._add_relay()
        for number, count in enumerate(self.flows):
            self._add_entry(number, count)
        self._add_entry_answers()
        self._add_agent()
        self._add_agent_answers()
        self._add_entry_sealed()
        most = self.subjects[len(self.flows)]
        held = self._count_hints(most)
        resident = most.child.read_resident()
        measured: dict[str, list[Rate]] = {s.name: [] for s in self.subjects}
        self.arrived, _ = count_sink(self.sink)
        for _ in range(self.rounds):
            for subject in self.random.sample(self.subjects, len(self.subjects)):
                measured[subject.name].append(self._measure(subject))
        return self._sum_up(measured, self._measure_new_flows(), resident, held)

    def _measure(self, subject: Subject) -> Rate:
        """Measure bursts that wait in the subject's buffer before it starts."""
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
                raise RuntimeError(f"nothing came through {subject.name}")
            busy += last - start
            before = after
        self.arrived = before
        packets = before - first
        return Rate(packets / busy, packets / (child.read_cpu() - cpu))

    def _draw_order(self, count: int) -> list[int]:
        return self.random.sample(range(count), count)

    def _start(self, *arguments: object) -> Child:
        child = Child(*arguments)
        self.children.append(child)
        return child

    def _add_relay(self) -> None:
        child = self._start(run_relay, self.sink.hello)
        self._add("relay", child, child.hello, 1)

    def _add(self, name: str, child: Child, destination: Address, count: int) -> None:
        """Add a subject that gets datagrams from callers."""
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
        """Add an entry host that is to hold so many flows."""
        self._start_entry(f"entry_{count}", number + 1, count, None)

    def _add_entry_sealed(self) -> None:
        """Add the entry host with 1,000 flows once more, with keys."""
        ring = add_ring_key(KeyRing(()), os.urandom(RING_SECRET_BYTES).hex(), 0.0)
        self._start_entry(SEALED, SEALED_HOST, self.flows[-2], ring)

    def _start_entry(
        self, name: str, host_number: int, count: int, ring: KeyRing | None
    ) -> None:
        host = f"127.0.3.{host_number}"
        service = Address(host, _find_port(host))
        items = _declare(service)
        items.append(_make_member("m0", "s", self.sink.hello))
        child = self._start(run_entry, host, items, ring)
        self.services.append(service)
        self._add(name, child, service, count)
        self._prime(self.subjects[-1])

    def _prime(self, subject: Subject) -> None:
        """Send every flow's packet, slowly, until all flows are held."""
        for _ in range(PRIME_ROUNDS):
            for number in range(len(subject.order)):
                subject.send(number)
                if number % PRIME_BURST == 0:
                    time.sleep(PRIME_PAUSE_S)
            time.sleep(PRIME_PAUSE_S)
            if self._count_hints(subject) >= len(subject.order):
                return

    def _count_hints(self, subject: Subject) -> int:
        subject.child.pipe.send(None)
        return int(subject.child.receive()["hints"])

    def _add_entry_answers(self) -> None:
        agent = open_socket(LOOPBACK)
        self.sockets.append(agent)
        host = "127.0.3.9"
        service = Address(host, _find_port(host))
        member = _make_member("m0", "s", Address(*agent.getsockname()))
        child = self._start(run_entry, host, [*_declare(service), member])
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
        child: Child,
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
        child = self._start(run_agent, self.sink.hello, _declare(NOWHERE))
        frames = _make_forwards(child.hello)
        data = Address(child.hello.host, child.hello.port)
        self._add_frames("agent", child, self.source, frames, data)
        before = child.read_resident()
        self._prime_agent(self.subjects[-1])
        self.agent_growth = child.read_resident() - before

    def _prime_agent(self, subject: Subject) -> None:
        for number in range(len(subject.order)):
            subject.send(number)
            if number % PRIME_BURST == 0:
                time.sleep(PRIME_PAUSE_S * 10)

    def _add_agent_answers(self) -> None:
        """Add an agent whose upstream, this process, sends without pause."""
        upstream = open_socket(LOOPBACK)
        upstream.settimeout(2.0)
        self.sockets.append(upstream)
        entry = EntryHost("entry", 1, "a", *self.sink.hello)
        items = [*_declare(NOWHERE), entry]
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
        """Send first packets of flows that the first entry host never saw."""
        fresh = open_socket("0.0.0.0")
        self.sockets.append(fresh)
        first = self.subjects[1]
        send = self._make_sender(fresh, self.services[0])
        order = self._draw_order(len(self.callers))
        subject = Subject("new_flows", first.child, send, order)
        return self._measure(subject).pps

    def _sum_up(
        self,
        measured: dict[str, list[Rate]],
        new_flows: float,
        resident: int,
        held: int,
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
            held,
            self._find_sealing_cost(measured),
            round(self.agent_growth / AGENT_FLOWS),
        )

    def _find_sealing_cost(self, measured: dict[str, list[Rate]]) -> float:
        plain = measured[f"entry_{self.flows[-2]}"]
        return round(1 - compare_cpu(measured[SEALED], plain).median, 3)


def run(
    rounds: int = ROUNDS, seconds: float = SLICE_S, flows: tuple[int, ...] = FLOWS
) -> ForwardResult:
    """Run the measurement in processes of its own."""
    bench = ForwardBench(rounds, seconds, flows)
    try:
        return bench.run()
    finally:
        bench.close()


def _declare(address: Address) -> list[Item]:
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


def _find_port(host: str) -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
