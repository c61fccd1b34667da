"""The subscriptions at a control host, and the deltas pushed to them.

Each process subscribes to one control host of its choice.
"""

from __future__ import annotations

from fulmarshore.agreement.state import (
    AddressHolders,
    State,
    find_superseding_incarnation,
    map_address_holders,
)
from fulmarshore.core.records import (
    Announcement,
    Delta,
    Effect,
    Freshness,
    Heartbeat,
    HeartbeatReply,
    Identity,
    Leave,
    ProcessStatus,
    SendLink,
    Subscribe,
)
from fulmarshore.membership.leases import (
    LEASE_S,
    get_recency,
    make_process_status,
)
from fulmarshore.membership.view import View, get_key, make_delta

PUSH_INTERVAL_S = 0.1
"""Shortest time between two deltas to one subscriber."""
RESEND_INTERVAL_S = 1.0
"""A subscriber that asks again within this time is not sent the same data twice."""
SCAN_INTERVAL_S = 0.01
"""Shortest time between two scans of the subscribers for pending deltas."""
SNAPSHOT_ITEMS_PER_S = 400_000
"""Snapshot items per second that a control host sends, over all processes."""
SNAPSHOT_BURST_ITEMS = 20_000
"""Snapshot items that can be sent in one burst."""


class Subscription:
    """A process that is subscribed at this control host."""

    __slots__ = (
        "peer",
        "request",
        "version",
        "sent_version",
        "last_contact",
        "reported_at",
        "pushed_at",
    )

    def __init__(self, peer: str, message: Subscribe, now: float) -> None:
        self.peer = peer
        self.request = message
        self.version = message.version
        self.sent_version = message.version
        self.last_contact = now
        self.reported_at = float("-inf")
        self.pushed_at = float("-inf")

    @property
    def identity(self) -> Identity:
        """The process that subscribed."""
        return self.request.identity

    @property
    def announcement(self) -> Announcement:
        """The announcement of the process."""
        return self.request.announcement

    def is_reply_in_flight(self, newer: Subscription, now: float) -> bool:
        """Return whether the data that a newer subscription asks for was just sent.

        A process repeats its request until it gets a reply. If each repeat were
        answered by a snapshot, a control host with many new subscribers would
        send nothing but duplicates and never catch up.
        """
        if self.peer != newer.peer or self.identity != newer.identity:
            return False
        is_recent = now - self.pushed_at < RESEND_INTERVAL_S
        return is_recent and self.sent_version > newer.version >= self.request.version


class SnapshotBudget:
    """A token bucket that limits the snapshots a control host sends.

    A process that starts can wait some seconds for the view. Running processes
    cannot: snapshots for thousands at once would delay their heartbeat replies
    and deltas until they consider control unresponsive.
    """

    def __init__(self) -> None:
        self._available = float(SNAPSHOT_BURST_ITEMS)
        self._refilled_at = float("-inf")

    def try_spend(self, items: int, now: float) -> bool:
        """Spend tokens for a snapshot of some items; return False if none are left."""
        if self._refilled_at == float("-inf"):
            self._refilled_at = now
        refill = (now - self._refilled_at) * SNAPSHOT_ITEMS_PER_S
        self._available = min(SNAPSHOT_BURST_ITEMS, self._available + refill)
        self._refilled_at = now
        if self._available <= 0:
            return False
        self._available -= items
        return True


class SubscriptionRegistry:
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
        self._has_unsent = False
        self._address_holders: AddressHolders = {}
        self._holders_view: View | None = None

    def handle_subscribe(self, peer: str, message: Subscribe, now: float) -> bool:
        """Add or update a subscriber; return False if the message is outdated."""
        current = self.subscriptions.get(message.identity.name)
        if current is not None and get_recency(current.request) > get_recency(message):
            return False
        subscription = Subscription(peer, message, now)
        if current is not None and current.is_reply_in_flight(subscription, now):
            subscription.sent_version = current.sent_version
            subscription.pushed_at = current.pushed_at
        self.subscriptions[message.identity.name] = subscription
        self._has_unsent = True
        return True

    def handle_heartbeat(
        self,
        peer: str,
        message: Heartbeat,
        state: State,
        freshness: Freshness,
        now: float,
    ) -> list[Effect]:
        """Record a heartbeat and reply to it."""
        newest, revision = 0, 0
        subscription = self.subscriptions.get(message.identity.name)
        is_known = (
            subscription is not None and subscription.identity == message.identity
        )
        if is_known:
            subscription.last_contact = now
            subscription.version = message.version
            subscription.peer = peer
            holders = self._get_address_holders(state.view)
            newest = find_superseding_incarnation(
                state, subscription.announcement, holders
            )
            revision = subscription.request.revision
        reply = HeartbeatReply(
            self.name,
            freshness,
            state.view.version,
            is_known and not newest,
            newest=newest,
            revision=revision,
        )
        return [SendLink(peer, reply)]

    def _get_address_holders(self, view: View) -> AddressHolders:
        """Return the address holders of a view, cached until the view changes."""
        if self._holders_view is not view:
            self._address_holders = map_address_holders(view)
            self._holders_view = view
        return self._address_holders

    def handle_leave(self, message: Leave) -> None:
        """Remove the subscription of a process that left."""
        subscription = self.subscriptions.get(message.identity.name)
        if subscription is not None and subscription.identity == message.identity:
            del self.subscriptions[message.identity.name]

    def push_deltas(self, view: View, now: float) -> list[Effect]:
        """Send pending deltas and snapshots to the subscribers.

        Changes in quick succession are sent together, so that a burst does not
        queue up at a slow subscriber. Snapshots are limited by a budget, first
        come, first served.
        """
        if self._scanned_version == view.version and not self._has_unsent:
            return []
        if now - self._scanned_at < SCAN_INTERVAL_S:
            return []
        self._scanned_at = now
        self._scanned_version = view.version
        self._has_unsent = False
        effects: list[Effect] = []
        deltas: dict[int, Delta] = {}
        for subscription in self.subscriptions.values():
            if subscription.sent_version >= view.version:
                continue
            if now - subscription.pushed_at < PUSH_INTERVAL_S:
                self._has_unsent = True
                continue
            if subscription.sent_version not in deltas:
                deltas[subscription.sent_version] = make_delta(
                    view, subscription.sent_version
                )
            delta = deltas[subscription.sent_version]
            if delta.since == 0 and not self._budget.try_spend(len(delta.items), now):
                self._has_unsent = True
                continue
            subscription.pushed_at = now
            subscription.sent_version = view.version
            effects.append(SendLink(subscription.peer, delta))
        return effects

    def expire_subscriptions(self, now: float) -> None:
        """Drop subscribers without a heartbeat, which stopped or moved away."""
        for name, subscription in list(self.subscriptions.items()):
            if now - subscription.last_contact >= LEASE_S:
                del self.subscriptions[name]

    def take_heartbeats(self, now: float) -> list[Heartbeat]:
        """Return a heartbeat of each process in contact since the last report."""
        heartbeats = []
        for subscription in self.subscriptions.values():
            if subscription.last_contact <= subscription.reported_at:
                continue
            subscription.reported_at = now
            heartbeats.append(Heartbeat(subscription.identity, subscription.version))
        return heartbeats

    def count_without_region(self) -> int:
        """Return the number of subscribers that state no region."""
        current = self.subscriptions.values()
        return sum(not subscription.request.region for subscription in current)

    def list_processes(self, now: float) -> list[ProcessStatus]:
        """Return the status of every subscriber of this host."""
        found = []
        for subscription in self.subscriptions.values():
            age = now - subscription.last_contact
            found.append(
                make_process_status(
                    subscription.identity,
                    subscription.announcement,
                    subscription.version,
                    age,
                )
            )
        return found

    def list_unjoined(self, view: View) -> list[Subscribe]:
        """Return the subscriptions whose announcement is not in the view."""
        found = []
        for subscription in self.subscriptions.values():
            current = view.items.get(get_key(subscription.announcement))
            if current is not None and current.item == subscription.announcement:
                continue
            found.append(subscription.request)
        return found
