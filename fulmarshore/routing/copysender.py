"""The running copy of an agent's flow records at two of its peers.

A process that is killed leaves no time to hand its records over, so peers hold
them all along. Only the flows whose records still wait to be sent are lost in
a crash.

A record must not outlive the agent's claim to its flow: the end of a flow is
told to nobody who could open it elsewhere before every keeper has dropped the
record.
"""

from __future__ import annotations

from fulmarshore.core.records import FlowCopy, FlowCopyAck, Identity, Member
from fulmarshore.routing.continuity import ReturnedRecords
from fulmarshore.routing.copystream import CopyStream
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.table import ServiceTable

HOLDER_COUNT = 2


class CopySender:
    """Keeps the copies at the peers up to date.

    Parameters
    ----------
    identity : Identity
        This life of the agent.
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
        """Flows that ended here, and are to be taken for this agent's own."""
        return list(self._ending.values())

    def count_uncopied(self, flows: int) -> int:
        """Return how many of the flows held would be lost in a crash.

        Parameters
        ----------
        flows : int
            Number of flows held.
        """
        unacknowledged = (stream.unacknowledged for stream in self._streams.values())
        return min(unacknowledged, default=flows)

    def freeze(self) -> None:
        """Send no more, and keep every end to itself.

        The agent hands its records over as a whole and leaves.
        """
        self._is_frozen = True

    def update(
        self,
        service: ServiceTable | None,
        flows: dict[bytes, Flow],
        returned: dict[str, ReturnedRecords] | None = None,
    ) -> list[Flow]:
        """Choose keepers from a newer table.

        Parameters
        ----------
        service : ServiceTable or None
            The members.
        flows : dict of bytes to Flow
            The flows held.
        given : dict of str to GivenRecords, optional
            What the peers have of these flows already.

        Returns
        -------
        freed : list of Flow
            Ended flows of which no keeper has a record any more.
        """
        members = service.by_name if service is not None else {}
        if self._identity.name not in members:
            # What was copied until now is no good, by the version of this view.
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
        """Note that the socket of a flow was opened."""
        for stream in self._streams.values():
            stream.record_opened(flow)

    def record_ended(self, flow: Flow) -> bool:
        """Note that a flow ended; True where its end is not to be told yet."""
        is_deferred = self._is_frozen
        for stream in self._streams.values():
            stream.record_ended(flow.key)
            is_deferred = is_deferred or stream.might_hold(flow.key)
        if is_deferred:
            self._ending[flow.key] = flow
        return is_deferred

    def is_ending(self, flow: bytes) -> bool:
        """Return whether a keeper may still have the record of an ended flow."""
        return flow in self._ending

    def record_reassigned(self, flow: bytes, assignment: int) -> None:
        """Note that the home has assigned an ended flow to this agent again."""
        ending = self._ending[flow]
        ending.assignment = max(ending.assignment, assignment)

    def reset(self, flows: dict[bytes, Flow]) -> None:
        """Copy everything again, as a change of the view ended many flows.

        The records of before are no good, by the version of that view.
        """
        self._ending.clear()
        for stream in self._streams.values():
            stream.reset(flows)

    def list_due(
        self, version: int, flows: dict[bytes, Flow], now: float
    ) -> list[tuple[Member, FlowCopy]]:
        """Return the batches that are to be sent now."""
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
        """Take the answer of a keeper.

        Returns
        -------
        freed : list of Flow
            Ended flows of which no keeper has a record any more.
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
    """Return the peers that may keep copies, in the order of preference.

    Each agent begins with the peer that follows it, so that copies are spread;
    those that accept go first, as the others are about to leave.
    """
    peers = sorted(service.members, key=lambda member: member.name)
    after = [member for member in peers if member.name > name]
    before = [member for member in peers if member.name < name]
    accepting = {member.name for member in service.accepting}
    return sorted(after + before, key=lambda member: member.name not in accepting)
