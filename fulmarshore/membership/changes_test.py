from unittest import TestCase

from fulmarshore.core.records import (
    Delta,
    Drain,
    Member,
    MemberState,
    Profile,
    Removed,
    Service,
    TrafficKind,
    Versioned,
    Zone,
)
from fulmarshore.membership.changes import describe_delta
from fulmarshore.membership.view import View, change_view

MEMBER = Member("m", 1, "s", "a", "127.0.0.1", 1)
RESTARTED = Member("m", 2, "s", "a", "127.0.0.1", 1, state=MemberState.DRAINING)


class ChangesTest(TestCase):
    def test_each_change_produces_its_event(self):
        zone, out = Zone("a"), Zone("a", True)
        table = [
            ([], [out], [], ["zone_out_applied"]),
            ([out], [zone], [], ["zone_in_applied"]),
            ([], [zone], [], []),
            ([out], [out], [], []),
            ([MEMBER], [Drain("m")], [], ["drain_applied"]),
            ([Drain("m")], [], [Removed(2, "Drain", "m")], ["drain_removed"]),
            ([], [MEMBER], [], ["upstream_seen"]),
            ([MEMBER], [RESTARTED], [], ["upstream_seen"]),
            ([MEMBER], [], [Removed(2, "Member", "m")], ["member_removed"]),
            ([], [], [Removed(2, "Member", "m")], []),
            ([], [Profile("p", TrafficKind.FEED)], [], ["profile_applied"]),
            ([], [Service("s", "p", "::1", 1)], [], ["service_applied"]),
        ]
        for before, items, removed, kinds in table:
            with self.subTest(items=items, removed=removed):
                view = change_view(View(), 1, before, [])
                delta = Delta(1, 2, [Versioned(2, item) for item in items], removed)
                events = describe_delta(view, delta, "c")
                self.assertEqual(events[0].kind, "view_applied")
                self.assertEqual([event.kind for event in events[1:]], kinds)

    def test_restart_is_reported(self):
        view = change_view(View(), 1, [MEMBER], [])
        events = describe_delta(view, Delta(1, 2, [Versioned(2, RESTARTED)], []), "c")
        self.assertEqual(events[1].detail, "draining, restarted")
