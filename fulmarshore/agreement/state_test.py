from unittest import TestCase

from fulmarshore.agreement.state import State, answer_change, apply_command
from fulmarshore.core.records import (
    Batch,
    Change,
    ChangeStatus,
    Expire,
    Identity,
    Join,
    Member,
    Profile,
    Removed,
    Service,
    TrafficKind,
    Zone,
)

PROFILE = Profile("feed", TrafficKind.FEED)
SERVICE = Service("mendbook", "feed", "127.0.0.1", 7000)


def submit(state, change):
    decided = answer_change(state, change)
    if decided is not None:
        return state, decided
    return apply_command(state, state.index + 1, change)


class StateTest(TestCase):
    def test_one_change_is_accepted_per_number(self):
        state, first = submit(State(), Change(1, "ann", [Zone("a")], []))
        state, second = submit(state, Change(1, "ben", [Zone("b")], []))
        self.assertEqual(first.status, ChangeStatus.ACCEPTED)
        self.assertEqual(second.status, ChangeStatus.CONFLICT)
        self.assertEqual((second.winner, second.next_number), ("ann", 2))

    def test_resent_change_gets_the_original_reply(self):
        change = Change(1, "ann", [Zone("a")], [])
        state, first = submit(State(), change)
        state, _ = submit(state, Change(2, "ben", [Zone("a", True)], []))
        state, again = submit(state, change)
        self.assertEqual(again, first)
        self.assertTrue(state.view.items[("Zone", "a")].item.out)

    def test_all_errors_are_reported_at_once(self):
        invalid = Change(
            1,
            "ann",
            [
                Service("x", "nothing", "nowhere", 0),
                Profile("UPPER", TrafficKind.FEED, deadline=-1.0, retry_budget=2.0),
            ],
            [Removed(0, "Zone", "absent"), Removed(0, "Member", "m")],
        )
        _, reply = submit(State(), invalid)
        self.assertEqual(reply.status, ChangeStatus.INVALID)
        reported = "\n".join(reply.errors)
        for field in (
            "profile = nothing",
            "host = nowhere",
            "port = 0",
            "name = 'UPPER'",
            "deadline = -1.0",
            "retry_budget = 2.0",
            "name = absent",
            "type = Member",
        ):
            self.assertIn(field, reported)

    def test_two_services_cannot_share_an_address(self):
        other = Service("ribplans", "feed", "127.0.0.1", 7000)
        _, reply = submit(State(), Change(1, "a", [PROFILE, SERVICE, other], []))
        self.assertEqual(reply.status, ChangeStatus.INVALID)

    def test_profile_in_use_cannot_be_removed(self):
        state, _ = submit(State(), Change(1, "a", [PROFILE, SERVICE], []))
        _, reply = submit(state, Change(2, "a", [], [Removed(0, "Profile", "feed")]))
        self.assertEqual(reply.status, ChangeStatus.INVALID)

    def test_address_belongs_to_the_newest_process(self):
        old = Member("m", 5, "mendbook", "z", "127.0.0.1", 1)
        new = Member("r", 7, "ribplans", "z", "127.0.0.1", 1)
        moved = Member("m", 5, "mendbook", "z", "127.0.0.1", 2)
        table = [
            ("new process at the address", [Join(old), Join(new)], {"r"}),
            (
                "late duplicate from the former holder",
                [Join(old), Join(new), Join(old)],
                {"r"},
            ),
            ("former holder elsewhere", [Join(old), Join(moved, 1), Join(new)], "mr"),
            ("in one batch", [Batch([Join(old), Join(new)])], {"r"}),
            ("in one batch, late duplicate", [Batch([Join(new), Join(old)])], {"r"}),
        ]
        for label, commands, names in table:
            with self.subTest(label):
                state = State()
                for index, command in enumerate(commands, start=1):
                    state, _ = apply_command(state, index, command)
                members = {key[1] for key in state.view.items if key[0] == "Member"}
                self.assertEqual(members, set(names))

    def test_newest_incarnation_is_the_member(self):
        old = Member("m", 1, "mendbook", "z", "127.0.0.1", 1)
        new = Member("m", 2, "mendbook", "z", "127.0.0.1", 2)
        table = [
            ("joins", [Join(old)], 1),
            ("restarted", [Join(old), Join(new)], 2),
            ("late join of an older incarnation", [Join(new), Join(old)], 2),
            (
                "late expiry of an older incarnation",
                [Join(new), Expire(Identity("m", 1))],
                2,
            ),
            ("expired", [Join(new), Expire(Identity("m", 2))], None),
        ]
        for label, commands, incarnation in table:
            with self.subTest(label):
                state = State()
                for index, command in enumerate(commands, start=1):
                    state, _ = apply_command(state, index, command)
                member = state.view.items.get(("Member", "m"))
                self.assertEqual(
                    member.item.incarnation if member else None, incarnation
                )
