"""What agents tell a new home of a bucket, and what it makes of it."""

from __future__ import annotations

from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.executor import Executor
from fulmarshore.admission.merging import merge_claim, merge_run, split_claims
from fulmarshore.admission.queryrounds import QueryRound
from fulmarshore.core.records import (
    Address,
    ClaimsQuery,
    ClaimsReply,
    Effect,
    SendPeer,
)


def merge_replies(
    home: Coordinator, executor: Executor, finished: QueryRound, now: float
) -> None:
    """Take up what the peers told, and what the own executor remembers."""
    for parts in finished.replies.values():
        for reply in parts.values():
            for claim in reply.claims:
                merge_claim(home, claim, now)
    for parts in finished.replies.values():
        for reply in parts.values():
            for claim in reply.runs:
                merge_run(home, claim, now)
    for claim in executor.list_claims(finished.buckets, now):
        merge_run(home, claim, now)
    home.watch_open_claims(finished.buckets, now)


def answer_query(
    home: Coordinator,
    executor: Executor,
    query: ClaimsQuery,
    source: Address,
    now: float,
) -> list[Effect]:
    """Tell a new home all that is known of its buckets, and give them up."""
    homes = home.settlement.list_homes(set(query.buckets), now)
    stale = not home.settlement.relinquish(query)
    buckets = set() if stale else set(query.buckets)
    claims = home.ledger.list_claims(buckets, now)
    runs = executor.list_claims(buckets, now)
    parts = split_claims(claims, runs)
    effects: list[Effect] = []
    for part, (some_claims, some_runs) in enumerate(parts):
        reply = ClaimsReply(
            home.member.service,
            home.member.name,
            home.member.incarnation,
            home.table.version,
            query.query,
            stale,
            part,
            len(parts),
            home.settlement.losses.get_observation_s(now),
            home.settlement.losses.list_lost(now),
            homes if part == 0 else [],
            some_claims,
            some_runs,
        )
        effects.append(SendPeer(source, reply))
    return effects
