"""Callers' datagrams and their answers, through the cores of all roles."""

from collections import Counter
from random import Random
from unittest import TestCase

from fulmarshore.core.records import (
    Address,
    Change,
    Datagram,
    Drain,
    EntryHost,
    Identity,
    LinkMessage,
    Member,
    Profile,
    Removed,
    SendCaller,
    SendUpstream,
    Service,
    Stop,
    TrafficKind,
    UpstreamDatagram,
    Zone,
)
from fulmarshore.membership.control import ControlCore
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.entry import EntryCore
from fulmarshore.standins.network import FakeNetwork, Faults

ZONES = ("a", "b", "c")


class EchoRegion:
    """One control host, some entry hosts and agents with echoing upstreams."""

    def __init__(self, seed, upstreams=4, entries=2, faults=None):
        self.network = FakeNetwork(seed, faults)
        self.random = Random(seed)
        self.owners = {}
        self.opened_twice = 0
        self.answers = Counter()
        self.network.add("control", ControlCore("control"))
        for number in range(entries):
            self.add_entry(f"entry{number}")
        for number in range(upstreams):
            self.add_agent(f"agent{number}", ZONES[number % len(ZONES)])
        self.number = 0
        items = [Profile("p", TrafficKind.FEED), Service("s", "p", "127.0.0.9", 80)]
        self.change(*items, *(Zone(zone) for zone in ZONES))
        self.network.run(1.0)

    def change(self, *items):
        self.number += 1
        change = Change(self.number, "test", list(items), [])
        self.network.inject("control", LinkMessage("test", change))

    def add_entry(self, name):
        address = Address("127.0.0.1", 20_000 + len(self.network.nodes))
        host = EntryHost(name, 1, "a", *address)
        subscriber = Subscriber(Identity(name, 1), host, ["control"], self.random)
        self.network.add(name, EntryCore(subscriber), address, self.observe_entry)

    def add_agent(self, name, zone):
        address = Address("127.0.0.1", 30_000 + len(self.network.nodes))
        member = Member(name, 1, "s", zone, *address)
        subscriber = Subscriber(Identity(name, 1), member, ["control"], self.random)
        self.network.add(name, AgentCore(subscriber), address, self.observe_agent)

    def observe_entry(self, node, effect, now):
        if isinstance(effect, SendCaller):
            self.answers[effect.destination.port] += 1

    def observe_agent(self, node, effect, now):
        if not isinstance(effect, SendUpstream):
            return
        owner = self.owners.setdefault(effect.flow, node.name)
        self.opened_twice += owner != node.name
        self.network.inject(node.name, UpstreamDatagram(effect.flow, b"echo"))

    def send(self, port):
        names = [name for name in self.network.nodes if name.startswith("entry")]
        name = self.random.choice([n for n in names if self.network.nodes[n].running])
        event = Datagram("s", Address("10.0.0.1", port), b"ping")
        self.network.inject(name, event)

    def send_all(self, ports, rounds=1):
        for _ in range(rounds):
            for port in ports:
                self.send(port)
                self.network.run(0.01)
            self.network.run(0.2)


class EndToEndTest(TestCase):
    def test_every_packet_is_answered_by_one_owner(self):
        region = EchoRegion(1)
        region.send_all(range(1, 101), rounds=3)
        self.assertEqual(region.opened_twice, 0)
        self.assertEqual(set(region.answers.values()), {3})
        held = Counter(region.owners.values())
        self.assertLessEqual(max(held.values()), 1.1 * 100 / 4)

    def test_duplicated_and_reordered_packets_open_once(self):
        region = EchoRegion(2, faults=Faults(duplication=0.3, max_delay=0.02))
        region.send_all(range(1, 61), rounds=3)
        self.assertEqual(region.opened_twice, 0)

    def test_entry_host_killed(self):
        region = EchoRegion(3)
        region.send_all(range(1, 41))
        region.network.stop("entry0")
        region.send_all(range(1, 41), rounds=2)
        self.assertEqual(region.opened_twice, 0)
        self.assertEqual(set(region.answers.values()), {3})

    def test_drained_upstream_keeps_its_flows_and_gets_no_new_ones(self):
        region = EchoRegion(4)
        region.send_all(range(1, 41))
        region.network.inject("agent1", Stop())
        region.network.run(1.0)
        region.send_all(range(1, 81), rounds=2)
        self.assertEqual(region.opened_twice, 0)
        late = [key for key in list(region.owners)[40:]]
        self.assertEqual(len(late), 40)
        self.assertNotIn("agent1", {region.owners[key] for key in late})

    def test_upstream_drained_by_an_operator_gets_flows_again_once_undrained(self):
        region = EchoRegion(6)
        region.change(Drain("agent1"))
        region.network.run(1.0)
        region.send_all(range(1, 41))
        self.assertNotIn("agent1", region.owners.values())
        region.number += 1
        change = Change(region.number, "test", [], [Removed(0, "Drain", "agent1")])
        region.network.inject("control", LinkMessage("test", change))
        region.network.run(1.0)
        region.send_all(range(41, 121))
        self.assertIn("agent1", region.owners.values())

    def test_zone_out_ends_its_flows_and_gets_nothing_more(self):
        region = EchoRegion(5)
        region.send_all(range(1, 41))
        region.change(Zone("b", True))
        region.network.run(1.0)
        agent = region.network.nodes["agent1"].core
        self.assertEqual(len(agent.flows), 0)
        delivered = agent.counters["delivered"]
        region.owners.clear()
        region.send_all(range(41, 101), rounds=2)
        self.assertEqual(agent.counters["delivered"], delivered)
        self.assertNotIn("agent1", region.owners.values())
