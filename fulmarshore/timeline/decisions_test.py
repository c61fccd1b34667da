import unittest
from pathlib import Path

from click.testing import CliRunner

from fulmarshore.commands.main import cli
from fulmarshore.timeline.decisions import (
    DecisionLine,
    explain_flow,
    explain_host,
    explain_order,
    explain_time,
    find_flows,
    read_lines,
)

GOLDEN = Path(__file__).parents[1] / "golden"
FLOW = "100.64.0.1:1025>198.18.0.1:443"
HOLDER = "10.0.0.7"


def read_recorded(name):
    return read_lines((GOLDEN / name).read_text().splitlines())[0]


def entry(at, kind, detail="", host="edge-1"):
    return DecisionLine(kind, at, "entry", host, FLOW, detail)


def agent(at, kind, detail="", flow=""):
    return DecisionLine(kind, at, "agent", "side-7", flow, detail)


PLACED = [
    agent(0.5, "started", f"host {HOLDER}"),
    entry(5.0, "flow_offered", f"{HOLDER} of desk, number 1 asked"),
    agent(5.1, "flow_admitted", "3 flows, 1 busy", FLOW),
]
FLOW_CASES = [
    ("no line", [], "not_seen"),
    ("placed and nothing else", PLACED, "upstream_answered"),
    (
        "no agent",
        [*PLACED[:1], entry(6.0, "flow_rejected", "no_agent")],
        "no_agent",
    ),
    (
        "rejected by all gates",
        [
            agent(5.0, "flow_refused", "upstream_cold", FLOW),
            entry(5.6, "flow_rejected", "no_slot"),
        ],
        "no_slot",
    ),
    (
        "refused, and its entry host's line is missing",
        [agent(5.0, "flow_refused", "zone_out", FLOW)],
        "refused",
    ),
    (
        "upstream lost it",
        [*PLACED, agent(9.0, "flow_reset", "upstream lost it", FLOW)],
        "upstream_lost_it",
    ),
    (
        "holder crashed",
        [*PLACED, agent(9.0, "started", f"host {HOLDER}")],
        "holder_ended",
    ),
    (
        "holder stalled",
        [*PLACED, agent(9.0, "process_stalled", "2.50 s until now")],
        "holder_stalled",
    ),
    (
        "holder silent",
        [*PLACED, DecisionLine("agent_silent", 9.0, "control", "edge-2", "", HOLDER)],
        "holder_silent",
    ),
    (
        "another holder silent",
        [
            *PLACED,
            DecisionLine("agent_silent", 9.0, "control", "edge-2", "", "10.0.0.9"),
        ],
        "upstream_answered",
    ),
    (
        "upstream drains",
        [*PLACED, agent(9.0, "upstream_announced", "u of desk, upstream_draining")],
        "upstream_changed",
    ),
    (
        "entry host crashed",
        [*PLACED, DecisionLine("started", 9.0, "entry", "edge-1", "", "host 10.0.0.1")],
        "entry_ended",
    ),
    (
        "no agent has it",
        [entry(5.0, "flow_not_found", "denied by all agents known")],
        "not_found",
    ),
]


class FlowExplanationTest(unittest.TestCase):
    def test_cause_of_each_flow(self):
        for name, lines, cause in FLOW_CASES:
            with self.subTest(name):
                self.assertEqual(explain_flow(lines, FLOW).cause, cause)

    def test_lines_left_out_near_the_end_are_counted(self):
        left_out = DecisionLine(
            "lines_left_out", 5.5, "agent", "side-7", counts={"flow_refused": 4}
        )
        found = explain_flow([*PLACED, left_out], FLOW)
        self.assertEqual(found.left_out, {"flow_refused": 4})

    def test_causes_of_a_host_and_of_a_time(self):
        lines = [*PLACED, agent(9.0, "started", f"host {HOLDER}")]
        self.assertEqual(explain_host(lines, HOLDER, 8.0).cause, "holder_ended")
        self.assertEqual(explain_host(lines, "10.0.0.9", 8.0).cause, "not_seen")
        self.assertEqual(explain_time(lines, 8.0).cause, "processes_ended")
        planned = [*lines, agent(8.5, "stopping")]
        self.assertEqual(explain_time(planned, 8.0).cause, "processes_restarted")
        self.assertEqual(explain_time(lines, 20.0).cause, "not_seen")
        stalled = [entry(12.0, "process_stalled", "3.00 s until now")]
        for at, cause in (
            (4.9, "not_seen"),
            (8.0, "processes_stalled"),
            (11.0, "processes_stalled"),
            (12.1, "not_seen"),
        ):
            self.assertEqual(explain_time(stalled, at).cause, cause)

    def test_lines_are_read_with_and_without_a_collectors_time(self):
        line = '{"at":7.0,"kind":"started","host":"h","role":"entry"}'
        lines, malformed = read_lines(
            [f"  3.5 edge-1/entry {line}", "no line at all", line, '{"kind":', "{}"]
        )
        self.assertEqual([found.at for found in lines], [3.5, 7.0])
        self.assertEqual(malformed, 2)

    def test_flows_near_a_time_are_found(self):
        self.assertEqual(find_flows(PLACED, "edge-1", 5.05), [FLOW])
        self.assertEqual(find_flows(PLACED, "edge-2", 5.05), [])
        self.assertEqual(find_flows(PLACED, "edge-1", 9.0), [])


class RecordedLinesTest(unittest.TestCase):
    """The three examples of the operators' page, on lines recorded in example days."""

    def test_request_rejected_while_upstreams_were_free(self):
        lines = read_recorded("rejected-check.jsonl")
        found = explain_flow(lines, "100.65.0.11:1059>198.18.0.1:8080")
        self.assertEqual(found.cause, "no_slot")
        self.assertIn("waited_in_vain", found.detail)
        kinds = [line.kind for line in found.lines]
        self.assertEqual(kinds[0], "flow_offered")
        self.assertEqual(kinds[-2:], ["flow_refused", "flow_rejected"])

    def test_status_feed_that_stopped(self):
        lines = read_recorded("silent-feed.jsonl")
        flow = next(line.flow for line in lines if line.kind == "flow_not_found")
        found = explain_flow(lines, flow, 11.0)
        self.assertEqual(found.cause, "holder_silent")
        self.assertIn("10.3.0.1", found.detail)

    def test_order_without_an_answer(self):
        lines = read_recorded("unanswered-order.jsonl")
        found = explain_order(lines, "edge-accra-osu-1", 21.6)
        self.assertEqual(found.cause, "election")
        self.assertIn("edge-accra-madina-1", found.detail)

    def test_command(self):
        path = str(GOLDEN / "unanswered-order.jsonl")
        options = ["--control", "edge-accra-osu-1", "--at", "21.6"]
        result = CliRunner().invoke(cli, ["explain", "order", path, *options])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("election: edge-accra-osu-1", result.output)
        options = ["--entry", "edge-1", "--at", "99"]
        result = CliRunner().invoke(cli, ["explain", "caller", path, *options])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("--at 99", result.output)


class OrderExplanationTest(unittest.TestCase):
    def test_causes_of_orders(self):
        def line(at, kind, host="c-1", detail=""):
            return DecisionLine(kind, at, "control", host, "", detail)

        cases = [
            ("nothing", [], "not_seen"),
            ("refused", [line(5, "order_refused", detail="400")], "order_refused"),
            ("full disk", [line(5, "disk_refused_write")], "disk"),
            ("restarted", [line(6, "started")], "process_ended"),
            (
                "lost the lead",
                [line(5, "leader_stepped_down"), line(6, "leader_elected", "c-2")],
                "election",
            ),
            ("no leader", [line(5, "order_unanswered")], "no_leader"),
            (
                "knew a leader",
                [line(4, "leader_known"), line(5, "order_unanswered")],
                "not_seen",
            ),
            ("of another host", [line(5, "order_unanswered", "c-2")], "not_seen"),
            ("too long ago", [line(-5, "leader_lost")], "not_seen"),
        ]
        for name, lines, cause in cases:
            with self.subTest(name):
                self.assertEqual(explain_order(lines, "c-1", 5.0).cause, cause)


if __name__ == "__main__":
    unittest.main()
