"""Control's side of the links: subscriptions, pushed deltas, and leases.

Every control host has the subscriptions of the processes that chose it. The
leader alone has the leases: it hears from the other control hosts which
processes they heard, and judges by its own clock.
"""

from __future__ import annotations

from fulmarshore.agreement.state import Holders, State, find_newer, list_holders
from fulmarshore.core.records import (
    Announcement,
    Delta,
    Effect,
    EntryHost,
    Expire,
    Freshness,
    Heartbeat,
    HeartbeatReply,
    Identity,
    Join,
    Leave,
    Member,
    ProcessStatus,
    SendLink,
    Subscribe,
    TimelineEvent,
    Zone,
)
from fulmarshore.membership.view import View, get_key, make_delta

PUSH_INTERVAL_S = 0.1
"""Shortest time between two deltas to one subscriber."""
REPEAT_INTERVAL_S = 1.0
"""What is under way to a subscriber is not sent again within this time."""
SCAN_INTERVAL_S = 0.01
"""Shortest time between two looks at all subscribers for what is new to them."""
SNAPSHOT_ITEMS_PER_S = 400_000
"""Items of snapshots that a control host sends in a second, over all processes."""
SNAPSHOT_BURST_ITEMS = 20_000
"""Items of snapshots that may go out at once after a pause."""
LEASE_S = 3.0
"""A process that is not heard of for this long loses its membership."""
OUT_EXPIRIES_PER_S = 140
"""Members of availability zones that are out whose memberships end in a second."""
ISOLATION_TIMEOUT_S = 1.5
"""A leader that hears no process for this long takes itself for cut off."""


class Subscription:
    """A process that is served by this control host."""

    __slots__ = (
        "peer",
        "subscribe",
        "version",
        "sent",
        "heard_at",
        "reported_at",
        "pushed_at",
    )

    def __init__(self, peer: str, message: Subscribe, now: float) -> None:
        self.peer = peer
        self.subscribe = message
        self.version = message.version
        self.sent = message.version
        self.heard_at = now
        self.reported_at = float("-inf")
        self.pushed_at = float("-inf")

    @property
    def identity(self) -> Identity:
        """The process that subscribed."""
        return self.subscribe.identity

    @property
    def announcement(self) -> Announcement:
        """What the process announces."""
        return self.subscribe.announcement

    def is_under_way(self, newer: Subscription, now: float) -> bool:
        """Return whether what a newer subscription asks for was sent just now.

        A process asks again until it sees an answer. Were each copy answered
        by a snapshot, a control host to which many come at once would send
        nothing but copies, and never be done.
        """
        if self.peer != newer.peer or self.identity != newer.identity:
            return False
        is_recent = now - self.pushed_at < REPEAT_INTERVAL_S
        return is_recent and self.sent > newer.version >= self.subscribe.version


class SnapshotBudget:
    """Bounds the snapshots that a control host sends.

    A process that starts has nothing to lose by waiting some seconds for the
    view. Those that run have: snapshots for thousands at once would keep their
    heartbeats and deltas back until they take control for silent.
    """

    def __init__(self) -> None:
        self._left = float(SNAPSHOT_BURST_ITEMS)
        self._filled_at = float("-inf")

    def take(self, items: int, now: float) -> bool:
        """Return whether a snapshot of some items may go out now."""
        if self._filled_at == float("-inf"):
            self._filled_at = now
        gained = (now - self._filled_at) * SNAPSHOT_ITEMS_PER_S
        self._left = min(SNAPSHOT_BURST_ITEMS, self._left + gained)
        self._filled_at = now
        if self._left <= 0:
            return False
        self._left -= items
        return True


class Registry:
    """Subscriptions at one control host.

    Parameters
    ----------
    name : str
        Name of the control host.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.subscriptions: dict[str, Subscription] = {}
        self._budget = SnapshotBudget()
        self._scanned_at = float("-inf")
        self._scanned_version = 0
        self._is_waiting = False
        self._holders: Holders = {}
        self._holders_view: View | None = None

    def subscribe(self, peer: str, message: Subscribe, now: float) -> bool:
        """Take in a subscriber; False for a late message of a former life."""
        held = self.subscriptions.get(message.identity.name)
        if held is not None and _get_order(held.subscribe) > _get_order(message):
            return False
        subscription = Subscription(peer, message, now)
        if held is not None and held.is_under_way(subscription, now):
            subscription.sent = held.sent
            subscription.pushed_at = held.pushed_at
        self.subscriptions[message.identity.name] = subscription
        self._is_waiting = True
        return True

    def heartbeat(
        self,
        peer: str,
        message: Heartbeat,
        state: State,
        freshness: Freshness,
        now: float,
    ) -> list[Effect]:
        """Answer a heartbeat with this host's half of it."""
        newest = 0
        held = self.subscriptions.get(message.identity.name)
        known = held is not None and held.identity == message.identity
        if known:
            held.heard_at = now
            held.version = message.version
            held.peer = peer
            holders = self._find_holders(state.view)
            newest = find_newer(state, held.announcement, holders)
        version = state.view.version
        reply = HeartbeatReply(
            self.name, freshness, version, known and not newest, newest=newest
        )
        return [SendLink(peer, reply)]

    def _find_holders(self, view: View) -> Holders:
        """Return who has which address, listed once for a view."""
        if self._holders_view is not view:
            self._holders = list_holders(view)
            self._holders_view = view
        return self._holders

    def leave(self, message: Leave) -> None:
        """Drop a subscriber that ended its membership."""
        held = self.subscriptions.get(message.identity.name)
        if held is not None and held.identity == message.identity:
            del self.subscriptions[message.identity.name]

    def push(self, view: View, now: float) -> list[Effect]:
        """Send what is new to every subscriber.

        Changes that follow one another closely go out together, so that a
        burst of them does not queue up before a slower subscriber. Snapshots
        keep to a budget, first come, first served.
        """
        if self._scanned_version == view.version and not self._is_waiting:
            return []
        if now - self._scanned_at < SCAN_INTERVAL_S:
            return []
        self._scanned_at = now
        self._scanned_version = view.version
        self._is_waiting = False
        effects: list[Effect] = []
        deltas: dict[int, Delta] = {}
        for subscription in self.subscriptions.values():
            if subscription.sent >= view.version:
                continue
            if now - subscription.pushed_at < PUSH_INTERVAL_S:
                self._is_waiting = True
                continue
            if subscription.sent not in deltas:
                deltas[subscription.sent] = make_delta(view, subscription.sent)
            delta = deltas[subscription.sent]
            if delta.since == 0 and not self._budget.take(len(delta.items), now):
                self._is_waiting = True
                continue
            subscription.pushed_at = now
            subscription.sent = view.version
            effects.append(SendLink(subscription.peer, delta))
        return effects

    def drop_silent(self, now: float) -> None:
        """Forget subscribers that went silent or moved to another host."""
        for name, subscription in list(self.subscriptions.items()):
            if now - subscription.heard_at >= LEASE_S:
                del self.subscriptions[name]

    def list_heard(self, now: float) -> list[Heartbeat]:
        """Return a heartbeat for each process heard since the last report."""
        heard = []
        for subscription in self.subscriptions.values():
            if subscription.heard_at <= subscription.reported_at:
                continue
            subscription.reported_at = now
            heard.append(Heartbeat(subscription.identity, subscription.version))
        return heard

    def count_without_region(self) -> int:
        """Return how many subscribers do not tell their region."""
        held = self.subscriptions.values()
        return sum(not subscription.subscribe.region for subscription in held)

    def list_processes(self, now: float) -> list[ProcessStatus]:
        """Return what is known about every subscriber of this host."""
        found = []
        for held in self.subscriptions.values():
            age = now - held.heard_at
            found.append(_describe(held.identity, held.announcement, held.version, age))
        return found

    def list_unjoined(self, view: View) -> list[Subscribe]:
        """Return what subscribers announced and the view does not have."""
        found = []
        for subscription in self.subscriptions.values():
            held = view.items.get(get_key(subscription.announcement))
            if held is not None and held.item == subscription.announcement:
                continue
            found.append(subscription.subscribe)
        return found


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
        for identity, _ in _list_members(view):
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
        if held is None or _get_order(held) <= _get_order(message):
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
        for identity, announcement in _list_members(view):
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
        names = {identity.name for identity, _ in _list_members(view)}
        for name, lease in list(self.held.items()):
            if name not in names and now - lease.heard_at >= LEASE_S:
                del self.held[name]
                self._proposed.pop(name, None)

    def list_processes(self, view: View, now: float) -> list[ProcessStatus]:
        """Return what is known about every member."""
        found = []
        for identity, announcement in _list_members(view):
            lease = self.held.get(identity.name)
            if lease is None or lease.identity != identity:
                continue
            age = now - lease.heard_at
            found.append(_describe(identity, announcement, lease.version, age))
        return found


def _describe(
    identity: Identity, announcement: Announcement, version: int, age: float
) -> ProcessStatus:
    role = "agent" if isinstance(announcement, Member) else "entry"
    return ProcessStatus(identity, role, announcement.zone, version, age)


def _list_members(view: View) -> list[tuple[Identity, Announcement]]:
    found = []
    for stamped in view.items.values():
        item = stamped.item
        if isinstance(item, Member | EntryHost):
            found.append((Identity(item.name, item.incarnation), item))
    return found


def _is_out(view: View, zone: str) -> bool:
    held = view.items.get((Zone.__name__, zone))
    return held is not None and held.item.out


def _get_order(message: Subscribe) -> tuple[int, int]:
    return message.identity.incarnation, message.revision
