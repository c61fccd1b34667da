"""The client side of a control link: view, lease and freshness of a process."""

from __future__ import annotations

from collections import Counter
from random import Random

from fulmarshore.core.records import (
    Announcement,
    Delta,
    Effect,
    Freshness,
    Heartbeat,
    HeartbeatReply,
    Identity,
    IncarnationOutdated,
    Leave,
    LinkMessage,
    RegionRefused,
    ReplaceLink,
    SendLink,
    Subscribe,
    TimelineEvent,
)
from fulmarshore.core.stalls import StallDetector
from fulmarshore.membership.changes import describe_delta
from fulmarshore.membership.regions import make_refusal_event
from fulmarshore.membership.view import View, apply_delta, get_key

HEARTBEAT_INTERVAL_S = 0.5
"""Interval of the heartbeats of a process."""
STARTUP_HEARTBEAT_INTERVAL_S = 0.05
"""Interval of heartbeats until a fresh control host is confirmed."""
CONTROL_TIMEOUT_S = 1.5
"""A process switches to another control host without fresh data for this long."""


class Subscriber:
    """Keeps the newest view, subscribed to one control host at a time.

    Parameters
    ----------
    identity : Identity
        Name and incarnation of this process.
    announcement : Member or EntryHost
        The announcement of the process.
    controls : list of str
        Names of the links to the control hosts.
    random : Random
        Source of randomness for the choice of control hosts.
    region : str
        Name of the region of the process; empty if it is not set.
    """

    def __init__(
        self,
        identity: Identity,
        announcement: Announcement,
        controls: list[str],
        random: Random,
        region: str = "",
    ) -> None:
        assert controls, "a subscriber needs a control host"
        self.identity = identity
        self.announcement = announcement
        self.region = region
        self.view = View()
        self.counters: Counter[str] = Counter()
        self.lease_renewed_at = float("-inf")
        self._stalls = StallDetector()
        self._controls = list(controls)
        self._random = random
        self._current = random.randrange(len(controls))
        self._freshness = Freshness(0, 0)
        self._freshness_renewed_at = float("-inf")
        self._heartbeat_sent_at = float("-inf")
        self._switched_at = float("-inf")
        self._subscribe_sent_at = float("-inf")
        self._refused_by: set[str] = set()
        self._subscribed = False
        self._revision = 0
        self._is_confirmed = False
        self._was_member = False
        self._unconfirmed: list[Delta] = []

    @property
    def control(self) -> str:
        """Name of the link to the control host in use."""
        return self._controls[self._current]

    @property
    def is_member(self) -> bool:
        """Whether the view contains this incarnation of the process."""
        current = self.view.items.get(get_key(self.announcement))
        return (
            current is not None
            and current.item.incarnation == self.identity.incarnation
        )

    def announce(self, announcement: Announcement) -> list[Effect]:
        """Replace the announcement, for example to start draining."""
        self.announcement = announcement
        self._revision += 1
        self._subscribed = False
        return [self._subscribe()]

    def leave(self) -> list[Effect]:
        """Send a leave message to every control host."""
        return [SendLink(name, Leave(self.identity)) for name in self._controls]

    def tick(self, now: float) -> list[Effect]:
        """Send heartbeats, and switch away from an unresponsive control host."""
        effects: list[Effect] = []
        self._stalls.is_stale(now)
        if self._freshness_renewed_at == float("-inf"):
            self._freshness_renewed_at = now
        if now - self._freshness_renewed_at > CONTROL_TIMEOUT_S:
            effects += self._switch_control(now)
        interval = HEARTBEAT_INTERVAL_S
        if not self._is_confirmed and self.control not in self._refused_by:
            interval = STARTUP_HEARTBEAT_INTERVAL_S
        if now - self._heartbeat_sent_at < interval:
            return effects
        self._heartbeat_sent_at = now
        if not self._subscribed:
            self._subscribe_sent_at = now
            effects.append(self._subscribe())
            return effects
        heartbeat = Heartbeat(self.identity, self.view.version)
        effects.append(SendLink(self.control, heartbeat))
        return effects

    def handle(self, event: LinkMessage, now: float) -> list[Effect]:
        """Process a message from a control host."""
        is_stale = self._stalls.is_stale(now)
        match event.message:
            case Delta() as delta if not self._is_confirmed:
                return self._buffer_delta(delta)
            case Delta() as delta:
                return self.apply(delta, event.peer)
            case HeartbeatReply() as reply:
                self._refused_by.discard(event.peer)
                return self._handle_heartbeat_reply(event.peer, reply, is_stale, now)
            case RegionRefused() as refusal:
                return self._handle_region_refused(event.peer, refusal, now)
        self.counters["unexpected_link_message"] += 1
        return []

    def apply(self, delta: Delta, peer: str) -> list[Effect]:
        """Apply a delta from any peer to the view."""
        view, errors = apply_delta(self.view, delta)
        if errors:
            self.counters["delta_out_of_order"] += 1
            return [SendLink(self.control, self._subscribe().message)]
        if view is self.view:
            return []
        events = describe_delta(self.view, delta, peer)
        self.view = view
        self._was_member = self._was_member or self.is_member
        self.counters["deltas_applied"] += 1
        return list[Effect](events)

    def _handle_heartbeat_reply(
        self, peer: str, reply: HeartbeatReply, is_stale: bool, now: float
    ) -> list[Effect]:
        stamp = (reply.freshness.term, reply.freshness.stamp)
        effects: list[Effect] = []
        if stamp > (self._freshness.term, self._freshness.stamp):
            effects = self._confirm_control(peer)
            self._freshness = reply.freshness
            self._freshness_renewed_at = now
            if reply.known and not is_stale:
                self.lease_renewed_at = now
        if peer != self.control:
            return effects
        if reply.newest > self.identity.incarnation and not self._was_member:
            return [IncarnationOutdated(reply.newest)]
        # A reply to an earlier heartbeat does not confirm a newer announcement,
        # which may be lost: it is repeated until control has its revision.
        if reply.known and reply.revision == self._revision:
            self._subscribed = True
        version = self.view.version
        if self._unconfirmed:
            version = max(version, self._unconfirmed[-1].version)
        if reply.known and reply.version <= version:
            return effects
        # The reply to a subscription arrives before the view it asks for.
        # Without this interval, requests would repeat at the speed of the link.
        if now - self._subscribe_sent_at >= HEARTBEAT_INTERVAL_S:
            self._subscribe_sent_at = now
            effects.append(self._subscribe())
        return effects

    def _handle_region_refused(
        self, peer: str, refusal: RegionRefused, now: float
    ) -> list[Effect]:
        """Switch away from a control host of another region; report it once."""
        self.counters["region_refused"] += 1
        effects: list[Effect] = []
        if peer not in self._refused_by:
            self._refused_by.add(peer)
            event = make_refusal_event(peer, refusal.region, refusal.allowed)
            effects.append(event)
        if peer != self.control or now - self._switched_at < HEARTBEAT_INTERVAL_S:
            return effects
        return effects + self._switch_control(now)

    def _buffer_delta(self, delta: Delta) -> list[Effect]:
        """Buffer a snapshot and later deltas until the control host is confirmed.

        A process that has just started knows no freshness stamp to compare
        with. A partitioned control host could give it a view older than the one
        its previous incarnation had in force.
        """
        if delta.since == 0:
            self._unconfirmed = []
        self._unconfirmed.append(delta)
        return []

    def _confirm_control(self, peer: str) -> list[Effect]:
        """Apply the buffered deltas once the freshness stamp has advanced."""
        if self._is_confirmed or self._freshness == Freshness(0, 0):
            return []
        self._is_confirmed = True
        buffered, self._unconfirmed = self._unconfirmed, []
        effects: list[Effect] = []
        for delta in buffered:
            effects += self.apply(delta, peer)
        return effects

    def _subscribe(self) -> SendLink:
        message = Subscribe(
            self.identity,
            self.announcement,
            self.view.version,
            self._revision,
            self.region,
        )
        return SendLink(self.control, message)

    def _switch_control(self, now: float) -> list[Effect]:
        previous = self.control
        step = 1 if len(self._controls) <= 2 else self._random.choice((1, 2))
        self._current = (self._current + step) % len(self._controls)
        self._subscribed = False
        if not self._is_confirmed:
            self._freshness = Freshness(0, 0)
            self._unconfirmed = []
        self._freshness_renewed_at = now
        self._switched_at = now
        self._heartbeat_sent_at = float("-inf")
        self.counters["control_moves"] += 1
        return [
            ReplaceLink(previous),
            TimelineEvent(
                "control_moved", peer=self.control, detail=f"from {previous}"
            ),
        ]
