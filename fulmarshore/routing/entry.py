"""The core of an entry host: which agent a caller's packet goes to.

An entry host keeps no state that another one would need. Its hints are a
bounded cache of owners; a wrong hint costs one more hop.
"""

from __future__ import annotations

from collections import Counter

from fulmarshore.admission.refusals import refuse_request
from fulmarshore.core.codec import decode_request
from fulmarshore.core.hashing import find_bucket, hash_flow, hash_request
from fulmarshore.core.phases import find_phase
from fulmarshore.core.records import (
    Address,
    Answer,
    Datagram,
    Delta,
    DeltaRequest,
    Effect,
    Event,
    Forward,
    LinkMessage,
    Member,
    PeerMessage,
    Phase,
    Protocol,
    Reason,
    Refusal,
    Request,
    SendCaller,
    SendPeer,
    Stop,
    Stopped,
    Tick,
)
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.table import ServiceTable, Table

MAX_HINTS = 400_000
STOP_LINGER_S = 1.0
"""Time between leaving the membership and exit, for packets under way."""


class Hint:
    """What the entry host remembers of a flow; only ever a shortcut."""

    __slots__ = ("flow", "owner", "incarnation", "address", "version")

    def __init__(
        self, flow: bytes, owner: str, incarnation: int, address: Address, version: int
    ) -> None:
        self.flow = flow
        self.owner = owner
        self.incarnation = incarnation
        self.address = address
        self.version = version


class EntryCore:
    """Forwards callers' packets to agents and answers back to callers.

    Parameters
    ----------
    subscriber : Subscriber
        Keeps the view in force.
    max_hints : int
        Bound of the cache of owners, over all services.
    """

    def __init__(self, subscriber: Subscriber, max_hints: int = MAX_HINTS) -> None:
        self.name = subscriber.identity.name
        self.subscriber = subscriber
        self.table = Table(subscriber.view)
        self.counters: Counter[str] = Counter()
        self._max_hints = max_hints
        self._hints: dict[str, dict[tuple[str, int], Hint]] = {}
        self._hint_count = 0
        self._stopping_at = float("inf")

    @property
    def hint_count(self) -> int:
        """Number of flows whose owner is remembered."""
        return self._hint_count

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done."""
        match event:
            case Datagram():
                return self.forward(event)
            case PeerMessage():
                return self._handle_peer(event, now)
            case LinkMessage():
                effects = self.subscriber.handle(event, now)
                return effects + self._update_table()
            case Tick():
                return self._tick(now)
            case Stop():
                self._stopping_at = now + STOP_LINGER_S
                return self.subscriber.leave()
        raise AssertionError(f"unexpected event {event!r}")

    def forward(self, event: Datagram) -> list[Effect]:
        """Send a caller's datagram to the agent of its flow."""
        service = self.table.services.get(event.service)
        if service is None:
            return self._drop(Reason.NO_UPSTREAM)
        protocol = service.service.protocol
        if protocol == Protocol.REQUEST:
            return self._forward_request(service, event)
        hint = self._find_hint(service, event.source)
        if hint is None:
            return self._drop(Reason.NO_UPSTREAM)
        phase = find_phase(protocol, event.payload)
        return [self._send(service, hint, phase, event)]

    def _forward_request(self, service: ServiceTable, event: Datagram) -> list[Effect]:
        request = decode_request(event.payload, event.source[0])
        if not isinstance(request, Request) or request.service != service.service.name:
            return self._drop(Reason.MALFORMED)
        flow = hash_request(request.service, request.caller, request.number)
        hint = self._make_hint(service, flow)
        if hint is None:
            self.counters[f"dropped_{Reason.NO_UPSTREAM}"] += 1
            return [refuse_request(request, event.source)]
        return [self._send(service, hint, Phase.OPENING, event)]

    def _send(
        self, service: ServiceTable, hint: Hint, phase: Phase, event: Datagram
    ) -> SendPeer:
        self.counters["forwarded"] += 1
        packet = Forward(
            service.service.name,
            hint.owner,
            hint.incarnation,
            self.table.version,
            hint.flow,
            phase,
            event.source[0],
            event.source[1],
            self.name,
            0,
            0,
            event.payload,
        )
        return SendPeer(hint.address, packet)

    def _find_hint(self, service: ServiceTable, source: Address) -> Hint | None:
        name = service.service.name
        hints = self._hints.setdefault(name, {})
        hint = hints.get(source)
        if hint is not None and hint.version == self.table.version:
            return hint
        if hint is not None:
            owner = service.by_name.get(hint.owner)
            if owner is not None and owner.incarnation == hint.incarnation:
                hint.version = self.table.version
                return hint
        flow = hint.flow if hint is not None else hash_flow(name, *source)
        fresh = self._make_hint(service, flow)
        if fresh is None:
            return None
        if hint is None:
            self._hint_count += 1
            self._evict(hints)
        hints[source] = fresh
        return fresh

    def _make_hint(self, service: ServiceTable, flow: bytes) -> Hint | None:
        home = service.get_home(find_bucket(flow))
        if home is None:
            return None
        return self._point(flow, home)

    def _point(self, flow: bytes, member: Member) -> Hint:
        address = Address(member.host, member.port)
        version = self.table.version
        return Hint(flow, member.name, member.incarnation, address, version)

    def _evict(self, hints: dict[tuple[str, int], Hint]) -> None:
        if self._hint_count <= self._max_hints:
            return
        if not hints:
            hints = max(self._hints.values(), key=len)
        hints.pop(next(iter(hints)))
        self._hint_count -= 1
        self.counters["hints_evicted"] += 1

    def _handle_peer(self, event: PeerMessage, now: float) -> list[Effect]:
        match event.message:
            case Answer() as answer:
                return self._answer(answer, event.source)
            case Refusal() as refusal:
                return self._refuse(refusal, event.source)
            case Delta() as delta:
                effects = self.subscriber.apply(delta, event.source[0])
                return effects + self._update_table()
            case DeltaRequest() as request:
                delta = make_delta(self.subscriber.view, request.version)
                return [SendPeer(event.source, delta)]
        return self._drop(Reason.MALFORMED)

    def _answer(self, answer: Answer, source: Address) -> list[Effect]:
        service = self.table.services.get(answer.service)
        if service is None:
            return self._drop(Reason.WRONG_SERVICE)
        owner = service.by_name.get(answer.owner)
        caller = Address(answer.caller_host, answer.caller_port)
        if owner is not None:
            if owner.incarnation > answer.incarnation:
                return self._drop(Reason.WRONG_INCARNATION)
            self._learn_owner(answer, caller, owner)
        self.counters["answered"] += 1
        effects: list[Effect] = [SendCaller(answer.service, caller, answer.payload)]
        if answer.version != self.table.version:
            effects += self._compare_versions(answer.version, source)
        return effects

    def _learn_owner(self, answer: Answer, caller: Address, owner: Member) -> None:
        hints = self._hints.get(answer.service)
        if hints is None:
            return
        hint = hints.get(caller)
        if hint is None or hint.flow != answer.flow:
            return
        if hint.owner == owner.name and hint.incarnation == owner.incarnation:
            return
        hints[caller] = self._point(answer.flow, owner)

    def _refuse(self, refusal: Refusal, source: Address) -> list[Effect]:
        self.counters[f"refused_{refusal.reason}"] += 1
        caller = Address(refusal.caller_host, refusal.caller_port)
        hints = self._hints.get(refusal.service, {})
        hint = hints.get(caller)
        if hint is not None and hint.flow == refusal.flow:
            del hints[caller]
            self._hint_count -= 1
        if refusal.version != self.table.version:
            return self._compare_versions(refusal.version, source)
        return []

    def _compare_versions(self, version: int, source: Address) -> list[Effect]:
        """Let whoever has the newer version in force tell the other."""
        if version > self.table.version:
            self.counters["deltas_asked"] += 1
            request = DeltaRequest(self.subscriber.identity, self.table.version)
            return [SendPeer(source, request)]
        self.counters["deltas_pushed"] += 1
        return [SendPeer(source, make_delta(self.subscriber.view, version))]

    def _update_table(self) -> list[Effect]:
        view = self.subscriber.view
        if view.version == self.table.version:
            return []
        assert view.version > self.table.version, "versions only go up"
        self.table = Table(view, self.table)
        return []

    def _tick(self, now: float) -> list[Effect]:
        if now >= self._stopping_at:
            return [Stopped()]
        if self._stopping_at < float("inf"):
            return []
        return self.subscriber.tick(now)

    def _drop(self, reason: Reason) -> list[Effect]:
        self.counters[f"dropped_{reason}"] += 1
        return []
