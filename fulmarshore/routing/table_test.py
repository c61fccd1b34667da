from collections import Counter
from unittest import TestCase

from fulmarshore.core.hashing import BUCKETS_PER_SERVICE
from fulmarshore.core.records import (
    Member,
    MemberState,
    Profile,
    Service,
    TrafficKind,
    Zone,
)
from fulmarshore.membership.view import View, change_view
from fulmarshore.routing.table import Table


def make_member(number, zone="z", state=MemberState.ACCEPTING, service="s"):
    return Member(
        f"m{number}", 1, service, zone, "127.0.0.1", 9000 + number, 3, 2000, state
    )


def make_view(*members, zones=()):
    items = [Profile("p", TrafficKind.FEED), Service("s", "p", "127.0.0.9", 80)]
    return change_view(View(), 1, [*items, *members, *zones], [])


class TableTest(TestCase):
    def test_rankings_do_not_depend_on_the_order_of_items(self):
        members = [make_member(number) for number in range(7)]
        one = Table(make_view(*members)).services["s"]
        other = Table(make_view(*reversed(members))).services["s"]
        for bucket in range(BUCKETS_PER_SERVICE):
            self.assertEqual(one.get_ranking(bucket), other.get_ranking(bucket))

    def test_rankings_hold_only_accepting_members_of_zones_in_service(self):
        members = [
            make_member(0),
            make_member(1, state=MemberState.DRAINING),
            make_member(2, zone="gone"),
            make_member(3, service="other"),
        ]
        service = Table(make_view(*members, zones=[Zone("gone", True)])).services["s"]
        self.assertEqual([member.name for member in service.get_ranking(5)], ["m0"])
        self.assertEqual(set(service.by_name), {"m0", "m1"})

    def test_a_leaving_member_moves_only_its_own_buckets(self):
        members = [make_member(number) for number in range(7)]
        before = Table(make_view(*members)).services["s"]
        after = Table(make_view(*members[:-1])).services["s"]
        homes = Counter()
        for bucket in range(BUCKETS_PER_SERVICE):
            home = before.get_ranking(bucket)[0]
            homes[home.name] += 1
            if home.name != "m6":
                self.assertEqual(after.get_ranking(bucket)[0], home)
        self.assertEqual(len(homes), 7)

    def test_unchanged_service_keeps_its_rankings(self):
        view = make_view(make_member(0))
        table = Table(view)
        changed = change_view(view, 2, [Zone("elsewhere", True)], [])
        self.assertIs(Table(changed, table).services["s"], table.services["s"])
