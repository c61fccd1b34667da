"""Events and effects of the core of a control host."""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.core.ranges import Address, Port
from fulmarshore.core.records import Command
from fulmarshore.direct.keptflowsfile import StoredGroup
from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.records import Poll, Update

CONTROL_PORT = 0
"""Placeholder for the port of control hosts in ``SendUpdate.port``."""


class Order(Struct, frozen=True):
    """Event: an operator sent a valid order."""

    request: int
    command: Command


class Read(Struct, frozen=True):
    """Event: an operator asked for the newest configuration."""

    request: int


class PollReceived(Struct, frozen=True):
    """Event: a process polled this control host."""

    host: str
    port: int
    poll: Poll


class OrderAccepted(Struct, frozen=True):
    """Effect: confirm an order; it is in force and survives the tolerated faults."""

    request: int


class ReadResult(Struct, frozen=True):
    """Effect: answer a read with the newest state."""

    request: int
    state: OrderState


class RedirectToLeader(Struct, frozen=True):
    """Effect: redirect a request to the leader; empty if none is known."""

    request: int
    leader: str


class SendUpdate(Struct, frozen=True):
    """Effect: send an update to a process; ``port`` may be CONTROL_PORT."""

    update: Update
    host: str
    port: int


class KnownSubscriber(Struct, frozen=True, array_like=True, order=True):
    """A process that polled, as stored for a restart.

    Parameters
    ----------
    host, port : str, int
        Address for updates.
    is_agent : bool
        Whether it reported an upstream that may hold flows.
    """

    host: Address
    port: Port
    is_agent: bool


class StoreSubscribers(Struct, frozen=True):
    """Effect: store the processes that poll, for use after a restart."""

    subscribers: tuple[KnownSubscriber, ...]


class StoreKeptFlows(Struct, frozen=True):
    """Effect: store the register of kept flows, for use after a restart."""

    groups: list[StoredGroup]
