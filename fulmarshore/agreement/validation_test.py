from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.agreement.validation import check_change
from fulmarshore.core.records import Change, Profile, TrafficKind
from fulmarshore.membership.view import View

ORDERS = Profile("orders", TrafficKind.NON_IDEMPOTENT)
FEEDS = Profile("feeds", TrafficKind.FEED)


class ProfileValidationTest(TestCase):
    def check(self, profile):
        change = Change(1, "op", [profile], [])
        return [error.field for error in check_change(View(), 1, change)]

    def test_limits_on_load_and_deadlines(self):
        table = [
            (ORDERS, {}, []),
            (ORDERS, {"slots": 3, "connections": 2000}, []),
            (ORDERS, {"slots": -1}, ["slots"]),
            (ORDERS, {"slots": 10_001}, ["slots"]),
            (ORDERS, {"connections": -1}, ["connections"]),
            (ORDERS, {"cold_share": 0.0}, ["cold_share"]),
            (ORDERS, {"cold_share": 1.1}, ["cold_share"]),
            (ORDERS, {"deadline": 30.0}, []),
            (ORDERS, {"deadline": 31.0}, ["deadline"]),
            (FEEDS, {"deadline": 3600.0}, []),
        ]
        for profile, changes, expected in table:
            with self.subTest(kind=profile.kind, **changes):
                self.assertEqual(self.check(replace(profile, **changes)), expected)
