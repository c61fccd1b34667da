"""Packets held until it is known which agent arbitrates their flow."""

from __future__ import annotations

from collections import deque

from fulmarshore.core.records import Address, Forward

MAX_HELD_PACKETS = 2048
MAX_HELD_BYTES = 4 * 1024 * 1024
HOLD_TIMEOUT_S = 5.0
"""Longest time that a packet is held.

Longer than a lease, after which no agent waits for an unresponsive peer.
"""


class HeldPackets:
    """A bounded queue of packets, in the order of their arrival."""

    __slots__ = ("_queue", "_bytes")

    def __init__(self) -> None:
        self._queue: deque[tuple[float, Forward, Address]] = deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._queue)

    def hold(self, packet: Forward, source: Address, now: float) -> bool:
        """Hold a packet; return False if the queue is full."""
        size = len(packet.payload)
        if len(self._queue) >= MAX_HELD_PACKETS or self._bytes + size > MAX_HELD_BYTES:
            return False
        self._queue.append((now, packet, source))
        self._bytes += size
        return True

    def pop_all(self) -> list[tuple[float, Forward, Address]]:
        """Remove and return all packets, with their arrival times."""
        packets = list(self._queue)
        self._queue.clear()
        self._bytes = 0
        return packets

    def restore(self, packets: list[tuple[float, Forward, Address]]) -> None:
        """Put back packets that stay held, ahead of newer ones."""
        for entry in reversed(packets):
            self._queue.appendleft(entry)
            self._bytes += len(entry[1].payload)

    def pop_expired(self, now: float) -> list[Forward]:
        """Remove and return the packets held for longer than the timeout."""
        expired = []
        while self._queue and now - self._queue[0][0] >= HOLD_TIMEOUT_S:
            _, packet, _ = self._queue.popleft()
            self._bytes -= len(packet.payload)
            expired.append(packet)
        return expired
