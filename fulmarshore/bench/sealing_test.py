from unittest import TestCase

from fulmarshore.bench.sealing import BURST, run


class SealingBenchTest(TestCase):
    def test_small_run_reports_rates(self):
        report = run(packets=4 * BURST, rounds=1, stream_bytes=1 << 20)
        self.assertGreater(report.plain_per_second, 0)
        self.assertGreater(report.sealed_per_second, 0)
        self.assertGreater(report.stream_plain_mb, 0)
        self.assertGreater(report.stream_sealed_mb, 0)
