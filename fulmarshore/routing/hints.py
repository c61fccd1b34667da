"""An entry host's cache of flow owners, called hints.

A wrong or missing hint costs one more hop, never a wrong delivery. Hints live
in two generations. A lookup moves a hint from the old to the young one, and
each rotation drops the old one whole. So idle flows expire without reading a
clock for each packet, and without a search for expired hints.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from fulmarshore.core.addresses import MAX_PORT
from fulmarshore.core.codec import encode_head, find_flow_offset
from fulmarshore.core.hashing import FLOW_BYTES, find_bucket, hash_flow
from fulmarshore.core.phases import classify_datagram, get_default_phase
from fulmarshore.core.records import Address, Forward, Member, Phase
from fulmarshore.routing.table import ServiceTable

MAX_RESOLVED = 16
"""Newest hints to home agents that are kept until the timeline records them."""
MAX_HINTS = 330_000
"""Hints in one generation of a service; the other one may be as large."""

Source = tuple[str, int]

PORTS = tuple(range(MAX_PORT + 1))
"""One integer object for each port, instead of one for each flow."""


class Route:
    """What the hints to one agent have in common, under one version of the view.

    Parameters
    ----------
    member : Member
        The agent.
    address : Address
        Its data address.
    version : int
        Version of the view.
    flow_offset : int
        Offset of the flow's key in a head.
    """

    __slots__ = ("member", "address", "version", "flow_offset")

    def __init__(
        self, member: Member, address: Address, version: int, flow_offset: int
    ) -> None:
        self.member = member
        self.address = address
        self.version = version
        self.flow_offset = flow_offset


class Hint(Struct, gc=False):
    """Where the packets of one flow go, under one version of the view.

    With many flows, most of a packet's cost is access to the objects of its flow
    that are in no cache of the processor. So a hint is two references, and the
    garbage collector does not track it: neither reference can form a cycle.

    Parameters
    ----------
    route : Route
        Route to the agent that gets them.
    head : bytes
        An encoded `Forward` of the flow in the default phase of its protocol,
        up to the payload.
    """

    route: Route
    head: bytes

    @property
    def flow(self) -> bytes:
        """Key of the flow."""
        start = self.route.flow_offset
        return self.head[start : start + FLOW_BYTES]


class ServiceRoutes:
    """The hints of one service on one entry host.

    Parameters
    ----------
    entry : str
        Name of the entry host.
    service : ServiceTable
        The service in the table in force.
    version : int
        Version of that table.
    max_young : int
        Limit of a generation, in hints.

    Attributes
    ----------
    young : dict
        Hints in use, by caller. `find` refreshes one of another version.
    """

    __slots__ = (
        "entry",
        "service",
        "version",
        "evictions",
        "resolved",
        "young",
        "_old",
        "_max_young",
        "_routes",
        "_phase",
    )

    def __init__(
        self,
        entry: str,
        service: ServiceTable,
        version: int,
        max_young: int = MAX_HINTS,
    ) -> None:
        self.entry = entry
        self.evictions = 0
        self.resolved: deque[Hint] = deque(maxlen=MAX_RESOLVED)
        self.young: dict[Source, Hint] = {}
        self._old: dict[Source, Hint] = {}
        self._max_young = max_young
        self.update(service, version)

    def __len__(self) -> int:
        return len(self.young) + len(self._old)

    def update(self, service: ServiceTable, version: int) -> None:
        """Switch to a new table; hints are refreshed as they are used."""
        self.service = service
        self.version = version
        self._phase = get_default_phase(service.service.protocol)
        self._routes: dict[str, Route] = {}

    def find(self, source: Source) -> Hint | None:
        """Return the hint of a caller, refreshed; None if the service has no agent."""
        hint = self.young.get(source)
        if hint is not None and hint.route.version == self.version:
            return hint
        return self._refresh(source, hint)

    def has_default_phase(self, payload: bytes) -> bool:
        """Return whether a payload is in the phase that heads are encoded for."""
        return classify_datagram(self.service.service.protocol, payload) == self._phase

    def peek(self, source: Source) -> Hint | None:
        """Return the young hint of a caller if it is current; never refresh it."""
        hint = self.young.get(source)
        if hint is not None and hint.route.version == self.version:
            return hint
        return None

    def make_hint(self, flow: bytes, caller: Source, member: Member) -> Hint:
        """Return a hint to a member."""
        packet = self.make_packet(flow, caller, member, self._phase, b"")
        route = self._routes.get(member.name)
        if route is None:
            address = Address(member.host, member.port)
            route = Route(member, address, self.version, find_flow_offset(packet))
            self._routes[member.name] = route
        return Hint(route, encode_head(packet))

    def make_packet(
        self,
        flow: bytes,
        caller: Source,
        member: Member,
        phase: Phase,
        payload: bytes,
    ) -> Forward:
        """Return the message that carries a payload to a member."""
        return Forward(
            self.service.service.name,
            member.name,
            member.incarnation,
            self.version,
            flow,
            phase,
            caller[0],
            caller[1],
            self.entry,
            0,
            0,
            payload,
        )

    def learn(self, caller: Source, flow: bytes, owner: Member) -> None:
        """Store a hint to the owner of a flow."""
        self._store(caller, self.make_hint(flow, caller, owner))

    def discard(self, caller: Source, flow: bytes) -> None:
        """Drop the hint of a flow, such as one that was refused."""
        for generation in (self.young, self._old):
            hint = generation.get(caller)
            if hint is not None and hint.flow == flow:
                del generation[caller]

    def rotate(self) -> int:
        """Drop the hints of flows that were idle since the last rotation.

        Returns
        -------
        int
            Number of dropped hints.
        """
        dropped = len(self._old)
        self._old = self.young
        self.young = {}
        return dropped

    def _refresh(self, source: Source, hint: Hint | None) -> Hint | None:
        if hint is None:
            hint = self._old.pop(source, None)
        if hint is None or hint.route.version != self.version:
            hint = self._resolve(source, hint)
        if hint is None:
            self.young.pop(source, None)
            return None
        self._store(source, hint)
        return hint

    def _resolve(self, source: Source, hint: Hint | None) -> Hint | None:
        """Return a hint of this version, to the same owner or to the home agent."""
        if hint is not None:
            owner = self.service.by_name.get(hint.route.member.name)
            if owner is not None and owner.incarnation == hint.route.member.incarnation:
                return self.make_hint(hint.flow, source, owner)
            flow = hint.flow
        else:
            flow = hash_flow(self.service.service.name, source[0], source[1])
        home = self.service.get_home(find_bucket(flow))
        if home is None:
            return None
        resolved = self.make_hint(flow, source, home)
        self.resolved.append(resolved)
        return resolved

    def _store(self, source: Source, hint: Hint) -> None:
        self.young[source[0], PORTS[source[1]]] = hint
        if len(self.young) <= self._max_young:
            return
        self.evictions += self.rotate()
