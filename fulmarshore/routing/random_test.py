"""Randomised runs of routing: packets to any entry host, during changes."""

from unittest import TestCase, mock

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fulmarshore.core.records import Drain, Removed, UpstreamGone, Zone
from fulmarshore.standins import profiles  # noqa: F401
from fulmarshore.standins.network import Faults
from fulmarshore.standins.routing import ZONES, RoutedRegion

BUCKETS = 16
"""Buckets per service; few, so that a short run changes the home of many flows."""
SERVICES = ("book", "plans")
FLOWS = {"book": 24, "plans": 4}
MAX_HINTS = 2
"""Hints per entry host; few, so that most packets go to a home."""
ZONE_BOUND_S = 3.0
"""Time after which no packet may reach a zone that was taken out."""
FAULTS = (
    Faults(),
    Faults(loss=0.1, duplication=0.2, max_delay=0.03),
    Faults(loss=0.3, max_delay=0.1),
)


class RoutingMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1 << 16))
    def start(self, seed):
        services = {SERVICES[0]: 4, SERVICES[1]: 2}
        self.region = RoutedRegion(
            seed, services, entries=3, connections=15, max_hints=MAX_HINTS
        )
        self.out = {}
        self.joined = 0

    def send(self):
        """Send a packet from every caller, each through any entry host."""
        for service, count in FLOWS.items():
            for port in range(count):
                self.region.send(service, port)
            self.region.network.run(0.002)

    @rule(seconds=st.sampled_from((0.001, 0.01, 0.1, 1.0, 4.0)))
    def wait(self, seconds):
        self.send()
        self.region.network.run(seconds)
        self.send()

    @rule(faults=st.sampled_from(FAULTS))
    def set_faults(self, faults):
        self.region.network.faults = faults

    @rule(entry=st.integers(0, 2))
    def cut_entry(self, entry):
        self.region.network.cut("control", f"entry{entry}")

    @rule(agent=st.integers(0, 3))
    def cut_agent(self, agent):
        self.region.network.partition(["control"], [f"{SERVICES[0]}-{agent}"])

    @rule()
    def cut_control(self):
        others = [name for name in self.region.network.nodes if name != "control"]
        self.region.network.partition(["control"], others)
        self.out.clear()

    @rule()
    def heal(self):
        self.region.network.heal()

    @rule(entry=st.integers(0, 2))
    def restart_entry(self, entry):
        self.region.add_entry(f"entry{entry}", ZONES[entry])

    @rule(agent=st.integers(0, 3))
    def restart_agent(self, agent):
        name = f"{SERVICES[0]}-{agent}"
        self.region.add_agent(name, SERVICES[0], ZONES[agent % 3])

    @rule(agent=st.integers(0, 3))
    def restart_agent_as_planned(self, agent):
        name = f"{SERVICES[0]}-{agent}"
        if self.region.network.nodes[name].running:
            self.region.restart(name)

    @rule(agent=st.integers(0, 3))
    def crash_agent(self, agent):
        self.region.crash(f"{SERVICES[0]}-{agent}")

    @rule(
        agent=st.integers(0, 3),
        ended=st.integers(0, 15),
        away=st.sampled_from((0.05, 0.5, 2.0, 4.0)),
    )
    def crash_and_return(self, agent, ended, away):
        """Crash an agent whose upstream keeps running; some flows end just before."""
        name = f"{SERVICES[0]}-{agent}"
        if self.region.network.nodes[name].running:
            for flow in list(self.region.get_agent(name).flows)[:ended]:
                self.region.network.inject(name, UpstreamGone(flow))
        self.send()
        self.region.crash(name)
        self.region.network.run(away)
        self.region.add_agent(name, SERVICES[0], ZONES[agent % 3])

    @rule(agent=st.integers(0, 3))
    def drain(self, agent):
        self.region.change(Drain(f"{SERVICES[0]}-{agent}"))

    @rule(agent=st.integers(0, 3))
    def end_drain(self, agent):
        gone = Removed(0, "Drain", f"{SERVICES[0]}-{agent}")
        self.region.change(removed=(gone,))

    @rule(agent=st.integers(0, 3))
    def stop_agent(self, agent):
        name = f"{SERVICES[0]}-{agent}"
        if self.region.network.nodes[name].running:
            self.region.stop(name)

    @precondition(lambda self: self.joined < 2)
    @rule()
    def join(self):
        self.joined += 1
        self.region.add_agent(f"{SERVICES[0]}-{3 + self.joined}", SERVICES[0], "a")

    @rule(zone=st.sampled_from(ZONES), is_out=st.booleans())
    def change_zone(self, zone, is_out):
        self.region.change(Zone(zone, is_out))
        self.out.pop(zone, None)
        if is_out and not self.region.network.is_cut("control"):
            self.out[zone] = self.region.network.now

    @invariant()
    def check(self):
        region = self.region
        assert region.misdelivered == 0, "packet delivered to another service"
        assert region.opened_twice == 0, "flow opened by two owners"
        for zone, since in self.out.items():
            for name, member in region.members.items():
                last = region.last_packet_at.get(name, 0.0)
                if member.zone == zone:
                    assert last <= since + ZONE_BOUND_S, "packet to a zone out"


class RandomTest(TestCase):
    def test_flows_have_one_owner_during_changes(self):
        with (
            mock.patch("fulmarshore.core.hashing.BUCKETS_PER_SERVICE", BUCKETS),
            mock.patch("fulmarshore.routing.table.BUCKETS_PER_SERVICE", BUCKETS),
            mock.patch("fulmarshore.routing.homes.BUCKETS_PER_SERVICE", BUCKETS),
        ):
            run_state_machine_as_test(RoutingMachine)
