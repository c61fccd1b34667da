"""The platform's configuration body, checked and translated into a table."""

from __future__ import annotations

import socket
import zlib

import msgspec
from msgspec import Struct, field

from fulmarshore.core.records import PutConfiguration
from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.records import (
    Backend,
    Route,
    ServicePolicy,
    Table,
    Urgency,
)


class RouteBackend(Struct, frozen=True):
    """A service of a route with its share of new flows."""

    service: str
    weight: float


class RouteBody(Struct, frozen=True):
    """A route; its host is an address and its prefix a port between slashes."""

    name: str
    address: str = field(name="hostname")
    port: str = field(name="pathPrefix")
    timeout_ms: float = field(name="timeoutMs")
    service: str | None = None
    backends: list[RouteBackend] | None = None
    priority: float = 0.0
    objective_ms: float = field(default=0.0, name="targetLatencyMs")


class ServiceBody(Struct, frozen=True):
    """A service."""

    name: str
    max_flows: int = field(default=0, name="maxConnections")
    cold_per_s: float = field(default=0.0, name="coldPerS")


class LimitsBody(Struct, frozen=True):
    """The limit that has a meaning here."""

    idle_timeout_ms: float = field(default=60_000.0, name="idleTimeoutMs")


class ConfigurationBody(Struct, frozen=True):
    """A whole configuration."""

    version: int
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: LimitsBody = LimitsBody()


WEIGHT_STEPS = 1000
"""Weights may be fractions; ours are whole numbers of this part of theirs."""
LOWEST_PRIORITY = 255
"""Numbers beyond it mean the same; the pages name 0, the highest, and 1 and 2."""

_decoder = msgspec.json.Decoder(ConfigurationBody)


def read_configuration(body: bytes) -> PutConfiguration | list[str]:
    """Return the command of a valid body, or what is wrong with it."""
    try:
        found = _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return [f"not readable: {error}"]
    problems = check_configuration(found)
    if problems:
        return problems
    return PutConfiguration(found.version, zlib.compress(body))


def check_configuration(found: ConfigurationBody) -> list[str]:
    """Return what is wrong with a configuration, with field and value."""
    problems = []
    if found.version < 1:
        problems.append(f"version: {found.version}, needs 1 or more")
    services = {service.name for service in found.services}
    if len(services) < len(found.services):
        problems.append("services: two have the same name")
    places: dict[tuple[str, str], str] = {}
    for route in found.routes:
        where = f"route {route.name}"
        place = (route.address, route.port.strip("/"))
        if place in places:
            problems.append(f"{where}: same place as {places[place]}")
        places[place] = route.name
        if make_address(route) is None:
            problems.append(f"{where}: {place} is no address and port")
        if not route.timeout_ms > 0:
            problems.append(f"{where}.timeoutMs: {route.timeout_ms}, needs more than 0")
        problems += _check_backends(route, services)
    return problems


def make_address(route: RouteBody) -> bytes | None:
    """Return address and port of a route, six bytes."""
    try:
        address = socket.inet_pton(socket.AF_INET, route.address)
    except (OSError, ValueError):
        return None
    port = route.port.strip("/")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return None
    return address + int(port).to_bytes(2)


def list_backends(route: RouteBody) -> tuple[Backend, ...]:
    """Return where a route leads."""
    if route.backends:
        return tuple(
            Backend(held.service, round(held.weight * WEIGHT_STEPS))
            for held in route.backends
        )
    return (Backend(route.service, 1),) if route.service else ()


def make_urgency(route: RouteBody) -> Urgency:
    """Return which openings of a route go first."""
    priority = int(min(max(route.priority, 0), LOWEST_PRIORITY))
    if not route.objective_ms > 0:
        return Urgency(priority)
    return Urgency(priority, route.objective_ms / 1000)


def make_table(state: OrderState) -> Table:
    """Return the table of a state."""
    if not state.version:
        return Table(index=state.index, zones_out=state.zones_out)
    found = _decoder.decode(zlib.decompress(state.content))
    routes = tuple(
        Route(make_address(route), list_backends(route), make_urgency(route))
        for route in found.routes
    )
    services = tuple(
        ServicePolicy(held.name, held.max_flows, held.cold_per_s)
        for held in found.services
    )
    return Table(
        state.index,
        state.version,
        routes,
        services,
        found.limits.idle_timeout_ms / 1000,
        state.zones_out,
    )


def format_newest(state: OrderState) -> bytes:
    """Return the configuration as the operator sent it."""
    return zlib.decompress(state.content)


def _check_backends(route: RouteBody, services: set[str]) -> list[str]:
    problems = []
    backends = list_backends(route)
    where = f"route {route.name}"
    if not backends:
        problems.append(f"{where}: no service")
    for backend in backends:
        if backend.service not in services:
            problems.append(f"{where}.service: {backend.service} is not known")
        if backend.weight < 0:
            problems.append(f"{where}.weight: {backend.weight}, needs 0 or more")
    if backends and not any(backend.weight > 0 for backend in backends):
        problems.append(f"{where}.weight: all are 0")
    return problems
