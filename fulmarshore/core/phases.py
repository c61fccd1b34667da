"""Classification of datagrams by their place in a flow."""

from __future__ import annotations

from fulmarshore.core.records import Phase, Protocol

_QUIC_LONG_HEADER = 0x80
_QUIC_FIXED_BIT = 0x40
_QUIC_TYPE_MASK = 0x30
_QUIC_INITIAL = 0x00


def classify_datagram(protocol: Protocol, payload: bytes) -> Phase:
    """Return the phase of a caller's datagram.

    For QUIC only the first byte is read (RFC 8999, RFC 9000): an Initial
    packet opens a flow, every other packet belongs to an open one.
    """
    if protocol == Protocol.REQUEST:
        return Phase.OPENING
    if protocol != Protocol.QUIC or not payload:
        return Phase.UNKNOWN
    first = payload[0]
    if not first & _QUIC_FIXED_BIT:
        return Phase.UNKNOWN
    if first & _QUIC_LONG_HEADER and first & _QUIC_TYPE_MASK == _QUIC_INITIAL:
        return Phase.OPENING
    return Phase.MIDDLE


def get_default_phase(protocol: Protocol) -> Phase:
    """Return the phase that most packets of a flow have."""
    return Phase.MIDDLE if protocol == Protocol.QUIC else Phase.UNKNOWN
