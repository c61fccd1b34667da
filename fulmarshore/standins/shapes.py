"""The sizes of the users' two current deployments, as the demo runs them."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class Part(NamedTuple):
    """A service of the demo and its number of upstreams."""

    service: str
    upstreams: int


class Shape(Struct, frozen=True):
    """The size of a deployment.

    Parameters
    ----------
    zones : tuple of str
        Availability zones; the last one is taken out.
    feeds : dict of str to int
        Number of upstreams of each feed service; one of the first drains.
    downloads, orders : Part
        The download service and the service of non-idempotent orders; one
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
        """Return every service with its number of upstreams."""
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
