"""Query rounds of a home agent that takes over buckets.

The home agent of a bucket coordinates all requests of that bucket.
"""

from __future__ import annotations

from fulmarshore.core.records import Address, ClaimsReply, Identity, KnownHome

FORMER_MEMBER_WAIT_S = 3.0
"""Wait for an agent that left the table, until its lease has ended."""


class QueryRound:
    """Queries to all members for the claims in some buckets, with their replies."""

    __slots__ = (
        "query",
        "version",
        "buckets",
        "started_at",
        "sent_at",
        "pending",
        "former",
        "replies",
    )

    def __init__(
        self,
        query: int,
        version: int,
        buckets: set[int],
        members: dict[Identity, Address],
        former: dict[Identity, Address],
        now: float,
    ) -> None:
        self.query = query
        self.version = version
        self.buckets = buckets
        self.started_at = now
        self.sent_at = float("-inf")
        self.pending: dict[Identity, Address] = {**members, **former}
        self.former = set(former)
        self.replies: dict[Identity, dict[int, ClaimsReply]] = {}

    def is_complete(self, now: float) -> bool:
        """Return whether no more replies are awaited."""
        if not self.pending:
            return True
        if not self.former.issuperset(self.pending):
            return False
        return now - self.started_at >= FORMER_MEMBER_WAIT_S

    def list_answered(self) -> set[Identity]:
        """Return the peers that sent all parts of their reply."""
        return {peer for peer in self.replies if peer not in self.pending}

    def list_homes(self) -> list[tuple[Identity, KnownHome]]:
        """Return the earlier homes in the replies, each with the reporting peer."""
        found = []
        for peer, parts in self.replies.items():
            for reply in parts.values():
                found += [(peer, home) for home in reply.homes]
        return found
