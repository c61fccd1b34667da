"""Tests of a single agent: its reactions to single messages."""

from random import Random
from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.core.hashing import find_bucket, hash_flow
from fulmarshore.core.records import (
    Address,
    Delta,
    DeltaRequest,
    EntryHost,
    FlowRecord,
    FlowRecords,
    Forward,
    Freshness,
    HeartbeatReply,
    Identity,
    LinkMessage,
    LoadReport,
    Member,
    OpenUpstream,
    OwnedFlow,
    PeerMessage,
    Profile,
    SendPeer,
    SendUpstream,
    Service,
    Takeover,
    TakeoverReply,
    Tick,
    TrafficKind,
    Zone,
)
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import View, change_view, make_delta
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.arbitration import ASSIGNMENT_BITS

NAMES = ("a", "b", "c")
ENTRY = Address("127.0.0.1", 5)
VERSION = 3


def get_address(name):
    return Address("127.0.0.1", 100 + ord(name))


def make_member(name, connections=2000, incarnation=1):
    address = get_address(name)
    return Member(name, incarnation, "s", "z" + name, *address, 3, connections)


def make_view(names=NAMES, version=VERSION):
    items = [Profile("p", TrafficKind.FEED), Service("s", "p", "127.0.0.9", 80)]
    items += [make_member(name) for name in names]
    items += [Zone("z" + name) for name in names]
    items.append(EntryHost("entry", 1, "za", *ENTRY))
    return change_view(View(), version, items, [])


class AgentCase(TestCase):
    def start(self, name="a", connections=2000, names=NAMES):
        """Return an agent without flows that has settled its buckets."""
        core = self.start_unsettled(name, connections, names)
        for peer in names:
            if peer == name:
                continue
            empty = FlowRecords("s", name, 0, VERSION, peer, 0, 0, [])
            core.handle(PeerMessage(get_address(peer), empty), 1.0)
        for peer in names:
            buckets = list(core.homes.awaited)
            reply = TakeoverReply("s", peer, 1, VERSION, buckets, [], [])
            core.handle(PeerMessage(get_address(peer), reply), 1.0)
        assert core.homes.settled
        return core

    def start_unsettled(self, name="a", connections=2000, names=NAMES):
        member = make_member(name, connections)
        subscriber = Subscriber(Identity(name, 1), member, ["x"], Random(1))
        core = AgentCore(subscriber)
        for stamp in (1, 2):
            reply = HeartbeatReply("x", Freshness(1, stamp), VERSION, True)
            core.handle(LinkMessage("x", reply), 0.0)
        subscriber.lease_renewed_at = 1e9
        delta = make_delta(make_view(names), 0)
        core.handle(LinkMessage("x", delta), 0.0)
        return core

    def find_flow(self, core, home):
        """Return a flow whose bucket has the given home."""
        for port in range(1000):
            flow = hash_flow("s", "10.0.0.1", port)
            if core.service.get_home(find_bucket(flow)).name == home:
                return flow
        raise AssertionError(home)

    def make_packet(self, flow, assignment=0, target="a", version=VERSION):
        head = ("s", target, 1, version, flow, 0, "10.0.0.1", 7)
        return Forward(*head, "entry", 0, assignment, b"x")

    def send(self, core, message, source=ENTRY, now=2.0):
        return core.handle(PeerMessage(source, message), now)

    def list_sent(self, effects, kind):
        found = []
        for effect in effects:
            if isinstance(effect, SendPeer) and isinstance(effect.message, kind):
                found.append(effect.message)
        return found

    def is_delivered(self, effects):
        return any(isinstance(effect, SendUpstream) for effect in effects)


class UnsettledTest(AgentCase):
    def test_packets_are_held_until_the_bucket_is_taken_over(self):
        core = self.start()
        flow = self.find_flow(core, "b")
        core.handle(LinkMessage("x", make_delta(make_view("ac", 9), 0)), 2.0)
        flow = next(
            hash_flow("s", "10.0.0.1", port)
            for port in range(1000)
            if find_bucket(hash_flow("s", "10.0.0.1", port)) in core.homes.awaited
        )
        packet = self.make_packet(flow, version=9)
        self.assertEqual(self.send(core, packet), [])
        owned = OwnedFlow(flow, "c", 1, 7)
        buckets = list(core.homes.awaited)
        reply = TakeoverReply("s", "c", 1, 9, buckets, [owned], [])
        effects = self.send(core, reply, get_address("c"))
        passed = self.list_sent(effects, Forward)
        self.assertEqual([(p.flow, p.target) for p in passed], [(flow, "c")])

    def test_a_newer_zone_version_unsettles_all_buckets(self):
        # The zone may have been out and back in between the two versions.
        core = self.start()
        view = change_view(make_view(), 8, [Zone("za")], [])
        core.handle(LinkMessage("x", make_delta(view, VERSION)), 2.0)
        self.assertEqual(len(core.homes.settled), 0)
        self.assertTrue(core.homes.awaited)

    def test_a_takeover_request_under_an_older_view_gets_no_reply(self):
        core = self.start()
        takeover = Takeover("s", "b", 1, VERSION - 1, list(core.homes.settled))
        effects = self.send(core, takeover, get_address("b"))
        self.assertEqual(self.list_sent(effects, TakeoverReply), [])
        self.assertTrue(core.homes.settled)

    def test_arbitration_is_suspended_without_a_lease(self):
        core = self.start()
        flow = self.find_flow(core, "a")
        core.subscriber.lease_renewed_at = 0.0
        core.handle(Tick(), 10.0)
        self.assertEqual(self.send(core, self.make_packet(flow), now=10.0), [])
        self.assertEqual(core.counters["arbitration_suspended"], 1)

    def test_a_restarted_agent_holds_packets_until_its_flows_are_recovered(self):
        core = self.start_unsettled()
        flow = self.find_flow(core, "b")
        packet = self.make_packet(flow, 1 << ASSIGNMENT_BITS)
        self.assertEqual(self.send(core, packet, now=0.1), [])
        takeover = Takeover("s", "b", 1, VERSION, [find_bucket(flow)])
        self.assertEqual(self.send(core, takeover, get_address("b"), 0.1), [])
        record = FlowRecord(flow, "10.0.0.1", 7, "entry", 4000, 1)
        kept = FlowRecords("s", "a", 0, VERSION, "c", 0, 1, [record])
        empty = FlowRecords("s", "a", 0, VERSION, "b", 0, 0, [])
        self.send(core, kept, get_address("c"), 0.2)
        effects = self.send(core, empty, get_address("b"), 0.2)
        self.assertIn(OpenUpstream(flow, 4000), effects)
        self.assertTrue(self.is_delivered(effects))

    def test_messages_of_other_services_are_dropped(self):
        core = self.start()
        flow = self.find_flow(core, "a")
        bucket = find_bucket(flow)
        table = [
            Takeover("other", "b", 1, 9, [bucket]),
            LoadReport("other", "b", 1, 9, 1, 1, 9, 0),
            replace(self.make_packet(flow), service="other"),
        ]
        for message in table:
            with self.subTest(message=message):
                self.send(core, message, get_address("b"))
        self.assertEqual(core.counters["dropped_wrong_service"], len(table))
        self.assertIn(bucket, core.homes.settled)

    def test_only_senders_in_the_table_get_the_view(self):
        table = [
            ("agent", get_address("b"), True),
            ("entry host", ENTRY, True),
            ("other port of an agent's host", Address("127.0.0.1", 9), False),
            ("unknown sender", Address("10.9.9.9", 5), False),
        ]
        for title, source, is_answered in table:
            with self.subTest(title):
                core = self.start()
                request = DeltaRequest(Identity("b", 1), 0)
                effects = self.send(core, request, source)
                self.assertEqual(len(self.list_sent(effects, Delta)), is_answered)
                self.assertEqual(core.counters["dropped_stranger"], not is_answered)
