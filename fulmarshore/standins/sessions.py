"""Scripted sessions of a simulated region, recorded as golden text files.

A session is a script of steps on control hosts, entry hosts, agents with
upstreams that echo, and callers. The text has the events of the time line and,
after each step, what callers and upstreams observed. It depends only on the seed.

``python -m fulmarshore.standins.sessions FOLDER`` writes all of them.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from fulmarshore.core.records import (
    Address,
    Change,
    ChangeReply,
    ChangeStatus,
    Datagram,
    Declaration,
    Drain,
    Effect,
    EntryHost,
    Event,
    Identity,
    LinkMessage,
    Member,
    Profile,
    Removed,
    SendCaller,
    SendLink,
    SendUpstream,
    Service,
    Stop,
    Tick,
    TimelineEvent,
    TrafficKind,
    UpstreamDatagram,
    Zone,
)
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.entry import EntryCore
from fulmarshore.standins.network import Node
from fulmarshore.standins.region import Region

RETRY_INTERVAL_S = 0.3
PACKET_INTERVAL_S = 0.02
MAX_LISTED = 4
HIDDEN_KINDS = frozenset(["view_applied", "profile_applied", "service_applied"])


class Operator:
    """Submits changes one after another, each until it is answered."""

    def __init__(self, controls: list[str]) -> None:
        self.controls = controls
        self.pending_changes: list[Change] = []
        self.replies: list[ChangeReply] = []
        self.number = 0
        self._attempts = 0
        self._sent_at = float("-inf")

    def submit(self, items: list[Declaration], removed: list[Removed]) -> None:
        """Queue a change under the next number."""
        self.number += 1
        self.pending_changes.append(Change(self.number, "ann", items, removed))

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process a reply, or send the next change when it is due."""
        if isinstance(event, LinkMessage) and isinstance(event.message, ChangeReply):
            reply = event.message
            if (
                not self.pending_changes
                or reply.number != self.pending_changes[0].number
            ):
                return []
            if reply.status == ChangeStatus.UNAVAILABLE:
                return []
            self.pending_changes.pop(0)
            self.replies.append(reply)
            self._sent_at = float("-inf")
            return []
        due = now - self._sent_at >= RETRY_INTERVAL_S
        if not isinstance(event, Tick) or not self.pending_changes or not due:
            return []
        self._sent_at = now
        self._attempts += 1
        control = self.controls[self._attempts % len(self.controls)]
        return [SendLink(control, self.pending_changes[0])]


class Session:
    """A session and its recorded text.

    Parameters
    ----------
    title : str
        First line of the text.
    seed : int
        Seed of all random choices.
    zones : list of str
        Availability zones.
    services : dict of str to int
        Number of upstreams of each service.
    """

    def __init__(
        self, title: str, seed: int, zones: list[str], services: dict[str, int]
    ) -> None:
        self.lines = [f"# {title}, seed {seed}", ""]
        self.region = Region(seed)
        self.network = self.region.network
        self.random = self.network.random
        self.zones = zones
        self.services = services
        self.operator = Operator(self.region.names)
        self.entries: list[str] = []
        self.callers: list[tuple[str, int]] = []
        self.owners: dict[tuple[str, int], str] = {}
        self.seen: Counter[str] = Counter()
        self._written_replies = 0
        self.network.add("ann", self.operator)
        for number in range(3):
            self._add_entry(f"entry-{number}", zones[number % len(zones)], number)
        index = 0
        for service, count in services.items():
            for number in range(count):
                zone = zones[number % len(zones)]
                self._add_agent(f"{service}-{number}", service, zone, index)
                index += 1

    def declare(self, *items: Declaration) -> None:
        """Submit services, zones and their profile."""
        profile = Profile("feed", TrafficKind.FEED, idle_timeout=600.0)
        zones = [Zone(name) for name in self.zones]
        services = [
            Service(name, "feed", "10.9.0.1", 7000 + number)
            for number, name in enumerate(self.services)
        ]
        self.operator.submit([profile, *zones, *services, *items], [])

    def open_callers(self, service: str, count: int) -> None:
        """Add callers, each of which keeps a flow open."""
        for _ in range(count):
            self.callers.append((service, 20_000 + len(self.callers)))

    def step(self, text: str, seconds: float) -> None:
        """Run for some seconds with traffic and record what was observed."""
        self.lines.append(f"## {self.network.now:7.2f} s: {text}")
        until = self.network.now + seconds
        turn = 0
        while self.network.now < until:
            if self.callers:
                self._send(self.callers[turn % len(self.callers)])
                turn += 1
            self.network.run(PACKET_INTERVAL_S)
            self._write_events()
            self._write_replies()
        self._write_summary()

    def text(self) -> str:
        """Return the session as text."""
        return "\n".join(self.lines) + "\n"

    def _add_entry(self, name: str, zone: str, number: int) -> None:
        host = EntryHost(name, 1, zone, "10.1.0.1", 20_000 + number)
        self._add(host, EntryCore)
        self.entries.append(name)

    def _add_agent(self, name: str, service: str, zone: str, number: int) -> None:
        member = Member(name, 1, service, zone, "10.2.0.1", 30_000 + number)
        self._add(member, AgentCore)

    def _add(
        self, announced: EntryHost | Member, make: Callable[[Subscriber], object]
    ) -> None:
        identity = Identity(announced.name, announced.incarnation)
        subscriber = Subscriber(identity, announced, self.region.names, self.random)
        address = Address(announced.host, announced.port)
        self.network.add(announced.name, make(subscriber), address, self._observe)

    def _send(self, caller: tuple[str, int]) -> None:
        running = [name for name in self.entries if self.network.nodes[name].running]
        service, port = caller
        payload = f"{service}|{port}".encode()
        event = Datagram(service, Address("10.7.0.1", port), payload)
        self.seen["sent"] += 1
        self.network.inject(self.random.choice(running), event)

    def _observe(self, node: Node, effect: Effect, now: float) -> None:
        match effect:
            case TimelineEvent():
                self.network.outbox.append((now, node.name, effect))
            case SendUpstream(flow=flow, payload=payload):
                self._check_upstream_packet(node, payload)
                self.network.inject(node.name, UpstreamDatagram(flow, payload))
            case SendCaller(service=service, payload=payload):
                right = payload.startswith(service.encode() + b"|")
                self.seen["answered" if right else "misdelivered"] += 1

    def _check_upstream_packet(self, node: Node, payload: bytes) -> None:
        service, port = payload.decode().split("|")
        member = node.core.member
        self.seen["misdelivered"] += service != member.service
        caller = (service, int(port))
        owner = self.owners.get(caller)
        if owner is None:
            self.seen["opened"] += 1
        elif owner != node.name:
            zone = self.network.nodes[owner].core.member.zone
            kind = "given up" if self._is_out(zone) else "broken"
            self.seen[kind] += 1
        self.owners[caller] = node.name

    def _is_out(self, zone: str) -> bool:
        for name in self.entries:
            if zone in self.network.nodes[name].core.table.zones_out:
                return True
        return False

    def _write_events(self) -> None:
        """Write the newest events; the same event at many hosts takes one line."""
        hosts: dict[str, list[str]] = {}
        times: dict[str, float] = {}
        for at, name, effect in self.network.outbox:
            if not isinstance(effect, TimelineEvent) or effect.kind in HIDDEN_KINDS:
                continue
            fields = (effect.kind, effect.service, effect.peer, effect.detail)
            line = " ".join(field for field in fields if field)
            hosts.setdefault(line, []).append(name)
            times.setdefault(line, at)
        self.network.outbox.clear()
        for line, names in hosts.items():
            listed = ", ".join(sorted(names))
            if len(names) > MAX_LISTED:
                listed = f"{len(names)} hosts"
            self.lines.append(f"{times[line]:10.2f} {line} at {listed}")

    def _write_replies(self) -> None:
        for reply in self.operator.replies[self._written_replies :]:
            text = f"number {reply.number} {reply.status.value}"
            self.lines.append(f"{self.network.now:10.2f} ann hears {text}")
        self._written_replies = len(self.operator.replies)

    def _write_summary(self) -> None:
        held = Counter(self.owners.values())
        flows = ", ".join(f"{name} {held[name]}" for name in sorted(held))
        self.lines.append(f"   flows: {flows or 'none'}")
        kinds = ("sent", "answered", "opened", "given up", "broken", "misdelivered")
        counts = ", ".join(f"{kind} {self.seen[kind]}" for kind in kinds)
        self.lines.append(f"   callers so far: {counts}")
        views = Counter()
        for node in self.network.nodes.values():
            if node.running and hasattr(node.core, "subscriber"):
                views[node.core.subscriber.view.version] += 1
        listed = ", ".join(f"{count} at {version}" for version, count in views.items())
        self.lines += [f"   versions in force: {listed}", ""]
        assert not self.seen["misdelivered"], "a packet reached another service"


def run_signage_day() -> Session:
    """Record a drain, the loss of an entry host and a planned stop."""
    zones = ["accra-osu", "accra-tema", "accra-madina"]
    services = {"permit-desk": 7, "proof-store": 3}
    session = Session("A day at the signage office", 11, zones, services)
    session.declare()
    session.step("services are declared", 2.0)
    session.open_callers("permit-desk", 28)
    session.open_callers("proof-store", 9)
    session.step("counters open their feeds", 4.0)
    session.operator.submit([Drain("permit-desk-2")], [])
    session.step("permit-desk-2 is drained", 3.0)
    session.open_callers("permit-desk", 14)
    session.step("inspectors come in", 4.0)
    session.network.stop("entry-1")
    session.step("entry-1 dies", 5.0)
    session.operator.submit([], [Removed(0, "Drain", "permit-desk-2")])
    session.step("permit-desk-2 is undrained", 3.0)
    session.network.inject("proof-store-0", Stop())
    session.step("proof-store-0 begins a planned stop", 4.0)
    return session


def run_rainstorm() -> Session:
    """Record demand that doubles while an availability zone is taken out."""
    zones = ["khomas-a", "khomas-b", "khomas-c"]
    session = Session("A rainstorm", 12, zones, {"mendbook": 7, "ribplans": 3})
    session.declare()
    session.step("services are declared", 2.0)
    session.open_callers("mendbook", 28)
    session.open_callers("ribplans", 9)
    session.step("workshops open their feeds", 4.0)
    session.operator.submit([Zone("khomas-b", True)], [])
    session.step("khomas-b is taken out", 4.0)
    session.open_callers("mendbook", 28)
    session.step("it rains: callers double", 5.0)
    session.operator.submit([Zone("khomas-b", False)], [])
    session.step("khomas-b comes back", 4.0)
    session.open_callers("ribplans", 9)
    session.step("menders look up diagrams", 4.0)
    return session


def run_second_loss() -> Session:
    """Record the loss of a control host right after another was repaired."""
    zones = ["khomas-a", "khomas-b", "khomas-c"]
    title = "A control host lost right after a repair"
    session = Session(title, 13, zones, {"mendbook": 3})
    session.declare()
    session.step("services are declared", 2.0)
    session.open_callers("mendbook", 12)
    session.step("callers open feeds", 2.0)
    region = session.region
    region.wipe("c1")
    session.operator.submit([Zone("khomas-c", True)], [])
    session.step("c1 comes back with an empty disk; khomas-c is taken out", 6.0)
    assert region.has_all_voters(), "the repaired host votes again"
    leader = region.find_leader().name
    lost = leader if leader != "c1" else "c2"
    region.crash(lost)
    session.operator.submit([Drain("mendbook-0")], [])
    session.step(f"{lost} is lost; mendbook-0 is drained", 8.0)
    region.start(lost)
    session.step(f"{lost} comes back", 5.0)
    region.check()
    return session


SESSIONS: dict[str, Callable[[], Session]] = {
    "signage-day": run_signage_day,
    "rainstorm": run_rainstorm,
    "second-loss": run_second_loss,
}


def write_sessions(folder: Path) -> None:
    """Write the text of every session."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, run in SESSIONS.items():
        (folder / f"{name}.txt").write_text(run().text())


if __name__ == "__main__":
    write_sessions(Path(sys.argv[1]))
