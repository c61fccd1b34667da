"""Drains on the word of health endpoints, in services of several upstreams."""

from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.admission.hinteddrain import (
    DRAIN_LIFE_S,
    MIN_HOLD_OFF_S,
    MIN_WELL_S,
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
VIEW_S = 0.2
"""Time until the others know an announcement."""
STEP_S = 0.1
DRAINING, HEALTHY, UNHEALTHY = Health.DRAINING, Health.HEALTHY, Health.UNHEALTHY


class World:
    """Agents of one service that learn each other's state a little later."""

    def __init__(self, members):
        self.drains = {name: HintedDrain(name) for name in "abcdefghij"[:members]}
        self.said = {}
        self.has_lease = True
        self.is_told = True
        self.now = 0.0
        self.drained_by_operator = set()
        self.past = [(0.0, set())]
        self.least = members

    def make_table(self):
        known = next(on for at, on in reversed(self.past) if at <= self.now - VIEW_S)
        found = []
        for name in self.drains:
            member = Member(name, 1, "s", "z", "127.0.0.1", 1)
            if name in known | self.drained_by_operator:
                member = replace(member, state=MemberState.DRAINING)
            found.append(member)
        return ServiceTable(SERVICE, PROFILE, tuple(found))

    def run(self, seconds):
        until = self.now + seconds
        asked_at = self.now - 1.0
        while self.now < until - 1e-9:
            self.now += STEP_S
            if self.now - asked_at >= 1.0 - 1e-9:
                asked_at = self.now
                for name, health in self.said.items():
                    if health is not None:
                        self.drains[name].record_hint(health, self.now)
            table = self.make_table() if self.now > VIEW_S else None
            if table is None:
                continue
            for drain in self.drains.values():
                drain.decide(table, self.has_lease, self.now)
            if self.is_told:
                self.past.append((self.now, self.list_on()))
            on = self.list_on() | self.drained_by_operator
            self.least = min(self.least, len(self.drains) - len(on))

    def list_on(self):
        return {name for name, drain in self.drains.items() if drain.is_active}


class HintedDrainTest(TestCase):
    def test_who_drains(self):
        table = [
            ("one that leaves", 3, {"c": DRAINING}, {"c"}),
            ("one word of several", 3, {"c": UNHEALTHY}, set()),
            ("the only one", 1, {"a": DRAINING}, set()),
            ("one of two", 2, dict.fromkeys("ab", DRAINING), {"a"}),
            ("all of three", 3, dict.fromkeys("abc", DRAINING), {"a"}),
            ("all of seven", 7, dict.fromkeys("abcdefg", DRAINING), set("abc")),
            ("three of seven", 7, dict.fromkeys("efg", DRAINING), set("efg")),
        ]
        for title, members, said, wanted in table:
            with self.subTest(title):
                world = World(members)
                world.said = said
                world.run(6.0)
                self.assertEqual(world.list_on(), wanted)
                self.assertGreaterEqual(world.least, count_min_accepting(members))
                world.run(120.0)
                self.assertEqual(world.list_on(), wanted)

    def test_one_word_is_not_enough(self):
        world = World(3)
        world.said = {"b": DRAINING}
        world.run(1.0)
        world.said = {"b": HEALTHY}
        world.run(5.0)
        self.assertEqual(world.list_on(), set())

    def test_operators_drains_leave_less_to_endpoints(self):
        world = World(3)
        world.drained_by_operator = {"a"}
        world.said = dict.fromkeys("bc", DRAINING)
        world.run(20.0)
        self.assertEqual(world.list_on(), set())

    def test_when_a_drain_ends(self):
        table = [
            ("well for long enough", {"c": HEALTHY}, MIN_WELL_S + 2.0, set()),
            ("well for too short", {"c": HEALTHY}, MIN_WELL_S - 2.0, {"c"}),
            ("sick is not well", {"c": UNHEALTHY}, MIN_WELL_S + 2.0, {"c"}),
            ("silent", {"c": None}, DRAIN_LIFE_S - 2.0, {"c"}),
            ("silent for long", {"c": None}, DRAIN_LIFE_S + 2.0, set()),
            ("never leaves", {"c": DRAINING}, 600.0, set()),
        ]
        for title, said, seconds, wanted in table:
            with self.subTest(title):
                world = World(3)
                world.said = {"c": DRAINING}
                world.run(6.0)
                self.assertEqual(world.list_on(), {"c"})
                world.said = said
                world.run(seconds)
                self.assertEqual(world.list_on(), wanted)

    def test_the_last_one_comes_back(self):
        world = World(3)
        world.said = {"c": DRAINING}
        world.run(6.0)
        world.drained_by_operator = {"a", "b"}
        world.run(3.0)
        self.assertEqual(world.list_on(), set())
        world.drained_by_operator = set()
        world.run(MIN_HOLD_OFF_S - 5.0)
        self.assertEqual(world.list_on(), set(), "held off")

    def test_nothing_that_control_cannot_tell(self):
        world = World(3)
        world.has_lease = False
        world.said = {"c": DRAINING}
        world.run(10.0)
        self.assertEqual(world.list_on(), set())
        world.has_lease, world.is_told = True, False
        world.run(3.0)
        self.assertEqual(world.list_on(), {"c"})
        world.run(5.0)
        self.assertEqual(world.list_on(), set())

    def test_an_endpoint_that_does_not_keep_its_word(self):
        world = World(3)
        drained = 0
        for turn in range(200):
            world.said = {"a": HEALTHY if turn % 3 == 2 else DRAINING}
            world.run(1.0)
            drained += "a" in world.list_on()
        self.assertGreater(drained, 0)
        self.assertLess(drained, 40)
