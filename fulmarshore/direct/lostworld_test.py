"""Notice of lost flows in whole deployments: who is lost, and what callers get."""

import unittest
from dataclasses import dataclass, field
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarshore.direct.keptflowsfile import FILE_RETENTION_S
from fulmarshore.direct.lostflows import END_CONFIRMATION_S
from fulmarshore.standins import profiles  # noqa: F401
from fulmarshore.standins.directworld import KEPT_PORT, World

ROUTES = {KEPT_PORT: [("desk", 1)], 80: [("desk", 1)]}
EXAMPLES = 40
"""Examples of the random test, each 20 to 40 s of simulated time."""


def make_world(**options):
    """Return a world whose hosts all have the configuration."""
    world = World(agents={"desk": 3}, **options)
    call = world.put(1, ROUTES)
    assert world.run_until(lambda: call.is_accepted, 5.0), "first configuration"
    world.run(2.5)
    return world


def open_kept(world, numbers, port=KEPT_PORT):
    """Open flows, send a second request on each, and let the agents register them."""
    callers = [world.call(number, port) for number in numbers]
    world.run(0.5)
    for caller in callers:
        caller.request(b"second-%d" % int.from_bytes(caller.flow[4:6]))
    world.run(3.0)
    return callers


def open_idle(world, numbers, port=KEPT_PORT):
    """Open flows with one request each, and leave them idle."""
    callers = [world.call(number, port) for number in numbers]
    world.run(4.5)
    return callers


def find_holder(world, caller):
    """Return the host whose upstream holds a flow; None if it is lost."""
    for host, upstream in world.upstreams.items():
        if upstream.is_alive and caller.flow in upstream.flows:
            return host
    return None


def lose(world, hosts):
    """Cut the power of hosts, with the upstreams beside agents."""
    for host in hosts:
        if host in world.upstreams:
            world.upstreams[host].crash()
        world.crash(host, loses_power=True)


def restore(world, hosts):
    """Start hosts again, with new upstreams."""
    for host in hosts:
        if host in world.control_hosts:
            world.start_control(host)
        elif host in world.entry_hosts:
            world.start_entry(host)
        else:
            world.start_agent(host)
            world.start_upstream(host, "desk")


@dataclass
class Case:
    """What is lost, for how long, and when the caller gets a notice, if at all."""

    name: str
    lost: str
    down_s: float = 3.0
    notice_s: float | None = 0.5
    port: int = KEPT_PORT
    options: dict = field(default_factory=dict)
    is_open: bool = False


CASES = [
    Case("upstream", "upstream"),
    Case("upstream that leaves by plan", "depart", notice_s=END_CONFIRMATION_S + 0.6),
    Case("agent only", "agent", notice_s=None, is_open=True),
    Case("agent and upstream", "host"),
    Case("availability zone", "zone"),
    Case("all power", "all", notice_s=1.5),
    Case("all power, one disk", "all but a disk", notice_s=1.5),
    Case("all power, all disks", "all and disks", notice_s=None),
    Case("all power for too long", "all", FILE_RETENTION_S + 1.0, notice_s=None),
    Case("control hosts only", "controls", notice_s=None, is_open=True),
    Case("upstream that does not return", "gone", notice_s=None),
    Case("clock set back", "back", notice_s=None),
    Case("repeatable route", "all", notice_s=None, port=80),
    Case("turned off", "all", notice_s=None, options={"notifies_lost_flows": False}),
]


class LostWorldTest(unittest.TestCase):
    def apply(self, world, case, host):
        """Lose and restore what the case says."""
        zone = world.get_zone(host)
        match case.lost:
            case "agent":
                lost = [host]
                world.crash(host)
            case "upstream" | "back":
                lost = []
                world.upstreams[host].crash()
            case "host" | "gone":
                lost = [host]
            case "zone":
                lost = [it for it in [*world.cores] if world.get_zone(it) == zone]
            case "controls":
                lost = list(world.control_hosts)
            case _:
                lost = list(world.cores)
        if case.lost not in ("agent", "upstream", "back"):
            lose(world, lost)
        wiped = {"all but a disk": 1, "all and disks": 3}.get(case.lost, 0)
        world.run(case.down_s)
        for control in world.control_hosts[:wiped]:
            world.wipe(control)
        match case.lost:
            case "agent":
                world.start_agent(host)
            case "upstream":
                world.start_upstream(host, "desk")
            case "back":
                world.start_upstream(host, "desk").born_ms = 1
            case "gone":
                world.start_agent(host)
            case _:
                restore(world, lost)

    def test_who_is_notified_and_when(self):
        for case in CASES:
            with self.subTest(case.name):
                world = make_world(**case.options)
                callers = open_kept(world, range(6), case.port)
                host = find_holder(world, callers[0])
                held = [it for it in callers if find_holder(world, it) == host]
                if case.lost == "depart":
                    world.depart(host)
                else:
                    self.apply(world, case, host)
                returned_at = world.now
                world.run((case.notice_s or 5.0) + 0.2)
                reset = [caller for caller in held if caller.is_reset]
                self.assertEqual(len(reset), 0 if case.notice_s is None else len(held))
                self.assertEqual(world.live_resets, [])
                early = [at for at, _ in world.notices if at < returned_at]
                self.assertEqual(early, [], "notice without a report")
                if not case.is_open:
                    continue
                world.run(2.0)
                for caller in callers:
                    caller.request(b"third-%d" % int.from_bytes(caller.flow[4:6]))
                world.run(2.0)
                outcomes = {caller.calls[-1].outcome for caller in callers}
                self.assertEqual(outcomes, {"answered"})

    def test_flows_that_have_ended_or_are_not_kept_are_not_notified(self):
        for case in ("flow for one request", "caller ends", "upstream resets"):
            with self.subTest(case):
                world = make_world()
                if case == "flow for one request":
                    caller = world.call(1, KEPT_PORT)
                    world.run(0.5)
                else:
                    caller = open_kept(world, [1])[0]
                host = find_holder(world, caller)
                if case == "flow for one request":
                    caller.finish()
                    world.run(2.5)
                if case == "caller ends":
                    world.upstreams[host].crash()
                    caller.finish()
                elif case == "upstream resets":
                    world.upstreams[host].is_failing = True
                    caller.request(b"fails")
                world.run(1.5)
                world.upstreams[host].crash()
                world.start_upstream(host, "desk")
                world.run(2.0)
                self.assertEqual(world.notices, [])

    def test_flow_kept_open_after_its_first_request_is_notified(self):
        world = make_world()
        callers = open_idle(world, range(6))
        host = find_holder(world, callers[0])
        held = [it for it in callers if find_holder(world, it) == host]
        world.upstreams[host].crash()
        world.start_upstream(host, "desk")
        world.run(0.7)
        self.assertTrue(all(caller.is_reset for caller in held))
        self.assertEqual(world.live_resets, [])

    def test_lost_flow_is_not_registered_for_the_next_incarnation(self):
        """Its agent still tracks it when the next incarnation announces itself."""
        world = make_world()
        callers = open_idle(world, range(6))
        host = find_holder(world, callers[0])
        for _ in range(2):
            world.upstreams[host].crash()
            world.start_upstream(host, "desk")
            world.run(6.0)
            notified = len(world.notices)
        world.upstreams[host].crash()
        world.start_upstream(host, "desk")
        world.run(6.0)
        self.assertEqual(len(world.notices), notified)

    def test_flow_with_the_address_of_a_lost_one_is_not_reset(self):
        """The former host returns only then; the position tells the two apart."""
        world = make_world()
        host = find_holder(world, open_kept(world, [1])[0])
        # An entry host that remembers the lost flow would offer the new one there.
        lose(world, [host, *world.entry_hosts])
        restore(world, world.entry_hosts)
        world.run(3.0)
        caller = world.call(1, KEPT_PORT)
        world.run(1.0)
        self.assertEqual(caller.calls[0].outcome, "answered")
        restore(world, [host])
        world.run(2.0)
        self.assertGreater(len(world.notices), 0)
        self.assertFalse(caller.is_reset)

    def test_one_control_host_suffices(self):
        """The other one that holds the records is cut off, or down."""
        for lost in range(3):
            with self.subTest(lost=lost):
                world = make_world()
                caller = open_kept(world, [1])[0]
                host = find_holder(world, caller)
                world.crash(world.control_hosts[lost])
                world.upstreams[host].crash()
                world.run(1.0)
                world.start_upstream(host, "desk")
                world.run(0.5)
                self.assertTrue(caller.is_reset)

    def test_flow_accepted_before_the_first_announcement_is_not_reset(self):
        """Until the next incarnation announces itself, its agent takes it for the
        former one."""
        world = make_world()
        for host in [*world.upstreams]:
            world.upstreams[host].crash()
            world.start_upstream(host, "desk")
            world.upstreams[host].born_ms += 1
        callers = [world.call(number, KEPT_PORT) for number in range(6)]
        world.run(0.04)
        for caller in callers:
            caller.request(b"second-%d" % int.from_bytes(caller.flow[4:6]))
        world.run(5.0)
        self.assertEqual(world.live_resets, [])
        self.assertFalse(any(caller.is_reset for caller in callers))


class RandomLossTest(unittest.TestCase):
    @settings(max_examples=EXAMPLES)
    @given(st.integers(0, 1 << 32))
    def test_no_live_flow_is_reset(self, seed):
        world = make_world(seed=seed % 1000)
        random = Random(seed)
        hosts = [*world.control_hosts, *world.entry_hosts, *world.upstreams]
        callers = open_kept(world, range(4))
        for _ in range(random.randint(6, 12)):
            self.disturb(world, random, hosts, callers)
            world.run(random.uniform(0.1, 2.0))
        world.heal()
        world.run(5.0)
        notified = {flow for _, flow in world.notices}
        reset = [it for it in world.live_resets if it[1] in notified]
        self.assertEqual(reset, [])

    def disturb(self, world, random, hosts, callers):
        """Do one random thing to the world."""
        host = random.choice(hosts)
        agents = [*world.upstreams]
        match random.randrange(10):
            case 0 | 1:
                lose(world, [host])
                world.call_later(
                    random.uniform(0.1, 4.0),
                    lambda: host in world.cores or restore(world, [host]),
                )
            case 2:
                lose(world, [*world.cores])
                world.run(random.uniform(0.5, 5.0))
                restore(world, [it for it in hosts if it not in world.cores])
            case 3:
                world.freeze(host, random.uniform(0.1, 4.0))
            case 4:
                world.cut_one_way([host], random.sample(hosts, 3))
            case 5:
                world.heal()
            case 6:
                agent = random.choice(agents)
                world.upstreams[agent].crash()
                started = world.start_upstream(agent, "desk")
                if random.random() < 0.3:
                    started.born_ms = random.randrange(1, started.born_ms)
            case 7:
                agent = random.choice(agents)
                if agent in world.cores:
                    world.crash(agent)
                    world.start_agent(agent)
            case 8:
                caller = random.choice(callers)
                if random.random() < 0.5:
                    caller.finish()
                number = int.from_bytes(caller.flow[4:6]) - 20_000
                caller.is_open = False
                callers.append(world.call(number, KEPT_PORT))
            case _:
                for caller in callers[-6:]:
                    if caller.is_open and world.callers[caller.flow] is caller:
                        caller.request(
                            b"next-%d-%f" % (callers.index(caller), world.now)
                        )


if __name__ == "__main__":
    unittest.main()
