"""The programs of a soak as processes: started, stopped, paused and killed by id."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import msgspec
from msgspec.structs import replace

from fulmarshore.direct.gate import UpstreamBounds
from fulmarshore.direct.settings import INTERNAL_PORTS, Endpoint, HostSettings
from fulmarshore.platform.formatting import format_settings
from fulmarshore.platform.settings import (
    BIND_HOST_VARIABLE,
    READY_PATH,
    SETTINGS_PATH_VARIABLE,
)
from fulmarshore.soak.network import Hosts
from fulmarshore.soak.plans import AGENT, CONTROL, ENTRY, Plan
from fulmarshore.soak.storage import (
    FAULTS_FILE,
    FOLDER_VARIABLE,
    UNSYNCED_FILE,
    StorageFaults,
    discard_unsynced,
    write_faults,
)

ZONES = ("a", "b", "c")
HEARTBEAT_S = 0.8
ADDRESS_REUSE_S = 2.0
"""Time after an upstream's end at which its address may be another service's."""
GRACE_S = 6.0
BOUNDS = UpstreamBounds(1.5, 5, HEARTBEAT_S, ADDRESS_REUSE_S)
MAX_PORT_ATTEMPTS = 50
INTERPRETER_START_S = 0.5
"""The language's own start, in which a signal does what the system does by default;
nothing of ours runs yet."""


class Ports(msgspec.Struct, frozen=True):
    """Ports of a run, the same on all hosts.

    Parameters
    ----------
    packets, internal : int
        Ports for packets, and the first one between the hosts.
    control, readiness : int
        Ports for orders and announcements, and for probes.
    outbound, upstream : int
        Where the upstream's packets come, and where the upstream takes packets.
    """

    packets: int
    internal: int
    control: int
    readiness: int
    outbound: int
    upstream: int

    def list_datagram_ports(self) -> list[int]:
        """Return the ports of datagrams between hosts."""
        return [self.packets, *range(self.internal, self.internal + INTERNAL_PORTS)]


def find_free_ports(host: str) -> Ports:
    """Return ports that are free on an address."""
    for _ in range(MAX_PORT_ATTEMPTS):
        sockets: list[socket.socket] = []
        try:
            first = _bind_datagram_socket(host, 0, sockets)
            internal = first + 1
            for number in range(INTERNAL_PORTS):
                _bind_datagram_socket(host, internal + number, sockets)
            others = [_bind_datagram_socket(host, 0, sockets) for _ in range(4)]
            return Ports(first, internal, *others)
        except (OSError, OverflowError):
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise OSError(f"{host}: no {INTERNAL_PORTS + 5} free ports")


def _bind_datagram_socket(host: str, port: int, sockets: list[socket.socket]) -> int:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sockets.append(sock)
    sock.bind((host, port))
    return sock.getsockname()[1]


class ProcessManager:
    """The processes of all hosts.

    Parameters
    ----------
    plan : Plan
        Which hosts there are.
    hosts : Hosts
        Their addresses.
    ports : Ports
        Their ports.
    folder : Path
        Where settings, logs and data go.
    random : Random
        Decides what a loss of power takes.
    """

    def __init__(
        self, plan: Plan, hosts: Hosts, ports: Ports, folder: Path, random: Random
    ) -> None:
        self._plan = plan
        self._hosts = hosts
        self._ports = ports
        self._folder = folder
        self._random = random
        self._processes: dict[str, subprocess.Popen] = {}
        self._expected_running: set[str] = set()
        self._started_at: dict[str, float] = {}
        self.settings = {host: self._make_settings(host) for host in hosts.names}

    def get_zone(self, host: str) -> str:
        """Return the availability zone of a host."""
        return ZONES[int(host.rpartition("-")[2]) % len(ZONES)]

    def start(self, host: str, bootstrap: bool = False) -> None:
        """Start the program of a host."""
        folder = self._folder / host
        folder.mkdir(exist_ok=True)
        self.change_settings(host, bootstrap=bootstrap)
        environment = {
            **os.environ,
            SETTINGS_PATH_VARIABLE: str(folder / "settings.json"),
            BIND_HOST_VARIABLE: self._hosts.get_bind_address(host),
            FOLDER_VARIABLE: str(folder),
            "PYTHONPATH": str(Path(__file__).resolve().parents[2]),
        }
        command = [sys.executable, "-m", "fulmarshore.soak", self._plan.get_role(host)]
        with (folder / "log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )
        self._expected_running.add(host)
        self._started_at[host] = time.monotonic()

    def has_signal_handlers(self, host: str) -> bool:
        """Whether a process had time to say which signals it takes."""
        return time.monotonic() - self._started_at.get(host, 0.0) >= INTERPRETER_START_S

    def is_running(self, host: str) -> bool:
        """Whether the process of a host has not ended."""
        process = self._processes.get(host)
        return process is not None and process.poll() is None

    def change_settings(self, host: str, **changes: object) -> None:
        """Write the settings of a host, changed."""
        settings = self.settings[host] = replace(self.settings[host], **changes)
        path = self._folder / host / "settings.json"
        temporary = path.with_suffix(".new")
        temporary.write_bytes(format_settings(settings))
        temporary.rename(path)

    def signal(self, host: str, number: int) -> None:
        """Send a signal to the process of a host, if it runs."""
        if self.is_running(host):
            self._processes[host].send_signal(number)

    def stop(self, host: str) -> None:
        """Begin a planned stop."""
        self._expected_running.discard(host)
        self.signal(host, signal.SIGTERM)

    def kill(self, host: str) -> None:
        """End the process of a host without a word."""
        self._expected_running.discard(host)
        if self.is_running(host):
            self._processes[host].kill()
            self._processes[host].wait()

    def lose_power(self, host: str) -> list[str]:
        """End the process of a host, and lose what was not synced."""
        self.kill(host)
        folder = self._folder / host
        return discard_unsynced(folder / "data", folder / UNSYNCED_FILE, self._random)

    def wipe(self, host: str) -> None:
        """End the process of a host and empty its disk."""
        self.kill(host)
        folder = self._folder / host
        shutil.rmtree(folder / "data", ignore_errors=True)
        (folder / UNSYNCED_FILE).unlink(missing_ok=True)

    def set_disk_faults(self, host: str, faults: StorageFaults) -> None:
        """Put faults of a disk in force."""
        write_faults(self._folder / host / FAULTS_FILE, faults)

    def list_unexpected_exits(self) -> list[tuple[str, int]]:
        """Return the hosts whose processes ended by themselves, with their codes."""
        ended = []
        for host in sorted(self._expected_running):
            code = self._processes[host].poll()
            if code is not None:
                self._expected_running.discard(host)
                ended.append((host, code))
        return ended

    def kill_all(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def _make_settings(self, host: str) -> HostSettings:
        plan, ports = self._plan, self._ports
        advertised_address, bind_address = (
            self._hosts.get_advertised_address(host),
            self._hosts.get_bind_address(host),
        )
        role = plan.get_role(host)
        control = Endpoint(advertised_address, ports.control)
        has_control = role in (CONTROL, AGENT)
        return HostSettings(
            name=host,
            host=advertised_address,
            zone=self.get_zone(host),
            zones=ZONES,
            packet_port=ports.packets,
            internal_port=ports.internal,
            control_port=ports.control,
            seeds=tuple(
                self._hosts.get_advertised_address(seed) for seed in plan.controls
            ),
            readiness=Endpoint(advertised_address, ports.readiness)
            if role == ENTRY
            else None,
            orders=control if has_control else None,
            outbound=Endpoint(bind_address, ports.outbound) if role == AGENT else None,
            upstream=Endpoint(bind_address, ports.upstream) if role == AGENT else None,
            ready_path=READY_PATH,
            data_folder=str(self._folder / host / "data") if role == CONTROL else "",
            lost_disks=1,
            service=plan.upstreams.get(host, ""),
            upstreams=BOUNDS,
            grace_s=GRACE_S,
        )
