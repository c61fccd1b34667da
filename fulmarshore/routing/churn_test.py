"""Members with low churn are detected, and get a penalty on their utilization."""

from unittest import TestCase

from fulmarshore.routing.candidates import (
    PENALTY_FLOWS,
    PENALTY_SHARE,
    STAGGER_FLOWS,
    Candidate,
    compute_low_churn_penalty,
    stagger,
)
from fulmarshore.routing.churn import HALVING_COUNT, MIN_ENDINGS, ChurnTracker

LIMIT = 4000


class ChurnTest(TestCase):
    def test_members_with_low_churn(self):
        few = MIN_ENDINGS - 1
        table = [
            ("nothing ended", {}, set(), False),
            ("too few endings", {"b": few}, set(), False),
            ("endings only elsewhere", {"b": few + 1}, set(), True),
            ("nearly as many here", {"a": few, "b": few + 1}, set(), False),
            ("as many in a drain", {"a": few, "b": few + 1}, {"a"}, True),
            ("few, after halvings", {"a": few, "b": 5 * HALVING_COUNT}, set(), True),
        ]
        for title, ended, drained, expected in table:
            with self.subTest(title):
                churn = ChurnTracker()
                churn.update({"a", "b"} - drained)
                for name, number in ended.items():
                    for _ in range(number):
                        churn.record_ended(name)
                churn.update({"a", "b"})
                self.assertEqual(churn.has_low_churn("a"), expected)

    def test_low_churn_penalty(self):
        table = [
            ("many flows", 0.5, (PENALTY_FLOWS + 7) / LIMIT),
            ("few flows", 0.01, PENALTY_SHARE * 0.01),
        ]
        for title, mean, expected in table:
            with self.subTest(title):
                self.assertAlmostEqual(
                    compute_low_churn_penalty(7, LIMIT, mean), expected
                )

    def test_staggering_starts_at_the_name_of_the_home(self):
        names = ("a", "b", "c", "d")
        for home, expected in (("a", "bcd"), ("b", "cda"), ("d", "abc")):
            with self.subTest(home):
                peers = [Candidate(_Named(n), 0.5, 0.0, LIMIT) for n in names]
                others = [peer for peer in peers if peer.member.name != home]
                ordered = stagger(others, home, 0.5)
                self.assertEqual("".join(c.member.name for c in ordered), expected)
                shares = [candidate.utilization for candidate in ordered]
                self.assertEqual(shares, sorted(shares))
                self.assertLess(shares[-1], 0.5 + STAGGER_FLOWS / LIMIT)


class _Named:
    def __init__(self, name):
        self.name = name
