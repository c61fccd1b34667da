"""Every outcome of an explanation; it must not change what it explains."""

import json
import pickle
import socket
import unittest
from dataclasses import dataclass, field
from itertools import product
from random import Random

from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.explanation import answer_query, explain_placement
from fulmarshore.direct.openings import choose_service
from fulmarshore.direct.packets import SYN
from fulmarshore.direct.records import (
    AgentReport,
    Backend,
    CallerPacket,
    Decision,
    Route,
    SendToAgent,
    Table,
    Update,
    UpdateReceived,
    Urgency,
)
from fulmarshore.standins.directends import make_flow, make_packet

DESK, UPLOAD, MIXED, CLOSED, EMPTY = 443, 444, 445, 446, 447
NARROW = 331_250.0  # Bytes a second, 2.65 Mbit/s: one upload at a time.


def get_address(port):
    """Return the address of a route, six bytes."""
    return make_flow(0, port)[6:]


def make_route(port, *weights, **options):
    """Return a route with services and their weights."""
    backends = tuple(Backend(*weight) for weight in weights)
    return Route(get_address(port), backends, **options)


ROUTES = (
    make_route(DESK, ("desk", 1)),
    make_route(UPLOAD, ("desk", 1), is_upload=True, urgency=Urgency(1, 1.07)),
    make_route(MIXED, ("desk", 3), ("store", 1), ("old", 0)),
    make_route(CLOSED, ("desk", 0)),
    make_route(EMPTY, ("none", 1)),
)


def make_core(
    link_bytes_per_s=0.0,
    zones_out=(),
    accepts=True,
    routes=ROUTES,
    placement="flows",
):
    """Return an entry host with agents in two zones; without routes it has no table."""
    core = EntryCore(
        "10.0.0.5",
        "a",
        [],
        Random(1),
        placement=placement,
        upload_bytes_per_s=link_bytes_per_s,
    )
    reports = tuple(
        AgentReport(host, 1, 1, zone, service, accepts, False, 2, 0, 0)
        for host, zone, service in (
            ("10.0.0.1", "a", "desk"),
            ("10.0.0.2", "b", "desk"),
            ("10.0.0.3", "b", "store"),
        )
    )
    update = Update(("c",), "c", 1, b"", 7, 1, 99.0, 99.0, True, reports)
    table = Table(1, 4, routes, zones_out=zones_out) if routes else None
    core.handle(UpdateReceived("c", update, table), 0.0)
    return core


def open_flow(core, number, port, now=0.0):
    """Let a caller open a flow; return the effects."""
    flow = make_flow(number, port)
    opening = make_packet(flow[:6], flow[6:], SYN, 1, 0)
    return core.handle(CallerPacket(opening), now)


@dataclass
class Case:
    """A state of an entry host, and what it would do with a flow."""

    name: str
    port: int
    outcome: str
    reason: str
    opened: int = 0  # Uploads opened before.
    options: dict = field(default_factory=dict)
    service: object = "desk"
    upload: tuple | None = None  # Admitted, limit, waiting.


NARROW_LINK = {"link_bytes_per_s": NARROW}
CASES = [
    Case("offered", DESK, "offered", "10.0.0.1 of 2 agents"),
    Case("zone out", DESK, "offered", "10.0.0.2 of 1 ", options={"zones_out": ("a",)}),
    Case("all zones out", DESK, "no_agent", "2 agents", 0, {"zones_out": ("a", "b")}),
    Case("closed agents", DESK, "no_agent", "none takes", 0, {"accepts": False}),
    Case("no agent known", EMPTY, "no_agent", "none: no agent", service="none"),
    Case("all weights 0", CLOSED, "no_agent", "weights", service=None),
    Case("no route", 99, "no_route", "version 4", service=None),
    Case("no table", DESK, "no_configuration", "", 0, {"routes": ()}, None),
    Case("room", UPLOAD, "offered", "", 0, NARROW_LINK, upload=(0, 1, 0)),
    Case("busy", UPLOAD, "waiting", "1 of 1", 1, NARROW_LINK, upload=(1, 1, 0)),
    Case("too many", UPLOAD, "rejected", "1 wait", 2, NARROW_LINK, upload=(1, 1, 1)),
    Case("no limit", UPLOAD, "offered", "", 2, upload=(0, 0, 0)),
]


class ExplanationTest(unittest.TestCase):
    def test_outcomes(self):
        for case, placement in product(CASES, ("flows", "cost")):
            with self.subTest(case.name, placement=placement):
                core = make_core(**case.options, placement=placement)
                for number in range(case.opened):
                    open_flow(core, number, UPLOAD)
                address = get_address(case.port)
                caller = make_flow(70, case.port)[:6]
                explanation = explain_placement(core, address, caller, 0.05)
                self.assertEqual(explanation.outcome, case.outcome)
                self.assertIn(case.reason, explanation.reason)
                self.assertEqual(explanation.service, case.service)
                found = explanation.upload
                if found is not None:
                    found = (found.admitted, found.limit, found.waiting)
                self.assertEqual(found, case.upload)

    def test_what_happens_to_the_flow_is_what_was_explained(self):
        kinds = {"waiting": "upload_delayed", "rejected": "upload_rejected"}
        for case in CASES:
            with self.subTest(case.name):
                core = make_core(**case.options)
                for number in range(case.opened):
                    open_flow(core, number, UPLOAD)
                flow = make_flow(70, case.port)
                explained = explain_placement(core, flow[6:], flow[:6], 0.05)
                effects = open_flow(core, 70, case.port, 0.05)
                hosts = [e.host for e in effects if isinstance(e, SendToAgent)]
                offered = explained.outcome == "offered"
                self.assertEqual(len(hosts), offered)
                if explained.upload is None and offered:
                    self.assertEqual(hosts, [explained.ranking[0].host])
                kind = kinds.get(explained.outcome)
                logged = {e.kind for e in effects if isinstance(e, Decision)}
                self.assertTrue(kind is None or kind in logged)

    def test_no_state_changes_and_no_random_number_is_drawn(self):
        for case in CASES:
            with self.subTest(case.name):
                core = make_core(**case.options)
                for number in range(case.opened):
                    open_flow(core, number, UPLOAD)
                before = pickle.dumps(core)
                caller = make_flow(70, case.port)[:6]
                for source in (caller, None):
                    explain_placement(core, get_address(case.port), source, 0.05)
                self.assertEqual(pickle.dumps(core), before)

    def test_weighted_route_depends_on_the_caller(self):
        core = make_core()
        address = get_address(MIXED)
        explanation = explain_placement(core, address, None, 0.0)
        self.assertEqual(explanation.service, {"desk": 0.75, "store": 0.25})
        services = {agent.service for agent in explanation.ranking}
        self.assertEqual(services, {"desk", "store"})
        found = set()
        for number in range(20):
            flow = make_flow(number, MIXED)
            explanation = explain_placement(core, address, flow[:6], 0.0)
            self.assertEqual(explanation.service, choose_service(ROUTES[2], flow))
            found.add(explanation.service)
        self.assertEqual(found, {"desk", "store"})

    def test_invalid_queries_name_field_and_value(self):
        good = socket.inet_ntoa(get_address(DESK)[:4]) + f":{DESK}"
        cases = [
            ("", "route", "''"),
            ("route=nowhere", "route", "'nowhere'"),
            ("route=1.2.3:80", "route", "'1.2.3:80'"),
            ("route=1.2.3.4:0", "route", "'1.2.3.4:0'"),
            ("route=1.2.3.4:65536", "route", "'1.2.3.4:65536'"),
            ("route=1.2.3.4:" + "9" * 5000, "route", "9999"),
            ("route=[::1]:80", "route", "'[::1]:80'"),
            (f"route={good}&caller=", "caller", "''"),
            (f"route={good}&caller=1.2.3.4", "caller", "'1.2.3.4'"),
            (f"route={good}&route={good}", "route", f"'{good}'"),
            (f"route={good}&port=7", "port", "'7'"),
        ]
        core = make_core()
        for query, name, value in cases:
            with self.subTest(query[:40]):
                status, body = answer_query(core, query, 0.0)
                error = json.loads(body)["error"]
                self.assertEqual((status, error["field"]), (400, name))
                self.assertIn(value, error["value"])
        status, body = answer_query(core, f"route={good}&caller=1.2.3.4:5", 0.0)
        answer = json.loads(body)
        self.assertEqual((status, answer["outcome"]), (200, "offered"))
        self.assertEqual(answer["placement"], "flows")
        self.assertIsNone(answer["upload"])


if __name__ == "__main__":
    unittest.main()
