"""The leases of all members, which the leader alone judges.

It hears from the other control hosts which processes they heard, and judges by
its own clock.
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
"""A process that is not heard of for this long loses its membership."""
OUT_EXPIRIES_PER_S = 140
"""Members of availability zones that are out whose memberships end in a second."""
ISOLATION_TIMEOUT_S = 1.5
"""A leader that hears no process for this long takes itself for cut off."""


class Lease:
    """When a process was last heard of, and the version it had in force."""

    __slots__ = ("identity", "heard_at", "version")

    def __init__(self, identity: Identity, heard_at: float, version: int) -> None:
        self.identity = identity
        self.heard_at = heard_at
        self.version = version


class Leases:
    """The leases of all members, judged by the leader's clock.

    No lease ends while the leader hears no process at all: then it is rather
    cut off itself, and nobody is there to whom a smaller membership would be
    of use. Whoever is heard first after that finds all leases full again.
    """

    def __init__(self) -> None:
        self.heard_at = float("-inf")
        self.held: dict[str, Lease] = {}
        self.wanted: dict[tuple[str, str], Subscribe] = {}
        self._proposed: dict[str, int] = {}
        self._is_told_isolated = False
        self._out_counted_at = float("-inf")
        self._out_expiries = 0

    def reset(self, view: View, now: float) -> None:
        """Give every member a full lease, as a new leader does."""
        self.held = {}
        self.wanted = {}
        self._proposed = {}
        self.heard_at = now
        for identity, _ in list_members(view):
            self.held[identity.name] = Lease(identity, now, 0)

    def hear(self, beat: Heartbeat, now: float) -> None:
        """Renew the lease of a process."""
        if self.is_isolated(now):
            self._renew_all(now)
        self.heard_at = now
        lease = self.held.get(beat.identity.name)
        if lease is None or lease.identity.incarnation < beat.identity.incarnation:
            self.held[beat.identity.name] = Lease(beat.identity, now, beat.version)
            return
        if lease.identity == beat.identity:
            lease.heard_at = now
            lease.version = beat.version

    def is_isolated(self, now: float) -> bool:
        """Return whether no process has been heard for long."""
        return now - self.heard_at >= ISOLATION_TIMEOUT_S

    def note_isolation(self, now: float) -> list[TimelineEvent]:
        """Tell when the last process has gone silent, and when one is heard."""
        is_isolated = self.is_isolated(now) and bool(self.held)
        if is_isolated == self._is_told_isolated:
            return []
        self._is_told_isolated = is_isolated
        kind = "processes_silent" if is_isolated else "processes_heard"
        return [TimelineEvent(kind, detail=f"{len(self.held)} leases")]

    def _renew_all(self, now: float) -> None:
        for lease in self.held.values():
            lease.heard_at = now

    def want(self, message: Subscribe, now: float) -> None:
        """Take an announcement that shall get into the membership."""
        key = get_key(message.announcement)
        held = self.wanted.get(key)
        if held is None or get_order(held) <= get_order(message):
            self.wanted[key] = message
        self.hear(Heartbeat(message.identity, message.version), now)

    def leave(self, message: Leave) -> None:
        """End the lease of a process that left."""
        for key, held in list(self.wanted.items()):
            if held.identity == message.identity:
                del self.wanted[key]

    def list_joins(self, view: View) -> list[Join]:
        """Return the commands for announcements that the view does not have."""
        commands = []
        for message in self.wanted.values():
            held = view.items.get(get_key(message.announcement))
            if held is not None and held.item == message.announcement:
                continue
            commands.append(Join(message.announcement, message.revision))
        self.wanted = {}
        return commands

    def list_expired(self, view: View, applied: int, now: float) -> list[Expire]:
        """Return the commands that end memberships without a lease.

        One that is under way is not proposed again. Members of an availability
        zone that is out get no packets, so that they need not leave at once:
        a lost zone would use up what a process may get in several seconds.
        """
        if self.is_isolated(now):
            return []
        commands = []
        for identity, announcement in list_members(view):
            lease = self.held.get(identity.name)
            if lease is None or lease.identity.incarnation < identity.incarnation:
                self.held[identity.name] = Lease(identity, now, 0)
                continue
            newer = lease.identity.incarnation > identity.incarnation
            if not newer and now - lease.heard_at < LEASE_S:
                continue
            if self._proposed.get(identity.name, 0) > applied:
                continue
            if _is_out(view, announcement.zone) and not self._take_out_expiry(now):
                continue
            commands.append(Expire(identity))
        return commands

    def _take_out_expiry(self, now: float) -> bool:
        """Return whether one more member of a zone that is out may go now."""
        if now - self._out_counted_at >= 1.0:
            self._out_counted_at = now
            self._out_expiries = 0
        if self._out_expiries >= OUT_EXPIRIES_PER_S:
            return False
        self._out_expiries += 1
        return True

    def note_proposed(self, commands: list[Expire], index: int) -> None:
        """Remember under which index commands are under way."""
        for command in commands:
            self._proposed[command.identity.name] = index

    def drop_gone(self, view: View, now: float) -> None:
        """Forget processes that are no longer members and silent."""
        names = {identity.name for identity, _ in list_members(view)}
        for name, lease in list(self.held.items()):
            if name not in names and now - lease.heard_at >= LEASE_S:
                del self.held[name]
                self._proposed.pop(name, None)

    def list_processes(self, view: View, now: float) -> list[ProcessStatus]:
        """Return what is known about every member."""
        found = []
        for identity, announcement in list_members(view):
            lease = self.held.get(identity.name)
            if lease is None or lease.identity != identity:
                continue
            age = now - lease.heard_at
            found.append(describe_process(identity, announcement, lease.version, age))
        return found


def describe_process(
    identity: Identity, announcement: Announcement, version: int, age: float
) -> ProcessStatus:
    """Return what operators are told of a process."""
    role = "agent" if isinstance(announcement, Member) else "entry"
    return ProcessStatus(identity, role, announcement.zone, version, age)


def list_members(view: View) -> list[tuple[Identity, Announcement]]:
    """Return every process of a view and what it announced."""
    found = []
    for stamped in view.items.values():
        item = stamped.item
        if isinstance(item, Member | EntryHost):
            found.append((Identity(item.name, item.incarnation), item))
    return found


def _is_out(view: View, zone: str) -> bool:
    held = view.items.get((Zone.__name__, zone))
    return held is not None and held.item.out


def get_order(message: Subscribe) -> tuple[int, int]:
    """Return what grows with each announcement of a name."""
    return message.identity.incarnation, message.revision
