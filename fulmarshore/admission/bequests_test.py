"""Planned stops of agents while requests come: none may be cut."""

from unittest import TestCase

from fulmarshore.bench.once import PROFILE
from fulmarshore.callers.requests import Answered
from fulmarshore.core.records import PeerMessage, RunRequest
from fulmarshore.standins.network import Faults
from fulmarshore.standins.requests import RequestWorld
from fulmarshore.standins.work import WorkModel

QUICK = WorkModel(
    slots=3, service_s=0.05, cold_factor=1.0, warm_up_s=1.0, strain=1000.0, spread=0.0
)
WARM_S = 40.0
"""Time after which no claim of the start is needed any more."""
SLOW_LINKS = Faults(0.0, 0.0, 0.05, 0.3)
ROUGH_LINKS = Faults(0.02, 0.1, 0.0005, 0.05)


class DeafExecutor:
    """An agent that gets no hand-over from others."""

    def __init__(self, core):
        self.core = core

    def __getattr__(self, name):
        return getattr(self.core, name)

    def handle(self, event, now):
        if isinstance(event, PeerMessage) and isinstance(event.message, RunRequest):
            return []
        return self.core.handle(event, now)


class StopTest(TestCase):
    def make(self, seed, faults):
        self.world = RequestWorld(seed, PROFILE, QUICK, 3, 1, 1, faults)
        self.world.network.run(WARM_S)
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

    def test_requests_that_come_while_an_agent_stops_are_answered(self):
        table = [(seed, SLOW_LINKS) for seed in (0, 3, 12, 23, 25)]
        table += [(14, ROUGH_LINKS), (23, ROUGH_LINKS), (0, Faults())]
        for seed, faults in table:
            with self.subTest(seed=seed, max_delay=faults.max_delay):
                self.make(seed, faults)
                self.world.stop_agent("agent0")
                numbers = self.submit(60, 0.01)
                self.world.network.run(15.0)
                self.assertFalse(self.world.network.nodes["agent0"].running)
                self.assert_answered(numbers)

    def test_what_a_stopped_executor_never_got_is_handed_over_again(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                self.make(seed, Faults())
                node = self.world.network.nodes["agent0"]
                node.core = DeafExecutor(node.core)
                numbers = self.submit(30, 0.002)
                self.world.stop_agent("agent0")
                self.world.network.run(15.0)
                taken_back = 0
                for name in ("agent1", "agent2"):
                    home = self.world.get_agent(name).requests.home
                    taken_back += home.counters["runs_taken_back"]
                self.assertGreater(taken_back, 0)
                self.assert_answered(numbers)
