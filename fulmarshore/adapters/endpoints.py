"""Polls the health and load endpoints of an upstream over HTTP.

A health endpoint answers with status 2xx if the upstream is healthy and 5xx if
it is unhealthy; a body of ``draining``, plain or as ``{"status": "draining"}``,
asks for a drain. A load endpoint answers with the ratio of load to capacity, as a
number or as ``{"load": 0.7}``; a value above 1 means overload.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from random import Random

import httpx
import msgspec
from msgspec import Struct

from fulmarshore.core.records import Health, HintSource, UpstreamHint

POLL_INTERVAL_S = 1.0
POLL_JITTER = 0.2
"""Share by which the poll interval varies at random."""

POLL_TIMEOUT_S = 1.0
"""Time limit for the whole response."""

MAX_BODY_BYTES = 4096

MIN_UNHEALTHY_STATUS = 500
DRAINING = "draining"

Dispatch = Callable[[UpstreamHint], None]


class _HealthBody(Struct, frozen=True):
    status: str


class _LoadBody(Struct, frozen=True):
    load: float


class _BodyTooLarge(Exception):
    """The body of a response exceeds ``MAX_BODY_BYTES``."""


class EndpointPoller:
    """Polls one endpoint periodically, with at most one request in flight.

    Parameters
    ----------
    source : HintSource
        Kind of the endpoint.
    url : str
        URL of the endpoint.
    dispatch : callable
        Called with each hint.
    counters : Counter
        Counts polls by outcome.
    random : Random
        Source of the jitter.
    """

    def __init__(
        self,
        source: HintSource,
        url: str,
        dispatch: Dispatch,
        counters: Counter[str],
        random: Random,
    ) -> None:
        self._source = source
        self._url = url
        self._dispatch = dispatch
        self._counters = counters
        self._random = random
        self._task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Start polling."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        limits = httpx.Limits(max_connections=1, max_keepalive_connections=0)
        async with httpx.AsyncClient(
            timeout=POLL_TIMEOUT_S, limits=limits, trust_env=False, verify=False
        ) as client:
            while True:
                await self._poll(client)
                jitter = self._random.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
                await asyncio.sleep(POLL_INTERVAL_S * jitter)

    async def _poll(self, client: httpx.AsyncClient) -> None:
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                status, body = await self._fetch(client)
        except (TimeoutError, httpx.TimeoutException):
            self._count("timeout")
            return
        except _BodyTooLarge:
            self._count("too_large")
            return
        except (httpx.HTTPError, OSError):
            self._count("failed")
            return
        hint = parse_response(self._source, status, body)
        if hint is None:
            self._count("malformed")
            return
        self._count("answered")
        self._dispatch(hint)

    async def _fetch(self, client: httpx.AsyncClient) -> tuple[int, bytes]:
        """Return the status and the body of a response.

        Raises
        ------
        _BodyTooLarge
            If the body exceeds ``MAX_BODY_BYTES``.
        """
        headers = {"accept-encoding": "identity"}
        async with client.stream("GET", self._url, headers=headers) as response:
            body = b""
            async for chunk in response.aiter_raw():
                body += chunk
                if len(body) > MAX_BODY_BYTES:
                    raise _BodyTooLarge
            return response.status_code, body

    def _count(self, outcome: str) -> None:
        self._counters[f"hint_polls_{outcome}"] += 1


def parse_response(source: HintSource, status: int, body: bytes) -> UpstreamHint | None:
    """Return the hint in a response; None if it holds none."""
    match source:
        case HintSource.HEALTH:
            return _parse_health(status, body)
        case HintSource.LOAD:
            return _parse_load(status, body)


def _parse_health(status: int, body: bytes) -> UpstreamHint | None:
    is_success_status = httpx.codes.is_success(status)
    if not is_success_status and status < MIN_UNHEALTHY_STATUS:
        return None
    if _parse_status_word(body) == DRAINING:
        return UpstreamHint(HintSource.HEALTH, Health.DRAINING)
    health = Health.HEALTHY if is_success_status else Health.UNHEALTHY
    return UpstreamHint(HintSource.HEALTH, health)


def _parse_status_word(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_HealthBody).status.strip().lower()
    except (msgspec.DecodeError, UnicodeDecodeError):
        return body.decode("ascii", "replace").strip().lower()


def _parse_load(status: int, body: bytes) -> UpstreamHint | None:
    if not httpx.codes.is_success(status):
        return None
    try:
        decoded = msgspec.json.decode(body, type=float | _LoadBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    load = decoded.load if isinstance(decoded, _LoadBody) else decoded
    if not math.isfinite(load) or load < 0.0:
        return None
    return UpstreamHint(HintSource.LOAD, share=1.0 / max(load, 1.0))
