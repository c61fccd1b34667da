"""Flows spread no worse than by two choices, in small services."""

from unittest import TestCase

from fulmarshore.bench.balance import HOP_TARGET, run

SIZES = ((7, 21), (3, 9), (7, 140), (1, 5))
MAX_SPREAD = 1.34
"""The target at 21 flows on 7 upstreams."""


class BalanceTest(TestCase):
    def test_small_services(self):
        for spread in run(seeds=(1, 2), sizes=SIZES).sizes:
            with self.subTest(upstreams=spread.upstreams, flows=spread.flows):
                self.assertLessEqual(spread.steady, spread.two_choice)
                self.assertLessEqual(spread.worst, MAX_SPREAD)
                self.assertLessEqual(spread.extra_hops, HOP_TARGET)
                self.assertEqual(spread.refused, 0)

    def test_the_baseline_knows_two_candidates(self):
        """Two choices with exact loads are better than a hash, not perfect."""
        spread = run(seeds=(1,), sizes=((7, 140),)).sizes[0]
        self.assertLess(spread.two_choice, spread.hash_only)
        self.assertGreaterEqual(spread.two_choice, 1.0)
