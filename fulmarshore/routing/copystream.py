"""Sends copies of an agent's flow records to one copy holder.

Opened and ended flows are sent in batches of a bounded size, one at a time: a
batch is repeated until the copy holder has acknowledged it. What does not fit
waits for a later batch; ends are sent before openings.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec.structs import replace

from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    FlowCopy,
    FlowCopyAck,
    FlowRecord,
    Identity,
    Member,
)
from fulmarshore.routing.continuity import ReturnedRecords
from fulmarshore.routing.flows import Flow

NOT_RESUMED = -1
BATCH_INTERVAL_S = 0.25
MAX_BATCH_BYTES = 250
"""Limit for the encoded indexes and records of a batch, without its head."""
MAX_INDEX_BYTES = 5
"""Largest size of an encoded index of a record."""
MAX_COPIED_RECORDS = 16_384
"""Most records that are copied to one copy holder."""


class CopyStream:
    """The copy at one copy holder.

    Parameters
    ----------
    member : Member
        The copy holder.
    flows : iterable of bytes
        Flows to copy first.
    """

    __slots__ = (
        "member",
        "batch",
        "_previous",
        "_resumed_from",
        "_version",
        "_indexes",
        "_next_index",
        "_to_send",
        "_to_drop",
        "_dropping",
        "_sent_at",
    )

    def __init__(self, member: Member, flows: Iterable[bytes]) -> None:
        self.member = member
        self._sent_at = float("-inf")
        self.reset(flows)

    def reset(self, flows: Iterable[bytes]) -> None:
        """Copy everything again; the next batch replaces the copy."""
        self.batch: FlowCopy | None = None
        self._previous = 0
        self._resumed_from = NOT_RESUMED
        self._version = -1
        self._indexes: dict[bytes, int] = {}
        self._next_index = 0
        self._to_send = dict.fromkeys(flows)
        self._to_drop: dict[bytes, None] = {}
        self._dropping: set[bytes] = set()

    def resume(self, returned: ReturnedRecords, flows: dict[bytes, Flow]) -> None:
        """Start from the previous incarnation's records that the peer holds."""
        self._resumed_from = returned.last_batch
        for index, record in enumerate(returned.records):
            self._indexes[record.flow] = index
            flow = flows.get(record.flow)
            if flow is None:
                self._to_drop[record.flow] = None
            elif flow.local_port == record.local_port:
                self._to_send.pop(record.flow, None)
            else:
                self.record_opened(record.flow)
        self._next_index = len(returned.records)

    @property
    def unacknowledged(self) -> int:
        """Number of flows whose records the copy holder has not acknowledged."""
        in_flight = len(self.batch.opened) if self.batch is not None else 0
        return len(self._to_send) + in_flight

    def might_hold(self, flow: bytes) -> bool:
        """Return whether the copy holder may have the record of a flow."""
        return flow in self._indexes or flow in self._dropping

    def record_opened(self, flow: bytes) -> None:
        """Queue the new record of a flow."""
        self._to_send[flow] = None
        if flow in self._indexes:
            self._to_drop[flow] = None

    def record_ended(self, flow: bytes) -> None:
        """Queue the end of a flow, if its record was sent."""
        self._to_send.pop(flow, None)
        if flow in self._indexes:
            self._to_drop[flow] = None

    def is_due(self, now: float) -> bool:
        """Return whether a new or a repeated batch may be sent."""
        return now - self._sent_at >= BATCH_INTERVAL_S

    def has_changes(self, version: int) -> bool:
        """Return whether there is anything that was not sent yet."""
        has_room = len(self._indexes) < MAX_COPIED_RECORDS
        has_changed = self._to_drop or (self._to_send and has_room)
        return bool(has_changed) or version != self._version

    def send(self, now: float) -> FlowCopy:
        """Return the batch in flight, and record when it is sent."""
        assert self.batch is not None
        self._sent_at = now
        return self.batch

    def make_batch(
        self,
        service: str,
        identity: Identity,
        version: int,
        number: int,
        flows: dict[bytes, Flow],
    ) -> None:
        """Build the next batch, which is then in flight."""
        assert self.batch is None, "one batch at a time"
        ended = self._pop_ended()
        opened = self._pop_opened(flows, MAX_BATCH_BYTES - len(ended) * MAX_INDEX_BYTES)
        assert ended or not self._to_drop, "ends go first"
        self._version = version
        self.batch = FlowCopy(
            service,
            identity.name,
            identity.incarnation,
            version,
            self.member.incarnation,
            number,
            self._previous,
            ended,
            opened,
            NOT_RESUMED if self._previous else self._resumed_from,
        )

    def handle_ack(self, ack: FlowCopyAck) -> list[bytes] | None:
        """Return the flows whose records were dropped; None for a late ack."""
        if self.batch is None or ack.number != self.batch.number:
            return None
        if ack.incarnation != self.member.incarnation:
            return None
        dropped = list(self._dropping)
        self._dropping.clear()
        self._previous = self.batch.number
        self.batch = None
        return dropped

    def _pop_ended(self) -> list[int]:
        ended = []
        while self._to_drop and len(ended) < MAX_BATCH_BYTES // MAX_INDEX_BYTES:
            flow = next(iter(self._to_drop))
            del self._to_drop[flow]
            ended.append(self._indexes.pop(flow))
            self._dropping.add(flow)
        return ended

    def _pop_opened(
        self, flows: dict[bytes, Flow], bytes_left: int
    ) -> list[FlowRecord]:
        opened: list[FlowRecord] = []
        while (
            self._to_send
            and not self._to_drop
            and len(self._indexes) < MAX_COPIED_RECORDS
        ):
            key = next(iter(self._to_send))
            flow = flows.get(key)
            if flow is None or not flow.local_port:
                del self._to_send[key]
                continue
            # The next packet may come from another entry host, so none is recorded.
            record = replace(make_record(flow), entry="")
            bytes_left -= len(encode(record))
            if bytes_left < 0 and opened:
                break
            del self._to_send[key]
            opened.append(record)
            self._indexes[key] = self._next_index
            self._next_index += 1
        return opened


def make_record(flow: Flow) -> FlowRecord:
    """Return the record from which a successor resumes a flow."""
    port = flow.local_port
    return FlowRecord(flow.key, *flow.caller, flow.entry, port, flow.assignment)
