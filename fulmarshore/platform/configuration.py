"""Checks the platform's configuration body and translates it into a table."""

from __future__ import annotations

import socket
import zlib

import msgspec
from msgspec import Struct, field

from fulmarshore.core.ranges import (
    DECODE_ERRORS,
    MAX_COUNT,
    MAX_NUMBER,
    parse_port,
    saturate,
)
from fulmarshore.core.records import PutConfiguration
from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.records import (
    Backend,
    Route,
    ServicePolicy,
    Table,
    Urgency,
)
from fulmarshore.platform.problems import describe_decode_error


class RouteBackend(Struct, frozen=True):
    """A service of a route, with its weight for new flows."""

    service: str
    weight: float


class RouteBody(Struct, frozen=True):
    """A route from an address and port to one or more services."""

    name: str
    # An IPv4 address, not a host name.
    address: str = field(name="hostname")
    # A port between slashes, such as ``/8443/``, not a path.
    port: str = field(name="pathPrefix")
    timeout_ms: float = field(name="timeoutMs")
    service: str | None = None
    backends: list[RouteBackend] | None = None
    priority: float = 0.0
    target_latency_ms: float = field(default=0.0, name="targetLatencyMs")
    # The kind of its requests, as in REPEATABLE_KINDS; other values are allowed.
    kind: object = field(default=None, name="type")


class ServiceBody(Struct, frozen=True):
    """Limits of a service."""

    name: str
    # Applies to each upstream; 0 for no limit.
    max_flows: int = field(default=0, name="maxConnections")
    # Requests a second that a cold upstream can take; 0 for no limit.
    cold_per_s: float = field(default=0.0, name="coldPerS")


class LimitsBody(Struct, frozen=True):
    """The limits that apply to flows; other limits of the platform are ignored."""

    idle_timeout_ms: float = field(default=60_000.0, name="idleTimeoutMs")


class ConfigurationBody(Struct, frozen=True):
    """A complete configuration."""

    version: int
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: LimitsBody = LimitsBody()


WEIGHT_SCALE = 1000
"""Weights of the platform may be fractions; a table stores them in thousandths."""
LOWEST_PRIORITY = 255
"""Larger numbers count as this one. The platform documents 0 (the highest), 1 and 2."""

REPEATABLE_KINDS = ("safe", "download")
"""Kinds of requests that may run twice; those of all other kinds run once at most."""
UPLOAD_KIND = "upload"
NON_IDEMPOTENT_KIND = "non_idempotent"

_decoder = msgspec.json.Decoder(ConfigurationBody)


def read_configuration(body: bytes) -> PutConfiguration | list[str]:
    """Return the command of a valid body, or a list of its problems."""
    try:
        configuration = _decoder.decode(body)
    except DECODE_ERRORS as error:
        return [f"not readable: {describe_decode_error(body, error)}"]
    problems = check_configuration(configuration)
    if problems:
        return problems
    return PutConfiguration(configuration.version, zlib.compress(body))


def check_configuration(configuration: ConfigurationBody) -> list[str]:
    """Return the problems of a configuration, each with field and value."""
    problems = []
    version = configuration.version
    if not 1 <= version <= MAX_NUMBER:
        problems.append(f"version: {version}, needs 1 to {MAX_NUMBER}")
    services = {service.name for service in configuration.services}
    if len(services) < len(configuration.services):
        problems.append("services: two have the same name")
    routes_by_endpoint: dict[object, str] = {}
    for route in configuration.routes:
        where = f"route {route.name}"
        text = (route.address, route.port.strip("/"))
        address = encode_address(route)
        endpoint = address or text
        if endpoint in routes_by_endpoint:
            problems.append(
                f"{where}: same address and port as {routes_by_endpoint[endpoint]}"
            )
        routes_by_endpoint[endpoint] = route.name
        if address is None:
            problems.append(
                f"{where}: {text} is not an IPv4 address and a port between slashes"
            )
        if not route.timeout_ms > 0:
            problems.append(f"{where}.timeoutMs: {route.timeout_ms}, needs more than 0")
        problems += _check_backends(route, services)
    return problems


def encode_address(route: RouteBody) -> bytes | None:
    """Return a route's address and port as six bytes; None if they are invalid."""
    try:
        address = socket.inet_pton(socket.AF_INET, route.address)
    except (OSError, ValueError):
        return None
    port = parse_port(route.port.strip("/"))
    return address + port.to_bytes(2) if port is not None else None


def list_backends(route: RouteBody) -> tuple[Backend, ...]:
    """Return the services of a route with their weights."""
    if route.backends:
        return tuple(
            Backend(backend.service, _scale_weight(backend.weight))
            for backend in route.backends
        )
    return (Backend(route.service, 1),) if route.service else ()


def _scale_weight(weight: float) -> int:
    """Return a weight in thousandths; the smallest one is not rounded to 0."""
    if weight <= 0:
        return 0
    return max(1, round(saturate(weight, MAX_COUNT // WEIGHT_SCALE) * WEIGHT_SCALE))


def make_urgency(route: RouteBody) -> Urgency:
    """Return the priority and target latency of a route's new flows."""
    priority = int(min(max(route.priority, 0), LOWEST_PRIORITY))
    if not route.target_latency_ms > 0:
        return Urgency(priority)
    return Urgency(priority, route.target_latency_ms / 1000)


def make_table(state: OrderState) -> Table:
    """Return the table that a replicated state describes.

    Limits beyond any that a host could reach are lowered to the largest one that a
    table holds, which has the same effect.

    Raises
    ------
    ValueError
        If the content is not a readable configuration.
    """
    if not state.version:
        return Table(index=state.index, zones_out=state.zones_out)
    try:
        configuration = _decoder.decode(decompress_configuration(state))
    except DECODE_ERRORS as error:
        raise ValueError(f"configuration is not readable: {error}") from error
    routes = tuple(
        Route(
            encode_address(route),
            list_backends(route),
            make_urgency(route),
            route.kind == UPLOAD_KIND,
            route.kind in REPEATABLE_KINDS,
        )
        for route in configuration.routes
    )
    services = tuple(
        ServicePolicy(
            service.name,
            saturate(service.max_flows),
            float(saturate(service.cold_per_s)),
        )
        for service in configuration.services
    )
    return Table(
        state.index,
        state.version,
        routes,
        services,
        max(0.0, configuration.limits.idle_timeout_ms / 1000),
        state.zones_out,
        any(calls_for_placement_by_cost(route) for route in routes),
    )


def calls_for_placement_by_cost(route: Route) -> bool:
    """Whether a route needs more than the number of flows to place its flows well.

    The upstreams of several services can only be compared by time, and the requests of
    an upload differ in what they cost.
    """
    in_use = [backend for backend in route.backends if backend.weight > 0]
    return route.is_upload or len(in_use) > 1


def decompress_configuration(state: OrderState) -> bytes:
    """Return the body of the newest configuration as the operator sent it.

    Raises
    ------
    ValueError
        If the stored content is damaged.
    """
    try:
        return zlib.decompress(state.content)
    except zlib.error as error:
        raise ValueError(f"content is damaged: {error}") from error


def _check_backends(route: RouteBody, services: set[str]) -> list[str]:
    problems = []
    backends = list_backends(route)
    where = f"route {route.name}"
    if not backends:
        problems.append(f"{where}: no service")
    named = [backend.service for backend in backends]
    if route.service:
        # Not in use beside backends, but named all the same.
        named.append(route.service)
    for name in dict.fromkeys(named):
        if name not in services:
            problems.append(f"{where}.service: {name} is not known")
    for backend in route.backends or []:
        if backend.weight < 0:
            problems.append(f"{where}.weight: {backend.weight}, needs 0 or more")
    if backends and not any(backend.weight > 0 for backend in backends):
        problems.append(f"{where}.weight: all are 0")
    return problems
