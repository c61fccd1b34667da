"""Index of the newest table that a process has received."""

from __future__ import annotations

from fulmarshore.direct.records import (
    NO_URGENCY,
    Decision,
    Route,
    ServicePolicy,
    Table,
    UpdateReceived,
    Urgency,
)


class TableIndex:
    """The newest table, with its routes by address and its services by name.

    Parameters
    ----------
    placement : str
        Whether new flows are placed by ``cost`` or by ``flows``; with ``auto`` the
        table decides.

    Attributes
    ----------
    has_uploads : bool
        Whether a route is for uploads.
    """

    __slots__ = (
        "table",
        "has_uploads",
        "_placement",
        "_routes",
        "_services",
        "_zones_out",
    )

    def __init__(self, placement: str = "auto") -> None:
        self.table = Table()
        self.has_uploads = False
        self._placement = placement
        self._routes: dict[bytes, Route] = {}
        self._services: dict[str, ServicePolicy] = {}
        self._zones_out: frozenset[str] = frozenset()

    def replace(self, table: Table) -> bool:
        """Replace the table by a newer one; return whether it is newer."""
        if table.index <= self.table.index:
            return False
        assert table.version >= self.table.version, "versions only go up"
        self.table = table
        self._routes = {route.address: route for route in table.routes}
        self._services = {service.name: service for service in table.services}
        self._zones_out = frozenset(table.zones_out)
        self.has_uploads = any(route.is_upload for route in table.routes)
        return True

    def handle_update(self, received: UpdateReceived) -> list[Decision]:
        """Replace the table by that of an update, and log it if it is newer."""
        if received.table is None or not self.replace(received.table):
            return []
        table = self.table
        detail = f"version {table.version}, index {table.index}, from {received.host}"
        return [Decision("table_taken", detail)]

    @property
    def is_known(self) -> bool:
        """Whether a table with a configuration was received."""
        return self.table.version > 0

    @property
    def places_by_cost(self) -> bool:
        """Whether new flows are placed by their expected completion."""
        if self._placement == "auto":
            return self.table.places_by_cost
        return self._placement == "cost"

    def find_route(self, address: bytes) -> Route | None:
        """Return the route of an address and port, or None if there is none."""
        return self._routes.get(address)

    def find_urgency(self, address: bytes) -> Urgency:
        """Return the urgency of the openings to an address and port."""
        route = self._routes.get(address)
        return route.urgency if route is not None else NO_URGENCY

    def find_service(self, name: str) -> ServicePolicy | None:
        """Return the policy of a service, or None if there is none."""
        return self._services.get(name)

    def is_zone_out(self, zone: str) -> bool:
        """Whether an availability zone is out of service."""
        return zone in self._zones_out

    def has_backend(self, address: bytes, service: str) -> bool:
        """Whether new flows to an address may go to a service."""
        route = self._routes.get(address)
        if route is None:
            return False
        return any(
            backend.service == service and backend.weight > 0
            for backend in route.backends
        )
