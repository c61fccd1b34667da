from unittest import TestCase

from fulmarshore.commands.declarations import Declarations
from fulmarshore.commands.plans import is_repeat, make_plan
from fulmarshore.core.records import Change, Drain, Profile, Removed, TrafficKind, Zone
from fulmarshore.membership.view import View, change_view, get_key

FEED = Profile("feed", TrafficKind.FEED)


def declare(*items, stateless=()):
    files = {get_key(item): "f.toml" for item in items}
    return Declarations(items, files, frozenset(stateless))


def view(*items):
    return change_view(View(), 1, list(items), [])


class PlanTest(TestCase):
    def test_plan_holds_only_differences(self):
        slow = Profile("feed", TrafficKind.FEED, deadline=20.0)
        zone_out, zone_in = Zone("a", True), Zone("a", False)
        table = [
            ("same", declare(FEED), view(FEED), False, [], []),
            ("new", declare(FEED), view(), False, [FEED], []),
            ("changed", declare(slow), view(FEED), False, [slow], []),
            (
                "zone out stays",
                declare(zone_in, stateless="a"),
                view(zone_out),
                False,
                [],
                [],
            ),
            ("file says in", declare(zone_in), view(zone_out), False, [zone_in], []),
            ("file says out", declare(zone_out), view(zone_in), False, [zone_out], []),
            ("others stay", declare(FEED), view(FEED, zone_in), False, [], []),
            (
                "others pruned",
                declare(zone_in),
                view(FEED, zone_in),
                True,
                [],
                [Removed(0, "Profile", "feed")],
            ),
            (
                "a zone out is not pruned",
                declare(FEED),
                view(FEED, zone_out),
                True,
                [],
                [],
            ),
            ("drains stay", declare(FEED), view(FEED, Drain("m")), True, [], []),
        ]
        for label, declared, in_force, prune, items, removed in table:
            with self.subTest(label):
                plan = make_plan(declared, in_force, prune)
                self.assertEqual(list(plan.items), items)
                self.assertEqual(list(plan.removed), removed)
                self.assertEqual(bool(plan.rows), bool(items or removed))

    def test_repeats_are_recognised(self):
        slow = Profile("feed", TrafficKind.FEED, deadline=20.0)
        zone = Zone("a")
        table = [
            ("same", declare(FEED), Change(1, "ann", [FEED], []), True),
            ("part", declare(FEED, zone), Change(1, "ann", [FEED], []), True),
            ("other operator", declare(FEED), Change(1, "ben", [FEED], []), False),
            ("other value", declare(slow), Change(1, "ann", [FEED], []), False),
            ("not declared", declare(FEED), Change(1, "ann", [zone], []), False),
            (
                "removed what is declared",
                declare(FEED),
                Change(1, "ann", [], [Removed(0, "Profile", "feed")]),
                False,
            ),
        ]
        for label, declared, change, expected in table:
            with self.subTest(label):
                self.assertEqual(is_repeat(declared, "ann", change), expected)
