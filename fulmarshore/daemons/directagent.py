"""The daemon of an agent of the direct data path."""

from __future__ import annotations

import secrets
import socket
from collections.abc import Callable

from fulmarshore.adapters.httpserver import HttpRequest, HttpResponse, Respond
from fulmarshore.adapters.messages import open_datagram_socket
from fulmarshore.daemons.direct import Load, SubscribedDaemon
from fulmarshore.direct.agent import AgentCore
from fulmarshore.direct.latency import LatencyHistogram
from fulmarshore.direct.packets import MAX_PACKET_BYTES
from fulmarshore.direct.records import (
    CallerPacket,
    SendPoll,
    SendToAgent,
    SendToCaller,
    SendToEntry,
    SendToUpstream,
    UpstreamAnnounced,
    UpstreamClosed,
    UpstreamDeparted,
    UpstreamPacket,
    UpstreamReplaced,
)
from fulmarshore.direct.settings import AGENT_OFFSET, RETURN_OFFSET, HostSettings

ReadAnnouncement = Callable[
    [HttpRequest], "UpstreamAnnounced | UpstreamDeparted | str | None"
]


class AgentDaemon(SubscribedDaemon):
    """Carries packets to and from one upstream.

    Parameters
    ----------
    settings : HostSettings
        Settings of the process.
    load : callable
        Returns settings that have changed.
    read_announcement : callable
        Reads what the upstream says of itself from an HTTP request: an event,
        what is wrong with it, or None where the path is another.
    """

    port_offset = AGENT_OFFSET

    def __init__(
        self, settings: HostSettings, load: Load, read_announcement: ReadAnnouncement
    ) -> None:
        super().__init__("agent", settings, load)
        process = secrets.randbits(63)
        self.core = AgentCore(
            settings.host,
            settings.zone,
            list(settings.seeds),
            process,
            settings.upstreams,
            settings.grace_s,
        )
        self._read_announcement = read_announcement
        self._upstream: socket.socket | None = None

    def open(self) -> None:
        """Open the sockets for entry hosts, the upstream and control hosts."""
        settings = self.settings
        self._packets = self.open_packets(
            settings.local_host, settings.packet_port, CallerPacket
        )
        outbound = settings.localize(settings.outbound)
        self._outbound = self.open_packets(outbound.host, outbound.port, UpstreamPacket)
        self._open_upstream()
        self.open_returned()
        self.open_messages()
        self.serve(settings.readiness)
        self.serve(settings.orders)

    def handle(self, event: object, now: float) -> list:
        """Hand an event to the core."""
        return self.core.handle(event, now)

    def is_ready(self) -> bool:
        """Whether the agent knows what it needs."""
        return self.core.is_ready

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        busy, queue_length = self.core.busy, self.core.queue_length
        return {**super().read_gauges(), "busy": busy, "waiting": queue_length}

    def list_latencies(self) -> dict[str, LatencyHistogram]:
        """Return the histograms for the metrics."""
        return {"work_seconds": self.core.work_time}

    def use_settings(self, settings: HostSettings) -> None:
        """Take new seeds, and another address of the upstream."""
        former = self.settings
        super().use_settings(settings)
        if settings.upstream != former.upstream:
            self._open_upstream()
        if (settings.upstream, settings.service) != (former.upstream, former.service):
            self.dispatch(UpstreamReplaced())

    def answer_http(self, request: HttpRequest, respond: Respond) -> None:
        """Take what the upstream says of itself."""
        found = self._read_announcement(request)
        if found is None:
            respond(HttpResponse(404))
            return
        if isinstance(found, str):
            self.counters["announcements_malformed"] += 1
            respond(HttpResponse(400, found.encode()))
            return
        if isinstance(found, UpstreamAnnounced) and not self.core.has_service(
            found.service
        ):
            self.counters["announcements_of_unknown_services"] += 1
            respond(HttpResponse(400, b'{"error":"service is not known"}'))
            return
        self.dispatch(found)
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
        """Learn from an error that nobody listens; packets come elsewhere."""
        try:
            self._upstream.recv(MAX_PACKET_BYTES)
            self.counters["packets_misdirected"] += 1
        except BlockingIOError:
            return
        except ConnectionRefusedError:
            self.dispatch(UpstreamClosed())
        except OSError:
            self.counters["packets_read_errors"] += 1
