"""Replication of claims to their holders, and the steps that follow their replies.

A home agent, which coordinates the requests of a bucket, acts on the claim of a
non-idempotent request only after its holders have stored the claim.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.admission.bounds import BACKUP_RESEND_INTERVAL_S
from fulmarshore.admission.claimtable import ClaimState, Stage
from fulmarshore.admission.claimtransfer import transfer_claim, yield_claim
from fulmarshore.admission.holders import choose_holders
from fulmarshore.admission.messages import make_backup
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Address,
    ClaimBackupReply,
    Effect,
    Identity,
    Member,
    SendPeer,
)

if TYPE_CHECKING:
    from fulmarshore.admission.coordinator import Coordinator


def start_replication(
    home: Coordinator, state: ClaimState, stage: Stage, now: float
) -> list[Effect]:
    """Send a claim to its holders; the next step waits for their replies."""
    state.stage = stage
    home.assign_version(state)
    state.send_count = 0
    state.pending_peers = set()
    if state.idempotent:
        return _proceed(home, state, now)
    return send_to_holders(home, state, now)


def send_to_holders(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    """Send a claim to the holders that have not acknowledged it yet."""
    is_home = home.settlement.is_home(find_bucket(state.flow))
    if state.stage == Stage.REPLICATING and not is_home:
        return transfer_claim(home, state, now)
    if home.is_past_lease_grace:
        # An agent that joined meanwhile may be home without any peer knowing it.
        home.schedule(state, now + BACKUP_RESEND_INTERVAL_S)
        return []
    peers = choose_holders(home, state)
    if not peers and not home.has_lease:
        home.schedule(state, now + BACKUP_RESEND_INTERVAL_S)
        return []
    if not peers:
        return _proceed(home, state, now)
    chosen = {Identity(peer.name, peer.incarnation) for peer in peers}
    if not state.pending_peers or not state.pending_peers <= chosen:
        state.pending_peers = chosen
    home.schedule(state, now + BACKUP_RESEND_INTERVAL_S)
    effects: list[Effect] = []
    for peer in peers:
        if Identity(peer.name, peer.incarnation) in state.pending_peers:
            effects.append(make_backup_effect(home, state, peer, now))
    return effects


def make_backup_effect(
    home: Coordinator, state: ClaimState, peer: Member, now: float
) -> SendPeer:
    """Return the effect that sends a claim to one peer."""
    message = make_backup(home.member, home.table.version, state, now)
    return SendPeer(Address(peer.host, peer.port), message)


def process_backup_reply(
    home: Coordinator, reply: ClaimBackupReply, now: float
) -> list[Effect]:
    """Process a peer's reply to a claim that was sent to it."""
    state = home.claim_table.find(reply.flow)
    if state is None or state.stage in (Stage.AWAITING_DISPATCH, Stage.RUNNING):
        return []
    peer = Identity(reply.agent, reply.incarnation)
    if reply.sequence != state.sequence or peer not in state.pending_peers:
        return []
    if not reply.accepted and state.stage == Stage.DONE:
        # The outcome is final; a newer home receives it with its query.
        state.pending_peers = set()
        return []
    if not reply.accepted:
        new_home = home.settlement.find_home(find_bucket(state.flow))
        return yield_claim(home, state, now) if peer == new_home else []
    state.pending_peers.discard(peer)
    if state.pending_peers or state.stage not in (Stage.REPLICATING, Stage.REFUSING):
        return []
    return _proceed(home, state, now)


def _proceed(home: Coordinator, state: ClaimState, now: float) -> list[Effect]:
    bucket = find_bucket(state.flow)
    is_home = home.settlement.is_home(bucket)
    is_settled = bucket in home.settlement.settled and not home.is_past_lease_grace
    if is_home and not is_settled and not state.idempotent:
        # Another agent may have been home meanwhile; the query for its claims runs.
        home.schedule(state, now + BACKUP_RESEND_INTERVAL_S)
        return []
    if is_home:
        state.term = home.settlement.terms.get(bucket, 0)
    if state.stage == Stage.REFUSING:
        return home.complete(state, now)
    assert state.stage == Stage.REPLICATING
    if not is_home and not state.idempotent:
        return transfer_claim(home, state, now)
    return home.dispatch(state, now)
