"""Real daemons that stand still, or whose paths go silent, and come back."""

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
ADMITTED = 30
ADMIT_TRIES = 60


class FreezeCase(IsolatedAsyncioTestCase):
    """Two entry hosts, three agents of orders and three of feeds."""

    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name))
        self.random = Random(9)
        self.upstreams = {}
        self.relays = {}
        self.places = {}
        self.runs = []
        self.orders = []
        self.feeds = []
        self.addAsyncCleanup(self.close)
        await self.cluster.start_control()
        self.links = StreamRelay(self.cluster.controls[0])
        self.through = ("--control", format_address(await self.links.open()))
        self.addAsyncCleanup(self.links.close)
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
        more = ("--fabric", "proxy", *self.through)
        await self.cluster.start_entry("e1", HOSTS[1], *more)

    async def start_agents(self, number):
        """Start an agent of orders behind a relay, and one of feeds."""
        name = f"o{number}"
        self.upstreams[name] = RequestUpstream(name, SERVICE_S)
        self.relays[name] = DatagramRelay(self.upstreams[name].open())
        place = self.places[name] = self.relays[name].open()
        through = self.through if number == 0 else ()
        await self.cluster.start_agent(name, "orders", place, "--slots", "3", *through)
        name = f"f{number}"
        self.upstreams[name] = EchoUpstream(name, "feeds")
        await self.cluster.start_agent(name, "feeds", self.upstreams[name].open())

    def make_orderer(self, name):
        caller = OrderCaller("orders", name, self.services["orders"], 0.05, self.random)
        self.orders.append(caller)
        return caller

    async def wait_admitted(self):
        """Give orders until every home runs them."""
        probe = self.make_orderer(f"probe-{len(self.orders)}")
        for _ in range(ADMIT_TRIES):
            if await probe.count_answered(ADMITTED) == ADMITTED:
                return
            await asyncio.sleep(0.25)
        self.fail("not every home came to admit orders")

    async def start_callers(self):
        for number in range(ORDER_CALLERS):
            self.make_orderer(f"c{number}")
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
        for held in (*self.orders, *self.feeds, *self.relays.values()):
            held.close()
        for upstream in self.upstreams.values():
            upstream.close()

    def count_outcomes(self):
        return sum(len(caller.outcomes) for caller in self.orders)

    async def wait_outcomes(self, more):
        """Wait until callers have heard so many outcomes more."""
        least = self.count_outcomes() + more
        await wait_until(lambda: self.count_outcomes() >= least)

    async def wait_answers(self, names, more=3):
        """Wait until every feed at some upstreams has had more answers."""
        callers = [c for c in self.feeds if self.held[c] in names]
        before = [caller.answers for caller in callers]
        await wait_until(
            lambda: all(c.answers >= n + more for c, n in zip(callers, before))
        )

    async def begin(self):
        """Note where every feed is held before the next fault."""
        await wait_until(lambda: all(caller.upstream for caller in self.feeds))
        self.held = {caller: caller.upstream for caller in self.feeds}
        self.broken = {c: c.broken + c.refused for c in self.feeds}
        self.ran = {
            name: upstream.ran.total()
            for name, upstream in self.upstreams.items()
            if type(upstream) is RequestUpstream
        }

    async def finish(self, untouched):
        """Wait until all orders are admitted again, and hold what was heard.

        Parameters
        ----------
        untouched : tuple of str
            Upstreams whose feeds the fault must not have touched.
        """
        await self.cluster.wait_settled()
        await self.wait_admitted()
        await self.wait_answers(untouched)
        upstreams = [u for u in self.upstreams.values() if type(u) is RequestUpstream]
        tally = tally_orders(self.orders, upstreams)
        kept = (tally.ran_twice, tally.false_not_run, tally.wrong)
        self.assertEqual(kept, (0, 0, 0), tally)
        for caller in self.feeds:
            self.assertEqual(caller.wrong_answers, 0)
            if self.held[caller] in untouched:
                broken = caller.broken + caller.refused
                self.assertEqual(broken, self.broken[caller])
        # Slots whose answers were lost are taken until the deadline of their orders.
        for name, upstream in zip(self.ran, upstreams, strict=True):
            ran = self.ran[name]
            await wait_until(lambda u=upstream, n=ran: u.ran.total() > n)
        return tally

    def signal(self, names, number):
        for name in names:
            self.cluster.processes.signal(name, number)


class FrozenTest(FreezeCase):
    async def test_frozen_processes_come_back(self):
        table = [
            ("agents, for less than a lease", ("o1", "f1"), False, ("f0", "f2")),
            ("agents, taken for dead", ("o1", "f1"), True, ("f0", "f2")),
            ("entry host, taken for dead", ("e1",), True, ("f0", "f1", "f2")),
        ]
        for title, names, is_missed, untouched in table:
            with self.subTest(title):
                await self.begin()
                self.signal(names, signal.SIGSTOP)
                for name in names if is_missed else ():
                    await self.cluster.wait_gone(name)
                await self.wait_outcomes(20)
                await self.wait_answers(untouched)
                self.signal(names, signal.SIGCONT)
                await self.finish(untouched)
        forwarded = (await self.cluster.read_counters("e1"))["forwarded"]
        await self.cluster.wait_counter("e1", "forwarded", forwarded + 1)


class SilentPathTest(FreezeCase):
    async def test_paths_go_silent_one_way(self):
        table = [
            ("answers of an upstream are lost", self.lose_answers),
            ("agent o0 and entry host e1 are not heard of", self.lose_heartbeats),
            ("both hear nothing of control", self.lose_words),
        ]
        for title, fail in table:
            with self.subTest(title):
                await self.begin()
                await fail()
                await self.finish(("f0", "f1", "f2"))

    async def lose_answers(self):
        path = self.relays["o1"].path
        path.back = False
        await wait_until(lambda: path.lost >= 3)
        await self.wait_outcomes(20)
        path.back = True

    async def lose_heartbeats(self):
        self.links.path.forth = False
        for name in ("o0", "e1"):
            await self.cluster.wait_gone(name)
        await self.wait_outcomes(20)
        await self.wait_answers(("f0", "f1", "f2"))
        self.links.path.forth = True

    async def lose_words(self):
        lost = self.links.path.lost
        counters = await self.cluster.read_counters("e1")
        moves = counters.get("control_moves", 0)
        self.links.path.back = False
        await wait_until(lambda: self.links.path.lost > lost)
        await self.cluster.wait_counter("e1", "control_moves", moves + 1)
        await self.cluster.apply([Profile("unused", TrafficKind.FEED)])
        await self.wait_outcomes(20)
        await self.wait_answers(("f0", "f1", "f2"))
        self.links.path.back = True
