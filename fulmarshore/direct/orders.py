"""Operators' orders as a state machine over the replicated log.

The configuration with the highest version is in force, whatever the order in which
versions arrive. Availability zones stay out until they are taken back in.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from fulmarshore.core.records import Command, PutConfiguration, PutZone


class OrderState(Struct, frozen=True, array_like=True):
    """State after the committed entries of the log.

    Parameters
    ----------
    version : int
        The operator's version of the configuration in force; 0 before any.
    content : bytes
        The configuration as the operator sent it, compressed.
    zones_out : tuple of str
        Availability zones out of service, in alphabetical order.
    index : int
        Log index of the last change, the same on every host.
    """

    version: int = 0
    content: bytes = b""
    zones_out: tuple[str, ...] = ()
    index: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(OrderState)


def apply_order(state: OrderState, command: Command, index: int) -> OrderState:
    """Return the state after a committed command at an index of the log."""
    match command:
        case PutConfiguration(version=version, content=content):
            if version <= state.version:
                return state
            return OrderState(version, content, state.zones_out, index)
        case PutZone(zone=zone, is_out=is_out):
            if (zone in state.zones_out) == is_out:
                return state
            zones = set(state.zones_out) ^ {zone}
            ordered = tuple(sorted(zones))
            return OrderState(state.version, state.content, ordered, index)
    return state


def encode_state(state: OrderState) -> bytes:
    """Encode a state for a snapshot."""
    return _encoder.encode(state)


def decode_state(content: bytes) -> OrderState:
    """Decode the state of a snapshot; that of a new group is empty."""
    return _decoder.decode(content) if content else OrderState()
