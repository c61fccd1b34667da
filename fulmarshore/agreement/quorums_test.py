"""Which replicas make up a quorum, and that any two quorums meet."""

from itertools import combinations
from random import Random
from unittest import TestCase

from fulmarshore.agreement.quorums import has_quorum
from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import (
    LogBase,
    Recovered,
    ReplicaId,
    Snapshot,
    TermVote,
    Voters,
)

VOTERS = [ReplicaId(f"10.0.0.{number}", "disk") for number in range(8)]

CASES = [
    # Voters, lost disks, replicas that agree, whether they suffice.
    (3, 0, 2, True),
    (3, 0, 1, False),
    (3, 1, 1, False),
    (4, 0, 2, False),
    (4, 1, 2, True),
    (4, 2, 2, True),
    (4, 1, 1, False),
    (5, 1, 2, False),
    (5, 2, 3, True),
    (6, 0, 3, False),
    (6, 1, 3, True),
    (6, 2, 3, True),
    (6, 2, 2, False),
]


def make_replica(size, min_voters):
    snapshot = Snapshot(0, 0, Voters(VOTERS[:size]), b"")
    vote = TermVote("g", 1, None)
    recovered = Recovered(VOTERS[0], 1, vote, LogBase(0, 0), snapshot, [], 0)
    return Replica(recovered, [], Random(1), min_voters=min_voters)


class QuorumsTest(TestCase):
    def test_numbers_that_suffice(self):
        for size, lost_count, agreeing, suffices in CASES:
            with self.subTest(size=size, lost=lost_count, agreeing=agreeing):
                voters = VOTERS[:size]
                lost = voters[:lost_count]
                members = voters[lost_count : lost_count + agreeing]
                self.assertEqual(has_quorum(voters, members, members, lost), suffices)

    def test_replica_that_does_not_know_of_the_loss_counts_towards_a_majority_only(
        self,
    ):
        voters, lost = VOTERS[:4], VOTERS[:1]
        self.assertFalse(has_quorum(voters, voters[1:3], voters[1:2], lost))
        self.assertTrue(has_quorum(voters, voters[1:], (), lost))

    def test_majorities_and_halves_share_a_replica_with_its_disk(self):
        for size in range(2, 8):
            voters = VOTERS[:size]
            for lost_count in range(1, size):
                lost = set(voters[:lost_count])
                alive = [voter for voter in voters if voter not in lost]
                halves = [
                    set(half)
                    for count in range(1, len(alive) + 1)
                    for half in combinations(alive, count)
                    if has_quorum(voters, half, half, lost)
                ]
                majorities = [
                    set(found) for found in combinations(voters, size // 2 + 1)
                ]
                for half in halves:
                    for other in (*halves, *majorities):
                        self.assertTrue(half & other - lost, (half, other))

    def test_half_does_not_suffice_in_a_group_of_the_smallest_size(self):
        for size, min_voters, suffices in ((4, 3, True), (6, 5, True), (4, 5, False)):
            with self.subTest(size=size, min_voters=min_voters):
                replica = make_replica(size, min_voters)
                half = VOTERS[1 : 1 + size // 2]
                self.assertEqual(replica.has_quorum(half, half, VOTERS[:1]), suffices)


if __name__ == "__main__":
    import unittest

    unittest.main()
