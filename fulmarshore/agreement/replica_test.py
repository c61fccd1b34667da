"""Single steps of one replica, where a randomised run would rarely come by."""

from random import Random
from unittest import TestCase

from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import (
    AppendReply,
    AppendRequest,
    JoinRequest,
    LinkMessage,
    LogBase,
    LogEntry,
    Noop,
    Recovered,
    ReplicaId,
    SendLink,
    Snapshot,
    Store,
    Stored,
    TermVote,
    Tick,
    VoteReply,
    VoteRequest,
    Voters,
)
from fulmarshore.standins.disk import FakeDisk

A, B, C = (ReplicaId(name, f"disk-{name}") for name in "abc")


def make_replica(term=1, entries=(), voters=(A, B, C)):
    snapshot = Snapshot(0, 0, Voters(list(voters)), b"")
    recovered = Recovered(
        A, 1, TermVote("g", term, None), LogBase(0, 0), snapshot, list(entries), 0
    )
    return Replica(recovered, ["b", "c"], Random(1))


class Bench:
    """Feeds one replica and carries out its writes."""

    def __init__(self, replica):
        self.replica = replica
        self.disk = FakeDisk("a", Random(1))
        self.now = 0.0
        replica.rewrite()
        self.feed(Tick())

    def feed(self, event, sync=True):
        """Return what is sent, after its writes are synced."""
        sent = []
        queue = list(self.replica.handle(event, self.now))
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, SendLink):
                sent.append(effect.message)
            if isinstance(effect, Store):
                self.disk.submit(effect)
                if sync:
                    done = Stored(self.disk.sync())
                    queue += self.replica.handle(done, self.now)
        return sent

    def ask(self, message, sync=True):
        return self.feed(LinkMessage(message.sender.name, message), sync)

    def restart(self):
        self.disk.crash()
        self.replica = Replica(self.disk.read(), ["b", "c"], Random(2))
        self.feed(Tick())

    def elect(self):
        while not self.replica.is_leader:
            self.now += 0.1
            for request in self.feed(Tick()):
                if not isinstance(request, VoteRequest):
                    continue
                reply = VoteReply("g", B, request.term, True, request.pre_vote)
                for again in self.ask(reply):
                    if isinstance(again, VoteRequest):
                        self.ask(VoteReply("g", B, again.term, True, again.pre_vote))


def ask_vote(sender, term, last=(0, 0), pre_vote=False):
    return VoteRequest("g", sender, A, term, last[1], last[0], pre_vote)


class ReplicaTest(TestCase):
    def test_one_vote_a_term_also_after_a_restart(self):
        bench = Bench(make_replica())
        self.assertTrue(bench.ask(ask_vote(B, 5))[0].granted)
        bench.restart()
        self.assertFalse(bench.ask(ask_vote(C, 5))[0].granted)
        self.assertTrue(bench.ask(ask_vote(B, 5))[0].granted)

    def test_nothing_is_acknowledged_before_it_is_synced(self):
        entries = [LogEntry(1, 2, Noop())]
        table = [
            ("vote", ask_vote(B, 5)),
            ("append", AppendRequest("g", B, A, 2, 0, 0, entries, 0, 0, 1)),
        ]
        for label, message in table:
            with self.subTest(label):
                bench = Bench(make_replica())
                self.assertEqual(bench.ask(message, sync=False), [])
                self.assertEqual(len(bench.feed(Stored(bench.disk.sync()))), 1)

    def test_vote_only_for_a_log_that_is_up_to_date(self):
        entries = [LogEntry(1, 2, Noop()), LogEntry(2, 3, Noop())]
        table = [((3, 1), False), ((2, 9), False), ((3, 2), True), ((4, 1), True)]
        for last, granted in table:
            for pre_vote in (True, False):
                with self.subTest(last=last, pre_vote=pre_vote):
                    bench = Bench(make_replica(3, entries))
                    reply = bench.ask(ask_vote(B, 9, last, pre_vote))[0]
                    self.assertEqual(reply.granted, granted)

    def test_trial_vote_is_refused_while_the_leader_is_heard(self):
        bench = Bench(make_replica())
        bench.ask(AppendRequest("g", B, A, 2, 0, 0, [], 0, 0, 1))
        self.assertFalse(bench.ask(ask_vote(C, 3, pre_vote=True))[0].granted)
        self.assertEqual(bench.replica.term, 2)

    def test_entry_of_an_older_term_is_not_committed_by_counting(self):
        bench = Bench(make_replica(2, [LogEntry(1, 2, Noop())]))
        bench.elect()
        term = bench.replica.term
        bench.ask(AppendReply("g", B, term, True, 1, 1))
        self.assertEqual(bench.replica.commit, 0)
        bench.ask(AppendReply("g", B, term, True, 2, 1))
        self.assertEqual(bench.replica.commit, 2)

    def test_leader_without_a_majority_steps_down(self):
        bench = Bench(make_replica())
        bench.elect()
        bench.now += 1.0
        bench.feed(Tick())
        self.assertFalse(bench.replica.is_leader)

    def test_stamp_is_renewed_only_by_a_majority(self):
        bench = Bench(make_replica())
        bench.elect()
        stamps = [bench.replica.freshness.stamp]
        bench.now += 0.2
        bench.feed(Tick())
        stamps.append(bench.replica.freshness.stamp)
        for heartbeat_round in (1, 2):
            bench.ask(AppendReply("g", B, bench.replica.term, True, 1, heartbeat_round))
            stamps.append(bench.replica.freshness.stamp)
        self.assertEqual(stamps, [0, 0, 1, 2])

    def test_leader_of_an_older_term_is_refused(self):
        bench = Bench(make_replica(term=4))
        entries = [LogEntry(1, 3, Noop())]
        reply = bench.ask(AppendRequest("g", B, A, 3, 0, 0, entries, 1, 1, 1))[0]
        self.assertEqual((reply.success, reply.term), (False, 4))
        self.assertEqual(bench.replica.log.last_index, 0)

    def test_voters_change_one_at_a_time(self):
        new = [ReplicaId("c", "new"), ReplicaId("d", "new")]
        bench = Bench(make_replica(voters=(A, B)))
        bench.replica.peers = ["b", "c", "d"]
        bench.elect()
        term = bench.replica.term
        bench.ask(AppendReply("g", B, term, True, 1, 1))
        for learner in new:
            bench.ask(JoinRequest("g", learner, False))
        for _ in range(5):
            bench.now += 0.1
            for learner in (*new, B):
                bench.ask(
                    AppendReply(
                        "g", learner, term, True, 1, bench.replica.heartbeat_round
                    )
                )
            bench.feed(Tick())
        self.assertEqual(len(bench.replica.current_voters), 3)

    def test_message_for_another_disk_is_dropped(self):
        bench = Bench(make_replica())
        former = ReplicaId("a", "former")
        message = VoteRequest("g", B, former, 5, 9, 9, False)
        self.assertEqual(bench.ask(message), [])
        self.assertEqual(bench.replica.counters["dropped_other_disk"], 1)

    def test_new_disk_votes_only_after_it_holds_everything(self):
        new = ReplicaId("c", "new")
        bench = Bench(make_replica())
        bench.elect()
        term = bench.replica.term
        bench.ask(AppendReply("g", B, term, True, 1, 1))
        voters = []

        def step(match):
            bench.now += 0.2
            heartbeat_round = bench.replica.heartbeat_round
            bench.ask(AppendReply("g", new, term, match > 0, match, heartbeat_round))
            last = bench.replica.log.last_index
            bench.ask(AppendReply("g", B, term, True, last, heartbeat_round))
            bench.feed(Tick())
            voters.append(set(bench.replica.current_voters))

        bench.ask(JoinRequest("g", new, False))
        for _ in range(10):
            step(0)
        self.assertEqual(voters[-1], {A, B, C}, "no vote without the entries")
        for _ in range(4):
            step(bench.replica.commit)
        self.assertIn({A, B}, voters, "the former disk goes first")
        self.assertEqual(voters[-1], {A, B, new})

    def test_a_disk_that_is_heard_is_not_replaced(self):
        new = ReplicaId("c", "new")
        bench = Bench(make_replica())
        bench.elect()
        term = bench.replica.term
        bench.ask(JoinRequest("g", new, False))
        for _ in range(20):
            bench.now += 0.2
            for voter in (B, C, new):
                heartbeat_round = bench.replica.heartbeat_round
                bench.ask(AppendReply("g", voter, term, True, 1, heartbeat_round))
            bench.feed(Tick())
        self.assertEqual(set(bench.replica.current_voters), {A, B, C})
