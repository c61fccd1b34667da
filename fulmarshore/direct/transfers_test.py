"""Uploads through an entry host's link, with and without the limit, in simulated time.

The link is a model: one queue for both directions, whose packets take their size over
the rate. The entry host is the real core; agent, upstream and callers are models.
"""

import heapq
import math
import os
import socket
import unittest
from dataclasses import dataclass, field
from itertools import count
from random import Random

from fulmarshore.direct.entry import EntryCore
from fulmarshore.direct.packets import (
    ACK,
    FIN,
    HEADER_BYTES,
    MARK_ADMITTED,
    MARK_HELD,
    MARK_OFFER,
    MARK_PROBE,
    MARK_SEARCH,
    MAX_DATA_BYTES,
    MAX_PACKET_BYTES,
    RST,
    SYN,
    make_notice,
    parse_packet,
)
from fulmarshore.direct.records import (
    AgentReport,
    Backend,
    CallerPacket,
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
from fulmarshore.direct.transfers import SILENT_S
from fulmarshore.standins.directends import SYN_REPEATS_S, make_flow, make_packet

NARROW = 331_250.0  # Bytes a second: 2.65 Mbit/s.
WIDE = 12_500_000.0  # Bytes a second: 100 Mbit/s.
OBJECTIVE_S = 1.07
DEADLINE_S = 5.4
MEAN_BYTES = 40_000
MAX_BYTES = 240_000
SPREAD = 0.8  # Standard deviation of the logarithm of the size.
WINDOW = 16
REPEAT_S = 0.2
LONGEST_REPEAT_S = 1.6
TICK_S = 0.1
RESTART_S = 0.3
RETURN_S = 0.004  # Way of an answer, which does not pass the link.
SMALL_PORT, UPLOAD_PORT = 80, 443
AGENT = "10.0.0.9"
QUIET_S = 0.5  # Interval of the uploads after a load: half of the narrow link.
QUIET_UPLOADS = 16
RECOVERY_S = 2.0  # Longest time until everything is served again after a rush.
STALL_S = 0.05  # Time after its start at which an upload stalls.
SEEDS = (1, 2, 3)


def make_route(port, **options):
    """Return a route to the service of the only agent."""
    return Route(make_flow(0, port)[6:], (Backend("s", 1),), **options)


ROUTES = (
    make_route(UPLOAD_PORT, urgency=Urgency(1, OBJECTIVE_S), is_upload=True),
    make_route(SMALL_PORT, urgency=Urgency(0, 0.1)),
)


class Upload:
    """A caller that sends a file, a window of packets at a time."""

    def __init__(self, link, number, size, stall_s=math.inf):
        self.link, self.flow = link, make_flow(number, UPLOAD_PORT)
        self.unsent = list(range(math.ceil(size / MAX_DATA_BYTES)))
        self.flying = set()
        self.started_at = link.now
        self.stall_at = link.now + stall_s
        self.is_open, self.outcome, self.took_s = False, "", math.inf
        link.callers[self.flow] = self
        for copy, delay in enumerate((0.0, *SYN_REPEATS_S)):
            link.call_later(delay, lambda copy=copy: self.open(copy))
        link.call_later(DEADLINE_S, lambda: self.end("failed", RST))

    def open(self, copy):
        if not self.is_open and not self.outcome:
            self.send(SYN, copy)

    def handle(self, packet):
        """Process what reached the upstream; None is a reset by the entry host."""
        if packet is None:
            self.end("rejected", 0)
        elif packet.is_opening:
            self.is_open = True
        elif packet.sequence in self.flying:
            self.flying.remove(packet.sequence)
        if self.outcome or not self.is_open:
            return
        while self.unsent and len(self.flying) < WINDOW:
            self.flying.add(self.unsent[0])
            self.send_data(self.unsent.pop(0), REPEAT_S)
        if not self.flying:
            in_time = self.link.now - self.started_at <= OBJECTIVE_S
            self.end("in time" if in_time else "late", FIN | ACK)
            # The caller acknowledges the end of the upstream's answer.
            self.link.call_later(RETURN_S, lambda: self.send(ACK, 1))

    def send_data(self, number, repeat_s):
        if self.outcome or number not in self.flying or self.link.now > self.stall_at:
            return
        self.send(ACK, number, bytes(MAX_DATA_BYTES))
        longer = min(2 * repeat_s, LONGEST_REPEAT_S)
        self.link.call_later(repeat_s, lambda: self.send_data(number, longer))

    def end(self, outcome, flags):
        if self.outcome:
            return
        self.outcome, self.took_s = outcome, self.link.now - self.started_at
        if flags:
            self.send(flags, 0)

    def send(self, flags, number, data=b""):
        # An opening's acknowledgement number is the number of the copy.
        source, target = self.flow[:6], self.flow[6:]
        acknowledged = number if flags == SYN else 1
        self.link.send(make_packet(source, target, flags, number, acknowledged, data))


class SmallRequests:
    """A caller with an open flow that sends small packets and times them."""

    def __init__(self, link, interval_s, size):
        self.link, self.flow = link, make_flow(40_000, SMALL_PORT)
        self.interval_s, self.data = interval_s, bytes(size)
        self.sent_at, self.delays = [], []
        link.callers[self.flow] = self
        link.send(make_packet(self.flow[:6], self.flow[6:], SYN, 0, 0))
        link.call_later(0.5, self.send)

    def send(self):
        number = len(self.sent_at)
        self.sent_at.append(self.link.now)
        source, target = self.flow[:6], self.flow[6:]
        self.link.send(make_packet(source, target, ACK, number, 1, self.data))
        self.link.call_later(self.interval_s, self.send)

    def handle(self, packet):
        if packet is not None and not packet.is_opening:
            self.delays.append(self.link.now - self.sent_at[packet.sequence])


class Link:
    """The link of an entry host, with the host and everything beyond it."""

    def __init__(self, rate, known_rate):
        self.now, self.rate, self.known_rate = 0.0, rate, known_rate
        self.limit = max(1, int(rate * REPEAT_S / (2 * WINDOW * MAX_PACKET_BYTES)))
        self.callers, self.active_at, self.arrived_at = {}, {}, {}
        self.rejection_waits, self.needless_rejections = [], 0
        self._events, self._numbers, self._free_at = [], count(), 0.0
        self.start()
        self.tick()

    def start(self):
        # Openings that a former process let wait arrive anew, as repetitions.
        self.arrived_at.clear()
        self.core = EntryCore(
            "10.0.0.5", "a", [], Random(1), upload_bytes_per_s=self.known_rate
        )
        report = AgentReport(AGENT, 1, 1, "a", "s", True, False, 1000, 0, 0)
        update = Update(("c",), "c", 1, b"", 7, 1, 99.0, 99.0, True, (report,))
        self.dispatch(UpdateReceived("c", update, Table(1, 1, ROUTES)))

    def restart(self):
        self.core = None
        self.call_later(RESTART_S, self.start)

    def tick(self):
        self.dispatch(Ticked())
        self.call_later(TICK_S, self.tick)

    def call_later(self, delay, call):
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), call))

    def run(self, until):
        while self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()

    def pass_on(self, size, call):
        self._free_at = max(self._free_at, self.now) + size / self.rate
        self.call_later(self._free_at - self.now, call)

    def send(self, content):
        self.pass_on(len(content), lambda: self.receive(content))

    def receive(self, content):
        packet = parse_packet(content)
        if self.core is not None and packet.is_opening:
            self.arrived_at.setdefault(packet.flow, self.now)
        elif packet.is_ending:
            self.active_at.pop(packet.flow, None)
        elif packet.length and packet.flow[10:] == UPLOAD_PORT.to_bytes(2):
            self.active_at[packet.flow] = self.now
        self.dispatch(CallerPacket(content))

    def record_rejection(self, flow):
        """Record how long the entry host took, and whether it had room."""
        # A copy that is on its way meanwhile is a new opening to the entry host.
        self.rejection_waits.append(self.now - self.arrived_at.pop(flow))
        active = sum(self.now - at < SILENT_S for at in self.active_at.values())
        self.needless_rejections += active < self.limit

    def dispatch(self, event):
        if self.core is None:
            return
        for effect in self.core.handle(event, self.now):
            match effect:
                case SendToAgent(content=content):
                    if content[10:12] == UPLOAD_PORT.to_bytes(2) and content[18] & SYN:
                        self.active_at[content[:12]] = self.now
                    deliver = lambda c=content: self.deliver(c)  # noqa: E731
                    self.pass_on(len(content), deliver)
                case SendToCaller(content=content):
                    flow = content[6:12] + content[:6]
                    caller = self.callers[flow]
                    self.record_rejection(flow)
                    answer = lambda c=caller: c.handle(None)  # noqa: E731
                    self.pass_on(len(content), answer)
                case Wake(after_s=after_s):
                    self.call_later(after_s, lambda: self.dispatch(Woken()))

    def deliver(self, content):
        """Hand a packet to the upstream; its agent answers offers and searches."""
        size = HEADER_BYTES + int.from_bytes(content[12:14])
        packet = parse_packet(content[:size])
        marks = {
            MARK_OFFER: MARK_ADMITTED,
            MARK_SEARCH: MARK_HELD,
            MARK_PROBE: MARK_HELD,
        }
        if packet.mark in marks:
            mark = marks[packet.mark]
            notice = make_notice(packet, mark, socket.inet_aton(AGENT))
            returned = ReturnedPacket(notice, AGENT)
            self.pass_on(len(notice), lambda: self.dispatch(returned))
        if not packet.is_ending:
            caller = self.callers[packet.flow]
            self.call_later(RETURN_S, lambda: caller.handle(packet))


@dataclass
class Case:
    """A load; ``phases`` are ends and uploads a second as a share of the capacity.

    After the last phase one upload of the mean size starts each ``QUIET_S``.
    """

    name: str
    phases: list = field(default_factory=lambda: [(12.0, 0.4)])
    rate: float = NARROW
    known_rate: float = NARROW
    small: tuple = (0.05, 100)  # Interval in seconds, bytes.
    restart_at: float = math.inf
    stalled: int = -1  # Number of the upload that stalls.


RUSH = [(4.0, 0.4), (12.0, 2.5)]
RUSHES = [
    Case("rush of uploads", RUSH),
    Case("rush of everything", RUSH, small=(0.01, 300)),
    Case("restart in a rush", RUSH, restart_at=8.0),
]
STEADY = Case("steady")
STALL = Case("one upload stalls", stalled=9)
UNKNOWN = Case("link rate not known", RUSH, known_rate=0.0)
FAST = Case("wide link", [(3.0, 0.5)], WIDE, WIDE, small=(0.01, 100))


class Result:
    """What the callers of a case got."""

    def __init__(self, case, seed, is_limited):
        random = Random(seed)
        self.link = link = Link(case.rate, case.known_rate if is_limited else 0.0)
        self.small = SmallRequests(link, *case.small)
        link.call_later(case.restart_at, link.restart)
        self.uploads, at = [], 0.5
        capacity = case.rate / 2 / MEAN_BYTES
        location = math.log(MEAN_BYTES) - SPREAD**2 / 2
        for end, share in case.phases:
            while (at := at + random.expovariate(capacity * share)) < end:
                size = min(random.lognormvariate(location, SPREAD), MAX_BYTES)
                is_stalled = len(self.uploads) == case.stalled
                self.start(at, size, STALL_S if is_stalled else math.inf)
            at = end
        self.ended_at = at
        for number in range(QUIET_UPLOADS):
            self.start(at + (number + 1) * QUIET_S, MEAN_BYTES)
        link.run(link.now + DEADLINE_S + 1.0)

    def start(self, at, size, stall_s=math.inf):
        self.link.run(at)
        self.uploads.append(Upload(self.link, len(self.uploads), size, stall_s))

    def count(self, outcome):
        return sum(upload.outcome == outcome for upload in self.uploads)

    @property
    def small_p99_s(self):
        return sorted(self.small.delays)[-len(self.small.delays) // 100]

    def __repr__(self):
        outcomes = ("in time", "late", "failed", "rejected")
        counts = [f"{self.count(name)} {name}" for name in outcomes]
        longest = max(self.link.rejection_waits, default=0.0)
        return (
            f"{', '.join(counts)}, small packets {self.small_p99_s:.3f} s, "
            f"longest wait {longest:.3f} s"
        )


def compare(case, seed):
    """Return what callers get with and without the limit; print both if asked."""
    results = Result(case, seed, True), Result(case, seed, False)
    if "TRANSFERS_PRINT" in os.environ:
        print(f"{case.name}, seed {seed}\n  with    {results[0]}")
        print(f"  without {results[1]}")
    return results


class LoadTest(unittest.TestCase):
    def check_limited(self, result):
        """Check what holds for each load that has a limit."""
        # A rejected caller needs the rest of its objective for another entry host.
        longest = max(result.link.rejection_waits, default=0.0)
        self.assertLessEqual(longest, OBJECTIVE_S / 4)
        # A limit must not reject while fewer uploads are in progress than it admits.
        self.assertEqual(result.link.needless_rejections, 0)
        # The windows of the admitted uploads pass the link before they are repeated.
        self.assertLessEqual(result.small_p99_s, REPEAT_S)
        # No limit outlives its cause: a load without collisions is served in full.
        since = result.ended_at + RECOVERY_S
        quiet = [upload for upload in result.uploads if upload.started_at >= since]
        self.assertEqual({upload.outcome for upload in quiet}, {"in time"})

    def test_more_uploads_are_in_time_in_a_rush(self):
        for case in RUSHES:
            for seed in SEEDS:
                with self.subTest(case.name, seed=seed):
                    limited, unlimited = compare(case, seed)
                    self.check_limited(limited)
                    self.assertGreater(
                        limited.count("in time"), unlimited.count("in time")
                    )
                    self.assertEqual(limited.count("failed"), 0)
                    self.assertLess(limited.small_p99_s, unlimited.small_p99_s)

    def test_steady_load_and_a_stalled_upload(self):
        for case in (STEADY, STALL):
            totals = [0, 0]
            for seed in SEEDS:
                with self.subTest(case.name, seed=seed):
                    results = compare(case, seed)
                    self.check_limited(results[0])
                    for index, result in enumerate(results):
                        totals[index] += result.count("in time")
            # Random arrivals collide: rejections must not cost more than they save.
            self.assertGreaterEqual(*totals)

    def test_nothing_changes_without_a_link_rate(self):
        limited, unlimited = compare(UNKNOWN, 1)
        self.assertEqual(repr(limited), repr(unlimited))
        self.assertEqual(limited.count("rejected"), 0)

    def test_wide_link_serves_everything(self):
        for seed in SEEDS:
            limited, _ = compare(FAST, seed)
            self.check_limited(limited)
            self.assertEqual(limited.count("in time"), len(limited.uploads))


if __name__ == "__main__":
    unittest.main()
