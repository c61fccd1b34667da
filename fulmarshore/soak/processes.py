"""Processes of the hosts in a soak: their settings, start, signals and exit.

Only processes that a `ProcessManager` started are signalled or killed.
"""

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
"""Time after an upstream's end until another service may use its address."""
GRACE_S = 6.0
BOUNDS = UpstreamBounds(1.5, 5, HEARTBEAT_S, ADDRESS_REUSE_S)
MAX_PORT_ATTEMPTS = 50
INTERPRETER_START_S = 0.5
"""Time for the interpreter to start. Until the program installs its handlers, a signal
has its default effect, which for SIGHUP ends the process."""


class Ports(msgspec.Struct, frozen=True):
    """Ports of a run, the same on all hosts.

    Parameters
    ----------
    packets, internal : int
        Port for callers' packets, and the first one for messages between hosts.
    control, readiness : int
        Ports for orders and announcements, and for readiness probes.
    outbound, upstream : int
        Port where the agent receives its upstream's packets, and the upstream's port.
    """

    packets: int
    internal: int
    control: int
    readiness: int
    outbound: int
    upstream: int

    def list_datagram_ports(self) -> list[int]:
        """Return the ports on which hosts exchange datagrams."""
        return [self.packets, *range(self.internal, self.internal + INTERNAL_PORTS)]


def find_free_ports(host: str) -> Ports:
    """Return ports that are free on an address.

    Raises
    ------
    OSError
        If none are found after `MAX_PORT_ATTEMPTS`.
    """
    for _ in range(MAX_PORT_ATTEMPTS):
        sockets: list[socket.socket] = []
        try:
            first = _bind_datagram_socket(host, 0, sockets)
            internal = first + 1
            for number in range(INTERNAL_PORTS):
                _bind_datagram_socket(host, internal + number, sockets)
            others = [_bind_datagram_socket(host, 0, sockets) for _ in range(4)]
            for port in others:
                _bind(host, port, socket.SOCK_STREAM, sockets)
            return Ports(first, internal, *others)
        except (OSError, OverflowError):
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise OSError(f"{host}: no {INTERNAL_PORTS + 5} free ports")


def _bind_datagram_socket(host: str, port: int, sockets: list[socket.socket]) -> int:
    return _bind(host, port, socket.SOCK_DGRAM, sockets)


def _bind(
    host: str, port: int, kind: socket.SocketKind, sockets: list[socket.socket]
) -> int:
    sock = socket.socket(socket.AF_INET, kind)
    sockets.append(sock)
    sock.bind((host, port))
    return sock.getsockname()[1]


class ProcessManager:
    """Starts, stops, pauses and kills the processes of all hosts.

    Parameters
    ----------
    plan : Plan
        Hosts, with their roles and services.
    hosts : Hosts
        Addresses of the hosts.
    ports : Ports
        Ports of the run.
    folder : Path
        Folder for settings, logs and data; one subfolder a host.
    random : Random
        Draws which unsynced bytes a loss of power discards.
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
        """Write the settings of a host and start its process."""
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

    def can_signal(self, host: str) -> bool:
        """Return whether a process had time to install its signal handlers."""
        return time.monotonic() - self._started_at.get(host, 0.0) >= INTERPRETER_START_S

    def is_running(self, host: str) -> bool:
        """Return whether the process of a host is running."""
        process = self._processes.get(host)
        return process is not None and process.poll() is None

    def change_settings(self, host: str, **changes: object) -> None:
        """Change fields of a host's settings and write its settings file."""
        settings = self.settings[host] = replace(self.settings[host], **changes)
        path = self._folder / host / "settings.json"
        temporary = path.with_suffix(".new")
        temporary.write_bytes(format_settings(settings))
        temporary.rename(path)

    def signal(self, host: str, number: int) -> None:
        """Send a signal to the process of a host if it is running."""
        if self.is_running(host):
            self._processes[host].send_signal(number)

    def stop(self, host: str) -> None:
        """Send SIGTERM to the process of a host, for a planned stop."""
        self._expected_running.discard(host)
        self.signal(host, signal.SIGTERM)

    def kill(self, host: str) -> None:
        """Send SIGKILL to the process of a host and wait for its end."""
        self._expected_running.discard(host)
        if self.is_running(host):
            self._processes[host].kill()
            self._processes[host].wait()

    def lose_power(self, host: str) -> list[str]:
        """Kill the process of a host, discard unsynced data, and return the losses."""
        self.kill(host)
        folder = self._folder / host
        return discard_unsynced(folder / "data", folder / UNSYNCED_FILE, self._random)

    def wipe(self, host: str) -> None:
        """Kill the process of a host and delete its data folder."""
        self.kill(host)
        folder = self._folder / host
        shutil.rmtree(folder / "data", ignore_errors=True)
        (folder / UNSYNCED_FILE).unlink(missing_ok=True)

    def set_disk_faults(self, host: str, faults: StorageFaults) -> None:
        """Set the disk faults of a host; default values clear them."""
        write_faults(self._folder / host / FAULTS_FILE, faults)

    def list_unexpected_exits(self) -> list[tuple[str, int]]:
        """Return hosts whose processes exited unexpectedly, with the exit codes.

        Each exit is returned once.
        """
        ended = []
        for host in sorted(self._expected_running):
            code = self._processes[host].poll()
            if code is not None:
                self._expected_running.discard(host)
                ended.append((host, code))
        return ended

    def kill_all(self) -> None:
        """Kill all processes that are still running."""
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
