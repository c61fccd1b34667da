"""When the leader removes a voter that is about to stop."""

from dataclasses import dataclass
from random import Random
from unittest import TestCase

from fulmarshore.agreement.leaving import REQUEST_TIMEOUT_S
from fulmarshore.agreement.replica import Replica
from fulmarshore.agreement.replica_test import ReplicaHarness
from fulmarshore.core.records import (
    AppendReply,
    LeaveGroup,
    LeaveGroupReply,
    LogBase,
    Recovered,
    ReplicaId,
    Snapshot,
    TermVote,
    Tick,
    VoteReply,
    VoteRequest,
    Voters,
)

A, B, C, D = (ReplicaId(name, f"disk-{name}") for name in "abcd")


@dataclass
class Case:
    """A request of C to leave, and what becomes of it.

    ``silent`` voters answer nothing, ``killed`` ones nothing after the request; without
    ``repeats`` C asks once only, and silent voters answer again later.
    """

    name: str
    voters: tuple = (A, B, C, D)
    silent: tuple = ()
    killed: tuple = ()
    repeats: bool = True
    is_removed: bool = True
    may_stop: bool = True


CASES = [
    Case("all are in contact"),
    Case("the group is as small as it may be", (A, B, C), is_removed=False),
    # It answered until C asked; taking C's vote as well would leave two of three.
    Case("another voter was killed", killed=(D,), is_removed=False, may_stop=False),
    Case("another voter is silent", silent=(D,), is_removed=False, may_stop=False),
    # It was silent when C asked; C has stopped since, and is back.
    Case("the request is old", repeats=False, is_removed=False, may_stop=False),
]


class LeavingTest(TestCase):
    def make_leader(self, voters):
        snapshot = Snapshot(0, 0, Voters(list(voters)), b"")
        vote = TermVote("g", 1, None)
        recovered = Recovered(A, 1, vote, LogBase(0, 0), snapshot, [], 0)
        harness = ReplicaHarness(
            Replica(recovered, ["b", "c", "d"], Random(1), min_voters=3)
        )
        while not harness.replica.is_leader:
            harness.now += 0.1
            self.answer_requests(harness, harness.handle_event(Tick()))
        return harness

    def answer_requests(self, harness, requests):
        """Grant all votes that are requested."""
        for request in requests:
            if not isinstance(request, VoteRequest):
                continue
            granted = VoteReply(
                "g", request.target, request.term, True, request.pre_vote
            )
            self.answer_requests(harness, harness.deliver(granted))

    def step(self, harness, answering):
        """Let some time pass, in which some voters answer."""
        harness.now += 0.1
        replica = harness.replica
        for voter in answering:
            reply = AppendReply(
                "g",
                voter,
                replica.term,
                True,
                replica.log.last_index,
                replica.heartbeat_round,
            )
            harness.deliver(reply)
        return harness.handle_event(Tick())

    def test_voter_that_is_about_to_stop(self):
        for case in CASES:
            with self.subTest(case.name):
                harness = self.make_leader(case.voters)
                answering = [v for v in case.voters[1:] if v not in case.silent]
                for _ in range(3):
                    self.step(harness, case.voters[1:])
                for _ in range(round(REQUEST_TIMEOUT_S / 0.1) + 1):
                    self.step(harness, answering if case.repeats else [B, C])
                replies = harness.deliver(LeaveGroup("g", C))
                answering = [v for v in answering if v not in case.killed]
                for _ in range(5):
                    if case.repeats:
                        replies += harness.deliver(LeaveGroup("g", C))
                        self.step(harness, answering)
                    else:
                        self.step(harness, [B, C])
                for _ in range(5):
                    self.step(harness, answering)
                voters = harness.replica.current_voters
                self.assertEqual(C not in voters, case.is_removed)
                may_stop = any(isinstance(sent, LeaveGroupReply) for sent in replies)
                self.assertEqual(may_stop, case.may_stop)
