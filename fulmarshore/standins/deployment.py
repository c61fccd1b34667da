"""A deployment of real daemons on loopback, for the demo.

Starts the control hosts, entry hosts and agents of a shape, with an upstream
beside each agent, and submits the declarations. Callers and fabric are added by
the demo.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from fulmarshore.commands.client import NoAnswer, fetch_status, submit_change
from fulmarshore.core.addresses import format_address
from fulmarshore.core.records import (
    Address,
    ChangeStatus,
    Declaration,
    Profile,
    Protocol,
    Service,
    StatusReply,
    TrafficKind,
    Zone,
)
from fulmarshore.daemons.process import make_incarnation
from fulmarshore.standins.cluster import find_address
from fulmarshore.standins.processes import Processes, list_control_arguments
from fulmarshore.standins.requestupstream import RequestUpstream
from fulmarshore.standins.shapes import Shape
from fulmarshore.standins.streams import StreamUpstream
from fulmarshore.standins.upstream import EchoUpstream

ENTRY_HOSTS = 3
START_TIMEOUT_S = 30.0
SETTLE_INTERVAL_S = 0.2
ORDER_SERVICE_S = 0.03
OPERATOR = "demo"

Upstream = EchoUpstream | StreamUpstream | RequestUpstream


class Deployment:
    """The daemons of a shape, with an upstream beside each agent.

    Parameters
    ----------
    shape : Shape
        Size of the deployment.
    folder : Path
        Folder of the logs and the control hosts' data.
    """

    def __init__(self, shape: Shape, folder: Path) -> None:
        self.shape = shape
        self.folder = folder
        self.processes = Processes(folder)
        self.controls = [find_address() for _ in shape.zones]
        self.services = {part.service: find_address() for part in shape.list_parts()}
        self.entries = {
            name: [Address(find_entry_host(n), at.port) for n in range(ENTRY_HOSTS)]
            for name, at in self.services.items()
        }
        self.upstreams: dict[str, Upstream] = {}
        self.zone_of: dict[str, str] = {}
        self._started: dict[str, int] = {}

    async def start(self) -> None:
        """Start all processes, submit the declarations and wait for them."""
        addresses = [format_address(address) for address in self.controls]
        for number, zone in enumerate(self.shape.zones):
            await self.processes.start(
                f"control-{number}",
                *list_control_arguments(number, zone, addresses, self.folder),
            )
        for number in range(ENTRY_HOSTS):
            await self._start_entry(number)
        for part in self.shape.list_parts():
            for number in range(part.upstreams):
                await self._start_agent(part.service, number)
        await self.apply(self._list_declarations())
        await self._wait_ready()

    async def replace_entry(self, number: int) -> None:
        """Kill an entry host and start a new one in its place."""
        name = f"entry-{number}"
        host = find_entry_host(number)
        self.processes.signal(name, signal.SIGKILL)
        await self.processes.wait(name)
        for service, entries in self.entries.items():
            entries.remove(Address(host, self.services[service].port))
        await self._start_entry(number)
        await self._wait_ready()
        for service, entries in self.entries.items():
            entries.append(Address(host, self.services[service].port))

    def drain(self, names: list[str]) -> None:
        """Begin the planned stop of the agents of some upstreams."""
        for name in names:
            # A draining agent ends after its last work, so it is not waited for.
            del self._started[name]
            self.processes.signal(name, signal.SIGTERM)

    async def apply(self, items: list[Declaration]) -> None:
        """Submit a change; raise RuntimeError if it is not accepted."""
        change = (self.controls, OPERATOR, items, [])
        reply = await asyncio.to_thread(submit_change, *change)
        if isinstance(reply, NoAnswer) or reply.status != ChangeStatus.ACCEPTED:
            raise RuntimeError(f"change not accepted: {reply!r}")

    def count_misdelivered(self, service: str) -> int:
        """Return how many misdelivered packets the upstreams of a service got."""
        return sum(
            upstream.misdelivered
            for upstream in self.upstreams.values()
            if upstream.service == service
        )

    def list_request_upstreams(self) -> list[RequestUpstream]:
        """Return the upstreams that run orders."""
        return [u for u in self.upstreams.values() if type(u) is RequestUpstream]

    async def close(self) -> None:
        """Kill all processes that still run and close the upstreams."""
        await self.processes.stop_all()
        for upstream in self.upstreams.values():
            upstream.close()

    async def _start_entry(self, number: int) -> None:
        name = f"entry-{number}"
        zones = self.shape.zones
        self._started[name] = make_incarnation()
        await self.processes.start(
            name,
            *("entry", "--name", name, "--zone", zones[number % len(zones)]),
            *self._list_controls(),
            *("--data", "127.0.0.1:0"),
            *("--service-host", find_entry_host(number), "--fabric", "proxy"),
        )

    def _list_declarations(self) -> list[Declaration]:
        feeds = Profile("status-feed", TrafficKind.FEED, idle_timeout=60.0)
        downloads = Profile("download", TrafficKind.DOWNLOAD, slow_start=1.0)
        orders = Profile("order", TrafficKind.NON_IDEMPOTENT, slow_start=1.0)
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
            arguments += ["--control", format_address(address)]
        return arguments

    async def _start_agent(self, service: str, number: int) -> None:
        name = f"{service}-{number}"
        zone = self.shape.zones[number % len(self.shape.zones)]
        address = await self._open_upstream(name, service)
        self.zone_of[name] = zone
        self._started[name] = make_incarnation()
        await self.processes.start(
            name,
            *("agent", "--name", name, "--zone", zone, "--service", service),
            *self._list_controls(),
            *("--data", "127.0.0.1:0"),
            *("--upstream", format_address(address), "--slots", str(self.shape.slots)),
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
        """Wait until every started process has the newest view in force."""
        loop = asyncio.get_running_loop()
        until = loop.time() + START_TIMEOUT_S
        while loop.time() < until:
            status = await asyncio.to_thread(fetch_status, self.controls)
            if isinstance(status, StatusReply) and self._is_settled(status):
                return
            await asyncio.sleep(SETTLE_INTERVAL_S)
        raise TimeoutError(
            f"not all of {len(self._started)} processes have the newest view in force"
        )

    def _is_settled(self, status: StatusReply) -> bool:
        wanted = dict(self._started)
        for process in status.processes:
            name, incarnation = process.identity.name, process.identity.incarnation
            if incarnation < wanted.get(name, 0):
                continue
            if process.version == status.view.version:
                wanted.pop(name, None)
        return not wanted


def count_work(upstream: Upstream) -> int:
    """Return how many flows, downloads or orders an upstream has started."""
    match upstream:
        case EchoUpstream(callers=callers):
            return len(callers)
        case StreamUpstream(connections=connections):
            return connections
        case RequestUpstream(ran=ran):
            return ran.total()


def find_entry_host(number: int) -> str:
    """Return the loopback address on which an entry host binds services."""
    return f"127.0.1.{number + 1}"
