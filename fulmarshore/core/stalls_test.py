from unittest import TestCase

from fulmarshore.core.stalls import BACKLOG_S, STALL_S, StallDetector


class StallDetectorTest(TestCase):
    def test_messages_are_stale_only_after_a_stall(self):
        table = [
            ("first event", [50.0], False),
            ("steady events", [0.0, 0.9 * STALL_S, 1.8 * STALL_S], False),
            ("after a stall", [0.0, 10.0], True),
            ("soon after a stall", [0.0, 10.0, 10.0 + BACKLOG_S / 2], True),
            ("backlog read", [0.0, 10.0, 10.0 + BACKLOG_S], False),
            ("second stall", [0.0, 10.0, 11.0, 30.0], True),
        ]
        for name, times, wanted in table:
            with self.subTest(name):
                detector = StallDetector()
                for now in times:
                    found = detector.is_stale(now)
                self.assertEqual(found, wanted)
