"""What an agent answers to a peer that takes buckets over."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarshore.core.hashing import find_bucket
from fulmarshore.core.records import Identity, OwnedFlow, Takeover, TakeoverReply
from fulmarshore.routing.flows import Directory, Flow

MAX_FLOWS_PER_REPLY = 800
"""Keeps a `TakeoverReply` far below the size of a datagram."""


def list_replies(
    ask: Takeover,
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
    own = _group_own(flows, identity, set(given))
    known = set(complete)
    replies = []
    part: list[int] = []
    found: list[OwnedFlow] = []
    for bucket in given:
        more = own.get(bucket, []) + directory.list_flows(bucket)
        if part and len(found) + len(more) > MAX_FLOWS_PER_REPLY:
            replies.append(_make_reply(ask, identity, part, found, known))
            part, found = [], []
        part.append(bucket)
        found += more
    if part:
        replies.append(_make_reply(ask, identity, part, found, known))
    return replies


def _make_reply(
    ask: Takeover,
    identity: Identity,
    buckets: list[int],
    flows: list[OwnedFlow],
    known: set[int],
) -> TakeoverReply:
    complete = [bucket for bucket in buckets if bucket in known]
    return TakeoverReply(
        ask.service,
        identity.name,
        identity.incarnation,
        ask.version,
        buckets,
        flows,
        complete,
    )


def _group_own(
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
