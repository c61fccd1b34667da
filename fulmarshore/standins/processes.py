"""Starts and stops daemons as subprocesses, for tests, the demo and benches."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import psutil

STOP_TIMEOUT_S = 5.0
LOG_LINES = 3


def list_control_arguments(
    number: int, zone: str, addresses: list[str], folder: Path
) -> list[str]:
    """Return the command line of one of the control hosts of a region.

    Parameters
    ----------
    number : int
        Index of the control host; number 0 gets ``--bootstrap``.
    zone : str
        Its availability zone.
    addresses : list of str
        Link addresses of all control hosts, as ``IP:PORT``.
    folder : Path
        Parent of the data folders of the control hosts.
    """
    name = f"control-{number}"
    arguments = ["control", "--name", name, "--zone", zone]
    arguments += ["--listen", addresses[number]]
    arguments += ["--data-folder", str(folder / name)]
    for peer, address in enumerate(addresses):
        if peer != number:
            arguments += ["--peer", f"control-{peer}={address}"]
    if number == 0:
        arguments.append("--bootstrap")
    return arguments


def has_own_signals(pid: int) -> bool:
    """Return whether a process defers or handles SIGTERM, as daemons do."""
    masks = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        masks[name] = value
    handled = int(masks["SigBlk"], 16) | int(masks["SigCgt"], 16)
    return handled >> (signal.SIGTERM - 1) & 1 == 1


class Processes:
    """Running daemons, by name.

    Parameters
    ----------
    log_folder : Path
        Folder of the daemons' logs, one file each.
    """

    def __init__(self, log_folder: Path) -> None:
        self._folder = log_folder
        self._running: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, *arguments: str) -> None:
        """Start a daemon with command-line arguments."""
        root = str(Path(__file__).resolve().parents[2])
        environment = {**os.environ, "PYTHONPATH": root}
        with open(self._folder / f"{name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fulmarshore",
                *arguments,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self._running[name] = process

    def read_resident(self, name: str) -> int:
        """Return the resident memory of a daemon, in bytes."""
        return psutil.Process(self._running[name].pid).memory_info().rss

    def describe(self, names: list[str]) -> str:
        """Return the exit code and the last log lines of some daemons."""
        parts = []
        for name in names:
            process = self._running.get(name)
            code = None if process is None else process.returncode
            path = self._folder / f"{name}.log"
            lines = path.read_text().splitlines() if path.exists() else []
            parts.append(f"{name} (exit code {code}): {' / '.join(lines[-LOG_LINES:])}")
        return "; ".join(parts)

    def signal(self, name: str, number: int = signal.SIGTERM) -> None:
        """Send a signal to a daemon."""
        self._running[name].send_signal(number)

    def rename(self, name: str, new_name: str) -> None:
        """Keep a running daemon under another name."""
        self._running[new_name] = self._running.pop(name)

    def get_pid(self, name: str) -> int:
        """Return the process id of a daemon."""
        return self._running[name].pid

    async def wait(self, name: str) -> int:
        """Wait for a daemon's end and return its exit code."""
        return await self._running.pop(name).wait()

    async def stop_all(self) -> None:
        """Kill every daemon that still runs and wait for its end."""
        for process in self._running.values():
            if process.returncode is None:
                process.kill()
        for process in self._running.values():
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        self._running.clear()
