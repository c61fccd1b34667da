"""Planned stops of agents while requests come: none may be cut."""

from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.bench.once import PROFILE
from fulmarshore.callers.requests import Answered
from fulmarshore.core.records import PeerMessage, RunRequest
from fulmarshore.standins.network import Faults
from fulmarshore.standins.requests import RequestWorld
from fulmarshore.standins.work import WorkModel

QUICK = WorkModel(
    slots=3, service_s=0.05, cold_factor=1.0, warm_up_s=1.0, strain=1000.0, spread=0.0
)
UNEVEN = replace(QUICK, spread=0.2)
MAX_STOP_STEPS = 100
WARM_S = 40.0
"""Time after which no claim of the start is needed any more."""
NEW_S = 8.0
SLOW_LINKS = Faults(0.0, 0.0, 0.05, 0.3)
ROUGH_LINKS = Faults(0.02, 0.1, 0.0005, 0.05)
LOSSY_LINKS = Faults(0.05, 0.1, 0.0, 0.4)


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


class RollingTest(TestCase):
    """Agents are restarted as planned, one after the other or two at once."""

    def make(self, seed, faults, age):
        self.world = RequestWorld(seed, PROFILE, UNEVEN, 4, 2, 3, faults)
        self.world.network.run(age)

    def offer(self, seconds):
        """Have each caller submit a request in each interval."""
        until = self.world.network.now + seconds - 1e-9
        while self.world.network.now < until:
            for caller in self.world.callers.values():
                caller.submit(8.0, False, self.world.network.now)
            self.world.network.run(0.02)

    def stop(self, name):
        """Stop an agent and wait for its end."""
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

    def test_restarts_hide_no_outcome(self):
        links = Faults(0.0, 0.0, 0.02, 0.2)
        table = [
            ("one after the other", 0, Faults(), lambda: self.restart_each(2.0)),
            ("of a new region", 0, Faults(), lambda: self.restart_each(0.1)),
            ("the same, slow links", 1, links, lambda: self.restart_each(2.0)),
            ("the next at once", 0, Faults(), lambda: self.restart_each(0.1)),
            ("the same, slow links", 1, links, lambda: self.restart_each(0.1)),
            ("the same, rough", 19, ROUGH_LINKS, lambda: self.restart_each(0.1)),
            ("two at once", 2, links, self.restart_two),
            ("the same, lossy", 8, LOSSY_LINKS, self.restart_two),
        ]
        for title, seed, faults, act in table:
            with self.subTest(title):
                self.make(seed, faults, NEW_S if "new" in title else WARM_S)
                act()
                self.world.network.run(15.0)
                tally = self.world.tally()
                self.assertEqual((tally.unknown, tally.open), (0, 0))
                self.assertEqual((tally.ran_twice, tally.false_refusals), (0, 0))
                self.assertGreater(tally.answered, 0.9 * tally.requests)
