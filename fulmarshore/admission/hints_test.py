"""Services with misleading endpoints, simulated on the cores."""

from unittest import TestCase

from fulmarshore.admission.hinteddrain import MIN_HEALTHY_S
from fulmarshore.bench.hints import HintedDriver
from fulmarshore.core.records import Health, MemberState, Stop
from fulmarshore.standins.hints import Accuracy, make_hints

CALLERS = 8
RATE = 12.0
"""Requests of each caller per second; all together use 0.4 of the capacity."""
SETTLED_S = 15.0


class HintsTest(TestCase):
    def start(self, accuracy):
        driver = HintedDriver(1, accuracy)
        driver.offer({}, 6.0)
        rates = {name: RATE for name in driver.world.callers}
        driver.offer(rates, SETTLED_S)
        return driver, rates

    def send_hints(self, driver, name, health, seconds, rates):
        """Send hints of one agent's endpoints each second, under load."""
        for _ in range(seconds):
            for hint in make_hints(health, 1.0):
                driver.world.network.inject(name, hint)
            driver.offer(rates, 1.0)

    def count_runs(self, driver, name):
        return sum(driver.world.upstream_nodes[name].upstream.ran.values())

    def test_misleading_endpoints_do_not_take_the_service_down(self):
        for accuracy in Accuracy:
            with self.subTest(accuracy):
                driver, rates = self.start(accuracy)
                before = driver.world.tally()
                driver.offer(rates, 10.0)
                driver.offer({}, 4.0)
                after = driver.world.tally()
                requested = after.requests - before.requests
                self.assertGreater(after.answered - before.answered, 0.97 * requested)
                self.assertEqual((after.ran_twice, after.false_refusals), (0, 0))
                self.assertGreaterEqual(driver.least_accepting, 2)

    def test_draining_upstream_gets_no_requests_until_it_is_healthy(self):
        driver, rates = self.start(Accuracy.SILENT)
        self.send_hints(driver, "agent1", Health.DRAINING, 5, rates)
        before = self.count_runs(driver, "agent1")
        tally = driver.world.tally()
        self.send_hints(driver, "agent1", Health.DRAINING, 5, rates)
        self.assertEqual(self.count_runs(driver, "agent1"), before)
        state = driver.world.get_agent("agent0").service.by_name["agent1"].state
        self.assertEqual(state, MemberState.DRAINING)
        self.send_hints(driver, "agent1", Health.HEALTHY, int(MIN_HEALTHY_S) + 3, rates)
        self.assertGreater(self.count_runs(driver, "agent1"), before)
        driver.offer({}, 4.0)
        after = driver.world.tally()
        self.assertEqual(after.not_run, tally.not_run)
        self.assertEqual((after.unknown, after.open), (tally.unknown, 0))

    def test_hint_does_not_revert_a_planned_stop(self):
        driver, rates = self.start(Accuracy.SILENT)
        core = driver.world.get_agent("agent1")
        driver.world.network.inject("agent1", Stop())
        self.send_hints(driver, "agent1", Health.HEALTHY, 2, {})
        self.assertEqual(core.member.state, MemberState.DRAINING)
