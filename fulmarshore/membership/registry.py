"""Control's side of the links: subscriptions and pushed deltas.

Every control host has the subscriptions of the processes that chose it.
"""

from __future__ import annotations

from fulmarshore.agreement.state import Holders, State, find_newer, list_holders
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
from fulmarshore.membership.leases import LEASE_S, describe_process, get_order
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
        if held is not None and get_order(held.subscribe) > get_order(message):
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
        newest, revision = 0, 0
        held = self.subscriptions.get(message.identity.name)
        known = held is not None and held.identity == message.identity
        if known:
            held.heard_at = now
            held.version = message.version
            held.peer = peer
            holders = self._find_holders(state.view)
            newest = find_newer(state, held.announcement, holders)
            revision = held.subscribe.revision
        reply = HeartbeatReply(
            self.name,
            freshness,
            state.view.version,
            known and not newest,
            newest=newest,
            revision=revision,
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
            found.append(
                describe_process(held.identity, held.announcement, held.version, age)
            )
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
