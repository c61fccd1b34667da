"""An operator of a measurement, who keeps links to all control hosts."""

from __future__ import annotations

import asyncio
import time

import zmq.asyncio

from fulmarshore.adapters.links import LinkClient
from fulmarshore.core.records import (
    Address,
    Change,
    ChangeReply,
    ChangeStatus,
    ControlMessage,
    Declaration,
)
from fulmarshore.standins.cluster import format_address

ASK_TIMEOUT_S = 0.3
WAIT_TIMEOUT_S = 30.0


class Client:
    """An operator who keeps links to all control hosts."""

    def __init__(self, context: zmq.asyncio.Context, addresses: list[Address]) -> None:
        self.names = [format_address(address) for address in addresses]
        controls = dict(zip(self.names, addresses, strict=True))
        self._links = LinkClient(context, controls, self._take)
        self._current = 0
        self._number = 1
        self._waiting: asyncio.Future[ChangeReply] | None = None
        self.accepted: dict[int, int] = {}

    async def submit(self, items: list[Declaration]) -> ChangeReply:
        """Submit a change until its outcome is known."""
        change = Change(self._number, "bench", items, [])
        until = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < until:
            reply = await self._ask(change)
            if reply is None or reply.status == ChangeStatus.UNAVAILABLE:
                self._current = (self._current + 1) % len(self.names)
                continue
            if reply.status != ChangeStatus.ACCEPTED:
                raise RuntimeError(f"change not accepted: {reply!r}")
            self._number += 1
            self.accepted[change.number] = reply.version
            return reply
        raise TimeoutError("no control host accepts changes")

    def close(self) -> None:
        """Close the links."""
        self._links.close()

    async def _ask(self, change: Change) -> ChangeReply | None:
        self._waiting = asyncio.get_running_loop().create_future()
        self._links.send(self.names[self._current], change)
        try:
            return await asyncio.wait_for(self._waiting, ASK_TIMEOUT_S)
        except TimeoutError:
            self._links.reset(self.names[self._current])
            return None

    def _take(self, name: str, message: ControlMessage) -> None:
        if not isinstance(message, ChangeReply) or message.number != self._number:
            return
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(message)
