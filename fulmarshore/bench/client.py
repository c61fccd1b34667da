"""Client that submits an operator's changes over links to all control hosts.

Used by measurements that run real daemons.
"""

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

REPLY_TIMEOUT_S = 0.3
WAIT_TIMEOUT_S = 30.0


class OperatorClient:
    """Submits changes to one control host at a time, with links to all of them.

    It tries the next control host when one does not reply or is unavailable.
    """

    def __init__(self, context: zmq.asyncio.Context, addresses: list[Address]) -> None:
        self.names = [format_address(address) for address in addresses]
        controls = dict(zip(self.names, addresses, strict=True))
        self._links = LinkClient(context, controls, self._handle_message)
        self._current = 0
        self._number = 1
        self._pending_reply: asyncio.Future[ChangeReply] | None = None
        self.accepted: dict[int, int] = {}

    async def submit(self, items: list[Declaration]) -> ChangeReply:
        """Submit a change, with retries, until a control host accepts it.

        Raises
        ------
        RuntimeError
            A control host rejects the change.
        TimeoutError
            No control host accepts it within `WAIT_TIMEOUT_S`.
        """
        change = Change(self._number, "bench", items, [])
        until = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < until:
            reply = await self._send_and_wait(change)
            if reply is None or reply.status == ChangeStatus.UNAVAILABLE:
                self._current = (self._current + 1) % len(self.names)
                continue
            if reply.status != ChangeStatus.ACCEPTED:
                raise RuntimeError(f"change not accepted: {reply!r}")
            self._number += 1
            self.accepted[change.number] = reply.version
            return reply
        raise TimeoutError("no control host accepted the change in time")

    def close(self) -> None:
        """Close the links."""
        self._links.close()

    async def _send_and_wait(self, change: Change) -> ChangeReply | None:
        self._pending_reply = asyncio.get_running_loop().create_future()
        self._links.send(self.names[self._current], change)
        try:
            return await asyncio.wait_for(self._pending_reply, REPLY_TIMEOUT_S)
        except TimeoutError:
            self._links.reset(self.names[self._current])
            return None

    def _handle_message(self, name: str, message: ControlMessage) -> None:
        if not isinstance(message, ChangeReply) or message.number != self._number:
            return
        if self._pending_reply is not None and not self._pending_reply.done():
            self._pending_reply.set_result(message)
