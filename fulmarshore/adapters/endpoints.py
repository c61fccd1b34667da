"""The health and load endpoints of an upstream, read over HTTP.

A health endpoint answers with a status of 2xx when it is well and of 5xx when
it is sick; a body of ``draining``, plain or as ``{"status": "draining"}``,
says that it leaves. A load endpoint answers with the work it has over the work
that it bears, as a number or as ``{"load": 0.7}``; above 1 it is too much.
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
"""Time between two questions, and the share by which it varies."""

POLL_TIMEOUT_S = 1.0
"""Time for the whole of an answer."""

MAX_BODY_BYTES = 4096

MIN_UNHEALTHY_STATUS = 500
DRAINING = "draining"

Dispatch = Callable[[UpstreamHint], None]


class _HealthBody(Struct, frozen=True):
    status: str


class _LoadBody(Struct, frozen=True):
    load: float


class _BodyTooLarge(Exception):
    """The body of an answer is beyond its bound."""


class EndpointPoller:
    """Asks one endpoint again and again, one question at a time.

    Parameters
    ----------
    source : HintSource
        Which endpoint it is.
    url : str
        Where it is asked.
    dispatch : callable
        Takes each hint.
    counters : Counter
        Where the outcome of each question is counted.
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
        """Begin to ask."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Ask no more."""
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
        """Return the status and the body of an answer, or fail at a bound."""
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
    """Return the hint in an answer; None where there is none."""
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
