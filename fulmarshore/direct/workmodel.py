"""Model of the work at one upstream, from the traffic that passes its agent.

Only directions and times of data are used, never contents. The upstream is taken to
serve as many requests at the same time as it has slots, and the others in order of
arrival.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from heapq import heapify, heappop, heapreplace
from itertools import islice

from msgspec import Struct

from fulmarshore.direct.packets import LoadReport
from fulmarshore.direct.servicetimes import ServiceTimes

MAX_ROUTES = 64
"""Routes with figures of their own; the least recently used one is evicted."""
OVERDUE_FACTOR = 3.0
MIN_OVERDUE_S = 0.2
"""A request is overdue after this time and OVERDUE_FACTOR times the 99th percentile of
its route."""
MAX_OVERTAKEN_S = 3.0
"""A request that later ones overtake for this long holds no slot any more, and one that
has run for this long no longer counts as overdue: its caller may have left without
closing the flow."""
MAX_SIMULATED = 32
"""Slots and waiting requests that an estimate takes one by one; it is made for each
opening, and takes up to 80 us with this many."""
UTILIZATION_WINDOW_S = 3.0
CHECKPOINT_INTERVAL_S = 0.25
"""Interval of the values that the utilization is computed from."""
STALL_S = 0.5
"""A longer gap between two ticks is a stall of the process."""
BACKLOG_S = 0.1
"""Time after a stall in which the packets that arrived meanwhile are read."""
LEVEL_CHANGE = 2
LEVEL_INTERVAL_S = 2.0
"""Smallest change of the load level that is reported to control hosts, in tenths, and
shortest time between two: each one is sent to all entry hosts, which have 5 KB a
second for control."""


class Request(Struct):
    """A request at the upstream.

    Parameters
    ----------
    times : ServiceTimes
        Figures of its route.
    arrived_at, started_at : float
        When it arrived, and when it got its slot.
    """

    times: ServiceTimes
    arrived_at: float
    started_at: float


class WorkModel:
    """Learns service times, and estimates the work that an upstream still has to do.

    A flow is any object that stands for it; it has at most one request at a time.
    """

    __slots__ = (
        "_slots",
        "_routes",
        "_all",
        "_expected",
        "_waiting",
        "_running",
        "_used_s",
        "_advanced_at",
        "_checkpoints",
        "_valid_from",
        "_level",
        "_level_at",
    )

    def __init__(self) -> None:
        self._slots = 1
        self._routes: dict[bytes, ServiceTimes] = {}
        self._all = ServiceTimes()
        self._expected: dict[Hashable, ServiceTimes] = {}
        self._waiting: dict[Hashable, Request] = {}
        self._running: dict[Hashable, Request] = {}
        self._used_s = 0.0
        self._advanced_at = 0.0
        self._checkpoints: deque[tuple[float, float]] = deque()
        self._valid_from = float("-inf")
        self._level = 0
        self._level_at = float("-inf")

    @property
    def work_s(self) -> float:
        """Mean service time of the upstream, seconds; 0 if not known."""
        return self._all.mean_s

    def set_slots(self, slots: int, now: float) -> None:
        """Set the number of requests that the upstream serves at the same time."""
        self.advance(now)
        self._slots = max(1, slots)
        self._start_waiting(now)

    def reset(self) -> None:
        """Discard all figures, as the upstream is another incarnation."""
        self.drop_requests()
        self._routes.clear()
        self._all = ServiceTimes()
        self._checkpoints.clear()
        self._level = 0

    def drop_requests(self) -> None:
        """Discard the requests, as the upstream has ended."""
        self._expected.clear()
        self._waiting.clear()
        self._running.clear()

    # Requests

    def expect(self, flow: Hashable, address: bytes) -> None:
        """Record that an opening was admitted, so that a request will follow."""
        self._expected[flow] = self._find_times(address)

    def begin(self, flow: Hashable, address: bytes, now: float) -> None:
        """Record the first data of a request to a service address."""
        self.advance(now)
        self._expected.pop(flow, None)
        self._waiting[flow] = Request(self._find_times(address), now, now)
        self._start_waiting(now)

    def end(self, flow: Hashable, now: float) -> None:
        """Record the first data of the upstream after a request."""
        self.advance(now)
        request = self._running.pop(flow, None)
        if request is None:
            request = self._waiting.pop(flow, None)
            if request is None:
                self._expected.pop(flow, None)
                return
            self._exchange_slot(request, now)
        self._start_waiting(now)
        if request.started_at < self._valid_from:
            return
        seconds = now - request.started_at
        request.times.observe(seconds, now)
        self._all.observe(seconds, now)

    def abandon(self, flow: Hashable, now: float) -> None:
        """Record that a request, or an opening, gets no response any more."""
        if self._expected.pop(flow, None) is not None:
            return
        self.advance(now)
        self._waiting.pop(flow, None)
        self._running.pop(flow, None)
        self._start_waiting(now)

    def advance(self, now: float) -> None:
        """Account for the time that has passed; called at least once per tick."""
        if not self._checkpoints:
            self._checkpoints.append((now, self._used_s))
            self._advanced_at = now
        since = now - self._advanced_at
        if since > STALL_S:
            self._valid_from = now + BACKLOG_S
        self._used_s += since * min(len(self._running), self._slots)
        self._advanced_at = now
        checkpoints = self._checkpoints
        if now - checkpoints[-1][0] < CHECKPOINT_INTERVAL_S:
            return
        checkpoints.append((now, self._used_s))
        while checkpoints[1][0] <= now - UTILIZATION_WINDOW_S:
            checkpoints.popleft()

    # Estimates

    def estimate_wait(self, now: float, queued: Iterable[bytes] = ()) -> float:
        """Return the seconds until a request that arrives now would start.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        queued : iterable of bytes
            Service addresses of the openings that wait to be admitted.
        """
        ahead = [
            *(request.times for request in self._waiting.values()),
            *self._expected.values(),
            *(self._routes.get(address, self._all) for address in queued),
        ]
        free = self._slots - len(self._running)
        if len(ahead) < free:
            return 0.0
        if self._slots > MAX_SIMULATED:
            return (len(ahead) - max(0, free) + 1) * self.work_s / self._slots
        free_in = [
            self._estimate_remaining(request, now) for request in self._running.values()
        ]
        free_in.extend([0.0] * free)
        heapify(free_in)
        for _ in range(-free):
            heappop(free_in)
        for times in islice(ahead, MAX_SIMULATED):
            heapreplace(free_in, free_in[0] + (times.mean_s or self.work_s))
        rest = max(0, len(ahead) - MAX_SIMULATED)
        return free_in[0] + rest * self.work_s / self._slots

    def has_overdue(self, now: float) -> bool:
        """Return whether a request at the upstream is overdue."""
        for request in self._running.values():
            elapsed_s = now - request.started_at
            if elapsed_s > MAX_OVERTAKEN_S:
                # Its caller may have left without closing the flow: the upstream must
                # not stay without new flows for it.
                continue
            if elapsed_s <= MIN_OVERDUE_S:
                break  # The requests are in order of their start.
            if self._is_overdue(request, now):
                return True
        return False

    def measure_utilization(self, now: float) -> float:
        """Return the share of the slots' time in use over UTILIZATION_WINDOW_S."""
        self.advance(now)
        start = now - UTILIZATION_WINDOW_S
        first_at, used_s = self._checkpoints[0]
        if start > first_at:
            second_at, second_s = self._checkpoints[1]
            share = (start - first_at) / (second_at - first_at)
            used_s += share * (second_s - used_s)
        window_s = now - max(start, first_at)
        if window_s <= 0:
            return 0.0
        return min(1.0, (self._used_s - used_s) / window_s / self._slots)

    def make_report(self, now: float, queued: Iterable[bytes] = ()) -> LoadReport:
        """Return the load to report in a notice; see ``estimate_wait``."""
        wait_ms = round(self.estimate_wait(now, queued) * 1000)
        level = round(self.measure_utilization(now) * 10)
        return LoadReport(wait_ms, self.compute_work_ms(), level)

    def compute_work_ms(self) -> int:
        """Return the mean service time in ms, at least 1; 0 if it is not known."""
        if not self._all.is_sampled:
            return 0
        return max(1, round(self.work_s * 1000))

    def update_level(self, now: float) -> int:
        """Return the load level to report to control hosts, in tenths."""
        level = round(self.measure_utilization(now) * 10)
        is_due = now - self._level_at >= LEVEL_INTERVAL_S
        if is_due and abs(level - self._level) >= LEVEL_CHANGE:
            self._level = level
            self._level_at = now
        return self._level

    def _find_times(self, address: bytes) -> ServiceTimes:
        """Return the figures of a route, and mark it as the last one used."""
        times = self._routes.pop(address, None)
        if times is None:
            times = ServiceTimes()
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
        self._routes[address] = times
        return times

    def _start_waiting(self, now: float) -> None:
        """Give free slots to the requests that have waited longest."""
        while self._waiting and len(self._running) < self._slots:
            flow = next(iter(self._waiting))
            request = self._running[flow] = self._waiting.pop(flow)
            request.started_at = now

    def _exchange_slot(self, answered: Request, now: float) -> None:
        """Correct the slots after the response to a request that was taken to wait.

        It had the slot of the longest-running request, for instance an upload whose
        data were still arriving. That one starts only now, unless it is overdue: then
        the upstream has dropped it.
        """
        flow = next(iter(self._running))
        overtaken = self._running.pop(flow)
        answered.started_at = max(answered.arrived_at, overtaken.started_at)
        is_dropped = now - overtaken.arrived_at > MAX_OVERTAKEN_S
        if is_dropped or self._is_overdue(overtaken, now):
            return
        overtaken.started_at = now
        self._running[flow] = overtaken

    def _is_overdue(self, request: Request, now: float) -> bool:
        elapsed_s = now - request.started_at
        if elapsed_s <= MIN_OVERDUE_S or not request.times.is_sampled:
            return False
        p99_s = self._choose_times(request).compute_p99()
        return 0 < OVERDUE_FACTOR * p99_s < elapsed_s

    def _estimate_remaining(self, request: Request, now: float) -> float:
        if self._is_overdue(request, now):
            return now - request.started_at
        times = self._choose_times(request)
        if not times.is_sampled:
            return 0.0
        return times.estimate_remaining(now - request.started_at)

    def _choose_times(self, request: Request) -> ServiceTimes:
        """Return the figures of a request's route, or of all routes before any."""
        return request.times if request.times.is_sampled else self._all
