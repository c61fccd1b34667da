"""Keys with three control hosts: rotation and retirement under traffic, replacement."""

import asyncio
import shutil
import signal
import socket
import time
from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner

from fulmarshore.adapters.keys import RING_FILE, KeyFolder, KeyRing
from fulmarshore.adapters.sealing import Sealer
from fulmarshore.adapters.security import load_security
from fulmarshore.commands.client import (
    ControlHosts,
    NoAnswer,
    fetch_status,
    send_request,
    submit_change,
)
from fulmarshore.commands.main import cli
from fulmarshore.core.addresses import format_address
from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Address,
    ChangeReply,
    ChangeStatus,
    Forward,
    KeyRole,
    StatusReply,
    StatusRequest,
    Zone,
)
from fulmarshore.daemons.path_test import ProcessCase
from fulmarshore.standins.cluster import (
    ZONE,
    Cluster,
    find_address,
    find_member,
    wait_until,
)
from fulmarshore.standins.processes import list_control_arguments

HOSTS = 3
CALLERS = 6
PROCESSES = ("entry-0", "m0", "m1")
ENTRY_HOST = "127.0.2.9"
ROTATION_DELAY_S = 3.0
REFUSED_TIMEOUT_S = 0.3


class KeyedCluster(Cluster):
    """Three control hosts and other processes, each with its own key folder."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.controls = [find_address() for _ in range(HOSTS)]
        self.addresses = [format_address(address) for address in self.controls]
        self.origin = folder / "keys"
        arguments = []
        for address in self.addresses:
            arguments += ["--control", address]
        for name in PROCESSES:
            arguments += ["--process", name]
        self.run_keys("new", *arguments, "--operator", "test")
        for number, address in enumerate(self.addresses):
            self.pack("control", address, f"control-{number}")
        for name in PROCESSES:
            self.pack("process", name, name)
        self.pack("operator", "test", "test")

    @property
    def operator_controls(self) -> ControlHosts:
        return self.make_controls("test")

    def make_controls(self, folder: str) -> ControlHosts:
        """Return the control hosts as reached with an operator's key folder."""
        key_folder = KeyFolder(self.folder / "hosts" / folder)
        security = load_security(key_folder, KeyRole.OPERATOR, "test")
        return ControlHosts(self.controls, "test", security)

    def run_keys(self, command: str, *arguments: str) -> None:
        """Run a subcommand of `fulmarshore keys`."""
        command_line = ["keys", command, str(self.origin), *arguments]
        result = CliRunner().invoke(cli, command_line)
        assert result.exit_code == 0, result.output

    def pack(self, role: str, owner: str, host: str) -> None:
        """Write a host's key folder."""
        self.run_keys("pack", role, owner, str(self.folder / "hosts" / host))

    def list_keys(self, host: str) -> list[str]:
        """Return the `--keys` flag of a host and its value."""
        return ["--keys", str(self.folder / "hosts" / host)]

    async def start_control(self) -> None:
        for number in range(HOSTS):
            await self.start_control_host(number)

    async def start_control_host(self, number: int) -> None:
        """Start one of the control hosts."""
        name = f"control-{number}"
        arguments = list_control_arguments(number, ZONE, self.addresses, self.folder)
        await self.processes.start(name, *arguments, *self.list_keys(name))

    async def distribute_ring(self, numbers: str) -> None:
        """Copy the key ring to every process and wait until each uses it."""
        for name in PROCESSES:
            target = self.folder / "hosts" / name / RING_FILE
            shutil.copy(self.origin / RING_FILE, target.with_suffix(".new"))
            target.with_suffix(".new").rename(target)
        logs = [self.folder / f"{name}.log" for name in PROCESSES]
        line = f"key_ring_changed service= flow= peer= keys {numbers}\n"
        await wait_until(lambda: all(line in log.read_text() for log in logs))

    async def wait_leader(self) -> StatusReply:
        """Wait until three replicas vote and one of them is the leader."""
        while True:
            status = await asyncio.to_thread(fetch_status, self.operator_controls)
            if isinstance(status, StatusReply) and status.control == status.leader:
                roles = [replica.role for replica in status.replicas]
                if sorted(roles) == ["leader", "voter", "voter"]:
                    return status
            await asyncio.sleep(0.05)


class KeysTest(ProcessCase):
    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = KeyedCluster(Path(folder.name))
        self.upstreams = {}
        self.services = {}
        self.addAsyncCleanup(self.close)
        await self.cluster.start_control()
        keys = {name: self.cluster.list_keys(name) for name in PROCESSES}
        fabric = ("--fabric", "proxy", *keys["entry-0"])
        await self.cluster.start_entry("entry-0", ENTRY_HOST, *fabric)
        for name in PROCESSES[1:]:
            await self.start_agent(name, "s", *keys[name])
        await asyncio.wait_for(self.cluster.wait_leader(), 30)
        self.status = await self.declare("s")

    def open_callers(self):
        self.open_fabric("s", [ENTRY_HOST])
        return self.run_callers("s")

    async def send_sealed(self, sealer, counter):
        """Send an agent a packet for its previous incarnation; wait for a counter."""
        agent = find_member(self.status, "m0")
        found = await self.cluster.read_counters("m0")
        head = ("s", "m0", agent.incarnation - 1, 1, b"k" * 16, 0, "127.0.0.1", 9)
        packet = Forward(*head, "entry-0", 0, 0, b"s|1")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            address = Address(agent.host, agent.port)
            sock.sendto(sealer.seal(encode(packet)), address)
        await self.cluster.wait_counter("m0", counter, found.get(counter, 0) + 1)

    async def wait_refused(self, controls):
        """Wait until no control host answers; each takes a second to notice."""
        reply = None
        while not isinstance(reply, NoAnswer):
            call = (
                send_request,
                controls,
                StatusRequest(is_local=True),
                REFUSED_TIMEOUT_S,
            )
            reply = await asyncio.to_thread(*call)

    async def test_ring_is_rotated_under_traffic(self):
        callers = self.open_callers()
        await self.wait_answers(callers)
        ring = KeyFolder(self.cluster.origin).read_ring()
        old = Sealer(KeyRing(ring.keys[:1]))
        await self.send_sealed(old, "dropped_wrong_incarnation")
        self.cluster.run_keys("rotate", "--delay", str(ROTATION_DELAY_S))
        ring = KeyFolder(self.cluster.origin).read_ring()
        await self.cluster.distribute_ring("0, 1")
        await self.wait_answers(callers)
        while time.time() <= ring.keys[1].send_after + 0.5:
            await asyncio.sleep(0.1)
        await self.wait_answers(callers)
        await self.send_sealed(old, "dropped_wrong_incarnation")
        self.cluster.run_keys("retire", "0")
        await self.cluster.distribute_ring("1")
        await self.send_sealed(old, "dropped_seal_unknown_key")
        await self.send_sealed(
            Sealer(KeyRing(ring.keys[1:])), "dropped_wrong_incarnation"
        )
        await self.wait_answers(callers)
        for caller in callers:
            self.assertEqual((caller.broken, caller.refused, caller.opened), (0, 0, 1))

    async def test_replaced_key_of_an_operator_and_the_leader_gone(self):
        callers = self.open_callers()
        await self.wait_answers(callers)
        replaced = self.cluster.operator_controls
        shutil.move(self.cluster.folder / "hosts/test", self.cluster.folder / "old")
        for ending in ("key", "key_secret"):
            (self.cluster.origin / f"operator/test.{ending}").unlink()
        self.cluster.run_keys("new", "--operator", "test")
        self.cluster.pack("operator", "test", "test")
        for number, address in enumerate(self.cluster.addresses):
            self.cluster.pack("control", address, f"control-{number}")
        status = await asyncio.wait_for(self.cluster.wait_leader(), 30)
        await asyncio.wait_for(self.wait_refused(replaced), 30)
        code = await self.cluster.end(status.leader, signal.SIGTERM)
        self.assertEqual(code, 0)
        reply = await asyncio.to_thread(
            submit_change, self.cluster.operator_controls, "test", [Zone("other")], []
        )
        self.assertIsInstance(reply, ChangeReply)
        self.assertEqual(reply.status, ChangeStatus.ACCEPTED)
        await self.cluster.start_control_host(int(status.leader[-1]))
        await asyncio.wait_for(self.cluster.wait_leader(), 30)
        await self.wait_answers(callers)
        for caller in callers:
            self.assertEqual((caller.broken, caller.refused, caller.opened), (0, 0, 1))
