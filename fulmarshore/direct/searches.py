"""Finding the agent that holds a flow, when an entry host does not know it.

Only upstreams know. An entry host sends the caller's packet once, with a list
of agents, to one of these; that agent asks the others, collects what they say,
and tells the entry host who holds the flow, or that nobody does. So a search
costs the entry host's link one packet, however many agents there are.
"""

from __future__ import annotations

import socket

from msgspec import Struct

from fulmarshore.direct.packets import (
    HEADER_BYTES,
    MARK_DENIED,
    MARK_HELD,
    MARK_SEARCH,
    MARK_SEEKING,
    Packet,
    make_note,
    mark_packet,
    parse_packet,
)
from fulmarshore.direct.records import SendToAgent, SendToEntry

HOST_BYTES = 4
MAX_ASKED = 4000
"""Agents that one search asks: their addresses fit into a datagram."""
ROUND_S = 2.0
"""How long the agent in charge waits for the others."""
MAX_ROUNDS = 4000

Effects = list


def make_search(packet: Packet, hosts: list[str], return_host: bytes) -> bytes:
    """Return a packet followed by the agents to ask for its flow."""
    asked = b"".join(socket.inet_aton(host) for host in hosts[:MAX_ASKED])
    return mark_packet(packet, MARK_SEARCH, return_host) + asked


def split_search(content: bytes) -> tuple[Packet, list[str]] | None:
    """Return packet and agents of a search; None if it is malformed."""
    if len(content) < HEADER_BYTES:
        return None
    size = HEADER_BYTES + int.from_bytes(content[12:14])
    packet = parse_packet(content[:size])
    asked = content[size:]
    if packet is None or not asked or len(asked) % HOST_BYTES:
        return None
    hosts = [
        socket.inet_ntoa(asked[at : at + HOST_BYTES])
        for at in range(0, len(asked), HOST_BYTES)
    ]
    return packet, hosts


class Round(Struct):
    """A search that an agent is in charge of.

    Parameters
    ----------
    entry : bytes
        The entry host that asked, four bytes.
    waiting : set of bytes
        Agents that have not answered.
    until : float
        When the round is given up.
    """

    entry: bytes
    waiting: set[bytes]
    until: float


class SearchRounds:
    """The searches that an agent carries out for entry hosts.

    Parameters
    ----------
    host : bytes
        Address of the agent, four bytes.
    """

    __slots__ = ("_host", "_rounds")

    def __init__(self, host: bytes) -> None:
        self._host = host
        self._rounds: dict[bytes, Round] = {}

    def begin(self, packet: Packet, hosts: list[str], now: float) -> Effects:
        """Ask all agents for a flow, with the packet itself."""
        self._expire(now)
        waiting = {socket.inet_aton(host) for host in hosts}
        self._rounds[packet.flow] = Round(packet.return_host, waiting, now + ROUND_S)
        marked = mark_packet(packet, MARK_SEEKING, self._host)
        return [SendToAgent(marked, host) for host in hosts]

    def take_note(self, content: bytes) -> Effects:
        """Take an agent's answer: it holds the flow, or it does not."""
        note = parse_packet(content)
        held = self._rounds.get(note.flow) if note is not None else None
        if held is None:
            return []
        if note.mark == MARK_HELD:
            del self._rounds[note.flow]
            return [SendToEntry(content, held.entry)]
        held.waiting.discard(note.return_host)
        if held.waiting:
            return []
        del self._rounds[note.flow]
        return [SendToEntry(make_note(note, MARK_DENIED, self._host), held.entry)]

    def _expire(self, now: float) -> None:
        while self._rounds:
            key = next(iter(self._rounds))
            if now < self._rounds[key].until and len(self._rounds) < MAX_ROUNDS:
                return
            del self._rounds[key]
