"""Tests of timeline events about take-overs."""

from unittest import TestCase

from fulmarshore.core.hashing import hash_flow
from fulmarshore.core.records import FlowsTakenOver, TimelineEvent
from fulmarshore.routing.flows import Directory, DirectoryEntry
from fulmarshore.routing.homes_test import make_service
from fulmarshore.routing.takeover import FormerHomes, make_takeover_event
from fulmarshore.standins.routing import RoutedRegion

BUCKETS = range(100)
LEASE_OVER_S = 5.0


class FormerHomesTest(TestCase):
    def setUp(self):
        self.previous = make_service("a", "b", "c")
        self.of_c = [b for b in BUCKETS if self.previous.get_home(b).name == "c"]

    def test_one_event_for_a_former_home_once_all_its_buckets_are_settled(self):
        homes = FormerHomes()
        homes.update(self.previous, make_service("a", "b"), BUCKETS)
        self.assertEqual(homes.record_settled("s", self.of_c[1:], Directory()), [])
        # A newer view restarts the take-over; the previous table no longer has
        # the former home.
        homes.update(make_service("a", "b"), make_service("a"), self.of_c[:1])
        taken = homes.record_settled("s", self.of_c[:1], Directory())
        self.assertEqual(taken, [FlowsTakenOver("s", "c", len(self.of_c), 0)])
        self.assertEqual(homes.record_settled("s", self.of_c, Directory()), [])

    def test_no_event_for_former_homes_that_are_still_members(self):
        homes = FormerHomes()
        homes.update(self.previous, make_service("a", "b", "c", "d"), BUCKETS)
        self.assertEqual(homes.record_settled("s", BUCKETS, Directory()), [])

    def test_flows_in_the_directory_are_counted(self):
        homes, directory = FormerHomes(), Directory()
        directory.add(hash_flow("s", "10.0.0.1", 1), DirectoryEntry("b", 1, 1, 0.0))
        bucket = directory.list_buckets()[0]
        former = self.previous.get_home(bucket).name
        others = {"a", "b", "c"} - {former}
        homes.update(self.previous, make_service(*others), [bucket])
        taken = homes.record_settled("s", [bucket], directory)
        self.assertEqual(taken, [FlowsTakenOver("s", former, 1, 1)])
        event = make_takeover_event(taken[0])
        detail = "1 flows of others in 1 buckets"
        expected = TimelineEvent("flows_taken_over", "s", "", former, detail)
        self.assertEqual(event, expected)


class RegionTest(TestCase):
    def test_survivors_report_a_crash(self):
        for count in (2, 4):
            with self.subTest(count=count):
                region = RoutedRegion(1, {"book": count})
                region.send_all("book", range(40))
                reported = []
                for node in region.network.nodes.values():
                    node.observe = _record(node.observe, reported)
                region.crash("book-0")
                region.network.run(LEASE_OVER_S)
                survivors = {f"book-{number}" for number in range(1, count)}
                self.assertEqual(
                    {(name, "book-0") for name in survivors}, set(reported)
                )
                self.assertEqual(len(reported), len(survivors))


def _record(observe, reported):
    def record(node, effect, now):
        if isinstance(effect, TimelineEvent) and effect.kind == "flows_taken_over":
            reported.append((node.name, effect.peer))
        if observe is not None:
            observe(node, effect, now)

    return record
