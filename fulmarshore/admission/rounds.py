"""One asking of all members by a home that settles buckets."""

from __future__ import annotations

from fulmarshore.core.records import Address, ClaimsReply, Identity, KnownHome

FORMER_WAIT_S = 3.0
"""Wait for an agent out of the table, until its lease is over."""


class Round:
    """One asking of all members about some buckets."""

    __slots__ = (
        "query",
        "version",
        "buckets",
        "began",
        "sent_at",
        "missing",
        "former",
        "replies",
    )

    def __init__(
        self,
        query: int,
        version: int,
        buckets: set[int],
        asked: dict[Identity, Address],
        former: dict[Identity, Address],
        now: float,
    ) -> None:
        self.query = query
        self.version = version
        self.buckets = buckets
        self.began = now
        self.sent_at = float("-inf")
        self.missing: dict[Identity, Address] = {**asked, **former}
        self.former = set(former)
        self.replies: dict[Identity, dict[int, ClaimsReply]] = {}

    def is_complete(self, now: float) -> bool:
        """Return whether nobody is waited for any more."""
        if not self.missing:
            return True
        if not self.former.issuperset(self.missing):
            return False
        return now - self.began >= FORMER_WAIT_S

    def list_answered(self) -> set[Identity]:
        """Return who answered completely."""
        return {peer for peer in self.replies if peer not in self.missing}

    def list_homes(self) -> list[tuple[Identity, KnownHome]]:
        """Return what the peers know about earlier homes, and who knows it."""
        found = []
        for peer, parts in self.replies.items():
            for reply in parts.values():
                found += [(peer, home) for home in reply.homes]
        return found
