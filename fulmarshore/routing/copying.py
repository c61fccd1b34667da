"""An agent as the one whose flow records its peers copy."""

from __future__ import annotations

from fulmarshore.core.codec import encode
from fulmarshore.core.records import Effect, FlowCopyAck, SendPeer
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.lifetimes import Lifetimes
from fulmarshore.routing.restart import get_address
from fulmarshore.routing.router import Router
from fulmarshore.routing.state import AgentState


class Copying:
    """Sends batches to keepers, and tells of ends once they are kept.

    Parameters
    ----------
    state : AgentState
        What all parts of the agent share.
    lifetimes : Lifetimes
        Ends flows.
    router : Router
        Finds who takes a packet.
    """

    def __init__(self, state: AgentState, lifetimes: Lifetimes, router: Router) -> None:
        self.state = state
        self.lifetimes = lifetimes
        self.router = router

    def note_opened(self, key: bytes, port: int) -> None:
        """Note the local port of a flow's socket."""
        flow = self.state.flows.get(key)
        if flow is None or flow.local_port == port:
            return
        flow.local_port = port
        self.state.copier.note_opened(key)

    def update(self, now: float) -> list[Effect]:
        """Choose keepers from a newer table."""
        self.state.succession.update(self.state.service, now)
        if self.state.service is None:
            self.state.succession.drop_copies(self.state.table.version)
        if not self.state.has_recovered:
            return []
        freed = self.state.copier.update(self.state.service, self.state.flows)
        return self._tell(freed, now)

    def tick(self, now: float) -> list[Effect]:
        """Send the batches that are due."""
        effects: list[Effect] = []
        version = self.state.table.version
        for member, batch in self.state.copier.list_due(version, self.state.flows, now):
            self.state.counters["copy_batches_sent"] += 1
            self.state.counters["copy_bytes_sent"] += len(encode(batch))
            effects.append(SendPeer(get_address(member), batch))
        return effects

    def take_kept(self, kept: FlowCopyAck, now: float) -> list[Effect]:
        """Take the answer of a keeper."""
        if kept.is_lost:
            self.state.counters["copies_lost"] += 1
        freed = self.state.copier.take_kept(kept, self.state.flows)
        return self._tell(freed, now)

    def _tell(self, freed: list[Flow], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for flow in freed:
            effects += self.lifetimes.notify_home(flow)
        if not freed:
            return effects
        return effects + self.router.resume_held(now)
