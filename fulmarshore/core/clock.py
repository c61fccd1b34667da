"""A hybrid logical clock: orders events of all processes, close to real time.

After Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks"
(OPODIS 2014). A value is one integer: microseconds since the epoch, shifted
left by ``LOGICAL_BITS`` bits that count events within a microsecond.
"""

from __future__ import annotations

LOGICAL_BITS = 12
MAX_AHEAD_S = 5.0
"""A peer's value further ahead of the local clock than this is rejected."""
_MAX_AHEAD = int(MAX_AHEAD_S * 1e6) << LOGICAL_BITS


class HybridClock:
    """Assigns each event a value above all values issued or observed so far.

    Parameters
    ----------
    value : int
        Value to start from, such as the last one of the previous incarnation.
    """

    __slots__ = ("value", "rejected")

    def __init__(self, value: int = 0) -> None:
        self.value = value
        self.rejected = 0

    def advance(self, now_us: int) -> int:
        """Return the value for a new event of this process.

        Parameters
        ----------
        now_us : int
            Real time, in microseconds since the epoch.
        """
        self.value = max(self.value + 1, now_us << LOGICAL_BITS)
        return self.value

    def observe(self, value: int, now_us: int) -> None:
        """Advance to a value received from a peer.

        A value more than ``MAX_AHEAD_S`` ahead of ``now_us`` is ignored and
        counted in ``rejected``, so that one peer whose clock is wrong can't
        push all others into the future.
        """
        if value - (now_us << LOGICAL_BITS) > _MAX_AHEAD:
            self.rejected += 1
            return
        self.value = max(self.value, value)


def read_seconds(value: int) -> float:
    """Return the real-time part of a value, in seconds since the epoch."""
    return (value >> LOGICAL_BITS) / 1e6


def make_value(seconds: float) -> int:
    """Return the lowest value for a time in seconds since the epoch."""
    return int(seconds * 1e6) << LOGICAL_BITS
