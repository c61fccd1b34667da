"""How the flows that an agent holds end."""

from __future__ import annotations

from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    CloseUpstream,
    Effect,
    FlowCheck,
    Reason,
    SendPeer,
    TimelineEvent,
)
from fulmarshore.routing.flows import Flow, list_longest_idle
from fulmarshore.routing.state import AgentState

RECLAIM_INTERVAL_S = 0.25
RECLAIM_BATCH = 16
"""Idle flows ended at a time to make room for new ones."""
RECLAIM_FLOOR_SHARE = 0.5
"""A flow idle for less than this share of the time-out is never reclaimed."""


class Lifetimes:
    """Ends flows, and tells those who have to know.

    Parameters
    ----------
    state : AgentState
        What all parts of the agent share.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state
        self._reclaimed_at = float("-inf")

    def end_flow(self, key: bytes, reason: Reason) -> list[Effect]:
        """End a flow, and tell its home once no keeper has its record."""
        flow = self.state.flows.pop(key, None)
        self.state.streams.discard(key)
        if flow is None:
            return []
        self.state.counters[f"flows_ended_{reason}"] += 1
        effects: list[Effect] = [CloseUpstream(key)]
        bucket = find_bucket(key)
        if bucket in self.state.homes.settled:
            self.state.reporter.record_ended()
            self.state.arbiter.churn.record_ended(self.state.member.name)
        if self.state.copier.record_ended(flow):
            return effects
        return effects + self.notify_home(flow)

    def notify_home(self, flow: Flow) -> list[Effect]:
        """Tell the home of a flow that it has ended, unless it came back."""
        address = self._find_home(find_bucket(flow.key))
        if address is None or flow.key in self.state.flows:
            return []
        return [SendPeer(address, self.state.make_released(flow.key, flow.assignment))]

    def end_with_refusal(self, flows: list[Flow], reason: Reason) -> list[Effect]:
        """End flows so that their callers can be shown it."""
        effects: list[Effect] = []
        for flow in flows:
            address = flow.entry_address or self.state.pick_entry()
            effects += self.state.send_refusal(flow.key, flow.caller, address, reason)
            del self.state.flows[flow.key]
            self.state.streams.discard(flow.key)
            effects.append(CloseUpstream(flow.key))
        self.state.copier.begin_anew(self.state.flows)
        self.state.counters[f"flows_ended_{reason}"] += len(flows)
        if flows:
            detail = f"{len(flows)} flows, {reason}"
            effects.append(TimelineEvent("flows_ended", detail=detail))
        return effects

    def make_room(self, now: float) -> list[Effect]:
        """End the flows that were idle for longest, where the bound is reached.

        A flow that is active, or was within the floor, is never ended.
        """
        service = self.state.service
        if service is None or len(self.state.flows) < self.state.gate.get_limit(now):
            return []
        if now - self._reclaimed_at < RECLAIM_INTERVAL_S:
            return []
        self._reclaimed_at = now
        floor = service.profile.idle_timeout * RECLAIM_FLOOR_SHARE
        effects: list[Effect] = []
        for flow in list_longest_idle(self.state.flows, floor, RECLAIM_BATCH, now):
            effects += self.end_flow(flow.key, Reason.RECLAIMED)
        return effects

    def handle_flow_check(self, check: FlowCheck, source: Address) -> list[Effect]:
        """Tell the home which of the flows it remembers have ended."""
        if not self.state.has_recovered:
            return []
        effects: list[Effect] = []
        for owned in check.flows:
            if (
                owned.flow in self.state.flows
                or self.state.copier.is_ending(owned.flow)
                or owned.incarnation > self.state.member.incarnation
            ):
                continue
            released = self.state.make_released(owned.flow, owned.assignment)
            effects.append(SendPeer(source, released))
        return effects

    def _find_home(self, bucket: int) -> Address | None:
        """Return where the home of a bucket is reached, if it is another."""
        service = self.state.service
        if service is None or bucket in self.state.homes.settled:
            return None
        promise = self.state.homes.find_promise(bucket)
        if promise is not None:
            return promise.address
        home = service.get_home(bucket)
        if home is None or home.name == self.state.member.name:
            return None
        return Address(home.host, home.port)
