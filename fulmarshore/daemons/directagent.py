"""Daemon of an agent of the direct data path."""

from __future__ import annotations

import secrets
import socket
import time
from collections.abc import Callable

from fulmarshore.adapters.httpserver import HttpRequest, HttpResponse, Respond
from fulmarshore.adapters.messages import open_datagram_socket
from fulmarshore.daemons.direct import LoadSettings, SubscribedDaemon, encode
from fulmarshore.direct.agent import AgentCore
from fulmarshore.direct.latency import LatencyHistogram
from fulmarshore.direct.packets import MAX_PACKET_BYTES
from fulmarshore.direct.records import (
    CallerPacket,
    SendKeptFlows,
    SendPoll,
    SendToAgent,
    SendToCaller,
    SendToEntry,
    SendToUpstream,
    Stopping,
    UpstreamAbsent,
    UpstreamAnnounced,
    UpstreamClosed,
    UpstreamDeparted,
    UpstreamPacket,
    UpstreamReplaced,
)
from fulmarshore.direct.settings import (
    AGENT_OFFSET,
    CONTROL_OFFSET,
    RETURN_OFFSET,
    HostSettings,
)

ReadAnnouncement = Callable[
    [HttpRequest], "UpstreamAnnounced | UpstreamDeparted | str | None"
]


UPSTREAM_CHECK_TIMEOUT_S = 0.05
"""The upstream is on the same host, where a connection takes less than 1 ms."""


class AgentDaemon(SubscribedDaemon):
    """Forwards packets to and from one upstream.

    Parameters
    ----------
    settings : HostSettings
        Settings of the process.
    load_settings : callable
        Returns changed settings, the problems found in them, or None if they have
        not changed.
    read_announcement : callable
        Parses an HTTP request of the upstream and returns an event, the body of
        an error response, or None if the path is not one for announcements.
    """

    port_offset = AGENT_OFFSET

    def __init__(
        self,
        settings: HostSettings,
        load_settings: LoadSettings,
        read_announcement: ReadAnnouncement,
    ) -> None:
        super().__init__("agent", settings, load_settings)
        process = secrets.randbits(63)
        self.core = AgentCore(
            settings.host,
            settings.zone,
            list(settings.seeds),
            process,
            settings.upstreams,
            settings.grace_s,
            settings.placement,
            settings.notifies_lost_flows,
            settings.packet_port,
        )
        self._read_announcement = read_announcement
        self._upstream: socket.socket | None = None

    def open(self) -> None:
        """Open the sockets for entry hosts, the upstream and control hosts."""
        settings = self.settings
        self._packets = self.open_packet_socket(
            settings.local_host, settings.packet_port, CallerPacket
        )
        outbound = settings.localize(settings.outbound)
        self._outbound = self.open_packet_socket(
            outbound.host, outbound.port, UpstreamPacket
        )
        self._open_upstream()
        self.open_returned_socket()
        self.open_message_socket()
        self.serve(settings.readiness)
        self.serve(settings.orders)
        self._check_upstream()

    def handle(self, event: object, now: float) -> list:
        """Pass an event to the core and return its effects."""
        if isinstance(event, Stopping):
            self._check_upstream()
        return self.core.handle(event, now)

    def is_ready(self) -> bool:
        """Return whether the agent can serve packets."""
        return self.core.is_ready

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        busy, queue_length = self.core.busy, self.core.queue_length
        now = time.monotonic()
        load = self.core.report_load(now)
        return {
            **super().read_gauges(),
            "busy": busy,
            "waiting": queue_length,
            "work_ms": load.work_ms,
            "wait_ms": load.wait_ms,
            "utilization": self.core.measure_utilization(now),
        }

    def list_latencies(self) -> dict[str, LatencyHistogram]:
        """Return the histograms for the metrics."""
        return {"work_seconds": self.core.work_time}

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings, including the seeds and the upstream's address."""
        previous = self.settings
        super().apply_settings(settings)
        if settings.upstream != previous.upstream:
            self._open_upstream()
        if (settings.upstream, settings.service) != (
            previous.upstream,
            previous.service,
        ):
            self.dispatch(UpstreamReplaced())

    def handle_http(self, request: HttpRequest, respond: Respond) -> None:
        """Handle an announcement of the upstream."""
        announcement = self.read_request(self._read_announcement, request)
        if announcement is None:
            respond(HttpResponse(404))
            return
        if isinstance(announcement, HttpResponse):
            respond(announcement)
            return
        if isinstance(announcement, str):
            self.counters["announcements_malformed"] += 1
            respond(HttpResponse(400, announcement.encode()))
            return
        if isinstance(announcement, UpstreamAnnounced) and not self.core.has_service(
            announcement.service
        ):
            self.counters["announcements_of_unknown_services"] += 1
            respond(HttpResponse(400, b'{"error":"service is not known"}'))
            return
        self.dispatch(announcement)
        respond(HttpResponse(200, b"{}"))

    def carry_out(self, effect: object) -> None:
        """Send a packet or a poll."""
        settings = self.settings
        match effect:
            case SendToUpstream(content=content):
                self._send_upstream(content)
            case SendToCaller(content=content, host=host):
                caller = socket.inet_ntoa(host)
                self.send_packet(self._packets, content, caller, settings.packet_port)
            case SendToEntry(content=content, host=host):
                port = settings.internal_port + RETURN_OFFSET
                entry = socket.inet_ntoa(host)
                self.send_packet(self._packets, content, entry, port)
            case SendToAgent(content=content, host=host):
                self.send_packet(self._packets, content, host, settings.packet_port)
            case SendPoll():
                self.send_poll(effect)
            case SendKeptFlows(message=message, host=host):
                port = settings.internal_port + CONTROL_OFFSET
                self._messages.send(encode(message), host, port)
            case _:
                raise TypeError(f"unexpected effect {effect!r}")

    def _open_upstream(self) -> None:
        if self._upstream is not None:
            self.loop.unwatch(self._upstream)
            self._upstream.close()
            self._upstream = None
        address = self.settings.upstream
        if address is None:
            return
        opened = open_datagram_socket(self.settings.local_host, 0)
        opened.connect((address.host, address.port))
        self.loop.watch(opened, self._read_upstream)
        self._upstream = opened

    def _check_upstream(self) -> None:
        """Find out whether an upstream that has not announced itself may be running.

        Upstreams accept connections for health checks at the address at which they
        receive packets. Only a refusal is a proof; no data is sent.
        """
        address = self.settings.upstream
        if address is None or self.core.has_upstream:
            return
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
            connection.settimeout(UPSTREAM_CHECK_TIMEOUT_S)
            try:
                connection.connect((address.host, address.port))
            except ConnectionRefusedError:
                self.dispatch(UpstreamAbsent())
            except OSError:
                self.counters["upstream_checks_unanswered"] += 1

    def _send_upstream(self, content: bytes) -> None:
        if self._upstream is None:
            self.counters["packets_unsent"] += 1
            return
        try:
            self._upstream.send(content)
        except ConnectionRefusedError:
            self.dispatch(UpstreamClosed())
        except OSError:
            self.counters["packets_unsent"] += 1

    def _read_upstream(self) -> None:
        """Read the error that reports a closed upstream port.

        Packets of the upstream arrive on the outbound socket; one that arrives
        here is counted as misdirected.
        """
        try:
            self._upstream.recv(MAX_PACKET_BYTES)
            self.counters["packets_misdirected"] += 1
        except BlockingIOError:
            return
        except ConnectionRefusedError:
            self.dispatch(UpstreamClosed())
        except OSError:
            self.counters["packets_read_errors"] += 1
