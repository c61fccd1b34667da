"""The PROXY protocol v2 header that a fabric puts in front of a datagram or stream.

The ``proxy-protocol`` library decodes and encodes it. The answer to a datagram
that came with a header goes back to the fabric with the same header.
"""

from __future__ import annotations

import socket
from functools import lru_cache
from ipaddress import IPv4Address, IPv6Address

from proxyprotocol import ProxyProtocolSyntaxError
from proxyprotocol.result import ProxyResultIPv4, ProxyResultIPv6
from proxyprotocol.v2 import ProxyProtocolV2

from fulmarshore.core.records import Address, Malformed

FIXED_HEADER_BYTES = 16
MAX_HEADER_BYTES = 536
_CACHED_HEADERS = 65_536

_codec = ProxyProtocolV2()


def split_header(frame: bytes, peer: str) -> tuple[bytes, bytes] | Malformed:
    """Split a datagram into its PROXY header and the caller's payload."""
    if len(frame) < FIXED_HEADER_BYTES:
        return Malformed("split_header", peer, f"{len(frame)} bytes")
    size = FIXED_HEADER_BYTES + int.from_bytes(frame[14:16], "big")
    if size > min(len(frame), MAX_HEADER_BYTES):
        return Malformed("split_header", peer, f"header of {size} bytes")
    return frame[:size], frame[size:]


def parse_stream_header(
    received: bytes, peer: str
) -> tuple[Address, int] | Malformed | None:
    """Return the caller's address and the length of the header of a stream.

    Returns
    -------
    result : tuple of Address and int, Malformed or None
        None if more bytes are needed.
    """
    if len(received) < FIXED_HEADER_BYTES:
        return None
    size = FIXED_HEADER_BYTES + int.from_bytes(received[14:16], "big")
    if size <= MAX_HEADER_BYTES and len(received) < size:
        return None
    parts = split_header(received, peer)
    if isinstance(parts, Malformed):
        return parts
    caller = decode_header(parts[0], socket.SOCK_STREAM)
    return caller if isinstance(caller, Malformed) else (caller, size)


@lru_cache(maxsize=_CACHED_HEADERS)
def decode_header(
    header: bytes, kind: socket.SocketKind = socket.SOCK_DGRAM
) -> Address | Malformed:
    """Return the caller's address that a PROXY header names.

    Parameters
    ----------
    header : bytes
        The header as received.
    kind : socket.SocketKind
        Kind of socket that the header must name.
    """
    try:
        result = _codec.unpack(header)
    except (ProxyProtocolSyntaxError, ValueError, IndexError) as error:
        return Malformed("decode_header", "", str(error))
    except Exception as error:  # noqa: BLE001
        # The library also raises struct.error and its own errors on bad input.
        return Malformed("decode_header", "", repr(error))
    if not isinstance(result, ProxyResultIPv4 | ProxyResultIPv6):
        return Malformed("decode_header", "", "no IP address in the header")
    if result.protocol != kind:
        return Malformed("decode_header", "", f"header of {result.protocol}")
    return Address(str(result.source[0]), result.source[1])


@lru_cache(maxsize=_CACHED_HEADERS)
def encode_header(
    source: Address,
    destination: Address,
    kind: socket.SocketKind = socket.SOCK_DGRAM,
) -> bytes:
    """Return the PROXY header of a caller's datagram or stream to a service."""
    if ":" in source.host:
        result = ProxyResultIPv6(
            (IPv6Address(source.host), source.port),
            (IPv6Address(destination.host), destination.port),
            protocol=kind,
        )
        return _codec.pack(result)
    result = ProxyResultIPv4(
        (IPv4Address(source.host), source.port),
        (IPv4Address(destination.host), destination.port),
        protocol=kind,
    )
    return _codec.pack(result)
