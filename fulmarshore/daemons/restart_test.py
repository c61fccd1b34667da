"""Planned restart of an agent process: SIGHUP, and a successor."""

import asyncio
import signal

from fulmarshore.daemons.path_test import CALLERS, ProcessCase, wait_until


class RestartTest(ProcessCase):
    async def test_flows_survive_with_the_same_ports_towards_the_upstream(self):
        await self.cluster.start_entry("entry-0", "127.0.2.7", "--fabric", "proxy")
        for name in ("m0", "m1", "m2"):
            await self.start_agent(name, "s")
        await self.declare("s")
        self.open_fabric("s", ["127.0.2.7"])
        callers = [self.make_caller("s") for _ in range(CALLERS)]
        loop = asyncio.get_running_loop()
        runs = [asyncio.create_task(c.run(loop.time() + 60)) for c in callers]
        await wait_until(lambda: all(c.answers >= 2 for c in callers))
        owners = [caller.upstream for caller in callers]
        ports = set(self.upstreams["m0"].callers)
        self.assertGreater(len(ports), 0)
        self.assertEqual(await self.cluster.end("m0", signal.SIGHUP), 0)
        upstream = self.upstreams["m0"].address
        await self.cluster.start_agent("m0", "s", upstream)
        await self.cluster.wait_counter("m0", "flows_recovered", len(ports))
        before = [caller.answers for caller in callers]
        await wait_until(
            lambda: all(c.answers >= n + 3 for c, n in zip(callers, before))
        )
        for caller, run in zip(callers, runs):
            self.assertEqual((caller.broken, caller.refused), (0, 0))
            run.cancel()
            caller.close()
        self.assertEqual([caller.upstream for caller in callers], owners)
        self.assertEqual(self.upstreams["m0"].callers, ports)
