"""What an entry host remembers of flows: only ever a shortcut.

A wrong or missing hint costs one more hop, never a wrong delivery. Hints live
in two generations. A lookup moves a hint from the old to the young one, and
each rotation drops the old one whole: idle flows are forgotten without a
clock on any packet, and no hint is ever searched for.
"""

from __future__ import annotations

from collections import deque

from fulmarshore.core.codec import encode_head
from fulmarshore.core.hashing import find_bucket, hash_flow
from fulmarshore.core.phases import find_phase, get_usual_phase
from fulmarshore.core.records import Address, Forward, Member, Phase
from fulmarshore.routing.table import ServiceTable

MAX_RENEWED = 16
"""Newest flows that are kept for the time line until somebody takes them."""
MAX_HINTS = 330_000
"""Flows of one generation of a service; a second one may be as large."""

Source = tuple[str, int]


class Hint:
    """Where the packets of one flow go while a version is in force.

    Parameters
    ----------
    flow : bytes
        Key of the flow.
    member : Member
        The agent that gets them.
    address : Address
        Its data address.
    version : int
        The version that ``member`` and ``head`` belong to.
    head : bytes
        An encoded `Forward` of the flow in the usual phase of its protocol,
        up to the payload.
    """

    __slots__ = ("flow", "member", "address", "version", "head")

    def __init__(
        self, flow: bytes, member: Member, address: Address, version: int, head: bytes
    ) -> None:
        self.flow = flow
        self.member = member
        self.address = address
        self.version = version
        self.head = head


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
        "renewed",
        "young",
        "_old",
        "_max_young",
        "_addresses",
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
        self.renewed: deque[Hint] = deque(maxlen=MAX_RENEWED)
        self.young: dict[Source, Hint] = {}
        self._old: dict[Source, Hint] = {}
        self._max_young = max_young
        self.follow(service, version)

    def __len__(self) -> int:
        return len(self.young) + len(self._old)

    def follow(self, service: ServiceTable, version: int) -> None:
        """Take a new table; hints are brought up to it as they are used."""
        self.service = service
        self.version = version
        self._phase = get_usual_phase(service.service.protocol)
        self._addresses = {m.name: Address(m.host, m.port) for m in service.members}

    def find(self, source: Source) -> Hint | None:
        """Return where the packets of a caller go; None if nowhere."""
        hint = self.young.get(source)
        if hint is not None and hint.version == self.version:
            return hint
        return self._refresh(source, hint)

    def is_usual(self, payload: bytes) -> bool:
        """Return whether a payload is in the phase that heads are made for."""
        return find_phase(self.service.service.protocol, payload) == self._phase

    def peek(self, source: Source) -> Hint | None:
        """Return the current hint of a caller that spoke not long ago."""
        hint = self.young.get(source)
        if hint is not None and hint.version == self.version:
            return hint
        return None

    def point(self, flow: bytes, caller: Source, member: Member) -> Hint:
        """Return a hint to a member."""
        packet = self.make_packet(flow, caller, member, self._phase, b"")
        address = self._addresses[member.name]
        return Hint(flow, member, address, self.version, encode_head(packet))

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
        self._keep(caller, self.point(flow, caller, owner))

    def forget(self, caller: Source, flow: bytes) -> None:
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
        gone = len(self._old)
        self._old = self.young
        self.young = {}
        return gone

    def _refresh(self, source: Source, hint: Hint | None) -> Hint | None:
        if hint is None:
            hint = self._old.pop(source, None)
        if hint is None or hint.version != self.version:
            hint = self._renew(source, hint)
        if hint is None:
            self.young.pop(source, None)
            return None
        self._keep(source, hint)
        return hint

    def _renew(self, source: Source, hint: Hint | None) -> Hint | None:
        """Return a hint of this version: the same owner, if it is still there."""
        if hint is not None:
            owner = self.service.by_name.get(hint.member.name)
            if owner is not None and owner.incarnation == hint.member.incarnation:
                return self.point(hint.flow, source, owner)
            flow = hint.flow
        else:
            flow = hash_flow(self.service.service.name, source[0], source[1])
        home = self.service.get_home(find_bucket(flow))
        if home is None:
            return None
        renewed = self.point(flow, source, home)
        self.renewed.append(renewed)
        return renewed

    def _keep(self, source: Source, hint: Hint) -> None:
        self.young[source] = hint
        if len(self.young) <= self._max_young:
            return
        self.evictions += self.rotate()
