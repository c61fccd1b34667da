"""Classification of datagrams by their place in a flow."""

from __future__ import annotations

from fulmarshore.core.records import Phase, Protocol

_QUIC_LONG_HEADER = 0x80
_QUIC_FIXED_BIT = 0x40
_QUIC_TYPE_MASK = 0x30
_QUIC_INITIAL = 0x00
_QUIC_V2_INITIAL = 0x10
_QUIC_V2 = bytes.fromhex("6b3343cf")
"""Version 2 (RFC 9369), which numbers the types of long headers differently."""


def classify_datagram(protocol: Protocol, payload: bytes) -> Phase:
    """Return the phase of a caller's datagram.

    For QUIC the first byte and the version are read (RFC 8999, RFC 9000, RFC 9369):
    an Initial packet opens a flow, every other packet belongs to an open one.
    """
    if protocol == Protocol.REQUEST:
        return Phase.OPENING
    if protocol != Protocol.QUIC or not payload:
        return Phase.UNKNOWN
    first = payload[0]
    if not first & _QUIC_FIXED_BIT:
        return Phase.UNKNOWN
    if not first & _QUIC_LONG_HEADER:
        return Phase.MIDDLE
    initial = _QUIC_V2_INITIAL if payload[1:5] == _QUIC_V2 else _QUIC_INITIAL
    return Phase.OPENING if first & _QUIC_TYPE_MASK == initial else Phase.MIDDLE


def get_default_phase(protocol: Protocol) -> Phase:
    """Return the phase that most packets of a flow have."""
    return Phase.MIDDLE if protocol == Protocol.QUIC else Phase.UNKNOWN
