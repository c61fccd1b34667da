"""What every daemon shares: clock, loop, signals, logs, metrics, links."""

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
RING_INTERVAL_S = 2.0

log = logbook.Logger("fulmarshore")


class ProcessSettings(Struct, frozen=True, kw_only=True):
    """Settings that all daemons share.

    Parameters
    ----------
    name, zone : str
        Name of the host and its availability zone.
    region : str
        Name of the region; empty joins whichever the control hosts are in.
    controls : tuple of Address
        The control hosts' link addresses.
    metrics : Address or None
        Where the metrics are served.
    seed : int or None
        Seed of the process's random choices; None draws one.
    keys : Path or None
        Folder of the keys; None allows loopback addresses only.
    timeline : Path or None
        Where the time line is written; None keeps the newest events only.
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
    """Runs a core: events in, effects out, until the core has stopped.

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
        self._watch = FlowTracer()
        self.context: zmq.asyncio.Context | None = None
        self.links: LinkClient | None = None
        self.security: LinkSecurity | None = None
        self.sealer: Sealer | None = None
        self._ring_read_at = 0.0
        self.exit_code = 0
        self._done: asyncio.Event | None = None

    @abstractmethod
    def handle(self, event: Event, now: float) -> list[Effect]:
        """Hand an event to the core."""

    @abstractmethod
    def carry_out(self, effect: Effect) -> None:
        """Carry out an effect that is the role's own."""

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
        """Hand an event to the core and carry out what it returns."""
        self.execute(self.handle(event, time.monotonic()))

    def execute(self, effects: list[Effect]) -> None:
        """Carry out effects in their order."""
        for effect in effects:
            match effect:
                case SendLink(peer=peer, message=Heartbeat() as message):
                    self.send_link(peer, self._stamp(message))
                case SendLink(peer=peer, message=HeartbeatReply() as message):
                    self.send_link(peer, self._stamp(message))
                case SendLink(peer=peer, message=message):
                    self.send_link(peer, message)
                case ReplaceLink(peer=peer):
                    self.replace_link(peer)
                case TimelineEvent():
                    self.note(effect)
                case Stopped():
                    self._done.set()
                case _:
                    self.carry_out(effect)

    def send_link(self, peer: str, message: ControlMessage) -> None:
        """Send a message on a control link."""
        if self.links is not None:
            self.links.send(peer, message)

    def replace_link(self, peer: str) -> None:
        """Close a link that went silent; the next message opens another."""
        self.counters["links_replaced"] += 1
        if self.links is not None:
            self.links.reset(peer)

    def note(self, event: TimelineEvent) -> None:
        """Put a change of state on the time line and into the log."""
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

    def note_outdated(self, newest: int) -> None:
        """Put on the time line that an earlier life had a newer incarnation."""
        self.counters["incarnations_raised"] += 1
        detail = f"the clock is behind: raised above {newest}"
        self.note(TimelineEvent("incarnation_raised", detail=detail))

    def watch_flows(self, event: Event, effects: list[Effect]) -> None:
        """Put what happens to single flows on a time line of their own."""
        for told in self._watch.observe(event, effects):
            self.flow_timeline.record(told)

    def watch_forwarded(self, service: str, flow: bytes, peer: str) -> None:
        """Put a flow that went out without the core on its time line."""
        for told in self._watch.record_forwarded(service, flow, peer):
            self.flow_timeline.record(told)

    def list_addresses(self) -> list[Address]:
        """Return the addresses of links and of the data path."""
        return list(self.settings.controls)

    def find_owner(self) -> tuple[KeyRole, str]:
        """Return under which role and name this process's key is kept."""
        return KeyRole.PROCESS, self.settings.name

    def get_bound(self) -> tuple[str, Address]:
        """Return the flag and the address that this process listens on."""
        return "--data", self.settings.data

    def load_keys(self) -> KeyProblem | None:
        """Read the keys, before anything is opened."""
        if self.settings.keys is None:
            return None
        folder = KeyFolder(self.settings.keys)
        security = load_security(folder, *self.find_owner())
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
        """Run until the core has stopped, or tell what cannot be listened on."""
        handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
        with handler.applicationbound():
            return uvloop.run(self._run())

    async def _run(self) -> BindRefused | None:
        loop = asyncio.get_running_loop()
        self._done = asyncio.Event()
        self.context = zmq.asyncio.Context()
        if self.settings.controls:
            names = {
                format_link(address): address for address in self.settings.controls
            }
            shared = (self._take_link, self.security, self.counters)
            self.links = LinkClient(self.context, names, *shared)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        loop.add_signal_handler(signal.SIGUSR1, self._show_timeline)
        try:
            self.open()
        except OSError as error:
            self.context.destroy(linger=0)
            return self._refuse_bind(*self.get_bound(), error)
        server = None
        if self.settings.metrics is not None:
            collector = CoreCollector(self.role, self._count_all, self.read_gauges)
            try:
                server, _ = serve_metrics(self.settings.metrics, collector)
            except OSError as error:
                self.close()
                self.context.destroy(linger=0)
                return self._refuse_bind("--metrics", self.settings.metrics, error)
        self.note(TimelineEvent("started", detail=f"pid {os.getpid()}"))
        if self.security is None:
            log.warn("no --keys: nothing is authenticated, nothing is encrypted")
        while not self._done.is_set():
            self.dispatch(Tick())
            self.timeline.flush()
            self.flow_timeline.flush()
            self._refresh_ring()
            await self._wait_tick()
        await asyncio.sleep(TICK_INTERVAL_S)
        self.close()
        if self.links is not None:
            self.links.close()
        if server is not None:
            server.shutdown()
            server.server_close()
        self.context.destroy(linger=200)
        self.note(TimelineEvent("stopped"))
        self.timeline.flush()
        self.flow_timeline.flush()
        return None

    def _refuse_bind(self, flag: str, address: Address, error: OSError) -> BindRefused:
        detail = error.strerror or str(error)
        return BindRefused("bind", self.settings.name, flag, address, detail)

    async def _wait_tick(self) -> None:
        try:
            await asyncio.wait_for(self._done.wait(), TICK_INTERVAL_S)
        except TimeoutError:
            return

    def _stamp(self, message: Heartbeat | HeartbeatReply) -> ControlMessage:
        return replace(message, clock=self.timeline.stamp())

    def _take_link(self, peer: str, message: ControlMessage) -> None:
        if isinstance(message, Heartbeat | HeartbeatReply):
            self.timeline.observe(message.clock)
        self.dispatch(LinkMessage(peer, message))

    def _count_all(self) -> list[Counter[str]]:
        own = Counter(
            {
                "timeline_overwritten": self.timeline.overwritten,
                "timeline_failed_writes": self.timeline.failed_writes,
                "clock_refused": self.timeline.clock.rejected,
            }
        )
        return [own, *self.list_counters()]

    def _refresh_ring(self) -> None:
        """Take up a changed ring; an unreadable one leaves the old in use."""
        if self.sealer is None:
            return
        self.sealer.refresh()
        now = time.monotonic()
        if self.security is None or now - self._ring_read_at < RING_INTERVAL_S:
            return
        self._ring_read_at = now
        ring = self.security.folder.read_ring()
        if isinstance(ring, KeyProblem):
            self.counters["key_ring_unreadable"] += 1
            return
        if ring == self.sealer.ring:
            return
        self.sealer.use_ring(ring)
        numbers = ", ".join(str(key.number) for key in ring.keys)
        self.note(TimelineEvent("key_ring_changed", detail=f"keys {numbers}"))

    def _stop(self) -> None:
        self.note(TimelineEvent("stopping"))
        self.dispatch(Stop())

    def _show_timeline(self) -> None:
        held = [*self.timeline.ring, *self.flow_timeline.ring]
        for entry in sorted(held, key=attrgetter("clock")):
            sys.stderr.buffer.write(msgspec.json.encode(entry) + b"\n")
        sys.stderr.flush()


def measure_age(moment: float) -> float:
    """Return the seconds since a moment of the monotonic clock."""
    return time.monotonic() - moment


def format_link(address: Address) -> str:
    """Return the name of the link to a control host."""
    return f"{address.host}:{address.port}"


def draw_incarnation() -> int:
    """Return an incarnation above that of every earlier start on this host."""
    return time.time_ns() // 1_000
