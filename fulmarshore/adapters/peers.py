"""The data-path socket of a process, for messages between entry hosts and agents."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from fulmarshore.adapters.channels import Channels
from fulmarshore.adapters.datagrams import Batch, DatagramSocket
from fulmarshore.adapters.sealing import Sealer, SealProblem
from fulmarshore.core.codec import DECODE_ERRORS, decode_data_frame, encode
from fulmarshore.core.records import Address, DataMessage

Messages = list[tuple[DataMessage, Address]]
ReceiveMessages = Callable[[Messages, float], None]


class PeerSocket:
    """Sends and receives messages between entry hosts and agents over UDP.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that watches the socket.
    receive : callable
        Called with the well-formed messages of a batch, each with its source,
        and the time at which the batch was received.
    counters : Counter
        Counts dropped datagrams by reason.
    sealer : Sealer, optional
        Without it datagrams are neither authenticated nor encrypted.
    """

    __slots__ = ("_socket", "_receive", "_counters", "_sealer", "_channels")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        receive: ReceiveMessages,
        counters: Counter[str],
        sealer: Sealer | None = None,
    ) -> None:
        self._sealer = sealer
        self._receive = receive
        self._counters = counters
        self._socket = DatagramSocket(
            loop, receive_batch=self._receive_batch, counters=counters
        )
        self._channels = Channels(self._socket, counters)

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

    def send_all(self, batch: Batch) -> None:
        """Send encoded messages to known peers, over connected sockets."""
        if self._sealer is not None:
            seal = self._sealer.seal
            batch = [(seal(frame), destination) for frame, destination in batch]
        self._channels.send_all(batch)

    def close_unknown_channels(self, is_known: Callable[[Address], bool]) -> None:
        """Close the channels to peers that are no longer known."""
        self._channels.close_unknown(is_known)

    def close(self) -> None:
        """Close all sockets."""
        self._channels.close()
        self._socket.close()

    def _receive_batch(self, batch: Batch) -> None:
        now = time.monotonic()
        if self._sealer is not None:
            batch = self._open_sealed(batch)
        messages: Messages = []
        for frame, source in batch:
            try:
                messages.append((decode_data_frame(frame), source))
            except DECODE_ERRORS:
                self._counters["dropped_malformed"] += 1
        if messages:
            self._receive(messages, now)

    def _open_sealed(self, batch: Batch) -> Batch:
        """Return the frames of the datagrams that open; count the others by reason."""
        frames: Batch = []
        for datagram, source in batch:
            opened = self._sealer.open(datagram)
            if type(opened) is SealProblem:
                self._counters[f"dropped_seal_{opened.value}"] += 1
                continue
            frames.append((opened, source))
        return frames
