from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.agreement.validation import check_change
from fulmarshore.commands.declarations import (
    check_declarations,
    format_error,
    load_declarations,
)
from fulmarshore.core.records import Change, InvalidItem, Profile, Service, Zone
from fulmarshore.membership.view import View
from fulmarshore.standins import profiles  # noqa: F401

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"

BAD_TABLES = """
colour = 1
[[zone]]
name = "a"
state = "sideways"
[[profile]]
kind = "feed"
deadline = "soon"
[[profile]]
name = "p"
kind = "film"
speed = 3
[[service]]
name = "s"
"""
BAD_VALUES = """
[[profile]]
name = "p"
kind = "feed"
deadline = -1.0
retry_budget = nan
[[service]]
name = "S"
profile = "q"
host = "localhost"
port = 70000
"""
FRAGMENTS = [
    "[[zone]]",
    "[[service]]",
    "[[profile]]",
    "[zone]",
    'name = "a"',
    "name = 1",
]
FRAGMENTS += [
    "port = 1e9",
    'kind = "feed"',
    "deadline = inf",
    "state = 'out'",
    "[[",
    "\0",
    "zone = 3",
]


def load(*texts):
    with TemporaryDirectory() as folder:
        for number, text in enumerate(texts):
            content = text if isinstance(text, bytes) else text.encode()
            (Path(folder) / f"{number}.toml").write_bytes(content)
        return load_declarations([Path(folder)])


class DeclarationsTest(TestCase):
    def test_every_error_names_file_table_field_value_and_allowed_values(self):
        table = [
            (
                BAD_TABLES,
                "colour: table = 1: allowed is [[profile]], [[service]], [[zone]]",
            ),
            (BAD_TABLES, "zone a: state = 'sideways': allowed is in or out"),
            (BAD_TABLES, "profile 1: name = missing: allowed is text"),
            (BAD_TABLES, "profile 1: deadline = 'soon': allowed is a number"),
            (
                BAD_TABLES,
                "profile p: kind = 'film': allowed is feed, download, idempotent",
            ),
            (BAD_TABLES, "profile p: speed = 3: allowed is name, kind"),
            (BAD_TABLES, "service s: profile = missing"),
            (BAD_TABLES, "service s: port = missing: allowed is a whole number"),
            (BAD_VALUES, "profile p: deadline = -1.0: allowed is more than 0"),
            (BAD_VALUES, "profile p: retry_budget = nan: allowed is 0 to 1"),
            (BAD_VALUES, "service S: profile = q: allowed is p"),
            (BAD_VALUES, "service S: host = localhost: allowed is an IP address"),
            (BAD_VALUES, "service S: port = 70000: allowed is 1 to 65535"),
        ]
        for text, expected in table:
            with self.subTest(expected):
                declarations, errors = load(text)
                errors = errors or check_declarations(declarations)
                lines = [format_error(error) for error in errors]
                found = [line for line in lines if expected in line]
                self.assertEqual(len(found), 1, lines)
                self.assertIn("0.toml: ", found[0])

    def test_tables_in_place_of_lists_are_errors(self):
        for text in ("zone = 3", "[zone]\nname = 'a'", "zone = ['a']"):
            with self.subTest(text):
                _, errors = load(text)
                self.assertIn("[[zone]]", errors[0].allowed)

    def test_duplicates_name_the_first_file(self):
        zone = '[[zone]]\nname = "a"\n'
        _, errors = load(zone, zone)
        self.assertEqual(len(errors), 1)
        self.assertIn("1.toml", errors[0].peer)
        self.assertIn("0.toml", errors[0].allowed)

    def test_unreadable_files_are_errors(self):
        table = [[Path("/nonexistent.toml")], [Path("/dev/null/x")]]
        for paths in table:
            with self.subTest(paths=paths):
                _, errors = load_declarations(paths)
                self.assertEqual(len(errors), 1)
        with TemporaryDirectory() as folder:
            _, errors = load_declarations([Path(folder)])
            self.assertEqual(errors[0].allowed, "*.toml files")

    def test_examples_are_accepted_by_control(self):
        declarations, errors = load_declarations([EXAMPLES])
        self.assertEqual(errors, [])
        self.assertEqual(check_declarations(declarations), [])
        change = Change(1, "ann", list(declarations.items), [])
        self.assertEqual(check_change(View(), 1, change), [])
        kinds = {type(item) for item in declarations.items}
        self.assertEqual(kinds, {Profile, Service, Zone})

    @given(
        st.one_of(
            st.binary(max_size=200),
            st.lists(st.sampled_from(FRAGMENTS), max_size=12).map("\n".join),
        )
    )
    def test_malformed_files_never_raise(self, content):
        declarations, errors = load(content)
        errors += check_declarations(declarations)
        for error in errors:
            self.assertIsInstance(error, InvalidItem)
