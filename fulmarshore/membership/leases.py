"""The leases of all members, which only the leader expires.

The other control hosts report the heartbeats they receive to the leader, which
measures leases by its own clock.
"""

from __future__ import annotations

from fulmarshore.core.records import (
    Announcement,
    EntryHost,
    Expire,
    Heartbeat,
    Identity,
    Join,
    Leave,
    Member,
    ProcessStatus,
    Subscribe,
    TimelineEvent,
    Zone,
)
from fulmarshore.membership.view import View, get_key

LEASE_S = 3.0
"""A process without a heartbeat for this long loses its membership."""
OUT_ZONE_EXPIRIES_PER_S = 140
"""Largest number of members per second that expire in zones that are out."""
ISOLATION_TIMEOUT_S = 1.5
"""A leader without any heartbeat for this long considers itself isolated."""


class Lease:
    """Last contact with a process, and the version it had in force."""

    __slots__ = ("identity", "last_contact", "version")

    def __init__(self, identity: Identity, last_contact: float, version: int) -> None:
        self.identity = identity
        self.last_contact = last_contact
        self.version = version


class LeaseTable:
    """The leases of all members, measured by the leader's clock.

    No lease expires while the leader receives no heartbeat at all. It is then
    most likely isolated itself, and no process could use a smaller membership.
    The first heartbeat after that renews all leases.
    """

    def __init__(self) -> None:
        self.last_contact = float("-inf")
        self.by_name: dict[str, Lease] = {}
        self.pending_joins: dict[tuple[str, str], Subscribe] = {}
        self._proposed: dict[str, int] = {}
        self._is_reported_isolated = False
        self._out_expiries_since = float("-inf")
        self._out_expiries = 0

    def reset(self, view: View, now: float) -> None:
        """Give every member a full lease, on a change of leadership."""
        self.by_name = {}
        self.pending_joins = {}
        self._proposed = {}
        self.last_contact = now
        for identity, _ in list_members(view):
            self.by_name[identity.name] = Lease(identity, now, 0)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Renew the lease of a process."""
        if self.is_isolated(now):
            self._renew_all(now)
        self.last_contact = now
        lease = self.by_name.get(heartbeat.identity.name)
        if lease is None or lease.identity.incarnation < heartbeat.identity.incarnation:
            self.by_name[heartbeat.identity.name] = Lease(
                heartbeat.identity, now, heartbeat.version
            )
            return
        if lease.identity == heartbeat.identity:
            lease.last_contact = now
            lease.version = heartbeat.version

    def is_isolated(self, now: float) -> bool:
        """Return whether no heartbeat came for ``ISOLATION_TIMEOUT_S``."""
        return now - self.last_contact >= ISOLATION_TIMEOUT_S

    def report_isolation(self, now: float) -> list[TimelineEvent]:
        """Return an event when isolation begins or ends."""
        is_isolated = self.is_isolated(now) and bool(self.by_name)
        if is_isolated == self._is_reported_isolated:
            return []
        self._is_reported_isolated = is_isolated
        kind = "processes_silent" if is_isolated else "processes_heard"
        return [TimelineEvent(kind, detail=f"{len(self.by_name)} leases")]

    def _renew_all(self, now: float) -> None:
        for lease in self.by_name.values():
            lease.last_contact = now

    def request_join(self, message: Subscribe, now: float) -> None:
        """Record an announcement to be added to the membership."""
        key = get_key(message.announcement)
        pending = self.pending_joins.get(key)
        if pending is None or get_recency(pending) <= get_recency(message):
            self.pending_joins[key] = message
        self.record_heartbeat(Heartbeat(message.identity, message.version), now)

    def handle_leave(self, message: Leave) -> None:
        """Drop the pending announcements of a process that left."""
        for key, pending in list(self.pending_joins.items()):
            if pending.identity == message.identity:
                del self.pending_joins[key]

    def take_joins(self, view: View) -> list[Join]:
        """Return and clear the joins for announcements that the view lacks."""
        commands = []
        for message in self.pending_joins.values():
            current = view.items.get(get_key(message.announcement))
            if current is not None and current.item == message.announcement:
                continue
            commands.append(Join(message.announcement, message.revision))
        self.pending_joins = {}
        return commands

    def list_expired(self, view: View, applied: int, now: float) -> list[Expire]:
        """Return the commands that end memberships whose lease has expired.

        A proposed expiry is not proposed again. Members of an availability zone
        that is out receive no packets, so they expire at a limited rate: a lost
        zone would otherwise use up several seconds of the bandwidth that control
        may use per process.
        """
        if self.is_isolated(now):
            return []
        commands = []
        for identity, announcement in list_members(view):
            lease = self.by_name.get(identity.name)
            if lease is None or lease.identity.incarnation < identity.incarnation:
                self.by_name[identity.name] = Lease(identity, now, 0)
                continue
            is_newer = lease.identity.incarnation > identity.incarnation
            if not is_newer and now - lease.last_contact < LEASE_S:
                continue
            if self._proposed.get(identity.name, 0) > applied:
                continue
            if _is_out(view, announcement.zone) and not self._try_expire_in_out_zone(
                now
            ):
                continue
            commands.append(Expire(identity))
        return commands

    def _try_expire_in_out_zone(self, now: float) -> bool:
        """Count an expiry in a zone that is out; return False above the rate limit."""
        if now - self._out_expiries_since >= 1.0:
            self._out_expiries_since = now
            self._out_expiries = 0
        if self._out_expiries >= OUT_ZONE_EXPIRIES_PER_S:
            return False
        self._out_expiries += 1
        return True

    def record_proposed(self, commands: list[Expire], index: int) -> None:
        """Record the log index at which expiries were proposed."""
        for command in commands:
            self._proposed[command.identity.name] = index

    def prune_departed(self, view: View, now: float) -> None:
        """Drop expired leases of processes that are no longer members."""
        names = {identity.name for identity, _ in list_members(view)}
        for name, lease in list(self.by_name.items()):
            if name not in names and now - lease.last_contact >= LEASE_S:
                del self.by_name[name]
                self._proposed.pop(name, None)

    def list_processes(self, view: View, now: float) -> list[ProcessStatus]:
        """Return the status of every member that has a lease."""
        found = []
        for identity, announcement in list_members(view):
            lease = self.by_name.get(identity.name)
            if lease is None or lease.identity != identity:
                continue
            age = now - lease.last_contact
            found.append(
                make_process_status(identity, announcement, lease.version, age)
            )
        return found


def make_process_status(
    identity: Identity, announcement: Announcement, version: int, age: float
) -> ProcessStatus:
    """Return the status of a process, as shown to operators."""
    role = "agent" if isinstance(announcement, Member) else "entry"
    return ProcessStatus(identity, role, announcement.zone, version, age)


def list_members(view: View) -> list[tuple[Identity, Announcement]]:
    """Return the identity and announcement of every process in a view."""
    found = []
    for stamped in view.items.values():
        item = stamped.item
        if isinstance(item, Member | EntryHost):
            found.append((Identity(item.name, item.incarnation), item))
    return found


def _is_out(view: View, zone: str) -> bool:
    current = view.items.get((Zone.__name__, zone))
    return current is not None and current.item.out


def get_recency(message: Subscribe) -> tuple[int, int]:
    """Return incarnation and revision, which order the announcements of a name."""
    return message.identity.incarnation, message.revision
