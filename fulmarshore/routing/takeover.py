"""Take-over of buckets: what a peer answers, and what the time line tells."""

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
"""Keeps a `TakeoverReply` far below the size of a datagram."""


def build_replies(
    takeover: Takeover,
    identity: Identity,
    given: list[int],
    complete: list[int],
    flows: Iterable[Flow],
    directory: Directory,
) -> list[TakeoverReply]:
    """Return the flows in the buckets given, as messages that fit a datagram.

    Parameters
    ----------
    ask : Takeover
        The question.
    identity : Identity
        Who answers.
    given, complete : list of int
        The buckets given, and those of them that were arbitrated here.
    flows : iterable of Flow
        The agent's own flows.
    directory : Directory
        What it remembers of others' flows.

    Returns
    -------
    replies : list of TakeoverReply
        Each holds all flows of its buckets.
    """
    own = _group_own_flows(flows, identity, set(given))
    known = set(complete)
    replies = []
    part: list[int] = []
    found: list[OwnedFlow] = []
    for bucket in given:
        more = own.get(bucket, []) + directory.list_flows(bucket)
        if part and len(found) + len(more) > MAX_FLOWS_PER_REPLY:
            replies.append(_make_reply(takeover, identity, part, found, known))
            part, found = [], []
        part.append(bucket)
        found += more
    if part:
        replies.append(_make_reply(takeover, identity, part, found, known))
    return replies


def _make_reply(
    takeover: Takeover,
    identity: Identity,
    buckets: list[int],
    flows: list[OwnedFlow],
    known: set[int],
) -> TakeoverReply:
    complete = [bucket for bucket in buckets if bucket in known]
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
    found: dict[int, list[OwnedFlow]] = {}
    for flow in flows:
        bucket = find_bucket(flow.key)
        if bucket not in buckets:
            continue
        owned = OwnedFlow(
            flow.key, identity.name, identity.incarnation, flow.assignment
        )
        found.setdefault(bucket, []).append(owned)
    return found


class FormerHomes:
    """The homes that are gone, while their buckets are being taken over."""

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
        """Note whose buckets are to be taken over under a newer table."""
        held, self._pending = self._pending, {}
        members = service.by_name if service is not None else {}
        for bucket in buckets:
            home = previous.get_home(bucket) if previous is not None else None
            former = held.get(bucket, home.name if home is not None else "")
            if former and former not in members:
                self._pending[bucket] = former
        open_homes = set(self._pending.values())
        for former in list(self._completed):
            if former not in open_homes:
                del self._completed[former]

    def record_settled(
        self, service: str, settled: Iterable[int], directory: Directory
    ) -> list[FlowsTakenOver]:
        """Note that buckets have settled; return the take-overs that are whole."""
        found = set()
        for bucket in settled:
            former = self._pending.pop(bucket, None)
            if former is None:
                continue
            found.add(former)
            self._completed.setdefault(former, []).append(bucket)
        whole = []
        for former in sorted(found.difference(self._pending.values())):
            buckets = self._completed.pop(former)
            flows = sum(len(directory.list_flows(bucket)) for bucket in buckets)
            whole.append(FlowsTakenOver(service, former, len(buckets), flows))
        return whole


def make_takeover_event(taken: FlowsTakenOver) -> TimelineEvent:
    """Return the event on the time line for a take-over."""
    detail = f"{taken.flows} flows of others in {taken.buckets} buckets"
    return TimelineEvent("flows_taken_over", taken.service, "", taken.former, detail)
