"""Three control processes with disks: kills, damaged logs, lost and locked disks."""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from fulmarshore.commands.client import fetch_status, send_request
from fulmarshore.core.records import (
    Change,
    ChangeReply,
    ChangeStatus,
    StatusReply,
    Zone,
)
from fulmarshore.standins.cluster import find_address, format_address
from fulmarshore.standins.processes import Processes, list_control_arguments

HOSTS = 3
WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
MAX_CONTACT_AGE_S = 0.5


class ControlDaemonTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.processes = Processes(self.folder)
        self.addAsyncCleanup(self.processes.stop_all)
        self.controls = [find_address() for _ in range(HOSTS)]
        self.addresses = [format_address(address) for address in self.controls]
        for number in range(HOSTS):
            await self.start(number)

    async def start(self, number):
        arguments = list_control_arguments(number, "a", self.addresses, self.folder)
        await self.processes.start(f"control-{number}", *arguments)

    async def kill(self, name, number):
        self.processes.signal(name, number)
        await self.processes.wait(name)

    async def submit(self, number, out):
        change = Change(number, "op", [Zone("a", out)], [])
        until = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
        while asyncio.get_running_loop().time() < until:
            reply = await asyncio.to_thread(send_request, self.controls, change, 0.4)
            if not isinstance(reply, ChangeReply):
                continue
            if reply.status != ChangeStatus.UNAVAILABLE:
                return reply
        raise TimeoutError("no control host answered")

    async def wait_for_all_voters(self, removed=None):
        """Wait until all replicas vote and are up to date; `removed` has left."""
        until = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
        while asyncio.get_running_loop().time() < until:
            status = await asyncio.to_thread(fetch_status, self.controls)
            if isinstance(status, StatusReply) and self.has_all_voters(status, removed):
                return status
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError("not all replicas vote and are up to date")

    def has_all_voters(self, status, removed):
        voters = [entry for entry in status.replicas if entry.role != "learner"]
        if len(voters) != HOSTS or status.control != status.leader:
            return False
        if removed is not None and removed in {entry.replica for entry in voters}:
            return False
        return all(
            entry.match >= status.commit and entry.age < MAX_CONTACT_AGE_S
            for entry in voters
        )

    async def test_accepted_changes_survive_kill_damage_and_replacement(self):
        first = await self.submit(1, True)
        self.assertEqual(first.status, ChangeStatus.ACCEPTED)
        status = await self.wait_for_all_voters()
        await self.kill(status.leader, signal.SIGKILL)
        second = await self.submit(2, False)
        self.assertEqual(await self.submit(1, True), first, "a resend")
        await self.start(int(status.leader[-1]))
        recovered = await self.wait_for_all_voters()
        disks = {entry.replica for entry in recovered.replicas}

        damaged = next(disk for disk in disks if disk.name != recovered.leader)
        name = damaged.name
        await self.kill(name, signal.SIGKILL)
        log = self.folder / name / "log"
        content = bytearray(log.read_bytes())
        content[len(content) // 2] ^= 1
        log.write_bytes(content)
        await self.start(int(name[-1]))
        recovered = await self.wait_for_all_voters(removed=damaged)
        changed = {entry.replica for entry in recovered.replicas} - disks
        self.assertEqual([replica.name for replica in changed], [name])
        text = (self.folder / f"{name}.log").read_text()
        self.assertIn("log_damaged", text)

        # Right after the repair, a second host and its disk are lost.
        lost = next(
            h.replica.name for h in recovered.replicas if h.replica.name != name
        )
        await self.kill(lost, signal.SIGKILL)
        shutil.rmtree(self.folder / lost)
        self.assertEqual(await self.submit(2, False), second)
        self.assertEqual(await self.submit(1, True), first)
        third = await self.submit(3, True)
        self.assertGreater(third.version, second.version)
        await self.start(int(lost[-1]))
        recovered = await self.wait_for_all_voters()
        self.assertEqual(recovered.next_number, 4)

    async def test_unsafe_or_locked_data_folder_is_refused(self):
        await self.wait_for_all_voters()
        folder = self.folder / "open"
        folder.mkdir()
        os.chmod(folder, 0o755)
        table = [(folder, "mode 755"), (self.folder / "control-0", "another process")]
        for path, message in table:
            with self.subTest(message):
                command = [sys.executable, "-m", "fulmarshore", "control"]
                command += ["--name", "control-0", "--zone", "a"]
                command += ["--listen", "127.0.0.1:0", "--data-folder", str(path)]
                result = await asyncio.to_thread(
                    subprocess.run, command, capture_output=True, text=True
                )
                self.assertEqual(result.returncode, 2)
                self.assertIn(message, result.stderr)
