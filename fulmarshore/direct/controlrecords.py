"""Events and effects of the core of a control host."""

from __future__ import annotations

from msgspec import Struct

from fulmarshore.core.records import Command
from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.records import Poll, Update

CONTROL_PORT = 0
"""Stands for the port of control hosts, in place of a subscriber's own."""


class Order(Struct, frozen=True):
    """Event: an operator's order that is valid."""

    request: int
    command: Command


class Read(Struct, frozen=True):
    """Event: somebody asks for the newest configuration."""

    request: int


class PollReceived(Struct, frozen=True):
    """Event: a process asks what is new."""

    host: str
    port: int
    poll: Poll


class OrderAccepted(Struct, frozen=True):
    """Effect: the order is in force and survives what the settings bear."""

    request: int


class ReadResult(Struct, frozen=True):
    """Effect: the state that a read is answered with."""

    request: int
    state: OrderState


class RedirectToLeader(Struct, frozen=True):
    """Effect: another control host leads; empty if none is known."""

    request: int
    leader: str


class SendUpdate(Struct, frozen=True):
    """Effect: answer a poll or tell the news; ``port`` may be CONTROL_PORT."""

    update: Update
    host: str
    port: int


class KnownSubscriber(Struct, frozen=True, array_like=True, order=True):
    """A process that polled.

    Parameters
    ----------
    host, port : str, int
        Where it is told the news.
    is_agent : bool
        Whether it told of an upstream, which may hold flows.
    """

    host: str
    port: int
    is_agent: bool


class StoreSubscribers(Struct, frozen=True):
    """Effect: keep the processes that poll, to know of them after a restart."""

    subscribers: tuple[KnownSubscriber, ...]
