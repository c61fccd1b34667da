"""Tests of ends of flows, room for new ones and moves to new sockets."""

from fulmarshore.core.hashing import hash_flow
from fulmarshore.core.records import (
    CloseUpstream,
    Declined,
    LinkMessage,
    Protocol,
    Refusal,
    SendPeer,
    Service,
    Tick,
    UpstreamDatagram,
    Zone,
)
from fulmarshore.membership.view import change_view, make_delta
from fulmarshore.routing.agent_test import (
    VERSION,
    AgentCase,
    get_address,
    make_view,
)
from fulmarshore.routing.arbitration import ASSIGNMENT_BITS


class LifetimesTest(AgentCase):
    def open(self, core, now, port):
        flow = hash_flow("s", "10.0.0.3", port)
        packet = self.make_packet(flow, (9 << ASSIGNMENT_BITS) + port)
        return flow, self.send(core, packet, get_address("b"), now)

    def test_longest_idle_flows_make_room_and_active_ones_stay(self):
        core = self.start(connections=3)
        opened = [self.open(core, now, port)[0] for port, now in enumerate((2, 100))]
        active, _ = self.open(core, 110.0, 2)
        table = [
            ("no flow idle for the minimum", 140.0, [], True),
            ("one idle for the minimum", 200.0, opened[:1], False),
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

    def test_an_unanswered_quic_flow_moves_to_a_new_socket(self):
        table = [
            ("others are answered", Protocol.QUIC, True, True),
            ("no flow is answered", Protocol.QUIC, False, False),
            ("a protocol that may not survive it", Protocol.OPAQUE, True, False),
        ]
        for title, protocol, others, expected in table:
            with self.subTest(title):
                core = self.start()
                service = Service("s", "p", "127.0.0.9", 80, protocol)
                view = change_view(make_view(), 8, [service], [])
                core.handle(LinkMessage("x", make_delta(view, VERSION)), 2.0)
                unanswered, _ = self.open(core, 2.0, 1)
                other, _ = self.open(core, 2.0, 2)
                self.send(core, self.make_packet(unanswered, version=8), now=3.0)
                if others:
                    core.handle(UpstreamDatagram(other, b"y"), 5.9)
                packet = self.make_packet(unanswered, version=8)
                effects = self.send(core, packet, now=6.0)
                moved = [e for e in effects if isinstance(e, CloseUpstream)]
                self.assertEqual(moved == [CloseUpstream(unanswered)], expected)
                self.assertTrue(self.is_delivered(effects))
                self.assertFalse(self.send(core, packet, now=6.1)[:-1])

    def test_zone_out_refuses_each_flow_once_and_sends_nothing_more(self):
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
