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
from fulmarshore.routing.flows import Directory, Entry
from fulmarshore.routing.loads import FULL_MEMORY_S, Loads
from fulmarshore.routing.table import ServiceTable

ASSIGNMENT_BITS = 24
"""Low bits of an assignment count; the bits above are the home's version."""
KEEP_MARGIN = 0.008
"""A home keeps a flow while it holds more than its part by no more than this."""
UNEVEN_SHARE = 0.5
UNEVEN_FLOWS = 2
"""What a home gives a peer beyond what it gives to any other: a share of an
even part of its flows, and some flows."""
CHECK_INTERVAL_S = 2.0
CHECK_BATCH = 64
"""Flows asked about at a time; bounds the cost of a check."""
PACKET_LIFE_S = 5.0
"""No packet arrives later than this after it was sent."""


def get_ballot(assignment: int) -> int:
    """Return the version of the view under which an assignment was made."""
    return assignment >> ASSIGNMENT_BITS


class Room(Struct, frozen=True):
    """What the home itself holds.

    Parameters
    ----------
    held : int
        Flows held now.
    flows, limit : int
        Flows held at the last report and flows that may be held.
    change : int
        Flows that this agent has kept as home since, less those that ended.
    is_open : bool
        Whether a flow may be admitted right now.
    """

    held: int
    flows: int
    limit: int
    change: int
    is_open: bool


class Candidate(Struct, frozen=True):
    """A peer that may get a flow.

    Parameters
    ----------
    member : Member
        The peer.
    share : float
        Share of its limit that is taken, by its reports.
    held : float
        The same of the flows alone that this home has given to it.
    limit : int
        Flows that it may hold.
    """

    member: Member
    share: float
    held: float
    limit: int


def find_emptiest(candidates: list[Candidate], even: float) -> Candidate | None:
    """Return the peer with the lowest load, among equal ones the first.

    Reports may be late or wrong, but what a home has given to each peer it
    knows exactly. So a peer is passed over that holds too many of the home's
    flows beside the peer that holds fewest, whatever the reports say.

    Parameters
    ----------
    candidates : list of Candidate
        Peers that may have room.
    even : float
        Share of its limit that a member would hold of one home's flows, were
        all spread evenly.
    """
    best: Candidate | None = None
    lowest = min((candidate.held for candidate in candidates), default=0.0)
    for candidate in candidates:
        slack = even * UNEVEN_SHARE + UNEVEN_FLOWS / max(candidate.limit, 1)
        if candidate.held > lowest + slack:
            continue
        if best is None or _rank(candidate) < _rank(best):
            best = candidate
    return best


def _rank(candidate: Candidate) -> tuple[float, float]:
    return candidate.share, candidate.held


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
        "loads",
        "counters",
        "_count",
        "_checked_at",
        "_unchecked",
    )

    def __init__(self, name: str, counters: Counter[str]) -> None:
        self.name = name
        self.directory = Directory()
        self.loads = Loads()
        self.counters = counters
        self._count = 0
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
        self.directory.forget(flow)
        return None

    def choose_owner(
        self, service: ServiceTable, tried: tuple[str, ...], own: Room, now: float
    ) -> Member | None:
        """Return the member that gets a new flow: itself, or the emptiest.

        The home keeps the flow unless it would hold more than its part by a
        margin: a flow that is handed over costs a hop on every packet that
        reaches the home first.

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
        before: list[Candidate] = []
        after: list[Candidate] = []
        own_flows = own.flows + own.change * homes
        flows = own_flows
        limits = own.limit
        for member in service.accepting:
            if member.name == self.name:
                can_keep = own.is_open and member.name not in tried
                itself = member if can_keep else None
                continue
            load = self.loads.find(member)
            flows += load.expect_flows(homes)
            limits += load.limit
            if member.name in tried or now - load.full_at < FULL_MEMORY_S:
                continue
            held = self.directory.owned[member.name] / max(load.limit, 1)
            candidate = Candidate(member, load.find_share(homes), held, load.limit)
            (before if member.name < self.name else after).append(candidate)
        mean = max(flows + 1, 1) / max(limits, 1)
        part = mean * own.limit
        is_within = own.held + 1 <= max(math.ceil(part), part * (1.0 + KEEP_MARGIN))
        if itself is not None and is_within:
            return itself
        # Homes that see the same loads begin with different members.
        best = find_emptiest(after + before, mean / max(homes, 1))
        if itself is None:
            return best.member if best is not None else None
        if best is None or own_flows / max(own.limit, 1) <= best.share:
            return itself
        return best.member

    def assign(
        self, flow: bytes, owner: Member, version: int, is_new: bool, now: float
    ) -> int:
        """Note that a packet of a flow goes to its owner; return the number."""
        self._count += 1
        assignment = (version << ASSIGNMENT_BITS) + self._count
        entry = self.directory.find(flow)
        if entry is None:
            entry = Entry(owner.name, owner.incarnation, assignment, now)
            self.directory.remember(flow, entry)
        self.directory.change_owner(flow, entry, owner.name)
        entry.incarnation = owner.incarnation
        entry.assignment = assignment
        entry.touched_at = now
        if is_new:
            self.loads.expect(owner, assignment)
        else:
            entry.tried = ()
        return assignment

    def decline(self, service: ServiceTable, declined: Declined, now: float) -> bool:
        """Note that an owner had no room; True where a new one is due."""
        member = service.by_name.get(declined.agent)
        if member is not None and member.incarnation == declined.incarnation:
            assignment = declined.packet.assignment
            self.loads.decline(member, declined.flows, assignment, now)
        entry = self.directory.find(declined.packet.flow)
        if entry is None or entry.owner != declined.agent:
            return False
        if entry.assignment != declined.packet.assignment:
            return False
        entry.tried = (*entry.tried, declined.agent)
        return True

    def release(self, released: Released) -> None:
        """Forget a flow that has ended, unless it was assigned again since."""
        entry = self.directory.find(released.flow)
        if entry is None or entry.owner != released.agent:
            return
        if entry.incarnation > released.incarnation:
            return
        if entry.assignment != released.assignment:
            self.counters["released_late"] += 1
            return
        self.directory.forget(released.flow)
        self.loads.note_ended(released.agent, released.incarnation)

    def import_flows(self, sender: str, flows: list[OwnedFlow], now: float) -> None:
        """Take in what a peer owns or remembers in buckets taken over."""
        for owned in flows:
            if owned.owner == self.name:
                continue
            entry = self.directory.find(owned.flow)
            if entry is not None and not self._is_better(entry, owned, sender):
                continue
            fresh = Entry(owned.owner, owned.incarnation, owned.assignment, now)
            self.directory.remember(owned.flow, fresh)

    def _is_better(self, entry: Entry, owned: OwnedFlow, sender: str) -> bool:
        if entry.owner == owned.owner:
            return owned.assignment > entry.assignment
        # The owner's own word goes before what a former home remembers.
        self.counters["owners_conflicting"] += 1
        return owned.owner == sender

    def take_report(self, service: ServiceTable, report: LoadReport) -> None:
        """Take in the load of a peer, unless it is one of a former self."""
        member = service.by_name.get(report.agent)
        if member is None or member.incarnation != report.incarnation:
            self.counters["reports_late"] += 1
            return
        if not self.loads.take_report(member, report):
            self.counters["reports_late"] += 1

    def follow(self, service: ServiceTable | None) -> None:
        """Forget loads of members that a newer table no longer holds."""
        self.loads.keep_only(set(service.by_name) if service is not None else set())

    def list_checks(
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
            for owned in self.directory.list_quiet(bucket, now - PACKET_LIFE_S):
                asked.setdefault(owned.owner, []).append(owned)
                count += 1
        checks = []
        for name, flows in asked.items():
            member = service.by_name.get(name)
            for start in range(0, len(flows), CHECK_BATCH):
                part = flows[start : start + CHECK_BATCH]
                if member is None:
                    for owned in part:
                        self.directory.forget(owned.flow)
                    continue
                checks.append((member, part))
        return checks
