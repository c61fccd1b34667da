"""Ends of the flows that an agent holds."""

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
"""Share of the idle time-out before which a flow is never reclaimed."""


class Lifetimes:
    """Ends flows, and notifies their homes or callers.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    """

    def __init__(self, state: AgentState) -> None:
        self.state = state
        self._reclaimed_at = float("-inf")

    def end_flow(self, key: bytes, reason: Reason) -> list[Effect]:
        """End a flow; notify its home now or once no copy holder has its record."""
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
        if self.state.copy_sender.record_ended(flow):
            return effects
        return effects + self.notify_home(flow)

    def notify_home(self, flow: Flow) -> list[Effect]:
        """Tell the home of a flow that it has ended, unless it was opened again."""
        address = self._find_home(find_bucket(flow.key))
        if address is None or flow.key in self.state.flows:
            return []
        return [SendPeer(address, self.state.make_released(flow.key, flow.assignment))]

    def end_with_refusal(self, flows: list[Flow], reason: Reason) -> list[Effect]:
        """End flows, with a refusal to the entry host of each."""
        effects: list[Effect] = []
        for flow in flows:
            address = flow.entry_address or self.state.pick_entry()
            effects += self.state.send_refusal(flow.key, flow.caller, address, reason)
            del self.state.flows[flow.key]
            self.state.streams.discard(flow.key)
            effects.append(CloseUpstream(flow.key))
        self.state.copy_sender.reset(self.state.flows)
        self.state.counters[f"flows_ended_{reason}"] += len(flows)
        if flows:
            detail = f"{len(flows)} flows, {reason}"
            effects.append(TimelineEvent("flows_ended", detail=detail))
        return effects

    def make_room(self, now: float) -> list[Effect]:
        """End the flows that were idle for longest, if the flow limit is reached.

        Only flows that were idle for `RECLAIM_FLOOR_SHARE` of the time-out end.
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
        """Tell the home which of the flows in its directory have ended."""
        if not self.state.has_recovered:
            return []
        effects: list[Effect] = []
        for owned in check.flows:
            if (
                owned.flow in self.state.flows
                or self.state.copy_sender.is_ending(owned.flow)
                or owned.incarnation > self.state.member.incarnation
            ):
                continue
            released = self.state.make_released(owned.flow, owned.assignment)
            effects.append(SendPeer(source, released))
        return effects

    def _find_home(self, bucket: int) -> Address | None:
        """Return the address of a bucket's home, unless that is this agent."""
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
