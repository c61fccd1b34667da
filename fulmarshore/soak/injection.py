"""Injects the faults of a plan into processes, network, disks and upstreams."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.soak.network import Hosts, NetworkFaults, StreamProxy
from fulmarshore.soak.plans import Fault, Plan
from fulmarshore.soak.processes import ADDRESS_REUSE_S, ProcessManager
from fulmarshore.soak.storage import StorageFaults
from fulmarshore.soak.traffic import UpstreamRunner

RESTART_DELAY_S = 0.4
"""Delay until a killed process is started again."""
POLL_INTERVAL_S = 0.2
DRAIN_EXIT_DELAY_S = 6.0
"""Time from the acknowledgement of a drain until the upstream ends: well beyond the 3 s
after which no new flow may reach it, so that a late one is observed."""
UPSTREAM_START_DELAY_S = 0.3
CLOCK_STEP_MS = 3_600_000
SLOW_SYNC_S = 0.2
NETWORK_KINDS = ("cut", "one_way", "loss", "delay")
CONTROL_TIMEOUT_S = 1.0
"""How long an operator waits for an answer on a silenced connection."""


class FaultInjector:
    """Injects faults, and clears each one after its duration.

    Parameters
    ----------
    plan : Plan
        Hosts and their services.
    loop : EventLoop
        Schedules restarts and the ends of faults.
    hosts : Hosts
        Addresses of the hosts.
    processes : ProcessManager
        Processes of the hosts.
    faults : NetworkFaults
        Faults of the datagram proxy.
    streams : dict of str to StreamProxy
        Proxies of the operators' connections, by control host.
    upstreams : dict of str to UpstreamRunner
        Upstreams by host; filled when the run starts.
    random : Random
        Draws what the plan doesn't determine.
    is_over : callable
        Returns whether the run has ended; no upstream is started from then on.
    """

    def __init__(
        self,
        plan: Plan,
        loop: EventLoop,
        hosts: Hosts,
        processes: ProcessManager,
        faults: NetworkFaults,
        streams: dict[str, StreamProxy],
        upstreams: dict[str, UpstreamRunner],
        random: Random,
        is_over: Callable[[], bool],
    ) -> None:
        self._plan = plan
        self._loop = loop
        self._hosts = hosts
        self._processes = processes
        self._faults = faults
        self._streams = streams
        self._upstreams = upstreams
        self._random = random
        self._is_over = is_over
        self._clock_offset_ms: Counter[str] = Counter()

    def start_upstream(
        self, host: str, service: str = "", is_cold: bool = False
    ) -> None:
        """Start an upstream on a host that has no live one."""
        runner = self._upstreams[host]
        if self._is_over() or (
            runner.upstream is not None and runner.upstream.is_alive
        ):
            return
        new_service = service or self._plan.upstreams[host]
        if runner.upstream is not None and not service:
            new_service = runner.upstream.service
        born_ms = int(time.time() * 1000) + self._clock_offset_ms[host]
        runner.start(new_service, born_ms, is_cold)

    def inject(self, fault: Fault) -> float:
        """Inject a fault; return how long it lasts, seconds.

        Raises
        ------
        ValueError
            If the kind of the fault is unknown.
        """
        host, for_s = fault.host, fault.for_s
        processes = self._processes
        match fault.kind:
            case "kill":
                processes.kill(host)
                self._loop.call_later(RESTART_DELAY_S, partial(self.restart, host))
                return RESTART_DELAY_S
            case "power":
                processes.lose_power(host)
                self._loop.call_later(for_s, partial(self.restart, host))
                return for_s
            case "wipe":
                processes.wipe(host)
                self._loop.call_later(for_s, partial(self.restart, host))
                return for_s
            case "restart":
                processes.stop(host)
                self._restart_when_ended(host)
            case "pause":
                processes.signal(host, signal.SIGSTOP)
                resume = partial(processes.signal, host, signal.SIGCONT)
                self._loop.call_later(for_s, resume)
                return for_s
            case kind if kind in NETWORK_KINDS:
                self._faults.set_fault(kind, host, True)
                clear = partial(self._faults.set_fault, kind, host, False)
                self._loop.call_later(for_s, clear)
                return for_s
            case "disk_full" | "disk_slow" | "disk_stall":
                self._inject_disk_fault(fault)
                return for_s
            case "reset_connections":
                self._streams[host].reset()
            case "silence_connections":
                self._streams[host].silence()
                return CONTROL_TIMEOUT_S
            case "kill_controls" | "power_controls" | "kill_all":
                return self._inject_many(fault)
            case "hup":
                self._shuffle_seeds()
            case _:
                return self._inject_upstream_fault(fault)
        return 0.0

    def _inject_many(self, fault: Fault) -> float:
        processes = self._processes
        hosts = self._plan.controls
        if fault.kind == "kill_all":
            hosts = self._hosts.names
        for host in hosts:
            if fault.kind == "power_controls":
                processes.lose_power(host)
            else:
                processes.kill(host)
            self._loop.call_later(fault.for_s, partial(self.restart, host))
        return fault.for_s

    def _inject_upstream_fault(self, fault: Fault) -> float:
        host, runner = fault.host, self._upstreams[fault.host]
        match fault.kind:
            case "crash":
                runner.crash()
                restart = partial(self.start_upstream, host, "", True)
                self._loop.call_later(fault.for_s, restart)
                return fault.for_s
            case "drain":
                if runner.upstream is not None and runner.upstream.is_alive:
                    restart = partial(self.start_upstream, host, "", True)
                    schedule_restart = partial(
                        self._loop.call_later, UPSTREAM_START_DELAY_S, restart
                    )
                    runner.drain(schedule_restart, DRAIN_EXIT_DELAY_S)
                return 0.0
            case "reuse":
                former = (
                    runner.upstream.service if runner.upstream is not None else "desk"
                )
                service = "store" if former == "desk" else "desk"
                runner.crash()
                restart = partial(self.start_upstream, host, service, True)
                self._loop.call_later(ADDRESS_REUSE_S, restart)
                return ADDRESS_REUSE_S
            case "clock_step":
                step = CLOCK_STEP_MS * self._random.choice((-1, 1))
                self._clock_offset_ms[host] += step
                runner.crash()
                restart = partial(self.start_upstream, host, "", True)
                self._loop.call_later(RESTART_DELAY_S, restart)
                return RESTART_DELAY_S + ADDRESS_REUSE_S
            case "silent":
                runner.suspend_heartbeats(fault.for_s)
                return fault.for_s
        raise ValueError(f"{fault.kind}: unknown kind of fault")

    def _inject_disk_fault(self, fault: Fault) -> None:
        faults = {
            "disk_full": StorageFaults(is_full=True),
            "disk_slow": StorageFaults(delay_s=SLOW_SYNC_S),
            "disk_stall": StorageFaults(is_stalled=True),
        }[fault.kind]
        self._processes.set_disk_faults(fault.host, faults)
        clear = partial(self._processes.set_disk_faults, fault.host, StorageFaults())
        self._loop.call_later(fault.for_s, clear)

    def _shuffle_seeds(self) -> None:
        """Reorder the seeds in all settings; send SIGHUP to about half of the hosts."""
        seeds = [
            self._hosts.get_advertised_address(host) for host in self._plan.controls
        ]
        self._random.shuffle(seeds)
        for host in self._hosts.names:
            self._processes.change_settings(host, seeds=tuple(seeds))
            if self._random.random() < 0.5 and self._processes.can_signal(host):
                self._processes.signal(host, signal.SIGHUP)

    def restart(self, host: str) -> None:
        """Start the process of a host unless it is running."""
        if not self._processes.is_running(host):
            self._processes.start(host)

    def _restart_when_ended(self, host: str) -> None:
        if self._processes.is_running(host):
            retry = partial(self._restart_when_ended, host)
            self._loop.call_later(POLL_INTERVAL_S, retry)
            return
        self._processes.start(host)
