from unittest import TestCase

from fulmarshore.core.stalls import DRAIN_S, STALL_S, StallGuard


class StallTest(TestCase):
    def test_only_a_stall_makes_what_follows_stale(self):
        table = [
            ("the first event", [50.0], False),
            ("steady", [0.0, 0.9 * STALL_S, 1.8 * STALL_S], False),
            ("after a stall", [0.0, 10.0], True),
            ("soon after it", [0.0, 10.0, 10.0 + DRAIN_S / 2], True),
            ("the sockets are empty", [0.0, 10.0, 10.0 + DRAIN_S], False),
            ("a second stall", [0.0, 10.0, 11.0, 30.0], True),
        ]
        for name, times, wanted in table:
            with self.subTest(name):
                guard = StallGuard()
                for now in times:
                    found = guard.is_stale(now)
                self.assertEqual(found, wanted)
