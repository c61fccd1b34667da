"""Which control hosts a process polls, and when."""

import unittest

from fulmarshore.direct.records import Update
from fulmarshore.direct.subscription import Subscription


def make_update(directory, controls=()):
    """Return an update; ``directory`` is 0 for a control host that does not vote."""
    return Update(tuple(controls), "", 0, b"", directory, 0, 0.0, 99.0)


class SubscriptionTest(unittest.TestCase):
    def test_poll_interval_depends_on_the_last_answer(self):
        cases = [
            ("no answer", None, 0.1),
            ("answer of a host that does not vote", make_update(0), 0.1),
            ("answer of a voter", make_update(5), 0.5),
        ]
        for name, answer, interval in cases:
            with self.subTest(name):
                subscription = Subscription(["c1"])
                self.assertEqual(subscription.select_due(0.0), ["c1"])
                if answer is not None:
                    subscription.record_update("c1", answer, 0.01)
                self.assertEqual(subscription.select_due(interval - 0.02), [])
                self.assertEqual(subscription.select_due(interval + 0.001), ["c1"])

    def test_newly_named_hosts_are_polled_at_once_and_once(self):
        subscription = Subscription(["c1"])
        subscription.select_due(0.0)
        self.assertEqual(subscription.select_unpolled(0.0), [])
        subscription.record_update("c1", make_update(5, ["c2", "c3"]), 0.01)
        self.assertEqual(subscription.select_unpolled(0.01), ["c2", "c3"])
        self.assertEqual(subscription.select_unpolled(0.02), [])
        self.assertEqual(subscription.select_due(0.05), [])

    def test_unresponsive_hosts_are_reported_once(self):
        subscription = Subscription(["c1"])
        subscription.record_update("c1", make_update(5), 0.0)
        self.assertEqual(subscription.pop_unresponsive(2.4), [])
        self.assertEqual(subscription.pop_unresponsive(2.6), ["c1"])
        self.assertEqual(subscription.pop_unresponsive(2.7), [])
        self.assertTrue(subscription.record_update("c1", make_update(5), 3.0))


if __name__ == "__main__":
    unittest.main()
