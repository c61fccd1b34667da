"""A batch goes out as the core alone would send it, packet by packet."""

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.core.codec import encode
from fulmarshore.core.hashing import hash_flow
from fulmarshore.core.records import (
    Address,
    Answer,
    CloseUpstream,
    Datagram,
    Forward,
    LinkMessage,
    PeerMessage,
    Protocol,
    SendCaller,
    SendPeer,
    SendUpstream,
    Service,
    UpstreamDatagram,
)
from fulmarshore.daemons.agent import AgentDaemon, AgentSettings
from fulmarshore.daemons.entry import EntryDaemon, EntrySettings, ServiceSocket
from fulmarshore.routing.entry_test import (
    AGENT,
    ITEMS,
    UNKNOWN_SENDER,
    VERSION,
    make_agent,
    make_core,
    make_view,
)
from fulmarshore.routing.flows import Flow

NOWHERE = Address("127.0.0.1", 1)
V6_SOURCES = [("2001:db8::1", 7, 0, 0), ("2001:db8::1", 7, 5, 0), ("::1", 8, 0, 0)]
CALLERS = [Address("10.0.0.1", port) for port in range(1, 20)]
SIZES = st.sampled_from([0, 1, 9, 255, 256, 2047, 2048, 5000])
FIRST = st.sampled_from([0x00, 0x40, 0xC0, 0xE0])
PAYLOADS = st.builds(lambda first, size: bytes([first] * size), FIRST, SIZES)
PACKETS = st.lists(st.tuples(PAYLOADS, st.sampled_from(CALLERS)), max_size=12)
PROTOCOLS = st.sampled_from([Protocol.OPAQUE, Protocol.QUIC])


class Sent:
    """Records what a socket is given, in order."""

    def __init__(self):
        self.sent = []

    def send(self, payload, destination=None):
        frame = payload if isinstance(payload, bytes) else encode(payload)
        self.sent.append((frame, destination))

    send_now = send_now_to = send

    def send_all(self, batch):
        self.sent.extend(batch)

    def close_unknown_channels(self, is_known):
        pass


def make_entry(protocol, max_hints):
    core = make_core(max_hints)
    service = Service("s", "p", "127.0.0.9", 80, protocol)
    view = make_view(VERSION + 1, [ITEMS[0], service, *ITEMS[2:]])
    core.handle(LinkMessage("c", view), 0.0)
    settings = EntrySettings(name="e", zone="a", controls=(NOWHERE,), data=NOWHERE)
    daemon = EntryDaemon(settings)
    daemon.core = core
    daemon._version = core.table.version
    daemon._data = Sent()
    held = ServiceSocket(service, Sent())
    daemon._sockets = {"s": held}
    return daemon, held


def make_agent_daemon():
    settings = AgentSettings(
        name="m",
        zone="a",
        controls=(NOWHERE,),
        data=NOWHERE,
        service="s",
        upstream=NOWHERE,
    )
    daemon = AgentDaemon(settings)
    daemon.core = make_agent()
    daemon._data = Sent()
    return daemon


def make_flow(caller):
    key = hash_flow("s", *caller)
    return Flow(key, caller, "e", Address("127.0.0.1", 7000), 0, 0.0)


class BatchTest(TestCase):
    @given(PROTOCOLS, st.sampled_from([2, 100]), PACKETS, PACKETS)
    def test_callers_packets_equal_those_of_the_core(
        self, protocol, max_hints, first, second
    ):
        daemon, held = make_entry(protocol, max_hints)
        alone, _ = make_entry(protocol, max_hints)
        wanted = []
        for batch in (first, second):
            daemon._drain_callers(held, batch)
            for payload, source in batch:
                for effect in alone.core.handle(Datagram("s", source, payload), 1.0):
                    self.assertIsInstance(effect, SendPeer)
                    wanted.append((encode(effect.message), effect.destination))
        self.assertEqual(daemon._data.sent, wanted)
        forwarded = daemon.core.counters["forwarded"]
        self.assertEqual(forwarded, alone.core.counters["forwarded"])

    @given(st.lists(st.tuples(PAYLOADS, st.sampled_from(V6_SOURCES)), max_size=9))
    def test_callers_of_ipv6_take_the_short_way_too(self, batch):
        daemon, held = make_entry(Protocol.OPAQUE, 100)
        alone, _ = make_entry(Protocol.OPAQUE, 100)
        held.is_v6 = True
        daemon._drain_callers(held, batch)
        wanted = []
        for payload, source in batch:
            for effect in alone.core.handle(Datagram("s", source, payload), 1.0):
                wanted.append((encode(effect.message), effect.destination))
        self.assertEqual(daemon._data.sent, wanted)
        self.assertEqual(daemon.core.hint_count, alone.core.hint_count)

    @given(st.lists(st.sampled_from(range(8)), max_size=12))
    def test_answers_equal_those_of_the_core(self, kinds):
        daemon, held = make_entry(Protocol.OPAQUE, 100)
        alone, _ = make_entry(Protocol.OPAQUE, 100)
        known, unknown = CALLERS[0], CALLERS[1]
        messages = []
        for number, kind in enumerate(kinds):
            caller = unknown if kind == 1 else known
            flow = bytes(16) if kind == 2 else hash_flow("s", *caller)
            answer = Answer(
                "other" if kind == 3 else "s",
                "x" if kind == 4 else "m",
                1 if kind == 5 else 2,
                VERSION if kind == 6 else VERSION + 1,
                flow,
                *caller,
                bytes([number]),
            )
            messages.append((answer, UNKNOWN_SENDER if kind == 7 else AGENT))
        wanted = []
        for each in (daemon, alone):
            each.core.handle(Datagram("s", known, b"x"), 0.0)
        for message, source in messages:
            for effect in alone.core.handle(PeerMessage(source, message), 1.0):
                if isinstance(effect, SendCaller):
                    wanted.append((effect.payload, effect.destination))
        daemon._take_peers(messages, 1.0)
        self.assertEqual(held.socket.sent, wanted)
        self.assertEqual(+daemon.core.counters, +alone.core.counters)

    @given(st.lists(st.sampled_from(range(6)), max_size=12))
    def test_packets_at_an_agent_equal_those_of_the_core(self, kinds):
        daemon, alone = make_agent_daemon(), make_agent()
        sock = Sent()
        for caller in CALLERS[:2]:
            for core in (daemon.core, alone):
                flow = make_flow(caller)
                # One of them was handed over by its home.
                flow.assignment = caller.port - 1
                core.flows[flow.key] = flow
            daemon._upstreams[hash_flow("s", *caller)] = sock
        messages = []
        for number, kind in enumerate(kinds):
            caller = CALLERS[1] if kind == 1 else CALLERS[0]
            packet = Forward(
                "other" if kind == 2 else "s",
                "x" if kind == 3 else "m",
                1 if kind == 4 else 2,
                VERSION - 1 if kind == 5 else VERSION,
                hash_flow("s", *caller),
                0,
                *caller,
                "e",
                number % 3,
                0,
                bytes([number]),
            )
            messages.append((packet, AGENT))
        upstream, peers = [], []
        for message, source in messages:
            for effect in alone.handle(PeerMessage(source, message), 1.0):
                if isinstance(effect, SendUpstream):
                    upstream.append((effect.payload, None))
                if isinstance(effect, SendPeer):
                    peers.append((encode(effect.message), effect.destination))
        daemon._streams = NoStreams()
        daemon._take_peers(messages, 1.0)
        self.assertEqual(sock.sent, upstream)
        self.assertEqual(daemon._data.sent, peers)
        self.assertEqual(+daemon.core.counters, +alone.counters)
        ours, theirs = daemon.core.arbiter.extra_hops, alone.arbiter.extra_hops
        self.assertEqual(
            (ours.packets, ours.forwarded), (theirs.packets, theirs.forwarded)
        )

    def test_flow_that_gets_a_new_socket_sends_on_it(self):
        caller = CALLERS[0]
        key = hash_flow("s", *caller)
        head = ("s", "m", 2, VERSION, key, 0, *caller, "e", 0, 0)
        daemon = make_agent_daemon()
        daemon._streams = NoStreams()
        daemon.core.flows[key] = make_flow(caller)
        first, second = Closable(), Closable()
        table = [(first, b"a"), (first, b"b"), (second, b"c"), (second, b"d")]
        for sock, payload in table:
            if key not in daemon._upstreams:
                daemon._upstreams[key] = sock
            daemon._take_peers([(Forward(*head, payload), AGENT)], 1.0)
            if payload == b"b":
                daemon.carry_out(CloseUpstream(key))
        self.assertEqual(first.sent, [(b"a", None), (b"b", None)])
        self.assertEqual(second.sent, [(b"c", None), (b"d", None)])

    @given(st.lists(SIZES, max_size=12))
    def test_answers_of_an_upstream_equal_those_of_the_core(self, sizes):
        daemon, alone = make_agent_daemon(), make_agent()
        daemon._streams = NoStreams()
        key = hash_flow("s", *CALLERS[0])
        for core in (daemon.core, alone):
            core.flows[key] = make_flow(CALLERS[0])
        batch = [(bytes(size), NOWHERE) for size in sizes]
        wanted = []
        for payload, _ in batch:
            for effect in alone.handle(UpstreamDatagram(key, payload), 1.0):
                wanted.append((encode(effect.message), effect.destination))
        daemon._drain_upstream(key, batch)
        self.assertEqual(daemon._data.sent, wanted)
        self.assertEqual(+daemon.core.counters, +alone.counters)


class Closable(Sent):
    """Is closed without a socket."""

    def close(self):
        pass


class NoStreams:
    """Stands in for the streams of an agent that has none."""

    def end(self, flow):
        pass

    def decide(self, effect):
        return False
