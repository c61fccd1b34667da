from unittest import TestCase

from fulmarshore.bench.changes import (
    crash_upstream,
    cut_off_control,
    drain_upstream,
    many_at_once_twice,
    zone_out,
)
from fulmarshore.bench.flows import measure_change, measure_kill

FLOWS = 60


class FlowsTest(TestCase):
    def test_only_flows_of_lost_upstreams_are_given_up(self):
        cases = [
            (drain_upstream, True, False),
            (many_at_once_twice, True, False),
            (cut_off_control, True, False),
            (crash_upstream, False, True),
            (zone_out, False, True),
        ]
        for change, planned, gives_up in cases:
            with self.subTest(change.__name__):
                row = measure_change(change, planned, FLOWS)
                found = (row.flows, row.broken, row.opened_twice, row.misdelivered)
                self.assertEqual(found, (FLOWS, 0, 0, 0))
                self.assertEqual(row.given_up > 0, gives_up)
                self.assertLess(row.given_up, FLOWS)

    def test_restart_of_a_killed_agent_breaks_no_copied_flow(self):
        row = measure_kill(1, FLOWS)
        found = (row.broken, row.opened_twice, row.misdelivered)
        self.assertEqual(found, (0, 0, 0))

    def test_a_broken_flow_is_counted(self):
        def crash_unnoticed(region):
            # The crash is not recorded in region.lost, so the flows must survive.
            region.crash("s-1")

        row = measure_change(crash_unnoticed, True, FLOWS)
        self.assertGreater(row.broken, 0)
