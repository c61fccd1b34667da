"""Small services spread flows no worse than the better of two choices does."""

from unittest import TestCase

from fulmarshore.bench.balance import HOP_TARGET, SURGE_S, Condition, run

SIZES = ((7, 21), (3, 9), (7, 140), (1, 5))
MAX_SPREAD = 1.34
"""The target for 21 flows on 7 upstreams."""
MAX_SPREAD_SHORT = 1.08
"""With short hints, a home agent keeps up to 1.05 of its fair share of flows."""
HELD = (Condition(SURGE_S, True),)
SHORT = (Condition(SURGE_S, False),)


class BalanceTest(TestCase):
    def test_small_services(self):
        for spread in run((1, 2), SIZES, (), HELD).sizes:
            with self.subTest(upstreams=spread.upstreams, flows=spread.flows):
                self.assertLessEqual(spread.steady, spread.two_choice)
                self.assertLessEqual(spread.worst, MAX_SPREAD)
                self.assertLessEqual(spread.extra_hops, HOP_TARGET)
                self.assertEqual(spread.refused, 0)

    def test_short_hints_cost_few_hops(self):
        """Flows are handed over only as far as the bound on extra hops allows."""
        spread = run((1,), (), ((4, 4_920),), SHORT).sizes[0]
        self.assertLessEqual(spread.extra_hops, HOP_TARGET)
        self.assertLessEqual(spread.worst, MAX_SPREAD_SHORT)
        self.assertEqual(spread.refused, 0)

    def test_an_upstream_that_returned_is_not_overfilled(self):
        """All flows of the upstream are new, so any excess persists."""
        spread = run((1,), ((4, 4_920),), (), HELD).sizes[0]
        self.assertLessEqual(spread.returned, spread.two_choice_returned)

    def test_two_choice_baseline_lies_between_a_hash_and_an_even_spread(self):
        """Two choices with exact loads are better than a hash but not perfect."""
        spread = run((1,), ((7, 140),), (), HELD).sizes[0]
        self.assertLess(spread.two_choice, spread.hash_only)
        self.assertGreaterEqual(spread.two_choice, 1.0)
