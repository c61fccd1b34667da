"""Terms of the cost of a placement, the order of agents, and the time it takes."""

import time
import unittest
from collections import Counter
from random import Random

from fulmarshore.direct.costs import (
    ASSUMED_HOP_S,
    LEAST_HOP_S,
    TRUSTED_S,
    AgentLoad,
    CostModel,
)
from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.flows import Flow, Stage
from fulmarshore.direct.packets import (
    MARK_ADMITTED,
    SYN,
    LoadReport,
    make_notice,
    parse_packet,
)
from fulmarshore.direct.placement import Placement
from fulmarshore.direct.records import (
    AgentReport,
    Backend,
    CallerPacket,
    ReturnedPacket,
    Route,
    Table,
    Urgency,
)
from fulmarshore.direct.services import ServiceChooser
from fulmarshore.direct.shares import ServiceShares, choose_service
from fulmarshore.direct.tables import TableIndex
from fulmarshore.standins.directends import make_flow, make_packet

MEDIAN_S = 0.04
WAIT_CASES = [
    ("nothing known", None, 0, 1, 0.0, 0, 0.0),
    ("told just now", 100, 0, 1, 0.0, 0, 0.1),
    ("has shrunk since", 100, 0, 1, 0.06, 0, 0.04),
    ("is over", 100, 0, 1, 0.5, 0, 0.0),
    ("an offer is on its way", 100, 0, 1, 0.0, 1, 0.14),
    ("offers share the slots", 100, 0, 4, 0.0, 2, 0.12),
    ("too old, idle", 9000, 0, 1, TRUSTED_S + 0.1, 0, 0.0),
    ("too old, loaded", 9000, 5, 1, TRUSTED_S + 0.1, 0, 0.02),
]


def make_report(number, zone="a", **fields):
    base = (f"10.0.{number // 250}.{number % 250}", 1, 1, zone, "desk", True, False, 1)
    return AgentReport(*base, 0, 0, **fields)


def make_placement(count, placement="cost", **fields):
    agents = Placement("a", Random(1), TableIndex(placement))
    for number in range(count):
        agents.record_report(make_report(number, "abc"[number % 3], **fields))
    return agents


class EstimateTest(unittest.TestCase):
    def test_wait(self):
        for name, wait_ms, level, slots, age_s, offers, expected in WAIT_CASES:
            with self.subTest(name):
                load = AgentLoad()
                load.reset(slots)
                if wait_ms is not None:
                    report = make_report(1, work_ms=40, load_level=level)
                    load.record_report(report, 0.0)
                    load.record_wait(wait_ms / 1000, 0.0)
                    load.slots = slots
                load.offers = offers
                wait = CostModel.estimate(load, MEDIAN_S, age_s)[0]
                self.assertAlmostEqual(wait, expected)

    def test_standing_follows_the_utilization(self):
        for level, expected in ((0, 0.0), (5, 0.04), (8, 0.16), (10, 0.76)):
            with self.subTest(level=level):
                load = AgentLoad()
                load.record_notice(LoadReport(0, 40, level), 0.0)
                load.record_wait(0.0, 0.0)
                standing = CostModel.estimate(load, MEDIAN_S, 0.0)[2]
                self.assertAlmostEqual(standing, expected)
                self.assertEqual(CostModel.estimate(load, 0.1, 0.0, False)[2], 0.0)

    def test_hop_is_measured_and_has_a_least_value(self):
        for own_s, other_s, expected in (
            (None, 0.02, ASSUMED_HOP_S),
            (0.001, 0.004, 0.003),
            (0.004, 0.001, LEAST_HOP_S),
        ):
            costs = CostModel("a")
            if own_s is not None:
                costs.record_reply_time("a", own_s)
            costs.record_reply_time("b", other_s)
            self.assertAlmostEqual(costs.get_hop("b"), expected)
            self.assertEqual(costs.get_hop("a"), 0.0)

    def test_a_restarted_process_has_the_median(self):
        agents = make_placement(5, work_ms=40)
        slow = make_report(1, work_ms=400)
        agents.record_report(slow, 0.0)
        restarted = AgentReport(slow.host, 2, 1, "b", "desk", True, False, 1, 0, 0)
        agents.record_report(restarted, 0.0)
        ranked = agents.list_ranked("desk", 0.0, lambda zone: False)
        works = {agent.host: agent.work_s for agent in ranked}
        self.assertAlmostEqual(works[slow.host], MEDIAN_S)


class RankingTest(unittest.TestCase):
    def test_order_and_reasons(self):
        for placement in ("cost", "flows"):
            with self.subTest(placement):
                agents = make_placement(6, placement, work_ms=40)
                hosts = [make_report(number).host for number in range(6)]
                cold = make_report(1)
                agents.record_report(
                    AgentReport(cold.host, 1, 2, "a", "desk", True, True, 1, 0, 0)
                )
                agents.record_unanswered(hosts[3], 0.0)
                agents.record_refusal(hosts[4], 0.0)
                ranked = agents.list_ranked("desk", 0.1, lambda zone: zone == "c")
                behind = {agent.host: agent.behind for agent in ranked}
                expected = ["", "cold", "zone out", "unresponsive", "refusing"]
                self.assertEqual([behind[host] for host in hosts[:5]], expected)
                order = [agent.host for agent in ranked]
                self.assertEqual(order[:4], [hosts[0], hosts[1], hosts[3], hosts[4]])
                if placement == "flows":
                    self.assertEqual({agent.cost_s for agent in ranked}, {0.0})

    def test_shares_return_what_was_diverted(self):
        route = Route(b"\1" * 6, (Backend("desk", 90), Backend("spare", 10)))
        shares, given = ServiceShares(), {"desk": 0, "spare": 0}
        for number in range(20_000):
            service = choose_service(route, number.to_bytes(12))
            if 1000 <= number < 2000 and service == "desk":
                shares.record_move(route, "desk", "spare")
                service = "spare"
            elif owed := shares.list_owed(route, service):
                shares.record_move(route, service, owed[0])
                service = owed[0]
            given[service] += 1
        self.assertAlmostEqual(given["desk"] / 20_000, 0.9, delta=0.01)
        self.assertEqual(shares.owed_count, 0)

    def test_placement_among_1000_by_cost_takes_no_longer_than_100_by_flows(self):
        by_cost = make_placement(1000, work_ms=40, load_level=3)
        by_flows = make_placement(100, "flows")
        times = {"cost": [], "flows": []}
        for turn in range(40):
            for name, choose in (
                ("cost", by_cost.choose_by_cost),
                ("flows", by_flows.choose),
            ):
                start = time.process_time()
                for number in range(20):
                    now = turn * 0.2 + number / 100
                    choose("desk", [], now, lambda zone: False)
                times[name].append(time.process_time() - start)
        ratio = sorted(times["cost"])[20] / sorted(times["flows"])[20]
        self.assertLess(ratio, 1.0)


class ServiceChoiceTest(unittest.TestCase):
    def test_service_without_agents_gives_way_also_without_an_objective(self):
        for objective_s in (0.1, float("inf")):
            with self.subTest(objective_s=objective_s):
                agents = make_placement(3, work_ms=40)
                urgency = Urgency(0, objective_s)
                backends = (Backend("gone", 3), Backend("desk", 1))
                route = Route(b"\1" * 6, backends, urgency)
                tables = TableIndex("cost")
                chooser = ServiceChooser(agents, tables, Counter())
                for number in range(20):
                    caller = make_flow(number, 443)
                    opening = make_packet(caller[:6], caller[6:], SYN, 1, 0)
                    packet = parse_packet(opening)
                    flow = Flow(Stage.OPENING, 0.0)
                    self.assertIsNotNone(chooser.choose(packet, flow, route, 0.0))

    def test_notice_without_a_load_is_no_knowledge(self):
        entry = EntryCore("10.0.1.1", "a", [], Random(1), placement="cost")
        report = make_report(1, work_ms=40)
        entry.placement.record_report(report, 0.0)
        flow = make_flow(1, 443)
        opening = parse_packet(make_packet(flow[:6], flow[6:], SYN, 1, 0))
        route = Route(flow[6:], (Backend("desk", 1),))
        entry.tables.replace(Table(1, 1, (route,)))
        entry.handle(CallerPacket(opening.content), 1.0)
        notice = make_notice(opening, MARK_ADMITTED, bytes(4))
        entry.handle(ReturnedPacket(notice, report.host), 1.1)
        ranked = entry.placement.list_ranked("desk", 1.1, lambda zone: False)
        self.assertAlmostEqual(ranked[0].age_s, 1.1)


if __name__ == "__main__":
    unittest.main()
