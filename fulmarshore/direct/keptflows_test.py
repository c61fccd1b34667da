"""Which flows an agent registers, what it sends, and what survives in the file."""

import unittest
from collections import Counter
from dataclasses import dataclass, field

from fulmarshore.direct.agentflows import AgentFlow
from fulmarshore.direct.keptflows import (
    MAX_ENDED,
    RENEWAL_DISTANCE,
    FlowRegister,
    KeptFlowTracker,
    choose_voters,
    parse_start,
)
from fulmarshore.direct.keptflowsfile import FILE_RETENTION_S, decode_file, encode_file
from fulmarshore.direct.records import KeptFlows, UpstreamAnnounced
from fulmarshore.standins.directends import make_flow

VOTERS = ("c1", "c2", "c3")
A, B = make_flow(1, 443), make_flow(2, 443)


def announce(upstream, born_ms):
    """Return an announcement."""
    return UpstreamAnnounced(upstream, born_ms, 1, "desk", "zone-0", 1, True, 0.0)


@dataclass
class Case:
    """Steps at an agent, and the messages to each of the two voters after them."""

    name: str
    steps: list
    sent: list = field(default_factory=list)
    is_enabled: bool = True


FIRST = (True, (A,), ())
CASES = [
    Case("no request", ["u1", "u1", 1.0]),
    Case("not confirmed by an announcement", ["u1", A, 5.0]),
    Case("confirmed", ["u1", A, 1.0, "u1", 0.1], [FIRST]),
    Case("notice is off", ["u1", A, 1.0, "u1", 0.1], is_enabled=False),
    Case("announcement of the next incarnation", ["u1", A, 1.0, "u2", 1.0, "u2", 5.0]),
    Case("announcement that was under way", ["u1", A, 0.05, "u1", 5.0]),
    Case("flow that the upstream has not answered", ["u1", ("shut", A), 1, "u1", 1]),
    Case("changes once a second", ["u1", A, 1, "u1", 0.1, B, 0.2, "u1", 0.2], [FIRST]),
    Case(
        "only the change",
        ["u1", A, 1.0, "u1", 0.1, B, 1.0, "u1", 0.1],
        [FIRST, (False, (B,), ())],
    ),
    Case(
        "position moves less, then farther than a renewal needs",
        [*["u1", A, 1.0, "u1", 0.1], ("move", RENEWAL_DISTANCE - 1), 1.5]
        + [("move", 1), 0.1],
        [FIRST, (False, (A,), ())],
    ),
    Case(
        "flow ends",
        ["u1", A, 1.0, "u1", 0.1, ("end", A), 1.1],
        [FIRST, (False, (), (A,))],
    ),
    Case(
        "complete after 10 s, and once more when nothing is kept",
        [*["u1", A, 1.0, "u1", 0.1, 10.1, ("end", A), 1.1, 10.1, 20.0]],
        [FIRST, FIRST, (False, (), (A,)), (True, (), ())],
    ),
    Case(
        "the next incarnation renews no former flow",
        ["u1", A, 1.0, "u1", 0.1, "u2", 10.1],
        [FIRST, (True, (), ())],
    ),
]


class KeptFlowTrackerTest(unittest.TestCase):
    def test_messages(self):
        for case in CASES:
            with self.subTest(case.name):
                tracker = KeptFlowTracker("h", 1, case.is_enabled)
                sent, flows, now = [], {}, 1.0
                for step in case.steps:
                    match step:
                        case "u1" | "u2":
                            tracker.record_announcement(announce(step, 1), now)
                        case ("end", key):
                            tracker.end(key)
                        case ("move", distance):
                            flows[A].acknowledged += distance
                        case bytes() | ("shut", _):
                            key = step if isinstance(step, bytes) else step[1]
                            flows[key] = AgentFlow(now, isinstance(step, bytes))
                            tracker.add_candidate(key, flows[key], now)
                        case seconds:
                            now += seconds
                            if tracker.is_due(VOTERS, now):
                                sent += tracker.make_messages(len(sent) + 1, now)
                messages = [effect.message for effect in sent[::2]]
                self.assertEqual(messages, [effect.message for effect in sent[1::2]])
                found = [
                    (kept.is_complete, tuple(key for key, _ in kept.kept), kept.ended)
                    for kept in messages
                ]
                self.assertEqual(found, case.sent)

    def keep_one(self):
        """Return a tracker that has registered a flow at 2.1 s."""
        tracker = KeptFlowTracker("h", 1, True)
        tracker.record_announcement(announce("u1", 1), 1.0)
        tracker.add_candidate(A, AgentFlow(1.0, True), 1.0)
        tracker.record_announcement(announce("u1", 1), 2.0)
        self.assertTrue(tracker.is_due(VOTERS, 2.1))
        tracker.make_messages(1, 2.1)
        return tracker

    def test_change_of_the_voters_sends_all_and_empties_the_former_one(self):
        """A former voter with outdated records might notify live flows."""
        tracker = self.keep_one()
        lost = choose_voters("h", VOTERS)[0]
        others = tuple(voter for voter in VOTERS if voter != lost)
        self.assertTrue(tracker.is_due(others, 3.2))
        sent = {it.host: it.message for it in tracker.make_messages(2, 3.2)}
        self.assertEqual(sorted(sent), sorted(VOTERS))
        for host, message in sent.items():
            self.assertTrue(message.is_complete)
            self.assertEqual(len(message.kept), int(host != lost))

    def test_many_ended_flows_give_a_bounded_complete_message(self):
        tracker = KeptFlowTracker("h", 1, True)
        tracker.record_announcement(announce("u1", 1), 1.0)
        for number in range(MAX_ENDED + 1):
            tracker.add_candidate(make_flow(number, 80), AgentFlow(1.0, True), 1.0)
        tracker.record_announcement(announce("u1", 1), 2.0)
        self.assertTrue(tracker.is_due(VOTERS, 2.1))
        tracker.make_messages(1, 2.1)
        tracker.end_all()
        self.assertTrue(tracker.is_due(VOTERS, 3.2))
        message = tracker.make_messages(2, 3.2)[0].message
        self.assertTrue(message.is_complete)
        self.assertEqual(len(message.ended), MAX_ENDED)

    def test_start_times(self):
        cases = [("u@5", 5), ("a@b@7", 7), ("u@0", None), ("u", None), ("u@-1", None)]
        for incarnation, start in cases:
            self.assertEqual(parse_start(incarnation), start, incarnation)


class FileTest(unittest.TestCase):
    def setUp(self):
        self.register = FlowRegister(Counter())
        self.register.apply(KeptFlows("h", 1, "u@5", 1, True, ((A, 9), (B, 8))), 100.0)
        self.content = encode_file(self.register.list_groups(110.0), 5000.0)

    def test_records_return_with_their_age(self):
        restored = FlowRegister(Counter())
        restored.restore(decode_file(self.content, 5020.0), 3.0)
        record = restored.get(A)
        self.assertEqual((record.host, record.incarnation), ("h", "u@5"))
        self.assertEqual((record.process, record.position), (1, 9))
        self.assertAlmostEqual(record.renewed_at, 3.0 - 20.0 - 10.0)

    def test_records_expire_while_the_host_is_down(self):
        restored = FlowRegister(Counter())
        restored.restore(decode_file(self.content, 5050.5), 3.0)
        self.assertEqual(len(restored), 0)

    def test_invalid_files_are_refused(self):
        flipped = bytearray(self.content)
        flipped[-1] ^= 1
        cases = [
            ("empty", b"", 5001.0),
            ("cut off", self.content[:-1], 5001.0),
            ("damaged", bytes(flipped), 5001.0),
            ("other version", self.content[:5] + b"\2" + self.content[6:], 5001.0),
            ("old", self.content, 5000.0 + FILE_RETENTION_S + 0.1),
            ("from the future", self.content, 4999.9),
        ]
        for name, content, read_at in cases:
            with self.subTest(name), self.assertRaises(ValueError):
                decode_file(content, read_at)


if __name__ == "__main__":
    unittest.main()
