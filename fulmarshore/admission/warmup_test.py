from unittest import TestCase

from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.admission.warmup import WarmUpReporter


class WarmUpReporterTest(TestCase):
    def test_reports_each_change_once(self):
        limiter = ConcurrencyLimiter(4, 0.25, 10.0)
        reporter = WarmUpReporter()
        steps = [
            (None, ["upstream_cold"]),
            (None, []),
            (2.0, []),
            (4.0, ["upstream_warm"]),
            (3.0, []),
            ("slow_start", ["upstream_cold"]),
            ("slow_start", []),
        ]
        for step, kinds in steps:
            with self.subTest(step=step):
                if step == "slow_start":
                    limiter.restart_slow_start(1.0)
                elif step is not None:
                    limiter.limit = step
                events = reporter.collect("s", limiter)
                self.assertEqual([event.kind for event in events], kinds)
