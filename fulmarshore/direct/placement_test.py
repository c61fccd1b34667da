"""Placement by cost against placement by flows: loads in simulated time."""

import unittest

from fulmarshore.direct.loads_test import Load, World, compare

UNEVEN = (0.7, 0.7, 1.7) * 4
LOADS = [
    Load("uneven speeds", speeds=UNEVEN),
    Load("uneven speeds, heavy tail", speeds=UNEVEN, tail=0.03),
    Load("demand moves between zones", speeds=UNEVEN, moves=True),
    Load("30 entry hosts", speeds=UNEVEN, entries=30),
    Load("reports up to 5 s old", speeds=UNEVEN, report_age_s=5.0),
]
EVEN_LOADS = [
    Load("equal speeds", utilization=0.7),
    Load("equal speeds, 30 entry hosts", utilization=0.7, entries=30),
    Load("one upstream hangs", hang=(3.0, 6.0)),
]


class PlacementByCostTest(unittest.TestCase):
    def test_slowest_hundredth_is_a_fifth_faster_on_uneven_loads(self):
        for load in LOADS:
            with self.subTest(load.name):
                by_cost, by_flows = compare(load)
                self.assertLessEqual(by_cost.failed, by_flows.failed)
                limit = 0.8 * by_flows.percentile()
                self.assertLess(by_cost.percentile(), limit)

    def test_equal_upstreams_get_equal_work(self):
        for load in EVEN_LOADS[:2]:
            with self.subTest(load.name):
                self.assertLess(World(load, True, 1).run().imbalance(), 1.1)

    def test_callers_wait_no_longer_than_by_flows_on_equal_upstreams(self):
        for load in EVEN_LOADS:
            with self.subTest(load.name):
                by_cost, by_flows = compare(load)
                self.assertLessEqual(by_cost.failed, by_flows.failed)
                self.assertLessEqual(by_cost.percentile(), by_flows.percentile())

    def test_agent_that_reports_no_wait_gets_what_it_admits(self):
        by_cost, by_flows = compare(Load(liar=0))
        self.assertLessEqual(by_cost.failed, by_flows.failed)
        self.assertEqual(by_cost.queued[0], 0)
        self.assertLess(by_cost.opened[0], 1.5 * by_flows.opened[0])

    def test_slow_upstream_shows_that_it_recovered(self):
        load = Load(slow=0, recovers_at=12.0, duration_s=40.0)
        by_cost = World(load, True, 1).run()
        mean = by_cost.late_opened.total() / len(load.speeds)
        self.assertGreater(by_cost.late_opened[0], 0.5 * mean)

    def test_closed_agents_and_zones_out_get_no_flow(self):
        load = Load(closed=(0, 5), zones_out=("b",), utilization=0.3)
        by_cost, by_flows = compare(load)
        for number in (0, 1, 4, 5, 7, 10):
            self.assertEqual(by_cost.opened[number], 0)
        self.assertEqual(by_cost.unbidden.total(), 0)
        self.assertLessEqual(by_cost.failed, by_flows.failed)

    def test_services_divert_and_keep_their_weights(self):
        services = {"services": ("desk", "spare"), "weights": (90, 10)}
        load = Load(
            utilization=0.3, duration_s=60.0, **services, hang_service=(3.0, 6.0)
        )
        by_cost, by_flows = compare(load)
        self.assertLess(by_cost.failed, by_flows.failed)
        self.assertGreater(by_cost.services["spare"], 0)
        share = by_cost.services["desk"] / by_cost.services.total()
        self.assertAlmostEqual(share, 0.9, delta=0.02)

    def test_service_of_weight_0_gets_no_flow(self):
        load = Load(
            services=("desk", "spare"),
            weights=(1, 0),
            utilization=0.6,
            hang_service=(3.0, 6.0),
        )
        self.assertEqual(World(load, True, 1).run().services["spare"], 0)

    def test_log_names_what_decided(self):
        detail = World(Load(duration_s=3.0), True, 1).run().details[-1]
        for word in ("wait", "work", "standing", "hop", "age", "next"):
            self.assertIn(f"{word} ", detail)


if __name__ == "__main__":
    unittest.main()
