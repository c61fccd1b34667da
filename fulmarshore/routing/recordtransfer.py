"""Exchange of flow records between agents, for restarts and crashes."""

from __future__ import annotations

from msgspec.structs import replace

from fulmarshore.core.records import (
    Address,
    Effect,
    FlowCopy,
    FlowCopyAck,
    FlowRecord,
    FlowRecords,
    FlowRecordsAck,
    FlowRecordsRequest,
    Identity,
    Member,
    SendPeer,
)
from fulmarshore.membership.view import View
from fulmarshore.routing.continuity import KnownIncarnations, ReturnedRecords
from fulmarshore.routing.flowrecords import (
    Export,
    RecordStore,
    Recovery,
    get_address,
    split_records,
)
from fulmarshore.routing.heldcopies import HeldCopies
from fulmarshore.routing.table import ServiceTable


class RecordTransfer:
    """Exports, holds, returns and recovers flow records.

    Parameters
    ----------
    identity : Identity
        Name and incarnation of the agent.
    service : str
        The service of its upstream.

    Attributes
    ----------
    returned : dict of str to ReturnedRecords
        Records that each peer has returned, once the recovery is over.
    """

    __slots__ = (
        "_identity",
        "_service",
        "_incarnations",
        "_store",
        "_held_copies",
        "_export",
        "_recovery",
        "_peers",
        "returned",
    )

    def __init__(self, identity: Identity, service: str) -> None:
        self._identity = identity
        self._service = service
        self._incarnations = KnownIncarnations()
        self._store = RecordStore()
        self._held_copies = HeldCopies()
        self._export: Export | None = None
        self._recovery: Recovery | None = None
        self._peers: dict[str, Member] = {}
        self.returned: dict[str, ReturnedRecords] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether a planned restart has begun."""
        return self._export is not None

    def begin_export(
        self,
        records: list[FlowRecord],
        table: ServiceTable,
        version: int,
        lease_left: float,
        now: float,
    ) -> None:
        """Start to hand the records to peers, those that accept flows first."""
        peers = [m for m in table.members if m.name != self._identity.name]
        peers.sort(key=lambda member: member not in table.accepting)
        name, incarnation = self._identity.name, self._identity.incarnation
        parts = split_records(
            self._service, name, incarnation, version, lease_left, records
        )
        self._export = Export(parts, peers, now)

    def begin_recovery(self, table: ServiceTable, now: float) -> None:
        """Start to request the previous incarnation's records from the peers."""
        self._peers = {
            m.name: m for m in table.members if m.name != self._identity.name
        }
        self._recovery = Recovery(set(self._peers), now)

    def update(self, table: ServiceTable | None, now: float) -> None:
        """Apply a newer table."""
        members = set(table.by_name) if table is not None else set()
        if self._recovery is not None:
            self._recovery.update(members)
        self._incarnations.expire(members, now)
        self._held_copies.discard_unknown(self._incarnations)

    def drop_copies(self, version: int) -> None:
        """Drop the copies held for peers up to an eviction of this agent."""
        self._held_copies.clear(version)

    def has_exported(self, now: float) -> bool:
        """Return whether the export of the records is over."""
        return self._export is not None and self._export.is_done(now)

    def pop_recovered(self, now: float) -> list[FlowRecord] | None:
        """Return the records once the recovery is over; None while it runs."""
        if self._recovery is None or not self._recovery.is_done(now):
            return None
        records = self._recovery.list_records()
        self.returned = self._recovery.list_returned(self._identity.incarnation)
        self._recovery = None
        return records

    def tick(self, version: int, now: float) -> list[Effect]:
        """Send the messages that are due."""
        self._store.expire(now)
        effects: list[Effect] = []
        if self._export is not None:
            for member, part in self._export.list_due(now):
                effects.append(SendPeer(get_address(member), part))
        if self._recovery is not None:
            request = FlowRecordsRequest(
                self._service,
                self._identity.name,
                self._identity.incarnation,
                version,
            )
            for name in self._recovery.list_due(now):
                effects.append(SendPeer(get_address(self._peers[name]), request))
        return effects

    def handle(
        self,
        message: FlowRecords | FlowRecordsAck | FlowRecordsRequest | FlowCopy,
        source: Address,
        view: View,
        now: float,
    ) -> list[Effect]:
        """Process a message about flow records."""
        match message:
            case FlowRecords() as records if records.sender == records.agent:
                return self._store_records(records, source, view.version, now)
            case FlowRecords() as records:
                if records.agent == self._identity.name and self._recovery is not None:
                    self._recovery.add_part(records.sender, records)
            case FlowRecordsRequest() as request:
                return self._return_records(request, source, view, now)
            case FlowRecordsAck() as ack if self._export is not None:
                self._export.handle_ack(ack)
            case FlowCopy() as batch if (
                batch.holder_incarnation == self._identity.incarnation
            ):
                return self._apply_copy(batch, source, view.version, now)
        return []

    def _apply_copy(
        self, batch: FlowCopy, source: Address, version: int, now: float
    ) -> list[Effect]:
        if not self._incarnations.observe(batch.agent, batch.incarnation, now):
            return []
        is_applied = self._held_copies.apply(batch)
        if is_applied is None:
            return []
        name, incarnation = self._identity.name, self._identity.incarnation
        head = (self._service, name, incarnation, version)
        return [SendPeer(source, FlowCopyAck(*head, batch.number, not is_applied))]

    def _store_records(
        self, records: FlowRecords, source: Address, version: int, now: float
    ) -> list[Effect]:
        if not self._incarnations.observe(records.agent, records.incarnation, now):
            return []
        if self.is_leaving or not self._store.store(records, now):
            return []
        name, incarnation = self._identity.name, self._identity.incarnation
        ack = FlowRecordsAck(self._service, name, incarnation, version, records.part)
        return [SendPeer(source, ack)]

    def _return_records(
        self, request: FlowRecordsRequest, source: Address, view: View, now: float
    ) -> list[Effect]:
        if not self._incarnations.observe(request.agent, request.incarnation, now):
            return []
        previous_incarnation = self._incarnations.get_previous(request.agent)
        parts = self._find_records(request.agent, previous_incarnation, view, now)
        if not parts:
            head = (self._service, request.agent, previous_incarnation, view.version)
            no_records = FlowRecords(*head, self._identity.name, 0, 0, [])
            return [SendPeer(source, no_records)]
        if request.version > view.version:
            # The agent's membership may have ended in a view not yet known here.
            return []
        records = [record for part in parts for record in part.flows]
        returned = ReturnedRecords(request.incarnation, parts[0].last_batch, records)
        self._held_copies.record_returned(request.agent, returned)
        return [SendPeer(source, part) for part in parts]

    def _find_records(
        self, agent: str, previous_incarnation: int, view: View, now: float
    ) -> list[FlowRecords]:
        """Return the records held for a successor: handed over, or else copied."""
        name = self._identity.name
        handed_over = self._store.find(agent, previous_incarnation, view, now)
        if handed_over:
            change = {"version": view.version, "sender": name, "lease_left": 0.0}
            return [replace(part, **change) for part in handed_over]
        held = self._held_copies.find(agent, previous_incarnation, view)
        if held is None:
            return []
        head = (self._service, agent, held.incarnation, view.version, 0.0)
        return split_records(*head, list(held.records.values()), name, held.number)
