"""Buckets that change their home: this agent as one side of it."""

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
from fulmarshore.routing.takeover import FormerHomes, describe_takeover, list_replies
from fulmarshore.routing.versions import Versions

MAX_POSTPONED = 256
"""Asks that are answered later; whoever asked beyond that asks again."""


class Handover:
    """Gives buckets to their new homes and takes over its own.

    Parameters
    ----------
    state : AgentState
        What all parts of the agent share.
    versions : Versions
        Compares versions with others.
    router : Router
        Finds who takes a packet.
    """

    def __init__(self, state: AgentState, versions: Versions, router: Router) -> None:
        self.state = state
        self.versions = versions
        self.router = router
        self.former_homes = FormerHomes()
        self._postponed: dict[tuple[Address, tuple[int, ...]], Takeover] = {}

    def ask(self, now: float) -> list[Effect]:
        """Ask for the buckets that are awaited, if it is time."""
        effects: list[Effect] = []
        for member, ask in self.state.homes.list_asks(now):
            self.state.counters["takeovers_asked"] += 1
            effects.append(SendPeer(Address(member.host, member.port), ask))
        return effects

    def give(self, ask: Takeover, source: Address, now: float) -> list[Effect]:
        """Give the buckets that a peer asks for, now or later."""
        if ask.version < self.state.table.version:
            return [
                SendPeer(source, make_delta(self.state.subscriber.view, ask.version))
            ]
        if not self.state.has_recovered or self.state.fence.is_bound(ask.version, now):
            self.state.counters["takeovers_delayed"] += 1
            return []
        if self.state.evictions.is_waiting(now):
            self.state.counters["takeovers_delayed"] += 1
            if len(self._postponed) < MAX_POSTPONED:
                self._postponed[source, tuple(ask.buckets[:1])] = ask
            return []
        effects: list[Effect] = []
        if ask.version > self.state.table.version:
            self.state.peers.ask(source)
            request = DeltaRequest(
                self.state.subscriber.identity, self.state.table.version
            )
            effects.append(SendPeer(source, request))
        given, complete = self.state.homes.give(ask, source, now)
        self.state.directory.give(given)
        replies = list_replies(
            ask,
            self.state.subscriber.identity,
            given,
            complete,
            [*self.state.flows.values(), *self.state.copier.ended],
            self.state.directory,
        )
        effects += [SendPeer(source, reply) for reply in replies]
        self.state.counters["buckets_given"] += len(given)
        return effects

    def take(self, reply: TakeoverReply, now: float) -> list[Effect]:
        """Take what a peer knows of buckets that are taken over."""
        if not self.state.homes.is_answer(reply):
            self.state.counters["takeover_replies_late"] += 1
            return []
        self.state.arbiter.import_flows(reply.agent, reply.flows, now)
        settled = self.state.homes.take_answer(reply)
        if not settled:
            return []
        self.state.counters["buckets_taken"] += len(settled)
        return self.tell(settled) + self.router.resume_held(now)

    def tell(self, settled: list[int]) -> list[Effect]:
        """Tell of take-overs that these buckets complete."""
        taken = self.former_homes.take(
            self.state.member.service, settled, self.state.directory
        )
        return [describe_takeover(part) for part in taken]

    def give_postponed(self, now: float) -> list[Effect]:
        """Answer those who asked while an evicted agent was waited for."""
        effects: list[Effect] = []
        postponed, self._postponed = self._postponed, {}
        for (source, _), ask in postponed.items():
            effects += self.give(ask, source, now)
        return effects
