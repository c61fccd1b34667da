"""Queries of a new home agent for the claims of its buckets, and their replies.

The home agent of a bucket coordinates all requests of that bucket.
"""

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
    """Merge the replies of the peers, and the runs of this agent's executor."""
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
    """Relinquish buckets to a new home, and send it all their claims and runs."""
    homes = home.settlement.list_homes(set(query.buckets), now)
    stale = not home.settlement.relinquish(query)
    buckets = set() if stale else set(query.buckets)
    claims = home.claim_table.list_claims(buckets, now)
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
