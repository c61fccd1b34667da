from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.adapters import sealing
from fulmarshore.adapters.keys import KeyRing, RingKey, add_ring_key
from fulmarshore.adapters.sealing import (
    HEADER_BYTES,
    MAX_SKEW_MS,
    REPLAY_WINDOW,
    Sealer,
    SealProblem,
)
from fulmarshore.standins import profiles  # noqa: F401

START = 1_700_000_000.0
RING = KeyRing((RingKey(1, "11" * 32),))


class Clock:
    def __init__(self):
        self.now = START

    def read(self):
        self.now += 0.001
        return self.now


class SealingTest(TestCase):
    def setUp(self):
        self.clock = Clock()
        self.random = Random(1)

    def make_sealer(self, ring=RING, clock=None):
        clock = clock or self.clock
        return Sealer(ring, clock.read, self.random.randbytes)

    def test_each_datagram_opens_exactly_once(self):
        receiver, sender = self.make_sealer(), self.make_sealer()
        frames = [b"%d" % number for number in range(3 * REPLAY_WINDOW)]
        sealed = [sender.seal(frame) for frame in frames]
        order = list(range(len(sealed)))
        for start in range(0, len(order), REPLAY_WINDOW // 2):
            part = order[start : start + REPLAY_WINDOW // 2]
            self.random.shuffle(part)
            order[start : start + REPLAY_WINDOW // 2] = part
        opened = []
        for number in order:
            self.assertEqual(receiver.open(sealed[number]), frames[number])
            opened.append(sealed[number])
            again = self.random.choice(opened[-REPLAY_WINDOW // 2 :])
            self.assertEqual(receiver.open(again), SealProblem.REPLAYED)
        for datagram in sealed:
            self.assertEqual(receiver.open(datagram), SealProblem.REPLAYED)

    def test_restarted_receiver_refuses_old_datagrams(self):
        receiver, sender = self.make_sealer(), self.make_sealer()
        old = [sender.seal(b"x") for _ in range(3)]
        receiver.open(old[0])
        restarted = self.make_sealer()
        for datagram in old:
            self.assertEqual(restarted.open(datagram), SealProblem.STALE)
        sender.refresh()
        self.assertEqual(restarted.open(sender.seal(b"y")), b"y")

    def test_restarted_sender_repeats_no_nonce(self):
        clock = Clock()
        seen = set()
        for _ in range(20):
            clock.now = START
            sender = self.make_sealer(clock=clock)
            for _ in range(5):
                seen.add(sender.seal(b"x")[:HEADER_BYTES])
        self.assertEqual(len(seen), 100)

    def test_clock_skew_is_bounded(self):
        for skew_s, opened in ((-29, True), (29, True), (-32, False), (32, False)):
            with self.subTest(skew_s):
                self.assertLess(29_000, MAX_SKEW_MS)
                clock = Clock()
                receiver = self.make_sealer()
                self.clock.now += 60
                clock.now = self.clock.now + skew_s
                datagram = self.make_sealer(clock=clock).seal(b"x")
                result = receiver.open(datagram)
                self.assertEqual(result == b"x", opened)
                if not opened:
                    self.assertEqual(result, SealProblem.STALE)

    def test_forged_datagrams_are_refused(self):
        receiver, sender = self.make_sealer(), self.make_sealer()
        receiver.open(sender.seal(b"first"))
        other = Sealer(KeyRing((RingKey(1, "22" * 32),)), self.clock.read)
        unknown = Sealer(KeyRing((RingKey(2, "11" * 32),)), self.clock.read)
        good = sender.seal(b"x" * 100)
        flipped = [
            good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :]
            for at in range(13, len(good))
        ]
        table = [
            ([other.seal(b"x")], {SealProblem.FORGED}),
            ([unknown.seal(b"x")], {SealProblem.UNKNOWN_KEY}),
            ([good[:40], b""], {SealProblem.SHORT}),
            (flipped, {SealProblem.FORGED, SealProblem.REPLAYED}),
        ]
        for datagrams, problems in table:
            for datagram in datagrams:
                self.assertIn(receiver.open(datagram), problems)
        self.assertEqual(receiver.open(good), b"x" * 100)

    def test_key_rotation_loses_no_datagram(self):
        sender, receiver = self.make_sealer(), self.make_sealer()
        rotated = add_ring_key(RING, "33" * 32, START + 10)
        early = sender.seal(b"0")
        steps = [
            (START + 1, receiver, rotated),
            (START + 2, sender, rotated),
            (START + 9, None, None),
            (START + 11, None, None),
            (START + 20, receiver, KeyRing(rotated.keys[1:])),
        ]
        self.assertEqual(receiver.open(early), b"0")
        numbers = []
        for now, sealer, ring in steps:
            self.clock.now = now
            if sealer is not None:
                sealer.use_ring(ring)
            sender.refresh()
            datagram = sender.seal(b"x")
            numbers.append(datagram[0])
            self.assertEqual(receiver.open(datagram), b"x")
        self.assertEqual(numbers, [1, 1, 1, 2, 2])
        self.assertEqual(receiver.open(early), SealProblem.UNKNOWN_KEY)

    def test_evicted_session_cannot_be_replayed(self):
        bound = sealing.MAX_SESSIONS
        self.addCleanup(setattr, sealing, "MAX_SESSIONS", bound)
        sealing.MAX_SESSIONS = 2
        receiver = self.make_sealer()
        senders = [self.make_sealer() for _ in range(4)]
        first = [sender.seal(b"x") for sender in senders]
        for datagram in first:
            self.assertEqual(receiver.open(datagram), b"x")
        for datagram in first:
            self.assertIsInstance(receiver.open(datagram), SealProblem)
        senders[0].refresh()
        self.assertEqual(receiver.open(senders[0].seal(b"y")), b"y")

    @given(st.binary(max_size=120))
    def test_garbage_is_refused(self, garbage):
        receiver = self.make_sealer()
        self.assertIsInstance(receiver.open(garbage), SealProblem)
        header = self.make_sealer().seal(b"")[:HEADER_BYTES]
        self.assertIsInstance(receiver.open(header + garbage), SealProblem)
