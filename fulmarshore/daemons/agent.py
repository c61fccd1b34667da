"""Daemon of an agent: one data socket, and an upstream socket for each flow."""

from __future__ import annotations

import asyncio
import os
import select
import signal
import time
from collections import Counter

from fulmarshore.adapters.datagrams import (
    SEND_ERRORS,
    Batch,
    DatagramSocket,
    RetiredSockets,
)
from fulmarshore.adapters.endpoints import EndpointPoller
from fulmarshore.adapters.framing import FramedConnection
from fulmarshore.adapters.listener import Listener
from fulmarshore.adapters.metrics import Gauges
from fulmarshore.adapters.peers import Messages, PeerSocket
from fulmarshore.adapters.signals import is_stop_deferred
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
    format_link,
    make_incarnation,
    measure_age,
)
from fulmarshore.daemons.streams import AgentStreams
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.flows import Flow
from fulmarshore.routing.table import Table

PREDECESSOR_POLL_S = 0.01
"""Interval between looks at a predecessor: adds to the gap between the two."""


class AgentSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    Parameters
    ----------
    data : Address
        Address of the data socket, to which entry hosts and agents send.
    service : str
        Service that the upstream serves.
    upstream : Address
        Address on which the upstream listens.
    slots, connections : int
        Requests that the warm upstream processes at once, and most flows that
        it holds.
    health, load : str or None
        URLs of the upstream's health and load endpoints.
    predecessor : int or None
        Process id of the agent that this one replaces; it starts once that one
        has ended.
    """

    data: Address
    service: str
    upstream: Address
    slots: int = 1
    connections: int = 2000
    health: str | None = None
    load: str | None = None
    predecessor: int | None = None


class AgentDaemon(Daemon):
    """Runs the core of an agent on real sockets."""

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__("agent", settings)
        self.core: AgentCore | None = None
        self._peer_socket: PeerSocket | None = None
        self._data_address: Address | None = None
        self._upstreams: dict[bytes, DatagramSocket] = {}
        self._retired = RetiredSockets()
        self._streams: AgentStreams | None = None
        self._listener: Listener | None = None
        self._table: Table | None = None
        self._serves_streams = False
        self._serves_requests = False
        self._pollers: list[EndpointPoller] = []

    async def prepare_start(self) -> bool:
        """Wait for the predecessor's end; return False if told to stop before."""
        if self.settings.predecessor is None:
            return True
        try:
            ended = os.pidfd_open(self.settings.predecessor)
        except ProcessLookupError:
            return True
        try:
            while not select.select([ended], [], [], 0)[0]:
                if is_stop_deferred():
                    return False
                await asyncio.sleep(PREDECESSOR_POLL_S)
        finally:
            os.close(ended)
        return True

    def open(self) -> None:
        """Open the data socket and create the core."""
        loop = asyncio.get_running_loop()
        self._peer_socket = PeerSocket(
            loop, self._handle_peer_messages, self.counters, self.sealer
        )
        data = self._peer_socket.bind(self.settings.data)
        self._listener = self._listen(data)
        loop.add_signal_handler(signal.SIGHUP, self._begin_restart)
        self._data_address = data
        self._create_core(make_incarnation())
        self._open_pollers()

    def _open_pollers(self) -> None:
        """Start polling the configured endpoints of the upstream."""
        settings = self.settings
        urls = {HintSource.HEALTH: settings.health, HintSource.LOAD: settings.load}
        for source, url in urls.items():
            if url is None:
                continue
            arguments = (self.dispatch, self.counters, self.random)
            poller = EndpointPoller(source, url, *arguments)
            poller.open()
            self._pollers.append(poller)

    def _create_core(self, incarnation: int) -> None:
        """Create the core with a new incarnation."""
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
        self._peer_socket.close()
        self._retired.close()
        for sock in self._upstreams.values():
            sock.close()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Pass an event to the core; apply a changed table."""
        effects = self.core.handle(event, now)
        self.record_flow_events(event, effects)
        if self.core.table is not self._table:
            self._table = self.core.table
            self._peer_socket.close_unknown_channels(self.core.peers.is_known)
            service = self.core.service
            protocol = service.service.protocol if service is not None else None
            self._serves_streams = protocol == Protocol.TCP
            self._serves_requests = protocol == Protocol.REQUEST
        return effects

    def carry_out(self, effect: Effect) -> None:
        """Send to entry hosts, agents and the upstream."""
        if self._streams.answer_opening(effect):
            return
        match effect:
            case SendUpstream(flow=flow) if self._serves_streams:
                self._drop_datagram(flow)
            case SendUpstream(flow=flow, payload=payload):
                self._get_upstream_socket(flow).send(payload)
            case SendPeer(destination=destination, message=message):
                self._peer_socket.send(message, destination)
            case OpenUpstream(flow=flow, port=port):
                self._open_upstream_socket(flow, port)
            case IncarnationOutdated(newest=newest):
                self.record_raised_incarnation(newest)
                self._create_core(newest + 1)
            case CloseUpstream(flow=flow):
                self._streams.reset(flow)
                self._close_upstream_socket(flow)

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

    def _handle_peer_messages(self, messages: Messages, now: float) -> None:
        """Deliver packets of known flows directly; pass the rest to the core."""
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
                # The core may have been replaced by one of a new incarnation.
                prepare_delivery = self.core.prepare_delivery
                continue
            if flow.send is None:
                flow.send = self._get_upstream_socket(flow.key).send_now
            ready.append((flow, message.payload))
        self._send_ready(ready)
        # Counted once a batch: counting each packet would double its cost.
        self.core.counters["delivered"] += len(messages) - handled

    def _send_ready(self, ready: list[tuple[Flow, bytes]]) -> None:
        """Send queued payloads in order and clear the queue."""
        for flow, payload in ready:
            try:
                flow.send(payload)
            except SEND_ERRORS as error:
                self._get_upstream_socket(flow.key).record_send_error(error)
        ready.clear()

    def _listen(self, data: Address) -> Listener:
        """Listen for streams on the data socket's port, or on any if it is in use."""
        try:
            return Listener(data, self._accept, FramedConnection)
        except OSError:
            return Listener(Address(data.host, 0), self._accept, FramedConnection)

    def _accept(self, end: FramedConnection) -> None:
        self._streams.accept(end)

    def _drop_datagram(self, flow: bytes) -> None:
        """Drop a datagram sent to a TCP service; end its flow if no stream has it."""
        self.counters["dropped_no_stream"] += 1
        if flow not in self._streams.table:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.dispatch, StreamEnded(flow))

    def _get_upstream_socket(self, flow: bytes) -> DatagramSocket:
        sock = self._upstreams.get(flow)
        if sock is not None:
            return sock
        return self._open_upstream_socket(flow, 0)

    def _begin_restart(self) -> None:
        ports = [
            LocalPort(flow, sock.local_port) for flow, sock in self._upstreams.items()
        ]
        self.dispatch(Restart(ports))

    def _open_upstream_socket(self, flow: bytes, port: int) -> DatagramSocket:
        def receive_batch(batch: Batch) -> None:
            self._return_upstream_batch(flow, batch)

        def handle_failure() -> None:
            loop.call_soon(self.dispatch, UpstreamGone(flow))

        loop = asyncio.get_running_loop()
        sock = DatagramSocket(loop, None, handle_failure, receive_batch, self.counters)
        sock.connect(self.settings.upstream, port)
        self._upstreams[flow] = sock
        self._clear_cached_send(flow)
        self.core.handle(UpstreamOpened(flow, sock.local_port), time.monotonic())
        return sock

    def _close_upstream_socket(self, key: bytes) -> None:
        sock = self._upstreams.pop(key, None)
        if sock is not None and self._serves_requests:
            # Answers are matched to requests by identity, whatever port they reach.
            sock.close()
        elif sock is not None:
            self._retired.add(sock)
        self._clear_cached_send(key)

    def _clear_cached_send(self, key: bytes) -> None:
        """Make the next packet of a flow look up its socket again."""
        flow = self.core.flows.get(key)
        if flow is not None:
            flow.send = None

    def _return_upstream_batch(self, key: bytes, batch: Batch) -> None:
        """Send datagrams that the upstream sent on a flow to the entry host."""
        now = time.monotonic()
        ready: Batch = []
        handled = 0
        for payload, _ in batch:
            is_short = len(payload) < BIN_HEADER_COUNT
            flow = self.core.prepare_answer(key, now) if is_short else None
            if flow is None:
                self._peer_socket.send_all(ready)
                ready.clear()
                handled += 1
                self.dispatch(UpstreamDatagram(key, payload))
                continue
            frame = b"".join((flow.head, BIN_HEADERS[len(payload)], payload))
            ready.append((frame, flow.entry_address))
        self._peer_socket.send_all(ready)
        self.core.counters["answered"] += len(batch) - handled
