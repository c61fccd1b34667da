"""Measures the load on one control host when a whole region starts.

All subscribers are in this process, over the pure cores. The control host is
modelled as a server with a queue: decoding, handling and encoding a message
takes as long in the model as the processor time it took here, and messages
that arrive meanwhile wait. Its link sends one frame after another. All times
are those of the model; they are longer on a busy machine.
"""

from __future__ import annotations

import heapq
import time
from collections import deque
from random import Random

from msgspec import Struct

from fulmarshore.bench.capacity import list_items
from fulmarshore.core.codec import decode_control, encode
from fulmarshore.core.records import (
    Announcement,
    Delta,
    EntryHost,
    Event,
    Heartbeat,
    Identity,
    LinkMessage,
    Member,
    SendLink,
    Store,
    Stored,
    Tick,
)
from fulmarshore.membership.control import ControlCore
from fulmarshore.membership.subscriber import Subscriber

ENDPOINTS = 2170
TICK_INTERVAL_S = 0.05
DELAY_S = 0.0005
LINK_BYTES_PER_S = 125_000_000
SPREAD_S = 0.2
"""Time within which all processes of the region start."""
LIMIT_S = 20.0
"""Upper limit of the modelled time of one start."""
CONTROL = "control"


class StartCost(Struct, frozen=True):
    """Load of one start of all processes on one control host.

    Parameters
    ----------
    case : str
        "first start", or "restart of all" after an earlier start.
    subscribers : int
        Number of processes that start.
    confirmed_s, settled_s : float
        Time until every process has a view from a control host known to be
        up to date, and until every view lists all processes; `LIMIT_S` if
        that is not reached.
    server_s : float
        Processor time of the control host.
    longest_wait_s : float
        Longest time that a heartbeat or announcement waited for the server.
    sent_mb : float
        Megabytes that the control host sent.
    snapshots, announcements : int
        Snapshots sent, and announcements received.
    moves : int
        How often a process found the control host unresponsive.
    """

    case: str
    subscribers: int
    confirmed_s: float
    settled_s: float
    server_s: float
    longest_wait_s: float
    sent_mb: float
    snapshots: int
    announcements: int
    moves: int


class StartReport(Struct, frozen=True):
    """All starts of the run."""

    starts: list[StartCost]


class ControlServer:
    """Models a control host with a queue of messages and a link.

    Parameters
    ----------
    core : ControlCore
        The core of the control host.
    """

    def __init__(self, core: ControlCore) -> None:
        self.core = core
        self.queue: deque[tuple[float, str, bytes | Event]] = deque()
        self.free_at = 0.0
        self.link_free_at = 0.0
        self.seconds = 0.0
        self.longest_wait = 0.0
        self.sent_bytes = 0
        self.snapshots = 0
        self.announcements = 0

    def serve(self) -> list[tuple[float, SendLink]]:
        """Handle the oldest message; return what is sent, with arrival times."""
        arrived, peer, content = self.queue.popleft()
        start = max(arrived, self.free_at)
        before = time.process_time()
        event = content
        if isinstance(content, bytes):
            event = LinkMessage(peer, decode_control(content, peer))
        sent = self._handle(event, start)
        frames = [(effect, encode(effect.message)) for effect in sent]
        taken = time.process_time() - before
        self.seconds += taken
        self.free_at = start + taken
        if isinstance(content, bytes):
            self.longest_wait = max(self.longest_wait, self.free_at - arrived)
            self.announcements += not isinstance(event.message, Heartbeat)
        return [(self._transmit(frame, effect), effect) for effect, frame in frames]

    def _handle(self, event: Event, now: float) -> list[SendLink]:
        sent = []
        waiting = [event]
        while waiting:
            for effect in self.core.handle(waiting.pop(0), now):
                if isinstance(effect, Store):
                    waiting.append(Stored(effect.sequence))
                if isinstance(effect, SendLink):
                    sent.append(effect)
        return sent

    def _transmit(self, frame: bytes, effect: SendLink) -> float:
        self.sent_bytes += len(frame)
        if isinstance(effect.message, Delta):
            self.snapshots += effect.message.since == 0
        started_at = max(self.free_at, self.link_free_at)
        self.link_free_at = started_at + len(frame) / LINK_BYTES_PER_S
        return self.link_free_at + DELAY_S


class RegionStart:
    """Simulates one start of all processes of a region.

    Parameters
    ----------
    server : ControlServer
        The control host to which all processes subscribe.
    announcements : list of Announcement
        The announcement of each process.
    now : float
        Time when the first process starts, in seconds.
    """

    def __init__(
        self, server: ControlServer, announcements: list[Announcement], now: float
    ) -> None:
        self.server = server
        self.now = now
        self.started_at = now
        self.random = Random(1)
        self.subscribers: dict[str, Subscriber] = {}
        self._pending: list[tuple[float, int, str, object]] = []
        self._serial = 0
        for item in announcements:
            identity = Identity(item.name, item.incarnation)
            subscriber = Subscriber(identity, item, [CONTROL], Random(item.name))
            self.subscribers[item.name] = subscriber
            self._schedule(now + self.random.random() * SPREAD_S, item.name, Tick())
        self._schedule(now, CONTROL, Tick())

    def run(self, case: str) -> StartCost:
        """Run until every process has applied the view with all processes."""
        confirmed = settled = self.started_at + LIMIT_S
        checked = self.now
        while self.now < self.started_at + LIMIT_S:
            self._step()
            if self.now - checked < TICK_INTERVAL_S:
                continue
            checked = self.now
            if confirmed > self.now and self._is_confirmed():
                confirmed = self.now
            if confirmed <= self.now and self._is_settled():
                settled = self.now
                break
        server = self.server
        moves = (
            subscriber.counters["control_moves"]
            for subscriber in self.subscribers.values()
        )
        return StartCost(
            case,
            len(self.subscribers),
            round(confirmed - self.started_at, 2),
            round(settled - self.started_at, 2),
            round(server.seconds, 2),
            round(server.longest_wait, 2),
            round(server.sent_bytes / 1e6, 1),
            server.snapshots,
            server.announcements,
            sum(moves),
        )

    def _step(self) -> None:
        """Process the next pending event, or the oldest message of the server."""
        queue = self.server.queue
        if queue and max(queue[0][0], self.server.free_at) <= self._pending[0][0]:
            for at, effect in self.server.serve():
                self._schedule(at, effect.peer, effect.message)
            self.now = max(self.now, self.server.free_at)
            return
        at, _, name, content = heapq.heappop(self._pending)
        self.now = max(self.now, at)
        if name == CONTROL:
            queue.append((at, CONTROL, Tick()))
            self._schedule(at + TICK_INTERVAL_S, CONTROL, Tick())
            return
        subscriber = self.subscribers.get(name)
        if subscriber is None:
            return
        if isinstance(content, Tick):
            effects = subscriber.tick(at)
            self._schedule(at + TICK_INTERVAL_S, name, content)
        else:
            effects = subscriber.handle(LinkMessage(CONTROL, content), at)
        for effect in effects:
            if isinstance(effect, SendLink):
                frame = encode(effect.message)
                queue.append((at + DELAY_S, name, frame))

    def _is_confirmed(self) -> bool:
        return all(subscriber.view.version for subscriber in self.subscribers.values())

    def _is_settled(self) -> bool:
        version = self.server.core.state.view.version
        for subscriber in self.subscribers.values():
            if subscriber.view.version != version or not subscriber.is_member:
                return False
        return True

    def _schedule(self, at: float, name: str, content: object) -> None:
        self._serial += 1
        heapq.heappush(self._pending, (at, self._serial, name, content))


def run(endpoints: int = ENDPOINTS) -> StartReport:
    """Measure a third of the region and all of it, first start and restart."""
    costs = []
    for share in (3, 1):
        costs += measure(endpoints // share)
    return StartReport(costs)


def measure(endpoints: int) -> list[StartCost]:
    """Measure the first start of a region and the restart of all its processes."""
    core = ControlCore(CONTROL)
    costs = []
    now = 0.0
    for incarnation, case in ((1, "first start"), (2, "restart of all")):
        server = ControlServer(core)
        server.free_at = server.link_free_at = now
        start = RegionStart(server, list_announcements(endpoints, incarnation), now)
        costs.append(start.run(case))
        now = max(start.now, server.free_at) + 1.0
    return costs


def list_announcements(endpoints: int, incarnation: int) -> list[Announcement]:
    """Return the announcements of the processes of a region."""
    announced: list[Announcement] = []
    for item in list_items(endpoints):
        match item:
            case Member():
                service, zone = item.service, item.zone
                address = (item.host, item.port)
                announced.append(
                    Member(item.name, incarnation, service, zone, *address)
                )
            case EntryHost():
                address = (item.host, item.port)
                announced.append(EntryHost(item.name, incarnation, item.zone, *address))
    return announced
