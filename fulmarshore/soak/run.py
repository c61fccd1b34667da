"""One run of a soak: programs, network, ends and operators, driven by a plan."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.soak.checks import CONTACT_S, Calm, Checks, Violation
from fulmarshore.soak.ends import Callers, Fabric, UpstreamEnd
from fulmarshore.soak.network import (
    MAX_SUBNETS,
    DatagramProxy,
    Faults,
    Hosts,
    StreamProxy,
)
from fulmarshore.soak.operators import DESK_PORT, MOVING_PORT, STORE_PORT, Operators
from fulmarshore.soak.plans import PLANNED_KINDS, Fault, Plan, PlannedOrder
from fulmarshore.soak.programs import Programs, find_ports
from fulmarshore.soak.strikes import (
    NEW_UPSTREAM_S,
    RESTART_S,
    WATCH_INTERVAL_S,
    Striker,
)
from fulmarshore.standins.directends import Caller

POOL_SIZE = 48
"""Threads for calls: eight orders, and a few probes and announcements a second of
each host, of which some wait for a second."""
ORDER_INTERVAL_S = 0.05
"""Mean time between two requests on flows of their own."""
FEEDS = 12
FEED_INTERVAL_S = 0.4
"""Flows that stay open, and the time between two requests of one."""
DEADLINE_S = 3.0
READY_LIMIT_S = 20.0
"""How long a first start may take; the plan begins then at the latest."""
STRAYS_PER_S = 2.0
STRAY_PORT = 9
"""A port without a route: nothing of its flows may reach an upstream."""


@dataclass(frozen=True, slots=True)
class Interval:
    """When something was wrong, and what."""

    kind: str
    host: str
    begin: float
    end: float


@dataclass(slots=True)
class Report:
    """What a run came to.

    Parameters
    ----------
    seed : int
        Its seed.
    seconds : float
        Its length.
    counts : dict of str to int
        What was checked how often.
    outcomes : dict of str to int
        How requests ended.
    calm : tuple of int
        Requests in calm, and those of them that were answered.
    intervals : list of Interval
        What was wrong when.
    violations : list of Violation
        Promises that were not kept.
    answered : list of tuple
        For each second, requests sent and those of them that were answered.
    """

    seed: int
    seconds: float
    counts: dict[str, int] = field(default_factory=dict)
    outcomes: dict[str, int] = field(default_factory=dict)
    calm: tuple[int, int] = (0, 0)
    intervals: list[Interval] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    answered: list[tuple[int, int, int]] = field(default_factory=list)


class Soak:
    """Carries out a plan over real processes.

    Parameters
    ----------
    plan : Plan
        What happens.
    folder : Path
        Where logs and data go.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        random = Random(plan.seed)
        names = [*plan.controls, *plan.entries, *plan.upstreams]
        self._random = random
        self._loop = EventLoop()
        self._pool = ThreadPoolExecutor(POOL_SIZE)
        self._started_at = time.monotonic()
        self._hosts = Hosts(names, plan.seed % MAX_SUBNETS)
        ports = self._ports = find_ports(self._hosts.get_known(names[0]))
        self._faults = Faults(Random(plan.seed + 1))
        self._proxy = DatagramProxy(
            self._loop, self._hosts, ports.list_proxied(), self._faults
        )
        self._streams = {
            host: StreamProxy(
                self._loop,
                self._hosts.get_known(host),
                self._hosts.get_own(host),
                ports.control,
            )
            for host in plan.controls
        }
        self._programs = Programs(
            plan, self._hosts, ports, folder, Random(plan.seed + 2)
        )
        self._calm = Calm()
        self._checks = Checks(self._calm)
        self._fabric = Fabric(plan.entries, self._hosts, ports, self._loop, self._pool)
        self._upstreams: dict[str, UpstreamEnd] = {}
        self._callers = Callers(
            self._fabric,
            self._hosts.caller,
            ports.packets,
            self._loop,
            self._checks,
            self._now,
            self._holds,
            Random(plan.seed + 3),
        )
        self._operators = Operators(
            [self._hosts.get_known(host) for host in plan.controls],
            ports.control,
            self._loop,
            self._pool,
            self._checks,
            self._now,
            Random(plan.seed + 4),
        )
        self._striker = Striker(
            plan,
            self._loop,
            self._hosts,
            self._programs,
            self._faults,
            self._streams,
            self._upstreams,
            random,
            lambda: self._is_over,
        )
        self._intervals: list[Interval] = []
        self._is_over = False

    def run(self) -> Report:
        """Carry out the plan and report."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, interrupt)
        try:
            self._start()
            self._loop.call_later(self.plan.seconds, self._end_traffic)
            self._loop.run()
            version = self._read_at_the_end()
        finally:
            self._close()
        return self._report(version)

    # Start and end.

    def _start(self) -> None:
        for host in self._hosts.names:
            self._programs.start(host, bootstrap=True)
        for host, service in self.plan.upstreams.items():
            end = UpstreamEnd(
                host,
                self._hosts.get_own(host),
                self._programs.get_zone(host),
                self._ports,
                self._loop,
                self._pool,
                self._checks,
                self._now,
                self._callers.find_sent_at,
            )
            self._upstreams[host] = end
            self._loop.call_later(
                NEW_UPSTREAM_S, partial(self._striker.start_upstream, host)
            )
        self._operators.change()
        self._operators.read_regularly()
        self._watch()
        self._await_rotation(self._now() + READY_LIMIT_S)

    def _await_rotation(self, until: float) -> None:
        """Begin with traffic and the plan once all entry hosts are in rotation."""
        if not self._fabric.is_ready and self._now() < until:
            again = partial(self._await_rotation, until)
            self._loop.call_later(WATCH_INTERVAL_S, again)
            return
        self._started_at = time.monotonic()
        for fault in self.plan.faults:
            self._loop.call_later(fault.at, partial(self._begin, fault))
        for order in self.plan.orders:
            self._loop.call_later(order.at, partial(self._order, order))
        for _ in range(FEEDS):
            self._open_feed()
        self._send_orders()
        self._send_strays()

    def _end_traffic(self) -> None:
        if self._now() < self.plan.seconds:
            again = self.plan.seconds - self._now()
            self._loop.call_later(again, self._end_traffic)
            return
        self._is_over = True
        self._loop.call_later(DEADLINE_S, self._loop.stop)

    def _read_at_the_end(self) -> int | None:
        """Read on a thread of the pool while the loop carries the connections."""
        found: list[int | None] = []

        def take(version: int | None) -> None:
            found.append(version)
            self._loop.stop()

        def read() -> None:
            version = self._operators.read_at_the_end()
            self._loop.call_from_thread(lambda: take(version))

        self._pool.submit(read)
        self._loop.run()
        return found[0]

    def _close(self) -> None:
        for upstream in self._upstreams.values():
            upstream.finish()
        self._callers.finish()
        self._fabric.close()
        self._programs.end_all()
        self._proxy.close()
        for stream in self._streams.values():
            stream.close()
        self._pool.shutdown(wait=True, cancel_futures=True)
        self._loop.close()

    def _report(self, version: int | None) -> Report:
        now = self._now()
        checks = self._checks
        checks.check_end(version, now)
        report = Report(self.plan.seed, self.plan.seconds)
        outcomes: Counter[str] = Counter()
        seconds: dict[int, list[int]] = {}
        calm = [0, 0]
        for caller in self._callers.callers.values():
            if caller.flow.endswith(STRAY_PORT.to_bytes(2)):
                continue
            for call in caller.calls:
                outcomes[call.outcome or "none"] += 1
                is_answered = call.outcome == "answered"
                held = seconds.setdefault(int(call.sent_at), [0, 0])
                held[0] += 1
                held[1] += is_answered
                if self._is_calm(call.sent_at):
                    calm[0] += 1
                    calm[1] += is_answered
        checks.check_calm(*calm, now)
        report.outcomes = dict(outcomes)
        report.calm = tuple(calm)
        report.counts = dict(sorted(checks.counts.items()))
        report.intervals = self._intervals
        report.violations = checks.violations
        report.answered = [(at, *seconds[at]) for at in sorted(seconds)]
        return report

    def _is_calm(self, sent_at: float) -> bool:
        """Whether nothing unplanned was wrong around a request."""
        begin, end = sent_at - CONTACT_S, sent_at + DEADLINE_S
        return sent_at > CONTACT_S and not any(
            held.begin < end and held.end > begin for held in self._intervals
        )

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    # Traffic.

    def _send_orders(self) -> None:
        """Send a request on a flow of its own, and go on."""
        if self._is_over:
            return
        port = self._random.choice((DESK_PORT, DESK_PORT, STORE_PORT, MOVING_PORT))
        caller = self._callers.open(port, DEADLINE_S)
        self._loop.call_later(DEADLINE_S, caller.finish)
        pause = self._random.expovariate(1 / ORDER_INTERVAL_S)
        self._loop.call_later(pause, self._send_orders)

    def _send_strays(self) -> None:
        if self._is_over:
            return
        self._callers.open(STRAY_PORT, DEADLINE_S)
        self._loop.call_later(1 / STRAYS_PER_S, self._send_strays)

    def _open_feed(self) -> None:
        """Open a flow that stays open for many requests."""
        if self._is_over:
            return
        port = self._random.choice((DESK_PORT, STORE_PORT))
        caller = self._callers.open(port, DEADLINE_S)
        self._loop.call_later(FEED_INTERVAL_S, partial(self._go_on, caller, 1))

    def _go_on(self, caller: Caller, number: int) -> None:
        """Send the next request of a feed; a new flow where it has failed."""
        if self._is_over:
            return
        outcome = caller.calls[-1].outcome
        if outcome == "":
            again = partial(self._go_on, caller, number)
            self._loop.call_later(FEED_INTERVAL_S, again)
            return
        if outcome != "answered":
            self._open_feed()
            return
        request = b"request-%s-%d" % (caller.flow.hex().encode(), number)
        caller.request(request, DEADLINE_S)
        self._loop.call_later(FEED_INTERVAL_S, partial(self._go_on, caller, number + 1))

    def _holds(self, flow: bytes) -> bool:
        return any(end.holds(flow) for end in self._upstreams.values())

    # Orders and faults.

    def _order(self, order: PlannedOrder) -> None:
        steps: dict[str, Callable[[], None]] = {
            "change": self._operators.change,
            "race": self._operators.race,
            "invalid": self._operators.send_invalid,
            "zone_out": partial(self._operators.take_zone, True),
            "zone_in": partial(self._operators.take_zone, False),
        }
        steps[order.kind]()

    def _begin(self, fault: Fault) -> None:
        """Let something go wrong, and note for how long."""
        lasts_s = self._striker.strike(fault)
        begin = self._now()
        if fault.kind in PLANNED_KINDS:
            return
        self._calm.note(begin + lasts_s)
        self._intervals.append(Interval(fault.kind, fault.host, begin, begin + lasts_s))

    def _watch(self) -> None:
        """Start again what has ended by itself, and note it."""
        for host, code in self._programs.list_ended():
            self._checks.check_exit(host, code, self._now())
            self._loop.call_later(RESTART_S, partial(self._striker.restart, host))
        self._loop.call_later(WATCH_INTERVAL_S, self._watch)


def interrupt() -> None:
    """End a run early; its processes are ended."""
    raise KeyboardInterrupt
