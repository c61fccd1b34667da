"""The demo: a deployment on loopback while parts of it leave and return."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

from msgspec import Struct

from fulmarshore.commands.operator import NoAnswer, fetch_status, submit_change
from fulmarshore.core.records import (
    Address,
    ChangeReply,
    ChangeStatus,
    Declaration,
    Kind,
    Profile,
    Protocol,
    Service,
    StatusReply,
    Zone,
)
from fulmarshore.daemons.process import draw_incarnation
from fulmarshore.standins.caller import FlowCaller
from fulmarshore.standins.cluster import find_address
from fulmarshore.standins.downloads import DownloadCaller, Lost
from fulmarshore.standins.fabric import FabricAddress
from fulmarshore.standins.orders import OrderCaller, tally_orders
from fulmarshore.standins.processes import Processes, list_control_arguments
from fulmarshore.standins.requestupstream import RequestUpstream
from fulmarshore.standins.streams import StreamUpstream
from fulmarshore.standins.summary import DemoSummary, FeedRow, KindRow
from fulmarshore.standins.upstream import EchoUpstream


class Part(NamedTuple):
    """A service of the demo and how many upstreams it has."""

    service: str
    upstreams: int


class Shape(Struct, frozen=True):
    """The size of a deployment.

    Parameters
    ----------
    zones : tuple of str
        Availability zones; the last one is taken out.
    feeds : dict of str to int
        Upstreams of each service of feeds; one of the first service drains.
    downloads, orders : Part
        The service of downloads and that of non-idempotent orders; an
        upstream of each drains.
    slots : int
        Slots of each upstream.
    """

    zones: tuple[str, ...]
    feeds: dict[str, int]
    downloads: Part
    orders: Part
    slots: int


SHAPES = {
    "khomas": Shape(
        ("khomas-a", "khomas-b", "khomas-c"),
        {"mendbook": 7, "ribplans": 3},
        Part("diagrams", 3),
        Part("rib-orders", 4),
        3,
    ),
    "accra": Shape(
        ("accra-osu", "accra-tema", "accra-madina"),
        {"permit-desk": 7, "proof-store": 3},
        Part("proofs", 3),
        Part("permit-checks", 4),
        1,
    ),
}
ENTRY_HOSTS = 3
KILLED_ENTRY = 1
DRAIN_BOUND_S = 2.0
CALLERS_PER_UPSTREAM = 20
START_TIMEOUT_S = 30.0
DOWNLOAD_CALLERS = 6
DOWNLOAD_BYTES = 1 << 20
ORDER_CALLERS = 12
ORDER_INTERVAL_S = 0.1
ORDER_SERVICE_S = 0.03
PROBE_ORDERS = 30
PROBE_INTERVAL_S = 0.25

OUTAGE_S = 1.0
"""Time in which the loss of a killed entry host is seen by its callers."""

Upstream = EchoUpstream | StreamUpstream | RequestUpstream
Show = Callable[[str], None]


class Outage(Struct, frozen=True):
    """A time in which work may end that came by a host or ran in a zone.

    Parameters
    ----------
    began, ended : float
        Times of the loop.
    entry_host, zone : str
        Address of the entry host, and the availability zone; either is empty.
    """

    began: float
    ended: float
    entry_host: str
    zone: str


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
        self.seconds = seconds
        self.show = show
        self.random = Random(seed)
        self.processes = Processes(folder)
        self.folder = folder
        self.parts = [Part(*part) for part in shape.feeds.items()]
        self.parts += [shape.downloads, shape.orders]
        feeds = next(iter(shape.feeds))
        self.drained = [f"{feeds}-3", f"{shape.downloads.service}-0"]
        self.drained.append(f"{shape.orders.service}-3")
        self.controls = [find_address() for _ in shape.zones]
        self.services = {part.service: find_address() for part in self.parts}
        self.entries = {
            name: [Address(_find_host(n), at.port) for n in range(ENTRY_HOSTS)]
            for name, at in self.services.items()
        }
        self.upstreams: dict[str, Upstream] = {}
        self.zone_of: dict[str, str] = {}
        self.fabrics: list[FabricAddress] = []
        self.feeds: list[FlowCaller] = []
        self.downloads: list[DownloadCaller] = []
        self.orders: list[OrderCaller] = []
        self.outages: list[Outage] = []
        self.summary = DemoSummary()
        self._started: dict[str, int] = {}

    async def run(self) -> DemoSummary:
        """Run the demo and return what it saw."""
        try:
            await self._start()
            await self._drive()
            self._sum_up()
        finally:
            await self.processes.stop_all()
            for closable in (*self.fabrics, *self.orders, *self.upstreams.values()):
                closable.close()
        return self.summary

    # Processes ------------------------------------------------------------

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
        for part in self.parts:
            for number in range(part.upstreams):
                await self._start_agent(part.service, number)
        await self._apply(self._list_declarations())
        await self._wait_ready()

    async def _start_entry(self, number: int) -> None:
        name = f"entry-{number}"
        zones = self.shape.zones
        self._started[name] = draw_incarnation()
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
        host = _find_host(number)
        self.show(f"entry host {name} is killed and replaced")
        began = asyncio.get_running_loop().time()
        self.processes.signal(name, signal.SIGKILL)
        await self.processes.wait(name)
        for service, entries in self.entries.items():
            entries.remove(Address(host, self.services[service].port))
        self.outages.append(Outage(began, began + OUTAGE_S, host, ""))
        await self._start_entry(number)
        await self._wait_ready()
        for service, entries in self.entries.items():
            entries.append(Address(host, self.services[service].port))

    def _list_declarations(self) -> list[Declaration]:
        feeds = Profile("status-feed", Kind.FEED, idle_timeout=60.0)
        downloads = Profile("download", Kind.DOWNLOAD, slow_start=1.0)
        orders = Profile("order", Kind.NON_IDEMPOTENT, slow_start=1.0)
        items: list[Declaration] = [feeds, downloads, orders]
        items += [Zone(name) for name in self.shape.zones]
        for name, address in self.services.items():
            if name == self.shape.downloads.service:
                service = Service(name, downloads.name, *address, Protocol.TCP)
            elif name == self.shape.orders.service:
                service = Service(name, orders.name, *address, Protocol.REQUEST)
            else:
                service = Service(name, feeds.name, *address)
            items.append(service)
        return items

    def _list_controls(self) -> list[str]:
        arguments = []
        for address in self.controls:
            arguments += ["--control", _format(address)]
        return arguments

    async def _start_agent(self, service: str, number: int) -> None:
        name = f"{service}-{number}"
        zone = self.shape.zones[number % len(self.shape.zones)]
        address = await self._open_upstream(name, service)
        self.zone_of[name] = zone
        self._started[name] = draw_incarnation()
        await self.processes.start(
            name,
            *("agent", "--name", name, "--zone", zone, "--service", service),
            *self._list_controls(),
            *("--data", "127.0.0.1:0"),
            *("--upstream", _format(address), "--slots", str(self.shape.slots)),
        )

    async def _open_upstream(self, name: str, service: str) -> Address:
        if service == self.shape.downloads.service:
            streams = StreamUpstream(name, service)
            self.upstreams[name] = streams
            return await streams.open()
        if service == self.shape.orders.service:
            upstream = RequestUpstream(name, ORDER_SERVICE_S, service)
        else:
            upstream = EchoUpstream(name, service)
        self.upstreams[name] = upstream
        return upstream.open()

    async def _wait_ready(self) -> None:
        """Wait until every process that has to be there follows the same view."""
        loop = asyncio.get_running_loop()
        until = loop.time() + START_TIMEOUT_S
        while loop.time() < until:
            status = await asyncio.to_thread(fetch_status, self.controls)
            if isinstance(status, StatusReply) and self._is_settled(status):
                return
            await asyncio.sleep(0.2)
        raise TimeoutError(f"not all of {len(self._started)} processes came up")

    def _is_settled(self, status: StatusReply) -> bool:
        wanted = dict(self._started)
        for process in status.processes:
            name, incarnation = process.identity.name, process.identity.incarnation
            if incarnation < wanted.get(name, 0):
                continue
            if process.version == status.view.version:
                wanted.pop(name, None)
        return not wanted

    async def _apply(self, items: list[Declaration]) -> None:
        reply = await asyncio.to_thread(submit_change, self.controls, "demo", items, [])
        if isinstance(reply, NoAnswer) or reply.status != ChangeStatus.ACCEPTED:
            raise RuntimeError(f"change not accepted: {reply!r}")
        assert isinstance(reply, ChangeReply)

    # Callers --------------------------------------------------------------

    async def _drive(self) -> None:
        loop = asyncio.get_running_loop()
        self._open_fabrics()
        await self._wait_admitted()
        self.show("callers hold feeds, download and give orders")
        runs = self._start_callers(loop.time() + self.seconds)
        await asyncio.sleep(self.seconds * 0.2)
        self._measure_balance()
        known = await self._drain()
        await self._replace_entry(KILLED_ENTRY)
        await asyncio.sleep(self.seconds * 0.1)
        await self._take_zone_out()
        await asyncio.gather(*runs)
        self.summary.new_after_drain = self._count_drained() - known

    def _open_fabrics(self) -> None:
        for service, address in self.services.items():
            if service == self.shape.downloads.service:
                continue
            fabric = FabricAddress(address, self.entries[service], self.random)
            fabric.open()
            self.fabrics.append(fabric)

    async def _wait_admitted(self) -> None:
        """Give orders until every home of the new service runs them."""
        self.show("waiting until orders are admitted")
        service = self.shape.orders.service
        place = (self.services[service], 0.0, self.random)
        probe = OrderCaller(service, "probe", *place)
        loop = asyncio.get_running_loop()
        until = loop.time() + START_TIMEOUT_S
        try:
            while loop.time() < until:
                if await probe.count_answered(PROBE_ORDERS) == PROBE_ORDERS:
                    return
                await asyncio.sleep(PROBE_INTERVAL_S)
        finally:
            probe.close()
        raise TimeoutError("not every home came to admit orders")

    def _start_callers(self, until: float) -> list[asyncio.Task[None]]:
        for service, count in self.shape.feeds.items():
            for _ in range(count * CALLERS_PER_UPSTREAM):
                caller = FlowCaller(service, self.services[service], 0.1)
                self.feeds.append(caller)
        service = self.shape.downloads.service
        address = self.services[service]
        shared = (self.entries[service], DOWNLOAD_BYTES, self.random)
        for _ in range(DOWNLOAD_CALLERS):
            self.downloads.append(DownloadCaller(address, service, *shared))
        service = self.shape.orders.service
        address = self.services[service]
        for number in range(ORDER_CALLERS):
            name = f"counter-{number}"
            place = (address, ORDER_INTERVAL_S, self.random)
            self.orders.append(OrderCaller(service, name, *place))
        callers = (*self.feeds, *self.downloads, *self.orders)
        return [asyncio.create_task(caller.run(until)) for caller in callers]

    async def _drain(self) -> int:
        """Drain some upstreams; return what they had served within the bound."""
        self.show(f"upstreams {', '.join(self.drained)} drain")
        for name in self.drained:
            # A drained agent leaves once its last work is done.
            del self._started[name]
            self.processes.signal(name, signal.SIGTERM)
        await asyncio.sleep(DRAIN_BOUND_S)
        return self._count_drained()

    def _count_drained(self) -> int:
        return sum(_count_work(self.upstreams[name]) for name in self.drained)

    async def _take_zone_out(self) -> None:
        """Take an availability zone out and bring it back."""
        loop = asyncio.get_running_loop()
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
        self.outages.append(Outage(accepted, loop.time(), "", zone))
        self.show(f"availability zone {zone} comes back")
        await self._apply([Zone(zone, False)])

    def _measure_balance(self) -> None:
        for service, count in self.shape.feeds.items():
            held = Counter(
                caller.upstream
                for caller in self.feeds
                if caller.service == service and caller.upstream
            )
            mean = sum(held.values()) / count
            share = max(held.values(), default=0) / mean if mean else 0.0
            self.summary.feeds[service] = FeedRow(max_mean=round(share, 3))

    # Verdict --------------------------------------------------------------

    def _sum_up(self) -> None:
        rows = self.summary.feeds
        for caller in self.feeds:
            row = rows[caller.service]
            row.opened += caller.opened
            row.refused += caller.refused
            row.misdelivered += caller.wrong_answers
            for upstream in caller.broken_upstreams:
                if self.zone_of[upstream] == self.shape.zones[-1]:
                    row.given_up += 1
                    continue
                row.broken += 1
        for service in self.shape.feeds:
            rows[service].misdelivered += self._count_misdelivered(service)
        self.summary.add_feeds(sum(caller.upstream != "" for caller in self.feeds))
        self._sum_up_downloads()
        upstreams = [u for u in self.upstreams.values() if type(u) is RequestUpstream]
        foreign = self._count_misdelivered(self.shape.orders.service)
        self.summary.add_orders(tally_orders(self.orders, upstreams), foreign)

    def _sum_up_downloads(self) -> None:
        row = KindRow(broken=self._count_misdelivered(self.shape.downloads.service))
        for caller in self.downloads:
            row.asked += caller.asked
            row.answered += caller.whole
            row.not_run += caller.not_run
            row.unknown += caller.unanswered
            row.broken += caller.wrong
            for lost in caller.lost:
                if self._is_given_up(lost):
                    row.given_up += 1
                    continue
                row.broken += 1
        self.summary.kinds["download"] = row

    def _is_given_up(self, lost: Lost) -> bool:
        for outage in self.outages:
            if not outage.began <= lost.at <= outage.ended:
                continue
            zone = self.zone_of[lost.upstream]
            if lost.entry.host == outage.entry_host or zone == outage.zone:
                return True
        return False

    def _count_misdelivered(self, service: str) -> int:
        return sum(
            upstream.misdelivered
            for upstream in self.upstreams.values()
            if upstream.service == service
        )


async def run_demo(shape: str, seconds: float, seed: int, show: Show) -> DemoSummary:
    """Run the demo of a shape in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await Demo(SHAPES[shape], seconds, seed, show, Path(folder)).run()


def _count_work(upstream: Upstream) -> int:
    """Return how many flows, downloads or orders an upstream has begun."""
    match upstream:
        case EchoUpstream(callers=callers):
            return len(callers)
        case StreamUpstream(connections=connections):
            return connections
        case RequestUpstream(ran=ran):
            return ran.total()


def _find_host(number: int) -> str:
    return f"127.0.1.{number + 1}"


def _format(address: Address) -> str:
    return f"{address.host}:{address.port}"
