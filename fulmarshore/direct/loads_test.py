"""Entry hosts, agents and callers in simulated time, for tests of placement."""

import heapq
import itertools
import socket
from collections import Counter, deque
from dataclasses import dataclass, field
from math import exp
from random import Random

from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.packets import (
    ACK,
    FIN,
    MARK_ADMITTED,
    MARK_BUSY,
    MARK_OFFER,
    MARK_QUEUE_FAILED,
    MARK_QUEUED,
    MARK_REFUSED_CLOSED,
    SYN,
    LoadReport,
    make_notice,
    mark_packet,
    parse_packet,
)
from fulmarshore.direct.records import (
    AgentReport,
    Backend,
    CallerPacket,
    Decision,
    ReturnedPacket,
    Route,
    SendToAgent,
    SendToCaller,
    Table,
    Ticked,
    Update,
    UpdateReceived,
    Urgency,
    Wake,
    Woken,
)
from fulmarshore.standins.directends import make_flow, make_packet

PORT = 443
WORK_S = 0.05
QUEUE_LIMIT_S = 0.65
CALLER_LIMIT_S = 1.4


@dataclass
class Load:
    """A load, and the upstreams that serve it."""

    name: str = ""
    speeds: tuple = (1.0,) * 12
    services: tuple = ("desk",)
    weights: tuple = (1,)
    zones: tuple = ("a", "b", "c")
    slots: int = 1
    entries: int = 6
    utilization: float = 0.65
    tail: float = 0.0
    moves: bool = False
    # The first upstream answers nothing from the first time to the second one.
    hang: tuple = (0.0, 0.0)
    # Number of an upstream whose agent always reports that it has no wait.
    liar: int = -1
    report_age_s: float = 0.0
    duration_s: float = 15.0
    objective_s: float = 0.1
    closed: tuple = ()
    zones_out: tuple = ()
    recovers_at: float = float("inf")
    slow: int = -1
    hang_service: tuple = (0.0, 0.0)


@dataclass
class Outcome:
    """What callers got."""

    latencies: list = field(default_factory=list)
    waits: list = field(default_factory=list)
    failed: int = 0
    work: Counter = field(default_factory=Counter)
    opened: Counter = field(default_factory=Counter)
    late_opened: Counter = field(default_factory=Counter)
    unbidden: Counter = field(default_factory=Counter)
    queued: Counter = field(default_factory=Counter)
    services: Counter = field(default_factory=Counter)
    details: list = field(default_factory=list)

    def percentile(self, share=0.99):
        return sorted(self.latencies)[int(len(self.latencies) * share)]

    def mean_wait(self):
        return sum(self.waits) / len(self.waits)

    def imbalance(self):
        return max(self.work.values()) * len(self.work) / sum(self.work.values())


class Upstream:
    """An upstream and its agent, reduced to what the notices say."""

    def __init__(self, world, number, load, service):
        self.world, self.load, self.number = world, load, number
        self.host = f"10.1.0.{number + 1}"
        self.zone = load.zones[number % len(load.zones)]
        self.service = service
        self.running, self.queue = {}, deque()
        self.mean, self.level, self.level_at, self.reported = 0.0, 0.0, 0.0, 0
        self.revision, self.ended_at = 1, 0.0

    def speed(self):
        world, load = self.world, self.load
        if load.slow == self.number:
            return 1.0 if world.now >= load.recovers_at else 6.0
        return load.speeds[self.number]

    def find_hang_end(self):
        """Return when the upstream answers again; 0 if it does not hang."""
        is_first = self.service == self.load.services[0]
        for applies, (start, end) in (
            (self.number == 0, self.load.hang),
            (is_first, self.load.hang_service),
        ):
            if applies and start <= self.world.now < end:
                return end
        return 0.0

    def measure(self):
        gap = self.world.now - self.level_at
        busy = len(self.running) / self.load.slots
        self.level += (busy - self.level) * min(1.0, gap / 3.0)
        self.level_at = self.world.now

    def read_load(self):
        if self.load.liar == self.number:
            return LoadReport(0, max(1, round(self.mean * 1000)), 0)
        left = []
        for started, _ in self.running.values():
            ran = self.world.now - started
            left.append(max(self.mean - ran, self.mean / 10, ran - self.mean))
        left += [0.0] * (self.load.slots - len(left))
        wait = min(left) + len(self.queue) * self.mean / self.load.slots
        return LoadReport(
            round(wait * 1000), round(self.mean * 1000), round(10 * self.level)
        )

    def handle(self, content, entry):
        packet = parse_packet(content)
        world, own = self.world, socket.inet_aton(self.host)
        if packet is None or not packet.is_opening or packet.flow in self.running:
            return
        self.measure()
        is_full = len(self.running) >= self.load.slots
        report = self.read_load()
        mark, reply = MARK_ADMITTED, None
        if self.number in self.load.closed:
            world.outcome.unbidden[self.number] += 1
            reply = mark_packet(packet, MARK_REFUSED_CLOSED, own)
        elif is_full and packet.mark == MARK_OFFER:
            waiting = len(self.running) + len(self.queue)
            told = report.wait_ms if world.by_cost else waiting
            reply = mark_packet(packet, MARK_BUSY, own, told)
        elif is_full:
            mark = MARK_QUEUED
            world.outcome.queued[self.number] += 1
            self.queue.append((world.now, packet, entry))
        else:
            self.start(packet)
        if reply is None:
            has_load = world.by_cost and not self.load.report_age_s
            report = self.read_load() if has_load else LoadReport()
            reply = make_notice(packet, mark, own, report)
        world.return_packet(self, entry, reply)

    def start(self, packet):
        world = self.world
        request = world.requests.get(packet.flow)
        work = WORK_S * request.factor * self.speed()
        self.running[packet.flow] = (world.now, work)
        world.outcome.opened[self.number] += 1
        world.outcome.services[self.service] += 1
        if world.now >= self.load.duration_s - 10.0:
            world.outcome.late_opened[self.number] += 1
        if request.started_at is None:
            request.started_at = world.now
        if end := self.find_hang_end():
            work += end - world.now
        world.later(work, lambda: self.finish(packet, request))

    def finish(self, packet, request):
        self.measure()
        world = self.world
        _, work = self.running.pop(packet.flow)
        took = work
        # The mean is weighted by count, and old samples count less.
        weight = max(0.05, 1 - exp((self.ended_at - world.now) / 10.0))
        self.ended_at = world.now
        self.mean = took if not self.mean else self.mean + weight * (took - self.mean)
        world.outcome.work[self.number] += work
        world.end(request)
        while self.queue and len(self.running) < self.load.slots:
            arrived, waiting, entry = self.queue.popleft()
            if world.now - arrived > QUEUE_LIMIT_S:
                own = socket.inet_aton(self.host)
                failed = mark_packet(waiting, MARK_QUEUE_FAILED, own)
                world.return_packet(self, entry, failed)
                continue
            self.start(waiting)

    def report(self):
        load, read = self.load, self.read_load()
        return AgentReport(
            self.host,
            1,
            self.revision,
            self.zone,
            self.service,
            self.number not in load.closed,
            False,
            load.slots,
            0,
            0,
            load_level=read.load_level if self.world.by_cost else 0,
            work_ms=read.work_ms if self.world.by_cost else 0,
        )


@dataclass
class Request:
    """A request of a caller."""

    flow: bytes
    entry: int
    factor: float
    arrived_at: float
    started_at: float | None = None
    is_done: bool = False


class World:
    """Entry hosts, upstreams and callers in simulated time."""

    def __init__(self, load, by_cost, seed):
        self.load, self.by_cost, self.now = load, by_cost, 0.0
        self.events, self.order = [], itertools.count()
        self.requests, self.outcome, self.revision = {}, Outcome(), 1
        self.random = Random(seed)
        per_service = len(load.speeds) // len(load.services)
        self.upstreams = [
            Upstream(self, number, load, load.services[number // per_service])
            for number in range(len(load.speeds))
        ]
        self.by_host = {upstream.host: upstream for upstream in self.upstreams}
        placement = "cost" if by_cost else "flows"
        self.entries = [
            EntryCore(
                f"10.2.0.{number + 1}",
                load.zones[number % len(load.zones)],
                ["c1"],
                Random(seed + number),
                placement=placement,
            )
            for number in range(load.entries)
        ]
        backends = tuple(map(Backend, load.services, load.weights))
        address = make_flow(1, PORT)[6:]
        route = Route(address, backends, Urgency(0, load.objective_s))
        self.table = Table(1, 1, (route,), zones_out=load.zones_out)

    def later(self, after_s, action):
        heapq.heappush(self.events, (self.now + after_s, next(self.order), action))

    def update(self, reports, is_complete):
        self.revision += 1
        fields = (("c1",), "c1", 1, b"", 1, self.revision, 99.0, 99.0)
        update = Update(*fields, is_complete, tuple(reports))
        for number in range(len(self.entries)):
            self.give(number, UpdateReceived("c1", update, self.table))

    def give(self, number, event):
        entry = self.entries[number]
        for effect in entry.handle(event, self.now):
            match effect:
                case SendToAgent(content=content, host=host):
                    upstream = self.by_host[host]
                    delay = (
                        0.0005 if upstream.zone == entry_zone(self, number) else 2e-3
                    )
                    self.later(delay, lambda u=upstream, c=content: u.handle(c, number))
                case SendToCaller():
                    flow = effect.content[6:12] + effect.content[:6]
                    self.fail(self.requests.get(flow))
                case Wake(after_s=after_s):
                    self.later(after_s, lambda: self.give(number, Woken()))
                case Decision(kind="flow_offered"):
                    self.outcome.details.append(effect.detail)

    def return_packet(self, upstream, entry, content):
        delay = 0.0005 if upstream.zone == entry_zone(self, entry) else 2e-3
        event = ReturnedPacket(content, upstream.host)
        self.later(delay, lambda: self.give(entry, event))

    def arrive(self, request):
        self.requests[request.flow] = request
        opening = make_packet(request.flow[:6], request.flow[6:], SYN, 1, 0)
        self.give(request.entry, CallerPacket(opening))
        self.later(CALLER_LIMIT_S, lambda: self.fail(request))

    def fail(self, request):
        if request is not None and not request.is_done:
            request.is_done = True
            self.outcome.failed += 1

    def end(self, request):
        if not request.is_done:
            request.is_done = True
            self.outcome.latencies.append(self.now - request.arrived_at)
            self.outcome.waits.append(request.started_at - request.arrived_at)
        source, destination = request.flow[:6], request.flow[6:]
        ending = make_packet(source, destination, ACK | FIN, 2, 1)
        self.give(request.entry, CallerPacket(ending))

    def tick(self):
        changed = []
        for upstream in self.upstreams:
            upstream.measure()
            level = round(10 * upstream.level)
            if abs(level - upstream.reported) >= 2:
                upstream.reported, upstream.revision = level, upstream.revision + 1
                changed.append(upstream.report())
        if changed and self.by_cost:
            age_s = self.random.uniform(0, self.load.report_age_s)
            self.later(age_s, lambda: self.update(changed, False))
        for number in range(len(self.entries)):
            self.give(number, Ticked())
        self.later(2.0, self.tick)

    def run(self):
        load = self.load
        self.update([upstream.report() for upstream in self.upstreams], True)
        self.later(2.0, self.tick)
        capacity = sum(load.slots / (WORK_S * speed) for speed in load.speeds)
        rate = load.utilization * capacity / (1 + 6 * load.tail)
        at, number = 0.0, 0
        while at < load.duration_s:
            at += self.random.expovariate(rate)
            number += 1
            factor = self.random.uniform(0.5, 1.5)
            if self.random.random() < load.tail:
                factor *= 7
            entry = self.random.randrange(load.entries)
            if load.moves and self.random.random() < 0.6:
                zones = len(load.zones)
                entry = entry // zones * zones + int(at // 5) % zones
            request = Request(make_flow(number, PORT), entry, factor, at)
            heapq.heappush(
                self.events,
                (at, next(self.order), lambda r=request: self.arrive(r)),
            )
        while self.events and self.events[0][0] < load.duration_s + 3.0:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.outcome


def entry_zone(world, number):
    return world.load.zones[number % len(world.load.zones)]


def compare(load, seed=1):
    """Return what callers get by cost and by flows, for the same requests."""
    return World(load, True, seed).run(), World(load, False, seed).run()
