"""One asking of all members by a home that settles buckets."""

from __future__ import annotations

from fulmarshore.core.records import Address, ClaimsReply, Identity, KnownHome

FORMER_MEMBER_WAIT_S = 3.0
"""Wait for an agent out of the table, until its lease is over."""


class QueryRound:
    """One asking of all members about some buckets."""

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
        """Return whether nobody is waited for any more."""
        if not self.pending:
            return True
        if not self.former.issuperset(self.pending):
            return False
        return now - self.started_at >= FORMER_MEMBER_WAIT_S

    def list_answered(self) -> set[Identity]:
        """Return who answered completely."""
        return {peer for peer in self.replies if peer not in self.pending}

    def list_homes(self) -> list[tuple[Identity, KnownHome]]:
        """Return what the peers know about earlier homes, and who knows it."""
        found = []
        for peer, parts in self.replies.items():
            for reply in parts.values():
                found += [(peer, home) for home in reply.homes]
        return found
