"""Base classes of the direct data path's daemons: loop, sockets, signals, logs."""

from __future__ import annotations

import secrets
import signal
import socket
import sys
import time
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from random import Random

import msgspec

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.adapters.httpserver import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    Respond,
)
from fulmarshore.adapters.logs import DecisionLog
from fulmarshore.adapters.messages import (
    RECEIVE_BYTES,
    MessageSocket,
    open_datagram_socket,
)
from fulmarshore.adapters.signals import deliver_signals
from fulmarshore.core.ranges import DECODE_ERRORS
from fulmarshore.direct.latency import LatencyHistogram
from fulmarshore.direct.records import (
    Decision,
    ReturnedPacket,
    SendPoll,
    StopCompleted,
    Stopping,
    Ticked,
    Update,
    UpdateReceived,
    decode_table,
)
from fulmarshore.direct.settings import (
    CONTROL_OFFSET,
    RETURN_OFFSET,
    Endpoint,
    HostSettings,
    SettingsProblem,
)

TICK_INTERVAL_S = 0.1
RELOAD_INTERVAL_S = 1.0
"""Interval between checks for changed settings, which may come without a signal."""
MIN_STALL_S = 0.5
"""Shortest stall that is reported: a stall of this length misses a probe or poll."""
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"
MAX_PACKETS_PER_READ = 128
"""Packets read from a socket before timers and other sockets are served."""

encode = msgspec.msgpack.Encoder().encode
_update_decoder = msgspec.msgpack.Decoder(Update)


def read_clock() -> float:
    """Return a monotonic time in seconds that includes suspension of the host."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


LoadSettings = Callable[[], "HostSettings | list[SettingsProblem] | None"]
MAX_LOGGED_CHARACTERS = 300
"""Longest text of a stranger in a line of the log."""


class DirectDaemon(ABC):
    """Passes events to a core and executes its effects, until the core has stopped.

    Parameters
    ----------
    role : str
        entry, agent or control.
    settings : HostSettings
        Settings of the process.
    load_settings : callable
        Returns changed settings, the problems found in them, or None if they have
        not changed.
    tick_s : float
        Interval of ticks, seconds.
    """

    def __init__(
        self,
        role: str,
        settings: HostSettings,
        load_settings: LoadSettings,
        tick_s: float = TICK_INTERVAL_S,
    ) -> None:
        self.role = role
        self.settings = settings
        self.core: object = None
        self.counters: Counter[str] = Counter()
        self.loop = EventLoop()
        self.random = Random(secrets.randbits(64))
        self.exit_code = 0
        self._load_settings = load_settings
        self._tick_s = tick_s
        self._ticked_at = read_clock()
        self._log = DecisionLog(sys.stdout.fileno(), role, settings.name, self.counters)
        self._servers: list[HttpServer] = []

    @abstractmethod
    def handle(self, event: object, now: float) -> list:
        """Pass an event to the core and return its effects."""

    @abstractmethod
    def carry_out(self, effect: object) -> None:
        """Execute an effect that only this role has."""

    @abstractmethod
    def open(self) -> None:
        """Open the sockets of the role."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether readiness probes succeed."""

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        return {}

    def list_latencies(self) -> dict[str, LatencyHistogram]:
        """Return the histograms for the metrics."""
        return {}

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings."""
        self.settings = settings

    def handle_http(self, request: HttpRequest, respond: Respond) -> None:
        """Answer an HTTP request other than for readiness or metrics."""
        respond(HttpResponse(404))

    def read_request(self, read: Callable, request: HttpRequest) -> object:
        """Return what a reader makes of a request, or an error response if it fails.

        Readers are functions of the request alone, so that a fault in one concerns
        this request only: it is logged, counted and answered. A fault in a core may
        leave it in a wrong state, and ends the process.
        """
        try:
            return read(request)
        except Exception as error:
            self.counters["requests_failed"] += 1
            detail = f"{request.method} {request.path[:MAX_LOGGED_CHARACTERS]}: "
            detail += f"{type(error).__name__}: {error}"
            self.log_decision(Decision("request_failed", detail))
            return HttpResponse(500, b'{"error":"the request could not be read"}')

    def run(self) -> int:
        """Run until a planned stop is complete; return the exit code."""
        self.open()
        if self.settings.metrics_port:
            self.serve(Endpoint(self.settings.host, self.settings.metrics_port))
        self.loop.add_signal_handler(signal.SIGTERM, lambda: self.dispatch(Stopping()))
        self.loop.add_signal_handler(signal.SIGINT, lambda: self.dispatch(Stopping()))
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        deliver_signals()
        self.log_decision(Decision("started", f"host {self.settings.host}"))
        self._tick()
        self.loop.call_later(RELOAD_INTERVAL_S, self._reload_regularly)
        try:
            self.loop.run()
        finally:
            self.log_decision(Decision("stopped", f"exit code {self.exit_code}"))
            self._log.flush()
        for server in self._servers:
            server.close()
        return self.exit_code

    def dispatch(self, event: object) -> None:
        """Pass an event to the core and execute the effects that it returns."""
        for effect in self.handle(event, time.monotonic()):
            match effect:
                case Decision():
                    self.log_decision(effect)
                case StopCompleted():
                    self.loop.stop()
                case _:
                    self.carry_out(effect)

    def log_decision(self, decision: Decision) -> None:
        """Write a decision to the log."""
        self._log.write(decision, time.monotonic())

    def serve(self, endpoint: Endpoint | None) -> None:
        """Serve HTTP at an endpoint; None serves nothing."""
        if endpoint is None:
            return
        local = self.settings.localize(endpoint)
        server = HttpServer(
            self.loop, local.host, local.port, self._handle_http_request, self.counters
        )
        self._servers.append(server)

    def make_packet_reader(
        self, reader: socket.socket, make_event: Callable
    ) -> Callable:
        """Return a callback that dispatches the packets waiting on a socket."""

        def read() -> None:
            for _ in range(MAX_PACKETS_PER_READ):
                try:
                    content = reader.recv(RECEIVE_BYTES)
                except BlockingIOError:
                    return
                except OSError:
                    self.counters["packets_read_errors"] += 1
                    return
                self.dispatch(make_event(content))

        return read

    def open_packet_socket(
        self, host: str, port: int, make_event: Callable
    ) -> socket.socket:
        """Open a socket whose packets are dispatched as events."""
        receiver = open_datagram_socket(host, port)
        self.loop.watch(receiver, self.make_packet_reader(receiver, make_event))
        return receiver

    def send_packet(
        self, sender: socket.socket, content: bytes, host: str, port: int
    ) -> None:
        """Send a packet; drop and count it if the kernel does not accept it."""
        try:
            sender.sendto(content, (host, port))
        except OSError:
            self.counters["packets_unsent"] += 1

    def _handle_http_request(self, request: HttpRequest, respond: Respond) -> None:
        if request.method == "GET" and request.path == self.settings.ready_path:
            respond(HttpResponse(200 if self.is_ready() else 503))
            return
        if request.method == "GET" and request.path == METRICS_PATH:
            content = self._render_metrics()
            respond(HttpResponse(200, content, content_type=METRICS_TYPE))
            return
        self.handle_http(request, respond)

    def _render_metrics(self) -> bytes:
        """Return the metrics as text; the library is imported on the first request."""
        from fulmarshore.adapters.metrics import CoreCollector, render_metrics

        collector = CoreCollector(
            self.role,
            lambda: [self.counters, self.core.counters],
            self.read_gauges,
            self.list_latencies(),
        )
        return render_metrics(collector)

    def _tick(self) -> None:
        self._detect_stall()
        self.dispatch(Ticked())
        self._log.flush()
        self.loop.call_later(self._tick_s, self._tick)

    def _detect_stall(self) -> None:
        """Report a stall of this process or of the whole host."""
        now = read_clock()
        stalled_s = now - self._ticked_at - self._tick_s
        self._ticked_at = now
        if stalled_s >= MIN_STALL_S:
            self.counters["stalls"] += 1
            self.log_decision(
                Decision("process_stalled", f"{stalled_s:.2f} s until now")
            )

    def _reload_regularly(self) -> None:
        self._reload()
        self.loop.call_later(RELOAD_INTERVAL_S, self._reload_regularly)

    def _reload(self) -> None:
        loaded = self._load_settings()
        if loaded is None:
            return
        if isinstance(loaded, list):
            detail = "; ".join(str(problem) for problem in loaded)
            self.log_decision(Decision("settings_refused", detail))
            return
        self.log_decision(
            Decision("settings_taken", f"seeds {', '.join(loaded.seeds)}")
        )
        self.apply_settings(loaded)


class SubscribedDaemon(DirectDaemon):
    """Daemon that polls control hosts for the current table."""

    port_offset = 0

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings, including the seeds."""
        super().apply_settings(settings)
        self.core.subscription.replace_seeds(list(settings.seeds))

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        table = self.core.tables.table
        return {
            "flows": self.core.flow_count,
            "version": table.version,
            "index": table.index,
        }

    def open_message_socket(self) -> None:
        """Open the socket for control messages."""
        port = self.settings.internal_port + self.port_offset
        self._messages = MessageSocket(
            self.loop,
            self.settings.local_host,
            port,
            self._handle_message,
            self.counters,
        )

    def open_returned_socket(self) -> None:
        """Open the socket for packets that agents return."""
        port = self.settings.internal_port + RETURN_OFFSET
        receiver = open_datagram_socket(self.settings.local_host, port)

        def read() -> None:
            for _ in range(MAX_PACKETS_PER_READ):
                try:
                    content, sender = receiver.recvfrom(RECEIVE_BYTES)
                except BlockingIOError:
                    return
                except OSError:
                    self.counters["packets_read_errors"] += 1
                    return
                self.dispatch(ReturnedPacket(content, sender[0]))

        self.loop.watch(receiver, read)

    def send_poll(self, effect: SendPoll) -> None:
        """Send a poll to a control host."""
        port = self.settings.internal_port + CONTROL_OFFSET
        self._messages.send(encode(effect.poll), effect.host, port)

    def _handle_message(self, content: bytes, host: str, port: int) -> None:
        try:
            update = _update_decoder.decode(content)
            table = decode_table(update.table)
        except DECODE_ERRORS:
            self.counters["messages_malformed"] += 1
            return
        self.dispatch(UpdateReceived(host, update, table))
