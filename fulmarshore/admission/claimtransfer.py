"""Transfer of claims from a former home agent of a bucket to its new one.

The home agent coordinates all requests of a bucket.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.admission.bounds import BACKUP_RESEND_INTERVAL_S, DEPARTURE_GRACE_S
from fulmarshore.admission.claimtable import ClaimState, Stage
from fulmarshore.admission.holders import is_member
from fulmarshore.admission.messages import make_forward
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    Effect,
    Identity,
    Reason,
    SendPeer,
    Verdict,
)

if TYPE_CHECKING:
    from fulmarshore.admission.coordinator import Coordinator

NO_ATTEMPT = -1
"""Attempt of a claim that blocks no copy, as it was transferred unrun."""


def yield_claim(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Leave a claim to the new home, which has rejected this agent's state of it."""
    home.counters["claims_left"] += 1
    state.stage = Stage.REMOTE
    state.verdict, state.reason = None, ""
    new_home = home.settlement.find_home(find_bucket(state.flow))
    state.coordinator = new_home or home.identity
    home.schedule(state, now + DEPARTURE_GRACE_S)
    return []


def transfer_claim(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Forward a request that has not run to the new home of its bucket.

    The claim that stays here states that the request has not run, and blocks no
    copy. It is newer than what peers hold of this home, but keeps the former
    term, so any state from the new home is newer still.
    """
    new_home = home.settlement.find_home(find_bucket(state.flow))
    if state.request is None or new_home == home.identity:
        home.schedule(state, now + BACKUP_RESEND_INTERVAL_S)
        return []
    if not is_member(home.service, new_home):
        # The new home may be a member only in a newer table than the current one.
        home.schedule(state, now + BACKUP_RESEND_INTERVAL_S)
        return []
    home.counters["claims_handed_back"] += 1
    forwarded = _forward_request(home, state, new_home, now)
    state.verdict, state.reason = Verdict.NOT_RUN, Reason.NOT_SETTLED
    state.attempt = NO_ATTEMPT
    state.sequence = home.next_sequence()
    state.stage = Stage.DONE
    state.request = None
    state.send_count = 0
    return home.replicate_outcome(state, now) + forwarded


def _forward_request(
    home: Coordinator, state: ClaimState, new_home: Identity, now: float
) -> list[Effect]:
    service = home.service
    member = service.by_name.get(new_home.name) if service else None
    forward = make_forward(home.member, home.table.version, state, new_home, now)
    if member is None or forward is None:
        return []
    return [SendPeer(Address(member.host, member.port), forward)]
