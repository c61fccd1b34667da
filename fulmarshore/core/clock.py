"""A hybrid logical clock: one order over all processes, near to real time.

After Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks"
(OPODIS 2014). A value is one integer: microseconds of real time above
``LOGICAL_BITS`` bits that count events within a microsecond.
"""

from __future__ import annotations

LOGICAL_BITS = 12
MAX_AHEAD_S = 5.0
"""A peer's value further ahead of real time than this is not followed."""
_MAX_AHEAD = int(MAX_AHEAD_S * 1e6) << LOGICAL_BITS


class HybridClock:
    """Gives every event a value above all that the process knows of.

    Parameters
    ----------
    value : int
        The last value given out, such as by the former self of the process.
    """

    __slots__ = ("value", "refused")

    def __init__(self, value: int = 0) -> None:
        self.value = value
        self.refused = 0

    def advance(self, now_us: int) -> int:
        """Return the value of an event of this process.

        Parameters
        ----------
        now_us : int
            Real time, in microseconds since the epoch.
        """
        self.value = max(self.value + 1, now_us << LOGICAL_BITS)
        return self.value

    def observe(self, value: int, now_us: int) -> None:
        """Take note of the value that came with a peer's message."""
        if value - (now_us << LOGICAL_BITS) > _MAX_AHEAD:
            self.refused += 1
            return
        self.value = max(self.value, value)


def read_seconds(value: int) -> float:
    """Return the real-time part of a value, in seconds since the epoch."""
    return (value >> LOGICAL_BITS) / 1e6


def make_value(seconds: float) -> int:
    """Return the lowest value at a real time, in seconds since the epoch."""
    return int(seconds * 1e6) << LOGICAL_BITS
