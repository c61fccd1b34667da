from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from click.testing import CliRunner

from fulmarshore.commands.main import cli

AGENT = ["agent", "--name", "m0", "--zone", "z", "--service", "s"]
ENTRY = ["entry", "--name", "e", "--zone", "z"]


class MainTest(TestCase):
    def test_bad_settings_name_flag_value_and_what_is_allowed(self):
        good = ["--control", "127.0.0.1:1", "--data", "127.0.0.1:0"]
        table = [
            ([*AGENT, *good, "--upstream", "nowhere"], "--upstream", "'nowhere'"),
            ([*AGENT, *good, "--upstream", "127.0.0.1:70000"], "--upstream", "70000"),
            ([*AGENT, *good, "--slots", "0"], "--slots", "0"),
            (["agent", "--name", "Bad_Name"], "--name", "'Bad_Name'"),
            (
                ["entry", "--name", "e", "--zone", "z", *good, "--fabric", "x"],
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

    def test_bad_declaration_file_is_no_traceback(self):
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
