"""Decisions of a home agent: the owner of a known flow, and that of a new one."""

from __future__ import annotations

import math
from collections import Counter

from msgspec import Struct

from fulmarshore.core.records import (
    Declined,
    LoadReport,
    Member,
    OwnedFlow,
    Released,
)
from fulmarshore.routing.candidates import (
    Candidate,
    compute_low_churn_penalty,
    find_least_loaded,
    stagger,
)
from fulmarshore.routing.churn import ChurnTracker
from fulmarshore.routing.extrahops import ExtraHopMeter, compute_keep_margin
from fulmarshore.routing.flows import Directory, DirectoryEntry
from fulmarshore.routing.loads import DECLINE_BACKOFF_S, MemberLoads
from fulmarshore.routing.table import ServiceTable

ASSIGNMENT_BITS = 24
"""Low bits of an assignment, a counter; the bits above are the home's version."""
CHECK_INTERVAL_S = 2.0
"""Time between two rounds of `FlowCheck` messages."""
CHECK_BATCH = 64
"""Flows in one `FlowCheck`; a round stops after as many, to bound its cost."""
MAX_PACKET_LIFETIME_S = 5.0
"""Longest time that a packet can be in transit."""


def get_ballot(assignment: int) -> int:
    """Return the version of the view under which an assignment was made."""
    return assignment >> ASSIGNMENT_BITS


class OwnLoad(Struct, frozen=True):
    """The load of the agent that chooses an owner, as compared with its peers.

    Parameters
    ----------
    current_flows : int
        Flows held now.
    reported_flows, limit : int
        Flows held at the last report and flows that may be held.
    change_since_report : int
        Flows that this agent has kept as home since the report, less those
        that ended.
    can_admit : bool
        Whether a flow may be admitted right now.
    """

    current_flows: int
    reported_flows: int
    limit: int
    change_since_report: int
    can_admit: bool


class Arbiter:
    """Holds the directory of the flows an agent is home of, and chooses owners.

    Parameters
    ----------
    name : str
        Name of the agent.
    counters : Counter of str
        Counters of the agent.
    """

    __slots__ = (
        "name",
        "directory",
        "extra_hops",
        "churn",
        "loads",
        "counters",
        "_assignment_count",
        "_checked_at",
        "_unchecked_buckets",
    )

    def __init__(self, name: str, counters: Counter[str]) -> None:
        self.name = name
        self.directory = Directory()
        self.extra_hops = ExtraHopMeter()
        self.churn = ChurnTracker()
        self.loads = MemberLoads()
        self.counters = counters
        self._assignment_count = 0
        self._checked_at = float("-inf")
        self._unchecked_buckets: list[int] = []

    def find_owner(self, service: ServiceTable, flow: bytes) -> Member | None:
        """Return the owner of a flow from the directory, if it is still a member.

        A restarted owner counts: its successor has recovered the flow, or
        replies that it does not hold it.
        """
        entry = self.directory.find(flow)
        if entry is None:
            return None
        owner = service.by_name.get(entry.owner)
        alive = owner is not None and owner.incarnation >= entry.incarnation
        if alive and entry.owner != self.name:
            return owner
        self.directory.discard(flow)
        return None

    def choose_owner(
        self, service: ServiceTable, tried: tuple[str, ...], own: OwnLoad, now: float
    ) -> Member | None:
        """Return the member that gets a new flow: the home itself, or a peer.

        A flow that is handed over to a peer costs a hop on every packet that
        reaches the home first. If many packets do, the home keeps the flow
        unless it would hold more than its even part by a margin. Otherwise the
        least loaded member gets it.

        Parameters
        ----------
        service : ServiceTable
            The members.
        tried : tuple of str
            Members that have declined this flow.
        own : OwnLoad
            The load of this agent, and whether it can admit a flow.
        now : float
            The time, in seconds.

        Returns
        -------
        owner : Member or None
            None only if every member has declined this flow, or another one
            within `DECLINE_BACKOFF_S`.
        """
        homes = len(service.accepting)
        own_member: Member | None = None
        peers: list[Member] = []
        own_flows = own.reported_flows + own.change_since_report * homes
        total_flows = own_flows
        total_limit = own.limit
        for member in service.accepting:
            if member.name == self.name:
                can_keep = own.can_admit and member.name not in tried
                own_member = member if can_keep else None
                continue
            load = self.loads.get_load(member)
            total_flows += load.estimate_flows(homes)
            total_limit += load.limit
            if member.name in tried or now - load.declined_at < DECLINE_BACKOFF_S:
                continue
            peers.append(member)
        mean = max(total_flows + 1, 1) / max(total_limit, 1)
        if own_member is not None and self._should_keep(
            own.current_flows + 1, mean * own.limit
        ):
            return own_member
        candidates = [self._make_candidate(member, homes, mean) for member in peers]
        best = find_least_loaded(
            stagger(candidates, self.name, mean), mean / max(homes, 1)
        )
        if own_member is None:
            return best.member if best is not None else None
        utilization = own_flows / max(own.limit, 1)
        if self.churn.has_low_churn(self.name):
            utilization += compute_low_churn_penalty(homes, own.limit, mean)
        if best is None or utilization <= best.utilization:
            return own_member
        return best.member

    def _make_candidate(self, member: Member, homes: int, mean: float) -> Candidate:
        load = self.loads.get_load(member)
        utilization = load.estimate_utilization(homes)
        if self.churn.has_low_churn(member.name):
            utilization += compute_low_churn_penalty(homes, load.limit, mean)
        assigned_share = self.directory.flows_by_owner[member.name] / max(load.limit, 1)
        return Candidate(member, utilization, assigned_share, load.limit)

    def _should_keep(self, flows: int, even_part: float) -> bool:
        """Return whether the home keeps a flow even if a peer is less loaded.

        Parameters
        ----------
        flows : int
            Flows that the home would hold.
        even_part : float
            Flows that it would hold if all were spread evenly.
        """
        margin = compute_keep_margin(
            self.directory.assigned_here, even_part, self.extra_hops.share
        )
        if margin < 0.0:
            return False
        is_kept = flows <= max(math.ceil(even_part), even_part * (1.0 + margin))
        if is_kept and flows > even_part:
            self.counters["kept_beyond_part"] += 1
        return is_kept

    def assign(
        self, flow: bytes, owner: Member, version: int, is_new: bool, now: float
    ) -> int:
        """Record that a packet goes to the owner of its flow; return its number.

        Parameters
        ----------
        is_new : bool
            Whether the owner was just chosen, as the flow had none.
        """
        self._assignment_count += 1
        assignment = (version << ASSIGNMENT_BITS) + self._assignment_count
        entry = self.directory.find(flow)
        if entry is None:
            entry = DirectoryEntry(owner.name, owner.incarnation, assignment, now)
            self.directory.add(flow, entry)
        self.directory.change_owner(flow, entry, owner.name)
        entry.incarnation = owner.incarnation
        entry.assignment = assignment
        entry.assigned_at = now
        if is_new:
            self.directory.mark_assigned_here(flow, entry)
            self.loads.record_assignment(owner, assignment)
        else:
            entry.tried = ()
        return assignment

    def record_decline(
        self, service: ServiceTable, declined: Declined, now: float
    ) -> bool:
        """Record that a member declined a flow; True if it needs another owner."""
        member = service.by_name.get(declined.agent)
        if member is not None and member.incarnation == declined.incarnation:
            assignment = declined.packet.assignment
            self.loads.record_decline(member, declined.flows, assignment, now)
        entry = self.directory.find(declined.packet.flow)
        if entry is None or entry.owner != declined.agent:
            return False
        if entry.assignment != declined.packet.assignment:
            return False
        entry.tried = (*entry.tried, declined.agent)
        return True

    def handle_released(self, released: Released) -> None:
        """Discard a flow that has ended, unless it was assigned again since."""
        entry = self.directory.find(released.flow)
        if entry is None or entry.owner != released.agent:
            return
        if entry.incarnation > released.incarnation:
            return
        if entry.assignment != released.assignment:
            self.counters["released_late"] += 1
            return
        self.directory.discard(released.flow)
        self.churn.record_ended(released.agent)
        self.loads.record_ended(released.agent, released.incarnation)

    def import_flows(self, sender: str, flows: list[OwnedFlow], now: float) -> None:
        """Add flows that a peer owns or has in its directory, at a take-over."""
        for owned in flows:
            if owned.owner == self.name:
                continue
            entry = self.directory.find(owned.flow)
            if entry is not None and not self._supersedes(entry, owned, sender):
                continue
            imported = DirectoryEntry(
                owned.owner, owned.incarnation, owned.assignment, now
            )
            self.directory.add(owned.flow, imported)

    def _supersedes(self, entry: DirectoryEntry, owned: OwnedFlow, sender: str) -> bool:
        if entry.owner == owned.owner:
            return owned.assignment > entry.assignment
        # A claim of the owner itself overrides an entry of a former home.
        self.counters["owners_conflicting"] += 1
        return owned.owner == sender

    def handle_report(self, service: ServiceTable, report: LoadReport) -> None:
        """Record the load of a peer, unless the report is outdated."""
        member = service.by_name.get(report.agent)
        if member is None or member.incarnation != report.incarnation:
            self.counters["reports_late"] += 1
            return
        if not self.loads.handle_report(member, report):
            self.counters["reports_late"] += 1

    def update(self, service: ServiceTable | None) -> None:
        """Apply a newer table: drop loads of members that have left."""
        names = set(service.by_name) if service is not None else set()
        self.loads.retain(names)
        accepting = service.accepting if service is not None else []
        self.churn.update({member.name for member in accepting})

    def list_due_checks(
        self, service: ServiceTable, now: float
    ) -> list[tuple[Member, list[OwnedFlow]]]:
        """Return flows to check with their owners, a batch at a time.

        A lost `Released` would leave a flow in the directory for good. Over
        the rounds every flow that was not assigned lately is checked.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return []
        self._checked_at = now
        if not self._unchecked_buckets:
            self._unchecked_buckets = self.directory.list_buckets()
        flows_by_owner: dict[str, list[OwnedFlow]] = {}
        count = 0
        while self._unchecked_buckets and count < CHECK_BATCH:
            bucket = self._unchecked_buckets.pop()
            for owned in self.directory.list_stale(bucket, now - MAX_PACKET_LIFETIME_S):
                flows_by_owner.setdefault(owned.owner, []).append(owned)
                count += 1
        checks = []
        for name, flows in flows_by_owner.items():
            member = service.by_name.get(name)
            for start in range(0, len(flows), CHECK_BATCH):
                part = flows[start : start + CHECK_BATCH]
                if member is None:
                    for owned in part:
                        self.directory.discard(owned.flow)
                    continue
                checks.append((member, part))
        return checks
