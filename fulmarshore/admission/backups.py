"""Backups: for each bucket, one peer that holds all claims besides the home agent.

The home agent of a bucket coordinates its requests. It keeps its backup as long
as that peer is a member. A peer that loses its lease, or whose zone was out,
discards its role as backup. So a peer that reports to be the backup of the last
home of a bucket holds all its claims.
"""

from __future__ import annotations

from collections.abc import Callable

from fulmarshore.admission.bounds import COPY_LIFE_S
from fulmarshore.admission.settlement import Settlement
from fulmarshore.core.records import (
    Address,
    BackupSync,
    BackupSyncReply,
    Effect,
    Identity,
    KnownHome,
    Member,
    SendPeer,
)
from fulmarshore.routing.table import ServiceTable

SYNC_INTERVAL_S = 0.1

MakeParts = Callable[[set[int]], list[list]]


class SyncTransfer:
    """Transfer of all claims in some buckets to their backup."""

    __slots__ = ("number", "peer", "address", "buckets", "parts", "sent_at")

    def __init__(
        self, number: int, peer: Identity, address: Address, buckets: set[int]
    ) -> None:
        self.number = number
        self.peer = peer
        self.address = address
        self.buckets = buckets
        self.parts: dict[int, BackupSync] = {}
        self.sent_at = float("-inf")


class Backups:
    """Chooses backups for an agent's buckets, and tracks those that it backs up.

    Parameters
    ----------
    member : Member
        The agent's own announcement.
    settlement : Settlement
        The buckets of which the agent is home.
    first_sync : int
        Number of the first synchronisation.
    """

    def __init__(self, member: Member, settlement: Settlement, first_sync: int) -> None:
        self.member = member
        self.settlement = settlement
        self._backups: dict[int, Identity] = {}
        self._syncs: dict[Identity, SyncTransfer] = {}
        self._received_parts: dict[tuple[Identity, int], set[int]] = {}
        self._terms: dict[tuple[Identity, int], list[KnownHome]] = {}
        self._last_sync = first_sync
        self._discarded_at = float("-inf")

    def find(self, bucket: int) -> Identity | None:
        """Return the backup of a bucket."""
        return self._backups.get(bucket)

    def update(
        self, service: ServiceTable, make_parts: MakeParts, now: float
    ) -> list[Effect]:
        """Choose a backup for each settled bucket without one."""
        members = {Identity(m.name, m.incarnation): m for m in service.members}
        settled = self.settlement.settled
        for bucket, peer in list(self._backups.items()):
            if bucket in settled and peer in members:
                continue
            del self._backups[bucket]
        for peer in list(self._syncs):
            if peer not in members:
                del self._syncs[peer]
        chosen: dict[Identity, set[int]] = {}
        for bucket in settled:
            if bucket in self._backups:
                continue
            member = self._choose_peer(service, bucket)
            if member is None:
                continue
            peer = Identity(member.name, member.incarnation)
            self._backups[bucket] = peer
            chosen.setdefault(peer, set()).add(bucket)
        for peer, buckets in chosen.items():
            self._start_sync(peer, members[peer], buckets, make_parts, now)
        return self.tick(now)

    def _choose_peer(self, service: ServiceTable, bucket: int) -> Member | None:
        for member in (*service.get_ranking(bucket), *service.members):
            if member.name != self.member.name:
                return member
        return None

    def _start_sync(
        self,
        peer: Identity,
        member: Member,
        buckets: set[int],
        make_parts: MakeParts,
        now: float,
    ) -> None:
        former = self._syncs.get(peer)
        if former is not None:
            buckets = buckets | (former.buckets & self.settlement.settled)
        self._last_sync += 1
        address = Address(member.host, member.port)
        sync = SyncTransfer(self._last_sync, peer, address, buckets)
        parts = make_parts(buckets)
        terms = []
        for home in self.settlement.list_homes(buckets, now):
            if home.agent == self.member.name and home.settled:
                terms.append(home)
        for part, claims in enumerate(parts):
            sync.parts[part] = BackupSync(
                self.member.service,
                self.member.name,
                self.member.incarnation,
                self.settlement.version,
                peer.name,
                peer.incarnation,
                sync.number,
                part,
                len(parts),
                terms if part == 0 else [],
                claims,
            )
        self._syncs[peer] = sync

    def tick(self, now: float) -> list[Effect]:
        """Resend the parts that are not acknowledged yet."""
        effects: list[Effect] = []
        for sync in self._syncs.values():
            if now - sync.sent_at < SYNC_INTERVAL_S:
                continue
            sync.sent_at = now
            effects += [SendPeer(sync.address, part) for part in sync.parts.values()]
        return effects

    def handle_reply(self, reply: BackupSyncReply) -> None:
        """Record that a peer has received a part."""
        peer = Identity(reply.agent, reply.incarnation)
        sync = self._syncs.get(peer)
        if sync is None or sync.number != reply.sync:
            return
        sync.parts.pop(reply.part, None)
        if not sync.parts:
            del self._syncs[peer]

    def discard_roles(self, now: float) -> None:
        """Stop being a backup, as homes may have chosen other ones meanwhile."""
        self.settlement.backed_up.clear()
        self._received_parts.clear()
        self._terms.clear()
        self._discarded_at = now

    def can_accept(self, message: BackupSync, now: float) -> bool:
        """Return whether a message is meant for this incarnation in its current role.

        A copy for an earlier process at this address, or one that was sent
        before this agent discarded its roles, would make it the backup of claims
        that it has never received.
        """
        target = Identity(message.target, message.target_incarnation)
        if target != Identity(self.member.name, self.member.incarnation):
            return False
        return now - self._discarded_at > COPY_LIFE_S

    def handle_sync(self, message: BackupSync, now: float) -> None:
        """Become the backup of some buckets once all parts have arrived.

        The first part lists the buckets.
        """
        sender = Identity(message.agent, message.incarnation)
        key = (sender, message.sync)
        received = self._received_parts.setdefault(key, set())
        received.add(message.part)
        if message.part == 0:
            self._terms[key] = message.terms
        if len(received) < message.parts:
            return
        for home in self._terms.pop(key, []):
            self.settlement.record_backup(home, now)
        for old in [held for held in self._received_parts if held[0] == sender]:
            if old[1] < message.sync:
                del self._received_parts[old]
                self._terms.pop(old, None)
