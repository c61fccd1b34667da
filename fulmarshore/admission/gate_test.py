from unittest import TestCase

from fulmarshore.admission.gate import Gate
from fulmarshore.core.records import Member, Profile, TrafficKind


def open_flows(gate, flows, now):
    opened = 0
    while gate.has_room(flows + opened, now):
        gate.record_opened(now)
        opened += 1
    return opened


class GateTest(TestCase):
    def setUp(self):
        self.gate = Gate(Member("a", 1, "s", "z", "127.0.0.1", 1, 1, 2000))

    def test_the_rate_of_new_flows_grows(self):
        at_once = open_flows(self.gate, 0, 0.0)
        self.assertEqual(at_once, 200)
        second = open_flows(self.gate, at_once, 1.0)
        self.assertLessEqual(second, 300)
        warm = open_flows(self.gate, 0, 60.0)
        self.assertEqual(warm, 2000)

    def test_asking_takes_nothing(self):
        for _ in range(1000):
            self.assertTrue(self.gate.has_room(0, 0.0))

    def test_never_more_than_connections(self):
        table = [(0, 2000), (500, 500), (5000, 2000)]
        for connections, wanted in table:
            with self.subTest(connections=connections):
                self.gate.update(
                    Profile("p", TrafficKind.FEED, connections=connections)
                )
                self.assertEqual(self.gate.get_limit(0.0), wanted)
                self.assertFalse(self.gate.has_room(wanted, 99.0))

    def test_a_restarted_upstream_is_cold(self):
        open_flows(self.gate, 0, 0.0)
        self.gate.has_room(0, 60.0)
        self.gate.restart_slow_start(60.0)
        self.assertLessEqual(open_flows(self.gate, 0, 60.0), 200)

    def test_a_hint_slows_openings_and_leaves_the_flows(self):
        table = [("sick", 0.0, 200), ("half", 0.5, 1000), ("well", 1.0, 2000)]
        for title, share, wanted in table:
            with self.subTest(title):
                self.setUp()
                self.gate.has_room(0, 0.0)
                self.gate.apply_hint(share)
                self.assertEqual(open_flows(self.gate, 0, 60.0), wanted)
                self.assertEqual(self.gate.get_limit(60.0), 2000)

    def test_a_hint_does_not_open_a_cold_upstream(self):
        self.gate.apply_hint(1.0)
        self.assertEqual(open_flows(self.gate, 0, 0.0), 200)
