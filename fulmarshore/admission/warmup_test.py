from unittest import TestCase

from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.admission.warmup import WarmUpReporter


class WarmthReportTest(TestCase):
    def test_each_change_is_told_once(self):
        limiter = ConcurrencyLimiter(4, 0.25, 10.0)
        report = WarmUpReporter()
        steps = [
            (None, ["upstream_cold"]),
            (None, []),
            (2.0, []),
            (4.0, ["upstream_warm"]),
            (3.0, []),
            ("turn_cold", ["upstream_cold"]),
            ("turn_cold", []),
        ]
        for step, kinds in steps:
            with self.subTest(step=step):
                if step == "turn_cold":
                    limiter.restart_slow_start(1.0)
                elif step is not None:
                    limiter.limit = step
                events = report.collect("s", limiter)
                self.assertEqual([event.kind for event in events], kinds)
