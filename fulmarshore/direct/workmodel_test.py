"""Estimates of waits and service times, against simulated upstreams."""

import heapq
import unittest
from dataclasses import dataclass
from random import Random

from fulmarshore.direct.servicetimes import ServiceTimes
from fulmarshore.direct.workmodel import MAX_OVERTAKEN_S, MAX_ROUTES, WorkModel

TICK_S = 0.1
SMALL, LARGE = b"small.", b"large."


def draw_equal(random):
    """Return a request of 20 ms: address, seconds, seconds expected at its start."""
    return SMALL, 0.02, 0.02


def draw_tail(random):
    """Return a request of 20 ms, or seven times as long in 3 of 100 cases."""
    return SMALL, 0.02 * (7 if random.random() < 0.03 else 1), 0.0236


def draw_kinds(random):
    """Return a request of one of two kinds, 5 ms and 72 ms."""
    return random.choice([(SMALL, 0.005, 0.005), (LARGE, 0.072, 0.072)])


def expect_wait(jobs, slots, now):
    """Return the wait expected by one who knows the distributions, and the true one."""
    expected, true = [0.0] * slots, [0.0] * slots
    for started_at, ended_at, expected_s in jobs:
        elapsed_s = max(0.0, now - started_at)
        if elapsed_s >= expected_s / 1.18:
            expected_s = ended_at - started_at  # Now it shows how long it is.
        heapq.heapreplace(expected, expected[0] + max(0.0, expected_s - elapsed_s))
        heapq.heapreplace(true, true[0] + ended_at - max(started_at, now))
    return expected[0], true[0]


def simulate(model, draw, slots, load, seconds, seed=1, speed=1.0):
    """Serve Poisson arrivals in order; yield time, estimated and expected wait."""
    random = Random(seed)
    mean_s = sum(draw(Random(n))[1] for n in range(1000)) / 1000 * speed
    model.set_slots(slots, 0.0)
    free_at = [0.0] * slots
    jobs = []
    events = [(n * TICK_S, 0, None) for n in range(int(seconds / TICK_S))]
    at, number = 0.0, 0
    while at < seconds:
        at += random.expovariate(load * slots / mean_s)
        number += 1
        events.append((at, number, draw(random)))
    heapq.heapify(events)
    while events:
        now, number, request = heapq.heappop(events)
        if request is not None:
            address, work_s, expected_s = request
            jobs = [job for job in jobs if job[1] > now]
            yield now, model.estimate_wait(now), *expect_wait(jobs, slots, now)
            ended_at = max(now, free_at[0]) + work_s * speed
            heapq.heapreplace(free_at, ended_at)
            jobs.append((ended_at - work_s * speed, ended_at, expected_s * speed))
            model.begin(number, address, now)
            heapq.heappush(events, (ended_at, number, None))
        elif number:
            model.end(number, now)
        else:
            model.advance(now)


def serve(model, seconds, count=100, now=0.0, address=SMALL):
    """Serve requests of the same length one after the other; return the time."""
    for number in range(count):
        model.begin(number, address, now)
        now += seconds
        model.end(number, now)
    return now


@dataclass
class Case:
    """A load, and the mean service time that bounds the error of estimates."""

    name: str
    draw: object
    mean_s: float
    slots: int = 1
    speed: float = 1.0


CASES = [
    Case("equal requests", draw_equal, 0.02),
    Case("equal requests, 3 slots", draw_equal, 0.02, 3),
    Case("heavy tail", draw_tail, 0.0236),
    Case("heavy tail, 3 slots", draw_tail, 0.0236, 3),
    Case("two kinds", draw_kinds, 0.0385),
    Case("two kinds, 3 slots", draw_kinds, 0.0385, 3),
    Case("fast upstream", draw_tail, 0.0236 * 0.7, 1, 0.7),
    Case("slow upstream", draw_tail, 0.0236 * 1.7, 1, 1.7),
]


class WorkModelTest(unittest.TestCase):
    def test_estimated_wait_is_close_to_the_true_one(self):
        # Guards against estimates that do not know routes, slots, speeds or tails. That
        # a request which has just arrived is in the tail cannot be known.
        for case in CASES:
            for seed in range(3):
                with self.subTest(case.name, seed=seed):
                    model = WorkModel()
                    options = {"seed": seed, "speed": case.speed}
                    run = simulate(model, case.draw, case.slots, 0.7, 60, **options)
                    waits = [waits for at, *waits in run if at > 20]
                    errors = [abs(found - expected) for found, expected, _ in waits]
                    bias = sum(found - true for found, _, true in waits) / len(waits)
                    self.assertLess(sum(errors) / len(errors), case.mean_s / 2)
                    self.assertLess(abs(bias), case.mean_s / 2)
                    self.assertAlmostEqual(model.work_s / case.mean_s, 1, delta=0.5)
                    used = model.measure_utilization(60.0)
                    self.assertAlmostEqual(used, 0.7, delta=0.35)

    def test_request_that_has_run_long_is_expected_to_run_on(self):
        # Guards against taking the mean, less the elapsed time, for the rest.
        model = WorkModel()
        for _ in simulate(model, draw_tail, 1, 0.5, 60):
            pass
        now = 100.0
        model.advance(now)
        model.begin("long", SMALL, now)
        for elapsed_s in (0.03, 0.06, 0.1):
            wait_s = model.estimate_wait(now + elapsed_s)
            self.assertAlmostEqual(wait_s, 0.14 - elapsed_s, delta=0.0118)

    def test_waiting_requests_count_with_the_mean_of_their_route(self):
        # Guards against one mean for all routes.
        model = WorkModel()
        now = serve(model, 0.005)
        now = serve(model, 0.072, 100, now, LARGE)
        for flow, address in enumerate((SMALL, LARGE)):
            model.begin(flow, address, now)
        model.expect("opening", LARGE)
        wait_s = model.estimate_wait(now, [SMALL])
        self.assertAlmostEqual(wait_s, 2 * 0.072 + 2 * 0.005, delta=0.019)
        model.abandon("opening", now)
        self.assertAlmostEqual(model.estimate_wait(now), 0.077, delta=0.019)

    def test_new_routes_start_from_the_mean_of_the_upstream_and_are_bounded(self):
        model = WorkModel()
        now = serve(model, 0.04)
        kept = model._routes[SMALL]
        for number in range(MAX_ROUTES + 40):
            model.begin("other", b"%06d" % number, now)
            self.assertAlmostEqual(model.estimate_wait(now), 0.04, delta=0.02)
            model.abandon("other", now)
            model.begin("kept", SMALL, now)
            model.abandon("kept", now)
        self.assertLessEqual(len(model._routes), MAX_ROUTES)
        self.assertIs(model._routes[SMALL], kept)

    def test_changed_service_times_are_forgotten(self):
        # Guards against a mean over all samples, and against one without decay in time.
        for old_s, new_s, idle_s, count in (
            (0.02, 0.06, 0.0, 100),
            (0.06, 0.02, 0.0, 200),
            (0.02, 0.2, 60.0, 5),
            (0.02, 0.2, 1e6, 5),
        ):
            with self.subTest(old_s=old_s, new_s=new_s, idle_s=idle_s):
                model = WorkModel()
                now = serve(model, old_s, 1000)
                model.advance(now + idle_s)
                model.advance(now + idle_s + TICK_S)
                serve(model, new_s, count, now + idle_s + 2 * TICK_S)
                self.assertAlmostEqual(model.work_s, new_s, delta=new_s / 2)

    def test_hanging_request_is_overdue_until_others_overtake_it(self):
        # Guards against offers that wait behind a request that never ends.
        model = WorkModel()
        now = serve(model, 0.02)
        model.begin("hanging", SMALL, now)
        self.assertFalse(model.has_overdue(now + 0.19))
        self.assertTrue(model.has_overdue(now + 0.21))
        self.assertAlmostEqual(model.estimate_wait(now + 0.3), 0.3, delta=0.01)
        model.begin("next", SMALL, now + 0.3)
        model.end("next", now + 0.32)
        self.assertFalse(model.has_overdue(now + 9.0))
        self.assertEqual(model.estimate_wait(now + 0.32), 0.0)
        self.assertAlmostEqual(model.work_s, 0.02, delta=0.01)

    def test_request_that_is_overtaken_for_long_holds_no_slot(self):
        # Guards against a limit that outlives its cause: its caller has gone.
        model = WorkModel()
        now = serve(model, 0.02)
        model.begin("gone", SMALL, now)
        for number in range(40):
            now += 0.1
            model.begin(number, SMALL, now)
            model.end(number, now + 0.02)
        self.assertEqual(model.estimate_wait(now + 0.02), 0.0)

    def test_requests_answered_in_another_order_are_measured(self):
        # Guards against counting the time that a request waited as service time.
        model = WorkModel()
        for flow in "abc":
            model.begin(flow, SMALL, 0.0)
        for number, flow in enumerate("acb", 1):
            model.end(flow, number * 0.02)
        self.assertAlmostEqual(model.work_s, 0.02)

    def test_overdue_request_is_not_expected_to_end_like_very_rare_ones(self):
        model = WorkModel()
        now = serve(model, 0.45, 5)
        now = serve(model, 0.02, 700, now)
        model.begin("hanging", SMALL, now)
        self.assertAlmostEqual(model.estimate_wait(now + 0.3), 0.3, delta=0.01)

    def test_fewer_slots_than_requests_at_the_upstream(self):
        model = WorkModel()
        now = serve(model, 0.02)
        model.set_slots(2, now)
        model.begin("one", SMALL, now)
        model.begin("two", SMALL, now + 0.01)
        model.set_slots(1, now + 0.01)
        self.assertAlmostEqual(model.estimate_wait(now + 0.01), 0.02, delta=0.005)

    def test_figures_of_seldom_used_routes_stay_finite(self):
        times = ServiceTimes()
        for number in range(100):
            times.observe(0.02, number * 600.0)
        self.assertAlmostEqual(times.estimate_remaining(0.0), 0.02)

    def test_long_request_of_a_known_tail_is_not_overdue(self):
        # Guards against a 99th percentile that loses the tail between its samples.
        model = WorkModel()
        slow = 5.0
        overdue = 0
        for at, *_ in simulate(model, draw_tail, 1, 0.7, 300, 1, slow):
            overdue += at > 60 and model.has_overdue(at)
        self.assertEqual(overdue, 0)

    def test_upload_that_small_requests_overtake_holds_no_slot(self):
        # Guards against counting the time in which an upload arrives as service time.
        model = WorkModel()
        now = serve(model, 0.01)
        model.begin("upload", LARGE, now)
        for number in range(20):
            now += 0.01
            model.begin(number, SMALL, now)
            model.end(number, now + 0.01)
            now += 0.01
        model.end("upload", now + 0.03)
        model.begin("upload", LARGE, now + 0.1)
        self.assertAlmostEqual(model.estimate_wait(now + 0.1), 0.03, delta=0.015)
        self.assertAlmostEqual(model.work_s, 0.01, delta=0.005)

    def test_samples_that_span_a_stall_of_the_process_are_discarded(self):
        for name, begun_s, ended_s in (("before", -0.01, 0.7), ("after", 0.7, 0.7)):
            with self.subTest(name):
                model = WorkModel()
                now = serve(model, 0.02)
                model.advance(now)
                if begun_s < 0:
                    model.begin("stalled", SMALL, now)
                else:
                    model.advance(now + begun_s)
                    model.begin("stalled", SMALL, now + begun_s)
                model.end("stalled", now + ended_s)
                self.assertAlmostEqual(model.work_s, 0.02)

    def test_new_incarnation_starts_without_figures(self):
        model = WorkModel()
        now = serve(model, 0.02)
        model.begin("old", SMALL, now)
        model.reset()
        self.assertEqual(model.compute_work_ms(), 0)
        self.assertEqual(model.estimate_wait(now + 0.01), 0.0)
        model.end("old", now + 0.01)
        self.assertEqual(model.compute_work_ms(), 0)

    def test_level_is_reported_when_it_changes_by_two_at_most_every_2_s(self):
        # Guards against reports that exceed what entry hosts have for control.
        model = WorkModel()
        changes = []
        for step in range(200):
            now = step * TICK_S
            if step == 50:
                model.begin("long", SMALL, now)
            level = model.update_level(now)
            if level != (changes[-1][1] if changes else 0):
                changes.append((now, level))
        self.assertEqual(changes[-1][1] // 9, 1)
        for (one_at, one), (other_at, other) in zip(changes, changes[1:]):
            self.assertGreaterEqual(other_at - one_at, 2.0)
            self.assertGreaterEqual(abs(one - other), 2)
        model = WorkModel()
        model.set_slots(10, 0.0)
        model.begin("one of ten slots", SMALL, 0.0)
        levels = [model.update_level(step * TICK_S) for step in range(50)]
        self.assertEqual(set(levels), {0})


class OverdueTest(unittest.TestCase):
    def make_model(self, slots, address):
        model = WorkModel()
        model.set_slots(slots, 0.0)
        for number in range(50):
            model.begin(number, address, number * 0.1)
            model.end(number, number * 0.1 + 0.01)
        return model

    def test_request_whose_caller_has_left_is_overdue_for_a_limited_time(self):
        """Guards against an agent that declines every offer until the idle timeout."""
        for slots in (1, 3):
            with self.subTest(slots=slots):
                model = self.make_model(slots, b"a")
                model.begin("left", b"a", 10.0)
                self.assertTrue(model.has_overdue(11.0))
                self.assertFalse(model.has_overdue(10.0 + MAX_OVERTAKEN_S + 0.1))

    def test_request_of_an_unknown_route_is_not_overdue(self):
        model = self.make_model(3, b"a")
        model.begin("first", b"b", 10.0)
        self.assertFalse(model.has_overdue(11.0))


if __name__ == "__main__":
    unittest.main()
