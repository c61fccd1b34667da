"""HTTP/3 through a fabric that spreads packets, while processes and table change."""

import hashlib
import signal
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from aioquic.asyncio import connect

from fulmarshore.core.records import (
    Address,
    Profile,
    Protocol,
    Service,
    TrafficKind,
    Zone,
)
from fulmarshore.standins.cluster import ZONE, Cluster, find_address, wait_until
from fulmarshore.standins.fabric import Disturbance, FabricAddress
from fulmarshore.standins.http3 import Certificate, Http3Client, Http3Upstream
from fulmarshore.standins.streams import make_bytes

HOSTS = ("127.0.2.31", "127.0.2.32")
DOWNLOAD_BYTES = 1 << 20
DISTURBANCE = Disturbance(loss=0.01, duplication=0.05, delay=0.1, delay_s=0.005)


class Http3Test(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name))
        self.addAsyncCleanup(self.cluster.close)
        self.certificate = Certificate()
        await self.cluster.start_control()
        self.service = find_address()

    async def start_agent(self, name):
        upstream = Http3Upstream(self.certificate)
        self.addCleanup(upstream.close)
        await self.cluster.start_agent(name, "s", await upstream.open())

    async def test_feed_and_download_survive_a_killed_entry_host(self):
        for number, host in enumerate(HOSTS):
            await self.cluster.start_entry(f"entry-{number}", host, "--fabric", "proxy")
        for name in ("m0", "m1"):
            await self.start_agent(name)
        profile = Profile("feeds", TrafficKind.FEED, idle_timeout=60.0, slow_start=0.05)
        service = Service("s", "feeds", *self.service, Protocol.QUIC)
        await self.cluster.apply([profile, Zone(ZONE), service])
        await self.cluster.wait_settled()
        entries = [Address(host, self.service.port) for host in HOSTS]
        fabric = FabricAddress(self.service, entries, Random(3), DISTURBANCE)
        fabric.open()
        self.addCleanup(fabric.close)
        configuration = self.certificate.configure_client()
        async with connect(
            *self.service, configuration=configuration, create_protocol=Http3Client
        ) as client:
            feed = client.get("/feed")
            await self.wait_for_more(client, feed)
            first = client.get(f"/{DOWNLOAD_BYTES}")
            await self.cluster.end("entry-1", signal.SIGKILL)
            fabric.entries.pop()
            await self.wait_for_more(client, feed)
            await self.start_agent("m2")
            await self.cluster.apply([Zone("zone-b")])
            await self.cluster.wait_settled()
            second = client.get(f"/{DOWNLOAD_BYTES}")
            await wait_until(lambda: {first, second} <= client.complete)
            await self.wait_for_more(client, feed)
            self.assertFalse(client.is_ended)
            expected = hashlib.sha256(make_bytes(DOWNLOAD_BYTES)).digest()
            for stream in (first, second):
                actual = hashlib.sha256(client.bodies[stream]).digest()
                self.assertEqual(actual, expected)
            lines = bytes(client.bodies[feed]).decode().splitlines()[:-1]
            self.assertEqual(lines, [str(number) for number in range(len(lines))])

    async def wait_for_more(self, client, feed):
        seen = len(client.bodies[feed])
        await wait_until(lambda: len(client.bodies[feed]) > seen + 20)
