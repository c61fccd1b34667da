"""Real daemons that are suspended or lose messages one way, and recover."""

import asyncio
import signal
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from fulmarshore.core.records import (
    Address,
    Profile,
    Protocol,
    Service,
    TrafficKind,
    Zone,
)
from fulmarshore.standins.caller import FlowCaller
from fulmarshore.standins.cluster import (
    ZONE,
    Cluster,
    find_address,
    format_address,
    wait_until,
)
from fulmarshore.standins.fabric import FabricAddress
from fulmarshore.standins.orders import OrderCaller, tally_orders
from fulmarshore.standins.relay import DatagramRelay, StreamRelay
from fulmarshore.standins.requestupstream import RequestUpstream
from fulmarshore.standins.upstream import EchoUpstream

HOSTS = ("127.0.2.31", "127.0.2.32")
AGENTS = 3
ORDER_CALLERS = 6
FEED_CALLERS = 9
SERVICE_S = 0.02
END_S = 600.0
ANSWER_TIMEOUT_S = 0.2
ATTEMPTS = 40
PROBE_ORDERS = 30
MAX_PROBES = 60


class FaultCase(IsolatedAsyncioTestCase):
    """Runs two entry hosts, three agents of orders and three of feeds."""

    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name))
        self.random = Random(9)
        self.upstreams = {}
        self.relays = {}
        self.relay_addresses = {}
        self.runs = []
        self.orders = []
        self.feeds = []
        self.addAsyncCleanup(self.close)
        await self.cluster.start_control()
        self.control_relay = StreamRelay(self.cluster.controls[0])
        self.relay_flags = (
            "--control",
            format_address(await self.control_relay.open()),
        )
        self.addAsyncCleanup(self.control_relay.close)
        await self.cluster.start_entry("e0", HOSTS[0], "--fabric", "proxy")
        await self.start_second_entry()
        for number in range(AGENTS):
            await self.start_agents(number)
        self.services = {"orders": find_address(), "feeds": find_address()}
        await self.cluster.apply(
            [
                Profile("o", TrafficKind.NON_IDEMPOTENT, slow_start=1.0),
                Profile("f", TrafficKind.FEED, idle_timeout=60.0, slow_start=0.1),
                Zone(ZONE),
                Service("orders", "o", *self.services["orders"], Protocol.REQUEST),
                Service("feeds", "f", *self.services["feeds"]),
            ]
        )
        await self.cluster.wait_settled()
        for address in self.services.values():
            entries = [Address(host, address.port) for host in HOSTS]
            fabric = FabricAddress(address, entries, self.random)
            fabric.open()
            self.addCleanup(fabric.close)
        await self.wait_admitted()
        await self.start_callers()

    async def start_second_entry(self):
        flags = ("--fabric", "proxy", *self.relay_flags)
        await self.cluster.start_entry("e1", HOSTS[1], *flags)

    async def start_agents(self, number):
        """Start an agent of orders behind a relay, and one of feeds."""
        name = f"o{number}"
        self.upstreams[name] = RequestUpstream(name, SERVICE_S)
        self.relays[name] = DatagramRelay(self.upstreams[name].open())
        relay_address = self.relay_addresses[name] = self.relays[name].open()
        relay_flags = self.relay_flags if number == 0 else ()
        await self.cluster.start_agent(
            name, "orders", relay_address, "--slots", "3", *relay_flags
        )
        name = f"f{number}"
        self.upstreams[name] = EchoUpstream(name, "feeds")
        await self.cluster.start_agent(name, "feeds", self.upstreams[name].open())

    def make_order_caller(self, name):
        caller = OrderCaller("orders", name, self.services["orders"], 0.05, self.random)
        self.orders.append(caller)
        return caller

    async def wait_admitted(self):
        """Send orders until every home agent admits them."""
        probe = self.make_order_caller(f"probe-{len(self.orders)}")
        for _ in range(MAX_PROBES):
            if await probe.count_answered(PROBE_ORDERS) == PROBE_ORDERS:
                return
            await asyncio.sleep(0.25)
        self.fail("not every home came to admit orders")

    async def start_callers(self):
        for number in range(ORDER_CALLERS):
            self.make_order_caller(f"c{number}")
        address = self.services["feeds"]
        for _ in range(FEED_CALLERS):
            caller = FlowCaller("feeds", address, 0.05, ANSWER_TIMEOUT_S, ATTEMPTS)
            self.feeds.append(caller)
        self.until = asyncio.get_running_loop().time() + END_S
        running = [*self.orders[-ORDER_CALLERS:], *self.feeds]
        self.runs = [asyncio.create_task(caller.run(self.until)) for caller in running]
        await wait_until(lambda: all(caller.answers >= 3 for caller in self.feeds))

    async def close(self):
        for run in self.runs:
            run.cancel()
        await asyncio.gather(*self.runs, return_exceptions=True)
        await self.cluster.close()
        for closable in (*self.orders, *self.feeds, *self.relays.values()):
            closable.close()
        for upstream in self.upstreams.values():
            upstream.close()

    def count_outcomes(self):
        return sum(len(caller.outcomes) for caller in self.orders)

    async def wait_outcomes(self, more):
        """Wait until callers have received `more` further outcomes."""
        least = self.count_outcomes() + more
        await wait_until(lambda: self.count_outcomes() >= least)

    async def wait_answers(self, names, more=3):
        """Wait until every feed at the named upstreams has received `more` answers."""
        callers = [c for c in self.feeds if self.upstream_of[c] in names]
        before = [caller.answers for caller in callers]
        await wait_until(
            lambda: all(c.answers >= n + more for c, n in zip(callers, before))
        )

    async def record_baseline(self):
        """Record the upstream and errors of every feed before a fault."""
        await wait_until(lambda: all(caller.upstream for caller in self.feeds))
        self.upstream_of = {caller: caller.upstream for caller in self.feeds}
        self.broken = {c: c.broken + c.refused for c in self.feeds}
        self.ran = {
            name: upstream.ran.total()
            for name, upstream in self.upstreams.items()
            if type(upstream) is RequestUpstream
        }

    async def check_recovery(self, unaffected):
        """Wait until all orders are admitted again, and check all outcomes.

        Parameters
        ----------
        unaffected : tuple of str
            Upstreams whose feeds the fault must not affect.
        """
        await self.cluster.wait_settled()
        await self.wait_admitted()
        await self.wait_answers(unaffected)
        upstreams = [u for u in self.upstreams.values() if type(u) is RequestUpstream]
        tally = tally_orders(self.orders, upstreams)
        violations = (tally.ran_twice, tally.false_not_run, tally.wrong)
        self.assertEqual(violations, (0, 0, 0), tally)
        for caller in self.feeds:
            self.assertEqual(caller.wrong_answers, 0)
            if self.upstream_of[caller] in unaffected:
                broken = caller.broken + caller.refused
                self.assertEqual(broken, self.broken[caller])
        # Slots whose answers were lost stay busy until the deadline of their orders.
        for name, upstream in zip(self.ran, upstreams, strict=True):
            ran = self.ran[name]
            await wait_until(lambda u=upstream, n=ran: u.ran.total() > n)
        return tally

    def signal(self, names, number):
        for name in names:
            self.cluster.processes.signal(name, number)


class FrozenTest(FaultCase):
    async def test_frozen_processes_come_back(self):
        table = [
            ("agents, for less than a lease", ("o1", "f1"), False, ("f0", "f2")),
            ("agents, taken for dead", ("o1", "f1"), True, ("f0", "f2")),
            ("entry host, taken for dead", ("e1",), True, ("f0", "f1", "f2")),
        ]
        for title, names, is_evicted, unaffected in table:
            with self.subTest(title):
                await self.record_baseline()
                self.signal(names, signal.SIGSTOP)
                for name in names if is_evicted else ():
                    await self.cluster.wait_gone(name)
                await self.wait_outcomes(20)
                await self.wait_answers(unaffected)
                self.signal(names, signal.SIGCONT)
                await self.check_recovery(unaffected)
        forwarded = (await self.cluster.read_counters("e1"))["forwarded"]
        await self.cluster.wait_counter("e1", "forwarded", forwarded + 1)


class OneWayLossTest(FaultCase):
    async def test_paths_lose_messages_one_way(self):
        table = [
            ("answers of an upstream are lost", self.lose_answers),
            ("heartbeats of o0 and e1 are lost", self.lose_heartbeats),
            ("control messages to both are lost", self.lose_control_messages),
        ]
        for title, inject_fault in table:
            with self.subTest(title):
                await self.record_baseline()
                await inject_fault()
                await self.check_recovery(("f0", "f1", "f2"))

    async def lose_answers(self):
        path = self.relays["o1"].path
        path.back = False
        await wait_until(lambda: path.lost >= 3)
        await self.wait_outcomes(20)
        path.back = True

    async def lose_heartbeats(self):
        self.control_relay.path.forth = False
        for name in ("o0", "e1"):
            await self.cluster.wait_gone(name)
        await self.wait_outcomes(20)
        await self.wait_answers(("f0", "f1", "f2"))
        self.control_relay.path.forth = True

    async def lose_control_messages(self):
        lost = self.control_relay.path.lost
        counters = await self.cluster.read_counters("e1")
        moves = counters.get("control_moves", 0)
        self.control_relay.path.back = False
        await wait_until(lambda: self.control_relay.path.lost > lost)
        await self.cluster.wait_counter("e1", "control_moves", moves + 1)
        await self.cluster.apply([Profile("unused", TrafficKind.FEED)])
        await self.wait_outcomes(20)
        await self.wait_answers(("f0", "f1", "f2"))
        self.control_relay.path.back = True
