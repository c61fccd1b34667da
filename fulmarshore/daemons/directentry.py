"""Daemon of an entry host of the direct data path."""

from __future__ import annotations

import socket
import time

from fulmarshore.adapters.httpserver import HttpRequest, HttpResponse, Respond
from fulmarshore.daemons.direct import LoadSettings, SubscribedDaemon
from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.records import (
    CallerPacket,
    SendPoll,
    SendToAgent,
    SendToCaller,
    Wake,
    Woken,
)
from fulmarshore.direct.settings import ENTRY_OFFSET, HostSettings

PLACEMENT_PATH = "/placement"


class EntryDaemon(SubscribedDaemon):
    """Forwards callers' packets to agents."""

    port_offset = ENTRY_OFFSET

    def __init__(self, settings: HostSettings, load_settings: LoadSettings) -> None:
        super().__init__("entry", settings, load_settings)
        self.core = EntryCore(
            settings.host,
            settings.zone,
            list(settings.seeds),
            self.random,
            settings.grace_s,
            settings.placement,
            settings.link_bytes_per_s if settings.limits_uploads else 0.0,
        )

    def open(self) -> None:
        """Open the sockets for callers, agents, control hosts and probes."""
        settings = self.settings
        self._packets = self.open_packet_socket(
            settings.local_host, settings.packet_port, CallerPacket
        )
        self.open_returned_socket()
        self.open_message_socket()
        self.serve(settings.readiness)

    def handle(self, event: object, now: float) -> list:
        """Pass an event to the core and return its effects."""
        return self.core.handle(event, now)

    def is_ready(self) -> bool:
        """Return whether this host can take callers' packets."""
        return self.core.is_ready

    def read_gauges(self) -> dict[str, float]:
        """Return the current values for the metrics."""
        return {
            **super().read_gauges(),
            **self.core.read_cost_gauges(),
            "agents": len(self.core.agents),
        }

    def handle_http(self, request: HttpRequest, respond: Respond) -> None:
        """Answer where a new flow would be placed; imported on the first request."""
        path, _, query = request.path.partition("?")
        if path != PLACEMENT_PATH:
            super().handle_http(request, respond)
            return
        if request.method != "GET":
            respond(HttpResponse(405))
            return
        from fulmarshore.direct.explanation import answer_query

        status, body = answer_query(self.core, query, time.monotonic())
        respond(HttpResponse(status, body))

    def carry_out(self, effect: object) -> None:
        """Send a packet or a poll, or set a timer."""
        port = self.settings.packet_port
        match effect:
            case SendToAgent(content=content, host=host):
                self.send_packet(self._packets, content, host, port)
            case SendToCaller(content=content, host=host):
                caller = socket.inet_ntoa(host)
                self.send_packet(self._packets, content, caller, port)
            case SendPoll():
                self.send_poll(effect)
            case Wake(after_s=after_s):
                self.loop.call_later(after_s, lambda: self.dispatch(Woken()))
            case _:
                raise TypeError(f"unexpected effect {effect!r}")
