"""Take-over of buckets: this agent as the former or as the new home."""

from __future__ import annotations

from fulmarshore.core.records import (
    Address,
    DeltaRequest,
    Effect,
    SendPeer,
    Takeover,
    TakeoverReply,
)
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.router import Router
from fulmarshore.routing.state import AgentState
from fulmarshore.routing.takeover import FormerHomes, build_replies, make_takeover_event
from fulmarshore.routing.viewsync import ViewSync

MAX_POSTPONED = 256
"""Most take-over requests that are postponed; senders repeat any further ones."""


class Handover:
    """Gives buckets to their new homes, and takes over those of this agent.

    Parameters
    ----------
    state : AgentState
        State shared by all parts of the agent.
    view_sync : ViewSync
        Exchanges views with peers.
    router : Router
        Routes packets of flows that are not held here.
    """

    def __init__(self, state: AgentState, view_sync: ViewSync, router: Router) -> None:
        self.state = state
        self.view_sync = view_sync
        self.router = router
        self.former_homes = FormerHomes()
        self._postponed: dict[tuple[Address, tuple[int, ...]], Takeover] = {}

    def request_buckets(self, now: float) -> list[Effect]:
        """Send the take-over requests that are due."""
        effects: list[Effect] = []
        for member, takeover in self.state.homes.list_due_requests(now):
            self.state.counters["takeovers_asked"] += 1
            effects.append(SendPeer(Address(member.host, member.port), takeover))
        return effects

    def handle_takeover(
        self, takeover: Takeover, source: Address, now: float
    ) -> list[Effect]:
        """Give the buckets that a peer requests, now or once evictions finish."""
        if takeover.version < self.state.table.version:
            return [
                SendPeer(
                    source, make_delta(self.state.subscriber.view, takeover.version)
                )
            ]
        if not self.state.has_recovered or self.state.fence.is_bound_by_confirmation(
            takeover.version, now
        ):
            self.state.counters["takeovers_delayed"] += 1
            return []
        if self.state.evictions.is_waiting(now):
            self.state.counters["takeovers_delayed"] += 1
            if len(self._postponed) < MAX_POSTPONED:
                self._postponed[source, tuple(takeover.buckets[:1])] = takeover
            return []
        effects: list[Effect] = []
        if takeover.version > self.state.table.version:
            self.state.peers.record_request(source)
            request = DeltaRequest(
                self.state.subscriber.identity, self.state.table.version
            )
            effects.append(SendPeer(source, request))
        given, complete = self.state.homes.give_away(takeover, source, now)
        self.state.directory.give_away(given)
        replies = build_replies(
            takeover,
            self.state.subscriber.identity,
            given,
            complete,
            [*self.state.flows.values(), *self.state.copy_sender.ending],
            self.state.directory,
        )
        effects += [SendPeer(source, reply) for reply in replies]
        self.state.counters["buckets_given"] += len(given)
        return effects

    def handle_reply(self, reply: TakeoverReply, now: float) -> list[Effect]:
        """Import the flows that a peer lists in buckets being taken over."""
        if not self.state.homes.is_current_reply(reply):
            self.state.counters["takeover_replies_late"] += 1
            return []
        self.state.arbiter.import_flows(reply.agent, reply.flows, now)
        settled = self.state.homes.handle_reply(reply)
        if not settled:
            return []
        self.state.counters["buckets_taken"] += len(settled)
        return self.report_takeovers(settled) + self.router.resume_held(now)

    def report_takeovers(self, settled: list[int]) -> list[Effect]:
        """Return the timeline events of take-overs that these buckets complete."""
        takeovers = self.former_homes.record_settled(
            self.state.member.service, settled, self.state.directory
        )
        return [make_takeover_event(done) for done in takeovers]

    def handle_postponed(self, now: float) -> list[Effect]:
        """Process the requests that arrived while an eviction was pending."""
        effects: list[Effect] = []
        postponed, self._postponed = self._postponed, {}
        for (source, _), takeover in postponed.items():
            effects += self.handle_takeover(takeover, source, now)
        return effects
