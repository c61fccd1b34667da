"""The agent daemon: one data socket, and one upstream socket for each flow."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter

from fulmarshore.adapters.datagrams import SEND_ERRORS, Batch, DatagramSocket
from fulmarshore.adapters.endpoints import EndpointPoller
from fulmarshore.adapters.framing import FramedConnection
from fulmarshore.adapters.listener import Listener
from fulmarshore.adapters.metrics import Gauges
from fulmarshore.adapters.peers import Messages, PeerSocket
from fulmarshore.core.codec import BIN_HEADER_COUNT, BIN_HEADERS
from fulmarshore.core.records import (
    Address,
    CloseUpstream,
    Effect,
    Event,
    Forward,
    HintSource,
    Identity,
    IncarnationOutdated,
    LocalPort,
    Member,
    OpenUpstream,
    PeerMessage,
    Protocol,
    Restart,
    SendPeer,
    SendUpstream,
    StreamEnded,
    UpstreamDatagram,
    UpstreamGone,
    UpstreamOpened,
)
from fulmarshore.daemons.process import (
    Daemon,
    ProcessSettings,
    draw_incarnation,
    format_link,
    measure_age,
)
from fulmarshore.daemons.streams import AgentStreams
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.table import Table


class AgentSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    Parameters
    ----------
    data : Address
        Where entry hosts and other agents reach this agent.
    service : str
        The service of the upstream.
    upstream : Address
        Where the upstream listens.
    slots, connections : int
        What the warm upstream bears.
    health, load : str or None
        URLs of the upstream's own endpoints.
    """

    data: Address
    service: str
    upstream: Address
    slots: int = 1
    connections: int = 2000
    health: str | None = None
    load: str | None = None


class AgentDaemon(Daemon):
    """Runs the core of an agent on real sockets."""

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__("agent", settings)
        self.core: AgentCore | None = None
        self._data: PeerSocket | None = None
        self._data_address: Address | None = None
        self._upstreams: dict[bytes, DatagramSocket] = {}
        self._streams: AgentStreams | None = None
        self._listener: Listener | None = None
        self._table: Table | None = None
        self._serves_streams = False
        self._pollers: list[EndpointPoller] = []

    def open(self) -> None:
        """Open the data socket and create the core."""
        loop = asyncio.get_running_loop()
        self._data = PeerSocket(loop, self._take_peers, self.counters, self.sealer)
        data = self._data.bind(self.settings.data)
        self._listener = self._listen(data)
        loop.add_signal_handler(signal.SIGHUP, self._restart)
        self._data_address = data
        self._begin(draw_incarnation())
        self._open_pollers()

    def _open_pollers(self) -> None:
        """Ask the endpoints of the upstream that are set."""
        settings = self.settings
        urls = {HintSource.HEALTH: settings.health, HintSource.LOAD: settings.load}
        for source, url in urls.items():
            if url is None:
                continue
            shared = (self.dispatch, self.counters, self.random)
            poller = EndpointPoller(source, url, *shared)
            poller.open()
            self._pollers.append(poller)

    def _begin(self, incarnation: int) -> None:
        """Create the core of a new life of this process."""
        if self._streams is not None:
            self._streams.close()
        data = self._data_address
        settings = self.settings
        identity = Identity(settings.name, incarnation)
        announcement = Member(
            identity.name,
            identity.incarnation,
            settings.service,
            settings.zone,
            data.host,
            data.port,
            settings.slots,
            settings.connections,
            stream_port=self._listener.address.port,
        )
        controls = [format_link(address) for address in settings.controls]
        region = settings.region
        subscriber = Subscriber(identity, announcement, controls, self.random, region)
        self.core = AgentCore(subscriber)
        self._streams = AgentStreams(
            self.core,
            settings.upstream,
            self.dispatch,
            self.dispatch,
            self.counters,
            self.sealer,
        )

    def list_addresses(self) -> list[Address]:
        """Return the addresses of links and of the data path."""
        return [*self.settings.controls, self.settings.data]

    def close(self) -> None:
        """Close all sockets."""
        for poller in self._pollers:
            poller.close()
        self._listener.close()
        self._streams.close()
        self._data.close()
        for sock in self._upstreams.values():
            sock.close()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Hand an event to the core and follow the service's protocol."""
        effects = self.core.handle(event, now)
        self.watch_flows(event, effects)
        if self.core.table is not self._table:
            self._table = self.core.table
            self._data.close_unknown_channels(self.core.peers.is_known)
            service = self.core.service
            is_stream = service is not None and service.service.protocol == Protocol.TCP
            self._serves_streams = is_stream
        return effects

    def carry_out(self, effect: Effect) -> None:
        """Send to entry hosts, agents and the upstream."""
        if self._streams.decide(effect):
            return
        match effect:
            case SendUpstream(flow=flow) if self._serves_streams:
                self._drop_datagram(flow)
            case SendUpstream(flow=flow, payload=payload):
                self._find_upstream(flow).send(payload)
            case SendPeer(destination=destination, message=message):
                self._data.send(message, destination)
            case OpenUpstream(flow=flow, port=port):
                self._open_upstream(flow, port)
            case IncarnationOutdated(newest=newest):
                self.note_outdated(newest)
                self._begin(newest + 1)
            case CloseUpstream(flow=flow):
                self._streams.end(flow)
                self._close_upstream(flow)

    def read_gauges(self) -> Gauges:
        """Return the current values for the metrics."""
        return {
            "version": self.core.table.version,
            "flows": len(self.core.flows),
            "flows_uncopied": self.core.copy_sender.count_uncopied(
                len(self.core.flows)
            ),
            "streams": len(self._streams.table),
            "directory_flows": len(self.core.directory),
            "lease_age_seconds": measure_age(self.core.subscriber.lease_renewed_at),
            **self.core.requests.read_gauges(),
        }

    def list_counters(self) -> list[Counter[str]]:
        """Return the counters for the metrics."""
        core = self.core
        counters = core.counters, core.requests.counters, core.subscriber.counters
        return [self.counters, *counters]

    def _take_peers(self, messages: Messages, now: float) -> None:
        """Deliver packets of known flows to the upstream, handle the rest."""
        prepare_delivery = self.core.prepare_delivery
        ready: list[tuple[Flow, bytes]] = []
        handled = 0
        for message, source in messages:
            is_packet = type(message) is Forward and not self._serves_streams
            flow = prepare_delivery(message, now) if is_packet else None
            if flow is None:
                self._send_ready(ready)
                handled += 1
                self.execute(self.handle(PeerMessage(source, message), now))
                # The core may have begun a new life.
                prepare_delivery = self.core.prepare_delivery
                continue
            if flow.send is None:
                flow.send = self._find_upstream(flow.key).send_now
            ready.append((flow, message.payload))
        self._send_ready(ready)
        # A counter costs as much as all else that is done for a known packet.
        self.core.counters["delivered"] += len(messages) - handled

    def _send_ready(self, ready: list[tuple[Flow, bytes]]) -> None:
        """Send what is ready in its order, before anything else is done."""
        for flow, payload in ready:
            try:
                flow.send(payload)
            except SEND_ERRORS as error:
                self._find_upstream(flow.key).record_send_error(error)
        ready.clear()

    def _listen(self, data: Address) -> Listener:
        """Listen for streams on the port of the data socket, or a free one."""
        try:
            return Listener(data, self._accept, FramedConnection)
        except OSError:
            return Listener(Address(data.host, 0), self._accept, FramedConnection)

    def _accept(self, end: FramedConnection) -> None:
        self._streams.accept(end)

    def _drop_datagram(self, flow: bytes) -> None:
        """Drop a datagram to a service of streams; it opens no flow."""
        self.counters["dropped_no_stream"] += 1
        if flow not in self._streams.table:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.dispatch, StreamEnded(flow))

    def _find_upstream(self, flow: bytes) -> DatagramSocket:
        sock = self._upstreams.get(flow)
        if sock is not None:
            return sock
        return self._open_upstream(flow, 0)

    def _restart(self) -> None:
        ports = [
            LocalPort(flow, sock.local_port) for flow, sock in self._upstreams.items()
        ]
        self.dispatch(Restart(ports))

    def _open_upstream(self, flow: bytes, port: int) -> DatagramSocket:
        def drain(batch: Batch) -> None:
            self._drain_upstream(flow, batch)

        def fail() -> None:
            loop.call_soon(self.dispatch, UpstreamGone(flow))

        loop = asyncio.get_running_loop()
        sock = DatagramSocket(loop, None, fail, drain, self.counters)
        sock.connect(self.settings.upstream, port)
        self._upstreams[flow] = sock
        self._forget_send(flow)
        self.core.handle(UpstreamOpened(flow, sock.local_port), time.monotonic())
        return sock

    def _close_upstream(self, key: bytes) -> None:
        sock = self._upstreams.pop(key, None)
        if sock is not None:
            sock.close()
        self._forget_send(key)

    def _forget_send(self, key: bytes) -> None:
        """Let the next packet of a flow look for its socket again."""
        flow = self.core.flows.get(key)
        if flow is not None:
            flow.send = None

    def _drain_upstream(self, key: bytes, batch: Batch) -> None:
        """Send the upstream's datagrams on the socket of a flow back."""
        now = time.monotonic()
        ready: Batch = []
        handled = 0
        for payload, _ in batch:
            is_short = len(payload) < BIN_HEADER_COUNT
            flow = self.core.prepare_answer(key, now) if is_short else None
            if flow is None:
                self._data.send_all(ready)
                ready.clear()
                handled += 1
                self.dispatch(UpstreamDatagram(key, payload))
                continue
            frame = b"".join((flow.head, BIN_HEADERS[len(payload)], payload))
            ready.append((frame, flow.entry_address))
        self._data.send_all(ready)
        self.core.counters["answered"] += len(batch) - handled
