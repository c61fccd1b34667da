"""Service times of requests: mean, spread and histogram, which forget old samples."""

from __future__ import annotations

from bisect import bisect_left
from math import exp, sqrt

MEAN_SAMPLES = 64
"""Samples after which a mean has mostly forgotten older ones: with 3 of 100 requests
seven times as long, its standard error is a tenth."""
MEAN_RETENTION_S = 20.0
"""Time after which a mean has mostly forgotten older samples."""
HISTOGRAM_SAMPLES = 512
"""Samples that a histogram retains: with fewer, the weight of a tail of 3 in 100 would
at times fall below 1 in 100, and the 99th percentile would miss it."""
HISTOGRAM_RETENTION_S = 60.0
"""Time that a histogram retains samples: on the known platforms, an upstream with one
slot serves some hundred requests in it."""
BUCKET_BOUNDS_S = tuple(0.001 * 2 ** (step / 2) for step in range(28))
"""Upper bounds of the buckets, 1 ms to 12 s. A factor of 1.41 keeps the error of a
remaining time below half of it."""
MAX_WEIGHT = 1e6
"""Weight of a new sample above which a histogram is rescaled, to keep its precision."""
MAX_DECAY_EXPONENT = 10.0
"""Exponent of the decay over time after which older samples have no influence."""
MIN_TAIL_SHARE = 0.001
"""Share of the samples that must have run longer for a remaining time to be taken
from them."""
P99_SPREADS = 2.33
"""99th percentile of a normal distribution, in standard deviations from its mean."""


class ServiceTimes:
    """Figures of the service times of one route, or of all routes.

    Attributes
    ----------
    mean_s : float
        Mean, seconds; 0 if not known.
    is_sampled : bool
        Whether any sample was recorded.
    """

    __slots__ = (
        "mean_s",
        "is_sampled",
        "_weight",
        "_square",
        "_at",
        "_sample_weight",
        "_counts",
        "_sums",
        "_count",
    )

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.is_sampled = False
        self._weight = 0.0
        self._square = 0.0
        self._at = 0.0
        self._sample_weight = 1.0
        self._counts = [0.0] * (len(BUCKET_BOUNDS_S) + 1)
        self._sums = [0.0] * (len(BUCKET_BOUNDS_S) + 1)
        self._count = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Record the service time of a request, seconds."""
        since = now - self._at if self.is_sampled else 0.0
        self._at = now
        self.is_sampled = True
        decay = (1 - 1 / MEAN_SAMPLES) * exp(-since / MEAN_RETENTION_S)
        self._weight = self._weight * decay + 1.0
        self.mean_s += (seconds - self.mean_s) / self._weight
        self._square += (seconds * seconds - self._square) / self._weight
        exponent = since / HISTOGRAM_RETENTION_S + 1 / HISTOGRAM_SAMPLES
        # The weight of new samples grows, so that older ones need not be touched.
        self._sample_weight *= exp(min(exponent, MAX_DECAY_EXPONENT))
        if self._sample_weight > MAX_WEIGHT:
            self._rescale()
        weight = self._sample_weight
        bucket = bisect_left(BUCKET_BOUNDS_S, seconds)
        self._counts[bucket] += weight
        self._sums[bucket] += weight * seconds
        self._count += weight

    def estimate_remaining(self, elapsed_s: float) -> float:
        """Return the seconds that a request which has run for some time will still run.

        It is the mean over the samples that took longer. If hardly any did, the
        elapsed time is the best guess.
        """
        bucket = bisect_left(BUCKET_BOUNDS_S, elapsed_s)
        if bucket == len(BUCKET_BOUNDS_S):
            return elapsed_s
        count, total = self._counts[bucket], self._sums[bucket]
        if total <= count * elapsed_s:
            # Some of the samples in this bucket may still be longer.
            lower = BUCKET_BOUNDS_S[bucket - 1] if bucket else 0.0
            upper = BUCKET_BOUNDS_S[bucket]
            count *= (upper - elapsed_s) / (upper - lower)
            total = count * (elapsed_s + upper) / 2
        count += sum(self._counts[bucket + 1 :])
        total += sum(self._sums[bucket + 1 :])
        if count <= MIN_TAIL_SHARE * self._count:
            return elapsed_s
        return total / count - elapsed_s

    def compute_p99(self) -> float:
        """Return the 99th percentile, seconds; 0 without samples.

        A histogram of few samples has none that long, so it is at least the value
        that mean and spread give.
        """
        if not self.is_sampled:
            return 0.0
        spread = sqrt(max(0.0, self._square - self.mean_s * self.mean_s))
        left = 0.01 * self._count
        bucket = len(self._counts)
        while left >= 0 and bucket:
            bucket -= 1
            left -= self._counts[bucket]
        quantile = self._sums[bucket] / self._counts[bucket]
        return max(quantile, self.mean_s + P99_SPREADS * spread)

    def _rescale(self) -> None:
        scale = 1 / self._sample_weight
        self._sample_weight = 1.0
        self._counts = [count * scale for count in self._counts]
        self._sums = [total * scale for total in self._sums]
        self._count *= scale
