"""Flows that an agent owns, and the directory of the flows it is home of."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import Address, OwnedFlow

NEVER = float("inf")


class Flow:
    """A flow that this agent's upstream serves.

    Attributes
    ----------
    last_active : float
        Time of the last packet in either direction, in seconds.
    answer_deadline : float
        Time by which the upstream has to answer before the flow gets a new
        socket, in seconds.
    assignment : int
        Number under which a home gave the flow to this agent, or 0.
    send : callable or None
        Sends a payload on the flow's socket. Set and used by the daemon only;
        stored here so that no second look-up is needed.
    """

    __slots__ = (
        "key",
        "caller",
        "entry",
        "entry_address",
        "last_active",
        "answer_deadline",
        "assignment",
        "version",
        "local_port",
        "head",
        "head_version",
        "send",
    )

    def __init__(
        self,
        key: bytes,
        caller: Address,
        entry: str,
        address: Address | None,
        assignment: int,
        now: float,
    ) -> None:
        self.key = key
        self.caller = caller
        self.entry = entry
        self.entry_address = address
        self.assignment = assignment
        # Version of the view in force when the flow was opened here.
        self.version = 0
        # Port of the socket towards the upstream, 0 while there is none.
        self.local_port = 0
        self.last_active = now
        self.answer_deadline = NEVER
        # Encoded answer up to the payload, and the table version it was made for.
        self.head = b""
        self.head_version = -1
        self.send: Callable[[bytes], int] | None = None


class IdleQueue:
    """Queue of the flows by the earliest time at which they can be idle.

    Each flow is checked about once per idle time-out, and a packet costs no
    change of the queue.
    """

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: deque[tuple[float, Flow]] = deque()

    def add(self, flow: Flow, now: float) -> None:
        """Add a flow that has just been opened."""
        self._queue.append((now, flow))

    def pop_idle(
        self, flows: dict[bytes, Flow], timeout: float, now: float
    ) -> list[Flow]:
        """Remove and return the open flows that have been idle for the time-out."""
        idle = []
        queue = self._queue
        while queue and now - queue[0][0] >= timeout:
            _, flow = queue.popleft()
            if flows.get(flow.key) is not flow:
                continue
            if now - flow.last_active >= timeout:
                idle.append(flow)
                continue
            self._requeue(flow)
        return idle

    def _requeue(self, flow: Flow) -> None:
        # Times in the queue must not decrease, so a flow may get a later time
        # than that of its last packet. It is then found idle late by less than
        # one time-out, which is harmless.
        last = self._queue[-1][0] if self._queue else flow.last_active
        self._queue.append((max(last, flow.last_active), flow))


def list_longest_idle(
    flows: dict[bytes, Flow], floor: float, count: int, now: float
) -> list[Flow]:
    """Return the flows that were idle for longest, at least for `floor` seconds."""
    idle = [flow for flow in flows.values() if now - flow.last_active >= floor]
    idle.sort(key=lambda flow: flow.last_active)
    return idle[:count]


class DirectoryEntry:
    """Directory entry of a flow that another agent owns.

    Attributes
    ----------
    tried : tuple of str
        Members that have declined the flow.
    assigned_at : float
        Time of the last assignment, in seconds.
    is_assigned_here : bool
        Whether this home chose the owner, and not a former home.
    """

    __slots__ = (
        "owner",
        "incarnation",
        "assignment",
        "tried",
        "assigned_at",
        "is_assigned_here",
    )

    def __init__(
        self, owner: str, incarnation: int, assignment: int, now: float
    ) -> None:
        self.owner = owner
        self.incarnation = incarnation
        self.assignment = assignment
        self.tried: tuple[str, ...] = ()
        self.assigned_at = now
        self.is_assigned_here = False


class Directory:
    """Owners of the flows in the buckets that an agent is home of.

    Flows that the home owns itself are not in it.

    Attributes
    ----------
    flows_by_owner : Counter of str
        Number of flows of each owner, without buckets that were given away.
    assigned_here : int
        Number of those flows whose owner this home chose itself.
    """

    __slots__ = ("_buckets", "_size", "_given_away", "flows_by_owner", "assigned_here")

    def __init__(self) -> None:
        self._buckets: dict[int, dict[bytes, DirectoryEntry]] = {}
        self._size = 0
        self._given_away: set[int] = set()
        self.flows_by_owner: Counter[str] = Counter()
        self.assigned_here = 0

    def __len__(self) -> int:
        return self._size

    def find(self, flow: bytes) -> DirectoryEntry | None:
        """Return the entry of a flow, if there is one."""
        entries = self._buckets.get(find_bucket(flow))
        return entries.get(flow) if entries else None

    def add(self, flow: bytes, entry: DirectoryEntry) -> None:
        """Add or replace the entry of a flow."""
        bucket = find_bucket(flow)
        entries = self._buckets.setdefault(bucket, {})
        previous = entries.get(flow)
        self._size += previous is None
        entries[flow] = entry
        if bucket in self._given_away:
            return
        if previous is not None:
            self._adjust_counts(previous, -1)
        self._adjust_counts(entry, 1)

    def mark_assigned_here(self, flow: bytes, entry: DirectoryEntry) -> None:
        """Record that this home has chosen the owner of a flow."""
        if entry.is_assigned_here:
            return
        entry.is_assigned_here = True
        if find_bucket(flow) not in self._given_away:
            self.assigned_here += 1

    def change_owner(self, flow: bytes, entry: DirectoryEntry, owner: str) -> None:
        """Record the new owner of a flow in the directory."""
        if find_bucket(flow) not in self._given_away:
            self.flows_by_owner[entry.owner] -= 1
            self.flows_by_owner[owner] += 1
        entry.owner = owner

    def give_away(self, buckets: list[int]) -> None:
        """Leave buckets out of the counts, as another home has them now.

        Their entries stay until `discard_bucket`.
        """
        for bucket in buckets:
            if bucket in self._given_away:
                continue
            self._given_away.add(bucket)
            self._subtract_counts(self._buckets.get(bucket, {}))

    def _subtract_counts(self, entries: dict[bytes, DirectoryEntry]) -> None:
        for entry in entries.values():
            self._adjust_counts(entry, -1)

    def _adjust_counts(self, entry: DirectoryEntry, change: int) -> None:
        self.flows_by_owner[entry.owner] += change
        if entry.is_assigned_here:
            self.assigned_here += change

    def discard(self, flow: bytes) -> None:
        """Discard the entry of a flow, if there is one."""
        bucket = find_bucket(flow)
        entries = self._buckets.get(bucket)
        entry = entries.pop(flow, None) if entries else None
        if entry is None:
            return
        self._size -= 1
        if bucket not in self._given_away:
            self._adjust_counts(entry, -1)
        if not entries:
            del self._buckets[bucket]

    def discard_bucket(self, bucket: int) -> None:
        """Discard all entries in a bucket."""
        entries = self._buckets.pop(bucket, None)
        if entries:
            self._size -= len(entries)
            if bucket not in self._given_away:
                self._subtract_counts(entries)
        self._given_away.discard(bucket)

    def clear(self) -> None:
        """Discard all entries and counts."""
        self._buckets.clear()
        self._size = 0
        self._given_away.clear()
        self.flows_by_owner.clear()
        self.assigned_here = 0

    def list_buckets(self) -> list[int]:
        """Return the buckets that have entries."""
        return list(self._buckets)

    def list_flows(self, bucket: int) -> list[OwnedFlow]:
        """Return the flows in a bucket, with their owners."""
        found = []
        for flow, entry in self._buckets.get(bucket, {}).items():
            owned = OwnedFlow(flow, entry.owner, entry.incarnation, entry.assignment)
            found.append(owned)
        return found

    def list_stale(self, bucket: int, before: float) -> list[OwnedFlow]:
        """Return the flows in a bucket that were last assigned before a time."""
        found = []
        for flow, entry in self._buckets.get(bucket, {}).items():
            if entry.assigned_at > before:
                continue
            owned = OwnedFlow(flow, entry.owner, entry.incarnation, entry.assignment)
            found.append(owned)
        return found
