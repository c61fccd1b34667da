"""The data-path socket of a process: messages in, messages out."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from fulmarshore.adapters.datagrams import (
    RECEIVE_BATCH,
    RECEIVE_BYTES,
    DatagramSocket,
    ReceiveFrom,
)
from fulmarshore.adapters.sealing import Sealer, SealProblem
from fulmarshore.core.codec import DECODE_ERRORS, decode_data_frame, encode
from fulmarshore.core.records import Address, DataMessage

ReceiveMessage = Callable[[DataMessage, Address, float], None]


class PeerSocket:
    """Carries messages between entry hosts and agents over UDP.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that watches the socket.
    receive : callable
        Called with each well-formed message, its source, and the time at
        which the batch was begun that it came in.
    counters : Counter
        Counts what is dropped.
    sealer : Sealer, optional
        Without it datagrams are neither authenticated nor encrypted.
    """

    __slots__ = ("_socket", "_receive", "_counters", "_sealer")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        receive: ReceiveMessage,
        counters: Counter[str],
        sealer: Sealer | None = None,
    ) -> None:
        self._sealer = sealer
        self._receive = receive
        self._counters = counters
        self._socket = DatagramSocket(loop, drain=self._drain, counters=counters)

    def bind(self, address: Address) -> Address:
        """Bind to an address and return the one in use."""
        return self._socket.bind(address)

    def send(self, message: DataMessage, destination: Address) -> None:
        """Send a message to an entry host or an agent."""
        self.send_frame(encode(message), destination)

    def send_frame(self, frame: bytes, destination: Address) -> None:
        """Send an encoded message."""
        if self._sealer is not None:
            frame = self._sealer.seal(frame)
        self._socket.send(frame, destination)

    @property
    def sender(self) -> Callable[[bytes, Address], None]:
        """What sends an encoded message, without a layer that is not needed."""
        return self._socket.send if self._sealer is None else self.send_frame

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _drain(self, receive_from: ReceiveFrom) -> None:
        now = time.monotonic()
        receive = self._receive
        sealer = self._sealer
        for _ in range(RECEIVE_BATCH):
            frame, source = receive_from(RECEIVE_BYTES)
            if sealer is not None:
                opened = sealer.open(frame)
                if type(opened) is SealProblem:
                    self._counters[f"dropped_seal_{opened.value}"] += 1
                    continue
                frame = opened
            try:
                message = decode_data_frame(frame)
            except DECODE_ERRORS:
                self._counters["dropped_malformed"] += 1
                continue
            receive(message, source, now)
