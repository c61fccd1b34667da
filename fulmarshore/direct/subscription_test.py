import unittest

from fulmarshore.direct.records import Update
from fulmarshore.direct.subscription import Subscription


def update(directory, controls=()):
    """Return the answer of a control host that votes, or with 0 of another."""
    return Update(tuple(controls), "", 0, b"", directory, 0, 0.0, 99.0)


class SubscriptionTest(unittest.TestCase):
    def test_when_a_control_host_is_polled_again(self):
        cases = [
            ("no answer", None, 0.1),
            ("answer of one that does not vote", update(0), 0.1),
            ("answer of one that votes", update(5), 0.5),
        ]
        for name, answer, interval in cases:
            with self.subTest(name):
                subscription = Subscription(["c1"])
                self.assertEqual(subscription.select_due(0.0), ["c1"])
                if answer is not None:
                    subscription.record_update("c1", answer, 0.01)
                self.assertEqual(subscription.select_due(interval - 0.02), [])
                self.assertEqual(subscription.select_due(interval + 0.001), ["c1"])

    def test_hosts_that_are_heard_of_are_polled_at_once_and_once(self):
        subscription = Subscription(["c1"])
        subscription.select_due(0.0)
        self.assertEqual(subscription.select_unpolled(0.0), [])
        subscription.record_update("c1", update(5, ["c2", "c3"]), 0.01)
        self.assertEqual(subscription.select_unpolled(0.01), ["c2", "c3"])
        self.assertEqual(subscription.select_unpolled(0.02), [])
        self.assertEqual(subscription.select_due(0.05), [])

    def test_silent_hosts_are_told_once(self):
        subscription = Subscription(["c1"])
        subscription.record_update("c1", update(5), 0.0)
        self.assertEqual(subscription.pop_unresponsive(2.4), [])
        self.assertEqual(subscription.pop_unresponsive(2.6), ["c1"])
        self.assertEqual(subscription.pop_unresponsive(2.7), [])
        self.assertTrue(subscription.record_update("c1", update(5), 3.0))


if __name__ == "__main__":
    unittest.main()
