"""Choice of executors, and warm-up of a cold upstream beside idle ones."""

from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.admission.executorloads import ExecutorLoads
from fulmarshore.bench.once import PROFILE
from fulmarshore.core.records import Identity, Member, SlotReport
from fulmarshore.standins.requests import RequestWorld
from fulmarshore.standins.work import WorkModel

MEMBERS = tuple(
    Member(name, 1, "orders", "zone-a", "127.0.0.1", 1, slots=3) for name in "abc"
)
FAST_MODEL = WorkModel(
    slots=3, service_s=0.02, cold_factor=1.0, warm_up_s=1.0, strain=1000.0, spread=0.0
)
SETTLED_S = 8.0


class ExecutorLoadsTest(TestCase):
    def test_chooses_the_least_loaded_executor(self):
        table = [
            ("own free slot, cold", {"a": (0, 0.3), "b": (0, 3.0)}, True, "a"),
            ("no free slot, cold", {"a": (1, 0.3), "b": (0, 3.0)}, False, "b"),
            ("no free slot, peer busier", {"a": (3, 3.0), "b": (6, 3.0)}, False, "a"),
            ("peer with lower load", {"a": (6, 3.0), "b": (1, 3.0)}, False, "b"),
        ]
        for title, reports, has_own_slot, expected in table:
            with self.subTest(title):
                loads = ExecutorLoads("a")
                for name, (used, limit) in reports.items():
                    loads.record_report(SlotReport("orders", name, 1, 1, used, limit))
                chosen = loads.choose(MEMBERS[:2], None, has_own_slot, 0.0)
                self.assertEqual(chosen.name, expected)

    def test_avoids_the_executor_that_refused(self):
        loads = ExecutorLoads("a")
        refuser = Identity("a", 1)
        self.assertNotEqual(loads.choose(MEMBERS, refuser, True, 0.0).name, "a")


class WarmUpTest(TestCase):
    def offer(self, world, interval, seconds):
        """Let each caller submit a request in each interval, for some seconds."""
        until = world.network.now + seconds
        while world.network.now < until:
            for caller in world.callers.values():
                caller.submit(4.0, False, world.network.now)
            world.network.run(interval)

    def test_cold_upstream_beside_idle_ones_warms_up(self):
        profile = replace(PROFILE, slow_start=1.0, cold_share=0.1)
        for interval in (0.1, 0.05):
            with self.subTest(interval=interval):
                world = RequestWorld(1, profile, FAST_MODEL, 3, 2, 6)
                world.network.run(SETTLED_S)
                self.offer(world, interval, 3.0)
                executor = world.get_agent("agent1").requests.executor
                executor.limiter.restart_slow_start(world.network.now)
                before = sum(world.upstream_nodes["agent1"].upstream.ran.values())
                self.offer(world, interval, 8.0)
                self.assertEqual(executor.limiter.limit, 3.0)
                ran = sum(world.upstream_nodes["agent1"].upstream.ran.values()) - before
                self.assertGreater(ran, 0)
                self.assertEqual(world.tally().ran_twice, 0)
