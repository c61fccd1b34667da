"""Claims that a home leaves to another home of their bucket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.admission.bounds import GRACE_S, WRITE_INTERVAL_S
from fulmarshore.admission.holders import is_member
from fulmarshore.admission.ledger import ClaimState, Stage
from fulmarshore.admission.messages import make_packet
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

NOTHING_BARRED = -1
"""Attempt of a claim that was handed back: each copy may still run."""


def stand_back(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Leave a claim to the home that the peer knows."""
    home.counters["claims_left"] += 1
    state.stage = Stage.ELSEWHERE
    state.verdict, state.reason = None, ""
    new_home = home.settlement.find_home(find_bucket(state.flow))
    state.coordinator = new_home or home.identity
    home.schedule(state, now + GRACE_S)
    return []


def hand_back(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Leave a request that nobody runs to the new home of its bucket.

    What this agent holds says that it ran nothing and bars nothing. It is
    newer than what peers hold of this home, and stays in the former term, so
    that whatever the new home says is newer still.
    """
    new_home = home.settlement.find_home(find_bucket(state.flow))
    if state.request is None or new_home == home.identity:
        home.schedule(state, now + WRITE_INTERVAL_S)
        return []
    if not is_member(home.service, new_home):
        # A home that asks may be in a newer table than the one in force here.
        home.schedule(state, now + WRITE_INTERVAL_S)
        return []
    home.counters["claims_handed_back"] += 1
    passed = _pass_on(home, state, new_home, now)
    state.verdict, state.reason = Verdict.NOT_RUN, Reason.NOT_SETTLED
    state.attempt = NOTHING_BARRED
    state.sequence = home.draw_sequence()
    state.stage = Stage.DONE
    state.request = None
    state.writes = 0
    return home.show_outcome(state, now) + passed


def _pass_on(
    home: Coordinator, state: ClaimState, new_home: Identity, now: float
) -> list[Effect]:
    service = home.service
    member = service.by_name.get(new_home.name) if service else None
    packet = make_packet(home.member, home.table.version, state, new_home, now)
    if member is None or packet is None:
        return []
    return [SendPeer(Address(member.host, member.port), packet)]
