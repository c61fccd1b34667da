"""Translates the platform's heartbeats of an upstream into announcements."""

from __future__ import annotations

from typing import Annotated, Literal
from urllib.parse import unquote

import msgspec
from msgspec import Meta, Struct, field

from fulmarshore.adapters.httpserver import HttpRequest
from fulmarshore.core.ranges import (
    DECODE_ERRORS,
    MAX_COUNT,
    MAX_TEXT,
    Number,
    Text,
    is_endpoint,
)
from fulmarshore.direct.records import UpstreamAnnounced, UpstreamDeparted
from fulmarshore.platform.problems import describe_decode_error

UPSTREAM_PATH = "/v1/instances/"
MAX_ID = MAX_TEXT // 2
"""Longest identity of an upstream, so that it and a start time are a ``Text``."""


class Heartbeat(Struct, frozen=True):
    """The body of a heartbeat that an upstream sends to its agent."""

    service: Text
    # Not used, as the upstream's endpoint is part of the agent's settings; one that is
    # none shows that something else wrote the body.
    address: str
    zone: Text
    slots: Annotated[int, Meta(ge=1, le=MAX_COUNT)]
    state: Literal["ready", "draining"]
    sequence: Number
    cold_ms: float = field(default=0.0, name="coldRemainingMs")
    # Start of the upstream, milliseconds since the epoch; older platforms omit it.
    born: Number = 0


_decoder = msgspec.json.Decoder(Heartbeat)


def _format_problem(problem: str) -> str:
    return msgspec.json.encode({"error": problem}).decode()


def read_heartbeat(
    request: HttpRequest,
) -> UpstreamAnnounced | UpstreamDeparted | str | None:
    """Return the event of a request, a JSON error body, or None for another path."""
    if not request.path.startswith(UPSTREAM_PATH):
        return None
    upstream = unquote(request.path[len(UPSTREAM_PATH) :])
    if not upstream:
        return '{"error":"no id in the path"}'
    if len(upstream) > MAX_ID:
        return f'{{"error":"id in the path: {len(upstream)} characters"}}'
    if request.method == "DELETE":
        return UpstreamDeparted(upstream)
    if request.method != "PUT":
        return '{"error":"method is not PUT or DELETE"}'
    try:
        heartbeat = _decoder.decode(request.body)
    except DECODE_ERRORS as error:
        return _format_problem(describe_decode_error(request.body, error))
    if not is_endpoint(heartbeat.address):
        return _format_problem(f"address: {heartbeat.address!r}, needs ADDRESS:PORT")
    return UpstreamAnnounced(
        upstream,
        heartbeat.born,
        heartbeat.sequence,
        heartbeat.service,
        heartbeat.zone,
        heartbeat.slots,
        heartbeat.state == "ready",
        max(0.0, heartbeat.cold_ms / 1000),
    )
