"""When an agent counts a request of a flow as in progress."""

import socket
import unittest
from dataclasses import dataclass

from fulmarshore.direct.agentflows import (
    BOTH_ENDED,
    ENDED_LINGER_S,
    OPENING_TIMEOUT_S,
    AgentFlows,
)
from fulmarshore.direct.packets import ACK, parse_packet

KEY = (
    socket.inet_aton("100.64.0.7")
    + b"\x9c\x41"
    + socket.inet_aton("198.18.0.1")
    + b"\x01\xbb"
)
LAST = 2**32 - 1


def make_data(sequence, data=b"request"):
    """Return a caller's packet with data at a sequence position."""
    head = KEY + len(data).to_bytes(2) + bytes(4) + bytes([ACK]) + bytes(7)
    return parse_packet(head + sequence.to_bytes(4) + bytes(4) + data)


@dataclass
class Case:
    """Steps of one flow, and whether a request is in progress after them."""

    name: str
    steps: list
    busy: int


CASES = [
    Case("opening", ["admit"], 1),
    Case("opening that no request follows", ["admit", ("wait", OPENING_TIMEOUT_S)], 0),
    Case("request", ["admit", 100, ("wait", OPENING_TIMEOUT_S)], 1),
    Case("answered", ["admit", 100, "answer"], 0),
    Case("request of two packets", ["admit", 100, 107, "answer"], 0),
    Case("next request", ["admit", 100, "answer", 107], 1),
    Case("packet repeated after the answer", ["admit", 100, "answer", 100], 0),
    Case("older packet after the answer", ["admit", 107, "answer", 100], 0),
    Case("packet repeated before the answer", ["admit", 100, 100], 1),
    Case("positions wrap around", ["admit", LAST - 3, "answer", 3], 1),
    Case("repeated where positions wrap", ["admit", LAST - 3, "answer", LAST - 3], 0),
    Case("agent restarted during a request", ["unconfirmed", 100], 1),
    Case("discarded", ["admit", 100, "discard"], 0),
    Case(
        "discarded as an opening", ["admit", "discard", ("wait", OPENING_TIMEOUT_S)], 0
    ),
    Case("admitted again", ["admit", "discard", "admit", 100, "answer"], 0),
    Case("upstream has ended", ["admit", 100, "pop_all"], 0),
    Case("swept", ["admit", 100, ("wait", ENDED_LINGER_S + 0.1), "sweep"], 0),
]


class AgentFlowsTest(unittest.TestCase):
    def test_requests_in_progress(self):
        for case in CASES:
            with self.subTest(case.name):
                flows = AgentFlows()
                now = 1.0
                for step in case.steps:
                    match step:
                        case "admit":
                            flows.admit(KEY, now)
                        case "unconfirmed":
                            flows.add_unconfirmed(KEY, now)
                        case "answer":
                            flows.record_response(flows.get(KEY), now)
                        case "discard":
                            flows.discard(KEY, now)
                        case "pop_all":
                            flows.pop_all()
                        case "sweep":
                            flows.sweep(15.0, now)
                        case ("wait", seconds):
                            now += seconds
                        case sequence:
                            packet = make_data(sequence)
                            flows.record_caller_data(flows.get(KEY), packet, now)
                    flows.expire_openings(now)
                    self.assertGreaterEqual(flows.busy, 0)
                self.assertEqual(flows.busy, case.busy)
                work = flows.work
                modelled = {*work._running, *work._waiting, *work._expected}
                self.assertEqual(len(modelled), case.busy)

    def test_request_duration_is_measured_once(self):
        flows = AgentFlows()
        flows.admit(KEY, 1.0)
        flow = flows.get(KEY)
        flows.record_caller_data(flow, make_data(100), 1.01)
        self.assertAlmostEqual(flows.record_response(flow, 1.05), 0.05)
        self.assertIsNone(flows.record_response(flow, 1.06))

    def test_only_a_request_after_an_answered_one_is_a_later_one(self):
        """A flow that is used once is not registered as kept."""
        flows = AgentFlows()
        flow = flows.add_open(KEY, 1.0)
        found = [
            flows.record_caller_data(flow, make_data(at), 1.0) for at in (100, 107)
        ]
        flows.record_response(flow, 1.1)
        found += [
            flows.record_caller_data(flow, make_data(at), 1.2) for at in (107, 114)
        ]
        self.assertEqual(found, [False, False, False, True])


class TrackedRequestsTest(unittest.TestCase):
    def test_flow_admitted_twice_counts_one_request(self):
        """The first request stayed counted for ever, and took a slot."""
        flows = AgentFlows()
        flows.admit(KEY, 0.0)
        flows.admit(KEY, 0.1)
        self.assertEqual(flows.busy, 1)
        flows.discard(KEY, 0.2)
        self.assertEqual(flows.busy, 0)

    def test_ended_flows_that_are_still_tracked_are_not_open(self):
        """Counted as open, they made flows of single requests look like kept ones."""
        flows = AgentFlows()
        flows.add_open(KEY, 0.0)
        self.assertEqual(flows.count_open(), 1)
        flows.get(KEY).ended_sides = BOTH_ENDED
        self.assertEqual(flows.count_open(), 0)


if __name__ == "__main__":
    unittest.main()
