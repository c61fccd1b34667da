"""Disks lost right after a planned replacement of a control host.

Guards against a control plane that never elects a leader again: the removed host
still counts as a voter, and so does the disk that was lost.
"""

import unittest
from dataclasses import dataclass
from random import Random

from fulmarshore.agreement.joining import EXTRA_VOTER_TIMEOUT_S
from fulmarshore.direct.world_test import ROUTES, make_world

SUCCESSOR_RUNS_S = 5.0
"""More than the 4 s after which the platform counts a new host as caught up."""
DOWN_S = 1.0
RECOVERY_S = 12.0
"""The platform's bound of recovery."""
NEWEST = 9


@dataclass
class Case:
    """One or more replacements, and the disks lost after them."""

    name: str
    leaving: tuple[str, ...] = ("follower",)
    is_killed: bool = False
    wiped: tuple[str, ...] = ("follower",)
    controls: int = 3
    lost_disks: int = 1
    wait_s: float = 0.0


LARGE = {"controls": 6, "lost_disks": 2}
CASES = [
    Case("a follower leaves"),
    Case("a follower leaves, disk lost 1 s later", wait_s=1.0),
    Case("a follower leaves, disk lost 3 s later", wait_s=3.0),
    Case("a follower leaves, leader's disk lost", wiped=("leader",)),
    Case("a follower leaves, successor's disk lost", wiped=("successor",)),
    Case("the leader leaves", ("leader",)),
    Case("the leader leaves, next leader's disk lost", ("leader",), False, ("leader",)),
    Case("a follower is killed", is_killed=True),
    Case("a follower is killed, 1 s later", is_killed=True, wait_s=1.0),
    Case("a follower is killed, leader's disk lost", is_killed=True, wiped=("leader",)),
    Case("the leader is killed", ("leader",), True),
    Case("the leader is killed, successor's disk", ("leader",), True, ("successor",)),
    Case("two replacements", ("follower", "follower")),
    Case("two replacements, the leader second", ("follower", "leader")),
    Case("six, two lost", wiped=("follower", "leader"), **LARGE),
    Case("six, killed, two lost", ("follower",), True, ("leader", "follower"), **LARGE),
    Case("six, two replaced", ("leader", "follower"), wiped=("follower",) * 2, **LARGE),
]


def choose_host(world, role, successors):
    """Return the running control host of a role that is replaced or wiped."""
    leader = world.find_leader()
    match role:
        case "leader":
            return leader
        case "successor":
            return successors[-1]
    others = [host for host in world.control_hosts if host in world.cores]
    others = [host for host in others if host != leader]
    return min(others, key=lambda host: host in successors)


def start(world, host):
    """Start a host that is down, unless it was removed meanwhile."""
    if host in world.control_hosts and host not in world.cores:
        world.start_control(host)


def replace_host(world, host, successor, is_killed):
    """Start a successor, and remove a host for good once it has caught up."""
    world.control_hosts.append(successor)
    world.start_control(successor)
    world.run(SUCCESSOR_RUNS_S)
    world.control_hosts.remove(host)
    if is_killed:
        world.crash(host)
        return
    world.stop(host)
    world.run_until(lambda: host not in world.cores, 6.0)


def read_newest(world):
    """Return the newest version, read at all hosts until one answers."""
    found = []

    def respond(state):
        if state is not None:
            found.append(state.version)

    until = world.now + RECOVERY_S
    while not found and world.now < until:
        for host in world.control_hosts:
            world.read(host, respond)
        world.run(0.5)
    return found[0] if found else None


class ReplacementTest(unittest.TestCase):
    def test_disk_lost_after_a_planned_replacement(self):
        for case in CASES:
            for seed in range(4):
                with self.subTest(case.name, seed=seed):
                    self.play(case, seed)

    def test_replaced_host_votes_no_longer_than_it_takes_to_stop(self):
        for role in ("follower", "leader"):
            for seed in range(4):
                with self.subTest(role, seed=seed):
                    world = make_world(seed=seed)
                    host = choose_host(world, role, [])
                    replace_host(world, host, "10.0.0.9", False)
                    voters = [voter.name for voter in world.list_voters()]
                    self.assertNotIn(host, voters)

    def test_half_of_the_voters_does_not_overrule_the_other_half(self):
        """A change of the voters needs a quorum of the former ones, too."""
        for seed in range(6):
            with self.subTest(seed=seed):
                world = make_world(seed=seed)
                world.control_hosts.append("10.0.0.9")
                world.start_control("10.0.0.9")
                world.run(SUCCESSOR_RUNS_S)
                leader = world.find_leader()
                others = [host for host in world.control_hosts if host != leader]
                second, silent, late = world.random.sample(others, 3)
                world.cut([silent], [leader, second])
                world.run(EXTRA_VOTER_TIMEOUT_S - 0.3)
                # The leader begins to remove the silent one, and loses the late one.
                world.cut([late], [leader, second])
                world.run(0.6)
                call = world.put(NEWEST, ROUTES, leader)
                world.run(4.0)
                world.wipe(second)
                world.crash(leader, loses_power=True)
                world.heal()
                world.start_control(second)
                world.run(4.0)
                world.start_control(leader)
                world.run(2.0)
                accepted = NEWEST if call.is_accepted else 1
                self.assertGreaterEqual(read_newest(world), accepted)

    def test_former_voters_are_not_asked_after_a_restart_of_all(self):
        for seed in range(4):
            for is_killed in (False, True):
                with self.subTest(seed=seed, is_killed=is_killed):
                    world = make_world(seed=seed)
                    host = choose_host(world, "follower", [])
                    replace_host(world, host, "10.0.0.9", is_killed)
                    world.run(4.0)
                    for control in world.control_hosts:
                        world.crash(control)
                    for control in world.control_hosts[1:]:
                        world.start_control(control)
                    self.assertEqual(read_newest(world), 1)

    def play(self, case, seed):
        """Replace hosts, lose disks, then kill everything; nothing may be lost."""
        world = make_world(
            seed=seed, controls=case.controls, lost_disks=case.lost_disks
        )
        world.run(4.0)
        successors = []
        for number, role in enumerate(case.leaving):
            host = choose_host(world, role, successors)
            successors.append(f"10.0.0.{90 + number}")
            replace_host(world, host, successors[-1], case.is_killed)
        call = world.put(NEWEST, ROUTES)
        self.assertTrue(world.run_until(lambda: call.is_accepted, 10.0))
        world.run(case.wait_s)
        lost = []
        for role in case.wiped:
            host = choose_host(world, role, successors)
            world.wipe(host)
            lost.append(host)
        for host in lost:
            world.call_later(DOWN_S, lambda host=host: start(world, host))
        self.assertEqual(read_newest(world), NEWEST)
        again = world.put(NEWEST + 2, ROUTES)
        self.assertTrue(world.run_until(lambda: again.is_accepted, RECOVERY_S))
        for host in world.control_hosts:
            world.crash(host)
        world.run(0.5)
        for host in world.control_hosts:
            start(world, host)
        self.assertEqual(read_newest(world), NEWEST + 2)
        world.run(4.0)
        names = {voter.name for voter in world.list_voters()}
        self.assertEqual(names, set(world.control_hosts))


SEEDS = (*range(12), 432)
"""With 432, a host is killed 0.3 s before the planned stop of another one."""
STEPS = 14


class RandomWalk:
    """Replacements, lost disks, cuts and restarts, each within what may be lost.

    A disk counts as lost until all hosts have been in touch for ``SUCCESSOR_RUNS_S``
    again. Cuts, freezes and restarts come on top, as they lose no disk; only a host
    is removed for good not before all others have been in touch for that time.
    """

    def __init__(self, seed, controls, lost_disks):
        self.random = Random(seed)
        self.world = make_world(seed=seed, controls=controls, lost_disks=lost_disks)
        self.lost_disks = lost_disks
        self.lost = set()
        self.settled_at = 0.0
        self.spares = iter(range(100, 200))
        self.version = 1
        self.accepted = 1
        self.calls = []
        self.older_reads = []

    def step(self):
        world = self.world
        names = ["replace", "kill", "wipe", "restart", "cut", "freeze", "crash_all"]
        getattr(self, self.random.choice(names))()
        if self.random.random() < 0.7:
            self.version += 1
            self.calls.append(world.put(self.version, ROUTES))
        for _ in range(self.random.randint(1, 30)):
            world.run(0.1)
            self.note()
        if self.random.random() < 0.6 and world.cuts:
            world.heal()
            self.unsettle(0.0)

    def note(self):
        """Note what is accepted, and read at a random host."""
        self.calls, open_calls = [], self.calls
        for call in open_calls:
            if call.is_accepted:
                self.accepted = max(self.accepted, call.command.version)
                continue
            self.calls.append(call)
        needed = self.accepted

        def respond(state):
            if state is not None and state.version < needed:
                self.older_reads.append((needed, state.version))

        self.world.read(self.random.choice(self.world.control_hosts), respond)

    def choose_host(self):
        """Return a running host that may be lost now, or None."""
        if not self.world.cuts and self.world.now >= self.settled_at:
            self.lost.clear()
        lost = self.lost
        if len(lost) >= self.lost_disks:
            return None
        return self.random.choice(
            [host for host in self.world.control_hosts if host not in lost]
        )

    def unsettle(self, seconds):
        """Note that a host is out of touch for some seconds."""
        until = self.world.now + seconds + SUCCESSOR_RUNS_S
        self.settled_at = max(self.settled_at, until)

    def wait_until_settled(self):
        while self.world.now < self.settled_at:
            self.world.run(0.1)
            self.note()

    def replace(self, is_killed=False):
        successor = f"10.0.0.{next(self.spares)}"
        self.world.heal()
        self.wait_until_settled()
        # The settings of a new host name running hosts.
        self.world.seeds = self.world.control_hosts[:3]
        self.world.control_hosts.append(successor)
        self.world.start_control(successor)
        self.unsettle(0.0)
        self.wait_until_settled()
        leaving = self.choose_host()
        if leaving in (None, successor):
            leaving = successor
        self.world.control_hosts.remove(leaving)
        if is_killed or leaving not in self.world.cores:
            self.world.crash(leaving)
            return
        self.world.stop(leaving)
        self.world.call_later(6.0, lambda: self.world.crash(leaving))

    def kill(self):
        self.replace(is_killed=True)

    def wipe(self):
        host = self.choose_host()
        if host is None:
            return
        down_s = self.random.uniform(0.5, 3.0)
        self.lost.add(host)
        self.unsettle(down_s)
        self.world.wipe(host)
        self.world.call_later(down_s, lambda: self.start(host))

    def restart(self):
        host = self.random.choice(self.world.control_hosts)
        self.unsettle(2.0)
        self.world.stop(host)
        self.world.call_later(2.0, lambda: self.start(host))

    def cut(self):
        hosts = list(self.world.control_hosts)
        self.random.shuffle(hosts)
        half = len(hosts) // 2
        self.world.cut(hosts[:half], hosts[half:])
        self.unsettle(0.0)

    def freeze(self):
        host = self.random.choice(self.world.control_hosts)
        seconds = self.random.uniform(0.5, 4.0)
        self.unsettle(seconds)
        self.world.freeze(host, seconds)

    def crash_all(self):
        for host in self.world.control_hosts:
            self.world.crash(host, loses_power=self.random.random() < 0.5)
        self.world.run(0.3)
        for host in self.world.control_hosts:
            self.start(host)
        self.unsettle(0.0)

    def start(self, host):
        start(self.world, host)


class ReplacementWalkTest(unittest.TestCase):
    def test_random_walk_loses_nothing_accepted(self):
        for controls, lost_disks in ((3, 1), (6, 2)):
            for seed in SEEDS:
                with self.subTest(controls=controls, seed=seed):
                    self.walk(RandomWalk(seed, controls, lost_disks))

    def walk(self, walk):
        for _ in range(STEPS):
            walk.step()
        walk.world.heal()
        walk.world.run(RECOVERY_S)
        walk.note()
        self.assertGreaterEqual(read_newest(walk.world) or 0, walk.accepted)
        self.assertEqual(walk.older_reads, [])
        again = walk.world.put(10_000, ROUTES)
        self.assertTrue(walk.world.run_until(lambda: again.is_accepted, RECOVERY_S))


if __name__ == "__main__":
    unittest.main()
