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
    EndpointHints,
)
from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.core.records import Health, HintSource, UpstreamHint
from fulmarshore.standins import profiles  # noqa: F401

UNHEALTHY = UpstreamHint(HintSource.HEALTH, Health.UNHEALTHY)
HEALTHY = UpstreamHint(HintSource.HEALTH)
DRAINING = UpstreamHint(HintSource.HEALTH, Health.DRAINING)
HALF = UpstreamHint(HintSource.LOAD, share=0.5)
SLOTS = 3
SERVICE_S = 0.1


def ask_for(endpoints, hint, seconds, now, successes=0, overload_signs=0):
    """Let an endpoint say one thing for a time, beside work a second."""
    for second in range(seconds):
        endpoints.record_hint(hint, now + second)
        seen = (
            endpoints._successes + successes,
            endpoints._overload_signs + overload_signs,
        )
        endpoints.record_work(*seen, now + second + 0.5)
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
                endpoints = EndpointHints()
                for hint in hints:
                    self.assertTrue(endpoints.record_hint(hint, 0.0))
                self.assertEqual(endpoints.get_share(0.1), wanted)

    def test_what_makes_no_sense_is_left(self):
        for share in (math.nan, math.inf, -0.1, 1.5):
            with self.subTest(share=share):
                endpoints = EndpointHints()
                hint = UpstreamHint(HintSource.LOAD, share=share)
                self.assertFalse(endpoints.record_hint(hint, 0.0))
                self.assertEqual(endpoints.get_share(0.1), 1.0)

    def test_a_hint_that_is_not_renewed_ends(self):
        endpoints = EndpointHints()
        endpoints.record_hint(UNHEALTHY, 0.0)
        self.assertEqual(endpoints.get_share(HINT_LIFE_S - 0.1), 0.0)
        self.assertEqual(endpoints.get_share(HINT_LIFE_S), 1.0)

    def test_work_that_goes_well_speaks_against_it(self):
        table = [
            ("good work", 3, 0, 1.0),
            ("no work", 0, 0, 0.0),
            ("signs of overload", 3, 1, 0.0),
        ]
        for title, successes, overload_signs, wanted in table:
            with self.subTest(title):
                endpoints = EndpointHints()
                now = ask_for(endpoints, UNHEALTHY, 5, 0.0, successes, overload_signs)
                self.assertEqual(endpoints.get_share(now), wanted)

    def test_work_from_before_the_hint_does_not_count(self):
        endpoints = EndpointHints()
        endpoints.record_hint(UNHEALTHY, 0.0)
        self.assertEqual(endpoints.record_work(CONTRADICTION_COUNT, 0, 0.2), [])
        self.assertEqual(endpoints.get_share(0.2), 0.0)

    def test_one_that_comes_and_goes_is_judged_as_one(self):
        endpoints = EndpointHints()
        for second in range(20):
            ask_for(
                endpoints,
                (UNHEALTHY, HEALTHY)[second % 2],
                1,
                float(second),
                successes=1,
            )
        endpoints.record_hint(UNHEALTHY, 20.0)
        self.assertEqual(endpoints.get_share(20.1), 1.0)

    def test_a_stuck_endpoint_costs_less_each_time(self):
        endpoints = EndpointHints()
        lowered, told, now = 0, 0, 0.0
        while now < 4.0 * MAX_DISTRUST_S:
            endpoints.record_hint(UNHEALTHY, now)
            lowered += endpoints.get_share(now) < 1.0
            told += len(endpoints.record_work(endpoints._successes + 2, 0, now))
            now += 1.0
        self.assertLess(lowered / now, 0.02)
        self.assertLessEqual(told, 8)

    def test_it_is_believed_again(self):
        endpoints = EndpointHints()
        now = ask_for(endpoints, UNHEALTHY, 5, 0.0, successes=3)
        self.assertEqual(endpoints.get_share(now), 1.0)
        endpoints.record_hint(UNHEALTHY, MIN_DISTRUST_S + 10.0)
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
        plain, hinted = (
            ConcurrencyLimiter(SLOTS, 0.1, 5.0),
            ConcurrencyLimiter(SLOTS, 0.1, 5.0),
        )
        endpoints = EndpointHints()
        running, now = 0, 0.0
        for act, passed in steps:
            now += passed
            if isinstance(act, tuple):
                endpoints.record_hint(UpstreamHint(*act), now)
            else:
                running = do_work(act, running, (plain, hinted), now)
            endpoints.record_work(hinted.successes, hinted.overload_signs, now)
            hinted.apply_hint(endpoints.get_share(now))
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
                limiter.record_answer(running, SERVICE_S, now)
            case "slow":
                limiter.record_answer(running, 5.0 * SERVICE_S, now)
            case "shed":
                limiter.record_shed(running, now)
            case "gone":
                limiter.record_upstream_crash(now)
            case "late":
                limiter.record_timeout(2.0, now)
    return running - 1
