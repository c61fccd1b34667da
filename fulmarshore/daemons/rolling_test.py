"""Every process of a region is restarted as planned, under orders and feeds."""

import asyncio
import signal

from fulmarshore.callers.requests import Unknown
from fulmarshore.daemons.freeze_test import AGENTS, HOSTS, ORDER_CALLERS, FreezeCase
from fulmarshore.standins.orders import tally_orders

FEEDS = tuple(f"f{number}" for number in range(AGENTS))


class RollingRestartTest(FreezeCase):
    async def test_nothing_is_cut_while_each_process_is_restarted(self):
        await self.begin()
        for number in range(AGENTS):
            await self.restart_orders(number)
            await self.restart_feeds(number)
        for name, host in zip(("e0", "e1"), HOSTS, strict=True):
            await self.restart_entry(name, host)
        await self.wait_outcomes(20)
        await self.wait_answers(FEEDS)
        self.check()

    async def test_agents_that_restart_at_once_take_turns(self):
        await self.begin()
        await asyncio.gather(*(self.restart_feeds(n) for n in range(AGENTS)))
        await self.wait_answers(FEEDS)
        self.check()

    async def restart_orders(self, number):
        """Stop an agent of orders and start it again."""
        name = f"o{number}"
        place = self.places[name]
        self.assertEqual(await self.cluster.end(name, signal.SIGTERM), 0)
        await self.cluster.start_agent(name, "orders", place, "--slots", "3")
        await self.cluster.wait_settled()

    async def restart_feeds(self, number):
        """Restart an agent of feeds; its flows go on at its successor."""
        name = f"f{number}"
        upstream = self.upstreams[name]
        held = len([c for c in self.feeds if c.upstream == name])
        self.assertEqual(await self.cluster.end(name, signal.SIGHUP), 0)
        await self.cluster.start_agent(name, "feeds", upstream.address)
        await self.cluster.wait_counter(name, "flows_recovered", held)
        await self.cluster.wait_settled()

    async def restart_entry(self, name, host):
        self.assertEqual(await self.cluster.end(name, signal.SIGTERM), 0)
        await self.cluster.start_entry(name, host, "--fabric", "proxy")
        await self.cluster.wait_settled()

    def check(self):
        upstreams = [self.upstreams[f"o{number}"] for number in range(AGENTS)]
        tally = tally_orders(self.orders, upstreams)
        kept = (tally.ran_twice, tally.false_not_run, tally.wrong)
        self.assertEqual(kept, (0, 0, 0), tally)
        # What the probes were told before the service had settled does not count.
        callers = self.orders[-ORDER_CALLERS:]
        hidden = [
            outcome
            for caller in callers
            for outcome in caller.outcomes.values()
            if isinstance(outcome, Unknown)
        ]
        self.assertEqual(hidden, [], "a planned stop cuts no request")
        for caller in self.feeds:
            self.assertEqual((caller.broken, caller.refused), (0, 0))
            self.assertEqual(caller.upstream, self.held[caller])
            self.assertEqual(caller.wrong_answers, 0)
