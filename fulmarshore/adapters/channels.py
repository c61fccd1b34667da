"""Connected UDP sockets ("channels") to the peers that most datagrams go to.

Each is bound to the same address as the unconnected base socket, so peers see
one source address, and the kernel delivers a peer's datagrams to the socket that
is connected to it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial

from fulmarshore.adapters.datagrams import SEND_ERRORS, Batch, DatagramSocket
from fulmarshore.core.records import Address

MAX_CHANNELS = 256
"""Peers with a connected socket each; further peers share the base socket."""

Send = Callable[[bytes], object]


class Channels:
    """Sends datagrams to peers, over a connected socket per peer up to a limit.

    Parameters
    ----------
    base : DatagramSocket
        The bound socket whose address the channels share.
    counters : Counter
        Counts channels that could not be opened.
    limit : int
        Maximum number of connected sockets.
    """

    __slots__ = ("_base", "_counters", "_limit", "_senders", "_sockets")

    def __init__(
        self,
        base: DatagramSocket,
        counters: Counter[str],
        limit: int = MAX_CHANNELS,
    ) -> None:
        self._base = base
        self._counters = counters
        self._limit = limit
        self._senders: dict[Address, Send] = {}
        self._sockets: dict[Address, DatagramSocket] = {}

    def __len__(self) -> int:
        return len(self._sockets)

    def send_all(self, batch: Batch) -> None:
        """Send frames to peers in the given order.

        A connected socket reports the error of an earlier datagram instead of
        sending the present one, which is then sent from the base socket.
        """
        find_sender = self._senders.get
        for frame, peer in batch:
            send = find_sender(peer) or self._open_channel(peer)
            try:
                send(frame)
            except SEND_ERRORS:
                self._base.send(frame, peer)

    def close_unknown(self, is_known: Callable[[Address], bool]) -> None:
        """Close the channels to unknown peers."""
        for peer in list(self._senders):
            if is_known(peer):
                continue
            del self._senders[peer]
            sock = self._sockets.pop(peer, None)
            if sock is not None:
                sock.close()

    def close(self) -> None:
        """Close all channels."""
        self.close_unknown(lambda peer: False)

    def _open_channel(self, peer: Address) -> Send:
        send: Send = partial(self._base.send, destination=peer)
        if len(self._sockets) < self._limit:
            try:
                sock = self._base.open_connected(peer)
            except OSError:
                self._counters["channels_not_opened"] += 1
            else:
                self._sockets[peer] = sock
                send = sock.send_now
        self._senders[peer] = send
        return send
