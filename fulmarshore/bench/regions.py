"""Measures operators' commands over several regions, with real daemons.

Each region consists of a control host and an agent on loopback. Times are wall
times of the whole command, including the start of its process.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from pathlib import Path

from msgspec import Struct

from fulmarshore.commands.client import fetch_status
from fulmarshore.core.addresses import format_address
from fulmarshore.core.records import Address, StatusReply
from fulmarshore.standins.cluster import find_address
from fulmarshore.standins.processes import Processes

REGIONS = 6
POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 20.0
FILE_TEMPLATE = """region = "{0}"
[[zone]]
name = "{0}-a"
[[profile]]
name = "feed"
kind = "feed"
idle_timeout = {1}.0
"""


class TimedCommand(Struct, frozen=True):
    """Duration and exit code of a command, and the version of each region after it."""

    command: str
    seconds: float
    exit_code: int
    versions: list[int]


class RegionsReport(Struct, frozen=True):
    """All commands of the run, in order."""

    regions: int
    commands: list[TimedCommand]


class RegionsBench:
    """One run over real daemons.

    Parameters
    ----------
    folder : Path
        Where declarations, logs and data are written.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes = Processes(folder)
        self.names = [f"region-{number}" for number in range(REGIONS)]
        self.controls = {name: find_address() for name in self.names}
        self.files = folder / "files"
        self.files.mkdir()

    async def run(self) -> RegionsReport:
        """Start all processes, time the commands, and stop the processes."""
        last, first = self.names[-1], self.names[0]
        try:
            for name in self.names:
                await self._start_region(name)
            await self._wait_until_joined()
            apply = ("apply", str(self.files), "--wait")
            timed = [await self._time_command("apply to all", 1, *apply)]
            out = ("zone", "out", f"{first}-a", "--wait")
            timed.append(await self._time_command("zone out in one", 1, *out))
            self.processes.signal(last, signal.SIGSTOP)
            label = "apply, one region silent"
            timed.append(await self._time_command(label, 2, *apply))
            back = ("zone", "in", f"{first}-a", "--wait")
            label = "zone in, another region silent"
            timed.append(await self._time_command(label, 2, *back))
            self.processes.signal(last, signal.SIGCONT)
            timed.append(await self._time_command("the same apply again", 2, *apply))
        finally:
            await self.processes.stop_all()
        return RegionsReport(REGIONS, timed)

    async def _start_region(self, name: str) -> None:
        listen = format_address(self.controls[name])
        shared = ("--region", name, "--zone", f"{name}-a")
        await self.processes.start(
            name,
            *("control", "--name", name, "--listen", listen, *shared),
            *("--data-folder", str(self.folder / f"{name}-data"), "--bootstrap"),
        )
        upstream = format_address(find_address())
        await self.processes.start(
            f"{name}-agent",
            *("agent", "--name", f"{name}-agent", "--control", listen, *shared),
            *("--service", "s", "--data", "127.0.0.1:0", "--upstream", upstream),
        )

    async def _wait_until_joined(self) -> None:
        for address in self.controls.values():
            until = time.monotonic() + START_TIMEOUT_S
            while await self._read_version(address) == 0:
                if time.monotonic() > until:
                    raise TimeoutError(f"no agent joined at {format_address(address)}")
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _time_command(
        self, label: str, idle_timeout: int, *arguments: str
    ) -> TimedCommand:
        for name in self.names:
            text = FILE_TEMPLATE.format(name, idle_timeout)
            (self.files / f"{name}.toml").write_text(text)
        flags = []
        for name, address in self.controls.items():
            flags += ["--region", f"{name}={format_address(address)}"]
        started = time.monotonic()
        await self.processes.start("command", *arguments, *flags)
        code = await self.processes.wait("command")
        seconds = round(time.monotonic() - started, 2)
        versions = []
        for address in self.controls.values():
            versions.append(await self._read_version(address))
        return TimedCommand(label, seconds, code, versions)

    async def _read_version(self, address: Address) -> int:
        """Return the version of a region: 0 without an agent, -1 without a reply."""
        status = await asyncio.to_thread(fetch_status, [address])
        if not isinstance(status, StatusReply):
            return -1
        return status.view.version


def run() -> RegionsReport:
    """Run the measurement in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(RegionsBench(Path(folder)).run())
