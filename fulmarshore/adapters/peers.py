"""The data-path socket of a process: messages in, messages out."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from fulmarshore.adapters.datagrams import DatagramSocket
from fulmarshore.adapters.sealing import Sealer, SealProblem
from fulmarshore.core.codec import decode_data, encode
from fulmarshore.core.records import Address, DataMessage, Malformed, PeerMessage


class PeerSocket:
    """Carries messages between entry hosts and agents over UDP.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that watches the socket.
    receive : callable
        Called with each well-formed message as an event.
    counters : Counter
        Counts what is dropped.
    sealer : Sealer, optional
        Without it datagrams are neither authenticated nor encrypted.
    """

    __slots__ = ("_socket", "_receive", "_counters", "_sealer")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        receive: Callable[[PeerMessage], None],
        counters: Counter[str],
        sealer: Sealer | None = None,
    ) -> None:
        self._sealer = sealer
        self._receive = receive
        self._counters = counters
        self._socket = DatagramSocket(loop, self._take)

    def bind(self, address: Address) -> Address:
        """Bind to an address and return the one in use."""
        return self._socket.bind(address)

    def send(self, message: DataMessage, destination: Address) -> None:
        """Send a message to an entry host or an agent."""
        frame = encode(message)
        if self._sealer is not None:
            frame = self._sealer.seal(frame)
        self._socket.send(frame, destination)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _take(self, frame: bytes, source: Address) -> None:
        if self._sealer is not None:
            opened = self._sealer.open(frame)
            if isinstance(opened, SealProblem):
                self._counters[f"dropped_seal_{opened.value}"] += 1
                return
            frame = opened
        message = decode_data(frame, source[0])
        if isinstance(message, Malformed):
            self._counters["dropped_malformed"] += 1
            return
        self._receive(PeerMessage(source, message))
