"""How often packets reach an owner by way of the home, and what that allows.

A flow that is handed over costs a hop on each packet that reaches its home
first. Where the hints of the entry hosts hold the flows that is almost none,
and every flow can go to the emptiest member. Where they do not, only few
flows can be handed over, and a home keeps more than its part.

The share is measured by owners, over the flows that others gave to them. So
it does not depend on how many those are, and what it decides does not act back
on it: the rule has nothing to swing with.
"""

from __future__ import annotations

import math

HOP_BUDGET = 0.04
"""Extra hops a packet that handed-over flows may cost; the target is 0.05."""
KEEP_MARGIN = 0.02
"""A home that is about to spend its budget keeps this share beyond its part."""
MAX_MARGIN = 0.05
"""One that has spent it keeps this share, and no more: balance goes first where
an upstream has come back empty, whatever it costs in hops until flows end."""
SAMPLE_INTERVAL_S = 1.0
MIN_SAMPLE_PACKETS = 16
"""Fewer packets than this are no sample."""
SMOOTHING_S = 60.0
SMOOTHING_PACKETS = 1024
"""A sample of a second, or of few packets, weighs in with its part of these:
young flows reach their homes first also where hints hold the old ones."""


class ExtraHopMeter:
    """Measures which share of the packets of handed-over flows was passed on.

    Attributes
    ----------
    packets : int
        Packets delivered for flows that a home gave to this agent.
    passed : int
        Those of them that another agent had passed on.
    share : float
        Their share, smoothed. An agent begins with 0, as hints that have
        never failed are to be trusted.
    """

    __slots__ = ("packets", "forwarded", "share", "_sampled_at")

    def __init__(self) -> None:
        self.packets = 0
        self.forwarded = 0
        self.share = 0.0
        self._sampled_at: float | None = None

    def update_share(self, now: float) -> None:
        """Take what was counted since into the smoothed share."""
        if self._sampled_at is None:
            self._sampled_at = now
        elapsed = now - self._sampled_at
        if elapsed < SAMPLE_INTERVAL_S or self.packets < MIN_SAMPLE_PACKETS:
            return
        weight = min(elapsed / SMOOTHING_S, self.packets / SMOOTHING_PACKETS, 1.0)
        self.share += weight * (self.forwarded / self.packets - self.share)
        self._sampled_at = now
        self.packets = 0
        self.forwarded = 0


def compute_keep_margin(handed_over: int, even_part: float, share: float) -> float:
    """Return by which share a home may exceed its part before it hands over.

    Parameters
    ----------
    handed : int
        Open flows that the home has handed over.
    part : float
        Flows that the home would hold, were all spread evenly.
    share : float
        Share of the packets of handed-over flows that are passed on.

    Returns
    -------
    margin : float
        Minus infinity where all flows may be handed over. Else it grows with
        the part of the budget that is spent, and has a bound where all is.
    """
    if share <= HOP_BUDGET:
        return -math.inf
    allowed = max(even_part, 1.0) * HOP_BUDGET / share
    if handed_over >= allowed:
        return MAX_MARGIN
    return KEEP_MARGIN * handed_over / allowed
