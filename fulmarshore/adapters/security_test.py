import asyncio
import os
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase, TestCase

import zmq
import zmq.asyncio
from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.adapters import keys
from fulmarshore.adapters.keys import (
    RING_FILE,
    KeyFolder,
    KeyProblem,
    KeyRing,
    RingKey,
    add_ring_key,
    make_key_name,
)
from fulmarshore.adapters.links import LinkClient, LinkServer
from fulmarshore.adapters.security import find_exposed, load_security
from fulmarshore.core.records import (
    Address,
    Change,
    ChangeReply,
    ChangeStatus,
    Heartbeat,
    Identity,
    KeyRole,
)
from fulmarshore.standins import profiles  # noqa: F401
from fulmarshore.standins.cluster import find_address

WAIT_S = 10.0
NO_MESSAGE_WAIT_S = 0.3


class LinkSecurityTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = KeyFolder(Path(folder.name))
        self.address = find_address()
        self.context = zmq.asyncio.Context()
        self.addCleanup(self.context.destroy, linger=0)
        self.received = asyncio.Queue()
        self.replies = asyncio.Queue()
        control = self.add_security(KeyRole.CONTROL, make_key_name(self.address))
        self.server = LinkServer(self.context, self.address, self.receive, control)
        self.addCleanup(self.server.close)

    def add_security(self, role, name):
        self.folder.add_pair(role, name)
        return load_security(KeyFolder(self.folder.path), role, name)

    def receive(self, peer, message):
        self.received.put_nowait((peer, message))

    def receive_reply(self, peer, message):
        self.replies.put_nowait(message)

    def connect(self, security):
        address = {"control": self.address}
        client = LinkClient(self.context, address, self.receive_reply, security)
        self.addCleanup(client.close)
        return client

    async def is_received(self, client, message, wait_s=WAIT_S):
        client.send("control", message)
        try:
            _, received = await asyncio.wait_for(self.received.get(), wait_s)
        except TimeoutError:
            return False
        self.assertEqual(received, message)
        return True

    async def test_process_and_operator_are_accepted_with_their_own_keys(self):
        process = self.connect(self.add_security(KeyRole.PROCESS, "m1"))
        heartbeat = Heartbeat(Identity("m1", 1), 0)
        self.assertTrue(await self.is_received(process, heartbeat))
        operator = self.connect(self.add_security(KeyRole.OPERATOR, "ann"))
        self.assertTrue(await self.is_received(operator, Change(1, "ann", [], [])))

    async def test_key_authorizes_its_owner_only(self):
        ann = self.connect(self.add_security(KeyRole.OPERATOR, "ann"))
        ann.send("control", Change(1, "ben", [], []))
        reply = await asyncio.wait_for(self.replies.get(), WAIT_S)
        self.assertIsInstance(reply, ChangeReply)
        self.assertEqual(reply.status, ChangeStatus.INVALID)
        process = self.connect(self.add_security(KeyRole.PROCESS, "m1"))
        process.send("control", Change(1, "m1", [], []))
        process.send("control", Heartbeat(Identity("m2", 1), 0))
        heartbeat = Heartbeat(Identity("m1", 1), 0)
        self.assertTrue(await self.is_received(process, heartbeat))
        self.assertEqual(self.server.counters["dropped_link_unauthorized"], 3)

    async def test_unknown_keys_are_refused(self):
        with TemporaryDirectory() as name:
            other = KeyFolder(Path(name))
            other.add_pair(KeyRole.PROCESS, "m1")
            own = load_security(other, KeyRole.PROCESS, "m1")
            public = self.folder.get_key_path(
                KeyRole.CONTROL, make_key_name(self.address), False
            )
            (other.path / "control").mkdir()
            copy = other.path / "control" / public.name
            copy.write_bytes(public.read_bytes())
            heartbeat = Heartbeat(Identity("m1", 1), 0)
            for label, security in (("unknown key", own), ("no key", None)):
                with self.subTest(label):
                    client = self.connect(security)
                    self.assertFalse(
                        await self.is_received(client, heartbeat, NO_MESSAGE_WAIT_S)
                    )
        self.assertEqual(self.server.counters.total(), 0, "no link was established")

    async def test_removed_key_is_refused(self):
        interval = keys.REFRESH_INTERVAL_S
        self.addCleanup(setattr, keys, "REFRESH_INTERVAL_S", interval)
        keys.REFRESH_INTERVAL_S = 0.0
        client = self.connect(self.add_security(KeyRole.PROCESS, "m1"))
        heartbeat = Heartbeat(Identity("m1", 1), 0)
        self.assertTrue(await self.is_received(client, heartbeat))
        self.folder.get_key_path(KeyRole.PROCESS, "m1", False).unlink()
        self.assertFalse(await self.is_received(client, heartbeat, NO_MESSAGE_WAIT_S))

    async def test_client_refuses_a_control_host_with_another_key(self):
        security = self.add_security(KeyRole.PROCESS, "m1")
        name = make_key_name(self.address)
        self.folder.get_key_path(KeyRole.CONTROL, name, True).unlink()
        self.folder.get_key_path(KeyRole.CONTROL, name, False).unlink()
        client = self.connect(security)
        client.send("control", Heartbeat(Identity("m1", 1), 0))
        self.assertEqual(client.counters["dropped_link_without_key"], 1)
        self.folder.add_pair(KeyRole.CONTROL, name)
        heartbeat = Heartbeat(Identity("m1", 1), 0)
        self.assertFalse(await self.is_received(client, heartbeat, NO_MESSAGE_WAIT_S))

    async def test_overwritten_key_is_refused(self):
        for name in ("REFRESH_INTERVAL_S", "SCAN_INTERVAL_S"):
            self.addCleanup(setattr, keys, name, getattr(keys, name))
            setattr(keys, name, 0.0)
        client = self.connect(self.add_security(KeyRole.PROCESS, "m1"))
        heartbeat = Heartbeat(Identity("m1", 1), 0)
        self.assertTrue(await self.is_received(client, heartbeat))
        with TemporaryDirectory() as name:
            other = KeyFolder(Path(name))
            other.add_pair(KeyRole.PROCESS, "m1")
            fresh = other.get_key_path(KeyRole.PROCESS, "m1", False).read_bytes()
        self.folder.get_key_path(KeyRole.PROCESS, "m1", False).write_bytes(fresh)
        self.assertFalse(await self.is_received(client, heartbeat, NO_MESSAGE_WAIT_S))


class KeyFolderTest(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = KeyFolder(Path(folder.name))

    def test_modes_are_checked(self):
        self.folder.add_pair(KeyRole.OPERATOR, "ann")
        self.folder.write_ring(add_ring_key(KeyRing(()), "11" * 32, 0.0))
        secret = self.folder.get_key_path(KeyRole.OPERATOR, "ann", True)
        ring = self.folder.path / RING_FILE
        reads = [
            (secret, lambda: self.folder.read_pair(KeyRole.OPERATOR, "ann")),
            (ring, self.folder.read_ring),
        ]
        for file, read in reads:
            self.assertEqual(file.stat().st_mode & 0o777, 0o600)
            for mode in (0o640, 0o604, 0o620):
                with self.subTest(file=file, mode=mode):
                    os.chmod(file, mode)
                    problem = read()
                    self.assertIsInstance(problem, KeyProblem)
                    self.assertIn(str(file), str(problem))
                    self.assertIn(f"{mode:04o}", str(problem))
            os.chmod(file, 0o600)
            self.assertNotIsInstance(read(), KeyProblem)

    def test_key_pair_is_never_overwritten(self):
        self.folder.add_pair(KeyRole.OPERATOR, "ann")
        before = self.folder.read_pair(KeyRole.OPERATOR, "ann")
        again = self.folder.add_pair(KeyRole.OPERATOR, "ann")
        self.assertIsInstance(again, KeyProblem)
        self.assertEqual(self.folder.read_pair(KeyRole.OPERATOR, "ann"), before)

    def test_invalid_ring_is_reported(self):
        good = RingKey(1, "11" * 32)
        table = [
            (KeyRing(()), "no key"),
            (KeyRing((good, good)), "twice"),
            (KeyRing((RingKey(300, "11" * 32),)), "0 to 255"),
            (KeyRing((RingKey(1, "11"),)), "32 bytes"),
            (KeyRing((RingKey(1, "zz" * 32),)), "32 bytes"),
        ]
        for ring, text in table:
            with self.subTest(text):
                self.folder.write_ring(ring)
                self.assertIn(text, str(self.folder.read_ring()))

    @given(st.binary(max_size=200))
    def test_arbitrary_content_never_raises(self, content):
        self.folder.add_pair(KeyRole.OPERATOR, "ann")
        secret = self.folder.get_key_path(KeyRole.OPERATOR, "ann", True)
        secret.write_bytes(content)
        self.assertIsInstance(
            self.folder.read_pair(KeyRole.OPERATOR, "ann"), KeyProblem
        )
        ring = self.folder.path / RING_FILE
        self.folder.write_ring(KeyRing((RingKey(1, "11" * 32),)))
        ring.write_bytes(content)
        self.assertIsInstance(self.folder.read_ring(), KeyProblem)

    def test_only_loopback_is_not_exposed(self):
        table = [
            ("127.0.0.1", False),
            ("127.9.9.9", False),
            ("::1", False),
            ("0.0.0.0", True),
            ("::", True),
            ("10.0.0.1", True),
        ]
        for host, exposed in table:
            with self.subTest(host):
                found = find_exposed([Address(host, 1)])
                self.assertEqual(bool(found), exposed)
