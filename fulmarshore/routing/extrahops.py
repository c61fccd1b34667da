"""Measures extra hops of packets, and limits how many flows are handed over.

The home agent of a bucket decides who owns its flows. A flow that it hands over
costs an extra hop on each packet that reaches the home agent first. If the
hints of the entry hosts hold the flows, almost no packet does, and every flow
can go to the least loaded member. If they do not, only few flows can be handed
over, and a home agent keeps more than an even part.

Owners measure the share over the flows that were handed to them. So it does not
depend on the number of these flows, and decisions based on it do not feed back
into it: the rule cannot oscillate.
"""

from __future__ import annotations

import math

HOP_BUDGET = 0.04
"""Extra hops per packet that handed-over flows may cost; the target is 0.05."""
KEEP_MARGIN = 0.02
"""Share beyond its even part that a home agent keeps at the end of its budget."""
MAX_MARGIN = 0.05
"""Share that a home agent keeps at most once its budget is spent: balance takes
precedence where an upstream has come back empty, whatever it costs in hops until
flows end."""
SAMPLE_INTERVAL_S = 1.0
MIN_SAMPLE_PACKETS = 16
"""Fewer packets than this are not sampled."""
SMOOTHING_S = 60.0
SMOOTHING_PACKETS = 1024
"""A sample is weighted by its time or its packets as a fraction of these, as young
flows reach their home agents first even where hints hold the old ones."""


class ExtraHopMeter:
    """Measures the share of packets of handed-over flows with an extra hop.

    Attributes
    ----------
    packets : int
        Packets delivered since the last sample, for flows that a home agent
        handed to this agent.
    forwarded : int
        Those of them that another agent forwarded.
    share : float
        Smoothed share of the forwarded packets. It starts at 0, as hints that
        have never failed are trusted.
    """

    __slots__ = ("packets", "forwarded", "share", "_sampled_at")

    def __init__(self) -> None:
        self.packets = 0
        self.forwarded = 0
        self.share = 0.0
        self._sampled_at: float | None = None

    def update_share(self, now: float) -> None:
        """Add the packets since the last sample to the smoothed share."""
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
    """Return the share beyond its even part that a home agent keeps.

    Parameters
    ----------
    handed_over : int
        Open flows that the home agent has handed over.
    even_part : float
        Flows that the home agent would hold if all were spread evenly.
    share : float
        Share of the packets of handed-over flows that take an extra hop.

    Returns
    -------
    margin : float
        Minus infinity if all flows may be handed over. Otherwise it grows with
        the spent part of the budget, and is ``MAX_MARGIN`` once all is spent.
    """
    if share <= HOP_BUDGET:
        return -math.inf
    allowed = max(even_part, 1.0) * HOP_BUDGET / share
    if handed_over >= allowed:
        return MAX_MARGIN
    return KEEP_MARGIN * handed_over / allowed
