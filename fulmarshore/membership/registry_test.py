"""Deltas and snapshots for subscribers that repeat requests or start all at once."""

from random import Random
from unittest import TestCase

from fulmarshore.core.records import (
    Delta,
    EntryHost,
    Freshness,
    HeartbeatReply,
    Identity,
    LinkMessage,
    Member,
    Subscribe,
    Zone,
)
from fulmarshore.membership.registry import (
    PUSH_INTERVAL_S,
    RESEND_INTERVAL_S,
    SCAN_INTERVAL_S,
    SNAPSHOT_BURST_ITEMS,
    SNAPSHOT_ITEMS_PER_S,
    SubscriptionRegistry,
)
from fulmarshore.membership.subscriber import HEARTBEAT_INTERVAL_S, Subscriber
from fulmarshore.membership.view import View, change_view, make_delta

VIEW = change_view(View(), 3, [Zone("a"), Zone("b")], [])


def make_subscribe(name="m", incarnation=1, version=0, revision=0):
    member = Member(name, incarnation, "s", "a", name, 1)
    return Subscribe(Identity(name, incarnation), member, version, revision)


def list_sent(effects):
    return [(effect.peer, effect.message.since) for effect in effects]


class RegistryTest(TestCase):
    def test_data_in_flight_is_not_sent_again(self):
        first = make_subscribe()
        late = RESEND_INTERVAL_S + 0.1
        table = [
            ("a repeat", "p", make_subscribe(), 0.2, []),
            ("a new revision", "p", make_subscribe(revision=1), 0.2, []),
            ("a repeat after a lost frame", "p", make_subscribe(), late, [("p", 0)]),
            ("on a new link", "q", make_subscribe(), 0.2, [("q", 0)]),
            ("a new incarnation", "p", make_subscribe(incarnation=2), 0.2, [("p", 0)]),
            ("of another name", "q", make_subscribe("n"), 0.2, [("q", 0)]),
        ]
        for case, peer, message, at, expected in table:
            with self.subTest(case):
                registry = SubscriptionRegistry("c")
                self.assertTrue(registry.handle_subscribe("p", first, 0.0))
                self.assertEqual(list_sent(registry.push_deltas(VIEW, 0.0)), [("p", 0)])
                self.assertTrue(registry.handle_subscribe(peer, message, at))
                self.assertEqual(list_sent(registry.push_deltas(VIEW, at)), expected)
                newer = change_view(VIEW, 4, [Zone("c")], [])
                later = registry.push_deltas(newer, at + 0.2)
                self.assertIn(
                    (peer, 3), list_sent(later), "later changes are still sent"
                )

    def test_subscriber_that_lost_its_view_gets_a_snapshot(self):
        registry = SubscriptionRegistry("c")
        registry.handle_subscribe("p", make_subscribe(version=2), 0.0)
        self.assertEqual(list_sent(registry.push_deltas(VIEW, 0.0)), [("p", 0)])
        registry.handle_subscribe("p", make_subscribe(version=0), 0.2)
        self.assertEqual(list_sent(registry.push_deltas(VIEW, 0.2)), [("p", 0)])

    def test_snapshots_are_limited_and_deltas_are_not_delayed(self):
        items = [Zone(f"z{number}") for number in range(1000)]
        view = change_view(View(), 3, items, [])
        registry = SubscriptionRegistry("c")
        names = [f"m{number}" for number in range(900)]
        for name in names:
            registry.handle_subscribe(name, make_subscribe(name), 0.0)
        running = make_subscribe("running", version=3)
        registry.handle_subscribe("running", running, 0.0)
        sent = []
        seconds = 2.0
        steps = 100
        delays = []
        changed_at = 0.0
        for step in range(steps):
            now = step * seconds / steps
            if step % 20 == 1:
                view = change_view(view, view.version + 1, [Zone("a")], [])
                changed_at = now
            for effect in registry.push_deltas(view, now):
                if effect.message.since == 0:
                    sent.append(effect.peer)
                elif effect.peer == "running":
                    delays.append(now - changed_at)
        allowed = SNAPSHOT_BURST_ITEMS + seconds * SNAPSHOT_ITEMS_PER_S
        self.assertLessEqual(1000 * len(sent), allowed + 2000)
        self.assertGreater(1000 * len(sent), allowed / 2)
        self.assertEqual(sent, names[: len(sent)], "first come, first served")
        self.assertEqual(delays, [0.0] * 5)
        while len(sent) < len(names):
            now += SCAN_INTERVAL_S
            assert now < 10.0, "every subscriber gets a snapshot in time"
            for effect in registry.push_deltas(view, now):
                if effect.message.since == 0:
                    sent.append(effect.peer)
        self.assertEqual(sent, names)

    def test_all_changes_of_a_burst_arrive(self):
        registry = SubscriptionRegistry("c")
        registry.handle_subscribe("p", make_subscribe(version=3), 0.0)
        view = VIEW
        reached = 3
        for step in range(60):
            now = step * SCAN_INTERVAL_S / 3
            if step < 50:
                view = change_view(view, view.version + 1, [Zone(f"z{step}")], [])
            for effect in registry.push_deltas(view, now):
                self.assertEqual(effect.message.since, reached)
                reached = effect.message.version
        for effect in registry.push_deltas(view, now + PUSH_INTERVAL_S):
            reached = effect.message.version
        self.assertEqual(reached, view.version)


class SubscriberTest(TestCase):
    def setUp(self):
        host = EntryHost("e", 1, "a", "e", 1)
        self.subscriber = Subscriber(Identity("e", 1), host, ["c"], Random(1))

    def reply(self, stamp, version, known=True):
        fresh = Freshness(1, stamp)
        return LinkMessage("c", HeartbeatReply("c", fresh, version, known))

    def test_frequent_replies_do_not_each_cause_a_request(self):
        for known in (True, False):
            with self.subTest(known=known):
                self.setUp()
                requests = 0
                steps = 200
                for step in range(steps):
                    now = 2 * step * HEARTBEAT_INTERVAL_S / steps
                    event = self.reply(step, 5, known)
                    requests += len(self.subscriber.handle(event, now))
                self.assertEqual(requests, 2)

    def test_deltas_after_the_first_snapshot_are_buffered_with_it(self):
        newer = change_view(VIEW, 4, [Zone("c")], [])
        newest = change_view(newer, 5, [Zone("a", True)], [])
        table = [
            ("snapshot alone", [make_delta(VIEW, 0)], 3),
            ("with one delta", [make_delta(VIEW, 0), make_delta(newer, 3)], 4),
            (
                "with two deltas",
                [make_delta(VIEW, 0), make_delta(newer, 3), make_delta(newest, 4)],
                5,
            ),
            ("a newer snapshot", [make_delta(VIEW, 0), make_delta(newest, 0)], 5),
            ("a delta was lost", [make_delta(VIEW, 0), make_delta(newest, 4)], 3),
        ]
        for case, deltas, version in table:
            with self.subTest(case):
                self.setUp()
                for delta in deltas:
                    assert isinstance(delta, Delta)
                    self.assertEqual(
                        self.subscriber.handle(LinkMessage("c", delta), 0.0), []
                    )
                self.assertEqual(self.subscriber.view.version, 0)
                self.subscriber.handle(self.reply(0, 5), 0.1)
                self.subscriber.handle(self.reply(1, 5), 0.2)
                self.assertEqual(self.subscriber.view.version, version)
