"""The flows that an agent owns and the directory of the flows it is home of."""

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
    send : callable or None
        What the process sends the flow's packets with, kept here to be found
        with the flow; the core leaves it alone.
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
        # Version of the view in force when the flow was taken.
        self.version = 0
        # Port of the socket towards the upstream, 0 while there is none.
        self.local_port = 0
        self.last_active = now
        self.answer_deadline = NEVER
        # An encoded answer up to the payload, and the version it belongs to.
        self.head = b""
        self.head_version = -1
        self.send: Callable[[bytes], int] | None = None


class IdleQueue:
    """Finds idle flows without looking at each of them again and again.

    A flow is looked at when it could have become idle at the earliest, so
    each costs one look for each time-out that passes, and none for a packet.
    """

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: deque[tuple[float, Flow]] = deque()

    def add(self, flow: Flow, now: float) -> None:
        """Watch a flow that has just been opened."""
        self._queue.append((now, flow))

    def pop_idle(
        self, flows: dict[bytes, Flow], timeout: float, now: float
    ) -> list[Flow]:
        """Return the open flows that have been idle for the time-out."""
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
        # The queue is ordered by the time of the last look, not of the last
        # packet: an entry that is too late by less than one look is harmless.
        last = self._queue[-1][0] if self._queue else flow.last_active
        self._queue.append((max(last, flow.last_active), flow))


def list_longest_idle(
    flows: dict[bytes, Flow], floor: float, count: int, now: float
) -> list[Flow]:
    """Return the flows that were idle for longest, all for at least the floor."""
    idle = [flow for flow in flows.values() if now - flow.last_active >= floor]
    idle.sort(key=lambda flow: flow.last_active)
    return idle[:count]


class DirectoryEntry:
    """What the home remembers of a flow that another agent owns."""

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
        # Whether this home chose the owner, and not one before it.
        self.is_assigned_here = False


class Directory:
    """Owners of the flows in the buckets that an agent is home of.

    Flows that the home owns itself are not in it.

    Attributes
    ----------
    owned : Counter of str
        Flows of each owner, but for those in buckets that were given away.
    handed : int
        Those of them of which this home itself chose the owner.
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
        """Return what is remembered of a flow."""
        held = self._buckets.get(find_bucket(flow))
        return held.get(flow) if held else None

    def add(self, flow: bytes, entry: DirectoryEntry) -> None:
        """Remember the owner of a flow."""
        bucket = find_bucket(flow)
        held = self._buckets.setdefault(bucket, {})
        former = held.get(flow)
        self._size += former is None
        held[flow] = entry
        if bucket in self._given_away:
            return
        if former is not None:
            self._adjust_counts(former, -1)
        self._adjust_counts(entry, 1)

    def mark_assigned_here(self, flow: bytes, entry: DirectoryEntry) -> None:
        """Note that this home has chosen the owner of a remembered flow."""
        if entry.is_assigned_here:
            return
        entry.is_assigned_here = True
        if find_bucket(flow) not in self._given_away:
            self.assigned_here += 1

    def change_owner(self, flow: bytes, entry: DirectoryEntry, owner: str) -> None:
        """Note that a remembered flow goes to another owner."""
        if find_bucket(flow) not in self._given_away:
            self.flows_by_owner[entry.owner] -= 1
            self.flows_by_owner[owner] += 1
        entry.owner = owner

    def give_away(self, buckets: list[int]) -> None:
        """Leave buckets out of the count, as another home has them now.

        Their flows are remembered until the buckets are forgotten.
        """
        for bucket in buckets:
            if bucket in self._given_away:
                continue
            self._given_away.add(bucket)
            self._subtract_counts(self._buckets.get(bucket, {}))

    def _subtract_counts(self, held: dict[bytes, DirectoryEntry]) -> None:
        for entry in held.values():
            self._adjust_counts(entry, -1)

    def _adjust_counts(self, entry: DirectoryEntry, change: int) -> None:
        self.flows_by_owner[entry.owner] += change
        if entry.is_assigned_here:
            self.assigned_here += change

    def discard(self, flow: bytes) -> None:
        """Forget a flow, if it is known."""
        bucket = find_bucket(flow)
        held = self._buckets.get(bucket)
        entry = held.pop(flow, None) if held else None
        if entry is None:
            return
        self._size -= 1
        if bucket not in self._given_away:
            self._adjust_counts(entry, -1)
        if not held:
            del self._buckets[bucket]

    def discard_bucket(self, bucket: int) -> None:
        """Forget all flows in a bucket."""
        held = self._buckets.pop(bucket, None)
        if held:
            self._size -= len(held)
            if bucket not in self._given_away:
                self._subtract_counts(held)
        self._given_away.discard(bucket)

    def clear(self) -> None:
        """Forget everything."""
        self._buckets.clear()
        self._size = 0
        self._given_away.clear()
        self.flows_by_owner.clear()
        self.assigned_here = 0

    def list_buckets(self) -> list[int]:
        """Return the buckets in which flows are remembered."""
        return list(self._buckets)

    def list_flows(self, bucket: int) -> list[OwnedFlow]:
        """Return the remembered flows in a bucket."""
        found = []
        for flow, entry in self._buckets.get(bucket, {}).items():
            owned = OwnedFlow(flow, entry.owner, entry.incarnation, entry.assignment)
            found.append(owned)
        return found

    def list_stale(self, bucket: int, before: float) -> list[OwnedFlow]:
        """Return the flows in a bucket that were not assigned since a time."""
        found = []
        for flow, entry in self._buckets.get(bucket, {}).items():
            if entry.assigned_at > before:
                continue
            owned = OwnedFlow(flow, entry.owner, entry.incarnation, entry.assignment)
            found.append(owned)
        return found
