"""The subscriber's side of a control link: view, lease and freshness."""

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
from fulmarshore.membership.regions import describe_refusal
from fulmarshore.membership.view import View, apply_delta, get_key

HEARTBEAT_INTERVAL_S = 0.5
CONFIRM_INTERVAL_S = 0.05
"""Interval of the heartbeats of a process that has just started."""
SILENCE_TIMEOUT_S = 1.5
"""A control host that says nothing, or nothing fresh, for this long is left."""


class Subscriber:
    """Keeps the newest view from any of the control hosts.

    Parameters
    ----------
    identity : Identity
        This life of this process.
    announcement : Member or EntryHost
        What the process announces.
    controls : list of str
        Names of the links to the control hosts, in the order of preference.
    random : Random
        Source of the choice of the next control host.
    region : str
        Name of the region that the process is in; empty where it is not told.
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
        self.lease_renewed = float("-inf")
        self._stalls = StallDetector()
        self._controls = list(controls)
        self._random = random
        self._current = random.randrange(len(controls))
        self._freshness = Freshness(0, 0)
        self._fresh_at = float("-inf")
        self._sent_at = float("-inf")
        self._moved_at = float("-inf")
        self._asked_at = float("-inf")
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
        """Whether the view holds this life of the process."""
        held = self.view.items.get(get_key(self.announcement))
        return held is not None and held.item.incarnation == self.identity.incarnation

    def announce(self, announcement: Announcement) -> list[Effect]:
        """Replace the announcement, such as by one that drains."""
        self.announcement = announcement
        self._revision += 1
        self._subscribed = False
        return [self._subscribe()]

    def leave(self) -> list[Effect]:
        """End the membership at every control host."""
        return [SendLink(name, Leave(self.identity)) for name in self._controls]

    def tick(self, now: float) -> list[Effect]:
        """Send heartbeats, and move on from a control host that is silent."""
        effects: list[Effect] = []
        self._stalls.is_stale(now)
        if self._fresh_at == float("-inf"):
            self._fresh_at = now
        if now - self._fresh_at > SILENCE_TIMEOUT_S:
            effects += self._move(now)
        interval = HEARTBEAT_INTERVAL_S
        if not self._is_confirmed and self.control not in self._refused_by:
            interval = CONFIRM_INTERVAL_S
        if now - self._sent_at < interval:
            return effects
        self._sent_at = now
        if not self._subscribed:
            self._asked_at = now
            effects.append(self._subscribe())
            return effects
        beat = Heartbeat(self.identity, self.view.version)
        effects.append(SendLink(self.control, beat))
        return effects

    def handle(self, event: LinkMessage, now: float) -> list[Effect]:
        """Take a message from a control host."""
        is_stale = self._stalls.is_stale(now)
        match event.message:
            case Delta() as delta if not self._is_confirmed:
                return self._keep(delta)
            case Delta() as delta:
                return self.apply(delta, event.peer)
            case HeartbeatReply() as reply:
                self._refused_by.discard(event.peer)
                return self._take_reply(event.peer, reply, is_stale, now)
            case RegionRefused() as refusal:
                return self._take_refusal(event.peer, refusal, now)
        self.counters["unexpected_link_message"] += 1
        return []

    def apply(self, delta: Delta, peer: str) -> list[Effect]:
        """Bring the view forward by a delta from any peer."""
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

    def _take_reply(
        self, peer: str, reply: HeartbeatReply, is_stale: bool, now: float
    ) -> list[Effect]:
        stamp = (reply.freshness.term, reply.freshness.stamp)
        effects: list[Effect] = []
        if stamp > (self._freshness.term, self._freshness.stamp):
            effects = self._confirm(peer)
            self._freshness = reply.freshness
            self._fresh_at = now
            if reply.known and not is_stale:
                self.lease_renewed = now
        if peer != self.control:
            return effects
        if reply.newest > self.identity.incarnation and not self._was_member:
            return [IncarnationOutdated(reply.newest)]
        # A reply to an earlier heartbeat says nothing of a newer announcement,
        # which may be lost: a drain is told until control has it.
        if reply.known and reply.revision == self._revision:
            self._subscribed = True
        version = self.view.version
        if self._unconfirmed:
            version = max(version, self._unconfirmed[-1].version)
        if reply.known and reply.version <= version:
            return effects
        # The answer to an announcement overtakes what it asked for, so that
        # asking again at once would go on at the pace of the link.
        if now - self._asked_at >= HEARTBEAT_INTERVAL_S:
            self._asked_at = now
            effects.append(self._subscribe())
        return effects

    def _take_refusal(
        self, peer: str, refusal: RegionRefused, now: float
    ) -> list[Effect]:
        """Leave a control host of another region, and tell so once."""
        self.counters["region_refused"] += 1
        effects: list[Effect] = []
        if peer not in self._refused_by:
            self._refused_by.add(peer)
            event = describe_refusal(peer, refusal.region, refusal.allowed)
            effects.append(event)
        if peer != self.control or now - self._moved_at < HEARTBEAT_INTERVAL_S:
            return effects
        return effects + self._move(now)

    def _keep(self, delta: Delta) -> list[Effect]:
        """Keep a snapshot and what follows it until control is seen to be fresh.

        A process that has just started knows no stamp to compare with, so
        that a control host that is cut off could hand it what its former
        self had long left behind.
        """
        if delta.since == 0:
            self._unconfirmed = []
        self._unconfirmed.append(delta)
        return []

    def _confirm(self, peer: str) -> list[Effect]:
        """Take what was kept once the stamp was seen to be renewed."""
        if self._is_confirmed or self._freshness == Freshness(0, 0):
            return []
        self._is_confirmed = True
        kept, self._unconfirmed = self._unconfirmed, []
        effects: list[Effect] = []
        for delta in kept:
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

    def _move(self, now: float) -> list[Effect]:
        left = self.control
        step = 1 if len(self._controls) <= 2 else self._random.choice((1, 2))
        self._current = (self._current + step) % len(self._controls)
        self._subscribed = False
        if not self._is_confirmed:
            self._freshness = Freshness(0, 0)
            self._unconfirmed = []
        self._fresh_at = now
        self._moved_at = now
        self._sent_at = float("-inf")
        self.counters["control_moves"] += 1
        return [
            ReplaceLink(left),
            TimelineEvent("control_moved", peer=self.control, detail=f"from {left}"),
        ]
