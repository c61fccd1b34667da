"""Histograms of durations with fixed buckets."""

from __future__ import annotations

from bisect import bisect_left

BUCKET_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the buckets. They cover the service times and the latency objectives
of the known platforms, 5 ms to 1.2 s."""


class LatencyHistogram:
    """A histogram of durations.

    Attributes
    ----------
    counts : list of int
        Durations in each bucket; the last bucket has no upper bound.
    total_s : float
        Sum of all durations, seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration in seconds."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total_s += seconds
