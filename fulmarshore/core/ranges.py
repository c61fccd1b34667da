"""Ranges of values that come from outside, as types that decoders check.

A process passes on what it has decoded. MessagePack holds integers of 64 bits, and
sockets take IPv4 addresses and ports only, so wider values must not get that far.
"""

from __future__ import annotations

import re
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_COUNT = 2**32 - 1
"""More than any count of flows, slots or requests that a host can bear."""
MAX_NUMBER = 2**63 - 1
"""Numbers that are only compared, such as versions. One bit less than MessagePack
holds, so that a sum does not exceed it."""
MAX_TEXT = 1024
"""Longest name, in characters: a report with several still fits into one datagram."""
MAX_PORT_DIGITS = 5

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Port = Annotated[int, Meta(ge=0, lt=65536)]
Text = Annotated[str, Meta(max_length=MAX_TEXT)]
_BYTE = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IPV4 = rf"{_BYTE}(\.{_BYTE}){{3}}"
Address = Annotated[str, Meta(pattern=rf"\A{_IPV4}\Z")]
"""An IPv4 address in text form."""
_ADDRESS_PATTERN = re.compile(_IPV4)
OptionalAddress = Annotated[str, Meta(pattern=rf"\A({_IPV4})?\Z")]

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
"""What decoders raise for bytes that are not valid; deep nesting is a
``RecursionError``."""


def is_endpoint(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port, ``ADDRESS:PORT``."""
    host, _, port = text.rpartition(":")
    return parse_port(port) is not None and _ADDRESS_PATTERN.fullmatch(host) is not None


def saturate(value: float, limit: int = MAX_COUNT) -> float:
    """Return a value within 0 and a limit that no real quantity exceeds."""
    return min(max(value, 0), limit)


def parse_port(text: str) -> int | None:
    """Return the port that a text of decimal digits states, or None."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS):
        return None
    port = int(text)
    return port if 0 < port < 65536 else None
