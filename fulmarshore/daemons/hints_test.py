"""Real daemons on loopback: health endpoints that drain or report wrongly."""

import asyncio

from fulmarshore.core.records import MemberState
from fulmarshore.daemons.path_test import ProcessCase
from fulmarshore.standins.cluster import find_member
from fulmarshore.standins.endpoint import StandInEndpoint

NAMES = ("m0", "m1", "m2")


class EndpointsTest(ProcessCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.endpoints = {}
        await self.cluster.start_entry("entry-0", "127.0.2.21", "--fabric", "proxy")
        for name in NAMES:
            health, load = StandInEndpoint(), StandInEndpoint(body=b"0.5")
            for endpoint in (health, load):
                await endpoint.open()
                self.addCleanup(endpoint.close)
            self.endpoints[name] = health
            flags = ("--health", health.url, "--load", load.url)
            await self.start_agent(name, "s", *flags)
        await self.declare("s")
        self.open_fabric("s", ["127.0.2.21"])

    async def open_callers(self):
        callers = self.run_callers("s")
        await self.wait_answers(callers, 2)
        return callers

    async def wait_state(self, name, state):
        for _ in range(40):
            status = await self.cluster.wait_settled()
            if find_member(status, name).state == state:
                return
            await asyncio.sleep(0.5)
        self.fail(f"{name} is not {state}")

    async def test_a_draining_upstream_keeps_its_flows_and_gets_no_new_ones(self):
        before = await self.open_callers()
        owners = [caller.upstream for caller in before]
        self.assertIn("m0", owners)
        self.endpoints["m0"].body = b"draining"
        await self.wait_state("m0", MemberState.DRAINING)
        later = await self.open_callers()
        self.assertNotIn("m0", {caller.upstream for caller in later})
        await self.wait_answers(before)
        self.assertEqual([caller.upstream for caller in before], owners)
        self.assertEqual(sum(caller.broken for caller in before + later), 0)
        self.endpoints["m0"].body = b"ok"
        await self.wait_state("m0", MemberState.ACCEPTING)
        after = await self.open_callers()
        self.assertIn("m0", {caller.upstream for caller in after})

    async def test_misleading_endpoints_do_not_stop_a_service(self):
        table = [("all unhealthy", 503, b"no"), ("all draining", 200, b"draining")]
        for title, status, body in table:
            with self.subTest(title):
                for endpoint in self.endpoints.values():
                    endpoint.status, endpoint.body = status, body
                for name in NAMES:
                    known = await self.cluster.read_counters(name)
                    polls = known.get("hint_polls_answered", 0.0)
                    await self.cluster.wait_counter(
                        name, "hint_polls_answered", polls + 8
                    )
                callers = await self.open_callers()
                self.assertEqual(sum(c.refused + c.broken for c in callers), 0)
        status = await self.cluster.wait_settled()
        states = [find_member(status, name).state for name in NAMES]
        self.assertEqual(states.count(MemberState.ACCEPTING), 2)
