"""A zone out takes effect everywhere within seconds, despite one or two faults."""

from random import Random
from unittest import TestCase

from fulmarshore.core.records import (
    Address,
    Change,
    ChangeReply,
    ChangeStatus,
    Datagram,
    EntryHost,
    Identity,
    LinkMessage,
    Member,
    Profile,
    SendCaller,
    SendLink,
    SendUpstream,
    Service,
    Tick,
    TrafficKind,
    UpstreamDatagram,
    Zone,
)
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.entry import EntryCore
from fulmarshore.standins.region import Region

ZONES = ("a", "b", "c")
BOUND_S = 3.0
SUBMIT_INTERVAL_S = 0.3


class Submitter:
    """An operator that submits one change repeatedly until it is accepted."""

    def __init__(self, change, controls):
        self.change = change
        self.controls = controls
        self.accepted_at = None
        self.accepted_by = None
        self.submitted_at = float("-inf")
        self.submissions = 0

    def handle(self, event, now):
        if isinstance(event, LinkMessage) and isinstance(event.message, ChangeReply):
            if event.message.status == ChangeStatus.ACCEPTED and not self.accepted_at:
                self.accepted_at = now
            return []
        if not isinstance(event, Tick) or self.accepted_at is not None:
            return []
        if now - self.submitted_at < SUBMIT_INTERVAL_S:
            return []
        self.submitted_at = now
        self.submissions += 1
        name = self.controls[self.submissions % len(self.controls)]
        return [SendLink(name, self.change)]


class SimulatedSite:
    """Simulates three control hosts, three entry hosts and six agents, with traffic."""

    def __init__(self, seed):
        self.region = Region(seed)
        self.network = self.region.network
        self.random = Random(seed)
        self.last_in_zone = {}
        self.entries = [f"entry{number}" for number in range(3)]
        self.agents = [f"agent{number}" for number in range(6)]
        for number, name in enumerate(self.entries):
            host = EntryHost(name, 1, ZONES[number % 3], "127.0.0.1", 20_000 + number)
            self.add(name, host, EntryCore)
        for number, name in enumerate(self.agents):
            zone = ZONES[number % 3]
            member = Member(name, 1, "s", zone, "127.0.0.1", 30_000 + number)
            self.add(name, member, AgentCore)
        items = [Profile("p", TrafficKind.FEED), Service("s", "p", "127.0.0.9", 80)]
        self.submit(1, items + [Zone(zone) for zone in ZONES])
        self.traffic(1.0)

    def add(self, name, announcement, core):
        subscriber = Subscriber(
            Identity(name, 1), announcement, self.region.names, self.random
        )
        address = Address(announcement.host, announcement.port)
        self.network.add(name, core(subscriber), address, self.observe)

    def observe(self, node, effect, now):
        if isinstance(effect, SendUpstream):
            self.last_in_zone[node.core.member.zone] = now
            self.network.inject(node.name, UpstreamDatagram(effect.flow, b"echo"))
        assert not isinstance(effect, SendCaller) or effect.service == "s"

    def submit(self, number, items):
        submitter = Submitter(Change(number, "op", items, []), self.region.names)
        self.network.add(f"op{number}", submitter)
        return submitter

    def traffic(self, seconds):
        until = self.network.now + seconds
        port = 1
        while self.network.now < until:
            port = port % 90 + 1
            name = self.random.choice(self.entries)
            packet = Datagram("s", Address("10.0.0.1", port), b"ping")
            self.network.inject(name, packet)
            self.network.run(0.01)

    def find_stale(self, zone):
        stale = []
        for name in self.entries + self.agents:
            view = self.network.nodes[name].core.subscriber.view
            if not view.items[("Zone", zone)].item.out:
                stale.append(name)
        return stale


def lose_leader(site):
    site.region.crash(site.region.find_leader().name)


def isolate_follower(site):
    """Isolate a follower among the control hosts, which has subscribers."""
    leader = site.region.find_leader()
    name = next(n for n in site.region.names if n != leader.name)
    site.region.isolate(name)


def cut_off_entry(site):
    """Cut the links from all control hosts to one entry host."""
    for name in site.region.names:
        site.network.cut(name, "entry0")


FAULTS = {
    "leader lost": (lose_leader, "accepted"),
    "control host cut off": (isolate_follower, "before"),
    "entry host missed it": (cut_off_entry, "before"),
    "leader cut off": (
        lambda site: site.region.isolate(site.region.find_leader().name),
        "before",
    ),
}


class ZoneTest(TestCase):
    def run_case(self, seed, faults):
        site = SimulatedSite(seed)
        self.assertEqual(site.find_stale("b"), site.entries + site.agents)
        for fault, moment in faults:
            if moment == "before":
                fault(site)
        submitter = site.submit(2, [Zone("b", True)])
        while submitter.accepted_at is None and site.network.now < 60:
            site.traffic(0.05)
        self.assertIsNotNone(submitter.accepted_at, "the change is accepted")
        for fault, moment in faults:
            if moment == "accepted":
                fault(site)
        site.traffic(submitter.accepted_at + BOUND_S - site.network.now)
        self.assertEqual(site.find_stale("b"), [], "in force everywhere")
        site.last_in_zone.pop("b", None)
        site.traffic(2.0)
        self.assertNotIn("b", site.last_in_zone, "no packet in the zone")

    def test_zone_out_takes_effect_within_seconds(self):
        table = [[name] for name in FAULTS]
        table += [
            ["leader lost", "control host cut off"],
            ["leader lost", "entry host missed it"],
            ["control host cut off", "entry host missed it"],
            ["leader cut off", "entry host missed it"],
        ]
        for names in table:
            for seed in (1, 2):
                with self.subTest(faults=names, seed=seed):
                    self.run_case(seed, [FAULTS[name] for name in names])
