from pathlib import Path
from unittest import TestCase

import click
from click.testing import CliRunner

from fulmarshore.commands.daemons import agent, entry
from fulmarshore.commands.main import cli
from fulmarshore.commands.settings import list_settings

PAGE = Path(__file__).parents[2] / "docs" / "operating" / "datapath.md"
GOOD = {
    "--name": "e",
    "--zone": "z",
    "--control": "127.0.0.1:1",
    "--data": "127.0.0.1:0",
    "--service": "s",
    "--upstream": "127.0.0.1:1",
}


class SettingsTest(TestCase):
    def test_page_lists_every_setting(self):
        text = PAGE.read_text()
        for command in (entry, agent):
            with self.subTest(command=command.name):
                self.assertIn(list_settings(command), text)

    def test_each_variable_is_read_and_checked(self):
        bad = "Not Allowed!"
        unchecked = (click.Path, type(click.STRING), type(click.BOOL))
        for command in (entry, agent):
            required = [option for option in command.params if option.required]
            for option in command.params:
                if isinstance(option.type, unchecked):
                    continue
                flags = []
                for other in required:
                    if other is not option:
                        flags += [other.opts[0], GOOD[other.opts[0]]]
                name = f"FULMARSHORE_{command.name}_{option.name}".upper()
                variable = option.envvar or name
                with self.subTest(variable=variable):
                    arguments = [command.name, *flags]
                    found = CliRunner().invoke(cli, arguments, env={variable: bad})
                    self.assertEqual(found.exit_code, 2)
                    self.assertIn(option.opts[0], found.output)
                    self.assertIn(bad.split()[0], found.output)

    def test_service_host_is_an_address(self):
        flags = ["--name", "e", "--zone", "z", "--control", "127.0.0.1:1"]
        flags += ["--data", "127.0.0.1:0", "--service-host", "nowhere"]
        found = CliRunner().invoke(cli, ["entry", *flags])
        self.assertEqual(found.exit_code, 2)
        for word in ("--service-host", "'nowhere'", "IP address"):
            self.assertIn(word, found.output)
