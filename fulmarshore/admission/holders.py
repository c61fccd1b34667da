"""Choice of the peers that must hold a claim before its home agent acts on it.

The home agent of a bucket coordinates all requests of that bucket.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarshore.admission.claimtable import ClaimState
from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import Identity, Member
from fulmarshore.routing.table import ServiceTable

if TYPE_CHECKING:
    from fulmarshore.admission.coordinator import Coordinator


def is_member(service: ServiceTable | None, identity: Identity | None) -> bool:
    """Return whether an incarnation of an agent is a member of the service."""
    if service is None or identity is None:
        return False
    member = service.by_name.get(identity.name)
    return member is not None and member.incarnation == identity.incarnation


def choose_holders(home: Coordinator, state: ClaimState) -> list[Member]:
    """Return the peers that must hold a claim before the home acts on it.

    Without a lease, another agent may have become the home without this one's
    knowledge. Then every member must accept the claim, as one of them would know
    the new home.
    """
    service = home.service
    if service is None:
        return []
    bucket = find_bucket(state.flow)
    known_home = home.settlement.find_home(bucket)
    if known_home != home.identity and is_member(service, known_home):
        return [service.by_name[known_home.name]]
    others = [m for m in service.members if m.name != home.member.name]
    backup = home.backups.find(bucket)
    if not home.has_lease or not is_member(service, backup):
        return others
    return [service.by_name[backup.name]]
