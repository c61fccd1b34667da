"""Flows whose callers pause, before their first request and between requests.

Guards against resets of flows that their upstream holds: by an agent that forgets one
too soon, or that takes one for its own because of a repeated answer to an opening.
"""

import unittest
from collections import Counter
from dataclasses import dataclass

from fulmarshore.direct.world_test import DESK, list_upstreams, make_world

FLOWS = 24
PAUSES_S = (2.0, 6.0, 10.0)
"""With the 4.7 s in which flows are opened, less than the idle time-out of 15 s."""


@dataclass
class Case:
    """What happens while the callers pause."""

    name: str
    changes: tuple = ()
    loss: float = 0.0
    repeats_answers: bool = False


CASES = [
    Case("nothing"),
    Case("entry hosts restart", (("stop_entry", 0), ("stop_entry", 1))),
    Case("entry hosts crash", (("crash_entry", 0), ("crash_entry", 1))),
    Case("agents restart", (("stop_agents", 0),)),
    Case("agents crash", (("crash_agents", 0),)),
    Case("agents and entry hosts restart", (("stop_agents", 0), ("stop_entry", 0))),
    Case("control hosts lose power", (("power_controls", 0),)),
    Case("answers are lost", loss=0.4),
    Case("lost and repeated", loss=0.4, repeats_answers=True),
    Case("lost, repeated, entry hosts restart", (("stop_entry", 0),), 0.4, True),
    Case("lost, repeated, entry hosts crash", (("crash_entry", 0),), 0.4, True),
    Case("lost, repeated, agents restart", (("stop_agents", 0),), 0.4, True),
]


def change(world, kind, number):
    """Stop or crash hosts, and start them again."""
    match kind:
        case "stop_entry" | "crash_entry":
            hosts, start = [world.entry_hosts[number]], world.start_entry
        case "stop_agents" | "crash_agents":
            hosts, start = list(world.upstreams), world.start_agent
        case "power_controls":
            hosts, start = list(world.control_hosts), world.start_control
    for host in hosts:
        if kind.startswith("stop"):
            world.stop(host)
            world.run_until(lambda host=host: host not in world.cores, 6.0)
        else:
            world.crash(host, loses_power=kind.startswith("power"))
    world.run(0.3)
    for host in hosts:
        start(host)


class IdleFlowsTest(unittest.TestCase):
    def open_flows(self, case, seed, requests_first):
        world = make_world(seed=seed, agents={"desk": 4})
        for upstream in world.upstreams.values():
            upstream.repeats_answers = case.repeats_answers
        world.loss_to_callers = case.loss
        callers = []
        for number in range(FLOWS):
            caller = world.add_caller(number, DESK)
            if requests_first:
                caller.request(b"first-%d" % number)
            else:
                caller.open()
            callers.append(caller)
            world.run(0.05)
        world.run(1.5)
        world.loss_to_callers = 0.0
        world.run(2.0)
        return world, callers

    def play(self, case, seed, pause_s, requests_first=False):
        """Open flows, pause, and send a request on each that is open."""
        world, callers = self.open_flows(case, seed, requests_first)
        started = world.now
        for kind, number in case.changes:
            change(world, kind, number)
        world.run(max(0.0, pause_s - (world.now - started)))
        opened = [caller for caller in callers if caller.is_open]
        self.assertGreater(len(opened), FLOWS // 2)
        calls = [caller.request(b"later-%d" % n) for n, caller in enumerate(opened)]
        world.run(4.0)
        self.assertEqual(world.live_resets, [])
        self.assertEqual(
            Counter(call.outcome for call in calls), {"answered": len(calls)}
        )
        for upstream in list_upstreams(world):
            self.assertEqual(upstream.forged, [])

    def test_first_request_after_a_pause(self):
        for case in CASES:
            for seed in range(3):
                for pause_s in PAUSES_S:
                    with self.subTest(case.name, seed=seed, pause_s=pause_s):
                        self.play(case, seed, pause_s)

    def test_next_request_after_a_pause(self):
        for case in CASES:
            with self.subTest(case.name):
                self.play(case, 1, 9.0, requests_first=True)

    def test_repeated_answer_makes_no_agent_a_holder(self):
        """Entry hosts that search a flow must find only the agent that holds it."""
        for seed in range(4):
            with self.subTest(seed=seed):
                case = Case("", loss=0.5, repeats_answers=True)
                world, callers = self.open_flows(case, seed, requests_first=False)
                for caller in callers:
                    holders = [
                        host
                        for host in world.upstreams
                        if (found := world.cores[host]._flows.get(caller.flow))
                        and found.is_open
                    ]
                    held = [
                        host
                        for host, upstream in world.upstreams.items()
                        if caller.flow in upstream.flows
                    ]
                    self.assertEqual(holders, held)


if __name__ == "__main__":
    unittest.main()
