"""One agent, message by message."""

from random import Random
from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.core.hashing import find_bucket, hash_flow
from fulmarshore.core.records import (
    Address,
    CloseUpstream,
    Declined,
    Delta,
    DeltaRequest,
    EntryHost,
    FlowCheck,
    FlowRecord,
    FlowRecords,
    Forward,
    Freshness,
    HeartbeatReply,
    Identity,
    Kind,
    LinkMessage,
    LoadReport,
    Member,
    OpenUpstream,
    OwnedFlow,
    PeerMessage,
    Profile,
    Protocol,
    Reason,
    Refusal,
    Released,
    SendPeer,
    SendUpstream,
    Service,
    Takeover,
    TakeoverReply,
    Tick,
    UpstreamDatagram,
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
    items = [Profile("p", Kind.FEED), Service("s", "p", "127.0.0.9", 80)]
    items += [make_member(name) for name in names]
    items += [Zone("z" + name) for name in names]
    items.append(EntryHost("entry", 1, "za", *ENTRY))
    return change_view(View(), version, items, [])


class AgentCase(TestCase):
    def start(self, name="a", connections=2000, names=NAMES):
        """Return an agent that has recovered nothing and has settled."""
        core = self.start_unsettled(name, connections, names)
        for peer in names:
            if peer == name:
                continue
            none = FlowRecords("s", name, 0, VERSION, peer, 0, 0, [])
            core.handle(PeerMessage(get_address(peer), none), 1.0)
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
        subscriber.lease_renewed = 1e9
        delta = make_delta(make_view(names), 0)
        core.handle(LinkMessage("x", delta), 0.0)
        return core

    def find_flow(self, core, home):
        """Return a flow whose bucket has a home."""
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


class AssignmentTest(AgentCase):
    def test_assignment_of_an_outdated_home_is_not_taken(self):
        core = self.start()
        flow = self.find_flow(core, "b")
        ask = Takeover("s", "c", 1, VERSION + 1, [find_bucket(flow)])
        self.send(core, ask, get_address("c"))
        for version, expected in ((VERSION, False), (VERSION + 1, True)):
            with self.subTest(version=version):
                packet = self.make_packet(flow, version << ASSIGNMENT_BITS)
                effects = self.send(core, packet, get_address("b"))
                self.assertEqual(self.is_delivered(effects), expected)
                passed = self.list_sent(effects, Forward)
                self.assertEqual([p.target for p in passed], ["c"] * (not expected))

    def test_declined_assignment_is_not_admitted_from_a_late_copy(self):
        core = self.start(connections=1)
        first, second = (self.find_flow(core, home) for home in ("b", "c"))
        base = VERSION << ASSIGNMENT_BITS
        self.send(core, self.make_packet(first, base + 1), get_address("b"))
        packet = self.make_packet(second, base + 5)
        effects = self.send(core, packet, get_address("c"))
        self.assertEqual(len(self.list_sent(effects, Declined)), 1)
        core.flows.clear()
        for number, expected in ((5, False), (4, False), (6, True)):
            with self.subTest(number=number):
                packet = self.make_packet(second, base + number)
                effects = self.send(core, packet, get_address("c"), 9.0)
                self.assertEqual(self.is_delivered(effects), expected)

    def test_late_release_is_told_apart(self):
        core = self.start()
        flow = self.find_flow(core, "a")
        owner = core.service.by_name["b"]
        old = core.arbiter.assign(flow, owner, VERSION, True, 2.0)
        new = core.arbiter.assign(flow, owner, VERSION, False, 2.0)
        table = [
            ("overtaken", Released("s", "b", 1, VERSION, flow, old), False),
            ("former self", Released("s", "b", 0, VERSION, flow, new), False),
            ("not the owner", Released("s", "c", 1, VERSION, flow, new), False),
            ("in order", Released("s", "b", 1, VERSION, flow, new), True),
        ]
        for title, released, expected in table:
            with self.subTest(title):
                self.send(core, released, get_address("b"))
                self.assertEqual(core.directory.find(flow) is None, expected)

    def test_every_member_is_tried_before_a_refusal(self):
        core = self.start(connections=0)
        flow = self.find_flow(core, "a")
        for peer in ("b", "c"):
            report = LoadReport("s", peer, 1, VERSION, 50, 50, 1, 0)
            self.send(core, report, get_address(peer))
        effects = self.send(core, self.make_packet(flow))
        asked = []
        while passed := self.list_sent(effects, Forward):
            asked.append(passed[0].target)
            declined = Declined(passed[0].target, 1, VERSION, 50, passed[0])
            effects = self.send(core, declined, get_address(passed[0].target))
        self.assertEqual(sorted(asked), ["b", "c"])
        refused = self.list_sent(effects, Refusal)
        self.assertEqual([refusal.reason for refusal in refused], [Reason.FULL])

    def test_assigned_flows_count_until_a_report_reflects_them(self):
        core = self.start()
        member = core.service.by_name["b"]
        flows = [hash_flow("s", "10.0.0.2", port) for port in range(3)]
        numbers = [core.arbiter.assign(f, member, VERSION, True, 2.0) for f in flows]
        table = [
            ("a report sent before", 1, 0, 1, 3),
            ("of a former self", 9, 0, 0, 3),
            ("one that saw two", 2, numbers[1], 1, 1),
            ("a late one", 1, 0, 1, 1),
            ("one that saw all", 3, numbers[2], 1, 0),
        ]
        flows_known = 0
        for title, number, seen, incarnation, expected in table:
            with self.subTest(title):
                flows_known = max(flows_known, 10 + number) if incarnation else 11
                report = LoadReport(
                    "s", "b", incarnation, 3, 10 + number, 20, number, seen
                )
                self.send(core, report, get_address("b"))
                load = core.arbiter.loads.find(member)
                self.assertEqual(len(load.expected), expected)
                self.assertEqual(load.flows, flows_known)

    def test_lost_release_is_found_by_a_check(self):
        core = self.start()
        held, gone = (self.find_flow(core, home) for home in ("b", "c"))
        self.send(core, self.make_packet(held, 9 << ASSIGNMENT_BITS))
        flows = [OwnedFlow(held, "a", 1, 4), OwnedFlow(gone, "a", 1, 5)]
        check = FlowCheck("s", "b", 1, VERSION, flows)
        effects = self.send(core, check, get_address("b"))
        released = self.list_sent(effects, Released)
        self.assertEqual([(r.flow, r.assignment) for r in released], [(gone, 5)])


class LifeTest(AgentCase):
    def open(self, core, now, port):
        flow = hash_flow("s", "10.0.0.3", port)
        packet = self.make_packet(flow, (9 << ASSIGNMENT_BITS) + port)
        return flow, self.send(core, packet, get_address("b"), now)

    def test_oldest_idle_flows_make_room_and_active_ones_stay(self):
        core = self.start(connections=3)
        opened = [self.open(core, now, port)[0] for port, now in enumerate((2, 100))]
        active, _ = self.open(core, 110.0, 2)
        table = [
            ("nothing idle beyond the floor", 140.0, [], True),
            ("one idle beyond the floor", 200.0, opened[:1], False),
        ]
        core.flows[active].last_active = 130.0
        for number, (title, now, ended, declined) in enumerate(table):
            with self.subTest(title):
                before = set(core.flows)
                _, effects = self.open(core, now, 10 + number)
                self.assertEqual(before - set(core.flows), set(ended))
                self.assertEqual(bool(self.list_sent(effects, Declined)), declined)
        self.assertIn(active, core.flows)

    def test_idle_flows_end_and_used_ones_stay(self):
        core = self.start()
        idle, _ = self.open(core, 2.0, 1)
        used, _ = self.open(core, 2.0, 2)
        self.open(core, 200.0, 2)
        core.handle(Tick(), 310.0)
        self.assertEqual(set(core.flows), {used})
        self.assertEqual(core.counters["flows_ended_idle"], 1)
        core.handle(Tick(), 620.0)
        self.assertEqual(core.flows, {})

    def test_a_silent_quic_flow_moves_to_a_new_socket(self):
        table = [
            ("others are answered", Protocol.QUIC, True, True),
            ("nobody is answered", Protocol.QUIC, False, False),
            ("not known to survive it", Protocol.OPAQUE, True, False),
        ]
        for title, protocol, others, expected in table:
            with self.subTest(title):
                core = self.start()
                service = Service("s", "p", "127.0.0.9", 80, protocol)
                view = change_view(make_view(), 8, [service], [])
                core.handle(LinkMessage("x", make_delta(view, VERSION)), 2.0)
                silent, _ = self.open(core, 2.0, 1)
                other, _ = self.open(core, 2.0, 2)
                self.send(core, self.make_packet(silent, version=8), now=3.0)
                if others:
                    core.handle(UpstreamDatagram(other, b"y"), 5.9)
                packet = self.make_packet(silent, version=8)
                effects = self.send(core, packet, now=6.0)
                moved = [e for e in effects if isinstance(e, CloseUpstream)]
                self.assertEqual(moved == [CloseUpstream(silent)], expected)
                self.assertTrue(self.is_delivered(effects))
                self.assertFalse(self.send(core, packet, now=6.1)[:-1])

    def test_zone_out_ends_flows_with_a_refusal_and_then_silence(self):
        core = self.start()
        flow, _ = self.open(core, 2.0, 1)
        view = change_view(make_view(), 8, [Zone("za", True)], [])
        delta = make_delta(view, VERSION)
        effects = core.handle(LinkMessage("x", delta), 3.0)
        refused = self.list_sent(effects, Refusal)
        self.assertEqual([(r.flow, r.reason) for r in refused], [(flow, "zone_out")])
        effects = self.send(core, self.make_packet(flow), now=3.1)
        sent = [type(effect.message).__name__ for effect in effects]
        self.assertEqual(sent, ["Delta"])
        ticks = [core.handle(Tick(), now) for now in (3.2, 4.0, 6.0)]
        peers = [e for part in ticks for e in part if isinstance(e, SendPeer)]
        self.assertEqual(peers, [])


class UnsettledTest(AgentCase):
    def test_packets_wait_for_the_take_over(self):
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

    def test_zone_out_and_back_unseen_unsettles(self):
        core = self.start()
        view = change_view(make_view(), 8, [Zone("za")], [])
        core.handle(LinkMessage("x", make_delta(view, VERSION)), 2.0)
        self.assertEqual(len(core.homes.settled), 0)
        self.assertTrue(core.homes.awaited)

    def test_an_older_view_gets_no_promise(self):
        core = self.start()
        ask = Takeover("s", "b", 1, VERSION - 1, list(core.homes.settled))
        effects = self.send(core, ask, get_address("b"))
        self.assertEqual(self.list_sent(effects, TakeoverReply), [])
        self.assertTrue(core.homes.settled)

    def test_without_a_lease_nothing_is_arbitrated(self):
        core = self.start()
        flow = self.find_flow(core, "a")
        core.subscriber.lease_renewed = 0.0
        core.handle(Tick(), 10.0)
        self.assertEqual(self.send(core, self.make_packet(flow), now=10.0), [])
        self.assertEqual(core.counters["arbitration_suspended"], 1)

    def test_a_successor_waits_for_the_flows_of_its_former_self(self):
        core = self.start_unsettled()
        flow = self.find_flow(core, "b")
        packet = self.make_packet(flow, 1 << ASSIGNMENT_BITS)
        self.assertEqual(self.send(core, packet, now=0.1), [])
        ask = Takeover("s", "b", 1, VERSION, [find_bucket(flow)])
        self.assertEqual(self.send(core, ask, get_address("b"), 0.1), [])
        record = FlowRecord(flow, "10.0.0.1", 7, "entry", 4000, 1)
        kept = FlowRecords("s", "a", 0, VERSION, "c", 0, 1, [record])
        none = FlowRecords("s", "a", 0, VERSION, "b", 0, 0, [])
        self.send(core, kept, get_address("c"), 0.2)
        effects = self.send(core, none, get_address("b"), 0.2)
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

    def test_only_peers_of_the_table_are_told_the_view(self):
        table = [
            ("agent", get_address("b"), True),
            ("entry host", ENTRY, True),
            ("other port of an agent's host", Address("127.0.0.1", 9), False),
            ("stranger", Address("10.9.9.9", 5), False),
        ]
        for title, source, is_told in table:
            with self.subTest(title):
                core = self.start()
                request = DeltaRequest(Identity("b", 1), 0)
                effects = self.send(core, request, source)
                self.assertEqual(len(self.list_sent(effects, Delta)), is_told)
                self.assertEqual(core.counters["dropped_stranger"], not is_told)
