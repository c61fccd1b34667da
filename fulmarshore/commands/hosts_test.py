import json
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from click.testing import CliRunner

from fulmarshore.commands.main import cli
from fulmarshore.platform import configuration_test, settings_test


class HostsTest(TestCase):
    def test_check_commands_accept_valid_files_and_refuse_others(self):
        settings = settings_test.VALID
        configuration = configuration_test.VALID
        table = [
            ("check-settings", settings, 0, "edge-1 at 10.1.0.10"),
            ("check-settings", {**settings, "seeds": ["x"]}, 1, "seeds: 'x'"),
            ("check-settings", {**settings, "ip": 7}, 1, "ip"),
            ("check-configuration", configuration, 0, "version 7: 2 routes"),
            ("check-configuration", {**configuration, "version": 0}, 1, "version: 0"),
            ("check-configuration", {"version": 8}, 1, "not readable"),
        ]
        for command, content, code, expected in table:
            with self.subTest(command=command, expected=expected):
                with TemporaryDirectory() as folder:
                    path = Path(folder) / "file.json"
                    path.write_text(json.dumps(content))
                    result = CliRunner().invoke(cli, ["host", command, str(path)])
                self.assertEqual(result.exit_code, code, result.output)
                self.assertIn(expected, result.output)

    def test_unknown_role_is_refused_and_valid_roles_are_listed(self):
        result = CliRunner().invoke(cli, ["host", "run", "router"])
        self.assertEqual(result.exit_code, 2)
        for word in ("router", "entry", "agent", "control"):
            self.assertIn(word, result.output)
