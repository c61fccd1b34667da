from unittest import TestCase

from fulmarshore.bench.sealing import BURST, run


class SealingBenchTest(TestCase):
    def test_a_small_run_reports(self):
        report = run(packets=4 * BURST, rounds=1)
        self.assertGreater(report.plain_per_second, 0)
        self.assertGreater(report.sealed_per_second, 0)
