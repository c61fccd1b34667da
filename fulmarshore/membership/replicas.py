"""The status of the replicas of a control host's group."""

from __future__ import annotations

from fulmarshore.agreement.replica import Replica
from fulmarshore.core.records import ReplicaStatus


def list_replica_statuses(replica: Replica, now: float) -> list[ReplicaStatus]:
    """Return the status of voters and learners; a follower knows only the voters.

    A new disk is shown as a voter only once that is committed: until then the
    group does not survive the loss of another host.
    """
    voters = replica.get_voters_at(replica.commit).replicas
    if not replica.is_leader:
        found = [ReplicaStatus(voter, "voter", 0, -1.0) for voter in voters]
        if replica.identity not in voters:
            own = ReplicaStatus(replica.identity, "learner", replica.commit, 0.0)
            found.append(own)
        return found
    found = []
    for identity, progress in replica.progress.items():
        role = "voter" if identity in voters else "learner"
        age = now - progress.last_contact
        if identity == replica.identity:
            role = "leader"
            age = 0.0
        found.append(ReplicaStatus(identity, role, progress.match, age))
    return found
