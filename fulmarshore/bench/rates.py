"""Rates of the subjects of a measurement, compared within the same round."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from msgspec import Struct

QUARTERS = 4


class Rate(Struct, frozen=True):
    """Packet rates of one subject in one round.

    Parameters
    ----------
    pps : float
        Packets per second of wall time that reached the sink.
    cpu_pps : float
        Packets per second of the subject's processor time.
    """

    pps: float
    cpu_pps: float


class Spread(Struct, frozen=True):
    """Median over the rounds, with the lower and the upper quartile."""

    median: float
    low: float
    high: float


def take_median(rounds: list[Rate]) -> Rate:
    """Return the median of each rate over the rounds."""
    return Rate(
        round(statistics.median(rate.pps for rate in rounds)),
        round(statistics.median(rate.cpu_pps for rate in rounds)),
    )


def compare_time(rounds: list[Rate], base: list[Rate]) -> Spread:
    """Return packets per second as a share of the base's in the same round."""
    pairs = zip(rounds, base, strict=True)
    return _summarise(rate.pps / other.pps for rate, other in pairs)


def compare_cpu(rounds: list[Rate], base: list[Rate]) -> Spread:
    """Return packets per second of processor time as a share of the base's."""
    pairs = zip(rounds, base, strict=True)
    return _summarise(rate.cpu_pps / other.cpu_pps for rate, other in pairs)


def _summarise(values: Iterable[float]) -> Spread:
    found = list(values)
    if len(found) == 1:
        return Spread(*[round(found[0], 3)] * 3)
    low, middle, high = statistics.quantiles(found, n=QUARTERS, method="inclusive")
    return Spread(round(middle, 3), round(low, 3), round(high, 3))
