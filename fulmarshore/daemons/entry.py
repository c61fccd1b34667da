"""The entry daemon: service sockets towards callers, one socket to agents."""

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
    draw_incarnation,
    format_link,
    log,
    measure_age,
)
from fulmarshore.daemons.streams import CallerStreams
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.entry import EntryCore
from fulmarshore.routing.hints import ServiceRoutes, Source


class Fabric(enum.StrEnum):
    """How the fabric hands datagrams to entry hosts."""

    DIRECT = "direct"
    PROXY = "proxy"


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of an entry host.

    Parameters
    ----------
    data : Address
        Where agents reach this entry host.
    service_host : str or None
        Address on which the services' ports are bound in place of the
        services' own addresses.
    fabric : Fabric
        Whether datagrams come as they are or behind a PROXY v2 header.
    """

    data: Address
    service_host: str | None = None
    fabric: Fabric = Fabric.DIRECT


class ServiceSocket:
    """The socket of one service on this entry host."""

    __slots__ = ("service", "socket", "address", "fabric", "is_plain", "is_v6")

    def __init__(self, service: Service, socket: DatagramSocket) -> None:
        self.service = service
        self.socket = socket
        self.address = Address(service.host, service.port)
        self.fabric: Address | None = None
        is_known = service.protocol in (Protocol.OPAQUE, Protocol.QUIC)
        self.is_plain = is_known
        self.is_v6 = ":" in service.host


class EntryDaemon(Daemon):
    """Runs the core of an entry host on real sockets."""

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__("entry", settings)
        self.core: EntryCore | None = None
        self._data: PeerSocket | None = None
        self._data_address: Address | None = None
        self._sockets: dict[str, ServiceSocket] = {}
        self._streams: CallerStreams | None = None
        self._version = -1
        self._is_direct = settings.fabric == Fabric.DIRECT

    def open(self) -> None:
        """Open the data socket and create the core."""
        loop = asyncio.get_running_loop()
        self._data = PeerSocket(loop, self._take_peers, self.counters, self.sealer)
        self._data_address = self._data.bind(self.settings.data)
        self._begin(draw_incarnation())

    def _begin(self, incarnation: int) -> None:
        """Create the core of a new life of this process."""
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
        self._data.close()
        for held in self._sockets.values():
            held.socket.close()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Hand an event to the core and follow the services declared."""
        effects = self.core.handle(event, now)
        self.watch_flows(event, effects)
        if self.core.table.version != self._version:
            self._version = self.core.table.version
            self._data.close_unknown_channels(self.core.peers.is_known)
            self._follow_services()
        return effects

    def carry_out(self, effect: Effect) -> None:
        """Send to callers and agents."""
        match effect:
            case SendPeer(destination=destination, message=message):
                self._data.send(message, destination)
            case SendCaller(service=service, destination=caller, payload=payload):
                self._send_caller(service, caller, payload)
            case EndStream(flow=flow):
                self._streams.table.abort(flow)
            case IncarnationOutdated(newest=newest):
                self.note_outdated(newest)
                self._begin(newest + 1)
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

    def _take_peers(self, messages: Messages, now: float) -> None:
        """Send the answers of known flows to their callers, handle the rest."""
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
            held = sockets.get(message.service)
            if held is None or not self._is_direct:
                self._send_caller(message.service, caller, message.payload)
                continue
            ready.append((held.socket, message.payload, caller))
        self._send_ready(ready)
        # A counter costs as much as half of the check of an answer.
        self.core.counters["answered"] += answered

    def _send_ready(self, ready: list[tuple[DatagramSocket, bytes, Source]]) -> None:
        """Send what is ready in its order, before anything else is done."""
        for sock, payload, caller in ready:
            try:
                sock.send_now_to(payload, caller)
            except SEND_ERRORS as error:
                sock.record_send_error(error)
        ready.clear()

    def _send_caller(self, service: str, caller: Source, payload: bytes) -> None:
        held = self._sockets.get(service)
        if held is None:
            self.counters["dropped_no_service_socket"] += 1
            return
        if self._is_direct:
            held.socket.send(payload, caller)
            return
        if held.fabric is None:
            self.counters["dropped_no_fabric"] += 1
            return
        header = encode_header(Address(*caller), held.address)
        held.socket.send(header + payload, held.fabric)

    def _follow_services(self) -> None:
        declared: dict[str, Service] = {}
        streams: dict[str, Service] = {}
        for name, table in self.core.table.services.items():
            is_stream = table.service.protocol == Protocol.TCP
            (streams if is_stream else declared)[name] = table.service
        for error in self._streams.follow(streams, self.settings.service_host):
            self.counters["service_bind_failed"] += 1
            log.error("service address: {}", error)
        for name, held in list(self._sockets.items()):
            if declared.get(name) == held.service:
                continue
            held.socket.close()
            del self._sockets[name]
        for name, service in declared.items():
            if name in self._sockets:
                continue
            self._open_service(service)

    def _open_service(self, service: Service) -> None:
        def receive_batch(batch: Batch) -> None:
            self._drain_callers(held, batch)

        loop = asyncio.get_running_loop()
        sock = DatagramSocket(loop, receive_batch=receive_batch, counters=self.counters)
        held = ServiceSocket(service, sock)
        host = self.settings.service_host or service.host
        try:
            sock.bind(Address(host, service.port))
        except OSError as error:
            self.counters["service_bind_failed"] += 1
            log.error("service {} {}:{}: {}", service.name, host, service.port, error)
            sock.close()
            return
        self._sockets[service.name] = held

    def _drain_callers(self, held: ServiceSocket, batch: Batch) -> None:
        """Forward datagrams that waited on the socket of a service.

        Packets of known flows go out as the prepared head and the payload;
        all others take the way through the core's events. Receiving, looking
        up and sending each have a loop of their own: the kernel's code and
        the interpreter's then push each other out of the caches once a batch
        and not with each packet.
        """
        name = held.service.name
        routes = self.core.routes.get(name)
        if routes is None or not held.is_plain:
            for frame, source in batch:
                self._take_caller(held, frame, source)
            return
        if not self._is_direct:
            batch = self._take_headers(held, batch)
        elif held.is_v6:
            # Flow label and scope are no part of a caller's address here.
            batch = [(payload, source[:2]) for payload, source in batch]
        is_opaque = held.service.protocol == Protocol.OPAQUE
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
                # A full generation may have made room for a new one.
                find_young = routes.young.get
            size = len(payload)
            has_default_phase = is_opaque or routes.has_default_phase(payload)
            if hint is None or size >= BIN_HEADER_COUNT or not has_default_phase:
                forwarded += len(ready)
                self._data.send_all(ready)
                ready.clear()
                self.dispatch(Datagram(name, source, payload))
                find_young = routes.young.get
                continue
            frame = join((hint.head, bin_headers[size], payload))
            ready.append((frame, hint.route.address))
        self._data.send_all(ready)
        self.core.counters["forwarded"] += forwarded + len(ready)
        self._watch_renewed(name, routes)

    def _watch_renewed(self, service: str, routes: ServiceRoutes) -> None:
        """Put the flows that are new here on their time line."""
        while routes.resolved:
            resolved = routes.resolved.popleft()
            self.watch_forwarded(service, resolved.flow, resolved.route.member.name)

    def _take_headers(self, held: ServiceSocket, batch: Batch) -> Batch:
        """Return payloads and callers in place of frames and fabric."""
        named: Batch = []
        for frame, source in batch:
            parts = self._take_header(held, frame, source)
            if parts is not None:
                named.append((parts[1], parts[0]))
        return named

    def _take_caller(self, held: ServiceSocket, frame: bytes, source: Address) -> None:
        if self._is_direct:
            self.dispatch(Datagram(held.service.name, source, frame))
            return
        named = self._take_header(held, frame, source)
        if named is not None:
            self.dispatch(Datagram(held.service.name, *named))

    def _take_header(
        self, held: ServiceSocket, frame: bytes, source: Address
    ) -> tuple[Address, bytes] | None:
        """Return the caller and the payload behind a PROXY header."""
        parts = split_header(frame, source[0])
        if isinstance(parts, Malformed):
            self.counters["dropped_malformed"] += 1
            return None
        caller = decode_header(parts[0])
        if isinstance(caller, Malformed):
            self.counters["dropped_malformed"] += 1
            return None
        held.fabric = source
        return caller, parts[1]
