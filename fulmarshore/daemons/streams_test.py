"""TCP through real daemons: intact content, half-close, back pressure, resets."""

import asyncio
import hashlib
import signal
import socket
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

import httpx

from fulmarshore.adapters.proxy import encode_header
from fulmarshore.core.records import (
    Address,
    Profile,
    Protocol,
    Service,
    TrafficKind,
    Zone,
)
from fulmarshore.standins.cluster import (
    POLL_INTERVAL_S,
    ZONE,
    Cluster,
    find_address,
    wait_until,
)
from fulmarshore.standins.streams import FileServer, StreamUpstream, make_bytes

TIMEOUT_S = 10.0
DOWNLOAD_BYTES = 32 << 20
LONG_DOWNLOAD_BYTES = 96 << 20
"""More than the kernel buffers along the path hold."""
MAX_GROWTH_BYTES = 8 << 20
"""Most that one stream may add to the resident memory of a process."""
STEADY_POLLS = 10


class StreamCase(IsolatedAsyncioTestCase):
    has_keys = False

    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name), self.has_keys)
        self.addAsyncCleanup(self.cluster.close)
        self.service = find_address("127.0.2.21")
        await self.cluster.start_control()

    async def start(self, agents=1, connections="100", fabric="direct"):
        self.upstreams = []
        for number in range(agents):
            upstream = StreamUpstream(f"m{number}")
            self.upstreams.append(upstream)
            self.addCleanup(upstream.close)
            flags = ("--connections", connections)
            await self.cluster.start_agent(
                upstream.name, "s", await upstream.open(), *flags
            )
        await self.start_entry(fabric)

    async def start_entry(self, fabric="direct"):
        host = self.service.host
        await self.cluster.start_entry("entry-0", host, "--fabric", fabric)
        profile = Profile("p", TrafficKind.DOWNLOAD, idle_timeout=1.0, slow_start=0.05)
        service = Service("s", "p", *self.service, Protocol.TCP)
        await self.cluster.apply([profile, Zone(ZONE), service])
        await self.cluster.wait_settled()

    async def connect(self, request):
        reader, writer = await asyncio.open_connection(*self.service)
        self.addCleanup(writer.close)
        writer.write(request)
        return reader, writer

    async def open_echo_stream(self):
        """Open a stream; retry while new ones come too fast for the upstream."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    reader, writer = await self.connect(b"ECHO\nx")
                    await reader.readexactly(1)
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                return reader, writer

    async def is_reset(self, reader):
        """Wait for the end of a stream and return whether it was a reset."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await reader.read()
        except ConnectionResetError:
            return True
        return False

    async def is_refused(self):
        """Open a stream; return whether it was reset, at once or during a read."""
        try:
            reader, _ = await self.connect(b"ECHO\nx")
        except ConnectionResetError:
            return True
        return await self.is_reset(reader)


class DownloadTest(StreamCase):
    async def test_http_download_is_whole(self):
        server = FileServer()
        self.addCleanup(server.close)
        await self.cluster.start_agent("m0", "s", server.open())
        await self.start_entry()
        url = f"http://{self.service.host}:{self.service.port}/{DOWNLOAD_BYTES}"
        async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
            reply = await client.get(url)
            again = await client.get(url.replace(str(DOWNLOAD_BYTES), "10"))
        found = hashlib.sha256(reply.content).digest()
        self.assertEqual(found, hashlib.sha256(make_bytes(DOWNLOAD_BYTES)).digest())
        self.assertEqual(again.content, make_bytes(10))

    async def test_half_close_is_passed_on(self):
        await self.start()
        body = make_bytes(3 << 20)
        reader, writer = await self.connect(b"SUM\n" + body)
        writer.write_eof()
        async with asyncio.timeout(TIMEOUT_S):
            found = await reader.read()
        self.assertEqual(found.decode(), hashlib.sha256(body).hexdigest())

    async def test_slow_reader_stops_the_upstream(self):
        await self.start()
        names = ("entry-0", "m0")
        before = [self.cluster.processes.read_resident(name) for name in names]
        reader, writer = await self.connect(f"SEND {LONG_DOWNLOAD_BYTES}\n".encode())
        writer.transport.pause_reading()
        seen = []

        def is_steady():
            seen.append(self.upstreams[0].sent)
            last = set(seen[-STEADY_POLLS:])
            return len(seen) >= STEADY_POLLS and len(last) == 1 and seen[-1]

        await wait_until(is_steady)
        self.assertLess(self.upstreams[0].sent, LONG_DOWNLOAD_BYTES)
        for name, resident in zip(names, before):
            growth = self.cluster.processes.read_resident(name) - resident
            self.assertLess(growth, MAX_GROWTH_BYTES, name)
        writer.transport.resume_reading()
        digest = hashlib.sha256()
        async with asyncio.timeout(TIMEOUT_S):
            while chunk := await reader.read(1 << 20):
                digest.update(chunk)
        whole = hashlib.sha256(make_bytes(65_536) * (LONG_DOWNLOAD_BYTES // 65_536))
        self.assertEqual(digest.digest(), whole.digest())

    async def test_caller_behind_a_proxy_header(self):
        await self.start(fabric="proxy")
        table = [
            (encode_header(Address("10.1.1.1", 5), self.service, 1), b"m0"),
            (b"GET / HTTP/1.1\r\n\r\n" + bytes(600), None),
        ]
        for header, answer in table:
            with self.subTest(header=header[:4]):
                reader, _ = await self.connect(header + b"NAME\n")
                if answer is None:
                    self.assertTrue(await self.is_reset(reader))
                    continue
                self.assertEqual(await reader.read(), answer)


class SealedDownloadTest(DownloadTest):
    has_keys = True


class StreamEndTest(StreamCase):
    async def test_limit_counts_streams_and_a_full_upstream_resets(self):
        await self.start(agents=2, connections="2")
        streams = [await self.open_echo_stream() for _ in range(4)]
        self.assertEqual([u.connections for u in self.upstreams], [2, 2])
        self.assertTrue(await self.is_refused())
        streams[0][1].close()
        kind = "flows_ended_ended"
        ended = [self.cluster.wait_counter(name, kind, 1) for name in ("m0", "m1")]
        tasks = [asyncio.create_task(wait) for wait in ended]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await self.open_echo_stream()

    async def test_every_loss_resets_the_stream_at_once(self):
        await self.start(agents=3)
        streams = {}
        while len(streams) < 3:
            reader, _ = await self.open_echo_stream()
            counts = [u.connections for u in self.upstreams]
            for upstream in self.upstreams:
                if upstream.connections and upstream.name not in streams:
                    streams[upstream.name] = reader
            self.assertLess(sum(counts), 60)
        self.upstreams[0].close()
        self.assertTrue(await self.is_reset(streams["m0"]))
        await self.cluster.end("m1", signal.SIGKILL)
        self.assertTrue(await self.is_reset(streams["m1"]))
        await self.cluster.apply([Zone(ZONE, True)])
        self.assertTrue(await self.is_reset(streams["m2"]))

    async def test_planned_stops_break_no_stream(self):
        await self.start()
        reader, writer = await self.connect(b"ECHO\nx")
        await reader.readexactly(1)
        stops = [
            asyncio.create_task(self.cluster.end(name, signal.SIGTERM))
            for name in ("entry-0", "m0")
        ]
        await wait_until(lambda: not self.is_listening())
        for number in range(5):
            async with asyncio.timeout(TIMEOUT_S):
                writer.write(b"%d" % number)
                self.assertEqual(await reader.readexactly(1), b"%d" % number)
        self.assertFalse(any(stop.done() for stop in stops))
        writer.write_eof()
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(await asyncio.gather(*stops), [0, 0])

    def is_listening(self):
        with socket.socket() as probe:
            return probe.connect_ex(self.service) == 0
