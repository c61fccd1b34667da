"""Authenticated encryption of one stream between an entry host and an agent.

Each direction has its own key, derived from the key ring and the headers of the
two sealed messages that opened the connection. Those headers never repeat, and
the messages can be opened only once, so that no stream can be replayed or
replaced by another.

The nonce of a record is its position in the stream: a modified, omitted, repeated
or reordered record fails authentication. An empty record is the authenticated
half-close; a connection that ends without it was truncated.
"""

from __future__ import annotations

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from fulmarshore.adapters.sealing import (
    HEADER_BYTES,
    NONCE_BYTES,
    TAG_BYTES,
    Sealer,
)

KEY_BYTES = 32
MAX_PLAIN_BYTES = 65_536
"""Longest plaintext of one record."""
MAX_SEALED_BYTES = MAX_PLAIN_BYTES + TAG_BYTES
_KEY_DERIVATION_INFO = b"fulmarshore stream"


class StreamSealer:
    """Seals one direction of a stream and opens the other.

    Parameters
    ----------
    sending, receiving : AESGCM
        Ciphers with keys that nothing else uses.
    """

    __slots__ = ("_sending", "_receiving", "_sent_records", "_opened_records")

    def __init__(self, sending: AESGCM, receiving: AESGCM) -> None:
        self._sending = sending
        self._receiving = receiving
        self._sent_records = 0
        self._opened_records = 0

    def seal(self, plain: bytes | memoryview) -> bytes:
        """Seal plaintext as the next record of the sending direction."""
        assert len(plain) <= MAX_PLAIN_BYTES, len(plain)
        nonce = self._sent_records.to_bytes(NONCE_BYTES, "big")
        self._sent_records += 1
        return self._sending.encrypt(nonce, plain, None)

    def open(self, record: bytes | memoryview) -> bytes | None:
        """Return the plaintext of the next record; None if authentication fails."""
        nonce = self._opened_records.to_bytes(NONCE_BYTES, "big")
        try:
            plain = self._receiving.decrypt(nonce, record, None)
        except InvalidTag:
            return None
        self._opened_records += 1
        return plain


def derive_stream_sealer(
    sealer: Sealer, opening_header: bytes, reply_header: bytes, is_initiator: bool
) -> StreamSealer | None:
    """Derive the ciphers of the stream that two sealed messages have opened.

    Parameters
    ----------
    sealer : Sealer
        Provides the ring keys.
    opening_header, reply_header : bytes
        Headers of the two sealed messages.
    is_initiator : bool
        Whether this side has sent the opening message.

    Returns
    -------
    stream_sealer : StreamSealer or None
        None if a ring key of the messages is no longer valid.
    """
    secrets = (
        sealer.find_secret(opening_header[0]),
        sealer.find_secret(reply_header[0]),
    )
    if None in secrets:
        return None
    headers = opening_header[:HEADER_BYTES] + reply_header[:HEADER_BYTES]
    derivation = HKDF(SHA256(), 2 * KEY_BYTES, headers, _KEY_DERIVATION_INFO)
    derived = derivation.derive(b"".join(secrets))
    initiator_cipher = AESGCM(derived[:KEY_BYTES])
    responder_cipher = AESGCM(derived[KEY_BYTES:])
    return (
        StreamSealer(initiator_cipher, responder_cipher)
        if is_initiator
        else StreamSealer(responder_cipher, initiator_cipher)
    )
