from unittest import TestCase

import click
from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.adapters.parameters import ADDRESS, NAME, PEER, parse_address
from fulmarshore.core.records import Address
from fulmarshore.standins import profiles  # noqa: F401

PIECES = ["127.0.0.1", ":", "[", "]", "::1", "1", "65536", "-", "=", "a", "\u0661", " "]


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

    @given(
        st.one_of(
            st.text(max_size=40),
            st.lists(st.sampled_from(PIECES), max_size=8).map("".join),
        )
    )
    def test_no_flag_is_a_traceback(self, text):
        for kind in (ADDRESS, NAME, PEER):
            try:
                kind.convert(text, None, None)
            except click.BadParameter as error:
                self.assertIn("allowed", error.message)
