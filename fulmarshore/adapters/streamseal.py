"""Seals the bytes of one stream between an entry host and an agent.

Both directions have a key of their own, derived from the ring and from the
headers of the two sealed records that opened the connection. Those headers
never repeat, and the records are opened once only, so that no stream can be
replayed and none can take the place of another.

Each record is numbered by its place: one that was changed, left out, doubled
or moved does not open. An empty record is the authenticated half-close; where
the connection ends without it, the stream was cut.
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
"""Longest part of a stream that is sealed as one record."""
MAX_SEALED_BYTES = MAX_PLAIN_BYTES + TAG_BYTES
_KEY_DERIVATION_INFO = b"fulmarshore stream"


class StreamSealer:
    """Seals one direction of a stream and opens the other.

    Parameters
    ----------
    sending, receiving : AESGCM
        Ciphers that nothing else is sealed with.
    """

    __slots__ = ("_sending", "_receiving", "_sent_records", "_opened_records")

    def __init__(self, sending: AESGCM, receiving: AESGCM) -> None:
        self._sending = sending
        self._receiving = receiving
        self._sent_records = 0
        self._opened_records = 0

    def seal(self, plain: bytes | memoryview) -> bytes:
        """Return the next record of the sending direction."""
        assert len(plain) <= MAX_PLAIN_BYTES, len(plain)
        nonce = self._sent_records.to_bytes(NONCE_BYTES, "big")
        self._sent_records += 1
        return self._sending.encrypt(nonce, plain, None)

    def open(self, record: bytes | memoryview) -> bytes | None:
        """Return what the next record holds; None if it is not that record."""
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
    """Return what seals the stream that two sealed records have opened.

    Parameters
    ----------
    sealer : Sealer
        Holds the ring.
    opening, reply : bytes
        The sealed records.
    is_opener : bool
        Whether this side has sent the opening.

    Returns
    -------
    stream_sealer : StreamSealer or None
        None where a ring key of the records is valid no more.
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
