"""Single steps of one replica, in cases that randomised tests rarely reach."""

from random import Random
from unittest import TestCase

from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import (
    AppendReply,
    AppendRequest,
    ChunkReply,
    JoinRequest,
    LinkMessage,
    LogBase,
    LogEntry,
    Noop,
    Recovered,
    ReplicaId,
    SendLink,
    Snapshot,
    SnapshotChunk,
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


class ReplicaHarness:
    """Passes events to one replica and carries out its disk writes."""

    def __init__(self, replica):
        self.replica = replica
        self.disk = FakeDisk("a", Random(1))
        self.now = 0.0
        replica.rewrite_log_file()
        self.handle_event(Tick())

    def handle_event(self, event, sync=True):
        """Handle an event and return the messages sent once its writes are synced."""
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

    def deliver(self, message, sync=True):
        return self.handle_event(LinkMessage(message.sender.name, message), sync)

    def restart(self):
        self.disk.crash()
        self.replica = Replica(self.disk.read(), ["b", "c"], Random(2))
        self.handle_event(Tick())

    def elect(self):
        while not self.replica.is_leader:
            self.now += 0.1
            for request in self.handle_event(Tick()):
                if not isinstance(request, VoteRequest):
                    continue
                reply = VoteReply("g", B, request.term, True, request.pre_vote)
                for again in self.deliver(reply):
                    if isinstance(again, VoteRequest):
                        self.deliver(
                            VoteReply("g", B, again.term, True, again.pre_vote)
                        )


def make_vote_request(sender, term, last=(0, 0), pre_vote=False):
    return VoteRequest("g", sender, A, term, last[1], last[0], pre_vote)


class ReplicaTest(TestCase):
    def test_one_vote_per_term_across_a_restart(self):
        harness = ReplicaHarness(make_replica())
        self.assertTrue(harness.deliver(make_vote_request(B, 5))[0].granted)
        harness.restart()
        self.assertFalse(harness.deliver(make_vote_request(C, 5))[0].granted)
        self.assertTrue(harness.deliver(make_vote_request(B, 5))[0].granted)

    def test_no_reply_before_records_are_synced(self):
        entries = [LogEntry(1, 2, Noop())]
        table = [
            ("vote", make_vote_request(B, 5)),
            ("append", AppendRequest("g", B, A, 2, 0, 0, entries, 0, 0, 1)),
        ]
        for label, message in table:
            with self.subTest(label):
                harness = ReplicaHarness(make_replica())
                self.assertEqual(harness.deliver(message, sync=False), [])
                self.assertEqual(
                    len(harness.handle_event(Stored(harness.disk.sync()))), 1
                )

    def test_vote_requires_an_up_to_date_log(self):
        entries = [LogEntry(1, 2, Noop()), LogEntry(2, 3, Noop())]
        table = [((3, 1), False), ((2, 9), False), ((3, 2), True), ((4, 1), True)]
        for last, granted in table:
            for pre_vote in (True, False):
                with self.subTest(last=last, pre_vote=pre_vote):
                    harness = ReplicaHarness(make_replica(3, entries))
                    reply = harness.deliver(make_vote_request(B, 9, last, pre_vote))[0]
                    self.assertEqual(reply.granted, granted)

    def test_pre_vote_is_refused_while_the_leader_is_active(self):
        harness = ReplicaHarness(make_replica())
        harness.deliver(AppendRequest("g", B, A, 2, 0, 0, [], 0, 0, 1))
        self.assertFalse(
            harness.deliver(make_vote_request(C, 3, pre_vote=True))[0].granted
        )
        self.assertEqual(harness.replica.term, 2)

    def test_entry_of_an_older_term_is_not_committed_by_its_majority_alone(self):
        harness = ReplicaHarness(make_replica(2, [LogEntry(1, 2, Noop())]))
        harness.elect()
        term = harness.replica.term
        harness.deliver(AppendReply("g", B, term, True, 1, 1))
        self.assertEqual(harness.replica.commit, 0)
        harness.deliver(AppendReply("g", B, term, True, 2, 1))
        self.assertEqual(harness.replica.commit, 2)

    def test_leader_without_a_majority_steps_down(self):
        harness = ReplicaHarness(make_replica())
        harness.elect()
        harness.now += 1.0
        harness.handle_event(Tick())
        self.assertFalse(harness.replica.is_leader)

    def test_freshness_advances_only_with_a_majority(self):
        harness = ReplicaHarness(make_replica())
        harness.elect()
        stamps = [harness.replica.freshness.stamp]
        harness.now += 0.2
        harness.handle_event(Tick())
        stamps.append(harness.replica.freshness.stamp)
        for heartbeat_round in (1, 2):
            harness.deliver(
                AppendReply("g", B, harness.replica.term, True, 1, heartbeat_round)
            )
            stamps.append(harness.replica.freshness.stamp)
        self.assertEqual(stamps, [0, 0, 1, 2])

    def test_leader_of_an_older_term_is_refused(self):
        harness = ReplicaHarness(make_replica(term=4))
        entries = [LogEntry(1, 3, Noop())]
        reply = harness.deliver(AppendRequest("g", B, A, 3, 0, 0, entries, 1, 1, 1))[0]
        self.assertEqual((reply.success, reply.term), (False, 4))
        self.assertEqual(harness.replica.log.last_index, 0)

    def test_voters_change_one_at_a_time(self):
        new = [ReplicaId("c", "new"), ReplicaId("d", "new")]
        harness = ReplicaHarness(make_replica(voters=(A, B)))
        harness.replica.peers = ["b", "c", "d"]
        harness.elect()
        term = harness.replica.term
        harness.deliver(AppendReply("g", B, term, True, 1, 1))
        for learner in new:
            harness.deliver(JoinRequest("g", learner, False))
        for _ in range(5):
            harness.now += 0.1
            for learner in (*new, B):
                harness.deliver(
                    AppendReply(
                        "g", learner, term, True, 1, harness.replica.heartbeat_round
                    )
                )
            harness.handle_event(Tick())
        self.assertEqual(len(harness.replica.current_voters), 3)

    def test_message_for_another_disk_is_dropped(self):
        harness = ReplicaHarness(make_replica())
        former = ReplicaId("a", "former")
        message = VoteRequest("g", B, former, 5, 9, 9, False)
        self.assertEqual(harness.deliver(message), [])
        self.assertEqual(harness.replica.counters["dropped_other_disk"], 1)

    def test_new_disk_votes_only_after_it_has_caught_up(self):
        new = ReplicaId("c", "new")
        harness = ReplicaHarness(make_replica())
        harness.elect()
        term = harness.replica.term
        harness.deliver(AppendReply("g", B, term, True, 1, 1))
        voters = []

        def step(match):
            harness.now += 0.2
            heartbeat_round = harness.replica.heartbeat_round
            harness.deliver(
                AppendReply("g", new, term, match > 0, match, heartbeat_round)
            )
            last = harness.replica.log.last_index
            harness.deliver(AppendReply("g", B, term, True, last, heartbeat_round))
            harness.handle_event(Tick())
            voters.append(set(harness.replica.current_voters))

        harness.deliver(JoinRequest("g", new, False))
        for _ in range(10):
            step(0)
        self.assertEqual(voters[-1], {A, B, C}, "no vote before it has the entries")
        for _ in range(4):
            step(harness.replica.commit)
        self.assertIn({A, B}, voters, "the previous disk is removed first")
        self.assertEqual(voters[-1], {A, B, new})

    def test_values_out_of_range_end_no_replica(self):
        harness = ReplicaHarness(make_replica())
        harness.elect()
        replica = harness.replica
        beyond = replica.log.last_index + 7
        harness.deliver(AppendReply("g", B, replica.term, True, beyond, 1))
        self.assertEqual(replica.counters["replies_out_of_range"], 1)
        self.assertEqual(replica.commit, 0)
        follower = ReplicaHarness(make_replica())
        for content in (b"", b"\xff", b"\x91" * 5000):
            chunk = SnapshotChunk("g", B, A, 2, 9, 0, len(content), content, 1)
            sent = follower.deliver(chunk)
            self.assertEqual([type(reply) for reply in sent], [ChunkReply])
            self.assertEqual(sent[0].offset, 0)
        self.assertEqual(follower.replica.counters["snapshots_malformed"], 3)

    def test_responsive_disk_is_not_replaced(self):
        new = ReplicaId("c", "new")
        harness = ReplicaHarness(make_replica())
        harness.elect()
        term = harness.replica.term
        harness.deliver(JoinRequest("g", new, False))
        for _ in range(20):
            harness.now += 0.2
            for voter in (B, C, new):
                heartbeat_round = harness.replica.heartbeat_round
                harness.deliver(AppendReply("g", voter, term, True, 1, heartbeat_round))
            harness.handle_event(Tick())
        self.assertEqual(set(harness.replica.current_voters), {A, B, C})
