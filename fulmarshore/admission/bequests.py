"""What an agent that stops as planned leaves to its peers."""

from __future__ import annotations

from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.knowledge import merge_claim, merge_run, split_claims
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    Claim,
    ClaimHandoff,
    ClaimHandoffReply,
    Effect,
    Identity,
    Member,
    SendPeer,
)

BEQUEST_INTERVAL_S = 0.1
BEQUEST_TIMEOUT_S = 2.0
HEIRS = 2
"""Peers that get each claim."""


class Bequests:
    """Passes the claims of a stopping agent on, once all its work has ended.

    Parameters
    ----------
    home : Coordinator
        The claims.
    """

    __slots__ = ("_home", "_left", "_began", "_sent_at")

    def __init__(self, home: Coordinator) -> None:
        self._home = home
        self._left: dict[Identity, dict[int, ClaimHandoff]] | None = None
        self._began = float("inf")
        self._sent_at = float("-inf")

    def has_begun(self) -> bool:
        """Return whether the agent takes no claim of others any more."""
        return self._left is not None

    def is_done(self, now: float) -> bool:
        """Return whether every peer took its part, or was waited for."""
        if self._left is None:
            return False
        return not self._left or now - self._began > BEQUEST_TIMEOUT_S

    def tick(self, executor: Executor, now: float) -> list[Effect]:
        """Send what has not been taken, each claim to two peers."""
        if self._left is None:
            if not self._may_begin(executor):
                return []
            self._left = self._make(executor, now)
            self._began = now
        if now - self._sent_at < BEQUEST_INTERVAL_S:
            return []
        self._sent_at = now
        effects: list[Effect] = []
        service = self._home.service
        for peer, parts in self._left.items():
            member = service.by_name.get(peer.name) if service else None
            if member is None:
                continue
            address = Address(member.host, member.port)
            effects += [SendPeer(address, part) for part in parts.values()]
        return effects

    def _may_begin(self, executor: Executor) -> bool:
        """Return whether nothing can come any more that a peer must know.

        While its own table still names this agent as a home, others send it new
        requests. Their claims would be in no bequest.
        """
        if executor.count_used() or self._home.count_open():
            return False
        return not self._home.settlement.homes

    def _make(
        self, executor: Executor, now: float
    ) -> dict[Identity, dict[int, ClaimHandoff]]:
        service = self._home.service
        if service is None:
            return {}
        own = self._home.member.name
        others = [member for member in service.members if member.name != own]
        shares: dict[str, list[Claim]] = {member.name: [] for member in others}
        for state in self._home.ledger.claims.values():
            if state.idempotent:
                continue
            row = service.get_ranking(find_bucket(state.flow))
            heirs = [member.name for member in row if member.name in shares]
            for name in heirs[:HEIRS]:
                shares[name].append(state.to_claim(now))
        runs = executor.list_all(now)
        bequests = {}
        for member in others:
            peer = Identity(member.name, member.incarnation)
            bequests[peer] = self._split(shares[member.name], runs, now)
        return bequests

    def _split(
        self, claims: list[Claim], runs: list[Claim], now: float
    ) -> dict[int, ClaimHandoff]:
        member: Member = self._home.member
        settlement = self._home.settlement
        split = split_claims(claims, runs)
        parts = {}
        for part, (some_claims, some_runs) in enumerate(split):
            parts[part] = ClaimHandoff(
                member.service,
                member.name,
                member.incarnation,
                self._home.table.version,
                part,
                len(split),
                some_claims,
                some_runs,
                settlement.memories.get_age(now),
                settlement.memories.list_lost(now),
            )
        return parts

    def take(self, bequest: ClaimHandoff, source: Address, now: float) -> list[Effect]:
        """Take up a part of what a stopping peer leaves."""
        home = self._home
        for claim in bequest.claims:
            merge_claim(home, claim, now)
        for claim in bequest.runs:
            merge_run(home, claim, now, only_known=True)
        home.settlement.memories.take_bequest(bequest, now)
        reply = ClaimHandoffReply(
            home.member.service,
            home.member.name,
            home.member.incarnation,
            home.table.version,
            bequest.part,
        )
        return [SendPeer(source, reply)]

    def take_reply(self, reply: ClaimHandoffReply) -> None:
        """Note that a peer took a part."""
        peer = Identity(reply.agent, reply.incarnation)
        if self._left is None or peer not in self._left:
            return
        self._left[peer].pop(reply.part, None)
        if not self._left[peer]:
            del self._left[peer]
