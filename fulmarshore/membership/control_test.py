"""Leases, subscriptions and replies with three control hosts."""

from random import Random
from unittest import TestCase

from fulmarshore.core.records import (
    Change,
    ChangeReply,
    ChangeStatus,
    Identity,
    LinkMessage,
    Member,
    MemberState,
    StatusReply,
    StatusRequest,
    Subscribe,
    Tick,
    Zone,
)
from fulmarshore.membership.leases import LEASE_S, LeaseTable
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import View, change_view
from fulmarshore.standins.region import Region

MOVE_BOUND_S = 3.0


class Process:
    """A process with only a subscriber."""

    def __init__(self, subscriber):
        self.subscriber = subscriber

    def handle(self, event, now):
        before = self.subscriber.view.version
        if isinstance(event, Tick):
            return self.subscriber.tick(now)
        effects = self.subscriber.handle(event, now)
        assert self.subscriber.view.version >= before, "versions only go up"
        return effects


class Listener:
    """Records the messages that it receives."""

    def __init__(self):
        self.answers = []

    def handle(self, event, now):
        if isinstance(event, LinkMessage):
            self.answers.append(event.message)
        return []


class ControlTest(TestCase):
    def make_region(self, seed=1, count=4, **arguments):
        region = Region(seed, **arguments)
        for number in range(count):
            self.add_process(region, f"m{number}")
        region.network.add("op", Listener())
        region.network.run(1.5)
        return region

    def add_process(self, region, name, incarnation=1, controls=None):
        member = Member(name, incarnation, "s", "a", name, 1)
        subscriber = Subscriber(
            Identity(name, incarnation), member, controls or region.names, Random(name)
        )
        region.network.add(name, Process(subscriber))
        return subscriber

    def submit(self, region, number, items, via=None, operator="op"):
        answers = region.network.nodes["op"].core.answers
        via = via or region.find_leader().name
        change = Change(number, operator, items, [])
        until = region.network.now + 10
        count = len(answers)
        while region.network.now < until:
            region.network.inject(via, LinkMessage("op", change))
            region.network.run(0.5)
            finals = [
                answer
                for answer in answers[count:]
                if isinstance(answer, ChangeReply)
                and answer.status != ChangeStatus.UNAVAILABLE
            ]
            if finals:
                return finals[0]
        raise AssertionError("no answer")

    def list_members(self, region):
        state = region.find_leader().state
        return sorted(key[1] for key in state.view.items if key[0] == "Member")

    def list_versions(self, region, names):
        return [
            region.network.nodes[name].core.subscriber.view.version for name in names
        ]

    def test_reply_belongs_to_the_submitted_change(self):
        """A paused leader resumes after another leader has replaced its entry.

        In one step it learns that the entry was replaced, that the new one is
        committed, and that it is no longer the leader.
        """
        for seed in range(12):
            with self.subTest(seed=seed):
                region = Region(seed)
                region.network.add("op", Listener())
                region.network.add("rival", Listener())
                former = region.find_leader()
                number = former.state.next_number
                region.isolate(former.name)
                for operator in ("other", "op"):
                    change = Change(number, operator, [Zone("a")], [])
                    region.network.inject(former.name, LinkMessage("op", change))
                region.network.pause(former.name)
                region.network.run(3.0)
                leader = region.find_leader().name
                change = Change(number, "rival", [Zone("a", True)], [])
                region.network.inject(leader, LinkMessage("rival", change))
                region.network.run(0.5)
                region.network.heal()
                region.network.run(0.5)
                region.network.resume_all()
                region.network.run(0.5)
                answers = region.network.nodes["op"].core.answers
                statuses = {answer.status for answer in answers}
                self.assertEqual(statuses, {ChangeStatus.UNAVAILABLE})
                rival = region.network.nodes["rival"].core.answers[0]
                self.assertEqual(rival.status, ChangeStatus.ACCEPTED)

    def test_subscribers_of_an_isolated_control_host_switch(self):
        for role in ("leader", "follower"):
            with self.subTest(role):
                region = self.make_region(count=9)
                leader = region.find_leader().name
                cut = leader
                if role == "follower":
                    cut = next(name for name in region.names if name != leader)
                region.isolate(cut)
                names = [f"m{number}" for number in range(9)]
                at_cut = [
                    name
                    for name in names
                    if region.network.nodes[name].core.subscriber.control == cut
                ]
                self.assertTrue(at_cut, "the isolated host has subscribers")
                region.network.run(MOVE_BOUND_S)
                via = region.find_leader().name
                self.assertNotEqual(via, cut)
                reply = self.submit(region, 1, [Zone("a", True)], via)
                region.network.run(0.3)
                for version in self.list_versions(region, names):
                    self.assertGreaterEqual(version, reply.version)
                self.assertEqual(self.list_members(region), names)

    def test_unresponsive_link_is_replaced(self):
        region = self.make_region(count=0)
        subscriber = self.add_process(region, "m0", controls=["c1"])
        region.network.run(1.0)
        region.network.blackhole_link("m0", "c1")
        region.network.run(MOVE_BOUND_S)
        reply = self.submit(region, 1, [Zone("a", True)])
        region.network.run(0.3)
        self.assertGreaterEqual(subscriber.view.version, reply.version)
        self.assertEqual(self.list_members(region), ["m0"])

    def test_resent_change_gets_the_original_reply(self):
        table = ["same leader", "new leader", "snapshot and new leader", "power loss"]
        for label in table:
            with self.subTest(label):
                region = self.make_region(count=0, snapshot_entries=4)
                first = self.submit(region, 1, [Zone("a", True)])
                for number in range(2, 12 if "snapshot" in label else 3):
                    self.submit(region, number, [Zone("a", bool(number % 2))])
                if "new leader" in label:
                    region.isolate(region.find_leader().name)
                    region.network.run(3.0)
                    region.network.heal()
                if label == "power loss":
                    for name in region.names:
                        region.crash(name)
                    for name in region.names:
                        region.start(name)
                    region.network.run(3.0)
                for via in region.names:
                    again = self.submit(region, 1, [Zone("a", True)], via)
                    self.assertEqual(again, first)
                    other = self.submit(region, 1, [Zone("b", True)], via)
                    self.assertEqual(other.status, ChangeStatus.CONFLICT)

    def test_leases_expire_end_and_return(self):
        region = self.make_region(count=4)
        members = ["m0", "m1", "m2", "m3"]
        self.assertEqual(self.list_members(region), members)
        region.network.stop("m0")
        region.network.run(LEASE_S + 1.0)
        self.assertEqual(self.list_members(region), members[1:], "expired")
        leaving = region.network.nodes["m1"].core.subscriber
        region.network.stop("m1")
        for effect in leaving.leave():
            region.network.inject(effect.peer, LinkMessage("m1", effect.message))
        region.network.run(0.5)
        self.assertEqual(self.list_members(region), members[2:], "left")
        late = Subscribe(leaving.identity, leaving.announcement, 0)
        region.network.inject(region.find_leader().name, LinkMessage("m1", late))
        region.network.run(0.5)
        self.assertEqual(self.list_members(region), members[2:], "late announcement")
        self.add_process(region, "m1", incarnation=2)
        region.network.run(1.5)
        self.assertEqual(self.list_members(region), members[1:], "returned")

    def test_new_leader_gives_everyone_a_full_lease(self):
        region = self.make_region(count=6)
        members = self.list_members(region)
        for _ in range(3):
            region.crash(region.find_leader().name)
            region.network.run(2.5)
            for name in region.names:
                if not region.is_running(name):
                    region.start(name)
            region.network.run(2.0)
            self.assertEqual(self.list_members(region), members)
        expired = [
            effect
            for _, _, effect in region.network.outbox
            if getattr(effect, "kind", "") == "lease_expired"
        ]
        self.assertEqual(expired, [])

    def test_isolated_control_hosts_expire_no_member(self):
        for case in ("one by one", "stopped for good"):
            with self.subTest(case):
                region = self.make_region(count=6)
                members = self.list_members(region)
                region.network.partition(region.names, members)
                region.network.run(20 * LEASE_S)
                self.assertEqual(self.list_members(region), members)
                version = region.find_leader().state.view.version
                if case == "stopped for good":
                    for name in members[1:]:
                        region.network.stop(name)
                    region.network.heal()
                    region.network.run(2 * LEASE_S)
                    self.assertEqual(self.list_members(region), members[:1])
                    continue
                for count in range(1, len(members) + 1):
                    region.network.heal()
                    region.network.partition(region.names, members[count:])
                    region.network.run(LEASE_S / 8)
                region.network.run(2 * LEASE_S)
                self.assertEqual(self.list_members(region), members)
                self.assertEqual(region.find_leader().state.view.version, version)

    def test_late_duplicate_of_an_announcement_is_ignored(self):
        region = self.make_region(count=1)
        subscriber = region.network.nodes["m0"].core.subscriber
        accepting = Subscribe(subscriber.identity, subscriber.announcement, 0)
        draining = Member(*("m0", 1, "s", "a", "m0", 1), state=MemberState.DRAINING)
        for effect in subscriber.announce(draining):
            region.network.inject(effect.peer, LinkMessage("m0", effect.message))
        region.network.run(0.5)
        for name in region.names:
            region.network.inject(name, LinkMessage("stale", accepting))
        region.network.run(1.5)
        member = region.find_leader().state.view.items[("Member", "m0")].item
        self.assertEqual(member.state, MemberState.DRAINING)

    def test_mass_start_takes_few_entries(self):
        region = self.make_region(count=0)
        before = region.find_leader().replica.commit
        for number in range(300):
            self.add_process(region, f"m{number}")
        region.network.run(2.0)
        self.assertEqual(len(self.list_members(region)), 300)
        self.assertLess(region.find_leader().replica.commit - before, 60)
        names = [f"m{number}" for number in range(299)]
        for name in names:
            region.network.stop(name)
        region.network.run(LEASE_S + 1.0)
        self.assertEqual(self.list_members(region), ["m299"])
        self.assertLess(region.find_leader().replica.commit - before, 90)

    def test_without_a_majority_nothing_is_accepted(self):
        region = self.make_region(count=1)
        leader = region.find_leader()
        for name in region.names:
            if name != leader.name:
                region.crash(name)
        change = Change(1, "op", [Zone("a", True)], [])
        for _ in range(6):
            region.network.inject(leader.name, LinkMessage("op", change))
            region.network.run(0.5)
        answers = region.network.nodes["op"].core.answers
        reported = {a.status for a in answers if isinstance(a, ChangeReply)}
        self.assertEqual(reported, {ChangeStatus.UNAVAILABLE})
        for name in region.names:
            if not region.is_running(name):
                region.start(name)
        region.network.run(3.0)
        reply = self.submit(region, 1, [Zone("a", True)])
        self.assertEqual(reply.status, ChangeStatus.ACCEPTED)

    def test_pending_expiry_is_not_proposed_again(self):
        leases = LeaseTable()
        member = Member("m", 1, "s", "a", "127.0.0.1", 1)
        view = change_view(View(), 1, [member], [])
        leases.reset(view, 0.0)
        table = [(1, LEASE_S / 2, 0), (1, LEASE_S, 1), (1, LEASE_S + 1, 0), (9, 9, 1)]
        for applied, now, count in table:
            with self.subTest(applied=applied, now=now):
                # Another process sends heartbeats all the time.
                leases.last_contact = now
                expired = leases.list_expired(view, applied, now)
                self.assertEqual(len(expired), count)
                leases.record_proposed(expired, 5)

    def test_returning_isolated_host_does_not_disrupt_the_leader(self):
        region = self.make_region(count=0)
        leader = region.find_leader()
        term = leader.replica.term
        region.isolate(next(name for name in region.names if name != leader.name))
        region.network.run(10.0)
        region.network.heal()
        region.network.run(2.0)
        self.assertIs(region.find_leader(), leader)
        self.assertEqual(leader.replica.term, term)

    def test_first_host_alone_accepts_nothing(self):
        region = Region(1, running=1)
        subscriber = self.add_process(region, "m0")
        region.network.add("op", Listener())
        change = Change(1, "op", [Zone("a", True)], [])
        for _ in range(4):
            region.network.inject("c0", LinkMessage("op", change))
            region.network.run(0.5)
        reported = {answer.status for answer in region.network.nodes["op"].core.answers}
        self.assertEqual(reported, {ChangeStatus.UNAVAILABLE})
        self.assertEqual(subscriber.lease_renewed_at, float("-inf"), "never fresh")
        region.start("c1")
        region.network.run(2.0)
        reply = self.submit(region, 1, [Zone("a", True)])
        self.assertEqual(reply.status, ChangeStatus.ACCEPTED)

    def test_new_process_applies_nothing_from_an_isolated_control_host(self):
        region = self.make_region(count=0)
        self.submit(region, 1, [Zone("a")])
        leader = region.find_leader().name
        cut = next(name for name in region.names if name != leader)
        region.isolate(cut)
        self.submit(region, 2, [Zone("a", True)], leader)
        stale = self.add_process(region, "m0", controls=[cut])
        moving = self.add_process(region, "m1", controls=[cut, leader])
        region.network.run(4.0)
        self.assertEqual(stale.view.version, 0)
        self.assertTrue(moving.view.items[("Zone", "a")].item.out)

    def test_group_recovers_from_one_disk_after_losing_a_majority(self):
        region = self.make_region(count=2)
        first = self.submit(region, 1, [Zone("a", True)])
        region.network.run(0.5)
        versions = self.list_versions(region, ["m0", "m1"])
        for name in region.names:
            region.crash(name)
        for name in region.names[1:]:
            region.disks[name].wipe()
        region.start("c0", recover=True)
        for name in region.names[1:]:
            region.start(name)
        self.assertTrue(region.run_until(region.has_all_voters))
        self.assertEqual(self.submit(region, 1, [Zone("a", True)]), first)
        second = self.submit(region, 2, [Zone("a", False)])
        region.network.run(2.0)
        for name, before in zip(("m0", "m1"), versions, strict=True):
            after = region.network.nodes[name].core.subscriber.view
            self.assertGreaterEqual(after.version, second.version)
            self.assertGreater(after.version, before)
            self.assertFalse(after.items[("Zone", "a")].item.out)

    def test_status_reports_leader_term_commit_and_replicas(self):
        region = self.make_region()
        leader = region.find_leader()
        region.wipe(next(name for name in region.names if name != leader.name))
        region.network.run(0.05)
        listener = region.network.nodes["op"].core
        for name in region.names:
            region.network.inject(name, LinkMessage("op", StatusRequest(is_local=True)))
        region.network.run(0.05)
        reported = [a for a in listener.answers if isinstance(a, StatusReply)]
        self.assertEqual({answer.control for answer in reported}, set(region.names))
        seen = set()
        for _ in range(60):
            for name in region.names:
                region.network.inject(name, LinkMessage("op", StatusRequest()))
            region.network.run(0.05)
        for answer in listener.answers:
            if not isinstance(answer, StatusReply) or answer.control != leader.name:
                continue
            self.assertEqual(answer.leader, leader.name)
            self.assertGreaterEqual(answer.commit, 1)
            self.assertEqual(len(answer.processes), 4)
            seen |= {replica.role for replica in answer.replicas}
        self.assertEqual(seen, {"leader", "voter", "learner"})
        self.assertTrue(region.has_all_voters())
