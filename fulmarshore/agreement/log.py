"""The in-memory log of a replica: the entries after its last compaction."""

from __future__ import annotations

from fulmarshore.core.records import LogBase, LogEntry


class Log:
    """Log entries with consecutive indices after a base.

    Parameters
    ----------
    base : LogBase
        Index and term of the entry before the first one held.
    entries : list of LogEntry
        The entries after the base.
    """

    __slots__ = ("base", "entries")

    def __init__(self, base: LogBase, entries: list[LogEntry]) -> None:
        self.base = base
        self.entries = entries

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.entries[-1].term if self.entries else self.base.term

    def find_term(self, index: int) -> int:
        """Return the term of the entry at an index not below the base."""
        if index == self.base.index:
            return self.base.term
        return self.get(index).term

    def get(self, index: int) -> LogEntry:
        """Return the entry at an index above the base."""
        assert self.base.index < index <= self.last_index, "entry is in the log"
        entry = self.entries[index - self.base.index - 1]
        assert entry.index == index, "indices are consecutive"
        return entry

    def list_from(self, index: int, limit: int) -> list[LogEntry]:
        """Return at most ``limit`` entries from an index on."""
        start = index - self.base.index - 1
        assert start >= 0, "entries up to the base are compacted"
        return self.entries[start : start + limit]

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        assert entry.index == self.last_index + 1, "indices are consecutive"
        assert entry.term >= self.last_term, "terms never decrease"
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self.entries[index - self.base.index - 1 :]

    def drop_until(self, index: int) -> None:
        """Drop the entries up to an index, which becomes the base."""
        if index <= self.base.index:
            return
        term = self.find_term(index)
        del self.entries[: index - self.base.index]
        self.base = LogBase(index, term)

    def reset(self, base: LogBase) -> None:
        """Drop all entries and continue after a new base."""
        self.base = base
        self.entries = []
