"""Drains that health endpoints ask for, in services of several upstreams."""

from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.admission.hinteddrain import (
    DRAIN_LIFE_S,
    MIN_HEALTHY_S,
    MIN_HOLD_OFF_S,
    HintedDrain,
    count_min_accepting,
)
from fulmarshore.core.records import (
    Health,
    Member,
    MemberState,
    Profile,
    Service,
    TrafficKind,
)
from fulmarshore.routing.table import ServiceTable

PROFILE = Profile("p", TrafficKind.FEED, drain_timeout=600.0)
SERVICE = Service("s", "p", "127.0.0.9", 80)
PROPAGATION_S = 0.2
"""Time until an announcement reaches the other agents."""
STEP_S = 0.1
DRAINING, HEALTHY, UNHEALTHY = Health.DRAINING, Health.HEALTHY, Health.UNHEALTHY


class ServiceSimulation:
    """Agents of one service that receive each other's state with a delay."""

    def __init__(self, members):
        self.drains = {name: HintedDrain(name) for name in "abcdefghij"[:members]}
        self.hints = {}
        self.has_lease = True
        self.is_published = True
        self.now = 0.0
        self.drained_by_operator = set()
        self.history = [(0.0, set())]
        self.min_accepting = members

    def make_table(self):
        draining = next(
            names
            for at, names in reversed(self.history)
            if at <= self.now - PROPAGATION_S
        )
        found = []
        for name in self.drains:
            member = Member(name, 1, "s", "z", "127.0.0.1", 1)
            if name in draining | self.drained_by_operator:
                member = replace(member, state=MemberState.DRAINING)
            found.append(member)
        return ServiceTable(SERVICE, PROFILE, tuple(found))

    def run(self, seconds):
        until = self.now + seconds
        hinted_at = self.now - 1.0
        while self.now < until - 1e-9:
            self.now += STEP_S
            if self.now - hinted_at >= 1.0 - 1e-9:
                hinted_at = self.now
                for name, health in self.hints.items():
                    if health is not None:
                        self.drains[name].record_hint(health, self.now)
            table = self.make_table() if self.now > PROPAGATION_S else None
            if table is None:
                continue
            for drain in self.drains.values():
                drain.decide(table, self.has_lease, self.now)
            if self.is_published:
                self.history.append((self.now, self.list_draining()))
            names = self.list_draining() | self.drained_by_operator
            self.min_accepting = min(self.min_accepting, len(self.drains) - len(names))

    def list_draining(self):
        return {name for name, drain in self.drains.items() if drain.is_active}


class HintedDrainTest(TestCase):
    def test_which_upstreams_drain(self):
        table = [
            ("one of three", 3, {"c": DRAINING}, {"c"}),
            ("unhealthy is not draining", 3, {"c": UNHEALTHY}, set()),
            ("the only one", 1, {"a": DRAINING}, set()),
            ("one of two", 2, dict.fromkeys("ab", DRAINING), {"a"}),
            ("all of three", 3, dict.fromkeys("abc", DRAINING), {"a"}),
            ("all of seven", 7, dict.fromkeys("abcdefg", DRAINING), set("abc")),
            ("three of seven", 7, dict.fromkeys("efg", DRAINING), set("efg")),
        ]
        for title, members, hints, expected in table:
            with self.subTest(title):
                service = ServiceSimulation(members)
                service.hints = hints
                service.run(6.0)
                self.assertEqual(service.list_draining(), expected)
                self.assertGreaterEqual(
                    service.min_accepting, count_min_accepting(members)
                )
                service.run(120.0)
                self.assertEqual(service.list_draining(), expected)

    def test_single_draining_hint_starts_no_drain(self):
        service = ServiceSimulation(3)
        service.hints = {"b": DRAINING}
        service.run(1.0)
        service.hints = {"b": HEALTHY}
        service.run(5.0)
        self.assertEqual(service.list_draining(), set())

    def test_drains_of_operators_count_towards_the_limit(self):
        service = ServiceSimulation(3)
        service.drained_by_operator = {"a"}
        service.hints = dict.fromkeys("bc", DRAINING)
        service.run(20.0)
        self.assertEqual(service.list_draining(), set())

    def test_when_a_drain_ends(self):
        table = [
            ("healthy for long enough", {"c": HEALTHY}, MIN_HEALTHY_S + 2.0, set()),
            ("healthy for too short", {"c": HEALTHY}, MIN_HEALTHY_S - 2.0, {"c"}),
            ("unhealthy is not healthy", {"c": UNHEALTHY}, MIN_HEALTHY_S + 2.0, {"c"}),
            ("no hints, drain not expired", {"c": None}, DRAIN_LIFE_S - 2.0, {"c"}),
            ("no hints, drain expired", {"c": None}, DRAIN_LIFE_S + 2.0, set()),
            ("drain timeout", {"c": DRAINING}, 600.0, set()),
        ]
        for title, hints, seconds, expected in table:
            with self.subTest(title):
                service = ServiceSimulation(3)
                service.hints = {"c": DRAINING}
                service.run(6.0)
                self.assertEqual(service.list_draining(), {"c"})
                service.hints = hints
                service.run(seconds)
                self.assertEqual(service.list_draining(), expected)

    def test_drain_ends_if_no_other_member_accepts(self):
        service = ServiceSimulation(3)
        service.hints = {"c": DRAINING}
        service.run(6.0)
        service.drained_by_operator = {"a", "b"}
        service.run(3.0)
        self.assertEqual(service.list_draining(), set())
        service.drained_by_operator = set()
        service.run(MIN_HOLD_OFF_S - 5.0)
        self.assertEqual(
            service.list_draining(), set(), "no new drain during the hold-off"
        )

    def test_drain_needs_control(self):
        service = ServiceSimulation(3)
        service.has_lease = False
        service.hints = {"c": DRAINING}
        service.run(10.0)
        self.assertEqual(service.list_draining(), set())
        service.has_lease, service.is_published = True, False
        service.run(3.0)
        self.assertEqual(service.list_draining(), {"c"})
        service.run(5.0)
        self.assertEqual(service.list_draining(), set())

    def test_flapping_endpoint_drains_rarely(self):
        service = ServiceSimulation(3)
        drained_s = 0
        for second in range(200):
            service.hints = {"a": HEALTHY if second % 3 == 2 else DRAINING}
            service.run(1.0)
            drained_s += "a" in service.list_draining()
        self.assertGreater(drained_s, 0)
        self.assertLess(drained_s, 40)
