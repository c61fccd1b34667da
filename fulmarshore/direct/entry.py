"""The core of an entry host: where each packet of a caller goes.

An entry host sees one direction of a flow only and keeps no truth about it. It
remembers the agent that took a flow, and searches for that of a flow that it
does not remember.
"""

from __future__ import annotations

import socket
from collections import Counter
from random import Random

from fulmarshore.direct.directory import KnownAgents
from fulmarshore.direct.flows import FlowMemory, Stage, make_rejection
from fulmarshore.direct.lookups import Lookups
from fulmarshore.direct.openings import Openings
from fulmarshore.direct.packets import (
    MARK_ADMITTED,
    MARK_BUSY,
    MARK_DENIED,
    MARK_HELD,
    MARK_NOT_HELD,
    MARK_REFUSED,
    MARK_REFUSED_CLOSED,
    MARK_SEEKING,
    MARK_WAITED,
    MARK_WAITING,
    NO_MARK,
    mark_packet,
    parse_packet,
)
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import (
    AgentReport,
    CallerPacket,
    Decision,
    Poll,
    ReturnedPacket,
    SendPoll,
    SendToAgent,
    StopCompleted,
    Stopping,
    Ticked,
    UpdateReceived,
    Woken,
)
from fulmarshore.direct.subscription import Subscription
from fulmarshore.direct.tables import TableView

SWEEP_INTERVAL_S = 1.0
STOP_WAIT_S = 1.25
"""How long packets are taken after readiness is withdrawn: probes that come
twice a second miss twice, and packets are still under way. Longer would leave
fewer hosts of a zone in rotation when several restart in turn."""
STOP_SHARE = 1 / 2
"""Share of the grace period that the wait takes at most."""
MARKS_OF_REFUSALS = (MARK_BUSY, MARK_REFUSED, MARK_REFUSED_CLOSED)

Effects = list


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
        self.counters: Counter[str] = Counter()
        self.tables = TableView()
        self.agents = KnownAgents()
        self.subscription = Subscription(seeds)
        self._stop_wait_s = min(STOP_WAIT_S, grace_s * STOP_SHARE)
        self._return_host = socket.inet_aton(host)
        self._placement = Placement(zone, random)
        self._memory = FlowMemory(self._placement, self.counters)
        shared = (self._memory, self._placement, self.tables, self.counters)
        self._openings = Openings(self._return_host, *shared)
        self._lookups = Lookups(self._return_host, *shared)
        self._ended_hosts: set[str] = set()
        self._swept_at = float("-inf")
        self._stop_at: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers' packets should come to this host."""
        return self._stop_at is None and self.tables.is_known and len(self.agents) > 0

    @property
    def flow_count(self) -> int:
        """Flows that are remembered."""
        return len(self._memory)

    def handle(self, event: object, now: float) -> Effects:
        """Take one event and return what is to be done."""
        match event:
            case CallerPacket(content=content):
                return self._forward(content, now)
            case ReturnedPacket(content=content, host=host):
                return self._take_returned(content, host, now)
            case Ticked():
                return self._tick(now)
            case Woken():
                return self._openings.wake(now)
            case UpdateReceived():
                return self._learn(event, now)
            case Stopping():
                if self._stop_at is None:
                    self._stop_at = now + self._stop_wait_s
                return [Decision("stopping", f"{len(self._memory)} flows")]
        raise TypeError(f"unexpected event {event!r}")

    # Packets.

    def _forward(self, content: bytes, now: float) -> Effects:
        packet = parse_packet(content)
        if packet is None:
            self.counters["packets_malformed"] += 1
            return []
        flow = self._memory.get(packet.flow)
        if packet.is_opening:
            return self._openings.take(packet, flow, now)
        if flow is None or not flow.agents:
            return self._lookups.seek(packet, flow, now)
        flow.seen_at = now
        if len(flow.agents) == 1:
            flow.stage = Stage.SETTLED
        if packet.is_ending:
            self._memory.end(flow)
        if len(flow.agents) == 1 and flow.agents[0] in self._ended_hosts:
            self._memory.forget(packet.flow)
            return make_rejection(packet, "upstream_ended", self.counters)
        mark = NO_MARK if len(flow.agents) == 1 else MARK_SEEKING
        marked = mark_packet(packet, mark, self._return_host)
        return [SendToAgent(marked, host) for host in flow.agents]

    def _take_returned(self, content: bytes, host: str, now: float) -> Effects:
        """Take what an agent hands back, or tells of a flow."""
        packet = parse_packet(content)
        if packet is None:
            self.counters["packets_malformed"] += 1
            return []
        flow = self._memory.get(packet.flow)
        if flow is None:
            return []
        if packet.mark == MARK_HELD:
            holder = socket.inet_ntoa(packet.return_host)
            return self._lookups.take_holder(packet.flow, flow, holder)
        if packet.mark == MARK_NOT_HELD:
            return self._lookups.take_miss(packet, flow, host, now)
        if packet.mark == MARK_DENIED:
            return self._lookups.take_denial(flow, now)
        if packet.mark == MARK_ADMITTED:
            self._openings.take_answer(packet.flow, host)
            return []
        if packet.mark == MARK_WAITING:
            self._openings.take_answer(packet.flow, host)
            flow.is_waiting = True
            return []
        if packet.mark == MARK_WAITED:
            return self._openings.take_failure(packet, flow, host)
        if packet.mark in MARKS_OF_REFUSALS:
            return self._openings.take_refusal(packet, flow, host, now)
        self.counters["packets_malformed"] += 1
        return []

    # Control and time.

    def _learn(self, told: UpdateReceived, now: float) -> Effects:
        host, update = told.host, told.update
        effects: Effects = []
        if self.subscription.hear(host, update, now):
            effects.append(Decision("control_heard", host))
        effects += [self._make_poll(new) for new in self.subscription.take_new(now)]
        if taken := self.tables.learn(told):
            effects += taken
            self._memory.drop_unrouted(self.tables)
        if self.subscription.should_ask(update.index > self.tables.table.index, now):
            effects.append(self._make_poll(host, wants_table=True))
        for item in self.agents.take(host, update):
            effects.append(self._note_agent(item))
        self._ended_hosts.update(update.ended)
        self._lookups.learn(host, update, now)
        return effects + self._openings.retry(now)

    def _note_agent(self, item: AgentReport | str) -> Decision:
        if isinstance(item, str):
            self._placement.drop(item)
            return Decision("agent_gone", item)
        self._placement.take(item)
        self._ended_hosts.discard(item.host)
        detail = (
            f"{item.host}, service {item.service or 'unknown'}, "
            f"accepting {item.is_accepting}, cold {item.is_cold}"
        )
        return Decision("agent_known", detail)

    def _tick(self, now: float) -> Effects:
        effects: Effects = []
        for host in self.subscription.take_due(now):
            effects.append(self._make_poll(host))
        for host in self.subscription.list_silent(now):
            effects.append(Decision("control_silent", host))
            self._lookups.forget_control(host)
            for item in self.agents.forget_control(host):
                effects.append(self._note_agent(item))
        effects += self._openings.retry(now)
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            self.subscription.forget_lost(now)
            self._memory.sweep(self.tables.table.idle_timeout_s, now)
        if self._stop_at is not None and now >= self._stop_at:
            effects.append(StopCompleted())
        return effects

    def _make_poll(self, host: str, wants_table: bool = False) -> SendPoll:
        directory, revision = self.agents.get_position(host)
        index = self.tables.table.index
        poll = Poll(index, directory, revision, True, wants_table)
        return SendPoll(poll, host)
