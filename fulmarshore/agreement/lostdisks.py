"""Knowledge of disks that are lost: their hosts answer with another disk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.core.records import (
    AppendRequest,
    DiskReplaced,
    SendLink,
    SnapshotChunk,
    TimeoutNow,
    VoteRequest,
)

if TYPE_CHECKING:
    from fulmarshore.agreement.replica import Replica


def report_replaced(
    replica: Replica,
    peer: str,
    request: VoteRequest | TimeoutNow | AppendRequest | SnapshotChunk,
) -> None:
    """Tell the sender of a request for a former disk of this host that it is lost."""
    if not replica.names_are_addresses:
        return
    if request.target.name != replica.identity.name:
        return
    report = DiskReplaced(request.group, replica.identity, request.target)
    replica.emit(SendLink(peer, report))


def handle_replaced(replica: Replica, peer: str, report: DiskReplaced) -> None:
    """Record that the disk of a voter is lost."""
    lost = report.lost
    if not replica.names_are_addresses or lost in replica.lost_voters:
        return
    if not lost.name == report.sender.name == peer or lost == report.sender:
        replica.counters["reports_of_other_hosts"] += 1
        return
    if lost not in replica.all_voters:
        return
    replica.lost_voters |= {lost}
    replica.lost_round = replica.heartbeat_round
    replica.record_event("voter_disk_lost", peer=lost.name, detail=lost.disk)
