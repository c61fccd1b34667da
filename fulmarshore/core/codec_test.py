from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

import fulmarshore.standins.profiles  # noqa: F401
from fulmarshore.core import codec
from fulmarshore.core.records import (
    Delta,
    Forward,
    Heartbeat,
    Identity,
    Malformed,
    Removed,
    Versioned,
    Zone,
)

PACKET = Forward("mendbook", "a", 7, 3, b"k" * 16, 1, "::1", 9, "e", 0, 0, b"xyz")
DELTA = Delta(0, 4, [Versioned(4, Zone("khomas-a"))], [Removed(3, "Zone", "x")])
DECODERS = [
    codec.decode_data,
    codec.decode_control,
    codec.decode_request,
    codec.decode_command,
]


class CodecTest(TestCase):
    def test_round_trip(self):
        table = [
            (codec.decode_data, PACKET),
            (codec.decode_data, DELTA),
            (codec.decode_control, DELTA),
            (codec.decode_control, Heartbeat(Identity("a", 1), 2)),
        ]
        for decode, message in table:
            with self.subTest(message=message):
                self.assertEqual(decode(codec.encode(message), "p"), message)

    def test_truncated_frames_are_malformed(self):
        frame = codec.encode(PACKET)
        for size in range(len(frame)):
            self.assertIsInstance(codec.decode_data(frame[:size], "p"), Malformed)

    def test_oversized_frame_is_malformed(self):
        frame = b"\x00" * (codec.MAX_DATAGRAM_BYTES + 1)
        outcome = codec.decode_data(frame, "p")
        self.assertIsInstance(outcome, Malformed)
        self.assertEqual((outcome.step, outcome.peer), ("decode_data", "p"))

    @given(st.binary(max_size=200), st.sampled_from(DECODERS))
    def test_garbage_never_raises(self, frame, decode):
        outcome = decode(frame, "p")
        if not isinstance(outcome, Malformed):
            self.assertEqual(decode(codec.encode(outcome), "p"), outcome)
