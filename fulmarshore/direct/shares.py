"""Shares of the services of a route in its new flows."""

from __future__ import annotations

from collections import Counter

from msgspec import Struct, field
from xxhash import xxh3_64_intdigest

from fulmarshore.direct.records import Backend, Route

MAX_OWED = 10_000
"""Most flows that a service is owed: compensation ends some time after an outage."""
MAX_ROUTES = 1024
"""Routes whose shares are kept; the oldest is dropped beyond this."""


def choose_service(route: Route, flow: bytes) -> str | None:
    """Return the service of a new flow; None if all weights are 0.

    A hash of the flow chooses it, in proportion to the weights.
    """
    total = sum(backend.weight for backend in route.backends)
    if total <= 0:
        return None
    point = xxh3_64_intdigest(flow) % total
    for backend in route.backends:
        if point < backend.weight:
            return backend.service
        point -= backend.weight
    raise AssertionError("the weights add up to the total")


class RouteShares(Struct):
    """Flows that each service of a route is owed by the others.

    Parameters
    ----------
    backends : tuple of Backend
        The services with their weights; the counts end when these change.
    owed : Counter of str
        Flows drawn for a service minus flows given to it.
    """

    backends: tuple[Backend, ...]
    owed: Counter[str] = field(default_factory=Counter)


class ServiceShares:
    """Keeps the weights of services on average, although flows are diverted."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[bytes, RouteShares] = {}

    @property
    def owed_count(self) -> int:
        """Number of diverted flows that are not yet compensated for."""
        return sum(
            owed
            for shares in self._routes.values()
            for owed in shares.owed.values()
            if owed > 0
        )

    def list_others(self, route: Route, service: str) -> list[str]:
        """Return the other services of weight above 0, the most owed one first."""
        owed = self._get(route).owed
        others = [
            backend.service
            for backend in route.backends
            if backend.weight > 0 and backend.service != service
        ]
        return sorted(others, key=lambda other: -owed[other])

    def list_owed(self, route: Route, service: str) -> list[str]:
        """Return the services below their share, if a service is above its own."""
        owed = self._get(route).owed
        if owed[service] >= 0:
            return []
        return [other for other in self.list_others(route, service) if owed[other] > 0]

    def record_move(self, route: Route, former: str, service: str) -> None:
        """Record that a flow goes to a service instead of a former one."""
        if former == service:
            return
        owed = self._get(route).owed
        if owed[former] < MAX_OWED and owed[service] > -MAX_OWED:
            owed[former] += 1
            owed[service] -= 1

    def _get(self, route: Route) -> RouteShares:
        shares = self._routes.get(route.address)
        if shares is not None and shares.backends == route.backends:
            return shares
        self._routes.pop(route.address, None)
        if len(self._routes) >= MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        shares = self._routes[route.address] = RouteShares(route.backends)
        return shares
