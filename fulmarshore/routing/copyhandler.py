"""Copies the agent's flow records to peers and reports ends of flows."""

from __future__ import annotations

from fulmarshore.core.codec import encode
from fulmarshore.core.records import Effect, FlowCopyAck, SendPeer
from fulmarshore.routing.flowrecords import get_address
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.lifetimes import Lifetimes
from fulmarshore.routing.router import Router
from fulmarshore.routing.state import AgentState


class CopyHandler:
    """Sends batches to copy holders, and reports ends once acknowledged.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    lifetimes : Lifetimes
        Ends flows.
    router : Router
        Routes packets of flows that are not held here.
    """

    def __init__(self, state: AgentState, lifetimes: Lifetimes, router: Router) -> None:
        self.state = state
        self.lifetimes = lifetimes
        self.router = router

    def record_opened(self, key: bytes, port: int) -> None:
        """Record the local port of a flow's socket."""
        flow = self.state.flows.get(key)
        if flow is None or flow.local_port == port:
            return
        flow.local_port = port
        self.state.copy_sender.record_opened(key)

    def update(self, now: float) -> list[Effect]:
        """Choose copy holders from a newer table."""
        self.state.record_transfer.update(self.state.service, now)
        if self.state.service is None:
            self.state.record_transfer.drop_copies(self.state.table.version)
        if not self.state.has_recovered:
            return []
        reportable = self.state.copy_sender.update(self.state.service, self.state.flows)
        return self._report_ends(reportable, now)

    def tick(self, now: float) -> list[Effect]:
        """Send the batches that are due."""
        effects: list[Effect] = []
        version = self.state.table.version
        for member, batch in self.state.copy_sender.list_due(
            version, self.state.flows, now
        ):
            self.state.counters["copy_batches_sent"] += 1
            self.state.counters["copy_bytes_sent"] += len(encode(batch))
            effects.append(SendPeer(get_address(member), batch))
        return effects

    def handle_ack(self, ack: FlowCopyAck, now: float) -> list[Effect]:
        """Process the acknowledgement of a copy holder."""
        if ack.is_lost:
            self.state.counters["copies_lost"] += 1
        reportable = self.state.copy_sender.handle_ack(ack, self.state.flows)
        return self._report_ends(reportable, now)

    def _report_ends(self, reportable: list[Flow], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for flow in reportable:
            effects += self.lifetimes.notify_home(flow)
        if not reportable:
            return effects
        return effects + self.router.resume_held(now)
