"""Search for the agent that holds a flow, coordinated by an agent.

Only upstreams know their flows. An entry host sends the caller's packet once, with a
list of agents, to one of these. That agent, the coordinator, probes all of them,
collects their answers, and tells the entry host which agent holds the flow, or that
none does. So a search costs the entry host one packet, however many agents there are.
"""

from __future__ import annotations

import socket

from msgspec import Struct

from fulmarshore.direct.packets import (
    HEADER_BYTES,
    MARK_HELD,
    MARK_NOT_FOUND,
    MARK_PROBE,
    MARK_SEARCH,
    Packet,
    make_notice,
    mark_packet,
    parse_packet,
)
from fulmarshore.direct.records import SendToAgent, SendToEntry

HOST_BYTES = 4
MAX_SEARCHED_AGENTS = 4000
"""Agents in one search; their addresses fit into a datagram."""
SEARCH_TIMEOUT_S = 2.0
"""How long the coordinator waits for answers."""
MAX_SEARCHES = 4000
"""Searches that one agent coordinates at the same time."""

Effects = list


def make_search(packet: Packet, hosts: list[str], return_host: bytes) -> bytes:
    """Return a packet, marked as a search, followed by the agents to probe."""
    addresses = b"".join(socket.inet_aton(host) for host in hosts[:MAX_SEARCHED_AGENTS])
    return mark_packet(packet, MARK_SEARCH, return_host) + addresses


def split_search(content: bytes) -> tuple[Packet, list[str]] | None:
    """Return the packet and the agents of a search; None if it is malformed."""
    if len(content) < HEADER_BYTES:
        return None
    size = HEADER_BYTES + int.from_bytes(content[12:14])
    packet = parse_packet(content[:size])
    addresses = content[size:]
    if packet is None or not addresses or len(addresses) % HOST_BYTES:
        return None
    hosts = [
        socket.inet_ntoa(addresses[at : at + HOST_BYTES])
        for at in range(0, len(addresses), HOST_BYTES)
    ]
    return packet, hosts


class Search(Struct):
    """A search that an agent coordinates.

    Parameters
    ----------
    entry_host : bytes
        The entry host that sent the search, four bytes.
    unanswered : set of bytes
        Agents that have not answered.
    deadline : float
        When the search is abandoned.
    """

    entry_host: bytes
    unanswered: set[bytes]
    deadline: float


class SearchCoordinator:
    """The searches that an agent coordinates for entry hosts.

    Parameters
    ----------
    host : bytes
        Address of the agent, four bytes.
    """

    __slots__ = ("_host", "_searches")

    def __init__(self, host: bytes) -> None:
        self._host = host
        self._searches: dict[bytes, Search] = {}

    def start_search(self, packet: Packet, hosts: list[str], now: float) -> Effects:
        """Probe the listed agents for a flow by sending each the packet."""
        self._expire(now)
        unanswered = {socket.inet_aton(host) for host in hosts}
        self._searches[packet.flow] = Search(
            packet.return_host, unanswered, now + SEARCH_TIMEOUT_S
        )
        marked = mark_packet(packet, MARK_PROBE, self._host)
        return [SendToAgent(marked, host) for host in hosts]

    def handle_notice(self, content: bytes) -> Effects:
        """Process the answer of a probed agent; notify the entry host of a result."""
        notice = parse_packet(content)
        search = self._searches.get(notice.flow) if notice is not None else None
        if search is None:
            return []
        if notice.mark == MARK_HELD:
            del self._searches[notice.flow]
            return [SendToEntry(content, search.entry_host)]
        search.unanswered.discard(notice.return_host)
        if search.unanswered:
            return []
        del self._searches[notice.flow]
        return [
            SendToEntry(
                make_notice(notice, MARK_NOT_FOUND, self._host), search.entry_host
            )
        ]

    def _expire(self, now: float) -> None:
        while self._searches:
            key = next(iter(self._searches))
            if (
                now < self._searches[key].deadline
                and len(self._searches) < MAX_SEARCHES
            ):
                return
            del self._searches[key]
