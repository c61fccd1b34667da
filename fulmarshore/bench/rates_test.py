from unittest import TestCase

from fulmarshore.bench.rates import Rate, Spread, compare_cpu, compare_time, take_median


class RatesTest(TestCase):
    def test_rounds_are_compared_in_pairs(self):
        base = [Rate(100, 1000), Rate(10, 100), Rate(1000, 10_000)]
        half = [Rate(50, 250), Rate(5, 25), Rate(500, 2500)]
        table = [
            (base, Spread(1, 1, 1), Spread(1, 1, 1)),
            (half, Spread(0.5, 0.5, 0.5), Spread(0.25, 0.25, 0.25)),
            (half[:1], Spread(0.5, 0.5, 0.5), Spread(0.25, 0.25, 0.25)),
        ]
        for rounds, time, cpu in table:
            with self.subTest(rounds=rounds):
                base_rounds = base[: len(rounds)]
                self.assertEqual(compare_time(rounds, base_rounds), time)
                self.assertEqual(compare_cpu(rounds, base_rounds), cpu)

    def test_spread_holds_median_and_quartiles(self):
        base = [Rate(10, 10)] * 5
        rounds = [Rate(pps, 10 - pps) for pps in (5, 1, 2, 4, 3)]
        self.assertEqual(compare_time(rounds, base), Spread(0.3, 0.2, 0.4))
        self.assertEqual(take_median(rounds), Rate(3, 7))
