"""Queueing of openings for busy upstreams, between entry hosts and agents."""

import unittest
from random import Random

from fulmarshore.direct.agent import AgentCore
from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.gate import UpstreamBounds
from fulmarshore.direct.packets import MARK_QUEUED, SYN, parse_packet
from fulmarshore.direct.records import (
    Backend,
    CallerPacket,
    Route,
    SendPoll,
    SendToEntry,
    ServicePolicy,
    Table,
    Update,
    UpdateReceived,
    UpstreamAnnounced,
)
from fulmarshore.direct.world_test import DESK, make_world
from fulmarshore.standins.directends import make_flow, make_packet


def make_busy_world(hosts=2, work_s=1.0, **options):
    """Return a world whose upstreams have one slot each and serve slowly."""
    world = make_world(agents={"desk": hosts}, **options)
    for host in list(world.upstreams):
        world.upstreams[host].crash()
        world.start_upstream(host, "desk", work_s, slots=1)
    world.run(2.0)
    return world


def count(world, name):
    """Return a counter, summed over entry hosts and agents."""
    return sum(core.counters[name] for core in world.cores.values())


def make_agent(slots=1):
    """Return an agent with a configuration and an upstream."""
    agent = AgentCore("10.0.0.9", "a", [], 1, UpstreamBounds())
    flow = make_flow(1, DESK)
    route = Route(flow[6:], (Backend("desk", 1),))
    agent.tables.replace(Table(1, 1, (route,), (ServicePolicy("desk", 99, 0.0),)))
    agent.handle(UpstreamAnnounced("u", 1, 1, "desk", "a", slots, True, 0.0), 0.0)
    return agent


class QueueingTest(unittest.TestCase):
    def test_queued_opening_is_not_offered_to_other_agents(self):
        world = make_busy_world()
        for number in range(4):
            world.call(number, DESK)
            world.run(0.02)
        waiting = world.call(9, DESK)
        offered = count(world, "flows_offered")
        world.run(0.1)
        offered_at_first = count(world, "flows_offered")
        world.run(0.2)
        self.assertGreater(offered_at_first, offered - 1)
        self.assertEqual(count(world, "openings_queued"), 1)
        self.assertEqual(count(world, "flows_offered"), offered_at_first)
        self.assertEqual(count(world, "openings_repeated"), 0)
        self.assertEqual(waiting.calls[0].outcome, "")

    def test_queued_openings_go_elsewhere_when_their_upstream_drains(self):
        world = make_busy_world(work_s=0.4)
        for number in range(4):
            world.call(number, DESK)
            world.run(0.01)
        callers = [world.call(number, DESK, 5.0) for number in range(10, 14)]
        world.run(0.1)
        leaving, staying = sorted(world.upstreams)
        world.upstreams[staying].work_s = 0.01
        world.draining.add(leaving)
        world.announce(leaving)
        opened = len(world.upstreams[leaving].opened)
        world.run(0.15)
        self.assertEqual(world.cores[leaving].queue_length, 0)
        world.run(1.5)
        self.assertEqual(len(world.upstreams[leaving].opened), opened)
        outcomes = [caller.calls[0].outcome for caller in callers]
        self.assertIn("answered", outcomes)

    def test_queued_opening_is_rejected_after_the_queue_timeout(self):
        world = make_busy_world(work_s=3.0)
        for number in range(4):
            world.call(number, DESK)
            world.run(0.02)
        call = world.call(9, DESK).calls[0]
        world.run(1.2)
        self.assertEqual(call.outcome, "reset")
        self.assertAlmostEqual(call.ended_at - call.sent_at, 0.65, delta=0.1)

    def test_admitted_openings_are_offered_to_one_agent(self):
        world = make_world()
        world.delay_to_callers_s = 0.1  # Distant callers answer late.
        offered = count(world, "flows_offered")
        for number in range(10):
            world.call(number, DESK)
            world.run(0.05)
        world.run(0.5)
        self.assertEqual(count(world, "flows_offered") - offered, 10)
        self.assertEqual(count(world, "offers_unanswered"), 0)

    def test_newly_named_control_hosts_are_polled_at_once(self):
        entry = EntryCore("10.0.0.5", "a", ["c1"], Random(1))
        update = Update(("c2", "c3"), "c2", 0, b"", 7, 0, 0.0, 99.0)
        effects = entry.handle(UpdateReceived("c1", update), 0.1)
        polled = [effect.host for effect in effects if isinstance(effect, SendPoll)]
        self.assertEqual(polled[-2:], ["c2", "c3"])

    def test_copies_of_a_queued_opening_are_ignored(self):
        agent = make_agent()
        flows = [make_flow(number, DESK) for number in range(3)]
        sent = []
        for flow in (*flows, flows[2]):
            opening = make_packet(flow[:6], flow[6:], SYN, 1, 0)
            sent += agent.handle(CallerPacket(opening), 0.1)
        marks = [
            parse_packet(effect.content).mark
            for effect in sent
            if isinstance(effect, SendToEntry)
        ]
        self.assertEqual(marks.count(MARK_QUEUED), 1)
        self.assertEqual(agent.counters["openings_queued"], 1)

    def test_entry_host_discards_openings_but_not_idle_flows(self):
        world = make_world(entries=1)
        caller = world.call(1, DESK)
        world.run(0.5)
        world.loss_to_callers = 1.0
        world.call(2, DESK, 1.0)
        world.run(1.0)
        world.loss_to_callers = 0.0
        entry = world.cores[world.entry_hosts[0]]
        self.assertEqual(entry.flow_count, 2)
        world.run(5.0)
        self.assertEqual(entry.flow_count, 1)
        caller.request(b"again")
        world.run(0.2)
        self.assertEqual(caller.calls[1].outcome, "answered")
        self.assertEqual(entry.counters["flows_sought"], 0)

    def test_more_than_three_agents_get_an_offer_if_some_do_not_reply(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                world = make_world(seed=seed, agents={"desk": 6})
                for host in sorted(world.upstreams)[:4]:
                    world.freeze(host, 5.0)
                callers = []
                for number in range(30):
                    callers.append(world.call(number, DESK))
                    world.run(0.001)
                world.run(1.0)
                calls = [caller.calls[0] for caller in callers]
                self.assertEqual({call.outcome for call in calls}, {"answered"})
                slowest = max(call.ended_at - call.sent_at for call in calls)
                self.assertLess(slowest, 0.2)


if __name__ == "__main__":
    unittest.main()
