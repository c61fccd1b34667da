from pathlib import Path
from unittest import TestCase

from fulmarshore.core.records import (
    Address,
    CloseUpstream,
    Datagram,
    Forward,
    PeerMessage,
    Refusal,
    SendPeer,
    SendUpstream,
    Tick,
)
from fulmarshore.standins.flowlines import render_flow
from fulmarshore.timeline.flows import FlowTracer

GOLDEN = Path(__file__).resolve().parents[1] / "golden" / "one-flow.txt"
AT = Address("127.0.0.1", 1)
KEY = b"k" * 16


def make_packet(target="m0", assignment=0, flow=KEY):
    return Forward("s", target, 1, 1, flow, 0, "10.0.0.1", 9, "e0", 0, assignment, b"x")


class FlowTracerTest(TestCase):
    maxDiff = None

    def test_events_of_one_flow_match_the_golden_file(self):
        hint = "run `make golden` if the change is meant, and read the diff"
        self.assertEqual(render_flow(), GOLDEN.read_text(), hint)

    def test_each_message_shows_its_step(self):
        packet = PeerMessage(AT, make_packet())
        assigned = SendPeer(AT, make_packet("m1", 4))
        table = [
            (Datagram("s", AT, b"x"), SendPeer(AT, make_packet()), "flow_forwarded"),
            (packet, SendPeer(AT, make_packet("m1")), "flow_passed_on"),
            (packet, assigned, "flow_assigned"),
            (Tick(), assigned, "flow_assigned"),
            (packet, SendUpstream(KEY, b"x"), "flow_opened"),
            (Tick(), CloseUpstream(KEY), "flow_ended"),
        ]
        for event, effect, kind in table:
            with self.subTest(kind=kind, event=type(event).__name__):
                events = FlowTracer().observe(event, [effect])
                self.assertEqual(
                    [(t.kind, t.flow) for t in events], [(kind, KEY.hex())]
                )

    def test_flow_of_a_waiting_packet_is_reported_as_opened(self):
        table = [
            ("waiting, then delivered", KEY, ["flow_opened"]),
            ("another flow", b"o" * 16, []),
        ]
        for title, flow, kinds in table:
            with self.subTest(title):
                tracer = FlowTracer()
                self.assertEqual(tracer.observe(PeerMessage(AT, make_packet()), []), [])
                for expected in (kinds, []):
                    events = tracer.observe(Tick(), [SendUpstream(flow, b"x")])
                    self.assertEqual([event.kind for event in events], expected)

    def test_step_is_reported_once_and_stored_flows_are_bounded(self):
        tracer = FlowTracer(max_flows=4)
        event = PeerMessage(AT, make_packet())
        effects = [SendUpstream(KEY, b"x")]
        self.assertEqual(len(tracer.observe(event, effects)), 1)
        self.assertEqual(tracer.observe(event, effects), [])
        for number in range(100):
            flow = number.to_bytes(16, "big")
            refusal = Refusal("s", "m0", 1, 1, flow, "10.0.0.1", 9, "full")
            tracer.observe(PeerMessage(AT, refusal), [])
        self.assertEqual(len(tracer._last_events), 4)
