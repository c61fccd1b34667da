"""The invariants of the replica cores hold for every order of a few steps."""

from unittest import TestCase

from hypothesis import settings
from msgspec.structs import replace

from fulmarshore.standins.explorer import explore
from fulmarshore.standins.profiles import CI_EXAMPLES
from fulmarshore.standins.replicas import (
    Limits,
    make_diverged,
    make_new,
    make_with_leader,
)

SCALE = max(1, settings().max_examples // CI_EXAMPLES)
"""Factor on the states visited in CI; above 1 in a soak."""
CASES = [
    ("first election", make_new, Limits(stands=2, states=5_000)),
    ("with a restart", make_new, Limits(stands=2, restarts=1, states=5_500)),
    (
        "proposal and rival candidate",
        make_with_leader,
        Limits(stands=1, proposals=1, states=5_000),
    ),
    ("leadership transfer", make_with_leader, Limits(1, 1, transfers=1, states=4_000)),
    ("leader restarts", make_with_leader, Limits(1, 1, restarts=1, states=4_000)),
    ("entries of two leaders", make_diverged, Limits(stands=1, states=4_000)),
]


class ExplorerTest(TestCase):
    def test_no_order_of_a_few_steps_violates_an_invariant(self):
        for label, make_first, limits in CASES:
            with self.subTest(label):
                limits = replace(limits, states=limits.states * SCALE)
                found = explore(make_first(), limits)
                self.assertEqual((found.problem, found.trace), ("", ()))
                self.assertTrue(found.is_exhaustive or found.states >= limits.states)
