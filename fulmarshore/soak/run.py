"""One run of a soak: real processes and their traffic under a fault plan.

The processes run on loopback addresses, with proxies between them. Callers,
upstreams and operators run in this process, on one event loop and a thread pool.
"""

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
from fulmarshore.soak.injection import (
    POLL_INTERVAL_S,
    RESTART_DELAY_S,
    UPSTREAM_START_DELAY_S,
    FaultInjector,
)
from fulmarshore.soak.invariants import (
    FAULT_FREE_S,
    FaultTracker,
    InvariantChecker,
    Violation,
)
from fulmarshore.soak.network import (
    MAX_SUBNETS,
    DatagramProxy,
    Hosts,
    NetworkFaults,
    StreamProxy,
)
from fulmarshore.soak.operators import DESK_PORT, MOVING_PORT, STORE_PORT, Operators
from fulmarshore.soak.plans import PLANNED_KINDS, Fault, Plan, PlannedOrder
from fulmarshore.soak.processes import ProcessManager, find_free_ports
from fulmarshore.soak.traffic import Callers, Fabric, UpstreamRunner
from fulmarshore.standins.directends import Caller

POOL_SIZE = 48
"""Threads for HTTP requests: eight orders, and a few probes and announcements a second
of each host, some of which take a second."""
MEAN_REQUEST_INTERVAL_S = 0.05
"""Mean time between two flows that carry a single request."""
LONG_FLOWS = 12
LONG_FLOW_INTERVAL_S = 0.4
"""Number of flows that stay open, and the time between two requests on each."""
REQUEST_DEADLINE_S = 3.0
STARTUP_TIMEOUT_S = 20.0
"""The plan starts after this time even if an entry host is not in rotation yet."""
UNROUTED_PER_S = 2.0
UNROUTED_PORT = 9
"""Rate of flows to a port without a route; none of them may reach an upstream."""


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """An unplanned fault and its period, seconds from the start."""

    kind: str
    host: str
    begin: float
    end: float


@dataclass(slots=True)
class Report:
    """Results of a run.

    Parameters
    ----------
    seed : int
        Seed of the plan.
    seconds : float
        Length of the run, seconds.
    counts : dict of str to int
        How often each kind of check was made.
    outcomes : dict of str to int
        Number of requests by outcome.
    calm : tuple of int
        Requests sent in fault-free periods, and those of them that were answered.
    intervals : list of FaultInterval
        Unplanned faults.
    violations : list of Violation
        Invariants that were broken.
    answered : list of tuple
        For each second, its number, requests sent, and those that were answered.
    """

    seed: int
    seconds: float
    counts: dict[str, int] = field(default_factory=dict)
    outcomes: dict[str, int] = field(default_factory=dict)
    calm: tuple[int, int] = (0, 0)
    intervals: list[FaultInterval] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    answered: list[tuple[int, int, int]] = field(default_factory=list)


class Soak:
    """Runs a fault plan over real processes.

    Parameters
    ----------
    plan : Plan
        Hosts, faults and orders.
    folder : Path
        Folder for settings, logs and data.
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
        ports = self._ports = find_free_ports(
            self._hosts.get_advertised_address(names[0])
        )
        self._faults = NetworkFaults(Random(plan.seed + 1))
        self._proxy = DatagramProxy(
            self._loop, self._hosts, ports.list_datagram_ports(), self._faults
        )
        self._streams = {
            host: StreamProxy(
                self._loop,
                self._hosts.get_advertised_address(host),
                self._hosts.get_bind_address(host),
                ports.control,
            )
            for host in plan.controls
        }
        self._processes = ProcessManager(
            plan, self._hosts, ports, folder, Random(plan.seed + 2)
        )
        self._fault_tracker = FaultTracker()
        self._checks = InvariantChecker(self._fault_tracker)
        self._fabric = Fabric(plan.entries, self._hosts, ports, self._loop, self._pool)
        self._upstreams: dict[str, UpstreamRunner] = {}
        self._callers = Callers(
            self._fabric,
            self._hosts.caller,
            ports.packets,
            self._loop,
            self._checks,
            self._now,
            self._has_flow,
            Random(plan.seed + 3),
        )
        self._operators = Operators(
            [self._hosts.get_advertised_address(host) for host in plan.controls],
            ports.control,
            self._loop,
            self._pool,
            self._checks,
            self._now,
            Random(plan.seed + 4),
        )
        self._injector = FaultInjector(
            plan,
            self._loop,
            self._hosts,
            self._processes,
            self._faults,
            self._streams,
            self._upstreams,
            random,
            lambda: self._is_over,
        )
        self._intervals: list[FaultInterval] = []
        self._is_over = False

    def run(self) -> Report:
        """Run the plan and return the report."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, raise_interrupt)
        try:
            self._start()
            self._loop.call_later(self.plan.seconds, self._end_traffic)
            self._loop.run()
            version = self._read_final_version()
        finally:
            self._close()
        return self._build_report(version)

    # Start and end.

    def _start(self) -> None:
        for host in self._hosts.names:
            self._processes.start(host, bootstrap=True)
        for host, service in self.plan.upstreams.items():
            runner = UpstreamRunner(
                host,
                self._hosts.get_bind_address(host),
                self._processes.get_zone(host),
                self._ports,
                self._loop,
                self._pool,
                self._checks,
                self._now,
                self._callers.find_sent_at,
            )
            self._upstreams[host] = runner
            self._loop.call_later(
                UPSTREAM_START_DELAY_S, partial(self._injector.start_upstream, host)
            )
        self._operators.send_change()
        self._operators.read_periodically()
        self._restart_exited()
        self._await_rotation(self._now() + STARTUP_TIMEOUT_S)

    def _await_rotation(self, until: float) -> None:
        """Start traffic and the plan once all entry hosts are in rotation."""
        if not self._fabric.is_ready and self._now() < until:
            retry = partial(self._await_rotation, until)
            self._loop.call_later(POLL_INTERVAL_S, retry)
            return
        self._started_at = time.monotonic()
        for fault in self.plan.faults:
            self._loop.call_later(fault.at, partial(self._inject_fault, fault))
        for order in self.plan.orders:
            self._loop.call_later(order.at, partial(self._send_order, order))
        for _ in range(LONG_FLOWS):
            self._open_long_flow()
        self._open_short_flows()
        self._open_unrouted_flows()

    def _end_traffic(self) -> None:
        if self._now() < self.plan.seconds:
            remaining_s = self.plan.seconds - self._now()
            self._loop.call_later(remaining_s, self._end_traffic)
            return
        self._is_over = True
        self._loop.call_later(REQUEST_DEADLINE_S, self._loop.stop)

    def _read_final_version(self) -> int | None:
        """Return the version read back at the end.

        A thread reads, as the loop must keep forwarding the operators' connections.
        """
        found: list[int | None] = []

        def on_read(version: int | None) -> None:
            found.append(version)
            self._loop.stop()

        def read() -> None:
            version = self._operators.read_final_version()
            self._loop.call_from_thread(lambda: on_read(version))

        self._pool.submit(read)
        self._loop.run()
        return found[0]

    def _close(self) -> None:
        for upstream in self._upstreams.values():
            upstream.finish()
        self._callers.finish()
        self._fabric.close()
        self._processes.kill_all()
        self._proxy.close()
        for stream in self._streams.values():
            stream.close()
        self._pool.shutdown(wait=True, cancel_futures=True)
        self._loop.close()

    def _build_report(self, version: int | None) -> Report:
        now = self._now()
        checks = self._checks
        checks.check_final_version(version, now)
        report = Report(self.plan.seed, self.plan.seconds)
        outcomes: Counter[str] = Counter()
        seconds: dict[int, list[int]] = {}
        calm = [0, 0]
        for caller in self._callers.callers.values():
            if caller.flow.endswith(UNROUTED_PORT.to_bytes(2)):
                continue
            for call in caller.calls:
                outcomes[call.outcome or "none"] += 1
                is_answered = call.outcome == "answered"
                second = seconds.setdefault(int(call.sent_at), [0, 0])
                second[0] += 1
                second[1] += is_answered
                if self._is_fault_free(call.sent_at):
                    calm[0] += 1
                    calm[1] += is_answered
        checks.check_answered_share(*calm, now)
        report.outcomes = dict(outcomes)
        report.calm = tuple(calm)
        report.counts = dict(sorted(checks.counts.items()))
        report.intervals = self._intervals
        report.violations = checks.violations
        report.answered = [(at, *seconds[at]) for at in sorted(seconds)]
        return report

    def _is_fault_free(self, sent_at: float) -> bool:
        """Return whether no unplanned fault was active around a request."""
        begin, end = sent_at - FAULT_FREE_S, sent_at + REQUEST_DEADLINE_S
        return sent_at > FAULT_FREE_S and not any(
            interval.begin < end and interval.end > begin
            for interval in self._intervals
        )

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    # Traffic.

    def _open_short_flows(self) -> None:
        """Open a flow with a single request, and schedule the next."""
        if self._is_over:
            return
        port = self._random.choice((DESK_PORT, DESK_PORT, STORE_PORT, MOVING_PORT))
        caller = self._callers.open_flow(port, REQUEST_DEADLINE_S)
        self._loop.call_later(REQUEST_DEADLINE_S, caller.finish)
        pause = self._random.expovariate(1 / MEAN_REQUEST_INTERVAL_S)
        self._loop.call_later(pause, self._open_short_flows)

    def _open_unrouted_flows(self) -> None:
        if self._is_over:
            return
        self._callers.open_flow(UNROUTED_PORT, REQUEST_DEADLINE_S)
        self._loop.call_later(1 / UNROUTED_PER_S, self._open_unrouted_flows)

    def _open_long_flow(self) -> None:
        """Open a flow that carries many requests."""
        if self._is_over:
            return
        port = self._random.choice((DESK_PORT, STORE_PORT))
        caller = self._callers.open_flow(port, REQUEST_DEADLINE_S)
        self._loop.call_later(
            LONG_FLOW_INTERVAL_S, partial(self._continue_long_flow, caller, 1)
        )

    def _continue_long_flow(self, caller: Caller, number: int) -> None:
        """Send the next request of a long flow; replace the flow if one has failed."""
        if self._is_over:
            return
        outcome = caller.calls[-1].outcome
        if outcome == "":
            retry = partial(self._continue_long_flow, caller, number)
            self._loop.call_later(LONG_FLOW_INTERVAL_S, retry)
            return
        if outcome != "answered":
            self._open_long_flow()
            return
        request = b"request-%s-%d" % (caller.flow.hex().encode(), number)
        caller.request(request, REQUEST_DEADLINE_S)
        self._loop.call_later(
            LONG_FLOW_INTERVAL_S, partial(self._continue_long_flow, caller, number + 1)
        )

    def _has_flow(self, flow: bytes) -> bool:
        return any(runner.has_flow(flow) for runner in self._upstreams.values())

    # Orders and faults.

    def _send_order(self, order: PlannedOrder) -> None:
        steps: dict[str, Callable[[], None]] = {
            "change": self._operators.send_change,
            "race": self._operators.send_conflicting,
            "invalid": self._operators.send_invalid,
            "zone_out": partial(self._operators.change_zone, True),
            "zone_in": partial(self._operators.change_zone, False),
        }
        steps[order.kind]()

    def _inject_fault(self, fault: Fault) -> None:
        """Inject a fault, and record its period unless it is planned work."""
        duration_s = self._injector.inject(fault)
        begin = self._now()
        if fault.kind in PLANNED_KINDS:
            return
        self._fault_tracker.record_fault(begin + duration_s)
        self._intervals.append(
            FaultInterval(fault.kind, fault.host, begin, begin + duration_s)
        )

    def _restart_exited(self) -> None:
        """Report processes that exited unexpectedly, and start them again."""
        for host, code in self._processes.list_unexpected_exits():
            self._checks.check_exit(host, code, self._now())
            self._loop.call_later(
                RESTART_DELAY_S, partial(self._injector.restart, host)
            )
        self._loop.call_later(POLL_INTERVAL_S, self._restart_exited)


def raise_interrupt() -> None:
    """Raise KeyboardInterrupt, which ends the run and its processes."""
    raise KeyboardInterrupt
