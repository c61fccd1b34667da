from unittest import TestCase

from fulmarshore.bench.copies import measure_rate

CONTROL_BYTES_PER_S = 5_000


class CopiesTest(TestCase):
    def test_copies_stay_within_the_control_traffic_budget(self):
        for rate in (0.0, 5.4, 200.0):
            with self.subTest(rate=rate):
                row = measure_rate(rate)
                self.assertLess(row.bytes_per_s, CONTROL_BYTES_PER_S)
