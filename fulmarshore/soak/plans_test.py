import unittest

from fulmarshore.soak.plans import (
    BURST_GAP_S,
    BURST_S,
    MIN_UPSTREAMS,
    PLANNED_KINDS,
    SERVICES,
    STARTUP_S,
    make_plan,
)


class PlansTest(unittest.TestCase):
    def test_same_seed_gives_same_plan(self):
        self.assertEqual(make_plan(7, 45.0), make_plan(7, 45.0))
        self.assertNotEqual(make_plan(7, 45.0).faults, make_plan(8, 45.0).faults)

    def test_unplanned_faults_start_only_in_bursts(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                plan = make_plan(seed, 60.0)
                self.assertGreaterEqual(len(plan.faults), 6)
                for fault in plan.faults:
                    offset = (fault.at - STARTUP_S) % (BURST_S + BURST_GAP_S)
                    self.assertGreaterEqual(fault.at, STARTUP_S)
                    if fault.kind not in PLANNED_KINDS:
                        self.assertLessEqual(offset, BURST_S)

    def test_plans_stay_within_tolerated_losses(self):
        for seed in range(200):
            with self.subTest(seed=seed):
                plan = make_plan(seed, 100.0)
                current_services = dict(plan.upstreams)
                wipe_times = []
                for fault in plan.faults:
                    if fault.kind == "wipe":
                        wipe_times.append(fault.at)
                    if fault.kind == "reuse":
                        old_service = current_services[fault.host]
                        others = [name for name in SERVICES if name != old_service]
                        current_services[fault.host] = others[0]
                    for service in SERVICES:
                        remaining = list(current_services.values()).count(service)
                        self.assertGreaterEqual(remaining, MIN_UPSTREAMS)
                gaps = [b - a for a, b in zip(wipe_times, wipe_times[1:])]
                self.assertGreaterEqual(min(gaps, default=99.0), 10.0)


if __name__ == "__main__":
    unittest.main()
