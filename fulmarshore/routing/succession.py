"""An agent's part in restarts and crashes: its own and those of its peers."""

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
from fulmarshore.routing.continuity import GivenRecords, Lives
from fulmarshore.routing.copies import Copies
from fulmarshore.routing.restart import (
    Export,
    Keeper,
    Recovery,
    get_address,
    split_records,
)
from fulmarshore.routing.table import ServiceTable


class Succession:
    """Sends, keeps and fetches flow records.

    Parameters
    ----------
    identity : Identity
        This life of the agent.
    service : str
        The service of its upstream.

    Attributes
    ----------
    given : dict of str to GivenRecords
        What each peer has handed back, once the search is over.
    """

    __slots__ = (
        "_identity",
        "_service",
        "_lives",
        "_keeper",
        "_copies",
        "_export",
        "_recovery",
        "_peers",
        "given",
    )

    def __init__(self, identity: Identity, service: str) -> None:
        self._identity = identity
        self._service = service
        self._lives = Lives()
        self._keeper = Keeper()
        self._copies = Copies()
        self._export: Export | None = None
        self._recovery: Recovery | None = None
        self._peers: dict[str, Member] = {}
        self.given: dict[str, GivenRecords] = {}

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
        """Start to hand the records to peers, the ones that accept first."""
        peers = [m for m in table.members if m.name != self._identity.name]
        peers.sort(key=lambda member: member not in table.accepting)
        name, incarnation = self._identity.name, self._identity.incarnation
        parts = split_records(
            self._service, name, incarnation, version, lease_left, records
        )
        self._export = Export(parts, peers, now)

    def begin_recovery(self, table: ServiceTable, now: float) -> None:
        """Start to ask the peers for the records of a former self."""
        self._peers = {
            m.name: m for m in table.members if m.name != self._identity.name
        }
        self._recovery = Recovery(set(self._peers), now)

    def update(self, table: ServiceTable | None, now: float) -> None:
        """Take in a newer table."""
        members = set(table.by_name) if table is not None else set()
        if self._recovery is not None:
            self._recovery.update(members)
        self._lives.expire(members, now)
        self._copies.keep_only(self._lives)

    def drop_copies(self, version: int) -> None:
        """Drop what was kept for peers up to an own eviction."""
        self._copies.clear(version)

    def has_left(self, now: float) -> bool:
        """Return whether the records are kept, or nobody takes them."""
        return self._export is not None and self._export.is_done(now)

    def take_recovered(self, now: float) -> list[FlowRecord] | None:
        """Return the records once the search is over; None while it goes on."""
        if self._recovery is None or not self._recovery.is_done(now):
            return None
        records = self._recovery.list_records()
        self.given = self._recovery.list_given(self._identity.incarnation)
        self._recovery = None
        return records

    def tick(self, version: int, now: float) -> list[Effect]:
        """Send what is due."""
        self._keeper.expire(now)
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
        """Take a message about flow records."""
        match message:
            case FlowRecords() as records if records.sender == records.agent:
                return self._keep(records, source, view.version, now)
            case FlowRecords() as records:
                if records.agent == self._identity.name and self._recovery is not None:
                    self._recovery.take(records.sender, records)
            case FlowRecordsRequest() as request:
                return self._hand_back(request, source, view, now)
            case FlowRecordsAck() as kept if self._export is not None:
                self._export.take_kept(kept)
            case FlowCopy() as batch if (
                batch.holder_incarnation == self._identity.incarnation
            ):
                return self._copy(batch, source, view.version, now)
        return []

    def _copy(
        self, batch: FlowCopy, source: Address, version: int, now: float
    ) -> list[Effect]:
        if not self._lives.note(batch.agent, batch.incarnation, now):
            return []
        is_kept = self._copies.apply(batch)
        if is_kept is None:
            return []
        name, incarnation = self._identity.name, self._identity.incarnation
        head = (self._service, name, incarnation, version)
        return [SendPeer(source, FlowCopyAck(*head, batch.number, not is_kept))]

    def _keep(
        self, records: FlowRecords, source: Address, version: int, now: float
    ) -> list[Effect]:
        if not self._lives.note(records.agent, records.incarnation, now):
            return []
        if self.is_leaving or not self._keeper.keep(records, now):
            return []
        name, incarnation = self._identity.name, self._identity.incarnation
        kept = FlowRecordsAck(self._service, name, incarnation, version, records.part)
        return [SendPeer(source, kept)]

    def _hand_back(
        self, request: FlowRecordsRequest, source: Address, view: View, now: float
    ) -> list[Effect]:
        if not self._lives.note(request.agent, request.incarnation, now):
            return []
        former = self._lives.get_former(request.agent)
        found = self._find(request.agent, former, view, now)
        if not found:
            head = (self._service, request.agent, former, view.version)
            none = FlowRecords(*head, self._identity.name, 0, 0, [])
            return [SendPeer(source, none)]
        if request.version > view.version:
            # The membership of the agent may have ended in between.
            return []
        records = [record for part in found for record in part.flows]
        given = GivenRecords(request.incarnation, found[0].last_batch, records)
        self._copies.note_given(request.agent, given)
        return [SendPeer(source, part) for part in found]

    def _find(
        self, agent: str, former: int, view: View, now: float
    ) -> list[FlowRecords]:
        """Return the records kept of a life: handed over, or else copied."""
        name = self._identity.name
        handed_over = self._keeper.find(agent, former, view, now)
        if handed_over:
            change = {"version": view.version, "sender": name, "lease_left": 0.0}
            return [replace(part, **change) for part in handed_over]
        copy = self._copies.find(agent, former, view)
        if copy is None:
            return []
        head = (self._service, agent, copy.incarnation, view.version, 0.0)
        return split_records(*head, list(copy.records.values()), name, copy.number)
