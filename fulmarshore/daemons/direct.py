"""What the daemons of the direct data path share: loop, sockets, signals, logs."""

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
"""How often the settings are looked at: they may change without a signal."""
STALL_S = 0.5
"""A process that does not get its turn for so long misses a probe or a poll."""
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"
PACKET_BATCH = 128
"""Packets taken before timers and other sockets get their turn."""

encode = msgspec.msgpack.Encoder().encode
_update_decoder = msgspec.msgpack.Decoder(Update)


def read_clock() -> float:
    """Return a steady time that goes on while the host is suspended, seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


Load = Callable[[], "HostSettings | list[SettingsProblem] | None"]


class DirectDaemon(ABC):
    """Runs a core: events in, effects out, until it has stopped.

    Parameters
    ----------
    role : str
        entry, agent or control.
    settings : HostSettings
        Settings of the process.
    load : callable
        Returns new settings, what is wrong with them, or None where they have
        not changed.
    tick_s : float
        Interval of ticks, seconds.
    """

    def __init__(
        self,
        role: str,
        settings: HostSettings,
        load: Load,
        tick_s: float = TICK_INTERVAL_S,
    ) -> None:
        self.role = role
        self.settings = settings
        self.core: object = None
        self.counters: Counter[str] = Counter()
        self.loop = EventLoop()
        self.random = Random(secrets.randbits(64))
        self.exit_code = 0
        self._load = load
        self._tick_s = tick_s
        self._ticked_at = read_clock()
        self._log = DecisionLog(sys.stdout.fileno(), role, settings.name, self.counters)
        self._servers: list[HttpServer] = []

    @abstractmethod
    def handle(self, event: object, now: float) -> list:
        """Hand an event to the core."""

    @abstractmethod
    def carry_out(self, effect: object) -> None:
        """Carry out an effect that is the role's own."""

    @abstractmethod
    def open(self) -> None:
        """Open the sockets of the role."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Whether probes are told that the host may be used."""

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        return {}

    def list_latencies(self) -> dict[str, LatencyHistogram]:
        """Return the histograms for the metrics."""
        return {}

    def use_settings(self, settings: HostSettings) -> None:
        """Take settings that have changed."""
        self.settings = settings

    def answer_http(self, request: HttpRequest, respond: Respond) -> None:
        """Answer a request that is no probe."""
        respond(HttpResponse(404))

    def run(self) -> int:
        """Run until a planned stop is complete; return the exit code."""
        self.open()
        if self.settings.metrics_port:
            self.serve(Endpoint(self.settings.host, self.settings.metrics_port))
        self.loop.add_signal_handler(signal.SIGTERM, lambda: self.dispatch(Stopping()))
        self.loop.add_signal_handler(signal.SIGINT, lambda: self.dispatch(Stopping()))
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.note(Decision("started", f"host {self.settings.host}"))
        self._tick()
        self.loop.call_later(RELOAD_INTERVAL_S, self._reload_regularly)
        try:
            self.loop.run()
        finally:
            self.note(Decision("stopped", f"exit code {self.exit_code}"))
            self._log.flush()
        for server in self._servers:
            server.close()
        return self.exit_code

    def dispatch(self, event: object) -> None:
        """Hand an event to the core and carry out what it returns."""
        for effect in self.handle(event, time.monotonic()):
            match effect:
                case Decision():
                    self.note(effect)
                case StopCompleted():
                    self.loop.stop()
                case _:
                    self.carry_out(effect)

    def note(self, decision: Decision) -> None:
        """Write a line of the log."""
        self._log.write(decision, time.monotonic())

    def serve(self, endpoint: Endpoint | None) -> None:
        """Answer HTTP requests at an endpoint, if there is one."""
        if endpoint is None:
            return
        local = self.settings.localize(endpoint)
        server = HttpServer(
            self.loop, local.host, local.port, self._answer, self.counters
        )
        self._servers.append(server)

    def read_packets(self, reader: socket.socket, make: Callable) -> Callable:
        """Return a callback that hands over the packets that wait."""

        def read() -> None:
            for _ in range(PACKET_BATCH):
                try:
                    content = reader.recv(RECEIVE_BYTES)
                except BlockingIOError:
                    return
                except OSError:
                    self.counters["packets_read_errors"] += 1
                    return
                self.dispatch(make(content))

        return read

    def open_packets(self, host: str, port: int, make: Callable) -> socket.socket:
        """Return a socket whose packets become events of the core."""
        opened = open_datagram_socket(host, port)
        self.loop.watch(opened, self.read_packets(opened, make))
        return opened

    def send_packet(
        self, sender: socket.socket, content: bytes, host: str, port: int
    ) -> None:
        """Send a packet; what the kernel does not take is lost and counted."""
        try:
            sender.sendto(content, (host, port))
        except OSError:
            self.counters["packets_unsent"] += 1

    def _answer(self, request: HttpRequest, respond: Respond) -> None:
        if request.method == "GET" and request.path == self.settings.ready_path:
            respond(HttpResponse(200 if self.is_ready() else 503))
            return
        if request.method == "GET" and request.path == METRICS_PATH:
            content = self._render_metrics()
            respond(HttpResponse(200, content, content_type=METRICS_TYPE))
            return
        self.answer_http(request, respond)

    def _render_metrics(self) -> bytes:
        """Return the metrics; their library is loaded when somebody asks."""
        from fulmarshore.adapters.metrics import CoreCollector, render_metrics

        collector = CoreCollector(
            self.role,
            lambda: [self.counters, self.core.counters],
            self.read_gauges,
            self.list_latencies(),
        )
        return render_metrics(collector)

    def _tick(self) -> None:
        self._note_stall()
        self.dispatch(Ticked())
        self._log.flush()
        self.loop.call_later(self._tick_s, self._tick)

    def _note_stall(self) -> None:
        """Tell that this process stood still, or the whole host did."""
        now = read_clock()
        stalled_s = now - self._ticked_at - self._tick_s
        self._ticked_at = now
        if stalled_s >= STALL_S:
            self.counters["stalls"] += 1
            self.note(Decision("process_stalled", f"{stalled_s:.2f} s until now"))

    def _reload_regularly(self) -> None:
        self._reload()
        self.loop.call_later(RELOAD_INTERVAL_S, self._reload_regularly)

    def _reload(self) -> None:
        loaded = self._load()
        if loaded is None:
            return
        if isinstance(loaded, list):
            detail = "; ".join(str(problem) for problem in loaded)
            self.note(Decision("settings_refused", detail))
            return
        self.note(Decision("settings_taken", f"seeds {', '.join(loaded.seeds)}"))
        self.use_settings(loaded)


class SubscribedDaemon(DirectDaemon):
    """A daemon that learns from control hosts what is in force."""

    port_offset = 0

    def use_settings(self, settings: HostSettings) -> None:
        """Take new seeds."""
        super().use_settings(settings)
        self.core.subscription.replace_seeds(list(settings.seeds))

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        table = self.core.tables.table
        return {
            "flows": self.core.flow_count,
            "version": table.version,
            "index": table.index,
        }

    def open_messages(self) -> None:
        """Open the socket for control messages."""
        port = self.settings.internal_port + self.port_offset
        self._messages = MessageSocket(
            self.loop, self.settings.local_host, port, self._take_message, self.counters
        )

    def open_returned(self) -> None:
        """Open the socket for what agents hand back, with their addresses."""
        port = self.settings.internal_port + RETURN_OFFSET
        opened = open_datagram_socket(self.settings.local_host, port)

        def read() -> None:
            for _ in range(PACKET_BATCH):
                try:
                    content, sender = opened.recvfrom(RECEIVE_BYTES)
                except BlockingIOError:
                    return
                except OSError:
                    self.counters["packets_read_errors"] += 1
                    return
                self.dispatch(ReturnedPacket(content, sender[0]))

        self.loop.watch(opened, read)

    def send_poll(self, effect: SendPoll) -> None:
        """Ask a control host what is new."""
        port = self.settings.internal_port + CONTROL_OFFSET
        self._messages.send(encode(effect.poll), effect.host, port)

    def _take_message(self, content: bytes, host: str, port: int) -> None:
        try:
            update = _update_decoder.decode(content)
            table = decode_table(update.table)
        except (msgspec.MsgspecError, ValueError):
            self.counters["messages_malformed"] += 1
            return
        self.dispatch(UpdateReceived(host, update, table))
