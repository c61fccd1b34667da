"""What an agent reports of the load of its upstream, to entry and control hosts."""

import unittest
from unittest.mock import patch

import msgspec

from fulmarshore.direct.agentopenings import OUTLIER_WAIT_MS
from fulmarshore.direct.directory import AgentDirectory
from fulmarshore.direct.outliers import OutlierDetector
from fulmarshore.direct.packets import (
    ACK,
    MARK_ADMITTED,
    MARK_BUSY,
    MARK_OFFER,
    MARK_QUEUED,
    NO_LOAD_REPORT,
    SYN,
    make_notice,
    mark_packet,
    parse_load_report,
    parse_packet,
)
from fulmarshore.direct.queueing_test import make_agent
from fulmarshore.direct.records import (
    CallerPacket,
    SendPoll,
    SendToEntry,
    Ticked,
    UpstreamAnnounced,
    UpstreamPacket,
)
from fulmarshore.direct.workmodel import WorkModel
from fulmarshore.direct.world_test import DESK
from fulmarshore.standins.directends import make_flow, make_packet

ENTRY = bytes((10, 0, 0, 5))


class Agent:
    """An agent, its time, and what it has sent."""

    def __init__(self, slots=1, by_cost=True):
        self.core = make_agent(slots)
        self.core.subscription.replace_seeds(["control"])
        table = msgspec.structs.replace(self.core.tables.table, places_by_cost=by_cost)
        self.core.tables.table = table
        self.now = 0.1
        self.announced_at = 0
        self.notices = []
        self.reports = []

    def run(self, event):
        """Handle one event, and keep the notices and reports that it causes."""
        for effect in self.core.handle(event, self.now):
            match effect:
                case SendToEntry(content=content):
                    self.notices.append(parse_packet(content))
                case SendPoll(poll=poll) if poll.report is not None:
                    self.reports.append(poll.report)

    def wait(self, seconds):
        """Let time pass, with ticks and announcements."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = min(self.now + 0.1, until)
            if int(self.now) > self.announced_at:
                self.announced_at = int(self.now)
                self.announce("u", 1, self.announced_at + 1)
            self.run(Ticked())

    def announce(self, upstream, born_ms, sequence):
        """Announce the upstream."""
        slots = self.core.gate.slots
        self.run(
            UpstreamAnnounced(upstream, born_ms, sequence, "desk", "a", slots, True, 0)
        )

    def offer(self, number, mark=MARK_OFFER):
        """Offer a flow; return the answer of the agent."""
        flow = make_flow(number, DESK)
        opening = parse_packet(make_packet(flow[:6], flow[6:], SYN, 1, 0))
        self.run(CallerPacket(mark_packet(opening, mark, ENTRY)))
        return self.notices[-1]

    def request(self, number):
        """Send the request of a flow."""
        flow = make_flow(number, DESK)
        self.run(CallerPacket(make_packet(flow[:6], flow[6:], ACK, 2, 1, b"request")))

    def respond(self, number):
        """Send the response of the upstream."""
        flow = make_flow(number, DESK)
        self.run(UpstreamPacket(make_packet(flow[6:], flow[:6], ACK, 1, 9, b"done")))

    def get_load(self):
        """Return load level and service time of the newest report."""
        return self.reports[-1].load_level, self.reports[-1].work_ms

    def serve(self, seconds):
        """Serve one request that takes this long."""
        self.offer(1)
        self.request(1)
        self.wait(seconds)
        self.respond(1)


class AgentLoadTest(unittest.TestCase):
    def test_answers_to_offers_tell_the_expected_wait(self):
        agent = Agent()
        agent.serve(0.08)
        admitted = agent.offer(2)
        self.assertEqual(admitted.mark, MARK_ADMITTED)
        report = parse_load_report(admitted)
        self.assertAlmostEqual(report.wait_ms, 80, delta=40)
        self.assertAlmostEqual(report.work_ms, 80, delta=4)
        agent.request(2)
        agent.wait(0.02)
        busy = agent.offer(3)
        self.assertEqual(busy.mark, MARK_BUSY)
        self.assertAlmostEqual(busy.load, 60, delta=40)
        agent.offer(3, 0)
        queued = agent.offer(4, 0)
        self.assertEqual(queued.mark, MARK_QUEUED)
        wait_ms = parse_load_report(queued).wait_ms
        self.assertAlmostEqual(wait_ms, 60 + 2 * 80, delta=40)

    def test_packets_and_reports_are_as_before_with_placement_by_flows(self):
        agent = Agent(by_cost=False)
        agent.wait(0.9)
        agent.serve(0.08)
        self.assertAlmostEqual(agent.core.report_load(agent.now).work_ms, 80, delta=4)
        for number, mark in ((2, MARK_ADMITTED), (3, MARK_ADMITTED), (4, MARK_QUEUED)):
            notice = agent.offer(number, 0)
            expected = make_notice(notice, mark, agent.core._own_host)
            self.assertEqual(notice.content, expected)
        self.assertEqual(agent.offer(5).load, 3)
        agent.wait(4.0)
        self.assertEqual(agent.reports[-1].load_level, 0)
        self.assertEqual(agent.reports[-1].work_ms, 0)

    def test_outlier_reports_more_than_any_other_upstream(self):
        # Guards against an upstream that fails fast and so attracts every flow.
        agent = Agent()
        agent.serve(0.08)
        agent.offer(2)
        agent.request(2)
        for is_outlier, wait_s in ((False, 99.0), (True, 0.0), (True, 99.0)):
            outlier = patch.object(
                OutlierDetector, "is_outlier", return_value=is_outlier
            )
            wait = patch.object(WorkModel, "estimate_wait", return_value=wait_s)
            with self.subTest(is_outlier=is_outlier, wait_s=wait_s), outlier, wait:
                load = agent.offer(3).load
                self.assertEqual(load >= OUTLIER_WAIT_MS, is_outlier)

    def test_offers_are_declined_while_a_request_is_overdue(self):
        for by_cost, mark in ((True, MARK_BUSY), (False, MARK_ADMITTED)):
            with self.subTest(by_cost=by_cost):
                agent = Agent(3, by_cost)
                agent.serve(0.05)
                agent.offer(2)
                agent.request(2)
                agent.wait(0.1)
                notice = agent.offer(3)
                self.assertEqual(notice.mark, MARK_ADMITTED)
                self.assertEqual(parse_load_report(notice).wait_ms, 0)
                agent.wait(0.3)
                self.assertEqual(agent.offer(4).mark, mark)

    def test_reports_name_incarnation_and_load(self):
        agent = Agent()
        agent.wait(0.5)
        self.assertEqual(agent.reports[-1].incarnation, "u@1")
        self.assertEqual(agent.get_load(), (0, 0))
        agent.serve(0.08)
        agent.offer(2)
        agent.request(2)
        agent.wait(3.5)
        self.assertGreaterEqual(agent.reports[-1].load_level, 8)
        self.assertAlmostEqual(agent.reports[-1].work_ms, 80, delta=4)
        agent.announce("v", 2000, 1)
        self.assertEqual(agent.reports[-1].incarnation, "v@2000")
        self.assertEqual(agent.get_load(), (0, 0))
        self.assertEqual(parse_load_report(agent.offer(3, 0)), NO_LOAD_REPORT)

    def test_requests_before_the_first_announcement_count(self):
        # Guards against an agent that restarts and forgets what its upstream does.
        agent = Agent()
        core = agent.core
        core.gate._upstream = None
        core._has_all_flows = False
        agent.request(2)
        agent.announce("u", 1, 7)
        agent.now += 0.05
        agent.respond(2)
        self.assertEqual(core.report_load(agent.now).work_ms, 50)

    def test_entry_hosts_are_told_of_a_changed_level_and_incarnation(self):
        agent = Agent()
        agent.wait(0.5)
        report = agent.reports[-1]
        for change, is_told in (
            ({"load_level": 4}, True),
            ({"incarnation": "v@2"}, True),
            ({"work_ms": 9, "busy": 3}, False),
        ):
            with self.subTest(change):
                directory = AgentDirectory(1)
                directory.record_report(report, 0.0)
                changed = msgspec.structs.replace(
                    report, revision=report.revision + 1, **change
                )
                self.assertEqual(directory.record_report(changed, 0.5), is_told)


if __name__ == "__main__":
    unittest.main()
