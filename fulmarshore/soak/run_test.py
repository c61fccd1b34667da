"""A short run of the soak: the real programs under a fixed fault plan."""

import tempfile
import unittest
from pathlib import Path

from fulmarshore.soak.plans import Fault, Plan, PlannedOrder, make_plan
from fulmarshore.soak.run import Soak

SECONDS = 24.0
SEED = 3
FAULTS = (
    Fault(3.0, "kill", "agent-1", 0.0),
    Fault(3.2, "one_way", "control-1", 2.0),
    Fault(3.4, "power", "control-0", 1.0),
    Fault(3.6, "drain", "agent-2", 0.0),
    Fault(4.0, "pause", "entry-0", 1.5),
    Fault(4.2, "disk_full", "control-2", 1.0),
    Fault(4.4, "reuse", "agent-4", 0.0),
    Fault(4.6, "restart", "entry-1", 0.0),
    Fault(5.0, "silence_connections", "control-2", 0.0),
    Fault(5.2, "hup", "", 0.0),
    Fault(6.5, "kill_controls", "", 0.6),
    Fault(7.5, "wipe", "control-1", 1.0),
)
ORDERS = (
    PlannedOrder(2.5, "change"),
    PlannedOrder(3.5, "race"),
    PlannedOrder(4.5, "invalid"),
    PlannedOrder(5.5, "zone_out"),
    PlannedOrder(9.0, "change"),
    PlannedOrder(12.0, "zone_in"),
    PlannedOrder(16.0, "change"),
)


class SoakTest(unittest.TestCase):
    def test_invariants_hold_under_a_fault_plan(self):
        default_plan = make_plan(SEED, SECONDS)
        plan = Plan(
            SEED,
            SECONDS,
            default_plan.controls,
            default_plan.entries,
            default_plan.upstreams,
            FAULTS,
            ORDERS,
        )
        with tempfile.TemporaryDirectory() as folder:
            report = Soak(plan, Path(folder)).run()
        self.assertEqual(report.violations, [])
        for counter in ("runs", "openings", "reads", "configurations_accepted"):
            self.assertGreater(report.counts.get(counter, 0), 0, counter)
        self.assertGreater(report.calm[0], 0)
        self.assertEqual(report.counts["configurations_invalid"], 1)


if __name__ == "__main__":
    unittest.main()
