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

    def test_rate_of_new_flows_grows_during_slow_start(self):
        opened_cold = open_flows(self.gate, 0, 0.0)
        self.assertEqual(opened_cold, 200)
        opened_next_second = open_flows(self.gate, opened_cold, 1.0)
        self.assertLessEqual(opened_next_second, 300)
        opened_warm = open_flows(self.gate, 0, 60.0)
        self.assertEqual(opened_warm, 2000)

    def test_has_room_takes_no_token(self):
        for _ in range(1000):
            self.assertTrue(self.gate.has_room(0, 0.0))

    def test_limits_flows_to_connections(self):
        table = [(0, 2000), (500, 500), (5000, 2000)]
        for connections, expected in table:
            with self.subTest(connections=connections):
                self.gate.update(
                    Profile("p", TrafficKind.FEED, connections=connections)
                )
                self.assertEqual(self.gate.get_limit(0.0), expected)
                self.assertFalse(self.gate.has_room(expected, 99.0))

    def test_restarted_upstream_is_cold(self):
        open_flows(self.gate, 0, 0.0)
        self.gate.has_room(0, 60.0)
        self.gate.restart_slow_start(60.0)
        self.assertLessEqual(open_flows(self.gate, 0, 60.0), 200)

    def test_hint_lowers_the_rate_but_not_the_limit(self):
        table = [("unhealthy", 0.0, 200), ("half", 0.5, 1000), ("healthy", 1.0, 2000)]
        for title, share, expected in table:
            with self.subTest(title):
                self.setUp()
                self.gate.has_room(0, 0.0)
                self.gate.apply_hint(share)
                self.assertEqual(open_flows(self.gate, 0, 60.0), expected)
                self.assertEqual(self.gate.get_limit(60.0), 2000)

    def test_hint_does_not_raise_the_rate_of_a_cold_upstream(self):
        self.gate.apply_hint(1.0)
        self.assertEqual(open_flows(self.gate, 0, 0.0), 200)
