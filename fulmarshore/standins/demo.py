"""The demo: a deployment on loopback while parts of it leave and return."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from msgspec import Struct

from fulmarshore.commands.operator import NoAnswer, fetch_status, submit_change
from fulmarshore.core.records import (
    Address,
    ChangeReply,
    ChangeStatus,
    Declaration,
    Kind,
    Profile,
    Service,
    StatusReply,
    Zone,
)
from fulmarshore.standins.caller import FlowCaller
from fulmarshore.standins.cluster import find_address
from fulmarshore.standins.fabric import FabricAddress
from fulmarshore.standins.processes import Processes, list_control_arguments
from fulmarshore.standins.upstream import EchoUpstream


class Shape(Struct, frozen=True):
    """The size of a deployment.

    Parameters
    ----------
    zones : tuple of str
        Availability zones; the last one is taken out.
    services : dict of str to int
        Upstreams of each service; one of the first service drains.
    slots : int
        Slots of each upstream.
    """

    zones: tuple[str, ...]
    services: dict[str, int]
    slots: int


SHAPES = {
    "khomas": Shape(
        ("khomas-a", "khomas-b", "khomas-c"), {"mendbook": 7, "ribplans": 3}, 3
    ),
    "accra": Shape(
        ("accra-osu", "accra-tema", "accra-madina"),
        {"permit-desk": 7, "proof-store": 3},
        1,
    ),
}
ENTRY_HOSTS = 3
KILLED_ENTRY = 1
DRAIN_BOUND_S = 2.0
CALLERS_PER_UPSTREAM = 20
START_TIMEOUT_S = 15.0
ZONE_OUT_BOUND_S = 3.0

Show = Callable[[str], None]


class DemoSummary:
    """What the demo saw, for each service and in all."""

    HEADERS = (
        "service",
        "opened",
        "broken",
        "given up",
        "refused",
        "misdelivered",
        "max/mean",
    )

    def __init__(self) -> None:
        self.rows: dict[str, list[float]] = {}
        self.last_packet_s = 0.0
        self.new_after_drain = 0

    def list_rows(self) -> list[tuple[Any, ...]]:
        """Return a row for each service."""
        return [(name, *values) for name, values in self.rows.items()]

    def to_builtins(self) -> dict[str, Any]:
        """Return the summary as plain values."""
        names = [header.replace(" ", "_") for header in self.HEADERS[1:]]
        services = {
            name: dict(zip(names, values, strict=True))
            for name, values in self.rows.items()
        }
        return {
            "services": services,
            "last_packet_s": self.last_packet_s,
            "new_after_drain": self.new_after_drain,
            "kept": self.is_kept(),
        }

    def is_kept(self) -> bool:
        """Return whether every promise was kept."""
        for opened, broken, _, _, misdelivered, _ in self.rows.values():
            if not opened or broken or misdelivered:
                return False
        if self.new_after_drain:
            return False
        return bool(self.rows) and self.last_packet_s <= ZONE_OUT_BOUND_S


class Demo:
    """One run of the demo.

    Parameters
    ----------
    shape : Shape
        What is run.
    seconds : float
        Length of the run with callers.
    seed : int
        Seed of the fabric.
    show : callable
        Takes the lines of progress.
    folder : Path
        Where logs go.
    """

    def __init__(
        self, shape: Shape, seconds: float, seed: int, show: Show, folder: Path
    ) -> None:
        self.shape = shape
        self.drained = f"{next(iter(shape.services))}-3"
        self.seconds = seconds
        self.show = show
        self.random = Random(seed)
        self.processes = Processes(folder)
        self.folder = folder
        self.controls = [find_address() for _ in shape.zones]
        self.services = {name: find_address() for name in shape.services}
        self.upstreams: dict[str, EchoUpstream] = {}
        self.zone_of: dict[str, str] = {}
        self.fabrics: list[FabricAddress] = []
        self.callers: list[FlowCaller] = []
        self.summary = DemoSummary()

    async def run(self) -> DemoSummary:
        """Run the demo and return what it saw."""
        try:
            await self._start()
            await self._drive()
            self._sum_up()
        finally:
            await self.processes.stop_all()
            for closable in (*self.fabrics, *self.upstreams.values()):
                closable.close()
        return self.summary

    async def _start(self) -> None:
        self.show("starting control, entry hosts, agents and upstreams")
        addresses = [_format(address) for address in self.controls]
        for number, zone in enumerate(self.shape.zones):
            await self.processes.start(
                f"control-{number}",
                *list_control_arguments(number, zone, addresses, self.folder),
            )
        for number in range(ENTRY_HOSTS):
            await self._start_entry(number)
        for service, count in self.shape.services.items():
            for number in range(count):
                await self._start_agent(service, number)
        await self._apply(self._list_declarations())
        await self._wait_ready()

    async def _start_entry(self, number: int) -> None:
        name = f"entry-{number}"
        zones = self.shape.zones
        await self.processes.start(
            name,
            *("entry", "--name", name, "--zone", zones[number % len(zones)]),
            *self._list_controls(),
            *("--data", "127.0.0.1:0"),
            *("--service-host", _find_host(number), "--fabric", "proxy"),
        )

    async def _replace_entry(self, number: int) -> None:
        """Kill an entry host and start another one in its place."""
        name = f"entry-{number}"
        self.show(f"entry host {name} is killed and replaced")
        self.processes.signal(name, signal.SIGKILL)
        await self.processes.wait(name)
        for fabric in self.fabrics:
            fabric.entries.remove(Address(_find_host(number), fabric.service.port))
        await self._start_entry(number)
        await self._wait_ready()
        for fabric in self.fabrics:
            fabric.entries.append(Address(_find_host(number), fabric.service.port))

    def _list_declarations(self) -> list[Declaration]:
        items: list[Declaration] = [
            Profile("status-feed", Kind.FEED, idle_timeout=60.0),
            *(Zone(name) for name in self.shape.zones),
        ]
        for name, address in self.services.items():
            items.append(Service(name, "status-feed", address.host, address.port))
        return items

    def _list_controls(self) -> list[str]:
        arguments = []
        for address in self.controls:
            arguments += ["--control", _format(address)]
        return arguments

    async def _start_agent(self, service: str, number: int) -> None:
        name = f"{service}-{number}"
        zone = self.shape.zones[number % len(self.shape.zones)]
        upstream = EchoUpstream(name, service)
        address = upstream.open()
        self.upstreams[name] = upstream
        self.zone_of[name] = zone
        await self.processes.start(
            name,
            *("agent", "--name", name, "--zone", zone, "--service", service),
            *self._list_controls(),
            *("--data", "127.0.0.1:0"),
            *("--upstream", _format(address), "--slots", str(self.shape.slots)),
        )

    async def _wait_ready(self) -> None:
        loop = asyncio.get_running_loop()
        wanted = ENTRY_HOSTS + sum(self.shape.services.values())
        until = loop.time() + START_TIMEOUT_S
        while loop.time() < until:
            status = await asyncio.to_thread(fetch_status, self.controls)
            if isinstance(status, StatusReply) and _is_settled(status, wanted):
                return
            await asyncio.sleep(0.2)
        raise TimeoutError(f"not all of {wanted} processes came up")

    async def _apply(self, items: list[Declaration]) -> None:
        reply = await asyncio.to_thread(submit_change, self.controls, "demo", items, [])
        if isinstance(reply, NoAnswer) or reply.status != ChangeStatus.ACCEPTED:
            raise RuntimeError(f"change not accepted: {reply!r}")
        assert isinstance(reply, ChangeReply)

    async def _drive(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self.seconds
        for service, address in self.services.items():
            entries = [
                Address(_find_host(number), address.port)
                for number in range(ENTRY_HOSTS)
            ]
            fabric = FabricAddress(address, entries, self.random)
            fabric.open()
            self.fabrics.append(fabric)
        runs = []
        for service, count in self.shape.services.items():
            for _ in range(count * CALLERS_PER_UPSTREAM):
                caller = FlowCaller(service, self.services[service], 0.1)
                self.callers.append(caller)
                runs.append(asyncio.create_task(caller.run(until)))
        await asyncio.sleep(self.seconds * 0.2)
        self._measure_balance()
        self.show(f"upstream {self.drained} drains")
        self.processes.signal(self.drained, signal.SIGTERM)
        await asyncio.sleep(DRAIN_BOUND_S)
        known = len(self.upstreams[self.drained].callers)
        await self._replace_entry(KILLED_ENTRY)
        await asyncio.sleep(self.seconds * 0.1)
        zone = self.shape.zones[-1]
        self.show(f"availability zone {zone} is taken out")
        accepted = loop.time()
        await self._apply([Zone(zone, True)])
        await asyncio.sleep(self.seconds * 0.3)
        last = max(
            upstream.last_packet_at
            for name, upstream in self.upstreams.items()
            if self.zone_of[name] == zone
        )
        self.summary.last_packet_s = max(0.0, last - accepted)
        self.show(f"availability zone {zone} comes back")
        await self._apply([Zone(zone, False)])
        await asyncio.gather(*runs)
        found = len(self.upstreams[self.drained].callers)
        self.summary.new_after_drain = found - known

    def _measure_balance(self) -> None:
        for service, count in self.shape.services.items():
            held = Counter(
                caller.upstream
                for caller in self.callers
                if caller.service == service and caller.upstream
            )
            mean = sum(held.values()) / count
            share = max(held.values(), default=0) / mean if mean else 0.0
            self.summary.rows[service] = [0, 0, 0, 0, 0, round(share, 3)]

    def _sum_up(self) -> None:
        for caller in self.callers:
            row = self.summary.rows[caller.service]
            row[0] += caller.opened
            row[3] += caller.refused
            row[4] += caller.wrong_answers
            for upstream in caller.broken_upstreams:
                given_up = self.zone_of[upstream] == self.shape.zones[-1]
                row[2 if given_up else 1] += 1
        for upstream in self.upstreams.values():
            self.summary.rows[upstream.service][4] += upstream.misdelivered


async def run_demo(shape: str, seconds: float, seed: int, show: Show) -> DemoSummary:
    """Run the demo of a shape in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await Demo(SHAPES[shape], seconds, seed, show, Path(folder)).run()


def _find_host(number: int) -> str:
    return f"127.0.1.{number + 1}"


def _is_settled(status: StatusReply, wanted: int) -> bool:
    if len(status.processes) < wanted:
        return False
    return all(p.version == status.view.version for p in status.processes)


def _format(address: Address) -> str:
    return f"{address.host}:{address.port}"
