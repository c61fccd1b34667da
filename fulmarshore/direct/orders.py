"""The operator's orders as a state machine over the replicated log.

The highest version of a configuration is in force, whatever the order in which
versions arrive, and availability zones are out until they are taken back.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from fulmarshore.core.records import Command, PutConfiguration, PutZone


class OrderState(Struct, frozen=True, array_like=True):
    """What the log adds up to.

    Parameters
    ----------
    version : int
        The operator's version of the configuration in force; 0 before any.
    content : bytes
        The configuration as the operator sent it, compressed.
    zones_out : tuple of str
        Availability zones out of service, in alphabetical order.
    """

    version: int = 0
    content: bytes = b""
    zones_out: tuple[str, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(OrderState)


def apply_order(state: OrderState, command: Command) -> OrderState:
    """Return the state after a committed command."""
    match command:
        case PutConfiguration(version=version, content=content):
            if version <= state.version:
                return state
            return OrderState(version, content, state.zones_out)
        case PutZone(zone=zone, is_out=is_out):
            zones = set(state.zones_out)
            if is_out:
                zones.add(zone)
            else:
                zones.discard(zone)
            return OrderState(state.version, state.content, tuple(sorted(zones)))
    return state


def encode_state(state: OrderState) -> bytes:
    """Encode a state for a snapshot."""
    return _encoder.encode(state)


def decode_state(content: bytes) -> OrderState:
    """Decode the state of a snapshot; an empty one is that of a new group."""
    return _decoder.decode(content) if content else OrderState()
