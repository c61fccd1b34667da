from unittest import TestCase

from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.bench.cold import FixedLimit, ScheduledLimit, run_policy
from fulmarshore.standins.work import WorkModel

MAX_TIME_RATIO = 1.5
"""Target for the time to full capacity over that of the best fixed schedule."""


class ColdTest(TestCase):
    def test_limiter_reaches_full_capacity_soon_without_overload(self):
        for slots in (1, 3):
            with self.subTest(slots=slots):
                model = WorkModel(slots=slots)
                limiter = ConcurrencyLimiter(slots, model.cold_share, model.warm_up_s)
                own = run_policy("u", "own", limiter, model, 2)
                schedule = ScheduledLimit(slots, model.cold_share, model.warm_up_s)
                best = run_policy("u", "schedule", schedule, model, 2)
                self.assertEqual(own.overloads, 0)
                for mine, other in (
                    (own.time_to_full_s, best.time_to_full_s),
                    (own.time_to_full_again_s, best.time_to_full_again_s),
                ):
                    self.assertGreater(mine, 0.0)
                    self.assertLessEqual(mine, MAX_TIME_RATIO * other)

    def test_simulated_upstream_is_overloaded_without_a_limit(self):
        outcome = run_policy("u", "none", FixedLimit(3, 6.0), WorkModel(slots=3), 2)
        self.assertGreater(outcome.overloads, 0)
