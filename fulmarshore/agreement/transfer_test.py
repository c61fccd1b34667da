"""Leadership transfer on a planned stop, with and without faults."""

from unittest import TestCase

from fulmarshore.agreement.progress import MIN_ELECTION_TIMEOUT_S
from fulmarshore.agreement.replica_test import A, B, C, ReplicaHarness, make_replica
from fulmarshore.core.records import (
    AppendReply,
    AppendRequest,
    Change,
    JoinRequest,
    LinkMessage,
    LogEntry,
    Noop,
    Stopped,
    Tick,
    TimeoutNow,
    VoteRequest,
    Zone,
)
from fulmarshore.membership.control import STOP_TIMEOUT_S
from fulmarshore.membership.control_test import Listener
from fulmarshore.standins.history import check_history
from fulmarshore.standins.network import Faults
from fulmarshore.standins.region import Region

STEP_S = 0.01
SEEDS = range(12)
LOSSY = Faults(loss=0.3, duplication=0.3, max_delay=0.02, max_disk_delay=0.02)


def has_stopped(region, name):
    return any(
        isinstance(effect, Stopped) and host == name
        for _, host, effect in region.network.outbox
    )


def run_until_stopped(region, name):
    """Return the simulated seconds until the host has stopped."""
    start = region.network.now
    while not has_stopped(region, name):
        region.network.run(STEP_S)
        assert region.network.now < start + 10, "the host stops"
    return region.network.now - start


class TransferTest(TestCase):
    def test_new_leader_is_elected_before_a_timeout(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                region = Region(seed)
                former = region.find_leader().name
                region.stop(former)
                stop_s = run_until_stopped(region, former)
                leader = region.find_leader()
                self.assertIsNotNone(leader)
                self.assertNotEqual(leader.name, former)
                self.assertLess(stop_s, MIN_ELECTION_TIMEOUT_S)

    def test_stop_ends_in_time_and_loses_no_change(self):
        for seed in SEEDS:
            for lost in ("none", "target", "both", "target late", "stopped twice"):
                with self.subTest(seed=seed, lost=lost):
                    self.stop_with(seed, lost)

    def stop_with(self, seed, lost):
        region = Region(seed)
        region.add_operators(2)
        region.network.run(1.0)
        region.network.faults = LOSSY
        core = region.find_leader()
        former = core.name
        region.stop(former)
        others = [name for name in region.names if name != former]
        transfer = core.replica.transfer
        target = transfer.target.name if transfer else others[0]
        if lost == "target late":
            region.network.run(0.03)
        if lost.startswith("target") or lost == "both":
            region.crash(target)
        if lost == "both":
            region.crash(next(name for name in others if name != target))
        if lost == "stopped twice":
            region.network.run(STEP_S)
            region.stop(former)
        stop_s = run_until_stopped(region, former)
        self.assertLessEqual(stop_s, STOP_TIMEOUT_S + region.network.tick_interval)
        self.assertTrue(region.settle())
        operations = [op for operator in region.operators for op in operator.history]
        state = region.get(region.names[0]).state
        self.assertEqual(check_history(state, operations), [])

    def test_change_during_the_transfer_is_accepted_once(self):
        region = Region(1)
        former = region.find_leader().name
        region.stop(former)
        change = Change(region.get(former).state.next_number, "op", [Zone("a")], [])
        region.network.add("op", Listener())
        region.network.inject(former, LinkMessage("op", change))
        self.assertIsNotNone(region.get(former).replica.transfer)
        run_until_stopped(region, former)
        region.network.run(0.2)
        decided = region.find_leader().state.decisions[change.number]
        self.assertEqual(decided.change, change)

    def test_reply_to_a_relayed_change_returns_through_the_relaying_host(self):
        """The operator's link name is known only to the relaying host."""
        region = Region(1)
        core = region.find_leader()
        relaying = next(name for name in region.names if name != core.name)
        for name in region.names:
            if name != relaying:
                region.network.cut(name, "op")
        listener = Listener()
        region.network.add("op", listener)
        change = Change(core.state.next_number, "op", [Zone("a")], [])
        region.stop(core.name)
        region.network.inject(relaying, LinkMessage("op", change))
        run_until_stopped(region, core.name)
        region.network.run(0.5)
        self.assertEqual([reply.number for reply in listener.answers], [change.number])

    def test_only_the_leader_of_the_term_can_request_an_election(self):
        table = [
            ("the leader", B, 2, 2),
            ("another replica", C, 2, 2),
            ("an older term", B, 1, 2),
            ("a newer term", B, 3, 2),
        ]
        for label, sender, term, leader_term in table:
            with self.subTest(label):
                harness = ReplicaHarness(make_replica())
                harness.deliver(
                    AppendRequest("g", B, A, leader_term, 0, 0, [], 0, 0, 1)
                )
                sent = harness.deliver(TimeoutNow("g", sender, A, term))
                flags = [message.for_transfer for message in sent]
                expected = [True, True] if label == "the leader" else []
                self.assertEqual(flags, expected)

    def test_learner_starts_no_election(self):
        harness = ReplicaHarness(make_replica(voters=(B, C)))
        harness.deliver(AppendRequest("g", B, A, 2, 0, 0, [], 0, 0, 1))
        self.assertEqual(harness.deliver(TimeoutNow("g", B, A, 2)), [])

    def test_no_entries_are_appended_during_a_transfer(self):
        harness = ReplicaHarness(make_replica(voters=(A, B)))
        harness.elect()
        term = harness.replica.term
        harness.deliver(AppendReply("g", B, term, True, 1, 1))
        harness.deliver(JoinRequest("g", C, False))
        harness.deliver(AppendReply("g", C, term, True, 1, 1))
        harness.replica.transfer_leadership(harness.now)
        harness.handle_event(Tick())
        self.assertEqual(harness.replica.log.last_index, 1)

    def test_second_request_of_a_term_is_ignored(self):
        harness = ReplicaHarness(make_replica())
        harness.deliver(AppendRequest("g", B, A, 2, 0, 0, [], 0, 0, 1))
        self.assertEqual(len(harness.deliver(TimeoutNow("g", B, A, 2))), 2)
        self.assertEqual(harness.deliver(TimeoutNow("g", B, A, 2)), [])
        self.assertEqual(harness.replica.term, 3)

    def test_transfer_vote_requires_an_up_to_date_log(self):
        entries = [LogEntry(1, 2, Noop()), LogEntry(2, 3, Noop())]
        for last, granted in [((2, 9), False), ((3, 1), False), ((3, 2), True)]:
            with self.subTest(last=last):
                harness = ReplicaHarness(make_replica(3, entries))
                harness.deliver(AppendRequest("g", B, A, 3, 2, 3, [], 0, 0, 1))
                request = VoteRequest("g", C, A, 4, last[1], last[0], False, True)
                self.assertEqual(harness.deliver(request)[0].granted, granted)

    def test_target_is_told_only_after_it_has_caught_up(self):
        harness = ReplicaHarness(make_replica())
        harness.elect()
        term = harness.replica.term
        harness.deliver(AppendReply("g", B, term, True, 0, 1))
        harness.replica.transfer_leadership(harness.now)
        self.assertFalse(harness.replica.can_propose)
        early = harness.deliver(AppendReply("g", B, term, True, 0, 1))
        self.assertFalse([m for m in early if isinstance(m, TimeoutNow)])
        sent = harness.deliver(AppendReply("g", B, term, True, 1, 1))
        self.assertEqual([m.target for m in sent if isinstance(m, TimeoutNow)], [B])

    def test_leader_resumes_if_no_target_takes_over(self):
        harness = ReplicaHarness(make_replica())
        harness.elect()
        harness.replica.transfer_leadership(harness.now)
        for _ in range(10):
            harness.now += 0.1
            for voter in (B, C):
                heartbeat_round = harness.replica.heartbeat_round
                harness.deliver(
                    AppendReply(
                        "g", voter, harness.replica.term, True, 1, heartbeat_round
                    )
                )
            harness.handle_event(Tick())
        self.assertTrue(harness.replica.can_propose)
