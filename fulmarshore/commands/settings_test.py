import re
from pathlib import Path
from unittest import TestCase

import click
from click.testing import CliRunner

from fulmarshore.commands.daemons import agent, control, entry
from fulmarshore.commands.main import cli
from fulmarshore.commands.reference import get_environment_variable

PAGE = Path(__file__).parents[2] / "docs" / "operating" / "settings.md"
COMMANDS = (entry, agent, control)
VALID = {
    "--name": "e",
    "--zone": "z",
    "--control": "127.0.0.1:1",
    "--data": "127.0.0.1:0",
    "--service": "s",
    "--upstream": "127.0.0.1:1",
    "--listen": "127.0.0.1:0",
}


class SettingsTest(TestCase):
    def test_page_lists_every_setting(self):
        """The page itself is compared with the commands in reference_test."""
        text = PAGE.read_text()
        for command in COMMANDS:
            section = text.split(f"## fulmarshore {command.name}\n")[1]
            section = section.split("\n## ")[0]
            for option in command.params:
                with self.subTest(command=command.name, flag=option.opts[0]):
                    variable = get_environment_variable(command.name, option)
                    row = rf"^\| {option.opts[0]} +\| {variable} +\|"
                    self.assertRegex(section, re.compile(row, re.MULTILINE))

    def test_each_variable_is_read_and_checked(self):
        invalid = "Not Allowed!"
        unchecked = (click.Path, type(click.STRING), type(click.BOOL))
        for command in COMMANDS:
            required = [option for option in command.params if option.required]
            for option in command.params:
                if isinstance(option.type, unchecked):
                    continue
                flags = []
                for other in required:
                    if other is not option:
                        flags += [other.opts[0], VALID[other.opts[0]]]
                variable = get_environment_variable(command.name, option)
                with self.subTest(variable=variable):
                    arguments = [command.name, *flags]
                    found = CliRunner().invoke(cli, arguments, env={variable: invalid})
                    self.assertEqual(found.exit_code, 2)
                    self.assertIn(option.opts[0], found.output)
                    self.assertIn(invalid.split()[0], found.output)

    def test_service_host_is_an_address(self):
        flags = ["--name", "e", "--zone", "z", "--control", "127.0.0.1:1"]
        flags += ["--data", "127.0.0.1:0", "--service-host", "nowhere"]
        found = CliRunner().invoke(cli, ["entry", *flags])
        self.assertEqual(found.exit_code, 2)
        for word in ("--service-host", "'nowhere'", "IP address"):
            self.assertIn(word, found.output)
