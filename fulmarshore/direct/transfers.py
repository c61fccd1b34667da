"""Limit on the uploads in progress that pass an entry host's link.

Every byte that an entry host receives is sent on, so it passes the host's link twice.
A caller sends a window of packets at once and repeats those that are not acknowledged
in time. If more windows are on the link than it carries in that time, everything is
sent twice, and the link carries less and less that is new.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

from fulmarshore.direct.packets import FIN, MAX_PACKET_BYTES, Packet
from fulmarshore.direct.records import Route

WINDOW_BYTES = 16 * MAX_PACKET_BYTES
"""Most bytes that a caller has in flight, by the protocol."""
RETRANSMISSION_S = 0.2
"""Time after which a caller repeats a packet, by the protocol."""
LINK_PASSES = 2
"""Times that a forwarded byte passes the link of its entry host."""
WAIT_SHARE = 1 / 4
"""Share of the route's latency objective that an opening may wait: the rest is needed
for the transfer, or for another try at another entry host."""
MAX_WAIT_S = 0.25
"""Longest wait on any route, seconds: a caller repeats its opening twice in 0.6 s, and
gives up after 1.4 s."""
CHECK_INTERVAL_S = 0.1
"""Longest time between two checks of the waiting openings: the interval of ticks."""
FIRST_SIZE_BYTES = 40_000
"""Expected size of an upload before one has ended on its route."""
SIZE_WEIGHT = 0.05
"""Weight of the newest upload in the mean size of its route."""
LEAST_REMAINING_SHARE = 0.25
"""Share of the mean size that an upload is expected to send still, however much it has
sent: sizes vary by more than the mean."""
SILENT_S = 0.3
"""An upload that has sent nothing for this long occupies no part of the link: its
caller would have repeated a packet by then."""
MAX_TRANSFERS = 4096
"""Uploads that are tracked; the oldest is dropped beyond this."""
MAX_WAITING = 1024
"""Openings that wait; more are rejected. A link of 1 Gbit/s passes 400 uploads of the
first size in the longest wait."""
MAX_ROUTES = 1024
"""Routes whose mean size is kept; the one learned first is dropped beyond this."""
RATE_WEIGHT = 0.2
"""Weight of the newest tick in the rate of the other traffic."""


class Transfer(Struct):
    """An admitted upload.

    Parameters
    ----------
    address : bytes
        Address and port of the service, which name the route.
    active_at : float
        When its caller sent the last packet.
    is_whole : bool
        Whether this host has seen it from the start.
    sent : int
        Bytes that its caller has sent, headers and repetitions included.
    """

    address: bytes
    active_at: float
    is_whole: bool = True
    sent: int = 0


class WaitingOpening(Struct):
    """An opening that waits for room on the link.

    Parameters
    ----------
    packet : Packet
        The opening.
    priority : int
        Priority of its route; 0 goes first.
    arrived_at, expires_at : float
        When it arrived, and when it is rejected.
    """

    packet: Packet
    priority: int
    arrived_at: float
    expires_at: float

    def rank(self, in_progress: Counter[bytes]) -> tuple[int, int, float]:
        """Return the sort key of the opening; the smallest goes first.

        A caller with many uploads in progress does not take the room of one with few.

        Parameters
        ----------
        in_progress : Counter
            Number of uploads in progress by the caller's address.
        """
        return self.priority, in_progress[self.packet.caller_host], self.arrived_at


class UploadDecision(Struct, frozen=True):
    """What happens to the opening of an upload, and what decided it.

    Parameters
    ----------
    verdict : str
        ``admitted``, ``waiting`` or ``rejected``.
    active, limit, waiting : int
        Uploads in progress, most of them at a time, and openings that wait.
    wait_s, allowed_s : float
        Expected wait, and the longest one allowed, seconds.
    """

    verdict: str
    active: int
    limit: int
    waiting: int
    wait_s: float
    allowed_s: float

    def describe(self) -> str:
        """Return the values as the detail of a log line."""
        return (
            f"{self.active} of {self.limit} uploads in progress, {self.waiting} "
            f"waiting, expected wait {self.wait_s * 1000:.0f} ms, allowed "
            f"{self.allowed_s * 1000:.0f} ms"
        )


class UploadLimiter:
    """Admits uploads as far as the link of the entry host has capacity for them.

    Parameters
    ----------
    link_bytes_per_s : float
        Rate of the link, bytes a second; 0 turns the limit off.
    """

    __slots__ = (
        "limit",
        "_rate",
        "_transfers",
        "_waiting",
        "_mean_sizes",
        "_other_bytes",
        "_other_rate",
        "_measured_at",
    )

    def __init__(self, link_bytes_per_s: float) -> None:
        self._rate = link_bytes_per_s
        windows = link_bytes_per_s * RETRANSMISSION_S / (LINK_PASSES * WINDOW_BYTES)
        self.limit = max(1, int(windows))
        self._transfers: dict[bytes, Transfer] = {}
        self._waiting: dict[bytes, WaitingOpening] = {}
        self._mean_sizes: dict[bytes, float] = {}
        self._other_bytes = 0
        self._other_rate = 0.0
        self._measured_at: float | None = None

    @property
    def waiting_count(self) -> int:
        """Number of openings that wait."""
        return len(self._waiting)

    def applies_to(self, route: Route | None) -> bool:
        """Whether the flows of a route are limited."""
        return route is not None and route.is_upload and self._rate > 0

    def is_waiting(self, key: bytes) -> bool:
        """Whether the opening of a flow waits."""
        return key in self._waiting

    # Decisions

    def handle_opening(
        self, packet: Packet, route: Route, now: float
    ) -> UploadDecision:
        """Admit an opening, let it wait, or reject it."""
        decision = self.decide(packet.caller_host, route, now)
        if decision.verdict == "admitted":
            self._track(packet.flow, now)
        elif decision.verdict == "waiting":
            self._waiting[packet.flow] = WaitingOpening(
                packet, route.urgency.priority, now, now + decision.allowed_s
            )
        return decision

    def decide(self, caller_host: bytes, route: Route, now: float) -> UploadDecision:
        """Return what would happen to an opening, without a change of state.

        Parameters
        ----------
        caller_host : bytes
            Address of the caller, four bytes.
        route : Route
            The upload route.
        now : float
            Monotonic time in seconds.
        """
        active = self._list_active(now)
        allowed_s = min(route.urgency.objective_s * WAIT_SHARE, MAX_WAIT_S)
        in_progress = self._count_by_caller(now)
        own_rank = (route.urgency.priority, in_progress[caller_host], now)
        ahead = [
            waiting
            for waiting in self._waiting.values()
            if waiting.rank(in_progress) <= own_rank
        ]
        if len(active) < self.limit and not ahead:
            verdict, wait_s = "admitted", 0.0
        else:
            wait_s = self._estimate_wait(active, ahead)
            has_room = wait_s <= allowed_s and len(self._waiting) < MAX_WAITING
            verdict = "waiting" if has_room else "rejected"
        return UploadDecision(
            verdict, len(active), self.limit, len(self._waiting), wait_s, allowed_s
        )

    def pop_ready(self, now: float) -> list[Packet]:
        """Remove, track and return the openings that there is room for now."""
        ready: list[Packet] = []
        if not self._waiting:
            return ready
        room = self.limit - len(self._list_active(now))
        while room > 0 and self._waiting:
            in_progress = self._count_by_caller(now)
            first = min(
                self._waiting.values(),
                key=lambda waiting: waiting.rank(in_progress),
            )
            packet = first.packet
            del self._waiting[packet.flow]
            self._track(packet.flow, now)
            ready.append(packet)
            room -= 1
        return ready

    def pop_expired(self, now: float) -> list[tuple[Packet, float]]:
        """Remove and return the openings that have waited for too long.

        Each comes with its wait in seconds.

        None is removed while there is room, since ``pop_ready`` returns it then. One
        that would have waited for too long at the next check is removed now.
        """
        if not self._waiting or len(self._list_active(now)) < self.limit:
            return []
        expired = [
            (waiting.packet, now - waiting.arrived_at)
            for waiting in self._waiting.values()
            if now + CHECK_INTERVAL_S > waiting.expires_at
        ]
        for packet, _ in expired:
            del self._waiting[packet.flow]
        return expired

    # Observations

    def record_packet(self, packet: Packet, now: float) -> bool:
        """Record a packet of an upload; return whether it ends the upload."""
        transfer = self._transfers.get(packet.flow)
        # The caller has given up, or another entry host has opened the flow.
        self._waiting.pop(packet.flow, None)
        if packet.is_ending:
            if transfer is None:
                return False
            if packet.flags & FIN and transfer.is_whole:
                self._record_size(transfer)
            del self._transfers[packet.flow]
            return True
        if transfer is None:
            if not packet.length:
                # A caller acknowledges the answer after the end of its upload.
                return False
            # Another entry host, or a former process, admitted it.
            transfer = self._track(packet.flow, now, is_whole=False)
        transfer.active_at = now
        transfer.sent += len(packet.content)
        return False

    def record_other(self, size: int) -> None:
        """Count bytes of a packet that belongs to no upload."""
        self._other_bytes += size

    def measure(self, now: float) -> None:
        """Update the rate of the other traffic; called at each tick."""
        if self._measured_at is not None and now > self._measured_at:
            rate = LINK_PASSES * self._other_bytes / (now - self._measured_at)
            self._other_rate += RATE_WEIGHT * (rate - self._other_rate)
        self._other_bytes = 0
        self._measured_at = now

    def discard(self, key: bytes) -> None:
        """Stop tracking an upload that was not placed."""
        self._transfers.pop(key, None)

    def sweep(self, now: float, idle_s: float) -> None:
        """Drop uploads that have been silent for ``idle_s``."""
        for key, transfer in list(self._transfers.items()):
            if now - transfer.active_at > idle_s:
                del self._transfers[key]

    def _track(self, key: bytes, now: float, is_whole: bool = True) -> Transfer:
        transfer = self._transfers[key] = Transfer(key[6:], now, is_whole)
        if len(self._transfers) > MAX_TRANSFERS:
            del self._transfers[next(iter(self._transfers))]
        return transfer

    def _record_size(self, transfer: Transfer) -> None:
        if not transfer.sent:
            return
        mean = self._get_mean_size(transfer.address)
        mean += SIZE_WEIGHT * (transfer.sent - mean)
        self._mean_sizes[transfer.address] = mean
        if len(self._mean_sizes) > MAX_ROUTES:
            del self._mean_sizes[next(iter(self._mean_sizes))]

    def _get_mean_size(self, address: bytes) -> float:
        return self._mean_sizes.get(address, FIRST_SIZE_BYTES)

    def _list_active(self, now: float) -> list[Transfer]:
        return [
            transfer
            for transfer in self._transfers.values()
            if now - transfer.active_at < SILENT_S
        ]

    def _count_by_caller(self, now: float) -> Counter[bytes]:
        return Counter(
            key[:4]
            for key, transfer in self._transfers.items()
            if now - transfer.active_at < SILENT_S
        )

    def _estimate_wait(
        self, active: list[Transfer], ahead: list[WaitingOpening]
    ) -> float:
        """Return the expected seconds until the next opening is admitted.

        The admitted uploads share the link, so the one with the least to send ends
        after all of them have sent that much. Then those ahead go, each after another.
        """
        rate = max(self._rate - self._other_rate, self._rate * LEAST_REMAINING_SHARE)
        until_end = 0.0
        if len(active) >= self.limit:
            until_end = min(map(self._estimate_remaining, active)) * len(active)
        queued = sum(
            self._get_mean_size(waiting.packet.service_address) for waiting in ahead
        )
        return LINK_PASSES * (until_end + queued) / rate

    def _estimate_remaining(self, transfer: Transfer) -> float:
        mean = self._get_mean_size(transfer.address)
        return max(mean - transfer.sent, mean * LEAST_REMAINING_SHARE)
