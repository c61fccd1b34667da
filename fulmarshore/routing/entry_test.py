"""Checks of messages at entry hosts, hints, and the fast path of packets."""

from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.core.codec import BIN_HEADERS, encode
from fulmarshore.core.hashing import hash_flow
from fulmarshore.core.records import (
    Address,
    Answer,
    Datagram,
    Delta,
    DeltaRequest,
    EndStream,
    EntryHost,
    Forward,
    Identity,
    LinkMessage,
    Member,
    PeerMessage,
    Phase,
    Profile,
    Protocol,
    Reason,
    Refusal,
    SendCaller,
    Service,
    Stop,
    StopAccepting,
    Stopped,
    StreamEnded,
    StreamOpened,
    Tick,
    TrafficKind,
    Versioned,
    Zone,
)
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.entry import ROTATION_INTERVAL_S, STOP_LINGER_S, EntryCore
from fulmarshore.routing.eviction import WAIT_TIMEOUT_S
from fulmarshore.routing.flows import Flow
from fulmarshore.standins.control import list_renewals

VERSION = 5
AGENT = Address("127.0.0.1", 7001)
CALLER = Address("10.0.0.1", 4000)
UNKNOWN_SENDER = Address("10.9.9.9", 9)
FLOW = hash_flow("s", *CALLER)
ITEMS = [
    Profile("p", TrafficKind.FEED),
    Service("s", "p", "127.0.0.9", 80),
    Service("other", "p", "127.0.0.9", 81),
    Member("m", 2, "s", "a", *AGENT),
    EntryHost("e", 1, "a", "127.0.0.1", 7000),
]


def make_view(version, items):
    return Delta(0, version, [Versioned(version, item) for item in items], [])


def make_core(max_hints=8):
    host = EntryHost("e", 1, "a", "127.0.0.1", 7000)
    subscriber = Subscriber(Identity("e", 1), host, ["c"], Random(1))
    core = EntryCore(subscriber, max_hints)
    for event in (*list_renewals("c"), LinkMessage("c", make_view(VERSION, ITEMS))):
        core.handle(event, 0.0)
    return core


def make_agent():
    member = Member("m", 2, "s", "a", *AGENT)
    subscriber = Subscriber(Identity("m", 2), member, ["c"], Random(1))
    core = AgentCore(subscriber)
    for event in (*list_renewals("c"), LinkMessage("c", make_view(VERSION, ITEMS))):
        core.handle(event, 0.0)
    return core


def make_answer(
    service="s", owner="m", incarnation=2, version=VERSION, flow=FLOW, caller=CALLER
):
    return Answer(service, owner, incarnation, version, flow, *caller, b"answer")


HOSTS = st.sampled_from(["10.0.0.1", "::1", "example.org", "", "127.0.0.1", "a\x00b"])
PORTS = st.sampled_from([0, 1, 4000, 65_535, 65_536, -1, 1 << 62])
INCARNATIONS = st.sampled_from([0, 1, 2, 3, 1 << 62])
VERSIONS = st.sampled_from([0, VERSION - 1, VERSION, VERSION + 1, 1 << 62])
NAMES = st.sampled_from(["s", "other", "m", "e", "", "nobody"])
FLOWS = st.one_of(st.just(FLOW), st.binary(max_size=20))
HEAD = (NAMES, NAMES, INCARNATIONS, VERSIONS, FLOWS)
ITEM = st.one_of(
    st.builds(Member, NAMES, INCARNATIONS, NAMES, NAMES, HOSTS, PORTS),
    st.builds(EntryHost, NAMES, INCARNATIONS, NAMES, HOSTS, PORTS),
    st.builds(Zone, NAMES, st.booleans()),
    st.builds(Service, NAMES, st.just("p"), HOSTS, PORTS),
)
MESSAGES = st.one_of(
    st.builds(Answer, *HEAD, HOSTS, PORTS, st.binary(max_size=9)),
    st.builds(Refusal, *HEAD, HOSTS, PORTS, st.sampled_from(Reason)),
    st.builds(
        Forward,
        *HEAD,
        st.integers(0, 9),
        HOSTS,
        PORTS,
        NAMES,
        st.integers(0, 20),
        VERSIONS,
        st.binary(max_size=9),
    ),
    st.builds(DeltaRequest, st.builds(Identity, NAMES, INCARNATIONS), VERSIONS),
    st.builds(
        Delta,
        VERSIONS,
        VERSIONS,
        st.lists(st.builds(Versioned, VERSIONS, ITEM), max_size=3),
        st.just([]),
    ),
)
SOURCES = st.sampled_from([AGENT, UNKNOWN_SENDER, Address("127.0.0.1", 7000)])


class EntryTest(TestCase):
    def test_answers_and_refusals_that_are_dropped(self):
        crossed = Address("10.0.0.2", 4000)
        table = [
            (make_answer(), AGENT, None),
            (make_answer(service="none"), AGENT, Reason.WRONG_SERVICE),
            (make_answer(service="other"), AGENT, Reason.WRONG_INCARNATION),
            (make_answer(owner="x"), AGENT, Reason.WRONG_INCARNATION),
            (make_answer(incarnation=1), AGENT, Reason.WRONG_INCARNATION),
            (make_answer(), UNKNOWN_SENDER, Reason.WRONG_SOURCE),
            (make_answer(caller=crossed), AGENT, Reason.MALFORMED),
            (make_answer(flow=b"k" * 16), AGENT, Reason.MALFORMED),
            (make_answer(caller=("example.org", 80)), AGENT, Reason.MALFORMED),
        ]
        for is_known in (False, True):
            for answer, source, reason in table:
                with self.subTest(is_known=is_known, answer=answer, source=source):
                    core = make_core()
                    if is_known:
                        core.handle(Datagram("s", CALLER, b"x"), 1.0)
                        matched_caller = core.match_answer(answer, source)
                        self.assertEqual(matched_caller is not None, reason is None)
                    effects = core.handle(PeerMessage(source, answer), 1.0)
                    sent = [e for e in effects if isinstance(e, SendCaller)]
                    self.assertEqual(len(sent), reason is None)
                    self.assertEqual(core.counters[f"dropped_{reason}"], bool(reason))

    def test_deltas_of_unknown_senders_are_dropped(self):
        zone = make_view(VERSION + 1, [*ITEMS, Zone("a", True)])
        nowhere = Member("n", 1, "s", "a", "example.org", 1)
        table = [
            (UNKNOWN_SENDER, zone, VERSION),
            (AGENT, zone, VERSION + 1),
            (AGENT, make_view(VERSION + 1, [*ITEMS, nowhere]), VERSION),
        ]
        for make in (make_core, make_agent):
            for source, delta, version in table:
                with self.subTest(core=make.__name__, source=source):
                    core = make()
                    core.handle(PeerMessage(source, delta), 1.0)
                    self.assertEqual(core.table.version, version)
                    dropped = version == VERSION
                    self.assertEqual(core.counters["dropped_stranger"], dropped)

    @given(st.lists(st.tuples(SOURCES, MESSAGES), max_size=6))
    def test_messages_of_any_content_never_raise(self, messages):
        for core in (make_core(), make_agent()):
            for source, message in messages:
                for effect in core.handle(PeerMessage(source, message), 1.0):
                    if isinstance(effect, SendCaller):
                        self.assertIn(effect.destination.host, ("10.0.0.1", "::1"))
                core.handle(Tick(), 2.0)

    @given(st.integers(0, 2000), st.integers(0, 1))
    def test_fast_path_sends_what_the_full_path_sends(self, size, known):
        payload = bytes(size)
        core = make_core()
        for _ in range(known):
            core.handle(Datagram("s", CALLER, b"x"), 1.0)
        hint = core.routes["s"].find(CALLER)
        (send,) = core.handle(Datagram("s", CALLER, payload), 1.0)
        frame = hint.head + BIN_HEADERS[size] + payload
        self.assertEqual(frame, encode(send.message))
        self.assertEqual(hint.route.address, send.destination)
        self.assertEqual(hint.flow, send.message.flow)

    def test_fast_path_is_only_for_the_default_phase(self):
        core = make_core()
        quic = Service("s", "p", "127.0.0.9", 80, Protocol.QUIC)
        view = make_view(VERSION + 1, [quic, *ITEMS[:1], *ITEMS[2:]])
        core.handle(LinkMessage("c", view), 1.0)
        routes = core.routes["s"]
        table = [(0xC0, Phase.OPENING), (0x40, Phase.MIDDLE), (0xE0, Phase.MIDDLE)]
        for first, phase in table:
            with self.subTest(first=first):
                payload = bytes([first]) * 9
                (send,) = core.handle(Datagram("s", CALLER, payload), 1.0)
                self.assertEqual(send.message.phase, phase)
                is_fast = routes.has_default_phase(payload)
                self.assertEqual(is_fast, phase == Phase.MIDDLE)
                frame = routes.find(CALLER).head + BIN_HEADERS[9] + payload
                self.assertEqual(frame == encode(send.message), is_fast)

    def test_hints_are_bounded_and_those_of_idle_flows_are_dropped(self):
        core = make_core(max_hints=8)
        core.handle(Tick(), 0.0)
        for port in range(1, 101):
            core.handle(Datagram("s", Address("10.0.0.1", port), b"x"), 1.0)
            self.assertLessEqual(core.hint_count, 17)
        for step in (1, 2):
            core.handle(Tick(), step * ROTATION_INTERVAL_S)
        self.assertEqual(core.hint_count, 0)
        core.handle(Datagram("s", CALLER, b"x"), 1.0)
        gone = make_view(VERSION + 1, [ITEMS[0]])
        core.handle(LinkMessage("c", gone), 2.0)
        self.assertEqual(core.hint_count, 0)

    def test_hints_of_many_services_share_the_bound_of_the_host(self):
        core = make_core(max_hints=8)
        items = list(ITEMS)
        for number in range(6):
            items.append(Service(f"s{number}", "p", "127.0.0.9", 90 + number))
            items.append(Member(f"m{number}", 1, f"s{number}", "a", "127.0.0.1", 7100))
        core.handle(LinkMessage("c", make_view(VERSION + 1, items)), 0.0)
        for number in range(6):
            for port in range(1, 9):
                core.handle(Datagram(f"s{number}", Address("10.0.0.1", port), b"x"), 0)
        self.assertEqual(core.hint_count, 48)
        core.handle(Tick(), 0.0)
        self.assertLessEqual(core.hint_count, 12)
        self.assertGreater(core.hint_count, 0)

    def test_hint_follows_the_table(self):
        core = make_core()
        core.handle(Datagram("s", CALLER, b"x"), 1.0)
        moved = Member("m", 3, "s", "a", "127.0.0.1", 7009)
        table = [([*ITEMS[:3], moved], 3, 7009), (ITEMS[:3], None, None)]
        for number, (items, incarnation, port) in enumerate(table, start=1):
            with self.subTest(incarnation=incarnation):
                view = make_view(VERSION + number, items)
                core.handle(LinkMessage("c", view), 2.0)
                hint = core.routes["s"].find(CALLER)
                route = hint.route if hint else None
                found = route and (route.member.incarnation, route.address.port)
                self.assertEqual(found, (incarnation, port) if port else None)

    def test_agent_takes_only_its_own_packets_on_the_fast_path(self):
        core = make_agent()
        core.flows[FLOW] = Flow(FLOW, CALLER, "e", None, 0, 0.0)
        table = [
            (("s", "m", 2, VERSION, FLOW), True),
            (("other", "m", 2, VERSION, FLOW), False),
            (("s", "e", 2, VERSION, FLOW), False),
            (("s", "m", 1, VERSION, FLOW), False),
            (("s", "m", 2, VERSION - 1, FLOW), False),
            (("s", "m", 2, VERSION, b"k" * 16), False),
        ]
        for head, is_taken in table:
            with self.subTest(head=head):
                packet = Forward(*head, 0, *CALLER, "e", 0, 0, b"x")
                flow = core.prepare_delivery(packet, 1.0)
                self.assertIs(flow, core.flows[FLOW] if is_taken else None)

    def test_stream_without_packets_is_not_idle(self):
        # An agent opens nothing while an evicted one may not know of its eviction.
        begin = WAIT_TIMEOUT_S
        later = begin + 10 * ITEMS[0].idle_timeout
        for is_stream in (False, True):
            with self.subTest(is_stream=is_stream):
                core = make_agent()
                core.handle(Tick(), begin)
                packet = Forward("s", "m", 2, VERSION, FLOW, 1, *CALLER, "e", 0, 0, b"")
                core.handle(PeerMessage(AGENT, packet), begin)
                self.assertIn(FLOW, core.flows)
                if is_stream:
                    core.handle(StreamOpened("s", FLOW, Identity("m", 2)), begin)
                core.handle(Tick(), later)
                self.assertEqual(FLOW in core.flows, is_stream)
                core.handle(StreamEnded(FLOW), later)
                self.assertEqual((core.flows, core.streams), ({}, set()))

    def test_stream_ends_with_its_owner_and_a_stop_waits_for_it(self):
        core = make_core()
        core.handle(StreamOpened("s", FLOW, Identity("m", 2)), 0.0)
        self.assertIn(StopAccepting(), core.handle(Stop(), 0.0))
        self.assertEqual(core.handle(Tick(), STOP_LINGER_S), [])
        gone = make_view(VERSION + 1, ITEMS[:3])
        effects = core.handle(LinkMessage("c", gone), 2.0)
        self.assertIn(EndStream(FLOW), effects)
        core.handle(StreamEnded(FLOW), 2.0)
        self.assertEqual(core.handle(Tick(), STOP_LINGER_S), [Stopped()])
