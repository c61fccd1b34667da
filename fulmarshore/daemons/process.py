"""Base class of the daemons: event loop, signals, logs, metrics, control links."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from abc import ABC, abstractmethod
from collections import Counter
from operator import attrgetter
from pathlib import Path
from random import Random

import logbook
import msgspec
import uvloop
import zmq.asyncio
from msgspec import Struct
from msgspec.structs import replace

from fulmarshore.adapters.keys import KeyFolder, KeyProblem, make_key_name
from fulmarshore.adapters.links import LinkClient
from fulmarshore.adapters.metrics import CoreCollector, Gauges, serve_metrics
from fulmarshore.adapters.sealing import Sealer
from fulmarshore.adapters.security import LinkSecurity, load_security
from fulmarshore.adapters.signals import deliver_signals
from fulmarshore.adapters.timeline import Timeline
from fulmarshore.core.records import (
    Address,
    BindRefused,
    ControlMessage,
    Effect,
    Event,
    Heartbeat,
    HeartbeatReply,
    KeyRole,
    LinkMessage,
    ReplaceLink,
    SendLink,
    Stop,
    Stopped,
    Tick,
    TimelineEvent,
)
from fulmarshore.timeline.flows import FlowTracer

TICK_INTERVAL_S = 0.05
KEY_RING_INTERVAL_S = 2.0

log = logbook.Logger("fulmarshore")


class ProcessSettings(Struct, frozen=True, kw_only=True):
    """Settings common to all daemons.

    Parameters
    ----------
    name, zone : str
        Name of the host and its availability zone.
    region : str
        Name of the region; if empty, the region of the control hosts.
    controls : tuple of Address
        The control hosts' link addresses.
    metrics : Address or None
        Address that serves the metrics; None serves none.
    seed : int or None
        Seed of the process's random numbers; None picks one at random.
    keys : Path or None
        Key folder; without one, only loopback addresses are allowed.
    timeline : Path or None
        File of the time line; None keeps only the newest events in memory.
    """

    name: str
    zone: str
    region: str = ""
    controls: tuple[Address, ...]
    metrics: Address | None = None
    seed: int | None = None
    timeline: Path | None = None
    keys: Path | None = None


class Daemon(ABC):
    """Passes events to a core and executes its effects, until the core has stopped.

    Parameters
    ----------
    role : str
        entry, agent or control.
    settings : ProcessSettings
        The settings of the process.
    """

    def __init__(self, role: str, settings: ProcessSettings) -> None:
        self.role = role
        self.settings = settings
        self.random = Random(settings.seed)
        self.counters: Counter[str] = Counter()
        self.timeline = Timeline(settings.name, role, settings.timeline)
        self.flow_timeline = self.timeline.make_sibling("flows")
        self._flow_tracer = FlowTracer()
        self.context: zmq.asyncio.Context | None = None
        self.links: LinkClient | None = None
        self.security: LinkSecurity | None = None
        self.sealer: Sealer | None = None
        self._key_ring_read_at = 0.0
        self.exit_code = 0
        self._done: asyncio.Event | None = None

    @abstractmethod
    def handle(self, event: Event, now: float) -> list[Effect]:
        """Pass an event to the core and return its effects."""

    @abstractmethod
    def carry_out(self, effect: Effect) -> None:
        """Execute an effect that only this role has."""

    @abstractmethod
    def open(self) -> None:
        """Open the sockets of the role."""

    @abstractmethod
    def close(self) -> None:
        """Close the sockets of the role."""

    def read_gauges(self) -> Gauges:
        """Return the current values for the metrics."""
        return {}

    def list_counters(self) -> list[Counter[str]]:
        """Return the counters for the metrics."""
        return [self.counters]

    def dispatch(self, event: Event) -> None:
        """Pass an event to the core and execute the effects that it returns."""
        self.execute(self.handle(event, time.monotonic()))

    def execute(self, effects: list[Effect]) -> None:
        """Execute effects in order."""
        for effect in effects:
            match effect:
                case SendLink(peer=peer, message=Heartbeat() as message):
                    self.send_link(peer, self._set_clock(message))
                case SendLink(peer=peer, message=HeartbeatReply() as message):
                    self.send_link(peer, self._set_clock(message))
                case SendLink(peer=peer, message=message):
                    self.send_link(peer, message)
                case ReplaceLink(peer=peer):
                    self.replace_link(peer)
                case TimelineEvent():
                    self.record_event(effect)
                case Stopped():
                    self._done.set()
                case _:
                    self.carry_out(effect)

    def send_link(self, peer: str, message: ControlMessage) -> None:
        """Send a message on a control link."""
        if self.links is not None:
            self.links.send(peer, message)

    def replace_link(self, peer: str) -> None:
        """Close an unresponsive link; the next message opens a new one."""
        self.counters["links_replaced"] += 1
        if self.links is not None:
            self.links.reset(peer)

    def record_event(self, event: TimelineEvent) -> None:
        """Write a change of state to the time line and the log."""
        self.timeline.record(event)
        log.info(
            "{} {} {} service={} flow={} peer={} {}",
            self.role,
            self.settings.name,
            event.kind,
            event.service,
            event.flow,
            event.peer,
            event.detail,
        )

    def record_raised_incarnation(self, newest: int) -> None:
        """Record that the incarnation is raised above that of an earlier run."""
        self.counters["incarnations_raised"] += 1
        detail = f"the clock is behind: incarnation raised above {newest}"
        self.record_event(TimelineEvent("incarnation_raised", detail=detail))

    def record_flow_events(self, event: Event, effects: list[Effect]) -> None:
        """Write the events of single flows to the flow time line."""
        for flow_event in self._flow_tracer.observe(event, effects):
            self.flow_timeline.record(flow_event)

    def record_forwarded_flow(self, service: str, flow: bytes, peer: str) -> None:
        """Write a flow whose packets bypass the core to the flow time line."""
        for flow_event in self._flow_tracer.record_forwarded(service, flow, peer):
            self.flow_timeline.record(flow_event)

    def list_addresses(self) -> list[Address]:
        """Return the addresses of links and of the data path."""
        return list(self.settings.controls)

    def get_key_owner(self) -> tuple[KeyRole, str]:
        """Return the role and name under which this process's key is stored."""
        return KeyRole.PROCESS, self.settings.name

    def get_listen_address(self) -> tuple[str, Address]:
        """Return the address that this process listens on, and its flag."""
        return "--data", self.settings.data

    def load_keys(self) -> KeyProblem | None:
        """Read the keys; called before any socket is opened."""
        if self.settings.keys is None:
            return None
        folder = KeyFolder(self.settings.keys)
        security = load_security(folder, *self.get_key_owner())
        if isinstance(security, KeyProblem):
            return security
        for address in self.settings.controls:
            public = folder.read_public(KeyRole.CONTROL, make_key_name(address))
            if isinstance(public, KeyProblem):
                return public
        self.security = security
        if self.role == "control":
            return None
        ring = folder.read_ring()
        if isinstance(ring, KeyProblem):
            return ring
        self.sealer = Sealer(ring)
        return None

    def run(self) -> BindRefused | None:
        """Run until the core has stopped; return the address that cannot be bound."""
        handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
        with handler.applicationbound():
            return uvloop.run(self._run())

    async def prepare_start(self) -> bool:
        """Wait until the role may start; return False if it is told to stop first."""
        return True

    async def _run(self) -> BindRefused | None:
        if not await self.prepare_start():
            return None
        loop = asyncio.get_running_loop()
        self._done = asyncio.Event()
        self.context = zmq.asyncio.Context()
        if self.settings.controls:
            names = {
                format_link(address): address for address in self.settings.controls
            }
            arguments = (self._handle_link_message, self.security, self.counters)
            self.links = LinkClient(self.context, names, *arguments)
        # SIGHUP by default ends a process at once; agents restart with it instead.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, self._stop)
        loop.add_signal_handler(signal.SIGUSR1, self._print_timeline)
        try:
            self.open()
        except OSError as error:
            self.context.destroy(linger=0)
            return self._make_bind_refused(*self.get_listen_address(), error)
        deliver_signals()
        server = None
        if self.settings.metrics is not None:
            collector = CoreCollector(
                self.role, self._list_all_counters, self.read_gauges
            )
            try:
                server, _ = serve_metrics(self.settings.metrics, collector)
            except OSError as error:
                self.close()
                self.context.destroy(linger=0)
                return self._make_bind_refused(
                    "--metrics", self.settings.metrics, error
                )
        self.record_event(TimelineEvent("started", detail=f"pid {os.getpid()}"))
        if self.security is None:
            log.warn("no --keys: nothing is authenticated, nothing is encrypted")
        while not self._done.is_set():
            self.dispatch(Tick())
            self.timeline.flush()
            self.flow_timeline.flush()
            self._refresh_key_ring()
            await self._wait_for_tick()
        await asyncio.sleep(TICK_INTERVAL_S)
        self.close()
        if self.links is not None:
            self.links.close()
        if server is not None:
            server.shutdown()
            server.server_close()
        self.context.destroy(linger=200)
        self.record_event(TimelineEvent("stopped"))
        self.timeline.flush()
        self.flow_timeline.flush()
        return None

    def _make_bind_refused(
        self, flag: str, address: Address, error: OSError
    ) -> BindRefused:
        detail = error.strerror or str(error)
        return BindRefused("bind", self.settings.name, flag, address, detail)

    async def _wait_for_tick(self) -> None:
        try:
            await asyncio.wait_for(self._done.wait(), TICK_INTERVAL_S)
        except TimeoutError:
            return

    def _set_clock(self, message: Heartbeat | HeartbeatReply) -> ControlMessage:
        return replace(message, clock=self.timeline.stamp())

    def _handle_link_message(self, peer: str, message: ControlMessage) -> None:
        if isinstance(message, Heartbeat | HeartbeatReply):
            self.timeline.observe(message.clock)
        self.dispatch(LinkMessage(peer, message))

    def _list_all_counters(self) -> list[Counter[str]]:
        own = Counter(
            {
                "timeline_overwritten": self.timeline.overwritten,
                "timeline_failed_writes": self.timeline.failed_writes,
                "clock_refused": self.timeline.clock.rejected,
            }
        )
        return [own, *self.list_counters()]

    def _refresh_key_ring(self) -> None:
        """Switch to a changed key ring; keep the old one if it is unreadable."""
        if self.sealer is None:
            return
        self.sealer.refresh()
        now = time.monotonic()
        if self.security is None or now - self._key_ring_read_at < KEY_RING_INTERVAL_S:
            return
        self._key_ring_read_at = now
        ring = self.security.folder.read_ring()
        if isinstance(ring, KeyProblem):
            self.counters["key_ring_unreadable"] += 1
            return
        if ring == self.sealer.ring:
            return
        self.sealer.use_ring(ring)
        numbers = ", ".join(str(key.number) for key in ring.keys)
        self.record_event(TimelineEvent("key_ring_changed", detail=f"keys {numbers}"))

    def _stop(self) -> None:
        self.record_event(TimelineEvent("stopping"))
        self.dispatch(Stop())

    def _print_timeline(self) -> None:
        entries = [*self.timeline.ring, *self.flow_timeline.ring]
        for entry in sorted(entries, key=attrgetter("clock")):
            sys.stderr.buffer.write(msgspec.json.encode(entry) + b"\n")
        sys.stderr.flush()


def measure_age(moment: float) -> float:
    """Return the seconds since a time of the monotonic clock."""
    return time.monotonic() - moment


def format_link(address: Address) -> str:
    """Return the name of the link to a control host, `host:port`."""
    return f"{address.host}:{address.port}"


def make_incarnation() -> int:
    """Return an incarnation, the wall-clock time in microseconds.

    It is above those of earlier starts on this host unless the clock was set back.
    """
    return time.time_ns() // 1_000
