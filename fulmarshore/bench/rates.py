"""Packets a second of several subjects, compared within the same round."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from msgspec import Struct

QUARTERS = 4


class Rate(Struct, frozen=True):
    """What one subject did in one round.

    Parameters
    ----------
    pps : float
        Packets a second that reached the sink.
    cpu_pps : float
        The same for each second of processor time of the subject.
    """

    pps: float
    cpu_pps: float


class Spread(Struct, frozen=True):
    """Median of what the rounds gave, and the quartiles around it."""

    median: float
    low: float
    high: float


def take_median(rounds: list[Rate]) -> Rate:
    """Return the medians of the rounds."""
    return Rate(
        round(statistics.median(rate.pps for rate in rounds)),
        round(statistics.median(rate.cpu_pps for rate in rounds)),
    )


def compare_time(rounds: list[Rate], base: list[Rate]) -> Spread:
    """Return packets a second as a share of the base's in the same round."""
    pairs = zip(rounds, base, strict=True)
    return _spread(rate.pps / other.pps for rate, other in pairs)


def compare_cpu(rounds: list[Rate], base: list[Rate]) -> Spread:
    """Return the same for packets a second of processor time."""
    pairs = zip(rounds, base, strict=True)
    return _spread(rate.cpu_pps / other.cpu_pps for rate, other in pairs)


def _spread(values: Iterable[float]) -> Spread:
    found = list(values)
    if len(found) == 1:
        return Spread(*[round(found[0], 3)] * 3)
    low, middle, high = statistics.quantiles(found, n=QUARTERS, method="inclusive")
    return Spread(round(middle, 3), round(low, 3), round(high, 3))
