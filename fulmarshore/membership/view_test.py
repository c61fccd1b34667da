from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.core.records import (
    Delta,
    Member,
    MemberState,
    Removed,
    Versioned,
    Zone,
)
from fulmarshore.membership.view import (
    View,
    apply_delta,
    change_view,
    make_delta,
)

NAMES = ("a", "b", "c", "d")


def build_history(steps):
    views = [View()]
    for version, (name, is_removed) in enumerate(steps, start=1):
        items = [] if is_removed else [Zone(name, version % 2 == 0)]
        removed = [Removed(0, "Zone", name)] if is_removed else []
        views.append(change_view(views[-1], version, items, removed))
    return views


class ViewTest(TestCase):
    @given(
        st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=20),
        st.data(),
    )
    def test_delta_from_any_version_gives_the_same_view(self, steps, data):
        views = build_history(steps)
        start = data.draw(st.integers(0, len(steps)))
        delta = make_delta(views[-1], start)
        result, errors = apply_delta(views[start], delta)
        self.assertEqual(errors, [])
        self.assertEqual(result.items, views[-1].items)
        self.assertEqual(result.version, views[-1].version)

    def test_older_data_is_not_applied(self):
        view = change_view(View(), 5, [Zone("a", True)], [])
        table = [
            ("older snapshot", Delta(0, 4, [Versioned(4, Zone("a", False))], [])),
            ("same version", Delta(0, 5, [Versioned(5, Zone("a", False))], [])),
            ("older delta", Delta(2, 3, [Versioned(3, Zone("a", False))], [])),
        ]
        for label, delta in table:
            with self.subTest(label):
                result, errors = apply_delta(view, delta)
                self.assertIs(result, view)
                self.assertEqual(errors, [])

    def test_gap_in_versions_is_an_error(self):
        view = change_view(View(), 5, [Zone("a", True)], [])
        result, errors = apply_delta(view, Delta(7, 8, [], []))
        self.assertIs(result, view)
        self.assertEqual((errors[0].have, errors[0].since), (5, 7))

    def test_had_lives_records_that_an_agent_has_ended(self):
        first = Member("m", 1, "s", "a", "127.0.0.1", 1)
        drained = replace(first, state=MemberState.DRAINING)
        table = [
            ("an agent joins", [([first], [])], False),
            ("an agent drains", [([first], []), ([drained], [])], False),
            (
                "another incarnation",
                [([first], []), ([replace(first, incarnation=2)], [])],
                True,
            ),
            (
                "an agent leaves",
                [([first], []), ([], [Removed(0, "Member", "m")])],
                True,
            ),
            (
                "a zone is removed",
                [([Zone("a")], []), ([], [Removed(0, "Zone", "a")])],
                False,
            ),
        ]
        for label, changes, expected in table:
            with self.subTest(label):
                view = View()
                for version, (items, removed) in enumerate(changes, start=1):
                    view = change_view(view, version, items, removed)
                snapshot, _ = apply_delta(View(), make_delta(view, 0))
                self.assertEqual(
                    (view.had_lives, snapshot.had_lives), (expected, expected)
                )
