"""Handoff of claims from an agent that stops as planned to its peers."""

from __future__ import annotations

from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.merging import merge_claim, merge_run, split_claims
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

HANDOFF_RESEND_INTERVAL_S = 0.1
HANDOFF_TIMEOUT_S = 2.0
RECEIVERS_PER_CLAIM = 2
"""Number of peers that receive each claim."""


class HandoffManager:
    """Sends the claims of a stopping agent to peers, once all its work has ended.

    Parameters
    ----------
    home : Coordinator
        The coordinator that holds the claims.
    """

    __slots__ = ("_home", "_pending", "_started_at", "_sent_at")

    def __init__(self, home: Coordinator) -> None:
        self._home = home
        self._pending: dict[Identity, dict[int, ClaimHandoff]] | None = None
        self._started_at = float("inf")
        self._sent_at = float("-inf")

    def has_started(self) -> bool:
        """Return whether the handoff is under way; no more claims are accepted."""
        return self._pending is not None

    def is_done(self, now: float) -> bool:
        """Return whether all peers have acknowledged, or the timeout has passed."""
        if self._pending is None:
            return False
        return not self._pending or now - self._started_at > HANDOFF_TIMEOUT_S

    def tick(self, executor: Executor, now: float) -> list[Effect]:
        """Send the parts that are not acknowledged yet."""
        if self._pending is None:
            if not self._can_start(executor):
                return []
            self._pending = self._build_handoffs(executor, now)
            self._started_at = now
        if now - self._sent_at < HANDOFF_RESEND_INTERVAL_S:
            return []
        self._sent_at = now
        effects: list[Effect] = []
        service = self._home.service
        for peer, parts in self._pending.items():
            member = service.by_name.get(peer.name) if service else None
            if member is None:
                continue
            address = Address(member.host, member.port)
            effects += [SendPeer(address, part) for part in parts.values()]
        return effects

    def _can_start(self, executor: Executor) -> bool:
        """Return whether no claim can still be added.

        While the agent's own table lists it as a home, it receives new requests,
        whose claims would be missing from the handoff.
        """
        if executor.count_used() or self._home.count_open():
            return False
        return not self._home.settlement.home_buckets

    def _build_handoffs(
        self, executor: Executor, now: float
    ) -> dict[Identity, dict[int, ClaimHandoff]]:
        service = self._home.service
        if service is None:
            return {}
        own = self._home.member.name
        others = [member for member in service.members if member.name != own]
        claims_by_name: dict[str, list[Claim]] = {member.name: [] for member in others}
        for state in self._home.claim_table.claims.values():
            if state.idempotent:
                continue
            ranking = service.get_ranking(find_bucket(state.flow))
            receivers = [
                member.name for member in ranking if member.name in claims_by_name
            ]
            for name in receivers[:RECEIVERS_PER_CLAIM]:
                claims_by_name[name].append(state.to_claim(now))
        runs = executor.list_all_claims(now)
        handoffs = {}
        for member in others:
            peer = Identity(member.name, member.incarnation)
            handoffs[peer] = self._make_parts(claims_by_name[member.name], runs, now)
        return handoffs

    def _make_parts(
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
                settlement.losses.get_observation_s(now),
                settlement.losses.list_lost(now),
            )
        return parts

    def handle(
        self, handoff: ClaimHandoff, source: Address, now: float
    ) -> list[Effect]:
        """Merge one part of the handoff of a stopping peer."""
        home = self._home
        for claim in handoff.claims:
            merge_claim(home, claim, now)
        for claim in handoff.runs:
            merge_run(home, claim, now, only_known=True)
        home.settlement.losses.record_handoff(handoff, now)
        reply = ClaimHandoffReply(
            home.member.service,
            home.member.name,
            home.member.incarnation,
            home.table.version,
            handoff.part,
        )
        return [SendPeer(source, reply)]

    def handle_reply(self, reply: ClaimHandoffReply) -> None:
        """Record that a peer has received a part."""
        peer = Identity(reply.agent, reply.incarnation)
        if self._pending is None or peer not in self._pending:
            return
        self._pending[peer].pop(reply.part, None)
        if not self._pending[peer]:
            del self._pending[peer]
