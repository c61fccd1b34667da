"""The core of an entry host: where each packet of a caller goes.

An entry host sees one direction of a flow only and keeps no truth about it. It
remembers the agent that it offered a flow to. For a flow that it does not
remember, it asks all agents of the route's services at once, with the packet
itself, and the one that holds the flow says so.
"""

from __future__ import annotations

import enum
import socket
from collections import Counter
from random import Random

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from fulmarshore.direct.directory import KnownAgents
from fulmarshore.direct.packets import (
    MARK_BUSY,
    MARK_DENIED,
    MARK_HELD,
    MARK_NOT_HELD,
    MARK_OFFER,
    MARK_REFUSED,
    MARK_REFUSED_CLOSED,
    MARK_SEEKING,
    NO_MARK,
    RST,
    Packet,
    make_reset,
    mark_packet,
    parse_packet,
)
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import (
    AgentReport,
    CallerPacket,
    Decision,
    Ended,
    Poll,
    ReturnedPacket,
    Route,
    SendPoll,
    SendToAgent,
    SendToCaller,
    Stopping,
    Ticked,
    Told,
    decode_table,
)
from fulmarshore.direct.searches import make_search
from fulmarshore.direct.subscription import Subscription
from fulmarshore.direct.tables import TableView

MAX_BUSY_OFFERS = 3
"""Agents that may decline a flow for want of a free slot before the least busy
of them gets it: with each half busy, one in eight flows meets only busy ones."""
MAX_OFFERS = 3
"""Agents that hold an offer of one flow at a time."""
SWEEP_INTERVAL_S = 1.0
ENDED_LINGER_S = 3.0
"""How long a flow that ended is remembered for packets sent again: longer than
two of the protocol's longest intervals between them, 1.6 s."""
PARK_S = 0.6
"""How long an opening that no agent takes waits for one, then it is rejected:
less than half of what a caller waits for an answer to it, 1.4 s."""
MAX_PARKED = 2000
MAX_FLOWS = 50_000
"""Flows remembered, of some 500 bytes each; beyond it the oldest is forgotten,
and a search finds it again."""
SEARCH_S = 0.15
"""How long a search has before the caller's next packet begins another: less
than the protocol's first interval between repetitions, 0.2 s."""
MAX_PENDING = 16
"""Packets that wait for a search; a caller has no more in flight."""
SETTLED_S = 0.6
"""A control host that has listened to agents for this long, more than the
interval of their reports, knows all that are there."""
MISSING_S = 10.0
"""An agent that went missing less than this ago may hold flows and return."""
STOP_WAIT_S = 1.25
"""How long packets are taken after readiness is withdrawn: probes that come
twice a second miss twice, and packets are still under way. Longer would leave
fewer hosts of a zone in rotation when several restart in turn."""
STOP_SHARE = 1 / 2
"""Share of the grace period that the wait takes at most."""

Effects = list


class Stage(enum.Enum):
    """What an entry host knows of a flow."""

    OPENING = "opening"
    SETTLED = "settled"
    SOUGHT = "sought"


class Flow:
    """What an entry host remembers of a flow.

    Parameters
    ----------
    stage : Stage
        What is known of it.
    now : float
        Time of its first packet here.

    Attributes
    ----------
    agents : list of str
        The agents that may hold it; one of them if that is known.
    asked : list of str
        Agents that got its opening, or were asked for it.
    counted : str or None
        The agent whose load it counts for.
    pending : list of Packet
        Packets that came since its search began.
    sought_at : float
        When its search began.
    loads : dict of str to int
        Requests under way at agents that declined it.
    """

    __slots__ = (
        "agents",
        "asked",
        "seen_at",
        "stage",
        "is_ended",
        "counted",
        "pending",
        "sought_at",
        "loads",
    )

    def __init__(self, stage: Stage, now: float) -> None:
        self.agents: list[str] = []
        self.asked: list[str] = []
        self.seen_at = now
        self.stage = stage
        self.is_ended = False
        self.counted: str | None = None
        self.pending: list[Packet] = []
        self.sought_at = float("-inf")
        self.loads: dict[str, int] = {}


class Parked(Struct):
    """An opening that waits for an agent that takes it."""

    packet: Packet
    until: float


class EntryCore:
    """Forwards callers' packets to agents.

    Parameters
    ----------
    host : str
        This host's address.
    zone : str
        Its availability zone.
    seeds : list of str
        Control hosts from the settings.
    random : Random
        Source of random choices.
    grace_s : float
        Time from the order to stop until the process is killed.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        seeds: list[str],
        random: Random,
        grace_s: float = 6.0,
    ) -> None:
        self.host = host
        self._stop_wait_s = min(STOP_WAIT_S, grace_s * STOP_SHARE)
        self.counters: Counter[str] = Counter()
        self.tables = TableView()
        self.agents = KnownAgents()
        self.subscription = Subscription(seeds)
        self._return_host = socket.inet_aton(host)
        self._placement = Placement(zone, random)
        self._flows: dict[bytes, Flow] = {}
        self._parked: dict[bytes, Parked] = {}
        self._knows_all = False
        self._ended: set[str] = set()
        self._missing_at = float("-inf")
        self._swept_at = float("-inf")
        self._stop_at: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers' packets should come to this host."""
        return self._stop_at is None and self.tables.is_known and len(self.agents) > 0

    @property
    def flow_count(self) -> int:
        """Flows that are remembered."""
        return len(self._flows)

    def handle(self, event: object, now: float) -> Effects:
        """Take one event and return what is to be done."""
        match event:
            case CallerPacket(content=content):
                return self._forward(content, now)
            case ReturnedPacket(content=content, host=host):
                return self._take_returned(content, host, now)
            case Ticked():
                return self._tick(now)
            case Told(host=host, update=update):
                return self._learn(host, update, now)
            case Stopping():
                if self._stop_at is None:
                    self._stop_at = now + self._stop_wait_s
                return [Decision("stopping", f"{len(self._flows)} flows")]
        raise TypeError(f"unexpected event {event!r}")

    # Callers' packets.

    def _forward(self, content: bytes, now: float) -> Effects:
        packet = parse_packet(content)
        if packet is None:
            self.counters["packets_malformed"] += 1
            return []
        flow = self._flows.get(packet.flow)
        if packet.is_opening:
            return self._open(packet, flow, now)
        if flow is None or not flow.agents:
            return self._seek(packet, flow, now)
        flow.seen_at = now
        if packet.is_ending:
            self._end(flow)
        if len(flow.agents) == 1 and flow.agents[0] in self._ended:
            del self._flows[packet.flow]
            self._uncount(flow)
            return self._reject(packet, "upstream_ended")
        mark = NO_MARK if len(flow.agents) == 1 else MARK_SEEKING
        marked = mark_packet(packet, mark, self._return_host)
        return [SendToAgent(marked, host) for host in flow.agents]

    def _open(self, packet: Packet, flow: Flow | None, now: float) -> Effects:
        route = self.tables.find_route(packet.service_address)
        if route is None:
            if not self.tables.is_known:
                return []
            return self._reject(packet, "no_route")
        if flow is None:
            flow = self._remember(packet.flow, Flow(Stage.OPENING, now))
            return self._offer(packet, flow, route, now)
        flow.seen_at = now
        marked = mark_packet(packet, NO_MARK, self._return_host)
        effects: Effects = [SendToAgent(marked, host) for host in flow.agents]
        if flow.stage is not Stage.OPENING or packet.acknowledged == 0:
            return effects
        # The caller heard no answer: its packet was lost, or the agent was.
        self.counters["openings_repeated"] += 1
        for host in flow.agents:
            self._placement.suspect(host, now)
        if len(flow.agents) < MAX_OFFERS:
            effects += self._offer(packet, flow, route, now)
        return effects

    def _offer(self, packet: Packet, flow: Flow, route: Route, now: float) -> Effects:
        """Offer a flow to one more agent; without one, it waits."""
        service = choose_service(route, packet.flow)
        host = None
        if service is not None and len(flow.loads) < MAX_BUSY_OFFERS:
            host = self._placement.choose(
                service, flow.asked, now, self.tables.is_zone_out
            )
        mark = MARK_OFFER if packet.acknowledged == 0 else NO_MARK
        if host is None and flow.loads and not flow.agents:
            host = min(flow.loads, key=flow.loads.__getitem__)
            flow.loads.clear()
            mark = NO_MARK
        if host is None:
            return [] if flow.agents else self._park(packet, flow, now)
        self._parked.pop(packet.flow, None)
        flow.agents.append(host)
        flow.asked.append(host)
        if flow.counted is None:
            flow.counted = host
            self._placement.note_opened(host)
        self.counters["flows_offered"] += 1
        detail = f"{host} of {service}, number {len(flow.asked)} asked"
        return [
            SendToAgent(mark_packet(packet, mark, self._return_host), host),
            Decision("flow_offered", detail, packet.flow),
        ]

    def _park(self, packet: Packet, flow: Flow, now: float) -> Effects:
        """Let an opening wait for an agent: one may be about to be back."""
        if packet.flow in self._parked:
            return []
        if len(self._parked) >= MAX_PARKED:
            return self._give_up(packet, flow)
        self.counters["openings_parked"] += 1
        self._parked[packet.flow] = Parked(packet, now + PARK_S)
        return []

    def _retry_parked(self, now: float) -> Effects:
        """Offer what waits once more, and reject what waited long enough."""
        effects: Effects = []
        for key, parked in list(self._parked.items()):
            flow = self._flows.get(key)
            if flow is None or flow.agents or flow.stage is not Stage.OPENING:
                # It was offered meanwhile; a refusal parks it again.
                if flow is None or flow.stage is not Stage.OPENING:
                    del self._parked[key]
                continue
            route = self.tables.find_route(parked.packet.service_address)
            if route is None or now >= parked.until:
                del self._parked[key]
                effects += self._give_up(parked.packet, flow)
                continue
            flow.asked.clear()
            until = parked.until
            effects += self._offer(parked.packet, flow, route, now)
            if flow.agents:
                self._parked[key] = Parked(parked.packet, until)
        return effects

    def _give_up(self, packet: Packet, flow: Flow) -> Effects:
        del self._flows[packet.flow]
        self._uncount(flow)
        return self._reject(packet, "no_agent")

    def _seek(self, packet: Packet, flow: Flow | None, now: float) -> Effects:
        """Search for the agent of a flow, first among those of its route."""
        if packet.flags & RST:
            return []
        route = self.tables.find_route(packet.service_address)
        if route is None:
            if not self.tables.is_known:
                return []
            return self._reject(packet, "no_route")
        if flow is not None and now - flow.sought_at < SEARCH_S:
            if len(flow.pending) < MAX_PENDING:
                flow.pending.append(packet)
            return []
        flow = self._remember(packet.flow, Flow(Stage.SOUGHT, now))
        flow.sought_at = now
        flow.pending.append(packet)
        self.counters["flows_sought"] += 1
        hosts: list[str] = []
        for backend in route.backends:
            hosts += self._placement.list_hosts(backend.service)
        return self._ask(flow, hosts, now) or self._ask_others(flow, now)

    def _remember(self, key: bytes, flow: Flow) -> Flow:
        """Remember a flow, in place of the oldest one where there are too many."""
        self._flows[key] = flow
        if len(self._flows) > MAX_FLOWS:
            oldest = next(iter(self._flows))
            self._uncount(self._flows.pop(oldest))
            self.counters["flows_forgotten"] += 1
        return flow

    def _ask(self, flow: Flow, hosts: list[str], now: float) -> Effects:
        """Let one of several agents ask all of them."""
        asked = [host for host in hosts if host not in flow.asked]
        if not asked:
            return []
        flow.asked += asked
        in_charge = self._placement.choose_any(asked, now)
        search = make_search(flow.pending[0], asked, self._return_host)
        return [SendToAgent(search, in_charge)]

    def _ask_others(self, flow: Flow, now: float) -> Effects:
        """Ask agents of other services: a route may have led there before."""
        return self._ask(flow, self._placement.list_all_hosts(), now)

    def _reject(self, packet: Packet, reason: str) -> Effects:
        self.counters[f"rejected_{reason}"] += 1
        reset = make_reset(packet.flow, packet.acknowledged)
        return [
            SendToCaller(reset, packet.caller_host),
            Decision("flow_rejected", reason, packet.flow),
        ]

    # What agents hand back.

    def _take_returned(self, content: bytes, host: str, now: float) -> Effects:
        packet = parse_packet(content)
        if packet is None:
            self.counters["packets_malformed"] += 1
            return []
        flow = self._flows.get(packet.flow)
        if flow is None:
            return []
        if packet.mark == MARK_HELD:
            return self._settle(packet.flow, flow, socket.inet_ntoa(packet.return_host))
        if packet.mark == MARK_NOT_HELD:
            return self._miss(packet, flow, host, now)
        if packet.mark == MARK_DENIED:
            return self._take_denial(packet, flow, now)
        if packet.mark == MARK_BUSY:
            flow.loads[host] = packet.load
        elif packet.mark not in (MARK_REFUSED, MARK_REFUSED_CLOSED):
            self.counters["packets_malformed"] += 1
            return []
        if packet.mark == MARK_REFUSED_CLOSED:
            self._placement.close(host, now)
        return self._reoffer(packet, flow, host, now)

    def _settle(self, key: bytes, flow: Flow, host: str) -> Effects:
        """Go on with the agent that holds a flow."""
        found = Decision("flow_found", host, key)
        flow.agents = [host]
        flow.stage = Stage.SETTLED
        if flow.counted != host:
            self._uncount(flow)
            if not flow.is_ended:
                flow.counted = host
                self._placement.note_opened(host)
        # The first packet reached the agent with the search.
        waiting = [
            mark_packet(held, NO_MARK, self._return_host) for held in flow.pending[1:]
        ]
        flow.pending.clear()
        return [found, *(SendToAgent(content, host) for content in waiting)]

    def _miss(self, packet: Packet, flow: Flow, host: str, now: float) -> Effects:
        """Go on without an agent that does not hold a flow."""
        self.counters["flows_missed"] += 1
        if host not in flow.agents:
            return []
        flow.agents.remove(host)
        if flow.agents:
            return []
        self._uncount(flow)
        del self._flows[packet.flow]
        if not packet.flags:
            # A note: the caller's next packet begins the search.
            return []
        return self._seek(packet, None, now)

    def _take_denial(self, packet: Packet, flow: Flow, now: float) -> Effects:
        if flow.stage is not Stage.SOUGHT or not flow.pending:
            return []
        return self._ask_others(flow, now) or self._conclude(flow.pending[0], now)

    def _conclude(self, packet: Packet, now: float) -> Effects:
        """Reset a flow that every agent there is has denied."""
        del self._flows[packet.flow]
        if not self._knows_all or now - self._missing_at < MISSING_S:
            self.counters["flows_not_found"] += 1
            detail = (
                f"denied by all agents known, are these all: {self._knows_all}, "
                f"one missing for {now - self._missing_at:.1f} s"
            )
            return [Decision("flow_not_found", detail, packet.flow)]
        return self._reject(packet, "not_held")

    def _reoffer(self, packet: Packet, flow: Flow, host: str, now: float) -> Effects:
        """Offer an opening that an agent refused to the next one."""
        self.counters["offers_refused"] += 1
        if host in flow.agents:
            flow.agents.remove(host)
        if flow.stage is not Stage.OPENING:
            return []
        self._uncount(flow)
        route = self.tables.find_route(packet.service_address)
        if route is None:
            return self._reject(packet, "no_route")
        return self._offer(packet, flow, route, now)

    def _end(self, flow: Flow) -> None:
        flow.is_ended = True
        self._uncount(flow)

    def _uncount(self, flow: Flow) -> None:
        if flow.counted is not None:
            self._placement.note_ended(flow.counted)
            flow.counted = None

    # Control and time.

    def _learn(self, host: str, update: object, now: float) -> Effects:
        effects: Effects = []
        if self.subscription.hear(host, update, now):
            effects.append(Decision("control_heard", host))
        if update.table and self.tables.replace(decode_table(update.table)):
            table = self.tables.table
            detail = f"version {table.version}, index {table.index}, from {host}"
            effects.append(Decision("table_taken", detail))
            self._drop_unrouted()
        if self.subscription.should_ask(update.index > self.tables.table.index, now):
            effects.append(self._make_poll(host, wants_table=True))
        for item in self.agents.take(host, update):
            effects += self._note_agent(item, now)
        self._ended.update(update.ended)
        self._missing_at = max(self._missing_at, now - update.missing_s)
        if update.age_s >= SETTLED_S:
            self._knows_all = True
        if self._parked:
            effects += self._retry_parked(now)
        return effects

    def _note_agent(self, item: AgentReport | str, now: float) -> Effects:
        if isinstance(item, str):
            self._placement.drop(item)
            return [Decision("agent_gone", item)]
        self._placement.take(item)
        self._ended.discard(item.host)
        detail = (
            f"{item.host}, service {item.service or 'unknown'}, "
            f"accepting {item.is_accepting}, cold {item.is_cold}"
        )
        return [Decision("agent_known", detail)]

    def _tick(self, now: float) -> Effects:
        effects: Effects = []
        for host in self.subscription.take_due(now):
            effects.append(self._make_poll(host))
        for host in self.subscription.list_silent(now):
            effects.append(Decision("control_silent", host))
            for item in self.agents.forget_control(host):
                effects += self._note_agent(item, now)
        if self._parked:
            effects += self._retry_parked(now)
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            self.subscription.forget_lost(now)
            self._sweep(now)
        if self._stop_at is not None and now >= self._stop_at:
            effects.append(Ended())
        return effects

    def _drop_unrouted(self) -> None:
        """Forget flows whose route is gone; their next packet resets them."""
        for key, flow in list(self._flows.items()):
            if self.tables.find_route(key[6:]) is None:
                self._uncount(flow)
                del self._flows[key]

    def _make_poll(self, host: str, wants_table: bool = False) -> SendPoll:
        directory, revision = self.agents.get_position(host)
        index = self.tables.table.index
        poll = Poll(index, directory, revision, True, wants_table)
        return SendPoll(poll, host)

    def _sweep(self, now: float) -> None:
        idle_s = self.tables.table.idle_timeout_s
        for key, flow in list(self._flows.items()):
            limit = ENDED_LINGER_S if flow.is_ended else idle_s
            if now - flow.seen_at > limit:
                self._uncount(flow)
                del self._flows[key]


def choose_service(route: Route, flow: bytes) -> str | None:
    """Return the service that a new flow goes to, by weight."""
    total = sum(backend.weight for backend in route.backends)
    if total <= 0:
        return None
    point = xxh3_64_intdigest(flow) % total
    for backend in route.backends:
        if point < backend.weight:
            return backend.service
        point -= backend.weight
    raise AssertionError("the weights add up to the total")
