"""The running copy of an agent's flow records at one of its keepers.

What was opened and ended goes out in batches of a bounded size, one at a time:
a batch is repeated until the keeper has acknowledged it. What does not fit
waits, ends before openings.
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
from fulmarshore.routing.continuity import GivenRecords
from fulmarshore.routing.flows import Flow

NOT_ADOPTED = -1
BATCH_INTERVAL_S = 0.25
BATCH_BYTES = 250
"""Bound of what a batch carries beside its head."""
END_BYTES = 5
"""Most that an encoded place takes."""
MAX_COPIED = 16_384
"""Records that one keeper is sent at most."""


class CopyStream:
    """The copy at one keeper.

    Parameters
    ----------
    member : Member
        The keeper.
    flows : iterable of bytes
        Flows to copy first.
    """

    __slots__ = (
        "member",
        "batch",
        "_previous",
        "_adopted",
        "_version",
        "_places",
        "_next_place",
        "_opened",
        "_ended",
        "_leaving",
        "_sent_at",
    )

    def __init__(self, member: Member, flows: Iterable[bytes]) -> None:
        self.member = member
        self._sent_at = float("-inf")
        self.begin_anew(flows)

    def begin_anew(self, flows: Iterable[bytes]) -> None:
        """Copy everything again; the next batch replaces what is kept."""
        self.batch: FlowCopy | None = None
        self._previous = 0
        self._adopted = NOT_ADOPTED
        self._version = -1
        self._places: dict[bytes, int] = {}
        self._next_place = 0
        self._opened = dict.fromkeys(flows)
        self._ended: dict[bytes, None] = {}
        self._leaving: set[bytes] = set()

    def adopt(self, given: GivenRecords, flows: dict[bytes, Flow]) -> None:
        """Begin with the records of a former self that the keeper has."""
        self._adopted = given.last_batch
        for place, record in enumerate(given.records):
            self._places[record.flow] = place
            flow = flows.get(record.flow)
            if flow is None:
                self._ended[record.flow] = None
            elif flow.local_port == record.local_port:
                self._opened.pop(record.flow, None)
            else:
                self.note_opened(record.flow)
        self._next_place = len(given.records)

    @property
    def waiting(self) -> int:
        """Number of flows whose records the keeper has not acknowledged."""
        under_way = len(self.batch.opened) if self.batch is not None else 0
        return len(self._opened) + under_way

    def may_hold(self, flow: bytes) -> bool:
        """Return whether the keeper may have the record of a flow."""
        return flow in self._places or flow in self._leaving

    def note_opened(self, flow: bytes) -> None:
        """Note that a flow has a new record."""
        self._opened[flow] = None
        if flow in self._places:
            self._ended[flow] = None

    def record_ended(self, flow: bytes) -> None:
        """Note that a flow has ended."""
        self._opened.pop(flow, None)
        if flow in self._places:
            self._ended[flow] = None

    def is_due(self, now: float) -> bool:
        """Return whether a batch may go out, a new one or a repeated one."""
        return now - self._sent_at >= BATCH_INTERVAL_S

    def has_news(self, version: int) -> bool:
        """Return whether there is anything that the keeper has not heard."""
        has_room = len(self._places) < MAX_COPIED
        has_changed = self._ended or (self._opened and has_room)
        return bool(has_changed) or version != self._version

    def send(self, now: float) -> FlowCopy:
        """Return the batch that is under way."""
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
        """Put the next batch under way."""
        assert self.batch is None, "one batch at a time"
        ended = self._take_ended()
        opened = self._take_opened(flows, BATCH_BYTES - len(ended) * END_BYTES)
        assert ended or not self._ended, "ends go first"
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
            NOT_ADOPTED if self._previous else self._adopted,
        )

    def take_kept(self, kept: FlowCopyAck) -> list[bytes] | None:
        """Return the flows whose records were dropped; None for a late answer."""
        if self.batch is None or kept.number != self.batch.number:
            return None
        if kept.incarnation != self.member.incarnation:
            return None
        dropped = list(self._leaving)
        self._leaving.clear()
        self._previous = self.batch.number
        self.batch = None
        return dropped

    def _take_ended(self) -> list[int]:
        ended = []
        while self._ended and len(ended) < BATCH_BYTES // END_BYTES:
            flow = next(iter(self._ended))
            del self._ended[flow]
            ended.append(self._places.pop(flow))
            self._leaving.add(flow)
        return ended

    def _take_opened(self, flows: dict[bytes, Flow], room: int) -> list[FlowRecord]:
        opened: list[FlowRecord] = []
        while self._opened and not self._ended and len(self._places) < MAX_COPIED:
            key = next(iter(self._opened))
            flow = flows.get(key)
            if flow is None or not flow.local_port:
                del self._opened[key]
                continue
            # The entry host would be out of date with the next packet.
            record = replace(make_record(flow), entry="")
            room -= len(encode(record))
            if room < 0 and opened:
                break
            del self._opened[key]
            opened.append(record)
            self._places[key] = self._next_place
            self._next_place += 1
        return opened


def make_record(flow: Flow) -> FlowRecord:
    """Return what a successor needs to go on with a flow."""
    port = flow.local_port
    return FlowRecord(flow.key, *flow.caller, flow.entry, port, flow.assignment)
