import unittest

from fulmarshore.soak.plans import (
    BURST_GAP_S,
    BURST_S,
    LEAST_UPSTREAMS,
    PLANNED_KINDS,
    SERVICES,
    STARTUP_S,
    make_plan,
)


class PlansTest(unittest.TestCase):
    def test_one_seed_is_one_plan(self):
        self.assertEqual(make_plan(7, 45.0), make_plan(7, 45.0))
        self.assertNotEqual(make_plan(7, 45.0).faults, make_plan(8, 45.0).faults)

    def test_faults_come_in_bursts_with_calm_after_them(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                plan = make_plan(seed, 60.0)
                self.assertGreaterEqual(len(plan.faults), 6)
                for fault in plan.faults:
                    place = (fault.at - STARTUP_S) % (BURST_S + BURST_GAP_S)
                    self.assertGreaterEqual(fault.at, STARTUP_S)
                    if fault.kind not in PLANNED_KINDS:
                        self.assertLessEqual(place, BURST_S)

    def test_plans_lose_no_more_than_the_settings_bear(self):
        for seed in range(200):
            with self.subTest(seed=seed):
                plan = make_plan(seed, 100.0)
                present = dict(plan.upstreams)
                wiped = []
                for fault in plan.faults:
                    if fault.kind == "wipe":
                        wiped.append(fault.at)
                    if fault.kind == "reuse":
                        former = present[fault.host]
                        others = [name for name in SERVICES if name != former]
                        present[fault.host] = others[0]
                    for service in SERVICES:
                        held = list(present.values()).count(service)
                        self.assertGreaterEqual(held, LEAST_UPSTREAMS)
                gaps = [b - a for a, b in zip(wiped, wiped[1:])]
                self.assertGreaterEqual(min(gaps, default=99.0), 10.0)


if __name__ == "__main__":
    unittest.main()
