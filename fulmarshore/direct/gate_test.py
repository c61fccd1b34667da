"""Admission gate of an agent: which flows it admits, and why it refuses others."""

import socket
import unittest
from dataclasses import dataclass

from fulmarshore.direct.gate import Gate, UpstreamBounds
from fulmarshore.direct.records import (
    Backend,
    Route,
    ServicePolicy,
    Table,
    UpstreamAnnounced,
)
from fulmarshore.direct.tables import TableIndex

ADDRESS = socket.inet_aton("198.18.0.1") + (443).to_bytes(2)
OTHER = socket.inet_aton("198.18.0.1") + (80).to_bytes(2)


def make_gate(zones_out=(), cold_per_s=0.0, has_table=True):
    """Return a gate whose table has two services."""
    tables = TableIndex()
    routes = (
        Route(ADDRESS, (Backend("desk", 1), Backend("idle", 0))),
        Route(OTHER, (Backend("store", 1),)),
    )
    services = (
        ServicePolicy("desk", 10, cold_per_s),
        ServicePolicy("store", 10, cold_per_s),
    )
    if has_table:
        tables.replace(Table(1, 1, routes, services, 15.0, tuple(zones_out)))
    return Gate(tables, UpstreamBounds(1.5, 5))


def make_announcement(**changes):
    """Return an announcement of an upstream."""
    fields = {
        "upstream": "u-1",
        "born_ms": 1000,
        "sequence": 1,
        "service": "desk",
        "zone": "a",
        "slots": 1,
        "is_ready": True,
        "cold_s": 0.0,
    }
    return UpstreamAnnounced(**{**fields, **changes})


@dataclass
class Case:
    """An announcement, a flow, and the reason for its refusal, if any."""

    name: str
    reason: str | None
    announced: dict | None = None
    address: bytes = ADDRESS
    flows: int = 0
    at: float = 1.0
    zones_out: tuple = ()
    has_table: bool = True


CASES = [
    Case("ready upstream", None, {}),
    Case("no announcement", "no_upstream"),
    Case("no configuration", "no_configuration", {}, has_table=False),
    Case("draining upstream", "upstream_draining", {"is_ready": False}),
    Case("next announcement in flight", None, {}, at=1.8),
    Case("no announcement until its address is reused", "upstream_silent", {}, at=2.0),
    Case("zone out", "zone_out", {}, zones_out=("a",)),
    Case("another zone out", None, {}, zones_out=("b",)),
    Case("route of another service", "other_service", {}, address=OTHER),
    Case("service without weight", "other_service", {"service": "idle"}),
    Case("unknown route", "other_service", {}, address=bytes(6)),
    Case("one flow below its limit", None, {}, flows=9),
    Case("at its flow limit", "upstream_full", {}, flows=10),
    Case("cold, no rate stated", None, {"cold_s": 9.0}),
    Case("cold start over", None, {"cold_s": 0.5}),
]


class GateTest(unittest.TestCase):
    def test_refusal_reasons(self):
        for case in CASES:
            with self.subTest(case.name):
                gate = make_gate(case.zones_out, has_table=case.has_table)
                if case.announced is not None:
                    gate.handle_announcement(make_announcement(**case.announced), 0.0)
                found = gate.admit(case.address, case.flows, case.at)
                self.assertEqual(found, case.reason)

    def test_capacity_is_two_requests_per_slot(self):
        for slots, busy, expected in ((1, 1, True), (1, 2, False), (3, 5, True)):
            with self.subTest(slots=slots, busy=busy):
                gate = make_gate()
                gate.handle_announcement(make_announcement(slots=slots), 0.0)
                self.assertEqual(gate.has_capacity(busy), expected)

    def test_cold_upstream_gets_at_most_the_rate_of_its_service(self):
        for rate, most in ((1.0, 5), (4.0, 10), (20.0, 34)):
            with self.subTest(rate=rate):
                gate = make_gate(cold_per_s=rate)
                gate.handle_announcement(make_announcement(cold_s=60.0), 0.0)
                times = []
                for step in range(400):
                    now = step * 0.01
                    if gate.admit(ADDRESS, 0, now) is None:
                        times.append(now)
                    gate.handle_announcement(
                        make_announcement(cold_s=60.0, sequence=step + 2), now
                    )
                for start in times:
                    inside = [at for at in times if start <= at <= start + 1.0]
                    self.assertLessEqual(len(inside), most)
                    self.assertLessEqual(len(inside), rate * 1.5 + 5)
                self.assertGreaterEqual(len(times), 2 * most)

    def test_outdated_announcements_are_ignored(self):
        cases = [
            ("next announcement", {"sequence": 6}, "newer"),
            ("same announcement again", {"sequence": 5}, "late"),
            ("earlier announcement", {"sequence": 2}, "late"),
            ("next incarnation", {"upstream": "u-2", "born_ms": 2000}, "new"),
            ("same name, later start", {"born_ms": 2000, "sequence": 1}, "new"),
            ("earlier incarnation", {"upstream": "u-0", "born_ms": 500}, "late"),
            ("same name, earlier start", {"born_ms": 500, "sequence": 99}, "late"),
        ]
        for name, changes, expected in cases:
            with self.subTest(name):
                gate = make_gate()
                gate.handle_announcement(make_announcement(sequence=5), 0.0)
                changed = make_announcement(
                    **{"service": "store", "sequence": 1, **changes}
                )
                self.assertEqual(gate.handle_announcement(changed, 1.0), expected)
                service = "desk" if expected == "late" else "store"
                self.assertEqual(gate.service, service)

    def test_incarnation_whose_clock_was_set_back_is_recognized(self):
        cases = [
            ("the other one goes on", [(1.5, 6), (2.5, 7)], "desk"),
            ("the other one stops", [], "store"),
        ]
        for name, announcements, expected in cases:
            with self.subTest(name):
                gate = make_gate()
                gate.handle_announcement(
                    make_announcement(sequence=5, born_ms=9000), 0.0
                )
                events = [
                    (at, make_announcement(sequence=n, born_ms=9000))
                    for at, n in announcements
                ]
                for number in range(1, 5):
                    late = make_announcement(
                        upstream="u-2", service="store", born_ms=8000, sequence=number
                    )
                    events.append((number * 0.9, late))
                for at, announcement in sorted(events, key=lambda event: event[0]):
                    gate.handle_announcement(announcement, at)
                self.assertEqual(gate.service, expected)
        gate = make_gate()
        gate.handle_announcement(make_announcement(born_ms=9000), 0.0)
        for _ in range(3):
            gate.handle_announcement(
                make_announcement(upstream="u-2", service="store", born_ms=8000), 3.0
            )
        self.assertEqual(gate.service, "desk")

    def test_timeout_ends_before_the_address_may_be_reused(self):
        cases = [(0.77, 2.0, 1.9), (1.2, 2.0, 1.9), (0.2, 2.0, 0.7), (3.0, 2.0, 3.9)]
        for interval, reuse, expected in cases:
            with self.subTest(interval=interval):
                bounds = UpstreamBounds(1.5, 5, interval, reuse)
                self.assertAlmostEqual(bounds.timeout_s, expected)

    def test_departure_of_another_incarnation_is_ignored(self):
        gate = make_gate()
        gate.handle_announcement(make_announcement(), 0.0)
        self.assertFalse(gate.handle_departure("u-0"))
        self.assertIsNone(gate.find_closed_reason(0.1))
        self.assertTrue(gate.handle_departure("u-1"))
        self.assertEqual(gate.find_closed_reason(0.1), "upstream_gone")


if __name__ == "__main__":
    unittest.main()
