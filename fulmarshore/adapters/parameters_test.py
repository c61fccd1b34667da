from unittest import TestCase

import click
from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.adapters.parameters import (
    ADDRESS,
    ENDPOINT,
    NAME,
    PEER,
    is_endpoint,
    parse_address,
)
from fulmarshore.core.records import Address
from fulmarshore.standins import profiles  # noqa: F401

PIECES = [
    "127.0.0.1",
    ":",
    "[",
    "]",
    "::1",
    "1",
    "65536",
    "-",
    "=",
    "a",
    "\u0661",
    " ",
    "http://",
    "/",
]


class ParametersTest(TestCase):
    def test_addresses(self):
        table = [
            ("127.0.0.1:1", Address("127.0.0.1", 1)),
            ("[::1]:65535", Address("::1", 65535)),
            ("127.0.0.1:65536", None),
            ("127.0.0.1:\u0661", None),
            ("localhost:1", None),
            ("127.0.0.1", None),
        ]
        for text, address in table:
            with self.subTest(text):
                self.assertEqual(parse_address(text), address)

    def test_endpoints(self):
        table = [
            ("http://127.0.0.1:80/health", True),
            ("http://[::1]:8080/", True),
            ("http://10.0.0.3:1/load?all=1", True),
            ("https://127.0.0.1:80/health", False),
            ("http://localhost:80/health", False),
            ("http://127.0.0.1:80", False),
            ("http://127.0.0.1/health", False),
            ("http://127.0.0.1:0/health", False),
            ("http://127.0.0.1:65536/health", False),
            ("http://name@127.0.0.1:80/health", False),
            ("http://127.0.0.1:80/a b", False),
            ("http://127.0.0.1:80/a\n", False),
            ("http://[::1:80/", False),
        ]
        for text, wanted in table:
            with self.subTest(text):
                self.assertEqual(is_endpoint(text), wanted)

    @given(
        st.one_of(
            st.text(max_size=40),
            st.lists(st.sampled_from(PIECES), max_size=8).map("".join),
        )
    )
    def test_invalid_values_are_refused_with_the_allowed_form(self, text):
        for kind in (ADDRESS, ENDPOINT, NAME, PEER):
            try:
                kind.convert(text, None, None)
            except click.BadParameter as error:
                self.assertIn("allowed", error.message)
