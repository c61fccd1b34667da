import os
import re
from pathlib import Path
from unittest import TestCase
from unittest.mock import patch

import click

from fulmarshore.commands.main import cli
from fulmarshore.commands.reference import DAEMONS, make_row, make_settings_page
from fulmarshore.core.records import Reason

DOCS = Path(__file__).resolve().parents[2] / "docs"


class ReferenceTest(TestCase):
    def test_settings_page_matches_the_commands(self):
        page = (DOCS / "operating" / "settings.md").read_text()
        self.assertEqual(page, make_settings_page(), "run `make pages`")

    def test_environment_variables_are_read(self):
        outer = click.Context(cli, **cli.context_settings)
        for name in DAEMONS:
            inner = click.Context(cli.commands[name], outer, name)
            for option in cli.commands[name].params:
                variable = make_row(name, option)[1]
                with self.subTest(variable), patch.dict(os.environ, {variable: "x"}):
                    self.assertEqual(option.resolve_envvar_value(inner), "x")

    def test_every_rejection_reason_is_documented(self):
        page = (DOCS / "operating" / "refusals.md").read_text()
        lines = dict(re.findall(r"^\| `(\w+)` \| (.+) \|$", page, re.MULTILINE))
        for reason in Reason:
            with self.subTest(reason):
                self.assertIn(reason.value, lines)
        self.assertEqual(set(lines) - {reason.value for reason in Reason}, set())

    def test_links_in_pages_resolve(self):
        pages = [DOCS.parent / "README.md", *DOCS.rglob("*.md")]
        for page in pages:
            for link in re.findall(r"\]\(([^)#]+)[^)]*\)", page.read_text()):
                if link.startswith("http"):
                    continue
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())
