"""Commands over two regions; one may be unresponsive or another than expected."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase
from unittest.mock import patch

from click.testing import CliRunner
from msgspec.structs import replace

from fulmarshore.agreement.state import State, apply_command
from fulmarshore.commands import client, outcomes
from fulmarshore.commands.main import cli
from fulmarshore.commands.operators_test import FakeControl
from fulmarshore.commands.outcomes import Outcome
from fulmarshore.commands.regions import combine_exit_codes
from fulmarshore.core.records import (
    Change,
    Identity,
    Join,
    Member,
    StatusReply,
    StatusRequest,
    Zone,
)
from fulmarshore.standins.cluster import find_address, format_address

SHARED = """
[[profile]]
name = "p"
kind = "feed"
"""
OWN = """
region = "{0}"
[[zone]]
name = "{0}-a"
"""


class RegionControl(FakeControl):
    """The only control host of a region, with one upstream in one zone."""

    def __init__(self, region, zone):
        super().__init__()
        self.region = region
        self.loses_replies = False
        self.hides_region = False
        member = Member(f"m-{region}", 1, "s", zone, "127.0.0.1", 9)
        self.state, _ = apply_command(State(), 1, Join(member))

    def answer(self, message):
        if self.hides_region and isinstance(message, StatusRequest):
            return None
        reply = super().answer(message)
        if isinstance(reply, StatusReply):
            identity = Identity(f"m-{self.region}", 1)
            statuses = [
                replace(process, identity=identity) for process in reply.processes
            ]
            return replace(reply, region=self.region, processes=statuses)
        if isinstance(message, Change) and self.loses_replies:
            return replace(reply, number=-1, status="unavailable")
        return reply


class RegionsTest(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "shared.toml").write_text(SHARED)
        for name in ("khomas", "accra"):
            (self.folder / f"{name}.toml").write_text(OWN.format(name))
        self.controls = {}
        self.addresses = {}
        for name in ("khomas", "accra"):
            self.start(name, f"{name}-a")
        for module in (client, outcomes):
            patched = patch.object(module, "REQUEST_ATTEMPTS", 1)
            patched.start()
            self.addCleanup(patched.stop)

    def start(self, name, zone, region=None):
        control = RegionControl(region or name, zone)
        self.addCleanup(control.stop)
        self.controls[name] = control
        self.addresses[name] = f"127.0.0.1:{control.port}"

    def make_unresponsive(self, name):
        self.addresses[name] = format_address(find_address())

    def invoke(self, *arguments, code=0, expected=()):
        flags = []
        for name, address in self.addresses.items():
            flags += ["--region", f"{name}={address}"]
        result = CliRunner().invoke(cli, [*arguments, *flags])
        self.assertEqual(result.exit_code, code, result.output)
        for text in expected:
            self.assertIn(text, " ".join(result.output.split()))
        return result.output

    def list_zones(self, name):
        view = self.controls[name].state.view
        items = {key[1]: stamped.item for key, stamped in view.items.items()}
        return {k: item.out for k, item in items.items() if isinstance(item, Zone)}

    def count_changes(self, name):
        return self.controls[name].state.next_number - 1

    def test_unresponsive_region_does_not_prevent_changes_in_others(self):
        right = self.addresses["accra"]
        self.make_unresponsive("accra")
        partial = ["khomas accepted 1", "accra not reached, not sent"]
        partial.append("accepted in 1 of 2 regions, not in: accra")
        self.invoke("apply", str(self.folder), code=6, expected=partial)
        self.assertEqual(self.list_zones("khomas"), {"khomas-a": False})
        self.assertEqual(self.count_changes("accra"), 0)
        self.addresses["accra"] = right
        self.invoke(
            "plan", str(self.folder), expected=["khomas nothing to", "accra add"]
        )
        again = ["khomas nothing to change", "accra accepted 1"]
        self.invoke("apply", str(self.folder), expected=again)
        self.assertEqual(self.list_zones("accra"), {"accra-a": False})
        self.assertEqual([self.count_changes(n) for n in self.controls], [1, 1])
        self.invoke("apply", str(self.folder), expected=["accra nothing to change"])
        self.assertEqual([self.count_changes(n) for n in self.controls], [1, 1])

    def test_resend_after_lost_replies_changes_nothing_twice(self):
        self.controls["accra"].loses_replies = True
        partial = ["khomas accepted", "accra unknown"]
        self.invoke("apply", str(self.folder), code=6, expected=partial)
        self.controls["accra"].loses_replies = False
        again = ["khomas nothing to change", "accra nothing to change"]
        self.invoke("apply", str(self.folder), expected=again)
        self.assertEqual([self.count_changes(n) for n in self.controls], [1, 1])

    def test_zone_out_goes_only_to_the_region_that_has_the_zone(self):
        for other in ("answers", "declares it", "unresponsive"):
            with self.subTest(other):
                self.setUp()
                if other == "declares it":
                    accra = self.controls["accra"]
                    change = Change(1, "op", [Zone("khomas-a")], [])
                    accra.state, _ = apply_command(accra.state, 2, change)
                if other == "unresponsive":
                    self.make_unresponsive("accra")
                wait = ("--wait", "--timeout", "3")
                expected = ["khomas: number 1 accepted", "in force at 1 of 1"]
                self.invoke("zone", "out", "khomas-a", *wait, expected=expected)
                self.assertTrue(self.list_zones("khomas")["khomas-a"])
                self.assertFalse(self.list_zones("accra").get("khomas-a", False))

    def test_unresponsive_region_is_retried_only_if_the_zone_is_not_found(self):
        self.make_unresponsive("accra")
        fetch = outcomes.fetch_all_statuses
        queried = []

        def count(controls):
            queried.append(controls.region)
            return fetch(controls)

        with (
            patch.object(outcomes, "REQUEST_ATTEMPTS", 3),
            patch.object(outcomes, "fetch_all_statuses", count),
        ):
            self.invoke("zone", "out", "khomas-a")
            self.assertEqual(sorted(queried), ["accra", "khomas"])
            queried.clear()
            self.invoke("zone", "out", "accra-a", code=4)
        self.assertEqual(queried.count("accra"), 4)

    def test_zone_out_is_refused_if_the_region_is_not_certain(self):
        self.invoke("zone", "out", "zone-q", code=2, expected=["accra-a, khomas-a"])
        self.start("accra", "khomas-a")
        expected = ["in more than one region", "--only", "khomas, accra"]
        self.invoke("zone", "out", "khomas-a", code=2, expected=expected)
        self.make_unresponsive("accra")
        self.invoke("zone", "out", "zone-q", code=4, expected=["nothing was sent"])
        for name in self.controls:
            self.assertEqual(self.count_changes(name), 0)
        self.invoke("zone", "out", "khomas-a", "--only", "khomas")
        self.assertEqual(self.list_zones("khomas"), {"khomas-a": True})

    def test_address_of_another_region_changes_nothing(self):
        self.start("accra", "accra-a", region="osu")
        table = [
            (("zone", "out", "accra-a"), 2, "nothing was sent"),
            (("drain", "m-osu"), 2, "control host c is in osu"),
            (("apply", str(self.folder)), 6, "allowed are hosts of accra"),
        ]
        for arguments, code, expected in table:
            with self.subTest(arguments):
                self.invoke(*arguments, code=code, expected=[expected])
                self.assertEqual(self.count_changes("accra"), 0)
        osu = ["--control", self.addresses["accra"]]
        file = str(self.folder / "accra.toml")
        both = [*osu, "--control", self.addresses["khomas"]]
        table = [
            (["apply", file, *osu], "is in osu"),
            (["apply", str(self.folder), *osu], "--region with each region"),
            (["status", *both], "hosts of regions khomas, osu"),
        ]
        for arguments, expected in table:
            with self.subTest(arguments):
                result = CliRunner().invoke(cli, arguments)
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertIn(expected, result.output)
        self.assertEqual(self.count_changes("accra"), 0)

    def test_control_host_that_does_not_report_its_region_is_sent_no_change(self):
        self.start("osu", "khomas-a")
        self.controls["osu"].hides_region = True
        hidden = self.addresses.pop("osu")
        self.addresses["khomas"] = f"{hidden},{self.addresses['khomas']}"
        self.invoke("zone", "out", "khomas-a")
        self.invoke("apply", str(self.folder))
        counts = {name: self.count_changes(name) for name in self.controls}
        self.assertEqual(counts, {"khomas": 2, "accra": 1, "osu": 0})

    def test_status_and_history_show_all_regions(self):
        self.invoke("apply", str(self.folder))
        self.invoke("status", expected=["khomas c 2 1 of 1 0 1", "--only NAME"])
        self.invoke(
            "status", "--only", "khomas", expected=["region khomas", "m-khomas"]
        )
        self.invoke("history", expected=["khomas 1", "accra 1", "zone accra-a"])
        self.make_unresponsive("accra")
        for command in ("status", "history"):
            output = self.invoke(command, "--json", code=6)
            shown = json.loads(output)["regions"]
            self.assertIn("no control host answered", shown["accra"]["error"])
            self.assertEqual(set(shown), {"khomas", "accra"})
        self.make_unresponsive("khomas")
        self.invoke("status", code=4)

    def test_conflicting_flags_are_refused(self):
        (self.folder / "osu.toml").write_text(OWN.format("osu"))
        table = [
            (["apply", str(self.folder), "--number", "1"], "--number"),
            (["apply", str(self.folder)], "region = osu: allowed is khomas, accra"),
            (["status", "--only", "osu"], "--only osu: allowed is khomas, accra"),
            (["status", "--region", "accra=127.0.0.1:1"], "each name once"),
            (["status", "--region", "osu=nowhere"], "allowed is IP:PORT"),
            (["status", "--control", "127.0.0.1:1"], "allowed is one of them"),
        ]
        for arguments, expected in table:
            with self.subTest(arguments):
                self.invoke(*arguments, code=2, expected=[expected])

    def test_exit_codes_of_regions_are_combined(self):
        table = [
            ([0, 0], 0),
            ([0, 5], 5),
            ([5, 4], 6),
            ([0, 2], 6),
            ([3, 3], 3),
            ([2, 3], 3),
            ([3, 4], 4),
        ]
        for codes, expected in table:
            with self.subTest(codes):
                outcomes = [Outcome(code, "") for code in codes]
                self.assertEqual(combine_exit_codes(outcomes), expected)
