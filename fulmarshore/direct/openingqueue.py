"""Openings that wait beside a busy upstream for a slot.

This answers the load right after a loss: all callers open flows at once, more of
them than the upstreams serve in their latency objective, while most upstreams
are cold. In the order of arrival every caller would be served late. So openings
that are within the latency objective of their route go before those that are late
anyway, among these the priority of the route decides, and then the newest first.
"""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.direct.packets import Packet
from fulmarshore.direct.records import Urgency

QUEUE_TIMEOUT_S = 0.6
"""How long an opening waits for a slot, then its caller is rejected: as long as
entry hosts wait for an agent, and less than half of what a caller waits, 1.4 s."""
MAX_QUEUED_PER_SLOT = 32
"""Openings that one slot serves in that time if each takes 19 ms; what is beyond
it cannot be served and is rejected at once."""
COPY_AGES_S = (0.0, 0.2, 0.6)
"""How long ago a caller first sent an opening, by the number that its copies
carry; a quantity of the protocol."""


class QueuedOpening(Struct):
    """An opening that waits.

    Parameters
    ----------
    packet : Packet
        The opening.
    priority : int
        Priority of its route; 0 goes first.
    sent_at : float
        When the caller sent it first, by its copy's number.
    late_at : float
        When the latency objective of its route has passed.
    until : float
        When it has waited in vain.
    """

    packet: Packet
    priority: int
    sent_at: float
    late_at: float
    expires_at: float

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Return what openings are ordered by: the least goes first."""
        return now >= self.late_at, self.priority, -self.sent_at


class OpeningQueue:
    """The openings that wait for one upstream."""

    __slots__ = ("_queued",)

    def __init__(self) -> None:
        self._queued: dict[bytes, QueuedOpening] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, key: bytes) -> bool:
        return key in self._queued

    def enqueue(
        self, packet: Packet, urgency: Urgency, slots: int, now: float
    ) -> Packet | None:
        """Let an opening wait; return the one that has to go for want of room."""
        copy = min(packet.acknowledged, len(COPY_AGES_S) - 1)
        sent_at = now - COPY_AGES_S[copy]
        self._queued[packet.flow] = QueuedOpening(
            packet,
            urgency.priority,
            sent_at,
            sent_at + urgency.objective_s,
            now + QUEUE_TIMEOUT_S,
        )
        if len(self._queued) <= slots * MAX_QUEUED_PER_SLOT:
            return None
        displaced = max(
            self._queued.values(), key=lambda queued: queued.rank(now)
        ).packet
        del self._queued[displaced.flow]
        return displaced

    def pop_next(self, now: float) -> Packet | None:
        """Remove and return the opening that goes first; None if none waits."""
        if not self._queued:
            return None
        first = min(self._queued.values(), key=lambda queued: queued.rank(now)).packet
        del self._queued[first.flow]
        return first

    def pop_expired(self, now: float) -> list[Packet]:
        """Remove and return the openings that waited in vain."""
        expired = [
            queued for queued in self._queued.values() if now >= queued.expires_at
        ]
        for queued in expired:
            del self._queued[queued.packet.flow]
        return [queued.packet for queued in expired]

    def pop_all(self) -> list[Packet]:
        """Remove and return all openings."""
        packets = [queued.packet for queued in self._queued.values()]
        self._queued.clear()
        return packets
