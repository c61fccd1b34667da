"""A cluster of real daemons on loopback, for process tests and benches.

It has one control host without a data folder; upstreams and callers are added
by the tests.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Iterator
from itertools import cycle
from pathlib import Path
from random import SystemRandom
from urllib.request import urlopen

from prometheus_client.parser import text_string_to_metric_families

from fulmarshore.adapters.keys import KeyFolder, KeyProblem
from fulmarshore.adapters.metrics import FAMILIES, PREFIX
from fulmarshore.adapters.security import load_security
from fulmarshore.commands.client import (
    ControlHosts,
    NoAnswer,
    fetch_status,
    submit_change,
)
from fulmarshore.core.addresses import format_address
from fulmarshore.core.records import (
    Address,
    ChangeReply,
    ChangeStatus,
    Declaration,
    EntryHost,
    KeyRole,
    Member,
    StatusReply,
)
from fulmarshore.standins.keys import make_keys
from fulmarshore.standins.processes import Processes

ZONE = "zone-a"
OPERATOR = "test"
WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
FIRST_PORT, LAST_PORT = 20_000, 31_999
PROCESS_DESCRIPTOR = "anon_inode:[pidfd]"
REASON_LABELS = {family.label for family in FAMILIES}

Condition = Callable[[], bool]


def _shuffle_ports() -> Iterator[int]:
    """Return an endless iterator of ports in random order.

    Test processes that run side by side rarely choose the same port.
    """
    ports = list(range(FIRST_PORT, LAST_PORT + 1))
    SystemRandom().shuffle(ports)
    return cycle(ports)


_PORTS = _shuffle_ports()


class Cluster:
    """One control host, and entry hosts and agents that a test adds.

    Parameters
    ----------
    folder : Path
        Folder of the logs and keys.
    has_keys : bool
        Whether all links and datagrams are authenticated and encrypted.
    """

    def __init__(self, folder: Path, has_keys: bool = False) -> None:
        self.folder = folder
        self.processes = Processes(folder)
        self.controls = [find_address()]
        self.keys = KeyFolder(folder / "keys") if has_keys else None
        if self.keys is not None:
            make_keys(self.keys, self.controls, [OPERATOR])
        self.metrics: dict[str, Address] = {}
        self._names: set[str] = set()

    @property
    def operator_controls(self) -> ControlHosts:
        """The control hosts with the security settings of an operator."""
        security = None
        if self.keys is not None:
            security = load_security(self.keys, KeyRole.OPERATOR, OPERATOR)
        return ControlHosts(self.controls, OPERATOR, security)

    async def start_control(self, *more: str) -> None:
        """Start the control host."""
        await self.processes.start(
            "control",
            *("control", "--name", "control", "--zone", ZONE),
            *("--listen", format_address(self.controls[0])),
            *self._list_key_flags(),
            *more,
        )

    async def start_entry(
        self, name: str, service_host: str | None, *more: str
    ) -> None:
        """Start an entry host that binds services on ``service_host``.

        If that is None, it binds the services' own addresses.
        """
        metrics = self._register(name)
        more += self._list_key_flags(name)
        control = () if "--control" in more else self._list_control_flags()
        host_flags = ("--service-host", service_host) if service_host else ()
        await self.processes.start(
            name,
            *("entry", "--name", name, "--zone", ZONE, "--metrics", metrics),
            *("--data", "127.0.0.1:0", *control, *host_flags, *more),
        )

    async def start_agent(
        self, name: str, service: str, upstream: Address, *more: str
    ) -> None:
        """Start the agent of an upstream."""
        metrics = self._register(name)
        more += self._list_key_flags(name)
        control = () if "--control" in more else self._list_control_flags()
        data = () if "--data" in more else ("--data", "127.0.0.1:0")
        await self.processes.start(
            name,
            *("agent", "--name", name, "--zone", ZONE, "--metrics", metrics),
            *(*control, *data),
            *("--service", service, "--upstream", format_address(upstream), *more),
        )

    async def replace_agent(
        self, name: str, number: int, service: str, upstream: Address
    ) -> int:
        """End an agent with a signal while its successor waits; return its exit code.

        The successor has done all of its start that does not need its
        predecessor's end, so the gap does not depend on the speed of the host.
        """
        pid = self.processes.get_pid(name)
        predecessor = f"{name}-{pid}"
        self.processes.rename(name, predecessor)
        await self.start_agent(name, service, upstream, "--predecessor", str(pid))
        successor = self.processes.get_pid(name)
        await wait_until(lambda: _has_process_descriptor(successor))
        return await self.end(predecessor, number)

    async def apply(self, items: list[Declaration]) -> None:
        """Submit a change and wait until it is accepted.

        The same change is submitted again while its outcome is unknown.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + WAIT_TIMEOUT_S
        number: int | None = None
        while loop.time() < until:
            if number is None:
                status = await asyncio.to_thread(fetch_status, self.operator_controls)
                if not isinstance(status, StatusReply):
                    continue
                number = status.next_number
            change = (OPERATOR, items, [], number)
            reply = await asyncio.to_thread(
                submit_change, self.operator_controls, *change
            )
            if not isinstance(reply, ChangeReply):
                continue
            if reply.status == ChangeStatus.ACCEPTED:
                return
            if reply.status != ChangeStatus.UNAVAILABLE:
                raise RuntimeError(f"change not accepted: {reply!r}")
        raise TimeoutError(f"change {number} was not decided")

    async def wait_settled(self) -> StatusReply:
        """Wait until all started processes have the newest version in force."""
        loop = asyncio.get_running_loop()
        until = loop.time() + WAIT_TIMEOUT_S
        status: StatusReply | NoAnswer | None = None
        while loop.time() < until:
            status = await asyncio.to_thread(fetch_status, self.operator_controls)
            if isinstance(status, StatusReply) and self._is_settled(status):
                return status
            await asyncio.sleep(POLL_INTERVAL_S)
        missing = sorted(self._names - self._list_current(status))
        raise TimeoutError(
            f"processes without the newest version: {self.processes.describe(missing)}"
        )

    async def wait_gone(self, name: str) -> None:
        """Wait until the control host has removed a process from the members."""
        loop = asyncio.get_running_loop()
        until = loop.time() + WAIT_TIMEOUT_S
        while loop.time() < until:
            status = await asyncio.to_thread(fetch_status, self.operator_controls)
            if isinstance(status, StatusReply) and not _is_member(status, name):
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"{name} is still a member")

    async def end(self, name: str, number: int) -> int:
        """Send a signal to a process and return its exit code when it ends."""
        self._names.discard(name)
        self.processes.signal(name, number)
        return await asyncio.wait_for(self.processes.wait(name), WAIT_TIMEOUT_S)

    async def read_counters(self, name: str) -> dict[str, float]:
        """Return counters by kind and gauges by name; empty before the start."""
        counters: dict[str, float] = {}
        try:
            text = await asyncio.to_thread(_fetch_metrics, self.metrics[name])
        except OSError:
            return counters
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                labels = [v for k, v in sample.labels.items() if k in REASON_LABELS]
                name = sample.name.removeprefix(PREFIX).removesuffix("_total")
                kind = "_".join([name, *labels])
                counters[kind] = counters.get(kind, 0.0) + sample.value
        return counters

    async def wait_counter(self, name: str, kind: str, least: float) -> float:
        """Wait until a counter of a process is at least some value; return it."""
        loop = asyncio.get_running_loop()
        until = loop.time() + WAIT_TIMEOUT_S
        while loop.time() < until:
            value = (await self.read_counters(name)).get(kind, 0.0)
            if value >= least:
                return value
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"{name}: counter {kind} stayed below {least}")

    async def close(self) -> None:
        """Kill all processes that still run."""
        await self.processes.stop_all()

    def _list_key_flags(self, name: str = "") -> tuple[str, ...]:
        """Return the flag of the key folder; create the key of a new process."""
        if self.keys is None:
            return ()
        if name and isinstance(self.keys.read_pair(KeyRole.PROCESS, name), KeyProblem):
            self.keys.add_pair(KeyRole.PROCESS, name)
        return ("--keys", str(self.keys.path))

    def _list_control_flags(self) -> tuple[str, ...]:
        arguments: list[str] = []
        for address in self.controls:
            arguments += ["--control", format_address(address)]
        return tuple(arguments)

    def _register(self, name: str) -> str:
        self._names.add(name)
        self.metrics[name] = find_address()
        return format_address(self.metrics[name])

    def _is_settled(self, status: StatusReply) -> bool:
        return self._names <= self._list_current(status)

    def _list_current(self, status: StatusReply | NoAnswer) -> set[str]:
        """Return the processes that have the newest version in force."""
        if not isinstance(status, StatusReply):
            return set()
        return {
            process.identity.name
            for process in status.processes
            if process.version == status.view.version
        }


async def wait_until(condition: Condition) -> None:
    """Wait until a condition holds."""
    loop = asyncio.get_running_loop()
    until = loop.time() + WAIT_TIMEOUT_S
    while not condition():
        if loop.time() > until:
            raise TimeoutError("the condition did not hold in time")
        await asyncio.sleep(POLL_INTERVAL_S)


def _is_member(status: StatusReply, name: str) -> bool:
    items = (stamped.item for stamped in status.view.items)
    return any(isinstance(i, Member | EntryHost) and i.name == name for i in items)


def find_member(status: StatusReply, name: str) -> Member | EntryHost:
    """Return the announcement of a process."""
    for stamped in status.view.items:
        if not isinstance(stamped.item, Member | EntryHost):
            continue
        if stamped.item.name == name:
            return stamped.item
    raise LookupError(name)


def find_address(host: str = "127.0.0.1") -> Address:
    """Return an address with a port that is free for TCP and UDP.

    The port is below the kernel's ephemeral range: otherwise another socket
    could be given it before the process that needs it binds it.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    while True:
        address = Address(host, next(_PORTS))
        with (
            socket.socket(family, socket.SOCK_STREAM) as stream,
            socket.socket(family, socket.SOCK_DGRAM) as datagram,
        ):
            try:
                stream.bind(address)
                datagram.bind(address)
            except OSError:
                continue
            return address


def _has_process_descriptor(pid: int) -> bool:
    """Return whether a process watches the end of another one."""
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            if os.readlink(link) == PROCESS_DESCRIPTOR:
                return True
        except FileNotFoundError:
            # The descriptor was closed after the folder was listed.
            continue
    return False


def _fetch_metrics(address: Address) -> str:
    with urlopen(f"http://{format_address(address)}/metrics", timeout=5) as reply:
        return reply.read().decode()
