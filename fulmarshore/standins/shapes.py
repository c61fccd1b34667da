"""The shapes of today's two deployments, as the demo runs them."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class Part(NamedTuple):
    """A service of the demo and how many upstreams it has."""

    service: str
    upstreams: int


class Shape(Struct, frozen=True):
    """The size of a deployment.

    Parameters
    ----------
    zones : tuple of str
        Availability zones; the last one is taken out.
    feeds : dict of str to int
        Upstreams of each service of feeds; one of the first service drains.
    downloads, orders : Part
        The service of downloads and that of non-idempotent orders; an
        upstream of each drains.
    slots : int
        Slots of each upstream.
    """

    zones: tuple[str, ...]
    feeds: dict[str, int]
    downloads: Part
    orders: Part
    slots: int

    def list_parts(self) -> list[Part]:
        """Return every service with its upstreams."""
        parts = [Part(*part) for part in self.feeds.items()]
        return [*parts, self.downloads, self.orders]

    def list_drained(self) -> list[str]:
        """Return the upstreams that drain, one of each kind of work."""
        feeds = next(iter(self.feeds))
        drained = [f"{feeds}-3", f"{self.downloads.service}-0"]
        return [*drained, f"{self.orders.service}-3"]


SHAPES = {
    "khomas": Shape(
        ("khomas-a", "khomas-b", "khomas-c"),
        {"mendbook": 7, "ribplans": 3},
        Part("diagrams", 3),
        Part("rib-orders", 4),
        3,
    ),
    "accra": Shape(
        ("accra-osu", "accra-tema", "accra-madina"),
        {"permit-desk": 7, "proof-store": 3},
        Part("proofs", 3),
        Part("permit-checks", 4),
        1,
    ),
}
