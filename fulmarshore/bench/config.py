"""Measures how fast accepted changes are applied by real daemons on loopback.

Control hosts, entry hosts and agents each run in a process of their own. The
timeline of a process records when it applied a version. All processes run on
one machine, so that no clock skew enters the figures. The report also covers
catching up after missed changes and the failover of the leader.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from pathlib import Path

import zmq.asyncio
from msgspec import Struct

from fulmarshore.bench.client import WAIT_TIMEOUT_S, OperatorClient
from fulmarshore.bench.timelinereader import TimelineReader, find_applied_time
from fulmarshore.commands.client import fetch_status
from fulmarshore.core.clock import read_seconds
from fulmarshore.core.records import (
    ChangeReply,
    Declaration,
    Profile,
    Service,
    StatusReply,
    TrafficKind,
    Zone,
)
from fulmarshore.standins.cluster import find_address, format_address
from fulmarshore.standins.processes import Processes, list_control_arguments

CONTROLS = 3
ENTRY_HOSTS = 3
AGENTS = {"mendbook": 7, "ribplans": 3}
CHANGES = 200
SPACED_CHANGES = 60
SPACING_S = 0.1
MISSED_CHANGES = 500
FAILOVERS = 3
PLANNED_STOPS = 5
PAUSE_S = 0.02
ZONE = "zone-a"


class ConfigReport(Struct, frozen=True):
    """Results of one run; times in seconds.

    Parameters
    ----------
    processes : int
        Entry hosts and agents.
    changes_per_s : float
        Changes accepted in sequence, each submitted after the last reply.
    in_force_p50_s, in_force_p99_s, in_force_max_s : float
        From the reply to the operator until the last process has applied it.
    catch_up_changes : int
        Changes that a stopped entry host and a stopped control host missed.
    catch_up_s : float
        From resuming the entry host until it has applied them all.
    control_catch_up_s : float
        From the first event of the restarted control host until its log has
        caught up with the leader.
    failover_s : list of float
        From SIGKILL of the leader until the next change was accepted.
    planned_stop_s : list of float
        From SIGTERM of the leader until the next change was accepted.
    without_leader_s : list of float
        On these planned stops, from the end of one leadership to the next.
    lost_changes : int
        Accepted changes that are missing from the state at the end.
    """

    processes: int
    changes_per_s: float
    in_force_p50_s: float
    in_force_p99_s: float
    in_force_max_s: float
    catch_up_changes: int
    catch_up_s: float
    control_catch_up_s: float
    failover_s: list[float]
    planned_stop_s: list[float]
    without_leader_s: list[float]
    lost_changes: int


class ConfigBench:
    """One run over real daemons.

    Parameters
    ----------
    folder : Path
        Where logs, timelines and data folders are written.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes = Processes(folder)
        self.timeline_reader = TimelineReader(folder)
        self.controls = [find_address() for _ in range(CONTROLS)]
        self.addresses = [format_address(address) for address in self.controls]
        self.names: list[str] = []
        self.client: OperatorClient | None = None
        self._count = 0
        self._context: zmq.asyncio.Context | None = None

    async def run(self) -> ConfigReport:
        """Start all processes, measure, and stop them."""
        try:
            await self.start()
            rate = await self._measure_rate()
            in_force = await self._measure_in_force()
            catch_up = await self._measure_catch_up()
            control_catch_up = await self._measure_control_catch_up()
            failovers = []
            for _ in range(FAILOVERS):
                elapsed = await self._measure_failover(signal.SIGKILL)
                failovers.append(round(elapsed, 3))
            stops = []
            for _ in range(PLANNED_STOPS):
                elapsed = await self._measure_failover(signal.SIGTERM)
                stops.append(round(elapsed, 3))
            lost = await self._count_lost_changes()
        finally:
            await self.stop()
        return ConfigReport(
            len(self.names),
            round(rate, 1),
            round(_find_percentile(in_force, 0.5), 4),
            round(_find_percentile(in_force, 0.99), 4),
            round(max(in_force), 4),
            MISSED_CHANGES,
            round(catch_up, 3),
            round(control_catch_up, 3),
            failovers,
            stops,
            self.timeline_reader.list_leaderless_gaps(CONTROLS, PLANNED_STOPS),
            lost,
        )

    async def stop(self) -> None:
        """Close the client and stop all processes."""
        if self.client is not None:
            self.client.close()
            self._context.destroy(linger=0)
        await self.processes.stop_all()

    async def start(self) -> None:
        """Start all processes and wait until they have applied the services."""
        self._context = zmq.asyncio.Context()
        self.client = OperatorClient(self._context, self.controls)
        for number in range(CONTROLS):
            await self._start_control(number)
        for number in range(ENTRY_HOSTS):
            name = f"entry-{number}"
            await self._start_process(
                name,
                *("entry", "--service-host", f"127.0.2.{number + 1}"),
                *("--data", "127.0.0.1:0"),
            )
        items: list[Declaration] = [Profile("feed", TrafficKind.FEED), Zone(ZONE)]
        for service, count in AGENTS.items():
            items.append(Service(service, "feed", *find_address()))
            for number in range(count):
                await self._start_process(
                    f"{service}-{number}",
                    *("agent", "--service", service, "--data", "127.0.0.1:0"),
                    *("--upstream", format_address(find_address())),
                )
        reply = await self.client.submit(items)
        await self._wait_processes(reply.version)

    async def _start_control(self, number: int) -> None:
        arguments = list_control_arguments(number, ZONE, self.addresses, self.folder)
        name = f"control-{number}"
        timeline = str(self.folder / f"{name}.jsonl")
        await self.processes.start(name, *arguments, "--timeline", timeline)

    async def _start_process(self, name: str, role: str, *more: str) -> None:
        arguments = [role, "--name", name, "--zone", ZONE, *more]
        for address in self.addresses:
            arguments += ["--control", address]
        arguments += ["--timeline", str(self.folder / f"{name}.jsonl")]
        await self.processes.start(name, *arguments)
        self.names.append(name)

    async def _measure_rate(self) -> float:
        started = time.monotonic()
        for _ in range(CHANGES):
            reply = await self.change()
        rate = CHANGES / (time.monotonic() - started)
        await self._wait_processes(reply.version)
        return rate

    async def _measure_in_force(self) -> list[float]:
        answered = []
        for _ in range(SPACED_CHANGES):
            reply = await self.change()
            answered.append((reply.version, time.time()))
            await asyncio.sleep(SPACING_S)
        await self._wait_processes(answered[-1][0])
        applied = [
            self.timeline_reader.read_applied_versions(name) for name in self.names
        ]
        delays = []
        for version, at in answered:
            last = max(find_applied_time(times, version) for times in applied)
            delays.append(max(0.0, last - at))
        return delays

    async def _measure_catch_up(self) -> float:
        name = self.names[0]
        self.processes.signal(name, signal.SIGSTOP)
        for _ in range(MISSED_CHANGES):
            reply = await self.change()
        resumed = time.time()
        self.processes.signal(name, signal.SIGCONT)
        await self._wait_processes(reply.version)
        return (
            find_applied_time(
                self.timeline_reader.read_applied_versions(name), reply.version
            )
            - resumed
        )

    async def _measure_control_catch_up(self) -> float:
        status = await self._wait_until_synced()
        names = [f"control-{number}" for number in range(CONTROLS)]
        name = next(name for name in names if name != status.leader)
        number = names.index(name)
        self.processes.signal(name, signal.SIGKILL)
        await self.processes.wait(name)
        for _ in range(MISSED_CHANGES):
            await self.change()
        restarted = time.time()
        await self._start_control(number)
        return await self._wait_replica_synced(name, restarted)

    async def _wait_replica_synced(self, name: str, restarted: float) -> float:
        """Wait until a restarted control host has caught up; return the seconds."""
        until = time.time() + WAIT_TIMEOUT_S
        while time.time() < until:
            events = {
                entry.kind: entry for entry in self.timeline_reader.read_entries(name)
            }
            started = read_seconds(events["started"].clock)
            synced = events.get("replica_in_step")
            if synced is not None and read_seconds(synced.clock) > restarted:
                return read_seconds(synced.clock) - started
            await asyncio.sleep(PAUSE_S)
        raise TimeoutError(f"{name} has not caught up with the leader in time")

    async def _measure_failover(self, signal_number: int) -> float:
        status = await self._wait_until_synced()
        number = int(status.leader.rpartition("-")[2])
        killed = time.monotonic()
        self.processes.signal(status.leader, signal_number)
        await self.change()
        elapsed = time.monotonic() - killed
        await self.processes.wait(status.leader)
        restarted = time.time()
        await self._start_control(number)
        await self._wait_replica_synced(status.leader, restarted)
        return elapsed

    async def _count_lost_changes(self) -> int:
        """Return how many accepted changes are lost or out of order.

        Compares versions, change numbers and the last change in the state.
        """
        status = await self._wait_until_synced()
        versions = list(self.client.accepted.values())
        lost = len(versions) - len(set(versions))
        lost += status.next_number != len(self.client.accepted) + 1
        profile = next(
            versioned.item
            for versioned in status.view.items
            if isinstance(versioned.item, Profile)
        )
        lost += profile.queue_length != self._count
        return lost

    async def change(self) -> ChangeReply:
        """Submit a change of one profile and return the reply."""
        self._count += 1
        return await self.client.submit(
            [Profile("feed", TrafficKind.FEED, queue_length=self._count)]
        )

    async def _wait_processes(self, version: int) -> None:
        until = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < until:
            times = [
                self.timeline_reader.read_applied_versions(name) for name in self.names
            ]
            if all(applied and applied[-1][0] >= version for applied in times):
                return
            await asyncio.sleep(PAUSE_S)
        raise TimeoutError(f"version {version} is not applied by every process in time")

    async def _wait_until_synced(self) -> StatusReply:
        """Wait until all control hosts vote and hold every committed entry."""
        until = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < until:
            status = await asyncio.to_thread(fetch_status, self.controls)
            if isinstance(status, StatusReply) and _is_synced(status):
                return status
            await asyncio.sleep(PAUSE_S)
        raise TimeoutError("the control hosts have not synchronised in time")


def run() -> ConfigReport:
    """Run the measurement in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(ConfigBench(Path(folder)).run())


def _is_synced(status: StatusReply) -> bool:
    if status.control != status.leader:
        return False
    if [replica.role for replica in status.replicas].count("voter") != CONTROLS - 1:
        return False
    return all(
        replica.age < 1.0 and replica.match >= status.commit
        for replica in status.replicas
    )


def _find_percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
