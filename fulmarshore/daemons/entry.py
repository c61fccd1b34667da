"""The entry daemon: service sockets towards callers, one socket to agents."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter

from fulmarshore.adapters.datagrams import DatagramSocket
from fulmarshore.adapters.metrics import Gauges
from fulmarshore.adapters.peers import PeerSocket
from fulmarshore.adapters.proxy import decode_header, encode_header, split_header
from fulmarshore.core.records import (
    Address,
    Datagram,
    Effect,
    EntryHost,
    Event,
    Identity,
    Malformed,
    Protocol,
    SendCaller,
    SendPeer,
    Service,
)
from fulmarshore.daemons.process import (
    Daemon,
    ProcessSettings,
    draw_incarnation,
    format_link,
    log,
)
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.entry import EntryCore


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

    __slots__ = ("service", "socket", "fabric")

    def __init__(self, service: Service, socket: DatagramSocket) -> None:
        self.service = service
        self.socket = socket
        self.fabric: Address | None = None


class EntryDaemon(Daemon):
    """Runs the core of an entry host on real sockets."""

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__("entry", settings)
        self.core: EntryCore | None = None
        self._data: PeerSocket | None = None
        self._sockets: dict[str, ServiceSocket] = {}
        self._version = -1

    def open(self) -> None:
        """Open the data socket and create the core."""
        loop = asyncio.get_running_loop()
        self._data = PeerSocket(loop, self.dispatch, self.counters)
        data = self._data.bind(self.settings.data)
        identity = Identity(self.settings.name, draw_incarnation())
        announcement = EntryHost(
            identity.name, identity.incarnation, self.settings.zone, *data
        )
        controls = [format_link(address) for address in self.settings.controls]
        subscriber = Subscriber(identity, announcement, controls, self.random)
        self.core = EntryCore(subscriber)

    def close(self) -> None:
        """Close all sockets."""
        self._data.close()
        for held in self._sockets.values():
            held.socket.close()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Hand an event to the core and follow the services declared."""
        effects = self.core.handle(event, now)
        if self.core.table.version != self._version:
            self._version = self.core.table.version
            self._follow_services()
        return effects

    def carry_out(self, effect: Effect) -> None:
        """Send to callers and agents."""
        match effect:
            case SendPeer(destination=destination, message=message):
                self._data.send(message, destination)
            case SendCaller():
                self._send_caller(effect)

    def read_gauges(self) -> Gauges:
        """Return the current values for the metrics."""
        return {
            "version": self.core.table.version,
            "services": len(self._sockets),
            "hints": self.core.hint_count,
        }

    def list_counters(self) -> list[Counter[str]]:
        """Return the counters for the metrics."""
        return [self.counters, self.core.counters, self.core.subscriber.counters]

    def _send_caller(self, effect: SendCaller) -> None:
        held = self._sockets.get(effect.service)
        if held is None:
            self.counters["dropped_no_service_socket"] += 1
            return
        if self.settings.fabric == Fabric.DIRECT:
            held.socket.send(effect.payload, effect.destination)
            return
        if held.fabric is None:
            self.counters["dropped_no_fabric"] += 1
            return
        service = Address(held.service.host, held.service.port)
        header = encode_header(effect.destination, service)
        held.socket.send(header + effect.payload, held.fabric)

    def _follow_services(self) -> None:
        declared = {
            name: service.service
            for name, service in self.core.table.services.items()
            if service.service.protocol != Protocol.TCP
        }
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
        loop = asyncio.get_running_loop()

        def receive(frame: bytes, source: Address) -> None:
            self._take_caller(held, frame, source)

        sock = DatagramSocket(loop, receive)
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

    def _take_caller(self, held: ServiceSocket, frame: bytes, source: Address) -> None:
        if self.settings.fabric == Fabric.DIRECT:
            self.dispatch(Datagram(held.service.name, source, frame))
            return
        parts = split_header(frame, source[0])
        if isinstance(parts, Malformed):
            self.counters["dropped_malformed"] += 1
            return
        caller = decode_header(parts[0])
        if isinstance(caller, Malformed):
            self.counters["dropped_malformed"] += 1
            return
        held.fabric = source
        self.dispatch(Datagram(held.service.name, caller, parts[1]))
