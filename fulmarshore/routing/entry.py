"""The core of an entry host: forwards callers' packets to agents.

An entry host keeps no state that another one would need. Its hints are a
bounded cache of flow owners; a wrong hint costs one more hop.
"""

from __future__ import annotations

from collections import Counter

from fulmarshore.admission.refusals import refuse_request
from fulmarshore.core.addresses import is_address
from fulmarshore.core.codec import decode_request
from fulmarshore.core.hashing import FLOW_BYTES, find_bucket, hash_flow, hash_request
from fulmarshore.core.phases import classify_datagram
from fulmarshore.core.records import (
    Address,
    Answer,
    Datagram,
    Delta,
    DeltaRequest,
    Effect,
    EndStream,
    Event,
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
    StopAccepting,
    Stopped,
    StreamEnded,
    StreamOpen,
    StreamOpened,
    StreamRedirect,
    Tick,
)
from fulmarshore.core.stalls import StallDetector
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.membership.view import make_delta
from fulmarshore.routing.hints import MAX_HINTS, ServiceRoutes, Source
from fulmarshore.routing.peers import KnownPeers
from fulmarshore.routing.table import ServiceTable, Table

STOP_LINGER_S = 1.0
"""Time between leaving the membership and exit, for packets in flight."""
MAX_STREAM_LINGER_S = 3600.0
"""Longest time that a planned stop waits for streams to end."""
ROTATION_INTERVAL_S = 60.0
"""Time between rotations of hints; one to two drop the hint of an idle flow."""
HOST_GENERATIONS = 1.5
"""Limit of a host's hints, as a multiple of one generation of a service."""


class EntryCore:
    """Forwards callers' packets to agents and answers back to callers.

    Parameters
    ----------
    subscriber : Subscriber
        Keeps the view in force.
    max_hints : int
        Limit of one generation of the hints of a service; the host keeps
        ``HOST_GENERATIONS`` times as many in all.
    """

    def __init__(self, subscriber: Subscriber, max_hints: int = MAX_HINTS) -> None:
        self.name = subscriber.identity.name
        self.subscriber = subscriber
        self.table = Table(subscriber.view)
        self.peers = KnownPeers(self.table)
        self.counters: Counter[str] = Counter()
        self.routes: dict[str, ServiceRoutes] = {}
        self._max_hints = max_hints
        self._stalls = StallDetector()
        self._rotated_at = float("-inf")
        self._stopping_at = float("inf")
        self._stopped_at = float("inf")
        self.streams: dict[bytes, StreamOpened] = {}

    @property
    def hint_count(self) -> int:
        """Number of hints of all services."""
        return sum(len(routes) for routes in self.routes.values())

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process an event and return the effects to carry out."""
        match event:
            case Datagram():
                return self.forward(event, now)
            case PeerMessage():
                return self._handle_peer(event)
            case LinkMessage():
                effects = self.subscriber.handle(event, now)
                return effects + self._update_table()
            case StreamOpened():
                return self._add_stream(event)
            case StreamEnded(flow=flow):
                self.streams.pop(flow, None)
                return []
            case Tick():
                return self._tick(now)
            case Stop():
                return self._begin_stop(now)
        raise AssertionError(f"unexpected event {event!r}")

    # Callers' packets ------------------------------------------------------

    def forward(self, event: Datagram, now: float) -> list[Effect]:
        """Send a caller's datagram to the agent of its flow."""
        routes = self.routes.get(event.service)
        if routes is None:
            return self._drop(Reason.NO_UPSTREAM)
        protocol = routes.service.service.protocol
        if protocol == Protocol.REQUEST:
            return self._forward_request(routes, event, now)
        source = (event.source[0], event.source[1])
        hint = routes.find(source)
        if hint is None:
            return self._drop(Reason.NO_UPSTREAM)
        phase = classify_datagram(protocol, event.payload)
        self.counters["forwarded"] += 1
        packet = routes.make_packet(
            hint.flow, source, hint.route.member, phase, event.payload
        )
        return [SendPeer(hint.route.address, packet)]

    def _forward_request(
        self, routes: ServiceRoutes, event: Datagram, now: float
    ) -> list[Effect]:
        if self._stalls.is_stale(now):
            # Its claim may have expired already, so that it would run twice.
            return self._drop(Reason.STALLED)
        request = decode_request(event.payload, event.source[0])
        name = routes.service.service.name
        if not isinstance(request, Request) or request.service != name:
            return self._drop(Reason.MALFORMED)
        flow = hash_request(request.service, request.caller, request.number)
        home = routes.service.get_home(find_bucket(flow))
        if home is None:
            self.counters[f"dropped_{Reason.NO_UPSTREAM}"] += 1
            return [refuse_request(request, event.source)]
        self.counters["forwarded"] += 1
        source = (event.source[0], event.source[1])
        packet = routes.make_packet(flow, source, home, Phase.OPENING, event.payload)
        return [SendPeer(Address(home.host, home.port), packet)]

    # Streams ---------------------------------------------------------------

    def open_stream(self, name: str, caller: Source) -> StreamRedirect | Reason:
        """Return where to open a caller's stream, or why it is refused."""
        routes = self.routes.get(name)
        if routes is None or self._stopping_at < float("inf"):
            return Reason.STOPPING if routes else Reason.NO_UPSTREAM
        flow = hash_flow(name, caller[0], caller[1])
        home = routes.service.get_home(find_bucket(flow))
        if home is None or not home.stream_port:
            return Reason.NO_UPSTREAM
        packet = routes.make_packet(flow, caller, home, Phase.OPENING, b"")
        host = self.subscriber.announcement
        opening = StreamOpen(packet, host.host, host.port)
        return StreamRedirect(opening, home.host, home.stream_port)

    def _add_stream(self, event: StreamOpened) -> list[Effect]:
        self.streams[event.flow] = event
        self.counters["streams_opened"] += 1
        return []

    def _end_orphaned_streams(self, previous: Table) -> list[Effect]:
        """End the streams whose owner has left the table.

        Its zone was taken out, or it is no longer a member. A stream whose owner
        is newer than the table is kept.
        """
        effects: list[Effect] = []
        for flow, stream in self.streams.items():
            if _has_owner(previous, stream) and not _has_owner(self.table, stream):
                effects.append(EndStream(flow))
        self.counters["streams_unserved"] += len(effects)
        return effects

    # Messages of agents ----------------------------------------------------

    def match_answer(self, answer: Answer, source: Address) -> Source | None:
        """Return the caller of an answer that matches the caller's hint.

        This is the fast path of answers: it compares with the hint every field
        that `handle` checks otherwise. An answer that does not match may still
        be right, and `handle` has to process it. One that matches is counted
        by the daemon that sends it on.
        """
        routes = self.routes.get(answer.service)
        if routes is None:
            return None
        version = routes.version
        caller = (answer.caller_host, answer.caller_port)
        hint = routes.young.get(caller)
        if hint is None or answer.version != version:
            return None
        route = hint.route
        start = route.flow_offset
        flow = hint.head[start : start + FLOW_BYTES]
        if route.version != version or flow != answer.flow or source != route.address:
            return None
        member = route.member
        if member.incarnation != answer.incarnation or member.name != answer.owner:
            return None
        return caller

    def _handle_peer(self, event: PeerMessage) -> list[Effect]:
        source = event.source
        match event.message:
            case Answer() as answer:
                return self._handle_answer(answer, source)
            case Refusal() as refusal:
                return self._handle_refusal(refusal, source)
            case Delta() as delta:
                if not self.peers.can_accept_delta(source, delta):
                    return self._drop(Reason.UNKNOWN_SENDER)
                effects = self.subscriber.apply(delta, source[0])
                return effects + self._update_table()
            case DeltaRequest() as request:
                if not self.peers.is_known(source):
                    return self._drop(Reason.UNKNOWN_SENDER)
                delta = make_delta(self.subscriber.view, request.version)
                return [SendPeer(source, delta)]
        return self._drop(Reason.MALFORMED)

    def _handle_answer(self, answer: Answer, source: Address) -> list[Effect]:
        routes = self.routes.get(answer.service)
        if routes is None:
            return self._drop(Reason.WRONG_SERVICE)
        service = routes.service
        reason = self._check_sender(
            service, answer.owner, answer.incarnation, answer.version, source
        )
        if reason is not None:
            return self._drop(reason)
        if not _is_consistent(service, answer):
            return self._drop(Reason.MALFORMED)
        owner = service.by_name.get(answer.owner)
        caller = (answer.caller_host, answer.caller_port)
        if owner is not None and service.service.protocol != Protocol.REQUEST:
            self._learn_owner(routes, answer, caller, owner)
        self.counters["answered"] += 1
        send = SendCaller(answer.service, Address(*caller), answer.payload)
        return [send, *self._sync_versions(answer.version, source)]

    def _check_sender(
        self,
        service: ServiceTable,
        name: str,
        incarnation: int,
        version: int,
        source: Address,
    ) -> Reason | None:
        """Return why a message of an agent is dropped; None if it is accepted.

        An agent that is not in the table may be newer than the table. Then the
        version in its message is newer too.
        """
        owner = service.by_name.get(name)
        if owner is not None and owner.incarnation == incarnation:
            is_own_address = source[0] == owner.host and source[1] == owner.port
            return None if is_own_address else Reason.WRONG_SOURCE
        if owner is not None and owner.incarnation > incarnation:
            return Reason.WRONG_INCARNATION
        if version > self.table.version:
            self.counters["owners_not_yet_known"] += 1
            return None
        return Reason.WRONG_INCARNATION

    def _learn_owner(
        self, routes: ServiceRoutes, answer: Answer, caller: Source, owner: Member
    ) -> None:
        if owner.incarnation != answer.incarnation:
            return
        hint = routes.peek(caller)
        if hint is not None and hint.route.member is owner:
            return
        routes.learn(caller, answer.flow, owner)

    def _handle_refusal(self, refusal: Refusal, source: Address) -> list[Effect]:
        routes = self.routes.get(refusal.service)
        if routes is None:
            return self._drop(Reason.WRONG_SERVICE)
        reason = self._check_sender(
            routes.service,
            refusal.agent,
            refusal.incarnation,
            refusal.version,
            source,
        )
        if reason is not None:
            return self._drop(reason)
        self.counters[f"refused_{refusal.reason}"] += 1
        routes.discard((refusal.caller_host, refusal.caller_port), refusal.flow)
        return self._sync_versions(refusal.version, source)

    def _sync_versions(self, version: int, source: Address) -> list[Effect]:
        """Request the sender's view if it is newer, or send it the newer one."""
        if version == self.table.version:
            return []
        if version > self.table.version:
            self.counters["deltas_asked"] += 1
            self.peers.record_request(source)
            request = DeltaRequest(self.subscriber.identity, self.table.version)
            return [SendPeer(source, request)]
        self.counters["deltas_pushed"] += 1
        return [SendPeer(source, make_delta(self.subscriber.view, version))]

    # Versions and time -----------------------------------------------------

    def _update_table(self) -> list[Effect]:
        view = self.subscriber.view
        if view.version == self.table.version:
            return []
        assert view.version > self.table.version, "versions only go up"
        previous = self.table
        self.table = Table(view, previous)
        self.peers.update(self.table)
        routes: dict[str, ServiceRoutes] = {}
        for name, service in self.table.services.items():
            service_routes = self.routes.get(name)
            if service_routes is None:
                service_routes = ServiceRoutes(
                    self.name, service, view.version, self._max_hints
                )
            service_routes.update(service, view.version)
            routes[name] = service_routes
        self.routes = routes
        return self._end_orphaned_streams(previous)

    def _begin_stop(self, now: float) -> list[Effect]:
        """Leave the membership; streams continue until they end."""
        self._stopping_at = now + STOP_LINGER_S
        self._stopped_at = now + MAX_STREAM_LINGER_S
        return [StopAccepting(), *self.subscriber.leave()]

    def _tick(self, now: float) -> list[Effect]:
        self._stalls.is_stale(now)
        if now >= self._stopping_at:
            is_done = not self.streams or now >= self._stopped_at
            return [Stopped()] if is_done else []
        if self._stopping_at < float("inf"):
            return []
        if now - self._rotated_at >= ROTATION_INTERVAL_S:
            self._rotated_at = now
            for routes in self.routes.values():
                self.counters["hints_forgotten"] += routes.rotate()
        self._enforce_hint_limit()
        return self.subscriber.tick(now)

    def _enforce_hint_limit(self) -> None:
        """Limit the hints of the whole host, over all its services.

        The service with the most hints drops some, those of idle flows first.
        """
        while self.hint_count > self._max_hints * HOST_GENERATIONS:
            routes = max(self.routes.values(), key=len)
            self.counters["hints_forgotten"] += routes.rotate()

    def _drop(self, reason: Reason) -> list[Effect]:
        self.counters[f"dropped_{reason}"] += 1
        return []


def _is_consistent(service: ServiceTable, answer: Answer) -> bool:
    """Return whether an answer names a valid caller, and the caller's flow."""
    host, port = answer.caller_host, answer.caller_port
    if not is_address(host, port):
        return False
    if service.service.protocol == Protocol.REQUEST:
        return True
    return hash_flow(service.service.name, host, port) == answer.flow


def _has_owner(table: Table, stream: StreamOpened) -> bool:
    service = table.services.get(stream.service)
    if service is None:
        return False
    owner = service.by_name.get(stream.owner.name)
    return owner is not None and owner.incarnation == stream.owner.incarnation
