from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.adapters.proxy import decode_header, encode_header, split_header
from fulmarshore.core.records import Address, Malformed


class ProxyTest(TestCase):
    def test_round_trip(self):
        table = [
            (Address("10.1.2.3", 4567), Address("127.0.0.1", 80)),
            (Address("2001:db8::1", 1), Address("::1", 65535)),
        ]
        for caller, service in table:
            with self.subTest(caller=caller):
                header = encode_header(caller, service)
                parts = split_header(header + b"payload", "fabric")
                self.assertEqual(parts, (header, b"payload"))
                self.assertEqual(decode_header(header), caller)

    @given(st.binary(max_size=80), st.booleans())
    def test_garbage_is_malformed(self, garbage, signed):
        frame = (b"\r\n\r\n\x00\r\nQUIT\n" if signed else b"") + garbage
        parts = split_header(frame, "fabric")
        if isinstance(parts, Malformed):
            return
        caller = decode_header(parts[0])
        self.assertIsInstance(caller, Malformed | Address)
