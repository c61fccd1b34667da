"""Disks of control hosts that are full for some seconds, one after another.

Guards against hosts that stay silent, and orders that stay unanswered, once the last
disk has room again.
"""

import unittest
from random import Random

from fulmarshore.direct.replacement_test import read_newest
from fulmarshore.direct.world_test import ROUTES, make_world

ORDER_INTERVAL_S = 0.4
ACKNOWLEDGED_S = 5.0
"""The platform's bound on the acknowledgement of an order."""
CASES = [
    ("three hosts", {"controls": 3, "lost_disks": 1}, 3.0, 1.0),
    ("three hosts, without a pause", {"controls": 3, "lost_disks": 1}, 3.0, 0.0),
    ("three hosts, for long", {"controls": 3, "lost_disks": 1}, 9.0, 0.5),
    ("four hosts", {"controls": 4, "lost_disks": 1}, 4.0, 0.2),
    ("six hosts", {"controls": 6, "lost_disks": 2}, 4.0, 0.2),
]


class FullDisksTest(unittest.TestCase):
    def play(self, options, full_s, pause_s, seed, disturb=None):
        """Fill each disk in turn, twice, amid orders; return world and orders."""
        world = make_world(seed=seed, **options)
        random = Random(seed)
        calls = []
        for _ in range(2):
            hosts = list(world.control_hosts)
            random.shuffle(hosts)
            for host in hosts:
                world.fill_disk(host, full_s)
                until = world.now + full_s + pause_s
                while world.now < until:
                    calls.append(world.put(len(calls) + 2, ROUTES))
                    if disturb is not None:
                        disturb(world, random, host)
                    world.run(ORDER_INTERVAL_S)
        return world, calls

    def check_recovered(self, world, calls):
        sent_at = world.now
        last = world.put(len(calls) + 2, ROUTES)
        self.assertTrue(world.run_until(lambda: last.is_accepted, ACKNOWLEDGED_S))
        self.assertLess(last.accepted_at - sent_at, ACKNOWLEDGED_S)
        world.run(3.0)
        self.assertTrue(all(call.is_accepted for call in calls))
        self.assertEqual(read_newest(world), len(calls) + 2)
        for host in world.control_hosts:
            self.assertEqual(world.cores[host].state.version, len(calls) + 2, host)

    def test_orders_are_acknowledged_while_one_disk_is_full_and_after(self):
        for name, options, full_s, pause_s in CASES:
            for seed in range(4):
                with self.subTest(name, seed=seed):
                    world, calls = self.play(options, full_s, pause_s, seed)
                    self.check_recovered(world, calls)

    def test_hosts_that_are_killed_while_their_disk_is_full(self):
        def kill(world, random, host):
            if random.random() < 0.15 and host in world.cores:
                world.crash(host, loses_power=random.random() < 0.5)
                world.call_later(0.6, lambda: world.start_control(host))

        for name, options, full_s, pause_s in CASES:
            for seed in range(3):
                with self.subTest(name, seed=seed):
                    world, calls = self.play(options, full_s, pause_s, seed, kill)
                    world.run(2.0)
                    self.check_recovered(world, calls)


if __name__ == "__main__":
    unittest.main()
