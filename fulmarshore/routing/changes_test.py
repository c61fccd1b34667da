"""Planned changes of a region must not break flows; runs the cores only."""

from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.core.records import Drain, Removed, Stop
from fulmarshore.standins.network import Faults
from fulmarshore.standins.routing import RoutedRegion

FLOWS = range(60)
UNDRAINED = (Removed(0, "Drain", "s-1"),)


def add_upstream(region):
    region.add_agent("s-9", "s", "a")


def drain(region):
    region.change(Drain("s-1"))


def drain_and_return(region):
    drain(region)
    region.send_all("s", FLOWS)
    region.change(removed=UNDRAINED)


def change_weight(region):
    core = region.get_agent("s-1")
    core.member = replace(core.member, connections=500)
    region.apply_effects("s-1", core.subscriber.announce(core.member))


def add_entry(region):
    region.add_entry("entry8", "a")


def stop_entry(region):
    region.network.inject("entry0", Stop())


def kill_entry(region):
    region.crash("entry0")


def restart_entry(region):
    region.add_entry("entry1", "b")


def stop_agent(region):
    region.stop("s-1")


def restart_agent(region):
    region.restart("s-1")


def restart_two(region):
    region.restart("s-1")
    region.restart("s-2")


def skip_versions(region):
    region.network.cut("control", "entry0")
    region.network.cut("control", "s-0")
    drain_and_return(region)
    add_upstream(region)


def make_many_changes(region):
    region.network.cut("control", "entry1")
    drain(region)
    add_upstream(region)
    region.stop("s-0")
    region.restart("s-2")
    kill_entry(region)


CHANGES = (
    add_upstream,
    drain,
    drain_and_return,
    change_weight,
    add_entry,
    stop_entry,
    kill_entry,
    restart_entry,
    stop_agent,
    restart_agent,
    restart_two,
    skip_versions,
    make_many_changes,
)
UNRELIABLE = Faults(duplication=0.1, max_delay=0.01)


class ChangesTest(TestCase):
    def test_planned_changes_break_no_flow(self):
        for number, change in enumerate(CHANGES):
            for faults in (None, UNRELIABLE):
                with self.subTest(change=change.__name__, faults=faults):
                    self.check(change, number, faults)

    def check(self, change, seed, faults):
        region = RoutedRegion(seed, {"s": 4}, faults=faults, max_hints=5)
        region.send_all("s", FLOWS)
        before = dict(region.owners)
        self.assertEqual(len(before), len(FLOWS))
        change(region)
        region.send_all("s", FLOWS)
        region.network.run(0.5)
        answers = dict(region.answers)
        region.send_all("s", FLOWS, rounds=2)
        for port in FLOWS:
            count = region.answers["s", port] - answers.get(("s", port), 0)
            self.assertGreaterEqual(count, 2, port)
        self.assertEqual(region.opened_twice, 0)
        self.assertEqual(region.misdelivered, 0)
        self.assertEqual(region.moved, set())
