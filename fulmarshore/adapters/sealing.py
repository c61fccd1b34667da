"""Seals the datagrams between entry hosts and agents.

A sealed datagram is the number of the ring key, the session of the sender, a
nonce of milliseconds and sequence number, and the AES-GCM ciphertext with its tag.
Each start of a process draws a session of 96 random bits, from which and the
ring key its own cipher key is derived: so no nonce repeats under one key,
whatever is restarted, and no counter needs a disk.

A datagram is opened at most once. Within a session a window of sequence
numbers sees to that. A session that the receiver does not know yet is taken up
only by a datagram that is about as old as the receiver's clock says, and no
older than the receiver's own start: so what was recorded before a restart is
refused after it, as far as the clocks of the hosts agree.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from enum import StrEnum

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from fulmarshore.adapters.keys import Ring, RingKey

SESSION_BYTES = 12
NONCE_BYTES = 12
SEQUENCE_BITS = 48
SESSION_END = 1 + SESSION_BYTES
HEADER_BYTES = SESSION_END + NONCE_BYTES
TAG_BYTES = 16
WINDOW = 1024
MAX_SKEW_MS = 30_000
MAX_SESSIONS = 16_384
_WINDOW_MASK = (1 << WINDOW) - 1
_SEQUENCE_MASK = (1 << SEQUENCE_BITS) - 1
_INFO = b"fulmarshore data path"


class SealProblem(StrEnum):
    """Why a datagram is not opened."""

    SHORT = "short"
    UNKNOWN_KEY = "unknown_key"
    FORGED = "forged"
    REPLAYED = "replayed"
    STALE = "stale"


class Session:
    """What a receiver knows of one life of one sender under one ring key."""

    __slots__ = ("cipher", "highest", "seen", "sent_ms")

    def __init__(self, cipher: AESGCM) -> None:
        self.cipher = cipher
        self.highest = -1
        self.seen = 0
        self.sent_ms = 0

    def is_new(self, sequence: int) -> bool:
        """Return whether a sequence number was not opened yet."""
        age = self.highest - sequence
        if age < 0:
            return True
        return age < WINDOW and not self.seen >> age & 1

    def remember(self, sequence: int) -> None:
        """Take note of a sequence number that was opened."""
        step = sequence - self.highest
        if step <= 0:
            self.seen |= 1 << -step
            return
        self.highest = sequence
        self.seen = (self.seen << step | 1) & _WINDOW_MASK if step < WINDOW else 1


class Sealer:
    """Seals what a process sends and opens what it receives.

    Parameters
    ----------
    ring : Ring
        The valid keys.
    read_time : callable
        Returns real time, in seconds since the epoch.
    draw : callable
        Returns so many random bytes.
    """

    def __init__(
        self,
        ring: Ring,
        read_time: Callable[[], float] = time.time,
        draw: Callable[[int], bytes] = os.urandom,
    ) -> None:
        self._read_time = read_time
        self._draw = draw
        self._floor_ms = self._read_ms()
        self._sessions: dict[bytes, Session] = {}
        self._keys: dict[int, RingKey] = {}
        self.use_ring(ring)

    def use_ring(self, ring: Ring) -> None:
        """Take a changed ring into use; its dropped keys are valid no more."""
        known = self._keys
        self.ring = ring
        self._keys = {key.number: key for key in ring.keys}
        for prefix in list(self._sessions):
            key = self._keys.get(prefix[0])
            if key is None or key.secret != known[prefix[0]].secret:
                del self._sessions[prefix]
        self._choose_key()

    def seal(self, frame: bytes) -> bytes:
        """Return a frame as a sealed datagram."""
        now_ms = self._read_ms()
        if now_ms >= self._next_choice_ms:
            self._choose_key()
        self._sequence += 1
        number = now_ms << SEQUENCE_BITS | self._sequence
        nonce = number.to_bytes(NONCE_BYTES, "big")
        return self._prefix + nonce + self._cipher.encrypt(nonce, frame, None)

    def open(self, datagram: bytes) -> bytes | SealProblem:
        """Return the frame in a sealed datagram, or why it is refused."""
        if len(datagram) < HEADER_BYTES + TAG_BYTES:
            return SealProblem.SHORT
        prefix = datagram[:SESSION_END]
        nonce = datagram[SESSION_END:HEADER_BYTES]
        number = int.from_bytes(nonce, "big")
        sequence = number & _SEQUENCE_MASK
        session = self._sessions.get(prefix)
        if session is None:
            return self._open_first(prefix, nonce, datagram)
        if not session.is_new(sequence):
            return SealProblem.REPLAYED
        try:
            frame = session.cipher.decrypt(nonce, datagram[HEADER_BYTES:], None)
        except InvalidTag:
            return SealProblem.FORGED
        session.remember(sequence)
        session.sent_ms = number >> SEQUENCE_BITS
        return frame

    def _open_first(
        self, prefix: bytes, nonce: bytes, datagram: bytes
    ) -> bytes | SealProblem:
        key = self._keys.get(prefix[0])
        if key is None:
            return SealProblem.UNKNOWN_KEY
        number = int.from_bytes(nonce, "big")
        sent_ms = number >> SEQUENCE_BITS
        if sent_ms <= self._floor_ms or abs(sent_ms - self._read_ms()) > MAX_SKEW_MS:
            return SealProblem.STALE
        session = Session(_derive_cipher(key, prefix[1:]))
        try:
            frame = session.cipher.decrypt(nonce, datagram[HEADER_BYTES:], None)
        except InvalidTag:
            return SealProblem.FORGED
        session.remember(number & _SEQUENCE_MASK)
        session.sent_ms = sent_ms
        if len(self._sessions) >= MAX_SESSIONS:
            self._evict()
        self._sessions[prefix] = session
        return frame

    def _evict(self) -> None:
        """Forget the session longest not heard of; bar what it sent for good."""
        oldest = min(self._sessions, key=lambda prefix: self._sessions[prefix].sent_ms)
        session = self._sessions.pop(oldest)
        self._floor_ms = max(self._floor_ms, session.sent_ms)

    def _choose_key(self) -> None:
        """Send under the newest key whose time has come, in a new session."""
        now = self._read_time()
        chosen = self.ring.keys[0]
        later = float("inf")
        for key in self.ring.keys[1:]:
            if key.send_after > now:
                later = min(later, key.send_after)
            elif key.send_after >= chosen.send_after or chosen.send_after > now:
                chosen = key
        session = self._draw(SESSION_BYTES)
        self._next_choice_ms = later * 1000
        self._sequence = 0
        self._prefix = bytes([chosen.number]) + session
        self._cipher = _derive_cipher(chosen, session)

    def _read_ms(self) -> int:
        return int(self._read_time() * 1000)


def _derive_cipher(key: RingKey, session: bytes) -> AESGCM:
    derived = HKDF(SHA256(), 32, session, _INFO).derive(bytes.fromhex(key.secret))
    return AESGCM(derived)
