"""Few extra hops, whatever hints hold, and no swinging to get there."""

import math
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.routing.detours import (
    FOLD_PACKETS,
    HOP_BUDGET,
    KEEP_MARGIN,
    MAX_MARGIN,
    MEMORY_PACKETS,
    Detours,
    find_margin,
)
from fulmarshore.standins import profiles  # noqa: F401

SECONDS = 600
PACKETS = 1000


def count(detours, packets, passed, now):
    detours.packets += packets
    detours.passed += passed
    detours.fold(now)


class DetoursTest(TestCase):
    def test_margin(self):
        table = [
            ("hints hold all", 900, 1000, 0.0, -math.inf),
            ("hints hold nearly all", 900, 1000, HOP_BUDGET, -math.inf),
            ("nothing handed over yet", 0, 1000, 1.0, 0.0),
            ("half of the budget", 20, 1000, 1.0, KEEP_MARGIN / 2),
            ("the same, fewer passed on", 40, 1000, 0.5, KEEP_MARGIN / 2),
            ("all of it", 40, 1000, 1.0, MAX_MARGIN),
            ("more than that", 900, 1000, 1.0, MAX_MARGIN),
            ("no flows at all", 0, 0, 1.0, 0.0),
        ]
        for title, handed, part, share, expected in table:
            with self.subTest(title):
                self.assertAlmostEqual(find_margin(handed, part, share), expected)

    def test_shares(self):
        table = [
            ("too few packets", FOLD_PACKETS - 1, FOLD_PACKETS - 1, 30.0, 0.0),
            ("few packets after long", 16, 16, 30.0, 16 / MEMORY_PACKETS),
            ("many packets in a second", 9000, 9000, 1.0, 1 / 60),
            ("half of them", 9000, 4500, 30.0, 0.25),
            ("within a second", 9000, 9000, 0.9, 0.0),
            ("after very long", 9000, 9000, 900.0, 1.0),
        ]
        for title, packets, passed, now, expected in table:
            with self.subTest(title):
                detours = Detours()
                detours.fold(0.0)
                count(detours, packets, passed, now)
                self.assertAlmostEqual(detours.share, expected)

    @given(st.floats(0, 1), st.floats(0, 0.5), st.integers(10, 2000))
    def test_hops_and_margin_are_bounded(self, passed, excess, part):
        """A home that gets more than its part, and hints of any quality.

        More hops than the budget come only of what is beyond the margin.
        """
        detours = Detours()
        detours.fold(0.0)
        for second in range(1, SECONDS):
            before = detours.share
            count(detours, PACKETS, int(passed * PACKETS), float(second))
            self.assertLessEqual(before, detours.share)
            self.assertLessEqual(detours.share, passed)
        kept = handed = 0
        for _ in range(int(part * (1 + excess))):
            margin = find_margin(handed, part, detours.share)
            if kept + 1 <= part * (1 + margin):
                kept += 1
                continue
            handed += 1
        hops = handed * detours.share / (kept + handed)
        beyond = max(excess - MAX_MARGIN, 0.0)
        self.assertLessEqual(hops, max(HOP_BUDGET, beyond) + 2 / part)
        self.assertLessEqual(kept, part * (1 + MAX_MARGIN))
