"""Real daemons on loopback: requests sent with the caller library."""

import asyncio
import signal
from collections import Counter
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from fulmarshore.callers.client import RequestClient
from fulmarshore.callers.requests import Answered, NotRun, Unknown
from fulmarshore.core.records import Profile, Protocol, Service, TrafficKind, Zone
from fulmarshore.standins.cluster import ZONE, Cluster, find_address
from fulmarshore.standins.requestupstream import RequestUpstream

HOST = "127.0.4.1"
SERVICE_S = 0.05
ORDERS_OVER_ALL_HOMES = 30
SETTLE_TRIES = 40


class RequestsTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name))
        self.addAsyncCleanup(self.cluster.close)
        self.upstreams = {}
        await self.cluster.start_control()
        await self.cluster.start_entry("entry", HOST)
        for number in range(3):
            name = f"m{number}"
            self.upstreams[name] = RequestUpstream(name, SERVICE_S)
            self.addCleanup(self.upstreams[name].close)
            await self.start_agent(name, self.upstreams[name].open())
        address = find_address(HOST)
        profile = Profile("orders", TrafficKind.NON_IDEMPOTENT, slow_start=1.0)
        service = Service("s", "orders", *address, Protocol.REQUEST)
        await self.cluster.apply([profile, Zone(ZONE), service])
        await self.cluster.wait_settled()
        self.client = RequestClient("s", "counter-1", address, Random(1))
        self.addCleanup(self.client.close)

    async def start_agent(self, name, upstream):
        self.addresses = getattr(self, "addresses", {})
        self.addresses[name] = upstream
        await self.cluster.start_agent(name, "s", upstream, "--slots", "3")

    def count_executions(self):
        ran = Counter()
        for upstream in self.upstreams.values():
            ran.update(upstream.ran)
        return ran

    async def send_orders(self, count, timeout=8.0):
        """Send orders concurrently and return their outcomes."""
        requests = [
            self.client.send_request(b"%d" % number, timeout, False)
            for number in range(count)
        ]
        return await asyncio.gather(*requests)

    async def wait_admitted(self):
        """Wait until every home agent of a new service admits non-idempotent work."""
        for _ in range(SETTLE_TRIES):
            outcomes = await self.send_orders(ORDERS_OVER_ALL_HOMES)
            if all(isinstance(outcome, Answered) for outcome in outcomes):
                return
            await asyncio.sleep(0.25)
        self.fail(f"not all orders answered: {outcomes}")

    async def test_orders_run_once_over_a_restart_and_a_kill(self):
        outcome = await self.client.send_request(b"check", 5.0, True)
        self.assertIsInstance(outcome, Answered, "idempotent work runs at once")
        await self.wait_admitted()
        outcomes = await self.send_orders(30)
        answers = [o for o in outcomes if isinstance(o, Answered)]
        self.assertEqual(len(answers), 30, outcomes)
        for number, answer in enumerate(answers):
            self.assertEqual(answer.body.split(b"|")[1], b"%d" % number)
        pending = asyncio.create_task(self.send_orders(30))
        await asyncio.sleep(SERVICE_S / 2)
        await self.cluster.end("m0", signal.SIGTERM)
        stopped = await pending
        lost = [o for o in stopped if not isinstance(o, Answered)]
        self.assertEqual(lost, [], "a planned stop fails no request")
        pending = asyncio.create_task(self.send_orders(30, timeout=4.0))
        await asyncio.sleep(SERVICE_S / 2)
        await self.cluster.end("m1", signal.SIGKILL)
        killed = await pending
        ran = self.count_executions()
        self.assertEqual({n for n in ran.values()}, {1}, "at most once")
        for outcome in killed:
            if isinstance(outcome, NotRun):
                self.assertEqual(ran["counter-1", outcome.number], 0)
            self.assertIsInstance(outcome, Answered | NotRun | Unknown)
        self.assertIn(Answered, {type(outcome) for outcome in killed})
