"""Hints only lower, for a time, and not against what the agent sees."""

import math
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.admission.endpoints import (
    CONTRADICTION_COUNT,
    HINT_LIFE_S,
    MAX_DISTRUST_S,
    MIN_DISTRUST_S,
    Endpoints,
)
from fulmarshore.admission.limit import Limiter
from fulmarshore.core.records import Health, HintSource, UpstreamHint
from fulmarshore.standins import profiles  # noqa: F401

UNHEALTHY = UpstreamHint(HintSource.HEALTH, Health.UNHEALTHY)
HEALTHY = UpstreamHint(HintSource.HEALTH)
DRAINING = UpstreamHint(HintSource.HEALTH, Health.DRAINING)
HALF = UpstreamHint(HintSource.LOAD, share=0.5)
SLOTS = 3
SERVICE_S = 0.1


def ask_for(endpoints, hint, seconds, now, good=0, bad=0):
    """Let an endpoint say one thing for a time, beside work a second."""
    for second in range(seconds):
        endpoints.take(hint, now + second)
        seen = (endpoints._good + good, endpoints._bad + bad)
        endpoints.observe(*seen, now + second + 0.5)
    return now + seconds


class EndpointsTest(TestCase):
    def test_what_each_word_allows(self):
        table = [
            ("nothing said", [], 1.0),
            ("well", [HEALTHY], 1.0),
            ("draining is no sickness", [DRAINING], 1.0),
            ("sick", [UNHEALTHY], 0.0),
            ("load", [HALF], 0.5),
            ("the lower of both", [HALF, UNHEALTHY], 0.0),
            ("well does not lift the load's", [HALF, HEALTHY], 0.5),
            ("taken back", [UNHEALTHY, HEALTHY], 1.0),
        ]
        for title, hints, wanted in table:
            with self.subTest(title):
                endpoints = Endpoints()
                for hint in hints:
                    self.assertTrue(endpoints.take(hint, 0.0))
                self.assertEqual(endpoints.get_share(0.1), wanted)

    def test_what_makes_no_sense_is_left(self):
        for share in (math.nan, math.inf, -0.1, 1.5):
            with self.subTest(share=share):
                endpoints = Endpoints()
                hint = UpstreamHint(HintSource.LOAD, share=share)
                self.assertFalse(endpoints.take(hint, 0.0))
                self.assertEqual(endpoints.get_share(0.1), 1.0)

    def test_a_hint_that_is_not_renewed_ends(self):
        endpoints = Endpoints()
        endpoints.take(UNHEALTHY, 0.0)
        self.assertEqual(endpoints.get_share(HINT_LIFE_S - 0.1), 0.0)
        self.assertEqual(endpoints.get_share(HINT_LIFE_S), 1.0)

    def test_work_that_goes_well_speaks_against_it(self):
        table = [
            ("good work", 3, 0, 1.0),
            ("no work", 0, 0, 0.0),
            ("signs of overload", 3, 1, 0.0),
        ]
        for title, good, bad, wanted in table:
            with self.subTest(title):
                endpoints = Endpoints()
                now = ask_for(endpoints, UNHEALTHY, 5, 0.0, good, bad)
                self.assertEqual(endpoints.get_share(now), wanted)

    def test_work_from_before_the_hint_does_not_count(self):
        endpoints = Endpoints()
        endpoints.take(UNHEALTHY, 0.0)
        self.assertEqual(endpoints.observe(CONTRADICTION_COUNT, 0, 0.2), [])
        self.assertEqual(endpoints.get_share(0.2), 0.0)

    def test_one_that_comes_and_goes_is_judged_as_one(self):
        endpoints = Endpoints()
        for second in range(20):
            ask_for(
                endpoints, (UNHEALTHY, HEALTHY)[second % 2], 1, float(second), good=1
            )
        endpoints.take(UNHEALTHY, 20.0)
        self.assertEqual(endpoints.get_share(20.1), 1.0)

    def test_a_stuck_endpoint_costs_less_each_time(self):
        endpoints = Endpoints()
        lowered, told, now = 0, 0, 0.0
        while now < 4.0 * MAX_DISTRUST_S:
            endpoints.take(UNHEALTHY, now)
            lowered += endpoints.get_share(now) < 1.0
            told += len(endpoints.observe(endpoints._good + 2, 0, now))
            now += 1.0
        self.assertLess(lowered / now, 0.02)
        self.assertLessEqual(told, 8)

    def test_it_is_believed_again(self):
        endpoints = Endpoints()
        now = ask_for(endpoints, UNHEALTHY, 5, 0.0, good=3)
        self.assertEqual(endpoints.get_share(now), 1.0)
        endpoints.take(UNHEALTHY, MIN_DISTRUST_S + 10.0)
        self.assertEqual(endpoints.get_share(MIN_DISTRUST_S + 10.0), 0.0)


ACTS = st.one_of(
    st.sampled_from(["start", "finish", "slow", "shed", "gone", "late"]),
    st.tuples(
        st.sampled_from(HintSource),
        st.sampled_from(Health),
        st.one_of(st.floats(0.0, 1.0), st.floats()),
    ),
)


class NeverRaisesTest(TestCase):
    @given(st.lists(st.tuples(ACTS, st.floats(0.0, 3.0)), max_size=80))
    def test_hints_never_raise_a_limit(self, steps):
        plain, hinted = Limiter(SLOTS, 0.1, 5.0), Limiter(SLOTS, 0.1, 5.0)
        endpoints = Endpoints()
        running, now = 0, 0.0
        for act, passed in steps:
            now += passed
            if isinstance(act, tuple):
                endpoints.take(UpstreamHint(*act), now)
            else:
                running = do_work(act, running, (plain, hinted), now)
            endpoints.observe(hinted.good, hinted.bad, now)
            hinted.suggest(endpoints.get_share(now))
            self.assertLessEqual(hinted.limit, plain.limit)
            self.assertGreaterEqual(hinted.limit, 0.1 * SLOTS)
            has_room = plain.has_room(running, now)
            self.assertLessEqual(hinted.has_room(running, now), has_room)


def do_work(act, running, limiters, now):
    """Let all limiters see the same and return the requests in work."""
    if act == "start":
        return min(running + 1, SLOTS)
    if running == 0:
        return 0
    for limiter in limiters:
        match act:
            case "finish":
                limiter.finish(running, SERVICE_S, now)
            case "slow":
                limiter.finish(running, 5.0 * SERVICE_S, now)
            case "shed":
                limiter.shed(running, now)
            case "gone":
                limiter.fall_over(now)
            case "late":
                limiter.time_out(2.0, now)
    return running - 1
