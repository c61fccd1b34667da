"""Callers, upstreams and the fabric of a soak, over sockets of one event loop.

What callers and upstreams receive is passed to the `InvariantChecker`. The protocol
of both ends is that of `fulmarshore.standins.directends`.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from random import Random

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.adapters.messages import BUFFER_BYTES, RECEIVE_BYTES
from fulmarshore.direct.packets import parse_packet
from fulmarshore.direct.records import UpstreamAnnounced
from fulmarshore.direct.settings import Endpoint
from fulmarshore.platform.formatting import format_announcement
from fulmarshore.platform.heartbeats import UPSTREAM_PATH
from fulmarshore.platform.settings import READY_PATH
from fulmarshore.soak.invariants import InvariantChecker, OpenedFlow
from fulmarshore.soak.network import Hosts
from fulmarshore.soak.operators import COLD_PER_S, SERVICE_HOST, send_request
from fulmarshore.soak.processes import BOUNDS, HEARTBEAT_S, Ports
from fulmarshore.standins.directends import Caller, Upstream
from fulmarshore.standins.directworld import rank_host

FIRST_CALLER_PORT = 10_000
LAST_CALLER_PORT = 60_000
SLOTS = 4
WORK_S = 0.02
COLD_S = 2.0
COLD_BOUND = int(COLD_PER_S * BOUNDS.overshoot + BOUNDS.slack)
PROBE_INTERVAL_S = 0.5
MAX_MISSED_PROBES = 2
"""Failed probes in a row that take an entry host out of rotation."""
READ_BATCH = 64

Now = Callable[[], float]


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound, non-blocking datagram socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


class UpstreamRunner:
    """Runs the upstreams of one host, one at a time, and checks what they receive.

    Parameters
    ----------
    host, bind_address : str
        Name of the host, and the address that its processes bind to.
    zone : str
        Availability zone of the host.
    ports : Ports
        Ports of the run.
    loop : EventLoop
        Event loop that watches the socket.
    pool : ThreadPoolExecutor
        Runs the HTTP requests of announcements.
    checks : InvariantChecker
        Checks openings, runs of requests and packets.
    now : callable
        Seconds since the start.
    find_sent_at : callable
        Returns when a flow's caller sent its opening, seconds from the start.
    """

    def __init__(
        self,
        host: str,
        bind_address: str,
        zone: str,
        ports: Ports,
        loop: EventLoop,
        pool: ThreadPoolExecutor,
        checks: InvariantChecker,
        now: Now,
        find_sent_at: Callable[[bytes], float],
    ) -> None:
        self.host = host
        self.zone = zone
        self.upstream: Upstream | None = None
        self.ended: list[Upstream] = []
        self._bind_address = bind_address
        self._ports = ports
        self._loop = loop
        self._pool = pool
        self._checks = checks
        self._now = now
        self._find_sent_at = find_sent_at
        self._socket: socket.socket | None = None
        self._listener: socket.socket | None = None
        self._sequence = 0
        self._start_count = 0
        self._cold_until = 0.0
        self._heartbeats_suspended_until = 0.0
        self._is_draining = False
        self._checked_counts = (0, 0)

    def start(self, service: str, born_ms: int, is_cold: bool) -> None:
        """Start an upstream in place of the one that ended."""
        self._start_count += 1
        self._sequence = 0
        self._is_draining = False
        self._cold_until = self._now() + (COLD_S if is_cold else 0.0)
        self._checked_counts = (0, 0)
        sock = open_datagram_socket(self._bind_address, self._ports.upstream)
        self._socket = sock
        target = (self._bind_address, self._ports.outbound)

        def send(content: bytes) -> None:
            if self._socket is sock:
                self._send(content, target)

        self.upstream = Upstream(
            f"{self.host}-{self._start_count:02}",
            service,
            send,
            self._loop.call_later,
            WORK_S,
            born_ms,
            SLOTS,
        )
        self._loop.watch(sock, self._read)
        self._listen()
        self._announce(self.upstream)

    def crash(self) -> None:
        """End the upstream at once, without notice to its agent."""
        if self.upstream is None or not self.upstream.is_alive:
            return
        self._check_forged()
        self.upstream.crash()
        self.ended.append(self.upstream)
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._socket = None
        self._loop.unwatch(self._listener)
        self._listener.close()

    def _listen(self) -> None:
        """Accept connections, as an upstream does for health checks."""
        address = (self._bind_address, self._ports.upstream)
        listener = self._listener = socket.create_server(address)
        listener.setblocking(False)

        def accept() -> None:
            try:
                listener.accept()[0].close()
            except OSError:
                self._checks.count("connections_not_accepted")

        self._loop.watch(listener, accept)

    def drain(self, on_ended: Callable[[], None], after_s: float) -> None:
        """Announce a drain; end the upstream some time after the acknowledgement."""
        upstream = self.upstream
        self._is_draining = True

        def leave() -> None:
            if self.upstream is upstream and upstream.is_alive:
                path = UPSTREAM_PATH + upstream.name
                self.crash()
                self._pool.submit(self._call, "DELETE", path, b"")
                on_ended()

        def on_acknowledged() -> None:
            self._checks.record_drain(upstream.name, self._now())
            self._loop.call_later(after_s, leave)

        self._announce_once(upstream, on_acknowledged)

    def suspend_heartbeats(self, for_s: float) -> None:
        """Send no announcements for some time."""
        self._heartbeats_suspended_until = self._now() + for_s

    def has_flow(self, flow: bytes) -> bool:
        """Return whether the current upstream is alive and has a flow."""
        current = self.upstream
        return current is not None and current.is_alive and flow in current.flows

    def finish(self) -> None:
        """End the upstream and check the packets that it received."""
        self.crash()

    def _check_forged(self) -> None:
        upstream = self.upstream
        now = self._now()
        self._checks.check_forged(upstream.name, len(upstream.forged), now)

    def _send(self, content: bytes, target: tuple[str, int]) -> None:
        try:
            self._socket.sendto(content, target)
        except OSError:
            self._checks.count("answers_unsent")

    def _read(self) -> None:
        for _ in range(READ_BATCH):
            if self._socket is None:
                return
            try:
                content = self._socket.recv(RECEIVE_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                return
            self.upstream.handle_packet(content)
            self._check_new_events()

    def _check_new_events(self) -> None:
        upstream = self.upstream
        opened, runs = self._checked_counts
        now = self._now()
        for flow, address in upstream.opened[opened:]:
            self._checks.check_opening(
                OpenedFlow(
                    upstream.name,
                    upstream.service,
                    self.zone,
                    int.from_bytes(address[4:]),
                    self._find_sent_at(flow),
                    now,
                    now < self._cold_until,
                    COLD_BOUND,
                )
            )
        for request in upstream.runs[runs:]:
            self._checks.check_run(request, upstream.name, now)
        self._checked_counts = (len(upstream.opened), len(upstream.runs))

    def _announce(self, upstream: Upstream) -> None:
        if self.upstream is not upstream or not upstream.is_alive:
            return
        if self._now() >= self._heartbeats_suspended_until:
            self._announce_once(upstream, lambda: None)
        self._loop.call_later(HEARTBEAT_S, lambda: self._announce(upstream))

    def _announce_once(
        self, upstream: Upstream, on_acknowledged: Callable[[], None]
    ) -> None:
        self._sequence += 1
        announced = UpstreamAnnounced(
            upstream.name,
            upstream.born_ms,
            self._sequence,
            upstream.service,
            self.zone,
            SLOTS,
            not self._is_draining,
            max(0.0, self._cold_until - self._now()),
        )
        body = format_announcement(
            announced, Endpoint(self._bind_address, self._ports.upstream)
        )
        path = UPSTREAM_PATH + upstream.name

        def call() -> None:
            if self._call("PUT", path, body) == HTTPStatus.OK:
                self._loop.call_from_thread(on_acknowledged)

        self._pool.submit(call)

    def _call(self, method: str, path: str, body: bytes) -> int:
        return send_request(
            self._bind_address, self._ports.control, method, path, body
        )[0]


class Fabric:
    """Forwards callers' packets to the entry hosts in rotation.

    Parameters
    ----------
    entries : tuple of str
        Names of the entry hosts.
    hosts : Hosts
        Addresses of the hosts.
    ports : Ports
        Ports of the run.
    loop, pool : EventLoop, ThreadPoolExecutor
        Schedule and run the readiness probes.
    """

    def __init__(
        self,
        entries: tuple[str, ...],
        hosts: Hosts,
        ports: Ports,
        loop: EventLoop,
        pool: ThreadPoolExecutor,
    ) -> None:
        self._entries = entries
        self._hosts = hosts
        self._ports = ports
        self._loop = loop
        self._pool = pool
        self._missed_probes = dict.fromkeys(entries, MAX_MISSED_PROBES)
        self._socket = open_datagram_socket(hosts.caller, 0)
        for entry in entries:
            self._probe(entry)

    @property
    def is_ready(self) -> bool:
        """Whether the last probe of every entry host succeeded."""
        return not any(self._missed_probes.values())

    def forward(self, flow: bytes, content: bytes) -> None:
        """Send a caller's packet to the entry host of its flow."""
        ready = [
            entry
            for entry in self._entries
            if self._missed_probes[entry] < MAX_MISSED_PROBES
        ]
        ranked = sorted(ready or self._entries, key=lambda host: rank_host(flow, host))
        address = (self._hosts.get_bind_address(ranked[0]), self._ports.packets)
        try:
            self._socket.sendto(content, address)
        except OSError:
            # The entry host's process has ended, which its probes will detect.
            return

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _probe(self, entry: str) -> None:
        bind_address = self._hosts.get_bind_address(entry)

        def call() -> None:
            status, _ = send_request(
                bind_address,
                self._ports.readiness,
                "GET",
                READY_PATH,
                b"",
                PROBE_INTERVAL_S,
            )
            self._loop.call_from_thread(lambda: self._handle_probe(entry, status))

        self._pool.submit(call)
        self._loop.call_later(PROBE_INTERVAL_S, lambda: self._probe(entry))

    def _handle_probe(self, entry: str, status: int) -> None:
        is_ready = status == HTTPStatus.OK
        self._missed_probes[entry] = 0 if is_ready else self._missed_probes[entry] + 1


class Callers:
    """All callers, each with one flow.

    Parameters
    ----------
    fabric : Fabric
        Forwards the callers' packets.
    host, port : str, int
        Address and port at which callers receive packets.
    loop : EventLoop
        Event loop that watches the socket.
    checks : InvariantChecker
        Checks what the callers receive.
    now : callable
        Seconds since the start.
    has_flow : callable
        Returns whether a live upstream has a flow.
    random : Random
        Draws the first caller's port.
    """

    def __init__(
        self,
        fabric: Fabric,
        host: str,
        port: int,
        loop: EventLoop,
        checks: InvariantChecker,
        now: Now,
        has_flow: Callable[[bytes], bool],
        random: Random,
    ) -> None:
        self._fabric = fabric
        self._loop = loop
        self._checks = checks
        self._now = now
        self._has_flow = has_flow
        self._port_counter = random.randrange(FIRST_CALLER_PORT, LAST_CALLER_PORT)
        self.callers: dict[bytes, Caller] = {}
        self._host = host
        self._socket = open_datagram_socket(host, port)
        loop.watch(self._socket, self._read)

    def open_flow(self, port: int, deadline_s: float) -> Caller:
        """Open a flow from a new caller to a service's port, and send a request."""
        flow = self._make_flow(port)
        caller = Caller(
            flow,
            lambda content: self._send(flow, content),
            self._loop.call_later,
            self._now,
        )
        self.callers[flow] = caller
        caller.request(b"request-%s-0" % flow.hex().encode(), deadline_s)
        return caller

    def find_sent_at(self, flow: bytes) -> float:
        """Return when the opening of a flow was sent, seconds from the start."""
        return self.callers[flow].calls[0].sent_at

    def finish(self) -> None:
        """Check the packets that the callers received, and close the socket."""
        for caller in self.callers.values():
            self._checks.check_forged(
                caller.flow.hex(), len(caller.forged), self._now()
            )
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _make_flow(self, port: int) -> bytes:
        while True:
            self._port_counter += 1
            number = FIRST_CALLER_PORT + self._port_counter % (
                LAST_CALLER_PORT - FIRST_CALLER_PORT
            )
            source = socket.inet_aton(self._host) + number.to_bytes(2)
            flow = source + socket.inet_aton(SERVICE_HOST) + port.to_bytes(2)
            if flow not in self.callers:
                return flow

    def _send(self, flow: bytes, content: bytes) -> None:
        packet = parse_packet(content)
        if packet.length:
            self._checks.record_sent(content[-packet.length :])
        self._fabric.forward(flow, content)

    def _read(self) -> None:
        for _ in range(READ_BATCH):
            try:
                content = self._socket.recv(RECEIVE_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                return
            caller = self.callers.get(content[6:12] + content[:6])
            if caller is None:
                self._checks.check_forged("an unknown flow", 1, self._now())
                continue
            was_open = caller.is_open
            caller.handle_packet(content)
            if was_open and caller.is_reset:
                self._checks.check_reset(
                    caller.flow.hex(), self._has_flow(caller.flow), self._now()
                )
