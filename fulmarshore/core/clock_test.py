from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.core.clock import MAX_AHEAD_S, HybridClock, make_value, read_seconds
from fulmarshore.standins import profiles  # noqa: F401

# Each step: index of the process, whether it sends to the other, its clock in us.
STEPS = st.lists(
    st.tuples(st.integers(0, 1), st.booleans(), st.integers(10**15, 10**15 + 10**6)),
    max_size=60,
)


class HybridClockTest(TestCase):
    @given(STEPS)
    def test_causes_come_before_effects_whatever_the_clocks_say(self, steps):
        clocks = [HybridClock(), HybridClock()]
        for actor, sends, now_us in steps:
            before = clocks[actor].value
            value = clocks[actor].advance(now_us)
            self.assertGreater(value, before)
            if not sends:
                continue
            other = clocks[1 - actor]
            other.observe(value, now_us)
            self.assertGreater(other.advance(10**15), value)

    def test_value_far_ahead_is_rejected(self):
        now_us = 10**15
        for ahead_s, followed in ((MAX_AHEAD_S - 1, True), (MAX_AHEAD_S + 1, False)):
            with self.subTest(ahead_s):
                clock = HybridClock()
                value = make_value(now_us / 1e6 + ahead_s)
                clock.observe(value, now_us)
                self.assertEqual(clock.value == value, followed)
                self.assertEqual(clock.rejected, int(not followed))

    def test_value_converts_back_to_real_time(self):
        self.assertAlmostEqual(read_seconds(make_value(1.7e9 + 0.25)), 1.7e9 + 0.25)
