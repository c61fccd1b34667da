"""Hand-over of flow records: a restarting agent leaves them with its peers.

The agent sends its flow records to two peers, and leaves once both have all or
after a timeout. Its successor, of the same name and a higher incarnation,
requests them from all peers and opens each flow's socket on the port it had, so
that the upstream sees the same flow. A record is valid for as long as the agent
has been a member without interruption: during that time no other agent opens
its flows.
"""

from __future__ import annotations

from fulmarshore.core.records import (
    Address,
    FlowRecord,
    FlowRecords,
    FlowRecordsAck,
    Member,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.membership.view import View
from fulmarshore.routing.continuity import (
    ReturnedRecords,
    has_zone_changed,
    was_continuously_member,
)
from fulmarshore.routing.fence import LEASE_MARGIN_S

HOLDER_COUNT = 2
MAX_RECORDS_PER_MESSAGE = 400
RETRY_INTERVAL_S = 0.1
EXPORT_TIMEOUT_S = 2.0
"""The agent leaves after this, even if a holder has not acknowledged all."""
RECOVERY_TIMEOUT_S = 1.0
"""Longest wait of a successor with a complete hand-over for the other peers."""
RESPONSE_TIMEOUT_S = LEASE_S + 1.0
"""Longest time that a successor waits for members that have not answered."""
RECORD_TTL_S = 30.0


class Export:
    """Sends the records of an agent that is about to restart to its peers.

    Parameters
    ----------
    messages : list of FlowRecords
        All parts of the records.
    peers : list of Member
        Candidates for holders, in order of preference.
    now : float
        Start time, in seconds.
    """

    __slots__ = ("_messages", "_peers", "_unacknowledged", "_began_at", "_sent_at")

    def __init__(
        self, messages: list[FlowRecords], peers: list[Member], now: float
    ) -> None:
        self._messages = messages
        self._peers = {member.name: member for member in peers[:HOLDER_COUNT]}
        parts = set(range(len(messages)))
        self._unacknowledged = {name: set(parts) for name in self._peers}
        self._began_at = now
        self._sent_at = float("-inf")

    def list_due(self, now: float) -> list[tuple[Member, FlowRecords]]:
        """Return the parts not yet acknowledged, once per retry interval."""
        if now - self._sent_at < RETRY_INTERVAL_S:
            return []
        self._sent_at = now
        due = []
        for name, parts in self._unacknowledged.items():
            for part in sorted(parts):
                due.append((self._peers[name], self._messages[part]))
        return due

    def handle_ack(self, ack: FlowRecordsAck) -> None:
        """Record that a peer holds a part."""
        self._unacknowledged.get(ack.agent, set()).discard(ack.part)

    def is_done(self, now: float) -> bool:
        """Return whether every holder has all parts, or the timeout has passed."""
        if not any(self._unacknowledged.values()):
            return True
        return now - self._began_at >= EXPORT_TIMEOUT_S

    def has_holder(self) -> bool:
        """Return whether at least one holder has all parts."""
        return any(not parts for parts in self._unacknowledged.values())


class HeldRecords:
    """The records that were handed over by one agent."""

    __slots__ = ("incarnation", "version", "parts", "stored_at", "member_until")

    def __init__(self, incarnation: int, version: int, now: float) -> None:
        self.incarnation = incarnation
        self.version = version
        self.parts: dict[int, FlowRecords] = {}
        self.stored_at = now
        # An agent that has just left stays a member until its lease ends.
        self.member_until = now


class RecordStore:
    """Holds the records of peers that restart."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held: dict[str, HeldRecords] = {}

    def __len__(self) -> int:
        return len(self._held)

    def store(self, records: FlowRecords, now: float) -> bool:
        """Store a part; return False for one of an older incarnation."""
        held = self._held.get(records.agent)
        if held is not None and held.incarnation > records.incarnation:
            return False
        if held is None or held.incarnation < records.incarnation:
            held = HeldRecords(records.incarnation, records.version, now)
            held.member_until = now + records.lease_left - LEASE_MARGIN_S
            self._held[records.agent] = held
        held.parts[records.part] = records
        return True

    def find(
        self, agent: str, previous_incarnation: int, view: View, now: float
    ) -> list[FlowRecords]:
        """Return the parts held for a successor; empty if they are not valid.

        Parameters
        ----------
        previous_incarnation : int
            Latest known incarnation before the successor.
        """
        held = self._held.get(agent)
        if held is None or held.incarnation < previous_incarnation:
            return []
        is_leased = now < held.member_until
        if not is_leased and not was_continuously_member(view, agent, held.version):
            return []
        if has_zone_changed(view, agent, held.version):
            return []
        total = next(iter(held.parts.values())).parts
        if len(held.parts) < total:
            return []
        return [held.parts[part] for part in sorted(held.parts)]

    def expire(self, now: float) -> None:
        """Drop records that no successor has requested in time."""
        for agent, held in list(self._held.items()):
            if now - held.stored_at >= RECORD_TTL_S:
                del self._held[agent]


class Recovery:
    """A successor's requests for the records of its previous incarnation.

    Parameters
    ----------
    peers : set of str
        Peers to ask.
    now : float
        Start time, in seconds.
    """

    __slots__ = ("_unanswered", "_parts", "_incarnation", "_began_at", "_asked_at")

    def __init__(self, peers: set[str], now: float) -> None:
        self._unanswered = set(peers)
        self._parts: dict[str, dict[int, FlowRecords]] = {}
        self._incarnation = 0
        self._began_at = now
        self._asked_at = float("-inf")

    def list_due(self, now: float) -> list[str]:
        """Return the peers to ask, once per retry interval."""
        if now - self._asked_at < RETRY_INTERVAL_S:
            return []
        self._asked_at = now
        return sorted(self._unanswered)

    def update(self, members: set[str]) -> None:
        """Stop waiting for peers that are no longer members."""
        self._unanswered &= members

    def add_part(self, holder: str, records: FlowRecords) -> None:
        """Add a part from a peer; a total of 0 parts says that it holds none."""
        if holder not in self._unanswered:
            return
        self._incarnation = max(self._incarnation, records.incarnation)
        if not records.parts:
            self._unanswered.discard(holder)
            return
        parts = self._parts.setdefault(holder, {})
        first = next(iter(parts.values()), records)
        if first.last_batch != records.last_batch or first.parts != records.parts:
            # The holder has applied a late batch between two answers.
            parts.clear()
        parts[records.part] = records
        if len(parts) == records.parts:
            self._unanswered.discard(holder)

    def is_done(self, now: float) -> bool:
        """Return whether every peer has answered, or a timeout has passed."""
        waited = now - self._began_at
        if not self._unanswered or waited >= RESPONSE_TIMEOUT_S:
            return True
        return waited >= RECOVERY_TIMEOUT_S and bool(self._list_handed_over())

    def list_records(self) -> list[FlowRecord]:
        """Return the valid records of the latest previous incarnation.

        Those of a copy are valid only if every member has answered: one that
        has not may know of another incarnation in between.
        """
        handed_over = self._list_handed_over()
        if handed_over:
            return join_parts(handed_over[0])
        if self._unanswered:
            return []
        newest: dict[bytes, FlowRecord] = {}
        for parts in sorted(self._list_complete(), key=_get_last_batch):
            for record in join_parts(parts):
                newest[record.flow] = record
        return list(newest.values())

    def list_returned(self, successor: int) -> dict[str, ReturnedRecords]:
        """Return the records that each holder has returned to this successor."""
        returned = {}
        for holder, parts in self._parts.items():
            if parts in self._list_complete():
                last_batch = _get_last_batch(parts)
                returned[holder] = ReturnedRecords(
                    successor, last_batch, join_parts(parts)
                )
        return returned

    def _list_handed_over(self) -> list[dict[int, FlowRecords]]:
        return [parts for parts in self._list_complete() if not _get_last_batch(parts)]

    def _list_complete(self) -> list[dict[int, FlowRecords]]:
        complete = []
        for parts in self._parts.values():
            first = next(iter(parts.values()))
            if first.incarnation == self._incarnation and len(parts) == first.parts:
                complete.append(parts)
        return complete


def join_parts(parts: dict[int, FlowRecords]) -> list[FlowRecord]:
    """Return the records of all parts, in order."""
    return [record for _, part in sorted(parts.items()) for record in part.flows]


def _get_last_batch(parts: dict[int, FlowRecords]) -> int:
    return next(iter(parts.values())).last_batch


def split_records(
    service: str,
    agent: str,
    incarnation: int,
    version: int,
    lease_left: float,
    records: list[FlowRecord],
    sender: str = "",
    last_batch: int = 0,
) -> list[FlowRecords]:
    """Split records into messages that fit a datagram, at least one."""
    size = MAX_RECORDS_PER_MESSAGE
    parts = max(1, -(-len(records) // size))
    messages = []
    for part in range(parts):
        flows = records[part * size : (part + 1) * size]
        head = (service, agent, incarnation, version, sender or agent)
        messages.append(FlowRecords(*head, part, parts, flows, lease_left, last_batch))
    return messages


def get_address(member: Member) -> Address:
    """Return the data address of a member."""
    return Address(member.host, member.port)
