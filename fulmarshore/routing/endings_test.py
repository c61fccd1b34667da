from collections import Counter
from unittest import TestCase

from fulmarshore.routing.endings import EndingReport


class EndingReportTest(TestCase):
    def test_each_end_is_reported_once(self):
        report = EndingReport()
        counters = Counter(delivered=9)
        steps = [
            (0.0, {}, []),
            (1.0, {"flows_ended_idle": 2}, ["2 idle"]),
            (1.5, {"flows_ended_idle": 3}, []),
            (2.0, {"flows_ended_zone_out": 1}, ["3 idle", "1 zone_out"]),
            (3.0, {}, []),
        ]
        for now, added, expected in steps:
            with self.subTest(now=now):
                counters.update(added)
                events = report.collect("s", counters, now)
                self.assertEqual([event.detail for event in events], expected)
