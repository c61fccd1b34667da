"""Take-over of buckets: replies to a request, and timeline events."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import (
    FlowsTakenOver,
    Identity,
    OwnedFlow,
    Takeover,
    TakeoverReply,
    TimelineEvent,
)
from fulmarshore.routing.flows import Directory, Flow
from fulmarshore.routing.table import ServiceTable

MAX_FLOWS_PER_REPLY = 800
"""Flows in one `TakeoverReply`, which keeps it far below a datagram's size."""


def build_replies(
    takeover: Takeover,
    identity: Identity,
    given: list[int],
    complete: list[int],
    flows: Iterable[Flow],
    directory: Directory,
) -> list[TakeoverReply]:
    """Return replies with the flows in the given buckets, each within a datagram.

    Parameters
    ----------
    takeover : Takeover
        The request.
    identity : Identity
        The agent that replies.
    given, complete : list of int
        The buckets given, and those of them that were arbitrated here.
    flows : iterable of Flow
        The agent's own flows.
    directory : Directory
        Its entries of flows that others own.

    Returns
    -------
    replies : list of TakeoverReply
        Each holds all flows of its buckets.
    """
    own_flows = _group_own_flows(flows, identity, set(given))
    arbitrated = set(complete)
    replies = []
    part: list[int] = []
    listed: list[OwnedFlow] = []
    for bucket in given:
        in_bucket = own_flows.get(bucket, []) + directory.list_flows(bucket)
        if part and len(listed) + len(in_bucket) > MAX_FLOWS_PER_REPLY:
            replies.append(_make_reply(takeover, identity, part, listed, arbitrated))
            part, listed = [], []
        part.append(bucket)
        listed += in_bucket
    if part:
        replies.append(_make_reply(takeover, identity, part, listed, arbitrated))
    return replies


def _make_reply(
    takeover: Takeover,
    identity: Identity,
    buckets: list[int],
    flows: list[OwnedFlow],
    arbitrated: set[int],
) -> TakeoverReply:
    complete = [bucket for bucket in buckets if bucket in arbitrated]
    return TakeoverReply(
        takeover.service,
        identity.name,
        identity.incarnation,
        takeover.version,
        buckets,
        flows,
        complete,
    )


def _group_own_flows(
    flows: Iterable[Flow], identity: Identity, buckets: set[int]
) -> dict[int, list[OwnedFlow]]:
    grouped: dict[int, list[OwnedFlow]] = {}
    for flow in flows:
        bucket = find_bucket(flow.key)
        if bucket not in buckets:
            continue
        owned = OwnedFlow(
            flow.key, identity.name, identity.incarnation, flow.assignment
        )
        grouped.setdefault(bucket, []).append(owned)
    return grouped


class FormerHomes:
    """Tracks the take-over of buckets whose home has left the service."""

    __slots__ = ("_pending", "_completed")

    def __init__(self) -> None:
        self._pending: dict[int, str] = {}
        self._completed: dict[str, list[int]] = {}

    def update(
        self,
        previous: ServiceTable | None,
        service: ServiceTable | None,
        buckets: Iterable[int],
    ) -> None:
        """Record the former homes of the buckets to take over, for a newer table."""
        previous_homes, self._pending = self._pending, {}
        members = service.by_name if service is not None else {}
        for bucket in buckets:
            home = previous.get_home(bucket) if previous is not None else None
            former = previous_homes.get(bucket, home.name if home is not None else "")
            if former and former not in members:
                self._pending[bucket] = former
        pending_homes = set(self._pending.values())
        for former in list(self._completed):
            if former not in pending_homes:
                del self._completed[former]

    def record_settled(
        self, service: str, settled: Iterable[int], directory: Directory
    ) -> list[FlowsTakenOver]:
        """Record that buckets have settled; return the take-overs now complete."""
        homes = set()
        for bucket in settled:
            former = self._pending.pop(bucket, None)
            if former is None:
                continue
            homes.add(former)
            self._completed.setdefault(former, []).append(bucket)
        finished = []
        for former in sorted(homes.difference(self._pending.values())):
            buckets = self._completed.pop(former)
            flows = sum(len(directory.list_flows(bucket)) for bucket in buckets)
            finished.append(FlowsTakenOver(service, former, len(buckets), flows))
        return finished


def make_takeover_event(done: FlowsTakenOver) -> TimelineEvent:
    """Return the timeline event for a take-over."""
    detail = f"{done.flows} flows of others in {done.buckets} buckets"
    return TimelineEvent("flows_taken_over", done.service, "", done.former, detail)
