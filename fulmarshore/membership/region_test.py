"""Randomised faults on a group of control hosts: no accepted change is lost."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.standins.history import check_history
from fulmarshore.standins.network import Faults
from fulmarshore.standins.region import Region

RUNS = 600
FAULTS = (
    Faults(),
    Faults(loss=0.1, duplication=0.2, max_delay=0.05, max_disk_delay=0.2),
    Faults(loss=0.3, duplication=0.1, max_delay=0.3, max_disk_delay=0.05),
)
KINDS = (
    "crash",
    "wipe",
    "part",
    "one_way",
    "isolate",
    "mute",
    "heal",
    "leader",
    "power",
    "stop",
    "pause",
    "resume",
)
STEP = st.tuples(
    st.sampled_from(KINDS),
    st.integers(0, 2),
    st.integers(0, 1),
    st.sampled_from((0.02, 0.2, 0.7, 1.5)),
)


def inject_fault(region, kind, name, other):
    match kind:
        case "crash" if region.is_running(name):
            region.crash(name)
        case "crash":
            region.start(name)
        case "leader":
            leader = region.find_leader()
            if leader is not None:
                region.crash(leader.name)
                region.start(leader.name)
        case "power":
            for host in region.names:
                region.crash(host)
            for host in region.names:
                region.start(host)
        case "pause" if region.is_running(name):
            region.network.pause(name)
        case "resume":
            region.network.resume_all()
        case "stop":
            leader = region.find_leader()
            if leader is not None:
                region.stop(leader.name)
        case "wipe" if region.has_all_voters():
            region.wipe(name)
        case "part":
            region.network.partition([name], [other])
        case "one_way":
            region.network.cut(name, other)
        case "isolate":
            region.isolate(name)
        case "mute":
            region.network.blackhole_link(name, other)
        case "heal":
            region.network.heal()


def run_region(seed, faults, snapshot_entries, steps):
    region = Region(seed, snapshot_entries=snapshot_entries)
    assert region.has_all_voters(), "the group starts"
    region.add_operators(2)
    region.network.faults = FAULTS[faults]
    for kind, host, other, seconds in steps:
        others = [name for name in region.names if name != f"c{host}"]
        inject_fault(region, kind, f"c{host}", others[other])
        region.network.run(seconds)
        region.check()
    return region


class RegionTest(TestCase):
    @settings(max_examples=max(RUNS, settings().max_examples))
    @given(
        st.integers(0, 1 << 32),
        st.integers(0, 2),
        st.sampled_from((4, 16, 1024)),
        st.lists(STEP, max_size=10),
    )
    def test_no_accepted_change_is_lost(self, seed, faults, entries, steps):
        region = run_region(seed, faults, entries, steps)
        self.assertTrue(region.settle(), "the group recovers and answers every change")
        states = [region.get(name).state for name in region.names]
        self.assertEqual(states[0], states[1])
        self.assertEqual(states[0], states[2])
        operations = [op for operator in region.operators for op in operator.history]
        self.assertEqual(check_history(states[0], operations), [])
