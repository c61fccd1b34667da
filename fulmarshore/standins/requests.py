"""A simulated region for request services, with callers and upstreams.

Used by tests of admission and by benches. The fabric sends each datagram to a
random entry host; upstreams follow ``standins.work``. There is one control host,
without a disk.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from fulmarshore.callers.requests import (
    Answered,
    CallerCore,
    NotRun,
    Outcome,
    Unknown,
)
from fulmarshore.core.records import (
    Address,
    Change,
    Datagram,
    Effect,
    EntryHost,
    Event,
    Identity,
    LinkMessage,
    Member,
    Profile,
    Protocol,
    SendCaller,
    SendUpstream,
    Service,
    Stop,
    Stopped,
    UpstreamDatagram,
    UpstreamGone,
    Zone,
)
from fulmarshore.membership.control import ControlCore
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.entry import EntryCore
from fulmarshore.standins.network import FakeNetwork, Faults, Node
from fulmarshore.standins.work import WorkModel, WorkUpstream

SERVICE = "orders"
ZONES = ("a", "b", "c")
MAX_LATENCY_US = 120_000_000


class Tally(Struct):
    """Counts of requests by outcome, checked against what the upstreams ran."""

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    open: int = 0
    ran_twice: int = 0
    false_refusals: int = 0
    wrong_answers: int = 0


class CallerNode:
    """A caller in the network that sends through any entry host."""

    def __init__(self, world: RequestWorld, name: str) -> None:
        self.world = world
        self.name = name
        self.core = CallerCore(SERVICE, name, world.random)
        self.address = Address("10.0.0.1", 1 + len(world.callers))
        self.started_at: dict[int, float] = {}
        self.idempotent: set[int] = set()

    def submit(self, timeout: float, idempotent: bool, now: float) -> int:
        """Send a new request and return its number."""
        body = f"{self.name}:{len(self.started_at) + 1}".encode()
        number, datagram = self.core.submit(body, timeout, idempotent, now)
        self.started_at[number] = now
        if idempotent:
            self.idempotent.add(number)
        self.world.send(self, datagram)
        return number

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process a response or a tick."""
        if isinstance(event, Datagram):
            outcome = self.core.handle_datagram(event.payload, now)
            if outcome is not None:
                self.world.record_outcome(self, outcome, now)
            return []
        datagrams, outcomes = self.core.tick(now)
        self.world.resends += len(datagrams)
        for datagram in datagrams:
            self.world.send(self, datagram)
        for outcome in outcomes:
            self.world.record_outcome(self, outcome, now)
        return []


class UpstreamNode:
    """The upstream beside an agent; it keeps running when the agent crashes."""

    def __init__(self, world: RequestWorld, name: str, model: WorkModel) -> None:
        self.world = world
        self.name = name
        self.agent = name
        self.upstream = WorkUpstream(name, model, world.random)
        self.opened_by: dict[bytes, int] = {}

    def handle_datagram(
        self, flow: bytes, payload: bytes, incarnation: int, now: float
    ) -> None:
        """Process a datagram of the agent."""
        self.opened_by[flow] = incarnation
        for delay, event in self.upstream.handle_datagram(flow, payload, now):
            self.world.network.schedule(delay, f"work-{self.name}", event)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Deliver an answer to the agent when it is due."""
        if not isinstance(event, UpstreamDatagram | UpstreamGone):
            return []
        node = self.world.network.nodes[self.agent]
        for seen in self.upstream.finish(event, now):
            same = node.core.member.incarnation == self.opened_by.get(seen.flow)
            if node.running and same:
                self.world.network.inject(self.agent, seen)
        return []


class RequestWorld:
    """A control host, entry hosts, agents with simulated upstreams, and callers.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    profile : Profile
        Profile of the only service.
    model : WorkModel
        Capacity and behaviour of each upstream.
    agents, entries, callers : int
        Number of processes of each role, and of callers.
    """

    def __init__(
        self,
        seed: int,
        profile: Profile,
        model: WorkModel,
        agents: int = 4,
        entries: int = 2,
        callers: int = 4,
        faults: Faults | None = None,
    ) -> None:
        self.network = FakeNetwork(seed, faults)
        self.random = Random(seed)
        self.model = model
        self.slots = model.slots
        self.upstream_nodes: dict[str, UpstreamNode] = {}
        self.callers: dict[str, CallerNode] = {}
        self.outcomes: dict[tuple[str, int], Outcome] = {}
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.answered_by: Counter[str] = Counter()
        self.resends = 0
        self._incarnations: Counter[str] = Counter()
        self._ports: dict[str, int] = {}
        self._number = 0
        self.network.add("control", ControlCore("control"))
        for number in range(entries):
            self.start_entry(f"entry{number}")
        for number in range(agents):
            self.start_agent(f"agent{number}")
        for number in range(callers):
            self.add_caller(f"caller{number}")
        service = Service(SERVICE, profile.name, "127.0.0.9", 80, Protocol.REQUEST)
        self.change(profile, service, *(Zone(zone) for zone in ZONES))

    # -- parts -------------------------------------------------------------

    def change(self, *items: Profile | Service | Zone) -> None:
        """Submit a change of the configuration to the control host."""
        self._number += 1
        change = Change(self._number, "test", list(items), [])
        self.network.inject("control", LinkMessage("test", change))

    def add_caller(self, name: str) -> None:
        """Add a caller."""
        caller = CallerNode(self, name)
        self.callers[name] = caller
        self.network.add(name, caller)

    def _find_port(self, name: str, base: int) -> int:
        return self._ports.setdefault(name, base + len(self._ports))

    def start_entry(self, name: str) -> None:
        """Start or restart an entry host."""
        self._incarnations[name] += 1
        address = Address("127.0.0.1", self._find_port(name, 20_000))
        incarnation = self._incarnations[name]
        host = EntryHost(name, incarnation, "a", *address)
        identity = Identity(name, incarnation)
        subscriber = Subscriber(identity, host, ["control"], self.random)
        self.network.add(name, EntryCore(subscriber), address, self._observe_entry)

    def start_agent(self, name: str, place: str = "") -> None:
        """Start or restart an agent, if ``place`` is given at another's address."""
        place = place or name
        self._incarnations[name] += 1
        address = Address("127.0.0.1", self._find_port(place, 20_000))
        incarnation = self._incarnations[name]
        zone = ZONES[sum(place.encode()) % len(ZONES)]
        member = Member(name, incarnation, SERVICE, zone, *address, slots=self.slots)
        identity = Identity(name, incarnation)
        subscriber = Subscriber(identity, member, ["control"], self.random)
        self.network.add(name, AgentCore(subscriber), address, self._observe_agent)
        if place not in self.upstream_nodes:
            self.upstream_nodes[place] = UpstreamNode(self, place, self.model)
            self.network.add(f"work-{place}", self.upstream_nodes[place])
        self.upstream_nodes[place].agent = name
        self.upstream_nodes.setdefault(name, self.upstream_nodes[place])

    def stop_agent(self, name: str) -> None:
        """Begin the planned stop of an agent."""
        self.network.inject(name, Stop())

    def get_agent(self, name: str) -> AgentCore:
        """Return the core of an agent."""
        return self.network.nodes[name].core

    # -- packets -----------------------------------------------------------

    def send(self, caller: CallerNode, datagram: bytes) -> None:
        """Send each copy of a datagram to a random entry host."""
        names = [name for name in self.network.nodes if name.startswith("entry")]
        event = Datagram(SERVICE, caller.address, datagram)
        for delay in self.network.draw_delays():
            self.network.schedule(delay, self.random.choice(names), event)

    def _observe_entry(self, node: Node, effect: Effect, now: float) -> None:
        if not isinstance(effect, SendCaller):
            return
        for caller in self.callers.values():
            if caller.address != effect.destination:
                continue
            event = Datagram(SERVICE, effect.destination, effect.payload)
            for delay in self.network.draw_delays():
                self.network.schedule(delay, caller.name, event)

    def _observe_agent(self, node: Node, effect: Effect, now: float) -> None:
        if isinstance(effect, Stopped):
            self.network.stop(node.name)
        if isinstance(effect, SendUpstream):
            work = self.upstream_nodes[node.name]
            incarnation = node.core.member.incarnation
            work.handle_datagram(effect.flow, effect.payload, incarnation, now)

    # -- outcomes ----------------------------------------------------------

    def record_outcome(self, caller: CallerNode, outcome: Outcome, now: float) -> None:
        """Record the outcome of a caller's request."""
        key = (caller.name, outcome.number)
        assert key not in self.outcomes, "a request has one outcome"
        self.outcomes[key] = outcome
        if isinstance(outcome, Answered):
            self.answered_by[caller.name] += 1
            duration = now - caller.started_at[outcome.number]
            self.latency.record_value(max(int(duration * 1e6), 1))

    def count_ran(self) -> Counter[tuple[str, int]]:
        """Return how often each request was started, at all upstreams together."""
        ran: Counter[tuple[str, int]] = Counter()
        for name, work in self.upstream_nodes.items():
            if work.name == name:
                ran.update(work.upstream.ran)
        return ran

    def tally(self) -> Tally:
        """Compare the outcomes with what the upstreams ran."""
        ran = self.count_ran()
        tally = Tally()
        for caller in self.callers.values():
            for number in caller.started_at:
                tally.requests += 1
                key = (caller.name, number)
                idempotent = number in caller.idempotent
                tally.ran_twice += ran[key] > 1 and not idempotent
                self._count(tally, self.outcomes.get(key), key, ran[key], idempotent)
        return tally

    def _count(
        self,
        tally: Tally,
        outcome: Outcome | None,
        key: tuple[str, int],
        ran: int,
        idempotent: bool,
    ) -> None:
        match outcome:
            case Answered(body=body, has_body=has_body):
                tally.answered += 1
                wanted = f"done:{key[0]}:{key[1]}".encode()
                tally.wrong_answers += ran == 0 or (has_body and body != wanted)
            case NotRun():
                tally.not_run += 1
                tally.false_refusals += ran > 0 and not idempotent
            case Unknown():
                tally.unknown += 1
            case None:
                tally.open += 1

    def count_unknown(self) -> Counter[str]:
        """Return the number of unknown outcomes by reason."""
        reasons: Counter[str] = Counter()
        for outcome in self.outcomes.values():
            if isinstance(outcome, Unknown):
                reasons[outcome.reason] += 1
        return reasons

    def count_refused(self) -> Counter[str]:
        """Return the number of refused requests by reason."""
        reasons: Counter[str] = Counter()
        for outcome in self.outcomes.values():
            if isinstance(outcome, NotRun):
                reasons[outcome.reason] += 1
        return reasons
