from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from click.testing import CliRunner

from fulmarshore.commands.main import cli

AGENT = ["agent", "--name", "m0", "--zone", "z", "--service", "s"]
ENTRY = ["entry", "--name", "e", "--zone", "z"]


class MainTest(TestCase):
    def test_errors_of_bad_settings_name_flag_and_value(self):
        valid_flags = ["--control", "127.0.0.1:1", "--data", "127.0.0.1:0"]
        table = [
            (
                [*AGENT, *valid_flags, "--upstream", "nowhere"],
                "--upstream",
                "'nowhere'",
            ),
            (
                [*AGENT, *valid_flags, "--upstream", "127.0.0.1:70000"],
                "--upstream",
                "70000",
            ),
            ([*AGENT, *valid_flags, "--slots", "0"], "--slots", "0"),
            (["agent", "--name", "Bad_Name"], "--name", "'Bad_Name'"),
            (
                ["entry", "--name", "e", "--zone", "z", *valid_flags, "--fabric", "x"],
                "x",
                "proxy",
            ),
        ]
        for arguments, flag, value in table:
            with self.subTest(arguments=arguments):
                result = CliRunner().invoke(cli, arguments)
                self.assertEqual(result.exit_code, 2)
                self.assertIn(flag, result.output)
                self.assertIn(value, result.output)

    def test_without_keys_only_loopback_is_allowed(self):
        control = ["control", "--name", "c", "--zone", "z", "--listen"]
        control_flags = ["--control", "127.0.0.1:1", "--data"]
        upstream_flags = ["--upstream", "127.0.0.1:1"]
        table = [
            ([*control, "10.0.0.1:7100"], "10.0.0.1:7100"),
            ([*control, "0.0.0.0:7100"], "0.0.0.0:7100"),
            ([*ENTRY, *control_flags, "[::]:1"], ":::1"),
            ([*AGENT, *control_flags, "10.0.0.2:1", *upstream_flags], "10.0.0.2:1"),
            (
                [
                    *AGENT,
                    "--control",
                    "10.0.0.3:1",
                    "--data",
                    "127.0.0.1:0",
                    *upstream_flags,
                ],
                "10.",
            ),
            (["status", "--control", "10.0.0.4:7100"], "10.0.0.4:7100"),
        ]
        for arguments, named in table:
            with self.subTest(arguments=arguments):
                result = CliRunner().invoke(cli, arguments)
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertIn(named, result.output)
                self.assertIn("--keys", result.output)

    def test_keys_are_made_rotated_retired_and_packed(self):
        with TemporaryDirectory() as name:
            folder = str(Path(name) / "keys")
            target = str(Path(name) / "host")
            owner_flags = [
                "--control",
                "127.0.0.1:1",
                "--process",
                "m",
                "--operator",
                "ann",
            ]
            table = [
                (["new", folder, *owner_flags], 0, "made data.ring"),
                (["new", folder, *owner_flags], 0, ""),
                (["retire", folder, "0"], 2, "only one in use"),
                (["rotate", folder, "--delay", "0"], 0, "key 1"),
                (["retire", folder, "7"], 2, "allowed is 0, 1"),
                (["retire", folder, "0"], 0, "key 0"),
                (["list", folder], 0, "operator/ann.key_secret"),
                (["pack", folder, "process", "m", target], 0, "4 files"),
                (["pack", folder, "process", "n", target], 2, "process/n.key_secret"),
            ]
            for arguments, code, text in table:
                with self.subTest(arguments=arguments):
                    result = CliRunner().invoke(cli, ["keys", *arguments])
                    self.assertEqual(result.exit_code, code, result.output)
                    self.assertIn(text, result.output)
            packed = sorted(
                str(file.relative_to(target))
                for file in Path(target).rglob("*")
                if file.is_file()
            )
            control_key = "control/127.0.0.1_1.key"
            own_keys = ["process/m.key", "process/m.key_secret"]
            self.assertEqual(packed, [control_key, "data.ring", *own_keys])

    def test_bad_declaration_file_is_a_usage_error(self):
        table = [
            ('[[zone]]\nname = "a"\nstate = "sideways"', "sideways"),
            ('[[profile]]\nname = "a"', "kind"),
            ("[[[", "line"),
            ('[[zone]]\nname = "a"\ncolour = "red"', "colour"),
        ]
        with TemporaryDirectory() as folder:
            path = Path(folder) / "fulmarshore.toml"
            for text, named in table:
                with self.subTest(text=text):
                    path.write_text(text)
                    arguments = ["apply", str(path), "--control", "127.0.0.1:1"]
                    result = CliRunner().invoke(cli, arguments)
                    self.assertEqual(result.exit_code, 2)
                    self.assertIn(named, result.output)
