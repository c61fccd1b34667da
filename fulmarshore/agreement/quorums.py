"""Which replicas suffice to elect a leader or to commit an entry.

A majority of the voters suffices. Of an even number of voters, half suffice if
the disk of another voter is known to be lost. Any two quorums then still share a
replica that has its disk:

- A majority is N/2 + 1 of N voters. Of those that are not lost, it has at least one
  more than a half leaves out.
- Two halves without a common replica would make up all voters, so each would hold a
  disk that the other one knew to be lost. A replica counts towards a half only by a
  message that it sent after it, or the leader that counts it, knew of the loss. So
  each of the two disks would have been lost before the other one's message.

A change of the voters is committed, and a leader is elected while it may not be
committed, by a quorum of the former and of the new voters.
"""

from __future__ import annotations

from collections.abc import Collection

from fulmarshore.core.records import ReplicaId


def has_quorum(
    voters: Collection[ReplicaId],
    members: Collection[ReplicaId],
    confirmed: Collection[ReplicaId],
    lost: Collection[ReplicaId],
) -> bool:
    """Return whether replicas make up a quorum.

    Parameters
    ----------
    voters : collection of ReplicaId
        All voters of the group.
    members : collection of ReplicaId
        The replicas that agree.
    confirmed : collection of ReplicaId
        Those of them that agreed after the loss of the disks in ``lost`` was known.
    lost : collection of ReplicaId
        Replicas whose disk is lost.
    """
    majority = len(voters) // 2 + 1
    if sum(voter in members for voter in voters) >= majority:
        return True
    if not any(voter in lost for voter in voters):
        return False
    found = sum(voter in confirmed and voter not in lost for voter in voters)
    return found >= len(voters) - majority + 1
