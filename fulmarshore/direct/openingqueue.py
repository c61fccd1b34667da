"""Queue of openings at an agent whose upstream has no free slot.

The order matters right after an outage: all callers open flows at once, more than the
upstreams can serve within the latency objective, while most upstreams are cold. First
come, first served would serve every caller late. So openings still within the latency
objective of their route go before those that are already late; among equals the
priority of the route decides, then the newest goes first.
"""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.direct.packets import Packet
from fulmarshore.direct.records import Urgency

QUEUE_TIMEOUT_S = 0.6
"""How long an opening is queued before its caller is rejected: as long as an entry
host parks one, and less than half of the 1.4 s that a caller waits."""
MAX_QUEUED_PER_SLOT = 32
"""Openings that one slot serves in that time at 19 ms each; more could not be served
and are rejected at once."""
COPY_AGES_S = (0.0, 0.2, 0.6)
"""Age of an opening by its copy number, as set by the protocol: how long ago the
caller sent the first copy."""


class QueuedOpening(Struct):
    """An opening in the queue.

    Parameters
    ----------
    packet : Packet
        The opening.
    priority : int
        Priority of its route; 0 goes first.
    sent_at : float
        When the caller sent the first copy, derived from the copy number.
    late_at : float
        When the latency objective of its route is exceeded.
    expires_at : float
        When it leaves the queue unserved.
    """

    packet: Packet
    priority: int
    sent_at: float
    late_at: float
    expires_at: float

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Return the sort key of the opening; the smallest is served first."""
        return now >= self.late_at, self.priority, -self.sent_at


class OpeningQueue:
    """The queued openings of one upstream."""

    __slots__ = ("_queued",)

    def __init__(self) -> None:
        self._queued: dict[bytes, QueuedOpening] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, key: bytes) -> bool:
        return key in self._queued

    def list_addresses(self) -> list[bytes]:
        """Return the service address of each opening."""
        return [queued.packet.service_address for queued in self._queued.values()]

    def enqueue(
        self, packet: Packet, urgency: Urgency, slots: int, now: float
    ) -> Packet | None:
        """Add an opening; return the one displaced if the queue was full, or None."""
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
        """Remove and return the first opening; None if the queue is empty."""
        if not self._queued:
            return None
        first = min(self._queued.values(), key=lambda queued: queued.rank(now)).packet
        del self._queued[first.flow]
        return first

    def pop_expired(self, now: float) -> list[Packet]:
        """Remove and return the openings that have expired."""
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
