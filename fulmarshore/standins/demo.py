"""The demo: a deployment on loopback under load, with drains and failures."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

from msgspec import Struct

from fulmarshore.core.records import Zone
from fulmarshore.standins.caller import FlowCaller
from fulmarshore.standins.deployment import (
    START_TIMEOUT_S,
    Deployment,
    count_work,
    find_entry_host,
)
from fulmarshore.standins.downloads import DownloadCaller, LostDownload
from fulmarshore.standins.fabric import FabricAddress
from fulmarshore.standins.orders import OrderCaller, tally_orders
from fulmarshore.standins.shapes import SHAPES, Shape
from fulmarshore.standins.summary import DemoSummary, FeedRow, KindRow

KILLED_ENTRY = 1
DRAIN_BOUND_S = 2.0
CALLERS_PER_UPSTREAM = 20
DOWNLOAD_CALLERS = 6
DOWNLOAD_BYTES = 1 << 20
ORDER_CALLERS = 12
ORDER_INTERVAL_S = 0.1
PROBE_ORDERS = 30
PROBE_INTERVAL_S = 0.25

OUTAGE_S = 1.0
"""Time within which callers notice the loss of a killed entry host."""

Show = Callable[[str], None]


class Outage(Struct, frozen=True):
    """A time in which work of an entry host or availability zone may end.

    Parameters
    ----------
    began, ended : float
        Times of the event loop.
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
        Size of the deployment.
    seconds : float
        Length of the run with callers.
    seed : int
        Seed of the random choices of fabric and callers.
    show : callable
        Called with each line of progress.
    folder : Path
        Folder of the logs and the control hosts' data.
    """

    def __init__(
        self, shape: Shape, seconds: float, seed: int, show: Show, folder: Path
    ) -> None:
        self.shape = shape
        self.seconds = seconds
        self.show = show
        self.random = Random(seed)
        self.deployment = Deployment(shape, folder)
        self.fabrics: list[FabricAddress] = []
        self.feeds: list[FlowCaller] = []
        self.downloads: list[DownloadCaller] = []
        self.orders: list[OrderCaller] = []
        self.outages: list[Outage] = []
        self.summary = DemoSummary()

    async def run(self) -> DemoSummary:
        """Run the demo and return its results."""
        try:
            self.show("starting control, entry hosts, agents and upstreams")
            await self.deployment.start()
            await self._drive()
            self._sum_up()
        finally:
            await self.deployment.close()
            for closable in (*self.fabrics, *self.orders):
                closable.close()
        return self.summary

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
        await self._replace_entry()
        await asyncio.sleep(self.seconds * 0.1)
        await self._take_zone_out()
        await asyncio.gather(*runs)
        self.summary.new_after_drain = self._count_drained() - known

    def _open_fabrics(self) -> None:
        for service, address in self.deployment.services.items():
            if service == self.shape.downloads.service:
                continue
            entries = self.deployment.entries[service]
            fabric = FabricAddress(address, entries, self.random)
            fabric.open()
            self.fabrics.append(fabric)

    async def _wait_admitted(self) -> None:
        """Send orders until every home agent of the new service admits them."""
        self.show("waiting until orders are admitted")
        service = self.shape.orders.service
        arguments = (self.deployment.services[service], 0.0, self.random)
        probe = OrderCaller(service, "probe", *arguments)
        loop = asyncio.get_running_loop()
        until = loop.time() + START_TIMEOUT_S
        try:
            while loop.time() < until:
                if await probe.count_answered(PROBE_ORDERS) == PROBE_ORDERS:
                    return
                await asyncio.sleep(PROBE_INTERVAL_S)
        finally:
            probe.close()
        raise TimeoutError("not every home agent admits orders")

    def _start_callers(self, until: float) -> list[asyncio.Task[None]]:
        for service, count in self.shape.feeds.items():
            for _ in range(count * CALLERS_PER_UPSTREAM):
                caller = FlowCaller(service, self.deployment.services[service], 0.1)
                self.feeds.append(caller)
        service = self.shape.downloads.service
        address = self.deployment.services[service]
        shared = (self.deployment.entries[service], DOWNLOAD_BYTES, self.random)
        for _ in range(DOWNLOAD_CALLERS):
            self.downloads.append(DownloadCaller(address, service, *shared))
        service = self.shape.orders.service
        address = self.deployment.services[service]
        for number in range(ORDER_CALLERS):
            name = f"counter-{number}"
            arguments = (address, ORDER_INTERVAL_S, self.random)
            self.orders.append(OrderCaller(service, name, *arguments))
        callers = (*self.feeds, *self.downloads, *self.orders)
        return [asyncio.create_task(caller.run(until)) for caller in callers]

    async def _drain(self) -> int:
        """Drain some upstreams; return the work they started within the bound."""
        drained = self.shape.list_drained()
        self.show(f"upstreams {', '.join(drained)} drain")
        self.deployment.drain(drained)
        await asyncio.sleep(DRAIN_BOUND_S)
        return self._count_drained()

    def _count_drained(self) -> int:
        upstreams = self.deployment.upstreams
        return sum(count_work(upstreams[name]) for name in self.shape.list_drained())

    async def _replace_entry(self) -> None:
        """Kill an entry host and start a new one in its place."""
        self.show(f"entry host entry-{KILLED_ENTRY} is killed and replaced")
        began = asyncio.get_running_loop().time()
        host = find_entry_host(KILLED_ENTRY)
        self.outages.append(Outage(began, began + OUTAGE_S, host, ""))
        await self.deployment.replace_entry(KILLED_ENTRY)

    async def _take_zone_out(self) -> None:
        """Take an availability zone out and bring it back."""
        loop = asyncio.get_running_loop()
        zone = self.shape.zones[-1]
        self.show(f"availability zone {zone} is taken out")
        accepted = loop.time()
        await self.deployment.apply([Zone(zone, True)])
        await asyncio.sleep(self.seconds * 0.3)
        last = max(
            upstream.last_packet_at
            for name, upstream in self.deployment.upstreams.items()
            if self.deployment.zone_of[name] == zone
        )
        self.summary.last_packet_s = max(0.0, last - accepted)
        self.outages.append(Outage(accepted, loop.time(), "", zone))
        self.show(f"availability zone {zone} comes back")
        await self.deployment.apply([Zone(zone, False)])

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
                if self.deployment.zone_of[upstream] == self.shape.zones[-1]:
                    row.given_up += 1
                    continue
                row.broken += 1
        for service in self.shape.feeds:
            rows[service].misdelivered += self.deployment.count_misdelivered(service)
        self.summary.add_feeds(sum(caller.upstream != "" for caller in self.feeds))
        self._sum_up_downloads()
        upstreams = self.deployment.list_request_upstreams()
        foreign = self.deployment.count_misdelivered(self.shape.orders.service)
        self.summary.add_orders(tally_orders(self.orders, upstreams), foreign)

    def _sum_up_downloads(self) -> None:
        service = self.shape.downloads.service
        row = KindRow(broken=self.deployment.count_misdelivered(service))
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

    def _is_given_up(self, lost: LostDownload) -> bool:
        for outage in self.outages:
            if not outage.began <= lost.at <= outage.ended:
                continue
            zone = self.deployment.zone_of[lost.upstream]
            if lost.entry.host == outage.entry_host or zone == outage.zone:
                return True
        return False


async def run_demo(shape: str, seconds: float, seed: int, show: Show) -> DemoSummary:
    """Run the demo of a shape in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await Demo(SHAPES[shape], seconds, seed, show, Path(folder)).run()
