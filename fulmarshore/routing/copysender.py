"""Copies an agent's flow records to two of its peers while it runs.

A process that is killed has no time to hand its records over, so its peers hold
copies all the time. A crash loses only the flows whose records were not yet
sent.

A record must not outlive the agent's claim to its flow: the end of a flow is
not reported to any agent that could open it elsewhere until every copy holder
has dropped the record.
"""

from __future__ import annotations

from fulmarshore.core.records import FlowCopy, FlowCopyAck, Identity, Member
from fulmarshore.routing.continuity import ReturnedRecords
from fulmarshore.routing.copystream import CopyStream
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.table import ServiceTable

HOLDER_COUNT = 2


class CopySender:
    """Keeps the copies at the copy holders up to date.

    Parameters
    ----------
    identity : Identity
        Name and incarnation of the agent.
    service : str
        The service of its upstream.
    """

    __slots__ = (
        "_identity",
        "_service",
        "_streams",
        "_ending",
        "_batch_number",
        "_is_frozen",
    )

    def __init__(self, identity: Identity, service: str) -> None:
        self._identity = identity
        self._service = service
        self._streams: dict[str, CopyStream] = {}
        self._ending: dict[bytes, Flow] = {}
        self._batch_number = 0
        self._is_frozen = False

    @property
    def ending(self) -> list[Flow]:
        """Ended flows that count as this agent's own until their end is reported."""
        return list(self._ending.values())

    def count_uncopied(self, flows: int) -> int:
        """Return how many of the open flows would be lost in a crash.

        Parameters
        ----------
        flows : int
            Number of open flows.
        """
        unacknowledged = (stream.unacknowledged for stream in self._streams.values())
        return min(unacknowledged, default=flows)

    def freeze(self) -> None:
        """Stop sending batches and reporting ends.

        The agent hands over all its records and leaves.
        """
        self._is_frozen = True

    def update(
        self,
        service: ServiceTable | None,
        flows: dict[bytes, Flow],
        returned: dict[str, ReturnedRecords] | None = None,
    ) -> list[Flow]:
        """Choose copy holders from a newer table.

        Parameters
        ----------
        service : ServiceTable or None
            The service with its members.
        flows : dict of bytes to Flow
            The open flows.
        returned : dict of str to ReturnedRecords, optional
            Records that peers have returned and still hold, by peer.

        Returns
        -------
        reportable : list of Flow
            Ended flows of which no copy holder has a record any more.
        """
        members = service.by_name if service is not None else {}
        if self._identity.name not in members:
            # The removal in this view invalidates everything copied before.
            members = {}
        for name, stream in list(self._streams.items()):
            member = members.get(name)
            if member is None or member.incarnation != stream.member.incarnation:
                del self._streams[name]
                continue
            stream.member = member
        if members:
            self._add_holders(service, flows, returned or {})
        return self._pop_reportable(list(self._ending))

    def _add_holders(
        self,
        service: ServiceTable,
        flows: dict[bytes, Flow],
        returned: dict[str, ReturnedRecords],
    ) -> None:
        candidates = list_holder_candidates(service, self._identity.name)
        candidates.sort(key=lambda member: member.name not in returned)
        for member in candidates:
            if len(self._streams) >= HOLDER_COUNT:
                return
            if member.name in self._streams:
                continue
            stream = CopyStream(member, flows)
            if member.name in returned:
                stream.resume(returned[member.name], flows)
            self._streams[member.name] = stream

    def record_opened(self, flow: bytes) -> None:
        """Record that the socket of a flow was opened."""
        for stream in self._streams.values():
            stream.record_opened(flow)

    def record_ended(self, flow: Flow) -> bool:
        """Record the end of a flow; return whether its report is deferred."""
        is_deferred = self._is_frozen
        for stream in self._streams.values():
            stream.record_ended(flow.key)
            is_deferred = is_deferred or stream.might_hold(flow.key)
        if is_deferred:
            self._ending[flow.key] = flow
        return is_deferred

    def is_ending(self, flow: bytes) -> bool:
        """Return whether a copy holder may still have an ended flow's record."""
        return flow in self._ending

    def record_reassigned(self, flow: bytes, assignment: int) -> None:
        """Record that the home agent assigned an ended flow here again."""
        ending = self._ending[flow]
        ending.assignment = max(ending.assignment, assignment)

    def reset(self, flows: dict[bytes, Flow]) -> None:
        """Copy everything again, after a view change that ended many flows.

        That version of the view invalidates the records copied before.
        """
        self._ending.clear()
        for stream in self._streams.values():
            stream.reset(flows)

    def list_due(
        self, version: int, flows: dict[bytes, Flow], now: float
    ) -> list[tuple[Member, FlowCopy]]:
        """Return the batches to send now, each with its copy holder."""
        if self._is_frozen:
            return []
        due = []
        for stream in self._streams.values():
            if not stream.is_due(now):
                continue
            if stream.batch is None:
                if not stream.has_changes(version):
                    continue
                self._batch_number += 1
                stream.make_batch(
                    self._service, self._identity, version, self._batch_number, flows
                )
            due.append((stream.member, stream.send(now)))
        return due

    def handle_ack(self, ack: FlowCopyAck, flows: dict[bytes, Flow]) -> list[Flow]:
        """Process the acknowledgement of a copy holder.

        Returns
        -------
        reportable : list of Flow
            Ended flows of which no copy holder has a record any more.
        """
        stream = self._streams.get(ack.agent)
        if stream is None or self._is_frozen:
            return []
        dropped = stream.handle_ack(ack)
        if dropped is None:
            return []
        if not ack.is_lost:
            return self._pop_reportable(dropped)
        stream.reset(flows)
        return self._pop_reportable(list(self._ending))

    def _pop_reportable(self, flows: list[bytes]) -> list[Flow]:
        reportable = []
        if self._is_frozen:
            return reportable
        for key in flows:
            if key not in self._ending:
                continue
            if any(stream.might_hold(key) for stream in self._streams.values()):
                continue
            reportable.append(self._ending.pop(key))
        return reportable


def list_holder_candidates(service: ServiceTable, name: str) -> list[Member]:
    """Return the peers that may hold copies, in order of preference.

    Each agent begins with the peer that follows it by name, which spreads the
    copies. Peers that accept flows come first, as the others are about to leave.
    """
    peers = sorted(service.members, key=lambda member: member.name)
    after = [member for member in peers if member.name > name]
    before = [member for member in peers if member.name < name]
    accepting = {member.name for member in service.accepting}
    return sorted(after + before, key=lambda member: member.name not in accepting)
