"""Commands over two regions, of which one may be silent or another one."""

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
from fulmarshore.commands.regions import combine_codes
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
        self.loses_answers = False
        self.hides_region = False
        member = Member(f"m-{region}", 1, "s", zone, "127.0.0.1", 9)
        self.state, _ = apply_command(State(), 1, Join(member))

    def answer(self, message):
        if self.hides_region and isinstance(message, StatusRequest):
            return None
        reply = super().answer(message)
        if isinstance(reply, StatusReply):
            identity = Identity(f"m-{self.region}", 1)
            heard = [replace(held, identity=identity) for held in reply.processes]
            return replace(reply, region=self.region, processes=heard)
        if isinstance(message, Change) and self.loses_answers:
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

    def silence(self, name):
        self.addresses[name] = format_address(find_address())

    def invoke(self, *arguments, ending=0, told=()):
        flags = []
        for name, address in self.addresses.items():
            flags += ["--region", f"{name}={address}"]
        result = CliRunner().invoke(cli, [*arguments, *flags])
        self.assertEqual(result.exit_code, ending, result.output)
        for text in told:
            self.assertIn(text, " ".join(result.output.split()))
        return result.output

    def list_zones(self, name):
        view = self.controls[name].state.view
        items = {key[1]: held.item for key, held in view.items.items()}
        return {k: item.out for k, item in items.items() if isinstance(item, Zone)}

    def count_changes(self, name):
        return self.controls[name].state.next_number - 1

    def test_a_region_that_is_silent_keeps_no_other_from_being_changed(self):
        right = self.addresses["accra"]
        self.silence("accra")
        partial = ["khomas accepted 1", "accra not reached, not sent"]
        partial.append("accepted in 1 of 2 regions, not in: accra")
        self.invoke("apply", str(self.folder), ending=6, told=partial)
        self.assertEqual(self.list_zones("khomas"), {"khomas-a": False})
        self.assertEqual(self.count_changes("accra"), 0)
        self.addresses["accra"] = right
        self.invoke("plan", str(self.folder), told=["khomas nothing to", "accra add"])
        again = ["khomas nothing to change", "accra accepted 1"]
        self.invoke("apply", str(self.folder), told=again)
        self.assertEqual(self.list_zones("accra"), {"accra-a": False})
        self.assertEqual([self.count_changes(n) for n in self.controls], [1, 1])
        self.invoke("apply", str(self.folder), told=["accra nothing to change"])
        self.assertEqual([self.count_changes(n) for n in self.controls], [1, 1])

    def test_resend_after_lost_answers_changes_nothing_twice(self):
        self.controls["accra"].loses_answers = True
        partial = ["khomas accepted", "accra unknown"]
        self.invoke("apply", str(self.folder), ending=6, told=partial)
        self.controls["accra"].loses_answers = False
        again = ["khomas nothing to change", "accra nothing to change"]
        self.invoke("apply", str(self.folder), told=again)
        self.assertEqual([self.count_changes(n) for n in self.controls], [1, 1])

    def test_zone_out_goes_only_to_the_region_that_has_the_zone(self):
        for other in ("answers", "declares it", "silent"):
            with self.subTest(other):
                self.setUp()
                if other == "declares it":
                    accra = self.controls["accra"]
                    change = Change(1, "op", [Zone("khomas-a")], [])
                    accra.state, _ = apply_command(accra.state, 2, change)
                if other == "silent":
                    self.silence("accra")
                wait = ("--wait", "--timeout", "3")
                told = ["khomas: number 1 accepted", "in force at 1 of 1"]
                self.invoke("zone", "out", "khomas-a", *wait, told=told)
                self.assertTrue(self.list_zones("khomas")["khomas-a"])
                self.assertFalse(self.list_zones("accra").get("khomas-a", False))

    def test_zone_out_waits_for_a_silent_region_once(self):
        self.silence("accra")
        fetch = outcomes.fetch_all_statuses
        asked = []

        def count(controls):
            asked.append(controls.region)
            return fetch(controls)

        with (
            patch.object(outcomes, "REQUEST_ATTEMPTS", 3),
            patch.object(outcomes, "fetch_all_statuses", count),
        ):
            self.invoke("zone", "out", "khomas-a")
            self.assertEqual(sorted(asked), ["accra", "khomas"])
            asked.clear()
            self.invoke("zone", "out", "accra-a", ending=4)
        self.assertEqual(asked.count("accra"), 4)

    def test_zone_out_is_not_sent_where_the_region_is_not_clear(self):
        self.invoke("zone", "out", "zone-q", ending=2, told=["accra-a, khomas-a"])
        self.start("accra", "khomas-a")
        told = ["in more than one region", "--only", "khomas, accra"]
        self.invoke("zone", "out", "khomas-a", ending=2, told=told)
        self.silence("accra")
        self.invoke("zone", "out", "zone-q", ending=4, told=["nothing was sent"])
        for name in self.controls:
            self.assertEqual(self.count_changes(name), 0)
        self.invoke("zone", "out", "khomas-a", "--only", "khomas")
        self.assertEqual(self.list_zones("khomas"), {"khomas-a": True})

    def test_a_wrong_address_changes_no_other_region(self):
        self.start("accra", "accra-a", region="osu")
        table = [
            (("zone", "out", "accra-a"), 2, "nothing was sent"),
            (("drain", "m-osu"), 2, "control host c is in osu"),
            (("apply", str(self.folder)), 6, "allowed are hosts of accra"),
        ]
        for arguments, ending, told in table:
            with self.subTest(arguments):
                self.invoke(*arguments, ending=ending, told=[told])
                self.assertEqual(self.count_changes("accra"), 0)
        osu = ["--control", self.addresses["accra"]]
        file = str(self.folder / "accra.toml")
        both = [*osu, "--control", self.addresses["khomas"]]
        table = [
            (["apply", file, *osu], "is in osu"),
            (["apply", str(self.folder), *osu], "--region with each region"),
            (["status", *both], "hosts of regions khomas, osu"),
        ]
        for arguments, told in table:
            with self.subTest(arguments):
                result = CliRunner().invoke(cli, arguments)
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertIn(told, result.output)
        self.assertEqual(self.count_changes("accra"), 0)

    def test_who_does_not_tell_its_region_is_sent_no_change(self):
        self.start("osu", "khomas-a")
        self.controls["osu"].hides_region = True
        hidden = self.addresses.pop("osu")
        self.addresses["khomas"] = f"{hidden},{self.addresses['khomas']}"
        self.invoke("zone", "out", "khomas-a")
        self.invoke("apply", str(self.folder))
        counts = {name: self.count_changes(name) for name in self.controls}
        self.assertEqual(counts, {"khomas": 2, "accra": 1, "osu": 0})

    def test_what_is_shown_of_all_regions(self):
        self.invoke("apply", str(self.folder))
        self.invoke("status", told=["khomas c 2 1 of 1 0 1", "--only NAME"])
        self.invoke("status", "--only", "khomas", told=["region khomas", "m-khomas"])
        self.invoke("history", told=["khomas 1", "accra 1", "zone accra-a"])
        self.silence("accra")
        for command in ("status", "history"):
            output = self.invoke(command, "--json", ending=6)
            shown = json.loads(output)["regions"]
            self.assertIn("no control host answered", shown["accra"]["error"])
            self.assertEqual(set(shown), {"khomas", "accra"})
        self.silence("khomas")
        self.invoke("status", ending=4)

    def test_flags_that_do_not_go_together(self):
        (self.folder / "osu.toml").write_text(OWN.format("osu"))
        table = [
            (["apply", str(self.folder), "--number", "1"], "--number"),
            (["apply", str(self.folder)], "region = osu: allowed is khomas, accra"),
            (["status", "--only", "osu"], "--only osu: allowed is khomas, accra"),
            (["status", "--region", "accra=127.0.0.1:1"], "each name once"),
            (["status", "--region", "osu=nowhere"], "allowed is IP:PORT"),
            (["status", "--control", "127.0.0.1:1"], "allowed is one of them"),
        ]
        for arguments, told in table:
            with self.subTest(arguments):
                self.invoke(*arguments, ending=2, told=[told])

    def test_exit_codes(self):
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
                self.assertEqual(combine_codes(outcomes), expected)
