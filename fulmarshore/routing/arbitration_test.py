"""Tests of the choice of owners, also with late or wrong load reports."""

from collections import deque
from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.core.hashing import hash_flow
from fulmarshore.core.records import (
    LoadReport,
    Member,
    Profile,
    SendPeer,
    Service,
    TrafficKind,
    Zone,
)
from fulmarshore.membership.view import View, change_view
from fulmarshore.routing.candidates import Candidate, find_least_loaded
from fulmarshore.routing.flows import Directory, DirectoryEntry
from fulmarshore.routing.reports import KEEPALIVE_INTERVAL_S, LoadReporter
from fulmarshore.routing.table import Table
from fulmarshore.standins.routing import RoutedRegion

UPSTREAMS = 7
FLOWS = 700
LATE_REPORTS = 20
LIMIT = 1000
EVEN_FLOWS = 2
"""Flows in an even part; a peer may then hold three flows more than another."""
MAX_SPREAD = 1.34
"""Target for the highest load over the mean, for few flows."""


def make_candidate(name, flows, assigned):
    member = Member(name, 1, "s", "z", "127.0.0.1", 9)
    return Candidate(member, flows / LIMIT, assigned / LIMIT, LIMIT)


def make_service():
    items = [
        Profile("p", TrafficKind.FEED),
        Service("s", "p", "127.0.0.9", 80),
        Zone("z"),
    ]
    for number, name in enumerate("ab"):
        items.append(Member(name, 1, "s", "z", "127.0.0.1", 9 + number))
    return Table(change_view(View(), 1, items, [])).services["s"]


class LateReports:
    """Replaces each report by an older one that has the newer number."""

    def __init__(self):
        self._held = deque()

    def __call__(self, report):
        self._held.append(report)
        if len(self._held) <= LATE_REPORTS:
            return None
        held = self._held.popleft()
        return replace(report, flows=held.flows, assignment=held.assignment)


def falsify(core, change):
    """Make an agent send changed load reports.

    `change` makes a function that replaces a report, or drops it with None.
    """
    handle = core.handle
    changes = {}

    def handle_falsely(event, now):
        effects = []
        for effect in handle(event, now):
            if not isinstance(effect, SendPeer):
                effects.append(effect)
                continue
            if not isinstance(effect.message, LoadReport):
                effects.append(effect)
                continue
            changed = changes.setdefault(effect.destination, change())(effect.message)
            if changed is not None:
                effects.append(SendPeer(effect.destination, changed))
        return effects

    core.handle = handle_falsely


class OwnerChoiceTest(TestCase):
    def test_late_or_wrong_reports_do_not_overload_a_member(self):
        mean = FLOWS / UPSTREAMS
        table = [
            ("one too low", 1, lambda: lambda report: replace(report, flows=0)),
            ("one too high", 1, lambda: lambda report: replace(report, flows=1999)),
            ("one stale", 1, lambda: lambda report: None),
            ("one late", 1, LateReports),
            ("all lost", UPSTREAMS, lambda: lambda report: None),
            ("all late", UPSTREAMS, LateReports),
            ("all too low", UPSTREAMS, lambda: lambda report: replace(report, flows=0)),
        ]
        for title, count, change in table:
            with self.subTest(title):
                region = RoutedRegion(5, {"s": UPSTREAMS}, 2)
                for core in region.list_agents("s")[:count]:
                    falsify(core, change)
                region.send_all("s", range(1, FLOWS + 1), gap=0.004)
                held = [len(core.flows) for core in region.list_agents("s")]
                self.assertEqual(sum(held), FLOWS)
                self.assertLessEqual(max(held) / mean, MAX_SPREAD, held)

    def test_the_least_loaded_peer_is_found(self):
        table = [
            ("no peer", [], None),
            ("the lowest load", [("b", 5, 4), ("c", 4, 4)], "c"),
            ("the first of equal ones", [("c", 4, 4), ("b", 4, 4)], "c"),
            ("fewest flows of this home", [("b", 4, 4), ("c", 4, 3)], "c"),
            ("reports take precedence", [("b", 3, 4), ("c", 4, 3)], "b"),
            ("beyond the imbalance bound", [("b", 0, 9), ("c", 90, 5)], "c"),
            ("at the imbalance bound", [("b", 0, 8), ("c", 90, 5)], "b"),
        ]
        for title, peers, expected in table:
            with self.subTest(title):
                best = find_least_loaded(
                    [make_candidate(*peer) for peer in peers], EVEN_FLOWS / LIMIT
                )
                self.assertEqual(best and best.member.name, expected)


class DirectoryCountsTest(TestCase):
    def test_flows_of_each_owner_are_counted(self):
        directory = Directory()
        flows = [hash_flow("s", "10.0.0.1", port) for port in range(60)]
        for flow in flows:
            directory.add(flow, DirectoryEntry("b", 1, 1, 0.0))
        first = flows[0]
        buckets = directory.list_buckets()
        part = len(directory.list_flows(buckets[-1]))
        steps = [
            ("added", lambda: None, 60, 0),
            (
                "twice",
                lambda: directory.add(first, DirectoryEntry("c", 1, 2, 0.0)),
                59,
                1,
            ),
            (
                "another owner",
                lambda: directory.change_owner(first, directory.find(first), "b"),
                60,
                0,
            ),
            ("given away", lambda: directory.give_away([buckets[-1]]), 60 - part, 0),
            ("given twice", lambda: directory.give_away([buckets[-1]]), 60 - part, 0),
            ("discarded", lambda: directory.discard_bucket(buckets[-1]), 60 - part, 0),
            ("cleared", lambda: directory.clear(), 0, 0),
        ]
        for title, step, expected, other in steps:
            with self.subTest(title):
                step()
                self.assertEqual(directory.flows_by_owner["b"], expected)
                self.assertEqual(directory.flows_by_owner["c"], other)

    def test_churn_is_reported_although_the_load_is_unchanged(self):
        service = make_service()
        table = [
            ("nothing happened", 100, 100, 0),
            ("as many ended as opened", 100, 101, 1),
            ("more ended", 98, 100, 1),
        ]
        for title, flows, opened, expected in table:
            with self.subTest(title):
                reporter = LoadReporter("a", 1)
                reporter.list_due_reports(service, 1, 100, 2000, 100, 0.0)
                reports = reporter.list_due_reports(
                    service, 1, flows, 2000, opened, 0.05
                )
                self.assertEqual(len(reports), expected)
                later = 1.0 + KEEPALIVE_INTERVAL_S
                reports = reporter.list_due_reports(
                    service, 1, flows, 2000, opened, later
                )
                self.assertEqual(len(reports), 1)
