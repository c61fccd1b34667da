from unittest import TestCase

from fulmarshore.admission.limit import ConcurrencyLimiter


def run_load(limiter, service_time, seconds, now=0.0):
    """Apply full load for some seconds; return the end time and the starts."""
    running, starts, until = [], 0, now + seconds
    while now < until:
        for began in [b for b in running if now - b >= service_time - 1e-9]:
            limiter.record_answer(len(running), now - began, now)
            running.remove(began)
        while limiter.try_acquire(len(running), now):
            running.append(now)
            starts += 1
        now += 0.01
    return now, starts


class ConcurrencyLimiterTest(TestCase):
    def test_grows_with_work_to_all_slots(self):
        for slots in (1, 3, 8):
            with self.subTest(slots=slots):
                limiter = ConcurrencyLimiter(slots, 0.1, 20.0)
                _, starts = run_load(limiter, 0.1, 2.0)
                self.assertLessEqual(starts * 0.1, 0.2 * slots * 2.0 + 0.2)
                self.assertGreater(starts, 0)
                run_load(limiter, 0.1, 30.0, 2.0)
                self.assertEqual(limiter.limit, slots)

    def test_idle_time_does_not_raise_the_limit(self):
        limiter = ConcurrencyLimiter(3, 0.1, 20.0)
        limiter.try_acquire(0, 1000.0)
        self.assertAlmostEqual(limiter.limit, 0.3)

    def test_drops_at_once_on_signs_of_overload(self):
        def answer_slowly(limiter, now):
            for number in range(2):
                limiter.record_answer(1, 0.3, now + number)

        table = [
            ("slow answers", answer_slowly, 0.3),
            ("shed", lambda limiter, now: limiter.record_shed(3, now), 1.5),
            ("timeout", lambda limiter, now: limiter.record_timeout(1.0, now), 0.3),
            (
                "timeout soon after the start",
                lambda lim, now: lim.record_timeout(0.1, now),
                3.0,
            ),
            ("crash", lambda limiter, now: limiter.record_upstream_crash(now), 0.3),
            ("hint", lambda limiter, now: limiter.apply_hint(0.5), 1.5),
        ]
        for title, action, expected in table:
            with self.subTest(title):
                limiter = ConcurrencyLimiter(3, 0.1, 5.0)
                now, _ = run_load(limiter, 0.1, 20.0)
                self.assertEqual(limiter.limit, 3.0)
                action(limiter, now)
                self.assertLessEqual(abs(limiter.limit - expected), 0.1)

    def test_hint_never_raises_the_limit(self):
        limiter = ConcurrencyLimiter(3, 0.1, 5.0)
        limiter.apply_hint(1.0)
        self.assertAlmostEqual(limiter.limit, 0.3)

    def test_hint_keeps_the_measured_limit(self):
        for share in (0.0, 0.5):
            with self.subTest(share=share):
                limiter = ConcurrencyLimiter(3, 0.1, 5.0)
                run_load(limiter, 0.1, 20.0)
                limiter.apply_hint(share)
                self.assertAlmostEqual(limiter.limit, max(share, 0.1) * 3)
                self.assertFalse(limiter.is_cold)
                limiter.apply_hint(1.0)
                self.assertEqual(limiter.limit, 3.0)

    def test_limit_below_one_spaces_out_requests(self):
        limiter = ConcurrencyLimiter(1, 0.1, 1e9)
        _, starts = run_load(limiter, 0.1, 100.0)
        self.assertGreaterEqual(starts, 90)
        self.assertLessEqual(starts, 110)

    def test_lower_slots_apply_at_once(self):
        for slots, limit in ((1, 1.0), (2, 1.5)):
            with self.subTest(slots=slots):
                limiter = ConcurrencyLimiter(3, 0.5, 5.0)
                limiter.configure(slots, 0.5, 5.0)
                self.assertEqual(limiter.limit, limit)
                self.assertFalse(limiter.try_acquire(slots, 0.0))
