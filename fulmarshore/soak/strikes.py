"""Carries out the faults of a plan, on programs, network, disks and upstreams."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.soak.ends import UpstreamEnd
from fulmarshore.soak.network import Faults, Hosts, StreamProxy
from fulmarshore.soak.plans import Fault, Plan
from fulmarshore.soak.programs import REUSE_S, Programs
from fulmarshore.soak.storage import StorageFaults

RESTART_S = 0.4
"""Pause until an ended process is started again."""
WATCH_INTERVAL_S = 0.2
DRAIN_LEAVE_S = 6.0
"""When a leaving upstream ends after its word was acknowledged: at times long after
nothing new should come, 3 s."""
NEW_UPSTREAM_S = 0.3
CLOCK_STEP_MS = 3_600_000
SLOW_SYNC_S = 0.2
NETWORK_KINDS = ("cut", "one_way", "loss", "delay")
CONTROL_CALL_S = 1.0
"""How long an operator waits on a connection that has gone silent."""


class Striker:
    """Lets things go wrong, and ends it after their time.

    Parameters
    ----------
    plan : Plan
        Which hosts there are.
    loop : EventLoop
        Ends what lasts for a time.
    hosts : Hosts
        Addresses of the hosts.
    programs : Programs
        The processes.
    faults : Faults
        What is wrong in the network.
    streams : dict of str to StreamProxy
        Operators' connections, by control host.
    upstreams : dict of str to UpstreamEnd
        Upstreams by host; filled once they start.
    random : Random
        Chooses what the plan leaves open.
    is_over : callable
        Whether the run has ended: nothing is started any more.
    """

    def __init__(
        self,
        plan: Plan,
        loop: EventLoop,
        hosts: Hosts,
        programs: Programs,
        faults: Faults,
        streams: dict[str, StreamProxy],
        upstreams: dict[str, UpstreamEnd],
        random: Random,
        is_over: Callable[[], bool],
    ) -> None:
        self._plan = plan
        self._loop = loop
        self._hosts = hosts
        self._programs = programs
        self._faults = faults
        self._streams = streams
        self._upstreams = upstreams
        self._random = random
        self._is_over = is_over
        self._born_shift_ms: Counter[str] = Counter()

    def start_upstream(
        self, host: str, service: str = "", is_cold: bool = False
    ) -> None:
        """Start an upstream on a host where none lives."""
        end = self._upstreams[host]
        if self._is_over() or (end.upstream is not None and end.upstream.is_alive):
            return
        held = service or self._plan.upstreams[host]
        if end.upstream is not None and not service:
            held = end.upstream.service
        born_ms = int(time.time() * 1000) + self._born_shift_ms[host]
        end.start(held, born_ms, is_cold)

    def strike(self, fault: Fault) -> float:
        """Carry out a fault; return how long it lasts, seconds."""
        host, for_s = fault.host, fault.for_s
        programs = self._programs
        match fault.kind:
            case "kill":
                programs.kill(host)
                self._loop.call_later(RESTART_S, partial(self.restart, host))
                return RESTART_S
            case "power":
                programs.lose_power(host)
                self._loop.call_later(for_s, partial(self.restart, host))
                return for_s
            case "wipe":
                programs.wipe(host)
                self._loop.call_later(for_s, partial(self.restart, host))
                return for_s
            case "restart":
                programs.stop(host)
                self._restart_when_ended(host)
            case "pause":
                programs.signal(host, signal.SIGSTOP)
                resume = partial(programs.signal, host, signal.SIGCONT)
                self._loop.call_later(for_s, resume)
                return for_s
            case kind if kind in NETWORK_KINDS:
                self._faults.change(kind, host, True)
                end = partial(self._faults.change, kind, host, False)
                self._loop.call_later(for_s, end)
                return for_s
            case "disk_full" | "disk_slow" | "disk_stall":
                self._spoil_disk(fault)
                return for_s
            case "reset_connections":
                self._streams[host].reset()
            case "silence_connections":
                self._streams[host].silence()
                return CONTROL_CALL_S
            case "kill_controls" | "power_controls" | "kill_all":
                return self._strike_many(fault)
            case "hup":
                self._change_seeds()
            case _:
                return self._strike_upstream(fault)
        return 0.0

    def _strike_many(self, fault: Fault) -> float:
        programs = self._programs
        hosts = self._plan.controls
        if fault.kind == "kill_all":
            hosts = self._hosts.names
        for host in hosts:
            if fault.kind == "power_controls":
                programs.lose_power(host)
            else:
                programs.kill(host)
            self._loop.call_later(fault.for_s, partial(self.restart, host))
        return fault.for_s

    def _strike_upstream(self, fault: Fault) -> float:
        host, end = fault.host, self._upstreams[fault.host]
        match fault.kind:
            case "crash":
                end.crash()
                again = partial(self.start_upstream, host, "", True)
                self._loop.call_later(fault.for_s, again)
                return fault.for_s
            case "drain":
                if end.upstream is not None and end.upstream.is_alive:
                    again = partial(self.start_upstream, host, "", True)
                    gone = partial(self._loop.call_later, NEW_UPSTREAM_S, again)
                    end.drain(gone, DRAIN_LEAVE_S)
                return 0.0
            case "reuse":
                former = end.upstream.service if end.upstream is not None else "desk"
                service = "store" if former == "desk" else "desk"
                end.crash()
                again = partial(self.start_upstream, host, service, True)
                self._loop.call_later(REUSE_S, again)
                return REUSE_S
            case "clock_step":
                step = CLOCK_STEP_MS * self._random.choice((-1, 1))
                self._born_shift_ms[host] += step
                end.crash()
                again = partial(self.start_upstream, host, "", True)
                self._loop.call_later(RESTART_S, again)
                return RESTART_S + REUSE_S
            case "silent":
                end.be_silent(fault.for_s)
                return fault.for_s
        raise ValueError(f"{fault.kind}: unknown fault")

    def _spoil_disk(self, fault: Fault) -> None:
        faults = {
            "disk_full": StorageFaults(is_full=True),
            "disk_slow": StorageFaults(delay_s=SLOW_SYNC_S),
            "disk_stall": StorageFaults(is_stalled=True),
        }[fault.kind]
        self._programs.set_storage(fault.host, faults)
        end = partial(self._programs.set_storage, fault.host, StorageFaults())
        self._loop.call_later(fault.for_s, end)

    def _change_seeds(self) -> None:
        """Let all settings name the seeds in another order, with and without word."""
        seeds = [self._hosts.get_known(host) for host in self._plan.controls]
        self._random.shuffle(seeds)
        for host in self._hosts.names:
            self._programs.change_settings(host, seeds=tuple(seeds))
            if self._random.random() < 0.5 and self._programs.has_loaded(host):
                self._programs.signal(host, signal.SIGHUP)

    def restart(self, host: str) -> None:
        """Start the program of a host again, unless it runs."""
        if not self._programs.is_running(host):
            self._programs.start(host)

    def _restart_when_ended(self, host: str) -> None:
        if self._programs.is_running(host):
            again = partial(self._restart_when_ended, host)
            self._loop.call_later(WATCH_INTERVAL_S, again)
            return
        self._programs.start(host)
