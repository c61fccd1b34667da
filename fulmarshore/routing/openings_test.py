"""Tests of openings and assignments, and of declines and releases of flows."""

from fulmarshore.core.hashing import find_bucket, hash_flow
from fulmarshore.core.records import (
    Declined,
    FlowCheck,
    Forward,
    LoadReport,
    OwnedFlow,
    Reason,
    Refusal,
    Released,
    Takeover,
)
from fulmarshore.routing.agent_test import (
    VERSION,
    AgentCase,
    get_address,
)
from fulmarshore.routing.arbitration import ASSIGNMENT_BITS


class AssignmentTest(AgentCase):
    def test_assignment_of_an_outdated_home_is_rejected(self):
        core = self.start()
        flow = self.find_flow(core, "b")
        takeover = Takeover("s", "c", 1, VERSION + 1, [find_bucket(flow)])
        self.send(core, takeover, get_address("c"))
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

    def test_only_the_release_of_the_current_assignment_counts(self):
        core = self.start()
        flow = self.find_flow(core, "a")
        owner = core.service.by_name["b"]
        old = core.arbiter.assign(flow, owner, VERSION, True, 2.0)
        new = core.arbiter.assign(flow, owner, VERSION, False, 2.0)
        table = [
            ("superseded", Released("s", "b", 1, VERSION, flow, old), False),
            ("old incarnation", Released("s", "b", 0, VERSION, flow, new), False),
            ("not the owner", Released("s", "c", 1, VERSION, flow, new), False),
            ("current", Released("s", "b", 1, VERSION, flow, new), True),
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
        targets = []
        while forwarded := self.list_sent(effects, Forward):
            targets.append(forwarded[0].target)
            declined = Declined(forwarded[0].target, 1, VERSION, 50, forwarded[0])
            effects = self.send(core, declined, get_address(forwarded[0].target))
        self.assertEqual(sorted(targets), ["b", "c"])
        refused = self.list_sent(effects, Refusal)
        self.assertEqual([refusal.reason for refusal in refused], [Reason.FULL])

    def test_assigned_flows_count_until_a_report_reflects_them(self):
        core = self.start()
        member = core.service.by_name["b"]
        flows = [hash_flow("s", "10.0.0.2", port) for port in range(3)]
        numbers = [core.arbiter.assign(f, member, VERSION, True, 2.0) for f in flows]
        table = [
            ("a report sent before", 1, 0, 1, 3),
            ("an old incarnation", 9, 0, 0, 3),
            ("two reflected", 2, numbers[1], 1, 1),
            ("a late report", 1, 0, 1, 1),
            ("all reflected", 3, numbers[2], 1, 0),
        ]
        reported_flows = 0
        for title, number, assignment, incarnation, expected in table:
            with self.subTest(title):
                reported_flows = max(reported_flows, 10 + number) if incarnation else 11
                report = LoadReport(
                    "s", "b", incarnation, 3, 10 + number, 20, number, assignment
                )
                self.send(core, report, get_address("b"))
                load = core.arbiter.loads.get_load(member)
                self.assertEqual(len(load.pending_assignments), expected)
                self.assertEqual(load.flows, reported_flows)

    def test_lost_release_is_found_by_a_check(self):
        core = self.start()
        held, ended = (self.find_flow(core, home) for home in ("b", "c"))
        self.send(core, self.make_packet(held, 9 << ASSIGNMENT_BITS))
        flows = [OwnedFlow(held, "a", 1, 4), OwnedFlow(ended, "a", 1, 5)]
        check = FlowCheck("s", "b", 1, VERSION, flows)
        effects = self.send(core, check, get_address("b"))
        released = self.list_sent(effects, Released)
        self.assertEqual([(r.flow, r.assignment) for r in released], [(ended, 5)])
