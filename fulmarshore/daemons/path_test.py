"""Real daemons on loopback: flows through a fabric that spreads packets, faults."""

import asyncio
import signal
import socket
from collections import Counter
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from fulmarshore.core.codec import encode
from fulmarshore.core.records import (
    Address,
    Forward,
    Profile,
    Service,
    TrafficKind,
    Zone,
)
from fulmarshore.standins.caller import FlowCaller
from fulmarshore.standins.cluster import (
    ZONE,
    Cluster,
    find_address,
    find_member,
    wait_until,
)
from fulmarshore.standins.fabric import Disturbance, FabricAddress
from fulmarshore.standins.upstream import EchoUpstream

IDLE_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 0.2
ATTEMPTS = 20
CALLERS = 12
DISTURBANCE = Disturbance(loss=0.05, duplication=0.2, delay=0.2)


class ProcessCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(Path(folder.name))
        self.upstreams = {}
        self.services = {}
        self.addAsyncCleanup(self.close)
        await self.cluster.start_control()

    async def close(self):
        await self.cluster.close()
        for upstream in self.upstreams.values():
            upstream.close()

    async def start_agent(self, name, service, *flags):
        self.upstreams[name] = EchoUpstream(name, service)
        await self.cluster.start_agent(
            name, service, self.upstreams[name].open(), *flags
        )

    async def declare(self, *services):
        self.services = {name: find_address() for name in services}
        profile = Profile("feeds", TrafficKind.FEED, idle_timeout=IDLE_TIMEOUT_S)
        items = [Service(name, "feeds", *at) for name, at in self.services.items()]
        await self.cluster.apply([profile, Zone(ZONE), *items])
        return await self.cluster.wait_settled()

    def make_caller(self, service):
        address = self.services[service]
        return FlowCaller(service, address, 0.02, ANSWER_TIMEOUT_S, ATTEMPTS)

    def run_callers(self, service):
        """Start callers that send until the end of the test."""
        callers = [self.make_caller(service) for _ in range(CALLERS)]
        loop = asyncio.get_running_loop()
        for caller in callers:
            run = asyncio.create_task(caller.run(loop.time() + 120))
            self.addCleanup(caller.close)
            self.addCleanup(run.cancel)
        return callers

    async def wait_answers(self, callers, count=3):
        before = [caller.answers for caller in callers]
        await wait_until(
            lambda: all(c.answers >= n + count for c, n in zip(callers, before))
        )

    def open_fabric(self, service, hosts, disturbance=None):
        address = self.services[service]
        entries = [Address(host, address.port) for host in hosts]
        fabric = FabricAddress(address, entries, Random(5), disturbance)
        fabric.open()
        self.addCleanup(fabric.close)
        return fabric


class FabricTest(ProcessCase):
    async def test_flows_survive_a_lossy_fabric_and_a_killed_entry_host(self):
        hosts = ["127.0.2.1", "127.0.2.2"]
        for number, host in enumerate(hosts):
            await self.cluster.start_entry(f"entry-{number}", host, "--fabric", "proxy")
        for number in range(3):
            await self.start_agent(f"m{number}", "s")
        await self.declare("s")
        fabric = self.open_fabric("s", hosts, DISTURBANCE)
        callers = [self.make_caller("s") for _ in range(CALLERS)]
        loop = asyncio.get_running_loop()
        runs = [asyncio.create_task(c.run(loop.time() + 60)) for c in callers]
        await wait_until(lambda: all(c.answers >= 3 for c in callers))
        await self.cluster.end("entry-1", signal.SIGKILL)
        fabric.entries.pop()
        before = [caller.answers for caller in callers]
        await wait_until(
            lambda: all(c.answers >= n + 3 for c, n in zip(callers, before))
        )
        for caller, run in zip(callers, runs):
            self.assertEqual((caller.broken, caller.wrong_answers), (0, 0))
            self.assertEqual(caller.opened, 1)
            run.cancel()
            caller.close()
        flows_by_upstream = Counter(caller.upstream for caller in callers)
        self.assertEqual(sum(flows_by_upstream.values()), CALLERS)


class StopTest(ProcessCase):
    async def test_planned_stop_breaks_no_flow_and_exits_with_0(self):
        hosts = ["127.0.2.3", "127.0.2.4"]
        for number, host in enumerate(hosts):
            await self.cluster.start_entry(f"entry-{number}", host, "--fabric", "proxy")
        await self.start_agent("m0", "s")
        await self.start_agent("m1", "s")
        await self.declare("s")
        fabric = self.open_fabric("s", hosts)
        callers = [self.make_caller("s") for _ in range(CALLERS)]
        loop = asyncio.get_running_loop()
        runs = [asyncio.create_task(c.run(loop.time() + 60)) for c in callers]
        await wait_until(lambda: all(c.answers for c in callers))
        kept_callers = [c for c in callers if c.upstream == "m0"]
        stop = asyncio.create_task(self.cluster.end("m0", signal.SIGTERM))
        fabric.entries.pop()
        self.assertEqual(await self.cluster.end("entry-1", signal.SIGTERM), 0)
        before = [caller.answers for caller in callers]
        await wait_until(
            lambda: all(c.answers >= n + 3 for c, n in zip(callers, before))
        )
        self.assertFalse(stop.done(), "the agent stops only after its flows have ended")
        for caller, run in zip(callers, runs):
            self.assertEqual((caller.broken, caller.refused), (0, 0))
            if caller in kept_callers:
                run.cancel()
                caller.close()
        self.assertEqual(await stop, 0)
        for name in ("m1", "entry-0"):
            for run, caller in zip(runs, callers):
                run.cancel()
                caller.close()
            self.assertEqual(await self.cluster.end(name, signal.SIGTERM), 0)
        self.assertEqual(await self.cluster.end("control", signal.SIGTERM), 0)


class AddressReuseTest(ProcessCase):
    async def test_address_reused_by_another_service(self):
        await self.cluster.start_entry("entry-0", "127.0.2.5", "--fabric", "proxy")
        await self.start_agent("m0", "s")
        status = await self.declare("s", "other")
        data = find_member(status, "m0")
        self.open_fabric("s", ["127.0.2.5"])
        caller = self.make_caller("s")
        loop = asyncio.get_running_loop()
        run = asyncio.create_task(caller.run(loop.time() + 60))
        await wait_until(lambda: caller.answers >= 1)
        # Control is suspended, so that the entry host keeps its old table.
        self.cluster.processes.signal("control", signal.SIGSTOP)
        await self.cluster.end("m0", signal.SIGKILL)
        sent = self.upstreams["m0"].packets
        await self.start_agent("m9", "other", "--data", f"127.0.0.1:{data.port}")
        await self.cluster.wait_counter("m9", "dropped_wrong_service", 1)
        self.cluster.processes.signal("control", signal.SIGCONT)
        run.cancel()
        caller.close()
        status = await self.cluster.wait_settled()
        await self.send_misaddressed(find_member(status, "m9"), data.incarnation)
        self.assertEqual(self.upstreams["m9"].packets, 1)
        self.assertEqual(self.upstreams["m0"].packets, sent)
        self.assertEqual(caller.wrong_answers, 0)

    async def send_misaddressed(self, agent, old):
        """Send packets for other targets, then one with the right target."""
        table = [
            ("s", "m9", agent.incarnation, "dropped_wrong_service"),
            ("other", "m0", agent.incarnation, "dropped_wrong_incarnation"),
            ("other", "m9", old, "dropped_wrong_incarnation"),
            ("other", "m9", agent.incarnation, "flows_opened"),
        ]
        address = Address(agent.host, agent.port)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number, (service, target, incarnation, counter) in enumerate(table):
                found = await self.cluster.read_counters("m9")
                flow = bytes([number]) * 16
                head = (service, target, incarnation, 1, flow, 0, "127.0.0.1", 9)
                packet = Forward(*head, "entry-0", 0, 0, b"other|1")
                sock.sendto(encode(packet), address)
                least = found.get(counter, 0) + 1
                with self.subTest(service=service, target=target):
                    await self.cluster.wait_counter("m9", counter, least)


class DirectFabricTest(ProcessCase):
    async def test_services_on_one_port_of_several_hosts_and_ipv6(self):
        await self.cluster.start_entry("entry-0", None, "--data", "[::1]:0")
        hosts = {"s": "127.0.2.7", "t": "127.0.2.8", "v": "::1"}
        for service in hosts:
            await self.start_agent(f"m-{service}", service, "--data", "[::1]:0")
        port = find_address().port
        await self.declare()
        self.services = {name: Address(host, port) for name, host in hosts.items()}
        items = [Service(name, "feeds", *at) for name, at in self.services.items()]
        await self.cluster.apply(items)
        await self.cluster.wait_settled()
        callers = [self.make_caller(service) for service in hosts]
        loop = asyncio.get_running_loop()
        runs = [asyncio.create_task(c.run(loop.time() + 60)) for c in callers]
        await wait_until(lambda: all(caller.answers >= 3 for caller in callers))
        for caller, run in zip(callers, runs):
            run.cancel()
            caller.close()
            self.assertEqual(caller.upstream, f"m-{caller.service}")
            self.assertEqual((caller.broken, caller.wrong_answers), (0, 0))


class GarbageTest(ProcessCase):
    async def test_garbage_on_every_port_is_counted(self):
        await self.cluster.start_entry("entry-0", "127.0.2.6", "--fabric", "proxy")
        await self.start_agent("m0", "s")
        status = await self.declare("s")
        entry = find_member(status, "entry-0")
        agent = find_member(status, "m0")
        table = [
            ("entry-0", Address("127.0.2.6", self.services["s"].port)),
            ("entry-0", Address(entry.host, entry.port)),
            ("m0", Address(agent.host, agent.port)),
        ]
        random = Random(11)
        frames = [random.randbytes(size) for size in (0, 1, 15, 16, 80, 1400, 60_000)]
        forward = Forward("s", "m0", 1, 1, b"k" * 16, 0, "::1", 9, "e", 0, 0, b"x" * 50)
        whole = encode(forward)
        frames += [whole[:size] for size in range(1, len(whole), 7)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for name, address in table:
                with self.subTest(name=name, address=address):
                    found = await self.cluster.read_counters(name)
                    before = found.get("dropped_malformed", 0)
                    for frame in frames:
                        sock.sendto(frame, address)
                    least = before + len(frames)
                    await self.cluster.wait_counter(name, "dropped_malformed", least)
        for garbage in frames:
            with socket.socket() as sock:
                sock.connect(self.cluster.controls[0])
                sock.sendall(garbage)
        self.open_fabric("s", ["127.0.2.6"])
        caller = self.make_caller("s")
        loop = asyncio.get_running_loop()
        run = asyncio.create_task(caller.run(loop.time() + 60))
        await wait_until(lambda: caller.answers >= 2)
        run.cancel()
        caller.close()
        self.assertEqual(self.upstreams["m0"].misdelivered, 0)
