"""Checks of the source address of messages against the table.

Without keys this rejects unknown senders and misdirected messages, but no
forged ones: any process that can send from a member's address is accepted as
that member.
"""

from __future__ import annotations

from fulmarshore.core.addresses import is_address
from fulmarshore.core.records import Address, Delta, EntryHost, Member
from fulmarshore.routing.table import Table

MAX_REQUESTED = 64
"""Latest sources that a delta was requested from; they may be unknown senders."""


class KnownPeers:
    """The addresses in a table, and the sources of requested deltas."""

    __slots__ = ("_addresses", "_requested")

    def __init__(self, table: Table) -> None:
        self._requested: dict[tuple[str, int], None] = {}
        self.update(table)

    def update(self, table: Table) -> None:
        """Replace the addresses by those of a new table."""
        self._addresses = {(entry.host, entry.port) for entry in table.entries.values()}
        for service in table.services.values():
            self._addresses |= {(m.host, m.port) for m in service.members}

    def is_known(self, source: Address) -> bool:
        """Return whether a source is an entry host or an agent in the table."""
        return (source[0], source[1]) in self._addresses

    def record_request(self, source: Address) -> None:
        """Record that a newer view was requested from a source."""
        self._requested[(source[0], source[1])] = None
        if len(self._requested) > MAX_REQUESTED:
            del self._requested[next(iter(self._requested))]

    def can_accept_delta(self, source: Address, delta: Delta) -> bool:
        """Return whether a delta may be applied.

        It has to come from a known peer or a source that it was requested from,
        and must not contain an address that can't be sent to.
        """
        if not self.is_known(source) and (source[0], source[1]) not in self._requested:
            return False
        for stamped in delta.items:
            item = stamped.item
            if not isinstance(item, Member | EntryHost):
                continue
            if not is_address(item.host, item.port):
                return False
        return True
