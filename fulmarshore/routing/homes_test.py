"""Tests of the take-over of buckets by a new home."""

from unittest import TestCase

from fulmarshore.core.hashing import BUCKETS_PER_SERVICE
from fulmarshore.core.records import (
    Address,
    Member,
    MemberState,
    Profile,
    Service,
    Takeover,
    TakeoverReply,
    TrafficKind,
    Zone,
)
from fulmarshore.membership.view import View, change_view
from fulmarshore.routing.homes import GIVEN_RETENTION_S, Homes
from fulmarshore.routing.table import Table

SOURCE = Address("127.0.0.1", 9)


def make_service(*names, draining=()):
    items = [
        Profile("p", TrafficKind.FEED),
        Service("s", "p", "127.0.0.9", 80),
        Zone("z"),
    ]
    for number, name in enumerate(names):
        state = MemberState.DRAINING if name in draining else MemberState.ACCEPTING
        items.append(Member(name, 1, "s", "z", "127.0.0.1", 9 + number, state=state))
    return Table(change_view(View(), 1, items, [])).services["s"]


def make_homes(name, service, version=1):
    homes = Homes(name, 1)
    homes.is_fenced = False
    homes.update(service, version)
    return homes


def make_reply(name, version, buckets, complete=(), incarnation=1):
    return TakeoverReply("s", name, incarnation, version, buckets, [], list(complete))


class HomesTest(TestCase):
    def test_the_only_member_settles_at_once(self):
        homes = make_homes("a", make_service("a"))
        self.assertEqual(len(homes.settled), BUCKETS_PER_SERVICE)
        self.assertEqual(homes.list_due_requests(0.0), [])

    def test_a_bucket_settles_by_the_former_home_or_by_all_members(self):
        service = make_service("a", "b", "c")
        table = [
            ("no reply", [], False),
            ("one of two", [("b", False)], False),
            ("both", [("b", False), ("c", False)], True),
            ("the former home", [("c", True)], True),
            ("one of them twice", [("b", False), ("b", False)], False),
        ]
        for title, replies, expected in table:
            with self.subTest(title):
                homes = make_homes("a", service)
                bucket = next(iter(homes.awaited))
                for name, is_home in replies:
                    complete = [bucket] if is_home else []
                    homes.handle_reply(make_reply(name, 1, [bucket], complete))
                self.assertEqual(bucket in homes.settled, expected)

    def test_replies_of_other_versions_or_senders_are_ignored(self):
        homes = make_homes("a", make_service("a", "b"), version=5)
        bucket = next(iter(homes.awaited))
        table = [
            ("an older version", make_reply("b", 4, [bucket], [bucket])),
            ("a newer version", make_reply("b", 6, [bucket], [bucket])),
            ("old incarnation", make_reply("b", 5, [bucket], [bucket], incarnation=0)),
            ("unknown sender", make_reply("x", 5, [bucket], [bucket])),
        ]
        for title, reply in table:
            with self.subTest(title):
                self.assertFalse(homes.is_current_reply(reply))

    def test_unanswered_requests_are_repeated(self):
        homes = make_homes("a", make_service("a", "b", "c"))
        self.assertEqual({m.name for m, _ in homes.list_due_requests(0.0)}, {"b", "c"})
        self.assertEqual(homes.list_due_requests(0.05), [])
        homes.handle_reply(make_reply("b", 1, list(homes.awaited)))
        self.assertEqual({m.name for m, _ in homes.list_due_requests(0.2)}, {"c"})

    def test_the_promise_of_the_newest_version_holds(self):
        """Requests that arrive later under an older version change nothing."""
        homes = make_homes("a", make_service("a"))
        requests = [("b", 3, True), ("c", 2, False), ("b", 3, True), ("c", 4, True)]
        for name, version, expected in requests:
            with self.subTest(name=name, version=version):
                takeover = Takeover("s", name, 1, version, [7])
                given, _ = homes.give_away(takeover, SOURCE, 0.0)
                self.assertEqual(given == [7], expected)
        self.assertEqual(homes.find_promise(7).agent, "c")
        self.assertEqual(homes.get_ballot(7), 4)

    def test_only_the_former_home_gives_a_complete_reply(self):
        homes = make_homes("a", make_service("a"))
        table = [
            ("first request", "b", 3, [7]),
            ("repeated", "b", 3, [7]),
            ("another agent, the first may have settled", "c", 4, []),
            ("the first one again, settled in between", "b", 5, []),
        ]
        for title, name, version, expected in table:
            with self.subTest(title):
                takeover = Takeover("s", name, 1, version, [7])
                _, complete = homes.give_away(takeover, SOURCE, 0.0)
                self.assertEqual(complete, expected)

    def test_a_reply_is_not_complete_once_the_entries_have_expired(self):
        homes = make_homes("a", make_service("a"))
        takeover = Takeover("s", "b", 1, 3, [7])
        homes.give_away(takeover, SOURCE, 0.0)
        self.assertFalse(homes.has_expired(7, GIVEN_RETENTION_S - 1.0))
        self.assertTrue(homes.has_expired(7, GIVEN_RETENTION_S))
        self.assertEqual(homes.give_away(takeover, SOURCE, 11.0)[1], [])

    def test_a_newer_view_restarts_the_takeover_with_all_members(self):
        homes = make_homes("a", make_service("a", "b", "c"))
        bucket = next(iter(homes.awaited))
        homes.handle_reply(make_reply("b", 1, [bucket]))
        homes.update(make_service("a", "b", "c"), 2)
        self.assertEqual(homes.awaited[bucket], {"b", "c"})

    def test_no_arbitration_without_a_lease_or_a_membership(self):
        service = make_service("a")
        homes = make_homes("a", service)
        for title, update in (
            ("fenced", lambda: homes.set_fenced(True)),
            ("back", lambda: homes.set_fenced(False)),
            ("removed", lambda: homes.update(make_service("b"), 2)),
            ("back again", lambda: homes.update(make_service("a"), 3)),
            ("service removed", lambda: homes.update(None, 4)),
        ):
            with self.subTest(title):
                update()
                expected = BUCKETS_PER_SERVICE if "back" in title else 0
                self.assertEqual(len(homes.settled), expected)

    def test_a_draining_home_arbitrates_until_the_takeover_request(self):
        homes = make_homes("a", make_service("a"))
        homes.update(make_service("a", "b", draining=("a",)), 2)
        self.assertIn(7, homes.settled)
        homes.give_away(Takeover("s", "b", 1, 2, [7]), SOURCE, 0.0)
        self.assertNotIn(7, homes.settled)
