"""The pace of growth over falls and over work that goes well."""

from unittest import TestCase

from fulmarshore.admission.limit import ConcurrencyLimiter
from fulmarshore.admission.pace import MAX_RECOVERY_STARTS, MIN_PACE, GrowthPace
from fulmarshore.bench.cold import run_policy
from fulmarshore.standins.work import WorkModel


def live(pace, story, now=0.0):
    """Let a pace see a story: F a fall, C cold, a number slow starts of work."""
    for act in story:
        now += 10.0
        if act == "F":
            pace.record_crash(now)
            pace.record_cold_start()
        elif act == "C":
            pace.record_cold_start()
        else:
            pace.record_work(act)


class PaceTest(TestCase):
    def test_what_a_story_leaves(self):
        table = [
            ("a fall in growth", ["C", "F"], 0.5),
            ("two of them", ["C", "F", "F"], 0.25),
            ("many", ["F"] * 20, MIN_PACE),
            ("a fall of a warm upstream", ["C", 2.0, "F"], 1.0),
            ("a fall soon after growth", ["C", 0.5, "F"], 0.5),
            ("work that goes well", ["F", 11.0], 1.0),
            ("not enough of it", ["F", 9.0], 0.5),
            ("in parts, cold between", ["F", 4.0, "C", 4.0, "C", 4.0], 1.0),
            ("one step at a time", ["F", "F", 11.0], 0.5),
            ("the faster pace was too fast", ["F", 11.0, "F", 11.0], 1.0),
            ("again too fast", ["F", 11.0, "C", "F", 11.0], 0.5),
            ("work at once is no proof", ["F", 11.0, 2.0, "C", "F", 11.0], 0.5),
            ("until it takes longer", ["F", 11.0, "C", "F", 21.0], 1.0),
        ]
        for title, story, wanted in table:
            with self.subTest(title):
                pace = GrowthPace()
                live(pace, story)
                self.assertEqual(pace.share, wanted)

    def test_a_pace_that_is_too_fast_is_tried_ever_more_seldom(self):
        pace, tries, work = GrowthPace(), 0, 0.0
        live(pace, ["F"])
        while work < 2_000.0:
            pace.record_work(1.0)
            work += 1.0
            if pace.share == 1.0:
                tries += 1
                live(pace, ["C", "F"], 100.0 * work)
        self.assertLessEqual(tries, 4 + 2_000.0 / MAX_RECOVERY_STARTS)

    def test_crashes_of_a_warm_upstream_do_not_slow_it(self):
        model = WorkModel(slots=1, warm_up_s=5.0)
        limiter = ConcurrencyLimiter(1, model.cold_share, model.warm_up_s)
        crashes = iter(range(50, 10_000, 50))
        due = [next(crashes)]

        def crash(work, now):
            if now >= due[0]:
                due[0] = next(crashes)
                work.crash()

        outcome = run_policy("u", "own", limiter, model, 1, crash, 400.0)
        self.assertEqual(outcome.overloads, 0)
        self.assertGreater(outcome.answers_per_s, 0.7 / model.service_s)
