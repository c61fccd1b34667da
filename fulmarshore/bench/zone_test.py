from unittest import TestCase

from fulmarshore.bench import zone

MAX_LAST_PACKET_S = 3.0


class ZoneTest(TestCase):
    def test_zone_out_and_back_in_under_doubled_demand(self):
        report = zone.run()
        out = report.seconds[int(zone.OUT_AT_S)]
        self.assertEqual(out.event, "zone out")
        self.assertEqual(out.zone_flows, 0)
        self.assertLessEqual(report.last_packet_s, MAX_LAST_PACKET_S)
        self.assertEqual(report.refused_with_room, 0)
        self.assertEqual(report.flows_moved, 0)
        self.assertGreater(report.seconds[-1].zone_flows, 0)
