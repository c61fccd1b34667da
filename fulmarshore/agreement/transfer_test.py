"""The lead is handed over on a planned stop, and never costs more than a loss."""

from unittest import TestCase

from fulmarshore.agreement.progress import MIN_ELECTION_TIMEOUT_S
from fulmarshore.agreement.replica_test import A, B, Bench, C, make_replica
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
    """Return the simulated seconds until the host has ended."""
    begun = region.network.now
    while not has_stopped(region, name):
        region.network.run(STEP_S)
        assert region.network.now < begun + 10, "the host ends"
    return region.network.now - begun


class TransferTest(TestCase):
    def test_another_host_leads_before_a_timeout(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                region = Region(seed)
                former = region.find_leader().name
                region.stop(former)
                taken = run_until_stopped(region, former)
                leader = region.find_leader()
                self.assertIsNotNone(leader)
                self.assertNotEqual(leader.name, former)
                self.assertLess(taken, MIN_ELECTION_TIMEOUT_S)

    def test_stop_ends_in_time_and_loses_nothing(self):
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
        taken = run_until_stopped(region, former)
        self.assertLessEqual(taken, STOP_TIMEOUT_S + region.network.tick_interval)
        self.assertTrue(region.settle())
        operations = [op for operator in region.operators for op in operator.history]
        state = region.get(region.names[0]).state
        self.assertEqual(check_history(state, operations), [])

    def test_change_asked_meanwhile_is_answered_once(self):
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

    def test_answer_to_a_relayed_change_goes_back_the_same_way(self):
        """The peer's name is one of the relaying host; no other may use it."""
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

    def test_only_the_leader_of_the_term_is_obeyed(self):
        table = [
            ("the leader", B, 2, 2),
            ("another replica", C, 2, 2),
            ("an older term", B, 1, 2),
            ("a newer term", B, 3, 2),
        ]
        for label, sender, term, leader_term in table:
            with self.subTest(label):
                bench = Bench(make_replica())
                bench.ask(AppendRequest("g", B, A, leader_term, 0, 0, [], 0, 0, 1))
                sent = bench.ask(TimeoutNow("g", sender, A, term))
                asked = [message.for_transfer for message in sent]
                expected = [True, True] if label == "the leader" else []
                self.assertEqual(asked, expected)

    def test_learner_does_not_stand(self):
        bench = Bench(make_replica(voters=(B, C)))
        bench.ask(AppendRequest("g", B, A, 2, 0, 0, [], 0, 0, 1))
        self.assertEqual(bench.ask(TimeoutNow("g", B, A, 2)), [])

    def test_log_stands_still_while_the_target_catches_up(self):
        bench = Bench(make_replica(voters=(A, B)))
        bench.elect()
        term = bench.replica.term
        bench.ask(AppendReply("g", B, term, True, 1, 1))
        bench.ask(JoinRequest("g", C, False))
        bench.ask(AppendReply("g", C, term, True, 1, 1))
        bench.replica.hand_over(bench.now)
        bench.feed(Tick())
        self.assertEqual(bench.replica.log.last_index, 1)

    def test_second_order_of_a_term_is_ignored(self):
        bench = Bench(make_replica())
        bench.ask(AppendRequest("g", B, A, 2, 0, 0, [], 0, 0, 1))
        self.assertEqual(len(bench.ask(TimeoutNow("g", B, A, 2))), 2)
        self.assertEqual(bench.ask(TimeoutNow("g", B, A, 2)), [])
        self.assertEqual(bench.replica.term, 3)

    def test_ordered_vote_needs_a_log_that_is_up_to_date(self):
        entries = [LogEntry(1, 2, Noop()), LogEntry(2, 3, Noop())]
        for last, granted in [((2, 9), False), ((3, 1), False), ((3, 2), True)]:
            with self.subTest(last=last):
                bench = Bench(make_replica(3, entries))
                bench.ask(AppendRequest("g", B, A, 3, 2, 3, [], 0, 0, 1))
                request = VoteRequest("g", C, A, 4, last[1], last[0], False, True)
                self.assertEqual(bench.ask(request)[0].granted, granted)

    def test_target_is_told_only_once_it_holds_everything(self):
        bench = Bench(make_replica())
        bench.elect()
        term = bench.replica.term
        bench.ask(AppendReply("g", B, term, True, 0, 1))
        bench.replica.hand_over(bench.now)
        self.assertFalse(bench.replica.is_accepting)
        early = bench.ask(AppendReply("g", B, term, True, 0, 1))
        self.assertFalse([m for m in early if isinstance(m, TimeoutNow)])
        sent = bench.ask(AppendReply("g", B, term, True, 1, 1))
        self.assertEqual([m.target for m in sent if isinstance(m, TimeoutNow)], [B])

    def test_leader_goes_on_when_nobody_takes_the_lead(self):
        bench = Bench(make_replica())
        bench.elect()
        bench.replica.hand_over(bench.now)
        for _ in range(10):
            bench.now += 0.1
            for voter in (B, C):
                heartbeat_round = bench.replica.heartbeat_round
                bench.ask(
                    AppendReply(
                        "g", voter, bench.replica.term, True, 1, heartbeat_round
                    )
                )
            bench.feed(Tick())
        self.assertTrue(bench.replica.is_accepting)
