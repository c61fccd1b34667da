"""What a control host can tell about the replicas of its group."""

from __future__ import annotations

from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import ReplicaStatus


def describe_replicas(replica: Replica, now: float) -> list[ReplicaStatus]:
    """Return the voters and learners; without the lead, only who votes.

    A new disk is told as a voter only once that is committed: until then the
    group does not bear the loss of another host.
    """
    voters = replica.find_voters(replica.commit).replicas
    if not replica.is_leader:
        found = [ReplicaStatus(voter, "voter", 0, -1.0) for voter in voters]
        if replica.identity not in voters:
            own = ReplicaStatus(replica.identity, "learner", replica.commit, 0.0)
            found.append(own)
        return found
    found = []
    for identity, progress in replica.progress.items():
        role = "voter" if identity in voters else "learner"
        age = now - progress.heard_at
        if identity == replica.identity:
            role = "leader"
            age = 0.0
        found.append(ReplicaStatus(identity, role, progress.match, age))
    return found
