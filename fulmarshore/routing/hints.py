"""What an entry host remembers of flows: only ever a shortcut.

A wrong or missing hint costs one more hop, never a wrong delivery. Hints live
in two generations. A lookup moves a hint from the old to the young one, and
each rotation drops the old one whole: idle flows are forgotten without a
clock on any packet, and no hint is ever searched for.
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
"""Newest flows that are kept for the time line until somebody takes them."""
MAX_HINTS = 330_000
"""Flows of one generation of a service; a second one may be as large."""

Source = tuple[str, int]

PORTS = tuple(range(MAX_PORT + 1))
"""One number object for each port in place of one for each flow."""


class Route:
    """What the flows to one agent have in common while a version is in force.

    Parameters
    ----------
    member : Member
        The agent.
    address : Address
        Its data address.
    version : int
        The version that it belongs to.
    flow_at : int
        Where the key of the flow stands in a head.
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
    """Where the packets of one flow go while a version is in force.

    Most of what a packet costs among many flows are the objects of its flow
    that are in no cache of the processor. So a hint is two references, without
    the collector's part: neither of them leads back.

    Parameters
    ----------
    route : Route
        The agent that gets them.
    head : bytes
        An encoded `Forward` of the flow in the usual phase of its protocol,
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
        Bound of a generation.

    Attributes
    ----------
    young : dict
        Hints in use, by caller. One of another version is to be found again.
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
        """Take a new table; hints are brought up to it as they are used."""
        self.service = service
        self.version = version
        self._phase = get_default_phase(service.service.protocol)
        self._routes: dict[str, Route] = {}

    def find(self, source: Source) -> Hint | None:
        """Return where the packets of a caller go; None if nowhere."""
        hint = self.young.get(source)
        if hint is not None and hint.route.version == self.version:
            return hint
        return self._refresh(source, hint)

    def has_default_phase(self, payload: bytes) -> bool:
        """Return whether a payload is in the phase that heads are made for."""
        return classify_datagram(self.service.service.protocol, payload) == self._phase

    def peek(self, source: Source) -> Hint | None:
        """Return the current hint of a caller that spoke not long ago."""
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
        """Return the message that takes a payload to a member."""
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
        """Remember the owner of a flow."""
        self._store(caller, self.make_hint(flow, caller, owner))

    def discard(self, caller: Source, flow: bytes) -> None:
        """Forget a flow, such as one that was refused."""
        for generation in (self.young, self._old):
            hint = generation.get(caller)
            if hint is not None and hint.flow == flow:
                del generation[caller]

    def rotate(self) -> int:
        """Forget the flows that were idle since the last rotation.

        Returns
        -------
        int
            How many were forgotten.
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
        """Return a hint of this version: the same owner, if it is still there."""
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
