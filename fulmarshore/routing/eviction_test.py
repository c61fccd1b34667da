"""Agents that are evicted while they still run: each flow keeps a single owner."""

from unittest import TestCase

from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    Declined,
    DeltaRequest,
    Eviction,
    EvictionDone,
    Forward,
    LinkMessage,
    LoadReport,
    PeerMessage,
    Reason,
    Refusal,
    Removed,
    Takeover,
    TakeoverReply,
    Tick,
    ViewCheck,
    Zone,
)
from fulmarshore.membership.view import change_view, make_delta
from fulmarshore.routing.agent_test import (
    VERSION,
    AgentCase,
    get_address,
    make_member,
    make_view,
)
from fulmarshore.routing.arbitration import ASSIGNMENT_BITS
from fulmarshore.routing.eviction import (
    MAX_PENDING,
    RECENT_CONTACT_S,
    WAIT_TIMEOUT_S,
)
from fulmarshore.standins.network import Faults
from fulmarshore.standins.routing import RoutedRegion

PORTS = range(40)
EVICTED_S = 4.0
"""Time after which an unreachable agent is evicted; longer than a lease."""
LOSSY = Faults(loss=0.3, max_delay=0.1)


class EvictedRegionTest(TestCase):
    def make_region(self, seed, faults=None):
        region = RoutedRegion(seed, {"book": 4}, entries=3, max_hints=64)
        region.send_all("book", PORTS, rounds=2)
        region.network.faults = faults or Faults()
        return region

    def check(self, region, rounds=4):
        held = set()
        for _ in range(rounds):
            for port in PORTS:
                region.send("book", port)
            region.network.run(0.25)
            held.update(map(region.get_flow, ["book"] * len(PORTS), PORTS))
        self.assertEqual(region.opened_twice, 0)
        for flow in held:
            self.assertLessEqual(len(region.list_holders(flow)), 1)

    def test_an_agent_that_returns_has_no_flow_that_others_opened(self):
        # An evicted agent came back with the flows of its former membership,
        # which peers had opened meanwhile (soak, seed 4).
        for seed in range(3):
            for faults in (Faults(), LOSSY):
                with self.subTest(seed=seed, faults=faults):
                    region = self.make_region(seed, faults)
                    region.network.cut("control", "entry0")
                    region.network.partition(["control"], ["book-0"])
                    region.network.run(EVICTED_S)
                    self.assertFalse(region.is_member("book-0"))
                    self.check(region)
                    region.network.heal()
                    self.check(region, rounds=16)
                    self.assertTrue(region.is_member("book-0"))

    def test_a_successor_of_an_evicted_agent_recovers_nothing(self):
        # A planned restart after an eviction recovered flows that peers had
        # opened meanwhile (soak, seed 3).
        region = self.make_region(3)
        region.network.partition(["control"], ["book-0"])
        region.network.run(EVICTED_S)
        self.check(region)
        region.network.heal()
        region.restart("book-0")
        self.check(region)
        self.assertEqual(region.get_agent("book-0").counters["flows_recovered"], 0)

    def test_all_agents_evicted_by_a_partition_of_control(self):
        # Control evicts all agents. A new process is the first member again, and
        # its view lists no former members, which still serve flows.
        for seed in range(3):
            with self.subTest(seed=seed):
                region = self.make_region(seed)
                names = [name for name in region.network.nodes if name != "control"]
                region.network.partition(["control"], names)
                region.network.run(EVICTED_S)
                region.add_agent("book-0", "book", "a")
                region.network.heal()
                self.check(region, rounds=8)

    def test_a_control_outage_breaks_no_flow(self):
        region = self.make_region(1)
        before = dict(region.owners)
        region.crash("control")
        for _ in range(6):
            region.send_all("book", PORTS)
            region.network.run(1.0)
        self.assertEqual(region.owners, before)
        self.assertEqual((region.opened_twice, region.moved), (0, set()))


class SelfEvictionTest(AgentCase):
    def evict(self, core, now):
        eviction = Eviction("s", "b", 1, 9, "a", 1, Reason.EVICTED)
        return self.send(core, eviction, get_address("b"), now)

    def admit(self, core, version=VERSION):
        flow = self.find_flow(core, "b")
        assignment = (version << ASSIGNMENT_BITS) + 1
        self.send(core, self.make_packet(flow, assignment), get_address("b"))
        return flow

    def test_flows_opened_before_the_eviction_end_and_later_ones_stay(self):
        table = [(VERSION, False), (9, False), (10, True)]
        for version, stays in table:
            with self.subTest(version=version):
                core = self.start()
                flow = self.admit(core, version)
                self.assertIn(flow, core.flows)
                effects = self.evict(core, 3.0)
                self.assertEqual(flow in core.flows, stays)
                self.assertEqual(bool(self.list_sent(effects, Refusal)), not stays)
                done = self.list_sent(effects, EvictionDone)
                self.assertEqual([d.version for d in done], [9])

    def test_no_flow_is_admitted_under_an_older_view(self):
        core = self.start()
        self.evict(core, 3.0)
        self.assertFalse(core.homes.settled)
        self.assertFalse(self.admit(core) in core.flows)

    def test_evictions_of_other_incarnations_or_by_unknown_senders(self):
        table = [
            ("earlier incarnation", 0, get_address("b"), []),
            ("unknown sender", 1, get_address("x"), [DeltaRequest]),
        ]
        for title, incarnation, source, expected in table:
            with self.subTest(title):
                core = self.start()
                flow = self.admit(core)
                eviction = Eviction("s", "b", 1, 9, "a", incarnation, Reason.EVICTED)
                effects = self.send(core, eviction, source)
                self.assertEqual([type(e.message) for e in effects], expected)
                self.assertIn(flow, core.flows)

    def test_removal_and_return_in_one_delta_end_the_flows(self):
        core = self.start()
        flow = self.admit(core)
        view = change_view(make_view(), 8, [], [])
        gone = change_view(view, 9, [make_member("a", incarnation=2)], [])
        back = change_view(gone, 10, [make_member("a")], [])
        core.handle(LinkMessage("x", make_delta(back, 0)), 3.0)
        self.assertNotIn(flow, core.flows)
        self.assertFalse(core.homes.settled)


class EvictionWaitTest(AgentCase):
    def remove(self, core, now):
        view = change_view(make_view(), 9, [], [Removed(9, "Member", "c")])
        core.handle(LinkMessage("x", make_delta(view, VERSION)), now)

    def open(self, core, now):
        flow = self.find_flow(core, "a")
        return flow, self.send(core, self.make_packet(flow, version=9), now=now)

    def test_openings_wait_for_an_evicted_agent_with_recent_contact(self):
        self.assertLess(WAIT_TIMEOUT_S, RECENT_CONTACT_S)
        done = EvictionDone("s", "c", 1, 9)
        other = get_address("b")
        check = ViewCheck("s", "c", 1, VERSION, 1)
        table = [
            ("unresponsive for long", 2.0, None, 5.0, True),
            ("recent contact", 4.5, None, 5.0, False),
            ("done", 4.5, done, 5.0, True),
            ("done under an older view", 4.5, EvictionDone("s", "c", 1, 8), 5.0, False),
            ("earlier incarnation", 4.5, EvictionDone("s", "c", 0, 9), 5.0, False),
            ("from another address", 4.5, (done, other), 5.0, False),
            ("no reply", 4.5, None, 5.0 + WAIT_TIMEOUT_S, True),
            ("contact after the removal", 2.0, check, 5.0, False),
        ]
        for title, contact_at, message, now, is_open in table:
            with self.subTest(title):
                core = self.start()
                self.send(core, check, get_address("c"), contact_at)
                self.remove(core, 5.0)
                source = get_address("c")
                if isinstance(message, tuple):
                    message, source = message
                if message is not None:
                    self.send(core, message, source, 5.0)
                core.handle(Tick(), now)
                flow, _ = self.open(core, now)
                self.assertEqual(flow in core.flows, is_open)

    def test_an_unresponsive_agent_in_a_zone_that_goes_out_is_waited_for(self):
        # The agent had sent nothing but keepalives, so its last contact was
        # long before its zone went out (soak, seed 3).
        core = self.start()
        view = change_view(make_view(), 9, [Zone("zc", True)], [])
        core.handle(LinkMessage("x", make_delta(view, VERSION)), 50.0)
        flow, _ = self.open(core, 50.0)
        self.assertNotIn(flow, core.flows)
        core.handle(PeerMessage(get_address("c"), EvictionDone("s", "c", 1, 9)), 50.1)
        self.assertIn(flow, core.flows)

    def test_an_agent_that_does_not_reply_is_waited_for_once(self):
        core = self.start()
        check = ViewCheck("s", "c", 1, VERSION, 1)
        self.remove(core, 5.0)
        for now, is_waiting in ((5.0, True), (6.0, False), (6.1, False)):
            self.send(core, check, get_address("c"), now)
            core.handle(Tick(), now)
            self.assertEqual(core.evictions.is_waiting(now), is_waiting)

    def test_pending_evictions_of_unknown_agents_are_bounded(self):
        core = self.start()
        for number in range(2 * MAX_PENDING):
            check = ViewCheck("s", f"x{number}", 1, VERSION - 1, 1)
            self.send(core, check, get_address("x"), 5.0)
        self.assertEqual(len(core.evictions.list_due(set(), 6.0)), MAX_PENDING)
        empty = Takeover("s", "b", 1, VERSION, [])
        self.assertEqual(self.send(core, empty, get_address("b"), 5.0), [])

    def test_an_agent_that_announced_its_departure_is_not_waited_for(self):
        core = self.start()
        self.send(core, ViewCheck("s", "c", 1, VERSION, 1), get_address("c"), 4.5)
        self.send(core, EvictionDone("s", "c", 1, VERSION), get_address("c"), 4.9)
        self.remove(core, 5.0)
        flow, _ = self.open(core, 5.0)
        self.assertIn(flow, core.flows)

    def test_no_bucket_is_given_while_an_eviction_is_pending(self):
        core = self.start()
        self.send(core, LoadReport("s", "c", 1, 3, 0, 50, 1, 0), get_address("c"), 4.5)
        self.remove(core, 5.0)
        takeover = Takeover("s", "b", 1, 9, [find_bucket(self.find_flow(core, "a"))])
        effects = self.send(core, takeover, get_address("b"), 5.0)
        self.assertEqual(self.list_sent(effects, TakeoverReply), [])
        done = EvictionDone("s", "c", 1, 9)
        effects = self.send(core, done, get_address("c"), 5.001)
        self.assertEqual(len(self.list_sent(effects, TakeoverReply)), 1)

    def test_the_first_member_of_a_service_waits_after_its_start(self):
        core = self.start()
        flow = self.find_flow(core, "a")
        packet = self.make_packet(flow)
        self.send(core, packet, now=0.5 * WAIT_TIMEOUT_S)
        self.assertNotIn(flow, core.flows)
        core.handle(Tick(), WAIT_TIMEOUT_S)
        self.assertIn(flow, core.flows)


class DeclinedTest(AgentCase):
    def test_only_the_newest_declined_assignment_is_retried(self):
        core = self.start(connections=0)
        flow = self.find_flow(core, "a")
        owner = core.service.by_name["b"]
        numbers = [core.arbiter.assign(flow, owner, VERSION, True, 2.0) for _ in "12"]
        targets = []
        for number in numbers:
            packet = self.make_packet(flow, number, target="b")
            declined = Declined("b", 1, VERSION, 50, packet)
            effects = self.send(core, declined, get_address("b"))
            targets.append(
                [forwarded.target for forwarded in self.list_sent(effects, Forward)]
            )
        self.assertEqual(targets, [[], ["c"]])
