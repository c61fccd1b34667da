"""Which callers are notified of lost flows: schedules of reports and messages."""

import unittest
from collections import Counter
from dataclasses import dataclass
from random import Random
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.direct import keptflows
from fulmarshore.direct.controlrecords import StoreKeptFlows
from fulmarshore.direct.keptflowsfile import decode_file, encode_file
from fulmarshore.direct.lostflows import MAX_NOTICES_PER_WINDOW, LostFlowNotifier
from fulmarshore.direct.packets import RST, parse_answer
from fulmarshore.direct.records import AgentReport, KeptFlows, SendToCaller
from fulmarshore.standins import profiles  # noqa: F401
from fulmarshore.standins.directends import make_flow

A, B = make_flow(1, 443), make_flow(2, 443)


def keep(
    incarnation, *keys, host="h", process=1, number=1, is_complete=False, ended=()
):
    """Return a register message."""
    kept = tuple((key, 7) for key in keys)
    return KeptFlows(host, process, incarnation, number, is_complete, kept, ended)


def report(incarnation, revision=1, host="h", process=1, **ends):
    """Return a report of an agent."""
    head = (host, process, revision, "zone-0", "desk", True, False, 1, 0, 0)
    return AgentReport(*head, incarnation=incarnation, **ends)


@dataclass
class Case:
    """Events at a control host in order, numbers are seconds; who gets a notice."""

    name: str
    steps: list
    notified: tuple = ()


KEPT = keep("u@5", A)
CASES = [
    Case("same incarnation", [KEPT, report("u@5", 2)]),
    Case("agent restarted, no announcement yet", [KEPT, report("", 1, process=2)]),
    Case("agent restarted, upstream lives", [KEPT, report("u@5", 1, process=2)]),
    Case("upstream restarted", [KEPT, report("u@9", 2)], (A,)),
    Case("agent and upstream restarted", [KEPT, report("v@9", 1, process=2)], (A,)),
    Case(
        "only the flows of the former one",
        [KEPT, keep("u@9", B, number=2), report("u@9", 3)],
        (A,),
    ),
    Case("start time is lower: a clock was set back", [KEPT, report("v@4", 2)]),
    Case("start time is the same", [KEPT, report("v@5", 2)]),
    Case("start time is not stated", [KEPT, report("v@0", 2)]),
    Case("start time of the record is not stated", [keep("u@0", A), report("v@9", 2)]),
    Case("clock put right later", [KEPT, report("v@4", 2), report("w@9", 3)], (A,)),
    Case("report of another host", [KEPT, report("v@9", 2, host="g")]),
    Case(
        "delayed report of the former incarnation",
        [
            report("u@5", 1),
            report("v@9", 3),
            keep("v@9", A, number=4),
            report("u@5", 2),
        ],
    ),
    Case(
        "delayed report of a former process after the clock was set back",
        [
            *[report("u@9", 1), report("v@5", 1, process=2)],
            *[keep("v@5", A, process=2, number=2), report("u@9", 2)],
        ],
    ),
    Case(
        "delayed first report of a process whose upstream's clock was set back",
        [keep("v@5", A, number=9), report("u@9", 8), report("v@5", 10)],
    ),
    Case(
        "delayed message of a former incarnation replaces no record",
        [
            *[keep("u@5", B), report("v@9", 1, process=2)],
            *[keep("v@9", A, process=2, number=2), keep("u@5", A, number=2)],
            *[report("v@9", 3, process=2)],
        ],
        (B,),
    ),
    Case("ended for good", [KEPT, report("u@5", 2, is_ended=True)], (A,)),
    Case("ended, and one report", [KEPT, report("u@5", 2, is_empty=True), 9.0]),
    Case(
        "ended, and it stays so",
        [KEPT, report("u@5", 2, is_empty=True), 2.6, report("u@5", 3, is_empty=True)],
        (A,),
    ),
    Case(
        "late departure of a former run: the upstream lives",
        [
            *[KEPT, report("u@5", 2, is_empty=True), 1.0, report("u@5", 3), 1.6],
            report("u@5", 4, is_empty=True),
        ],
    ),
    Case(
        "end reported by two processes",
        [
            *[KEPT, report("u@5", 2, is_empty=True), 2.6],
            report("u@5", 1, process=2, is_empty=True),
        ],
    ),
    Case("ended without an announcement", [KEPT, report("", 2, is_ended=True)]),
    Case("another upstream ended", [keep("u@9", A), report("u@5", 2, is_ended=True)]),
    Case("flow ended", [KEPT, keep("u@5", number=2, ended=(A,)), report("u@9", 3)]),
    Case(
        "ended at another host",
        [KEPT, keep("g@1", host="g", ended=(A,)), report("u@9", 2)],
        (A,),
    ),
    Case(
        "key used again at another host, the end message was lost",
        [KEPT, keep("g@1", A, host="g"), report("u@9", 2)],
    ),
    Case(
        "key used again for the next incarnation",
        [KEPT, keep("u@9", A, number=2), report("u@9", 3)],
    ),
    Case(
        "complete list without the flow",
        [KEPT, keep("u@5", B, number=2, is_complete=True), report("u@9", 3)],
        (B,),
    ),
    Case(
        "complete list of a restarted agent that does not know the flow",
        [
            KEPT,
            keep("u@5", B, process=2, is_complete=True),
            report("u@9", 2, process=2),
        ],
        (A, B),
    ),
    Case(
        "messages out of order",
        [KEPT, keep("u@5", number=3, ended=(A,)), keep("u@5", A, number=2)]
        + [report("u@9", 4)],
    ),
    Case("agent was cut off", [KEPT, 60.1, report("u@9", 2)]),
    Case("notified once", [KEPT, report("u@9", 2), report("u@9", 3)], (A,)),
]


def list_notified(effects):
    """Return the keys of the resets among effects."""
    found = []
    for effect in effects:
        if isinstance(effect, SendToCaller):
            packet = parse_answer(effect.content)
            assert packet.flags == RST and packet.sequence == 7
            found.append(packet.flow)
    return found


def play(notifier, steps):
    """Play the steps and return who was notified."""
    now, notified = 1.0, []
    for step in steps:
        match step:
            case KeptFlows():
                notifier.handle_kept_flows(step, now)
            case AgentReport():
                notified += list_notified(notifier.handle_report(step, now))
            case seconds:
                now += seconds
    return notified


class LostFlowsTest(unittest.TestCase):
    def test_schedules(self):
        for case in CASES:
            with self.subTest(case.name):
                notifier = LostFlowNotifier(Counter())
                self.assertCountEqual(play(notifier, case.steps), case.notified)

    def test_setting_turns_it_off(self):
        notifier = LostFlowNotifier(Counter(), is_enabled=False)
        self.assertEqual(play(notifier, [KEPT, report("u@9", 2)]), [])
        self.assertEqual(notifier.handle_tick(2.0), [])

    def test_schedules_with_a_restart_after_the_first_message(self):
        """Records from the file obey the same rules."""
        for case in CASES:
            # The numbers of messages are not stored.
            is_numbered = case.name.startswith("delayed first report")
            if is_numbered or not isinstance(case.steps[0], KeptFlows):
                continue
            with self.subTest(case.name):
                former = LostFlowNotifier(Counter())
                former.handle_kept_flows(case.steps[0], 1.0)
                content = encode_file(former.register.list_groups(1.0), 1.0)
                notifier = LostFlowNotifier(Counter())
                notifier.restore(decode_file(content, 1.0), 1.0)
                self.assertCountEqual(play(notifier, case.steps[1:]), case.notified)

    def test_notices_are_sent_at_a_limited_rate(self):
        """A loss of everything must not fill the link; a flow in the queue may be
        registered again meanwhile."""
        total = MAX_NOTICES_PER_WINDOW * 2 + 50
        keys = [make_flow(number, 443) for number in range(total)]
        notifier = LostFlowNotifier(Counter())
        notifier.handle_kept_flows(keep("u@5", *keys), 1.0)
        sent = [len(list_notified(notifier.handle_report(report("u@9", 2), 1.0)))]
        notifier.handle_kept_flows(keep("g@1", *keys[-2:], host="g"), 1.0)
        for tick in range(1, 6):
            effects = notifier.handle_tick(1.0 + tick * 0.0501)
            sent.append(len(list_notified(effects)))
        full = MAX_NOTICES_PER_WINDOW
        self.assertEqual(sum(sent), total - 2, sent)
        self.assertEqual(sent, [full, 0, full, 0, 48, 0])

    def test_register_is_bounded(self):
        with patch.object(keptflows, "MAX_RECORDS", 2):
            notifier = LostFlowNotifier(counters := Counter())
            keys = [make_flow(number, 443) for number in range(3)]
            notifier.handle_kept_flows(keep("u@5", *keys), 1.0)
            self.assertEqual(len(notifier.register), 2)
            self.assertEqual(counters["kept_flows_dropped"], 1)
        notifier.handle_tick(62.0)
        self.assertEqual(len(notifier.register), 0)
        self.assertEqual(counters["kept_flows_dropped"], 3)

    def test_file_is_written_at_most_twice_a_second(self):
        notifier = LostFlowNotifier(Counter())
        written = []
        for tick in range(1, 400):
            now = tick * 0.05
            if tick <= 80:
                kept = keep("u@5", make_flow(tick, 443), number=tick)
            else:
                kept = keep("u@5", A, number=tick, is_complete=True)
            notifier.handle_kept_flows(kept, now)
            effects = notifier.handle_tick(now)
            if any(isinstance(effect, StoreKeptFlows) for effect in effects):
                written.append(now)
        changes = [now for now in written if now <= 4.5]
        self.assertIn(len(changes), (8, 9))
        self.assertEqual(len(written) - len(changes), 1, "renewals alone")


class AgentModel:
    """An agent, its upstream and its flows; what it sends may arrive in any order."""

    def __init__(self, host, random):
        self.host, self.random = host, random
        self.clock = self.number = self.process = 0
        self.restart_agent()
        self.restart_upstream()

    def restart_agent(self):
        self.process += 1
        self.number = 0
        self.kept = {}
        self.is_announced = False

    def restart_upstream(self):
        self.clock += 1
        # Once the agent has restarted, it is not known which report came first.
        is_set_back = self.random.random() < 0.3 and self.is_announced
        born = self.clock - self.random.randint(1, 9) if is_set_back else self.clock
        self.clock = self.clock if is_set_back else max(self.clock, born)
        self.incarnation = f"u{self.random.getrandbits(30)}@{100 + born}"
        self.held, self.kept = {}, {}
        self.is_announced = True
        self.has_late_departure = self.random.random() < 0.5

    def open(self, key, position):
        self.held[key] = position
        if self.random.random() < 0.8:
            self.kept[key] = position

    def send(self):
        """Return a report and a register message, numbered in this order.

        A departure of the former run may come late, once: until its next announcement
        the upstream is then reported as ended.
        """
        self.number += 2
        is_ended = self.has_late_departure and self.random.random() < 0.5
        self.has_late_departure &= not is_ended
        head = (self.host, self.process, self.number - 1, "z", "s", True, False, 1, 0)
        yield AgentReport(*head, 0, incarnation=self.incarnation, is_empty=is_ended)
        head = (self.host, self.process, self.incarnation, self.number)
        yield KeptFlows(*head, self.random.random() < 0.5, tuple(self.kept.items()))


class RandomScheduleTest(unittest.TestCase):
    @given(st.integers(0, 1 << 64))
    def test_no_live_flow_is_reset(self, seed):
        """Messages are lost, doubled and delayed; addresses are used again."""
        random, now = Random(seed), 1.0
        notifier = LostFlowNotifier(Counter())
        agents = [AgentModel(f"h{number}", random) for number in range(2)]
        flying = []
        for position in range(120):
            now += random.uniform(0.0, 1.0)
            agent = random.choice(agents)
            match random.randrange(16):
                case 0:
                    agent.restart_agent()
                case 1:
                    agent.restart_upstream()
                case 2 | 3 | 4:
                    key = make_flow(random.randrange(3), 443)
                    for other in agents:
                        other.held.pop(key, None)
                    agent.open(key, position)
                case _:
                    sent = list(agent.send())
                    flying += random.choices(sent, k=random.randint(1, 3))
            effects = notifier.handle_tick(now)
            while flying and random.random() < 0.6:
                arriving = flying.pop(random.randrange(len(flying)))
                match arriving:
                    case AgentReport():
                        effects += notifier.handle_report(arriving, now)
                    case _:
                        notifier.handle_kept_flows(arriving, now)
            for effect in effects:
                if not isinstance(effect, SendToCaller):
                    continue
                packet = parse_answer(effect.content)
                live = [it for it in agents if packet.flow in it.held]
                positions = [it.held[packet.flow] for it in live]
                self.assertNotIn(packet.sequence, positions)


if __name__ == "__main__":
    unittest.main()
