"""Real processes started with flags of different regions."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase

from fulmarshore.standins.cluster import Cluster, find_address, find_member


class RegionsDaemonTest(IsolatedAsyncioTestCase):
    async def test_agent_of_another_region_is_refused_and_logged(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = Cluster(Path(folder.name))
        self.addAsyncCleanup(cluster.close)
        await cluster.start_control("--region", "khomas")
        for name, flags in (
            ("own", ("--region", "khomas")),
            ("unnamed", ()),
            ("other", ("--region", "accra")),
        ):
            await cluster.start_agent(name, "s", find_address(), *flags)
        await cluster.wait_counter("other", "region_refused", 2)
        await cluster.end("other", 15)
        status = await cluster.wait_settled()
        self.assertEqual(status.region, "khomas")
        for name in ("own", "unnamed"):
            self.assertEqual(find_member(status, name).name, name)
        with self.assertRaises(LookupError):
            find_member(status, "other")
        for name, peer in (("control", "other"), ("other", "127.0.0.1")):
            log = (Path(folder.name) / f"{name}.log").read_text()
            line = next(line for line in log.splitlines() if "region_refused" in line)
            self.assertIn(f"peer={peer}", line)
            self.assertIn("--region accra: allowed is khomas", line)
