"""Records in front of streams, from strangers and in pieces."""

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.adapters.keys import Ring, RingKey
from fulmarshore.adapters.sealing import Sealer
from fulmarshore.adapters.sealing_test import RING, Clock
from fulmarshore.adapters.streams import LinkEnd
from fulmarshore.core.records import Malformed, Reason, StreamRefused

MESSAGE = StreamRefused("s", "m", 1, 2, b"k" * 16, Reason.FULL)
OTHER_RING = Ring((RingKey(1, "22" * 32),))


class FakeTransport:
    def __init__(self):
        self.sent = bytearray()

    def write(self, data):
        self.sent += data

    def is_closing(self):
        return False


def write_frame(ring, clock=None):
    end = LinkEnd()
    end.transport = FakeTransport()
    end.sealer = Sealer(ring, clock.read) if ring else None
    end.send(MESSAGE)
    return bytes(end.transport.sent)


def read_frame(ring, data):
    end = LinkEnd()
    end.sealer = Sealer(ring) if ring else None
    end.received += data
    return end.take_message("peer")


class LinkEndTest(TestCase):
    def test_only_who_has_the_keys_is_understood(self):
        table = [
            (None, None, True),
            (RING, RING, True),
            (None, RING, False),
            (RING, None, False),
            (OTHER_RING, RING, False),
        ]
        for writer, reader, is_understood in table:
            with self.subTest(writer=writer, reader=reader):
                end = LinkEnd()
                clock = Clock()
                end.sealer = Sealer(reader, clock.read) if reader else None
                clock.now += 1.0
                end.received += write_frame(writer, clock)
                found = end.take_message("peer")
                if is_understood:
                    self.assertEqual(found, MESSAGE)
                else:
                    self.assertIsInstance(found, Malformed)

    def test_a_record_is_taken_only_when_it_is_whole(self):
        frame = write_frame(None)
        for size in range(len(frame)):
            self.assertIsNone(read_frame(None, frame[:size]))

    @given(st.binary(max_size=120), st.booleans())
    def test_garbage_never_raises(self, data, is_sealed):
        found = read_frame(RING if is_sealed else None, data)
        if found is not None and not isinstance(found, Malformed):
            self.assertFalse(is_sealed)
