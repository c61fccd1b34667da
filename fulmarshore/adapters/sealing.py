"""Authenticated encryption of the datagrams between entry hosts and agents.

A sealed datagram consists of the number of the ring key, the session of the
sender, a nonce of milliseconds and a sequence number, and the AES-GCM ciphertext
with its tag. At each start and each change of key a process draws a random session
of 96 bits; its cipher key is derived from the session and the ring key. No nonce
therefore repeats under one key, even after restarts, and no counter has to be
stored on disk.

A datagram is opened at most once. Within a session a replay window of sequence
numbers ensures that. The first datagram of an unknown session is accepted only if
its time is within ``MAX_SKEW_MS`` of the receiver's clock and after the receiver's
own start. Datagrams recorded before a restart of the receiver are therefore
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

from fulmarshore.adapters.keys import KeyRing, RingKey

SESSION_BYTES = 12
NONCE_BYTES = 12
TIME_BYTES = 6
SEQUENCE_BYTES = NONCE_BYTES - TIME_BYTES
CLOCK_REFRESH_MASK = 63
"""The clock is read for every 64th datagram, and on ``refresh``."""
SESSION_END = 1 + SESSION_BYTES
HEADER_BYTES = SESSION_END + NONCE_BYTES
TAG_BYTES = 16
REPLAY_WINDOW = 1024
MAX_SKEW_MS = 30_000
MAX_SESSIONS = 16_384
_REPLAY_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1
_SEEN_LIMIT = 1 << 2 * REPLAY_WINDOW
_KEY_DERIVATION_INFO = b"fulmarshore data path"


class SealProblem(StrEnum):
    """The reason why a datagram is refused."""

    SHORT = "short"
    UNKNOWN_KEY = "unknown_key"
    FORGED = "forged"
    REPLAYED = "replayed"
    STALE = "stale"


class ReceiveSession:
    """A receiver's state of one session of a sender under one ring key.

    Parameters
    ----------
    cipher : AESGCM
        Decrypts the datagrams of the session.
    nonce : bytes
        Nonce of the datagram with the highest sequence number; it holds the
        time of sending.

    Attributes
    ----------
    highest : int
        Highest sequence number opened.
    seen : int
        Bitmap of the opened sequence numbers; bit ``n`` is ``highest - n``.
    """

    __slots__ = ("cipher", "nonce", "highest", "seen")

    def __init__(self, cipher: AESGCM, nonce: bytes) -> None:
        self.cipher = cipher
        self.nonce = nonce
        self.highest = int.from_bytes(nonce[TIME_BYTES:], "big")
        self.seen = 1

    def read_sent_ms(self) -> int:
        """Return when the newest datagram was sent, in milliseconds since the epoch."""
        return int.from_bytes(self.nonce[:TIME_BYTES], "big")


class Sealer:
    """Seals the datagrams that a process sends and opens those that it receives.

    Parameters
    ----------
    ring : KeyRing
        The valid keys.
    read_time : callable
        Returns real time, in seconds since the epoch.
    draw_bytes : callable
        Returns the given number of random bytes.
    """

    def __init__(
        self,
        ring: KeyRing,
        read_time: Callable[[], float] = time.time,
        draw_bytes: Callable[[int], bytes] = os.urandom,
    ) -> None:
        self._read_time = read_time
        self._draw_bytes = draw_bytes
        self._min_sent_ms = self._read_ms()
        self._sessions: dict[bytes, ReceiveSession] = {}
        self._keys: dict[int, RingKey] = {}
        self.use_ring(ring)

    def use_ring(self, ring: KeyRing) -> None:
        """Replace the ring, and drop the sessions of keys that are no longer valid."""
        previous_keys = self._keys
        self.ring = ring
        self._keys = {key.number: key for key in ring.keys}
        for prefix in list(self._sessions):
            key = self._keys.get(prefix[0])
            if key is None or key.secret != previous_keys[prefix[0]].secret:
                del self._sessions[prefix]
        self._start_sending_session()

    def find_secret(self, number: int) -> bytes | None:
        """Return the secret of a ring key; None if there is no such key."""
        key = self._keys.get(number)
        return None if key is None else bytes.fromhex(key.secret)

    def refresh(self) -> None:
        """Update the time that datagrams carry, and switch keys if one is due."""
        now_ms = self._read_ms()
        self._time_bytes = now_ms.to_bytes(TIME_BYTES, "big")
        if now_ms >= self._next_key_at_ms:
            self._start_sending_session()

    def seal(self, frame: bytes) -> bytes:
        """Seal a frame as a datagram."""
        if not self._sequence & CLOCK_REFRESH_MASK:
            self.refresh()
        self._sequence += 1
        nonce = self._time_bytes + self._sequence.to_bytes(SEQUENCE_BYTES, "big")
        return self._prefix + nonce + self._cipher.encrypt(nonce, frame, None)

    def open(self, datagram: bytes) -> bytes | SealProblem:
        """Return the frame in a sealed datagram, or the reason why it is refused."""
        if len(datagram) < HEADER_BYTES + TAG_BYTES:
            return SealProblem.SHORT
        session = self._sessions.get(datagram[:SESSION_END])
        if session is None:
            return self._open_new_session(datagram)
        nonce = datagram[SESSION_END:HEADER_BYTES]
        age = session.highest - int.from_bytes(nonce[TIME_BYTES:], "big")
        if age >= 0 and (age >= REPLAY_WINDOW or session.seen >> age & 1):
            return SealProblem.REPLAYED
        try:
            frame = session.cipher.decrypt(nonce, datagram[HEADER_BYTES:], None)
        except InvalidTag:
            return SealProblem.FORGED
        if age >= 0:
            session.seen |= 1 << age
            return frame
        session.highest -= age
        session.nonce = nonce
        session.seen = session.seen << -age | 1 if -age < REPLAY_WINDOW else 1
        if session.seen > _SEEN_LIMIT:
            session.seen &= _REPLAY_WINDOW_MASK
        return frame

    def _open_new_session(self, datagram: bytes) -> bytes | SealProblem:
        key = self._keys.get(datagram[0])
        if key is None:
            return SealProblem.UNKNOWN_KEY
        prefix = datagram[:SESSION_END]
        nonce = datagram[SESSION_END:HEADER_BYTES]
        session = ReceiveSession(_derive_cipher(key, prefix[1:]), nonce)
        sent_ms = session.read_sent_ms()
        if sent_ms <= self._min_sent_ms or abs(sent_ms - self._read_ms()) > MAX_SKEW_MS:
            return SealProblem.STALE
        try:
            frame = session.cipher.decrypt(nonce, datagram[HEADER_BYTES:], None)
        except InvalidTag:
            return SealProblem.FORGED
        if len(self._sessions) >= MAX_SESSIONS:
            self._evict_oldest_session()
        self._sessions[prefix] = session
        return frame

    def _evict_oldest_session(self) -> None:
        """Drop the session whose newest datagram is the oldest.

        Datagrams of unknown sessions that are not newer than that one are refused
        from now on, so that those of the dropped session cannot be replayed.
        """
        oldest = min(
            self._sessions, key=lambda prefix: self._sessions[prefix].read_sent_ms()
        )
        session = self._sessions.pop(oldest)
        self._min_sent_ms = max(self._min_sent_ms, session.read_sent_ms())

    def _start_sending_session(self) -> None:
        """Start a session under the newest key whose ``send_after`` has passed."""
        now = self._read_time()
        selected = self.ring.keys[0]
        next_send_after = float("inf")
        for key in self.ring.keys[1:]:
            if key.send_after > now:
                next_send_after = min(next_send_after, key.send_after)
            elif key.send_after >= selected.send_after or selected.send_after > now:
                selected = key
        session = self._draw_bytes(SESSION_BYTES)
        self._next_key_at_ms = next_send_after * 1000
        self._sequence = 0
        self._prefix = bytes([selected.number]) + session
        self._cipher = _derive_cipher(selected, session)

    def _read_ms(self) -> int:
        return int(self._read_time() * 1000)


def _derive_cipher(key: RingKey, session: bytes) -> AESGCM:
    derived = HKDF(SHA256(), 32, session, _KEY_DERIVATION_INFO).derive(
        bytes.fromhex(key.secret)
    )
    return AESGCM(derived)
