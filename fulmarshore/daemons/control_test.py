"""Three real control hosts on real disks: killed, damaged, replaced, locked."""

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
HEARD_S = 0.5


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

    async def end(self, name, number):
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
        raise TimeoutError("no answer")

    async def wait_whole(self, gone=None):
        """Wait until all disks vote and are in step, and one of them is gone."""
        until = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
        while asyncio.get_running_loop().time() < until:
            status = await asyncio.to_thread(fetch_status, self.controls)
            if isinstance(status, StatusReply) and self.is_whole(status, gone):
                return status
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError("not whole")

    def is_whole(self, status, gone):
        voters = [held for held in status.replicas if held.role != "learner"]
        if len(voters) != HOSTS or status.control != status.leader:
            return False
        if gone is not None and gone in {held.replica for held in voters}:
            return False
        return all(
            held.match >= status.commit and held.age < HEARD_S for held in voters
        )

    async def test_accepted_changes_outlive_kill_damage_and_replacement(self):
        first = await self.submit(1, True)
        self.assertEqual(first.status, ChangeStatus.ACCEPTED)
        status = await self.wait_whole()
        await self.end(status.leader, signal.SIGKILL)
        second = await self.submit(2, False)
        self.assertEqual(await self.submit(1, True), first, "a resend")
        await self.start(int(status.leader[-1]))
        whole = await self.wait_whole()
        disks = {held.replica for held in whole.replicas}

        former = next(disk for disk in disks if disk.name != whole.leader)
        name = former.name
        await self.end(name, signal.SIGKILL)
        log = self.folder / name / "log"
        content = bytearray(log.read_bytes())
        content[len(content) // 2] ^= 1
        log.write_bytes(content)
        await self.start(int(name[-1]))
        whole = await self.wait_whole(gone=former)
        changed = {held.replica for held in whole.replicas} - disks
        self.assertEqual([replica.name for replica in changed], [name])
        text = (self.folder / f"{name}.log").read_text()
        self.assertIn("log_damaged", text)

        # Right after the repair, a second host is lost with its disk.
        lost = next(h.replica.name for h in whole.replicas if h.replica.name != name)
        await self.end(lost, signal.SIGKILL)
        shutil.rmtree(self.folder / lost)
        self.assertEqual(await self.submit(2, False), second)
        self.assertEqual(await self.submit(1, True), first)
        third = await self.submit(3, True)
        self.assertGreater(third.version, second.version)
        await self.start(int(lost[-1]))
        whole = await self.wait_whole()
        self.assertEqual(whole.next_number, 4)

    async def test_data_folder_is_checked(self):
        await self.wait_whole()
        folder = self.folder / "open"
        folder.mkdir()
        os.chmod(folder, 0o755)
        table = [(folder, "mode 755"), (self.folder / "control-0", "another process")]
        for path, told in table:
            with self.subTest(told):
                command = [sys.executable, "-m", "fulmarshore", "control"]
                command += ["--name", "control-0", "--zone", "a"]
                command += ["--listen", "127.0.0.1:0", "--data-folder", str(path)]
                result = await asyncio.to_thread(
                    subprocess.run, command, capture_output=True, text=True
                )
                self.assertEqual(result.returncode, 2)
                self.assertIn(told, result.stderr)
