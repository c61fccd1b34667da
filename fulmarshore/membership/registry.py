"""Control's side of the links: leases, subscriptions and pushed deltas."""

from __future__ import annotations

from fulmarshore.core.records import (
    Announcement,
    Command,
    Effect,
    Expire,
    Freshness,
    Heartbeat,
    HeartbeatReply,
    Join,
    Leave,
    Member,
    ProcessStatus,
    SendLink,
    Subscribe,
)
from fulmarshore.membership.view import View, make_delta

LEASE_S = 3.0
"""A process that is not heard of for this long loses its membership."""


class Subscription:
    """A process that is served by this control host."""

    __slots__ = ("peer", "identity", "announcement", "version", "sent", "heard_at")

    def __init__(self, peer: str, message: Subscribe, now: float) -> None:
        self.peer = peer
        self.identity = message.identity
        self.announcement = message.announcement
        self.version = message.version
        self.sent = message.version
        self.heard_at = now


class Registry:
    """Subscriptions and leases at one control host.

    Parameters
    ----------
    name : str
        Name of the control host.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.subscriptions: dict[str, Subscription] = {}

    def subscribe(self, peer: str, message: Subscribe, now: float) -> None:
        """Take in a subscriber, or the new announcement of one."""
        held = self.subscriptions.get(message.identity.name)
        if held and held.identity.incarnation > message.identity.incarnation:
            return
        self.subscriptions[message.identity.name] = Subscription(peer, message, now)

    def heartbeat(
        self,
        peer: str,
        message: Heartbeat,
        view: View,
        freshness: Freshness,
        now: float,
    ) -> list[Effect]:
        """Renew a lease and answer with this host's half of the heartbeat."""
        held = self.subscriptions.get(message.identity.name)
        known = held is not None and held.identity == message.identity
        if known:
            held.heard_at = now
            held.version = message.version
            held.peer = peer
        reply = HeartbeatReply(self.name, freshness, view.version, known)
        return [SendLink(peer, reply)]

    def leave(self, message: Leave) -> None:
        """Drop a subscriber that ended its membership."""
        held = self.subscriptions.get(message.identity.name)
        if held is not None and held.identity == message.identity:
            del self.subscriptions[message.identity.name]

    def push(self, view: View) -> list[Effect]:
        """Send what is new to every subscriber."""
        effects: list[Effect] = []
        for subscription in self.subscriptions.values():
            if subscription.sent >= view.version:
                continue
            delta = make_delta(view, subscription.sent)
            subscription.sent = view.version
            effects.append(SendLink(subscription.peer, delta))
        return effects

    def list_joins(self, view: View) -> list[Command]:
        """Return the commands that bring announcements into the view."""
        commands: list[Command] = []
        for subscription in self.subscriptions.values():
            announcement = subscription.announcement
            held = view.items.get(_get_key(announcement))
            if held is not None and held.item == announcement:
                continue
            commands.append(Join(announcement))
        return commands

    def list_expired(self, view: View, now: float) -> list[Command]:
        """Return the commands that end memberships without a lease."""
        commands: list[Command] = []
        for subscription in list(self.subscriptions.values()):
            if now - subscription.heard_at < LEASE_S:
                continue
            del self.subscriptions[subscription.identity.name]
            commands.append(Expire(subscription.identity))
        return commands

    def list_processes(self, now: float) -> list[ProcessStatus]:
        """Return what is known about every subscriber."""
        found = []
        for subscription in self.subscriptions.values():
            announcement = subscription.announcement
            role = "agent" if isinstance(announcement, Member) else "entry"
            status = ProcessStatus(
                subscription.identity,
                role,
                announcement.zone,
                subscription.version,
                now - subscription.heard_at,
            )
            found.append(status)
        return found


def _get_key(announcement: Announcement) -> tuple[str, str]:
    return type(announcement).__name__, announcement.name
