"""A simulated region for routing tests: a control host, entry hosts, agents.

Upstreams only echo, and the fabric chooses an entry host at random. The region
records which agent delivered each flow to an upstream, of which service, and
when; tests check the guarantees of routing against these records.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from fulmarshore.core.hashing import hash_flow
from fulmarshore.core.records import (
    Address,
    Change,
    CloseUpstream,
    Datagram,
    Declaration,
    Effect,
    EntryHost,
    Identity,
    LinkMessage,
    LocalPort,
    Member,
    OpenUpstream,
    Profile,
    Removed,
    Restart,
    SendCaller,
    SendUpstream,
    Service,
    Stop,
    Stopped,
    TrafficKind,
    UpstreamDatagram,
    UpstreamOpened,
    Zone,
)
from fulmarshore.membership.control import ControlCore
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.entry import MAX_HINTS, EntryCore
from fulmarshore.standins.network import TICK_INTERVAL_S, FakeNetwork, Faults, Node

ZONES = ("a", "b", "c")
MAX_RESTART_TICKS = 60
CALLER_HOST = "10.0.0.1"


class RoutedRegion:
    """One control host, entry hosts, and agents with echoing upstreams.

    Parameters
    ----------
    seed : int
        Seed of the network and of every choice.
    services : dict of str to int
        Number of upstreams of each service.
    entries : int
        Number of entry hosts.
    connections : int
        Flows that an upstream can hold.
    faults : Faults
        Faults of messages.
    idle_timeout : float
        Idle timeout in the profile of all services, in seconds.
    max_hints : int
        Flows whose owner an entry host caches.
    """

    def __init__(
        self,
        seed: int,
        services: dict[str, int],
        entries: int = 2,
        connections: int = 2000,
        faults: Faults | None = None,
        idle_timeout: float = 300.0,
        max_hints: int = MAX_HINTS,
    ) -> None:
        self.network = FakeNetwork(seed, faults)
        self.random = Random(seed)
        self.connections = connections
        self.max_hints = max_hints
        self.members: dict[str, Member] = {}
        self.hosts: dict[str, EntryHost] = {}
        self.owners: dict[bytes, tuple[str, int]] = {}
        self.answers: Counter[tuple[str, int]] = Counter()
        self.answered_by: dict[tuple[str, int], str] = {}
        self.ports: dict[tuple[str, bytes], int] = {}
        self.last_packet_at: dict[str, float] = {}
        self.opened_twice = 0
        self.misdelivered = 0
        self.moved: set[bytes] = set()
        self.lost: set[str] = set()
        self.first_zone: dict[bytes, str] = {}
        self._open_ports: dict[tuple[str, bytes], int] = {}
        self._last_port = 0
        self._service_by_flow: dict[bytes, str] = {}
        self.network.add("control", ControlCore("control"))
        for number in range(entries):
            self.add_entry(f"entry{number}", ZONES[number % len(ZONES)])
        profile = Profile("p", TrafficKind.FEED, idle_timeout=idle_timeout)
        items: list[Declaration] = [profile, *(Zone(zone) for zone in ZONES)]
        for number, (service, count) in enumerate(services.items()):
            items.append(Service(service, "p", "127.0.0.9", 80 + number))
            for index in range(count):
                self.add_agent(f"{service}-{index}", service, ZONES[index % len(ZONES)])
        self.change(*items)
        self.network.run(1.0)

    # Processes -------------------------------------------------------------

    def add_entry(self, name: str, zone: str) -> None:
        """Start an entry host; an existing one gets its next incarnation."""
        address = Address("127.0.0.1", 20_000 + len(self.hosts))
        held = self.hosts.get(name)
        if held is not None:
            address = Address(held.host, held.port)
        incarnation = held.incarnation + 1 if held is not None else 1
        host = EntryHost(name, incarnation, zone, *address)
        self.hosts[name] = host
        identity = Identity(name, incarnation)
        subscriber = Subscriber(identity, host, ["control"], self.random)
        core = EntryCore(subscriber, self.max_hints)
        self.network.add(name, core, address, self._observe_entry)

    def add_agent(self, name: str, service: str, zone: str) -> AgentCore:
        """Start an agent; an existing one gets its next incarnation."""
        address = Address("127.0.0.1", 30_000 + len(self.members))
        held = self.members.get(name)
        if held is not None:
            address = Address(held.host, held.port)
        incarnation = held.incarnation + 1 if held is not None else 1
        member = Member(
            name, incarnation, service, zone, *address, connections=self.connections
        )
        self.members[name] = member
        identity = Identity(name, incarnation)
        subscriber = Subscriber(identity, member, ["control"], self.random)
        core = AgentCore(subscriber)
        for key in [key for key in self._open_ports if key[0] == name]:
            del self._open_ports[key]
        self.network.add(name, core, address, self._observe_agent)
        return core

    def crash(self, name: str) -> None:
        """Crash a process."""
        self.network.stop(name)

    def stop(self, name: str) -> None:
        """Begin the planned stop of a process."""
        self.network.inject(name, Stop())

    def apply_effects(self, name: str, effects: list[Effect]) -> None:
        """Apply effects that a test got from a core directly."""
        node = self.network.nodes[name]
        for effect in effects:
            self.network._apply_effect(node, effect)

    def restart(self, name: str) -> None:
        """Restart an agent as planned: the new one starts when the old has left."""
        flows = self.get_agent(name).flows
        ports = [LocalPort(flow, self.ports[name, flow]) for flow in flows]
        self.network.inject(name, Restart(ports))
        for _ in range(MAX_RESTART_TICKS):
            if not self.network.nodes[name].running:
                break
            self.network.run(TICK_INTERVAL_S)
        member = self.members[name]
        self.add_agent(name, member.service, member.zone)

    def change(self, *items: Declaration, removed: tuple[Removed, ...] = ()) -> None:
        """Submit a change of the configuration to the control host."""
        number = self.network.nodes["control"].core.state.next_number
        change = Change(number, "region", list(items), list(removed))
        self.network.inject("control", LinkMessage("region", change))

    def list_running(self, prefix: str) -> list[str]:
        """Return the names of running processes that start with a prefix."""
        found = []
        for name, node in self.network.nodes.items():
            if node.running and name.startswith(prefix):
                found.append(name)
        return found

    def get_agent(self, name: str) -> AgentCore:
        """Return the core of an agent."""
        core = self.network.nodes[name].core
        assert isinstance(core, AgentCore)
        return core

    def list_agents(self, service: str) -> list[AgentCore]:
        """Return the cores of the running agents of a service."""
        return [self.get_agent(name) for name in self.list_running(f"{service}-")]

    def is_member(self, name: str) -> bool:
        """Return whether an agent runs, is a member, and its zone is in."""
        member = self.members[name]
        control = self.network.nodes["control"].core
        held = control.state.view.items.get(("Member", name))
        zone = control.state.view.items.get(("Zone", member.zone))
        if held is None or held.item.incarnation != member.incarnation:
            return False
        return self.network.nodes[name].running and not (zone and zone.item.out)

    # Callers ---------------------------------------------------------------

    def get_flow(self, service: str, port: int) -> bytes:
        """Return the key of a caller's flow."""
        flow = hash_flow(service, CALLER_HOST, port)
        self._service_by_flow[flow] = service
        return flow

    def send(self, service: str, port: int, entry: str | None = None) -> None:
        """Send a packet of a caller through an entry host, by default a random one."""
        self.get_flow(service, port)
        if entry is None:
            running = self.list_running("entry")
            if not running:
                return
            entry = self.random.choice(running)
        event = Datagram(service, Address(CALLER_HOST, port), b"ping")
        self.network.inject(entry, event)

    def send_all(
        self, service: str, ports: Sequence[int], rounds: int = 1, gap: float = 0.001
    ) -> None:
        """Send a packet of each caller, ``gap`` seconds apart, in several rounds."""
        for _ in range(rounds):
            for port in ports:
                self.send(service, port)
                self.network.run(gap)
            self.network.run(0.2)

    # Observation -----------------------------------------------------------

    def list_holders(self, flow: bytes) -> list[str]:
        """Return the names of the members that hold a flow."""
        found = []
        service = self._service_by_flow[flow]
        for name in self.list_running(f"{service}-"):
            if flow in self.get_agent(name).flows and self.is_member(name):
                found.append(name)
        return found

    def _observe_entry(self, node: Node, effect: Effect, now: float) -> None:
        if isinstance(effect, SendCaller):
            key = (effect.service, effect.destination.port)
            self.answers[key] += 1
        if isinstance(effect, Stopped):
            node.running = False

    def _observe_agent(self, node: Node, effect: Effect, now: float) -> None:
        if isinstance(effect, Stopped):
            node.running = False
        if isinstance(effect, OpenUpstream):
            self._record_resumed_flow(effect, node.name)
        if isinstance(effect, CloseUpstream):
            self._open_ports.pop((node.name, effect.flow), None)
        if not isinstance(effect, SendUpstream):
            return
        if (node.name, effect.flow) not in self._open_ports:
            self._last_port += 1
            self._open_socket(node.name, effect.flow, self._last_port)
        member = self.members[node.name]
        self.last_packet_at[node.name] = now
        flow = effect.flow
        if self._service_by_flow.get(flow) != member.service:
            self.misdelivered += 1
        owner = (node.name, member.incarnation)
        self.first_zone.setdefault(flow, member.zone)
        held = self.owners.get(flow)
        if held is not None and held != owner:
            self.moved.add(flow)
            if self._still_holds(held, flow):
                self.opened_twice += 1
        self.owners[flow] = owner
        self.network.inject(node.name, UpstreamDatagram(flow, b"echo"))

    def _record_resumed_flow(self, opened: OpenUpstream, name: str) -> None:
        """Record that an agent reopens a flow, such as after its restart."""
        flow = opened.flow
        held = self.owners.get(flow)
        if held is not None and held[0] != name and self._still_holds(held, flow):
            self.opened_twice += 1
        if held is not None and held[0] == name:
            if opened.port == self.ports.get((name, flow)):
                self.owners[flow] = (name, self.members[name].incarnation)
        self._open_socket(name, flow, opened.port)

    def _open_socket(self, name: str, flow: bytes, port: int) -> None:
        """Open the socket of a flow and notify its agent."""
        self.ports[name, flow] = port
        self._open_ports[name, flow] = port
        self.network.inject(name, UpstreamOpened(flow, port))

    def _still_holds(self, owner: tuple[str, int], flow: bytes) -> bool:
        name, incarnation = owner
        if self.members[name].incarnation != incarnation or not self.is_member(name):
            return False
        return flow in self.get_agent(name).flows
