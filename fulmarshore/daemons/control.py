"""The control daemon: links to subscribers and operators."""

from __future__ import annotations

from collections import Counter

from fulmarshore.adapters.keys import format_owner
from fulmarshore.adapters.links import LinkServer
from fulmarshore.adapters.metrics import Gauges
from fulmarshore.core.records import (
    Address,
    ControlMessage,
    Effect,
    Event,
    KeyRole,
)
from fulmarshore.daemons.process import Daemon, ProcessSettings
from fulmarshore.membership.control import ControlCore


class ControlSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of a control host.

    Parameters
    ----------
    listen : Address
        Where subscribers and operators connect.
    """

    listen: Address


class ControlDaemon(Daemon):
    """Runs the core of a control host on real links."""

    def __init__(self, settings: ControlSettings) -> None:
        super().__init__("control", settings)
        self.core = ControlCore(settings.name)
        self._server: LinkServer | None = None

    def open(self) -> None:
        """Open the links."""
        self._server = LinkServer(
            self.context,
            self.settings.listen,
            self._take_link,
            self.security,
            self.counters,
        )

    def list_addresses(self) -> list[Address]:
        """Return the addresses of links."""
        return [self.settings.listen]

    def find_owner(self) -> tuple[KeyRole, str]:
        """Return under which role and name this host's key is kept."""
        return KeyRole.CONTROL, format_owner(self.settings.listen)

    def close(self) -> None:
        """Close the links."""
        self._server.close()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Hand an event to the core."""
        return self.core.handle(event, now)

    def send_link(self, peer: str, message: ControlMessage) -> None:
        """Send a message to a subscriber or an operator."""
        self._server.send(peer, message)

    def carry_out(self, effect: Effect) -> None:
        """Refuse effects that a control host never has."""
        raise AssertionError(f"unexpected effect {effect!r}")

    def read_gauges(self) -> Gauges:
        """Return the current values for the metrics."""
        return {
            "version": self.core.state.view.version,
            "subscribers": len(self.core.registry.subscriptions),
        }

    def list_counters(self) -> list[Counter[str]]:
        """Return the counters for the metrics."""
        return [self.counters, self.core.counters]
