"""What a home decides: who owns a flow, and who gets a new one."""

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
from fulmarshore.routing.detours import Detours, find_margin
from fulmarshore.routing.flows import Directory, DirectoryEntry
from fulmarshore.routing.loads import DECLINE_BACKOFF_S, MemberLoads
from fulmarshore.routing.table import ServiceTable

ASSIGNMENT_BITS = 24
"""Low bits of an assignment count; the bits above are the home's version."""
CHECK_INTERVAL_S = 2.0
CHECK_BATCH = 64
"""Flows asked about at a time; bounds the cost of a check."""
MAX_PACKET_LIFETIME_S = 5.0
"""No packet arrives later than this after it was sent."""


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
    """Remembers the owners of the flows an agent is home of, and chooses new ones.

    Parameters
    ----------
    name : str
        Name of the agent.
    """

    __slots__ = (
        "name",
        "directory",
        "detours",
        "churn",
        "loads",
        "counters",
        "_assignment_count",
        "_checked_at",
        "_unchecked",
    )

    def __init__(self, name: str, counters: Counter[str]) -> None:
        self.name = name
        self.directory = Directory()
        self.detours = Detours()
        self.churn = ChurnTracker()
        self.loads = MemberLoads()
        self.counters = counters
        self._assignment_count = 0
        self._checked_at = float("-inf")
        self._unchecked: list[int] = []

    def find_owner(self, service: ServiceTable, flow: bytes) -> Member | None:
        """Return the remembered owner of a flow, if it still lives.

        The successor of a restarted owner goes on with its flows, or says
        that it does not hold them.
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
        """Return the member that gets a new flow: itself, or the emptiest.

        A flow that is handed over costs a hop on every packet that reaches the
        home first. Where many do, the home keeps the flow unless it would hold
        more than its part by a margin.

        Parameters
        ----------
        service : ServiceTable
            The members.
        tried : tuple of str
            Members that have declined this flow.
        own : Room
            What this agent itself holds, and whether it may take a flow.
        now : float
            The time, in seconds.

        Returns
        -------
        owner : Member or None
            None only where every member has declined, or has had no room
            within the last few milliseconds.
        """
        homes = len(service.accepting)
        itself: Member | None = None
        peers: list[Member] = []
        own_flows = own.reported_flows + own.change_since_report * homes
        flows = own_flows
        limits = own.limit
        for member in service.accepting:
            if member.name == self.name:
                can_keep = own.can_admit and member.name not in tried
                itself = member if can_keep else None
                continue
            load = self.loads.find(member)
            flows += load.estimate_flows(homes)
            limits += load.limit
            if member.name in tried or now - load.declined_at < DECLINE_BACKOFF_S:
                continue
            peers.append(member)
        mean = max(flows + 1, 1) / max(limits, 1)
        if itself is not None and self._should_keep(
            own.current_flows + 1, mean * own.limit
        ):
            return itself
        candidates = [self._make_candidate(member, homes, mean) for member in peers]
        best = find_least_loaded(
            stagger(candidates, self.name, mean), mean / max(homes, 1)
        )
        if itself is None:
            return best.member if best is not None else None
        share = own_flows / max(own.limit, 1)
        if self.churn.has_low_churn(self.name):
            share += compute_low_churn_penalty(homes, own.limit, mean)
        if best is None or share <= best.utilization:
            return itself
        return best.member

    def _make_candidate(self, member: Member, homes: int, mean: float) -> Candidate:
        load = self.loads.find(member)
        share = load.estimate_utilization(homes)
        if self.churn.has_low_churn(member.name):
            share += compute_low_churn_penalty(homes, load.limit, mean)
        held = self.directory.flows_by_owner[member.name] / max(load.limit, 1)
        return Candidate(member, share, held, load.limit)

    def _should_keep(self, held: int, part: float) -> bool:
        """Return whether a flow more is kept, whoever is emptier."""
        margin = find_margin(self.directory.assigned_here, part, self.detours.share)
        if margin < 0.0:
            return False
        is_kept = held <= max(math.ceil(part), part * (1.0 + margin))
        if is_kept and held > part:
            self.counters["kept_beyond_part"] += 1
        return is_kept

    def assign(
        self, flow: bytes, owner: Member, version: int, is_new: bool, now: float
    ) -> int:
        """Note that a packet of a flow goes to its owner; return the number."""
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
        """Note that an owner had no room; True where a new one is due."""
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
        """Forget a flow that has ended, unless it was assigned again since."""
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
        """Take in what a peer owns or remembers in buckets taken over."""
        for owned in flows:
            if owned.owner == self.name:
                continue
            entry = self.directory.find(owned.flow)
            if entry is not None and not self._supersedes(entry, owned, sender):
                continue
            fresh = DirectoryEntry(
                owned.owner, owned.incarnation, owned.assignment, now
            )
            self.directory.add(owned.flow, fresh)

    def _supersedes(self, entry: DirectoryEntry, owned: OwnedFlow, sender: str) -> bool:
        if entry.owner == owned.owner:
            return owned.assignment > entry.assignment
        # The owner's own word goes before what a former home remembers.
        self.counters["owners_conflicting"] += 1
        return owned.owner == sender

    def handle_report(self, service: ServiceTable, report: LoadReport) -> None:
        """Take in the load of a peer, unless it is one of a former self."""
        member = service.by_name.get(report.agent)
        if member is None or member.incarnation != report.incarnation:
            self.counters["reports_late"] += 1
            return
        if not self.loads.handle_report(member, report):
            self.counters["reports_late"] += 1

    def update(self, service: ServiceTable | None) -> None:
        """Forget loads of members that a newer table no longer holds."""
        names = set(service.by_name) if service is not None else set()
        self.loads.retain(names)
        accepting = service.accepting if service is not None else []
        self.churn.update({member.name for member in accepting})

    def list_due_checks(
        self, service: ServiceTable, now: float
    ) -> list[tuple[Member, list[OwnedFlow]]]:
        """Return flows to ask their owners about, some at a time.

        A lost `Released` would leave a flow here for good; over the rounds
        every flow that was long quiet is asked about.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return []
        self._checked_at = now
        if not self._unchecked:
            self._unchecked = self.directory.list_buckets()
        asked: dict[str, list[OwnedFlow]] = {}
        count = 0
        while self._unchecked and count < CHECK_BATCH:
            bucket = self._unchecked.pop()
            for owned in self.directory.list_stale(bucket, now - MAX_PACKET_LIFETIME_S):
                asked.setdefault(owned.owner, []).append(owned)
                count += 1
        checks = []
        for name, flows in asked.items():
            member = service.by_name.get(name)
            for start in range(0, len(flows), CHECK_BATCH):
                part = flows[start : start + CHECK_BATCH]
                if member is None:
                    for owned in part:
                        self.directory.discard(owned.flow)
                    continue
                checks.append((member, part))
        return checks
