"""Planned stops of agents under load: no request may be lost."""

from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.bench.once import PROFILE
from fulmarshore.callers.requests import Answered
from fulmarshore.core.records import PeerMessage, RunRequest
from fulmarshore.standins.network import Faults
from fulmarshore.standins.requests import RequestWorld
from fulmarshore.standins.work import WorkModel

FAST_MODEL = WorkModel(
    slots=3, service_s=0.05, cold_factor=1.0, warm_up_s=1.0, strain=1000.0, spread=0.0
)
VARIABLE_MODEL = replace(FAST_MODEL, spread=0.2)
MAX_STOP_STEPS = 100
OLD_REGION_S = 40.0
"""Age of a region at which no claim from its start is needed any more."""
NEW_REGION_S = 8.0
SLOW_FAULTS = Faults(0.0, 0.0, 0.05, 0.3)
ROUGH_FAULTS = Faults(0.02, 0.1, 0.0005, 0.05)
LOSSY_FAULTS = Faults(0.05, 0.1, 0.0, 0.4)


class UnreachableExecutor:
    """An agent that receives no dispatch from other agents."""

    def __init__(self, core):
        self.core = core

    def __getattr__(self, name):
        return getattr(self.core, name)

    def handle(self, event, now):
        if isinstance(event, PeerMessage) and isinstance(event.message, RunRequest):
            return []
        return self.core.handle(event, now)


class PlannedStopTest(TestCase):
    def start(self, seed, faults):
        self.world = RequestWorld(seed, PROFILE, FAST_MODEL, 3, 1, 1, faults)
        self.world.network.run(OLD_REGION_S)
        self.caller = self.world.callers["caller0"]

    def submit(self, count, interval):
        numbers = []
        for _ in range(count):
            now = self.world.network.now
            numbers.append(self.caller.submit(8.0, False, now))
            self.world.network.run(interval)
        return numbers

    def assert_answered(self, numbers):
        for number in numbers:
            outcome = self.world.outcomes.get(("caller0", number))
            self.assertIsInstance(outcome, Answered, number)
        self.assertEqual(self.world.tally().ran_twice, 0)

    def test_answers_requests_sent_during_a_stop(self):
        table = [(seed, SLOW_FAULTS) for seed in (0, 3, 12, 23, 25)]
        table += [(14, ROUGH_FAULTS), (23, ROUGH_FAULTS), (0, Faults())]
        for seed, faults in table:
            with self.subTest(seed=seed, max_delay=faults.max_delay):
                self.start(seed, faults)
                self.world.stop_agent("agent0")
                numbers = self.submit(60, 0.01)
                self.world.network.run(15.0)
                self.assertFalse(self.world.network.nodes["agent0"].running)
                self.assert_answered(numbers)

    def test_redispatches_requests_that_a_stopped_executor_never_received(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.start(seed, Faults())
                node = self.world.network.nodes["agent0"]
                node.core = UnreachableExecutor(node.core)
                numbers = self.submit(30, 0.002)
                self.world.stop_agent("agent0")
                self.world.network.run(15.0)
                redispatched = 0
                for name in ("agent1", "agent2"):
                    home = self.world.get_agent(name).requests.home
                    redispatched += home.counters["runs_taken_back"]
                self.assertGreater(redispatched, 0)
                self.assert_answered(numbers)


class RollingRestartTest(TestCase):
    """Agents are restarted as planned, in turn or two at once."""

    def start(self, seed, faults, age):
        self.world = RequestWorld(seed, PROFILE, VARIABLE_MODEL, 4, 2, 3, faults)
        self.world.network.run(age)

    def offer(self, seconds):
        """Let each caller submit a request every 20 ms."""
        until = self.world.network.now + seconds - 1e-9
        while self.world.network.now < until:
            for caller in self.world.callers.values():
                caller.submit(8.0, False, self.world.network.now)
            self.world.network.run(0.02)

    def stop(self, name):
        """Stop an agent and wait for its exit."""
        self.world.stop_agent(name)
        for _ in range(MAX_STOP_STEPS):
            self.offer(0.1)
            if not self.world.network.nodes[name].running:
                return
        self.fail(f"{name} did not stop")

    def restart_each(self, pause):
        for number in range(4):
            self.stop(f"agent{number}")
            self.world.start_agent(f"agent{number}")
            self.offer(pause)

    def restart_two(self):
        for name in ("agent0", "agent1"):
            self.world.stop_agent(name)
        self.offer(3.0)
        for name in ("agent0", "agent1"):
            self.world.start_agent(name)
        self.offer(2.0)

    def test_restarts_leave_no_unknown_outcome(self):
        slow_faults = Faults(0.0, 0.0, 0.02, 0.2)
        table = [
            ("in turn", 0, Faults(), lambda: self.restart_each(2.0)),
            ("in a new region", 0, Faults(), lambda: self.restart_each(0.1)),
            ("in turn, slow links", 1, slow_faults, lambda: self.restart_each(2.0)),
            ("no pause", 0, Faults(), lambda: self.restart_each(0.1)),
            ("no pause, slow links", 1, slow_faults, lambda: self.restart_each(0.1)),
            (
                "no pause, faulty links",
                19,
                ROUGH_FAULTS,
                lambda: self.restart_each(0.1),
            ),
            ("two at once", 2, slow_faults, self.restart_two),
            ("two at once, lossy links", 8, LOSSY_FAULTS, self.restart_two),
        ]
        for title, seed, faults, restart in table:
            with self.subTest(title):
                self.start(
                    seed, faults, NEW_REGION_S if "new" in title else OLD_REGION_S
                )
                restart()
                self.world.network.run(15.0)
                tally = self.world.tally()
                self.assertEqual((tally.unknown, tally.open), (0, 0))
                self.assertEqual((tally.ran_twice, tally.false_refusals), (0, 0))
                self.assertGreater(tally.answered, 0.9 * tally.requests)
