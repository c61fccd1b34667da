"""The demo fails if any single guarantee is violated."""

from collections import Counter
from types import SimpleNamespace
from unittest import TestCase

from fulmarshore.callers.requests import Answered, NotRun, Unknown
from fulmarshore.core.records import Reason
from fulmarshore.standins.orders import OrderTally, tally_orders
from fulmarshore.standins.summary import (
    ZONE_OUT_BOUND_S,
    DemoSummary,
    FeedRow,
    KindRow,
    list_table,
)


def make_summary(tally=None, feed=None, download=None):
    summary = DemoSummary()
    summary.feeds["s"] = feed or FeedRow(opened=3)
    summary.add_feeds(3)
    summary.kinds["download"] = download or KindRow(asked=2, answered=2)
    summary.add_orders(tally or OrderTally(4, 3, 0, 1), 0)
    return summary


class SummaryTest(TestCase):
    def test_each_violated_guarantee_fails(self):
        table = [
            ("kept", {}, True),
            ("order ran twice", {"tally": OrderTally(4, 4, ran_twice=1)}, False),
            ("false refusal", {"tally": OrderTally(4, 3, 1, 0, 0, 1)}, False),
            ("answer of another", {"tally": OrderTally(4, 4, wrong=1)}, False),
            ("no order answered", {"tally": OrderTally(4, 0, 4)}, False),
            ("feed broken", {"feed": FeedRow(3, broken=1)}, False),
            ("feed in the zone out", {"feed": FeedRow(3, given_up=1)}, True),
            ("misdelivered", {"feed": FeedRow(3, misdelivered=1)}, False),
            ("no feed", {"feed": FeedRow()}, False),
            ("download broken", {"download": KindRow(2, 1, broken=1)}, False),
            ("no download", {"download": KindRow()}, False),
        ]
        for title, rows, kept in table:
            with self.subTest(title):
                self.assertEqual(make_summary(**rows).is_kept(), kept)

    def test_late_packets_and_work_after_a_drain_fail(self):
        for name, value in (
            ("last_packet_s", ZONE_OUT_BOUND_S + 0.1),
            ("new_after_drain", 1),
        ):
            with self.subTest(name):
                summary = make_summary()
                setattr(summary, name, value)
                self.assertFalse(summary.is_kept())

    def test_table_has_a_column_for_each_field(self):
        header, *rows = list_table(make_summary().kinds, "kind")
        self.assertEqual([row[0] for row in rows], ["feed", "download", "order"])
        self.assertIn("ran twice", header)
        self.assertEqual({len(row) for row in rows}, {len(header)})


class TallyTest(TestCase):
    def test_outcomes_are_compared_with_what_ran(self):
        ran = [Counter({("c", n): 1 for n in (1, 2, 4, 5)}), Counter({("c", 5): 1})]
        outcomes = {
            b"c:1": Answered(1, b"m|c:1", True),
            b"c:2": Answered(2, b"m|c:1", True),
            b"c:3": Answered(3, b"m|c:3", True),
            b"c:4": NotRun(4, Reason.FULL),
            b"c:5": Unknown(5, Reason.EXPIRED),
            b"c:6": NotRun(6, Reason.FULL),
        }
        caller = SimpleNamespace(name="c", outcomes=outcomes)
        tally = tally_orders([caller], [SimpleNamespace(ran=r) for r in ran])
        self.assertEqual(tally, OrderTally(6, 3, 2, 1, 1, 1, 2))
