"""Daemon of an entry host: a socket per service for callers, one for agents."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter

from fulmarshore.adapters.datagrams import SEND_ERRORS, Batch, DatagramSocket
from fulmarshore.adapters.metrics import Gauges
from fulmarshore.adapters.peers import Messages, PeerSocket
from fulmarshore.adapters.proxy import decode_header, encode_header, split_header
from fulmarshore.core.codec import BIN_HEADER_COUNT, BIN_HEADERS
from fulmarshore.core.records import (
    Address,
    Answer,
    Datagram,
    Effect,
    EndStream,
    EntryHost,
    Event,
    Identity,
    IncarnationOutdated,
    Malformed,
    PeerMessage,
    Protocol,
    SendCaller,
    SendPeer,
    Service,
    StopAccepting,
)
from fulmarshore.daemons.process import (
    Daemon,
    ProcessSettings,
    format_link,
    log,
    make_incarnation,
    measure_age,
)
from fulmarshore.daemons.streams import CallerStreams
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.entry import EntryCore
from fulmarshore.routing.hints import ServiceRoutes, Source


class Fabric(enum.StrEnum):
    """Framing of the datagrams that the fabric delivers to entry hosts."""

    DIRECT = "direct"
    PROXY = "proxy"


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of an entry host.

    Parameters
    ----------
    data : Address
        Address of the data socket, to which agents send.
    service_host : str or None
        Address on which the services' ports are bound, instead of the
        services' own addresses.
    fabric : Fabric
        Whether datagrams come unchanged or behind a PROXY v2 header.
    """

    data: Address
    service_host: str | None = None
    fabric: Fabric = Fabric.DIRECT


class ServiceSocket:
    """Socket of a service that receives callers' datagrams."""

    __slots__ = ("service", "socket", "address", "fabric", "has_fast_path", "is_v6")

    def __init__(self, service: Service, socket: DatagramSocket) -> None:
        self.service = service
        self.socket = socket
        self.address = Address(service.host, service.port)
        self.fabric: Address | None = None
        is_known = service.protocol in (Protocol.OPAQUE, Protocol.QUIC)
        self.has_fast_path = is_known
        self.is_v6 = ":" in service.host


class EntryDaemon(Daemon):
    """Runs the core of an entry host on real sockets."""

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__("entry", settings)
        self.core: EntryCore | None = None
        self._peer_socket: PeerSocket | None = None
        self._data_address: Address | None = None
        self._sockets: dict[str, ServiceSocket] = {}
        self._streams: CallerStreams | None = None
        self._version = -1
        self._is_direct = settings.fabric == Fabric.DIRECT

    def open(self) -> None:
        """Open the data socket and create the core."""
        loop = asyncio.get_running_loop()
        self._peer_socket = PeerSocket(
            loop, self._handle_peer_messages, self.counters, self.sealer
        )
        self._data_address = self._peer_socket.bind(self.settings.data)
        self._create_core(make_incarnation())

    def _create_core(self, incarnation: int) -> None:
        """Create the core with a new incarnation."""
        if self._streams is not None:
            self._streams.close()
        data = self._data_address
        identity = Identity(self.settings.name, incarnation)
        announcement = EntryHost(
            identity.name, identity.incarnation, self.settings.zone, *data
        )
        controls = [format_link(address) for address in self.settings.controls]
        region = self.settings.region
        subscriber = Subscriber(identity, announcement, controls, self.random, region)
        self.core = EntryCore(subscriber)
        self._streams = CallerStreams(
            self.core, self.dispatch, self.counters, self._is_direct, self.sealer
        )

    def list_addresses(self) -> list[Address]:
        """Return the addresses of links and of the data path."""
        return [*self.settings.controls, self.settings.data]

    def close(self) -> None:
        """Close all sockets."""
        self._streams.close()
        self._peer_socket.close()
        for service_socket in self._sockets.values():
            service_socket.socket.close()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Pass an event to the core; update the sockets if the table has changed."""
        effects = self.core.handle(event, now)
        self.record_flow_events(event, effects)
        if self.core.table.version != self._version:
            self._version = self.core.table.version
            self._peer_socket.close_unknown_channels(self.core.peers.is_known)
            self._update_service_sockets()
        return effects

    def carry_out(self, effect: Effect) -> None:
        """Send to callers and agents."""
        match effect:
            case SendPeer(destination=destination, message=message):
                self._peer_socket.send(message, destination)
            case SendCaller(service=service, destination=caller, payload=payload):
                self._send_caller(service, caller, payload)
            case EndStream(flow=flow):
                self._streams.table.abort(flow)
            case IncarnationOutdated(newest=newest):
                self.record_raised_incarnation(newest)
                self._create_core(newest + 1)
            case StopAccepting():
                self._streams.stop_accepting()

    def read_gauges(self) -> Gauges:
        """Return the current values for the metrics."""
        return {
            "version": self.core.table.version,
            "services": len(self._sockets),
            "lease_age_seconds": measure_age(self.core.subscriber.lease_renewed_at),
            "hints": self.core.hint_count,
            "streams": len(self._streams.table),
        }

    def list_counters(self) -> list[Counter[str]]:
        """Return the counters for the metrics."""
        return [self.counters, self.core.counters, self.core.subscriber.counters]

    def _handle_peer_messages(self, messages: Messages, now: float) -> None:
        """Send answers of known flows directly; pass the rest to the core."""
        match_answer = self.core.match_answer
        sockets = self._sockets
        ready: list[tuple[DatagramSocket, bytes, Source]] = []
        answered = 0
        for message, source in messages:
            is_answer = type(message) is Answer
            caller = match_answer(message, source) if is_answer else None
            if caller is None:
                self._send_ready(ready)
                self.execute(self.handle(PeerMessage(source, message), now))
                match_answer = self.core.match_answer
                continue
            answered += 1
            service_socket = sockets.get(message.service)
            if service_socket is None or not self._is_direct:
                self._send_caller(message.service, caller, message.payload)
                continue
            ready.append((service_socket.socket, message.payload, caller))
        self._send_ready(ready)
        # Counted once a batch: counting each answer costs half as much as checking it.
        self.core.counters["answered"] += answered

    def _send_ready(self, ready: list[tuple[DatagramSocket, bytes, Source]]) -> None:
        """Send queued payloads in order and clear the queue."""
        for sock, payload, caller in ready:
            try:
                sock.send_now_to(payload, caller)
            except SEND_ERRORS as error:
                sock.record_send_error(error)
        ready.clear()

    def _send_caller(self, service: str, caller: Source, payload: bytes) -> None:
        service_socket = self._sockets.get(service)
        if service_socket is None:
            self.counters["dropped_no_service_socket"] += 1
            return
        if self._is_direct:
            service_socket.socket.send(payload, caller)
            return
        if service_socket.fabric is None:
            self.counters["dropped_no_fabric"] += 1
            return
        header = encode_header(Address(*caller), service_socket.address)
        service_socket.socket.send(header + payload, service_socket.fabric)

    def _update_service_sockets(self) -> None:
        declared: dict[str, Service] = {}
        streams: dict[str, Service] = {}
        for name, table in self.core.table.services.items():
            is_stream = table.service.protocol == Protocol.TCP
            (streams if is_stream else declared)[name] = table.service
        for error in self._streams.update_listeners(
            streams, self.settings.service_host
        ):
            self.counters["service_bind_failed"] += 1
            log.error("cannot listen for a TCP service: {}", error)
        for name, service_socket in list(self._sockets.items()):
            if declared.get(name) == service_socket.service:
                continue
            service_socket.socket.close()
            del self._sockets[name]
        for name, service in declared.items():
            if name in self._sockets:
                continue
            self._open_service(service)

    def _open_service(self, service: Service) -> None:
        def receive_batch(batch: Batch) -> None:
            self._forward_caller_batch(service_socket, batch)

        loop = asyncio.get_running_loop()
        sock = DatagramSocket(loop, receive_batch=receive_batch, counters=self.counters)
        service_socket = ServiceSocket(service, sock)
        host = self.settings.service_host or service.host
        try:
            sock.bind(Address(host, service.port))
        except OSError as error:
            self.counters["service_bind_failed"] += 1
            log.error(
                "cannot bind service {} to {}:{}: {}",
                service.name,
                host,
                service.port,
                error,
            )
            sock.close()
            return
        self._sockets[service.name] = service_socket

    def _forward_caller_batch(
        self, service_socket: ServiceSocket, batch: Batch
    ) -> None:
        """Forward datagrams that waited on the socket of a service.

        Packets of known flows are sent as a prebuilt header and the payload;
        all others pass through the core as events. Receiving, lookup and
        sending are separate loops, so that the code of the kernel and of the
        interpreter evict each other from the CPU caches once per batch rather
        than once per packet.
        """
        name = service_socket.service.name
        routes = self.core.routes.get(name)
        if routes is None or not service_socket.has_fast_path:
            for frame, source in batch:
                self._handle_caller_datagram(service_socket, frame, source)
            return
        if not self._is_direct:
            batch = self._strip_headers(service_socket, batch)
        elif service_socket.is_v6:
            # Drop flow label and scope: a caller is identified by host and port.
            batch = [(payload, source[:2]) for payload, source in batch]
        is_opaque = service_socket.service.protocol == Protocol.OPAQUE
        version = routes.version
        find_young = routes.young.get
        bin_headers = BIN_HEADERS
        join = b"".join
        ready: Batch = []
        forwarded = 0
        for payload, source in batch:
            hint = find_young(source)
            if hint is None or hint.route.version != version:
                hint = routes.find(source)
                # A full generation may have been replaced by a new one.
                find_young = routes.young.get
            size = len(payload)
            has_default_phase = is_opaque or routes.has_default_phase(payload)
            if hint is None or size >= BIN_HEADER_COUNT or not has_default_phase:
                forwarded += len(ready)
                self._peer_socket.send_all(ready)
                ready.clear()
                self.dispatch(Datagram(name, source, payload))
                find_young = routes.young.get
                continue
            frame = join((hint.head, bin_headers[size], payload))
            ready.append((frame, hint.route.address))
        self._peer_socket.send_all(ready)
        self.core.counters["forwarded"] += forwarded + len(ready)
        self._record_resolved_flows(name, routes)

    def _record_resolved_flows(self, service: str, routes: ServiceRoutes) -> None:
        """Write flows newly routed to their home agent to the flow time line."""
        while routes.resolved:
            resolved = routes.resolved.popleft()
            self.record_forwarded_flow(
                service, resolved.flow, resolved.route.member.name
            )

    def _strip_headers(self, service_socket: ServiceSocket, batch: Batch) -> Batch:
        """Return payloads and callers of frames with PROXY headers; drop malformed."""
        named: Batch = []
        for frame, source in batch:
            parts = self._strip_header(service_socket, frame, source)
            if parts is not None:
                named.append((parts[1], parts[0]))
        return named

    def _handle_caller_datagram(
        self, service_socket: ServiceSocket, frame: bytes, source: Address
    ) -> None:
        if self._is_direct:
            self.dispatch(Datagram(service_socket.service.name, source, frame))
            return
        named = self._strip_header(service_socket, frame, source)
        if named is not None:
            self.dispatch(Datagram(service_socket.service.name, *named))

    def _strip_header(
        self, service_socket: ServiceSocket, frame: bytes, source: Address
    ) -> tuple[Address, bytes] | None:
        """Return the caller and payload of a frame with a PROXY header."""
        parts = split_header(frame, source[0])
        if isinstance(parts, Malformed):
            self.counters["dropped_malformed"] += 1
            return None
        caller = decode_header(parts[0])
        if isinstance(caller, Malformed):
            self.counters["dropped_malformed"] += 1
            return None
        service_socket.fabric = source
        return caller, parts[1]
