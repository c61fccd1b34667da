"""The entries that a replica holds after its base."""

from __future__ import annotations

from fulmarshore.core.records import LogBase, LogEntry


class Log:
    """Entries in the order of their indices.

    Parameters
    ----------
    base : LogBase
        The entry before the first one held.
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
        assert self.base.index < index <= self.last_index, "entry is held"
        entry = self.entries[index - self.base.index - 1]
        assert entry.index == index, "entries follow one another"
        return entry

    def list_from(self, index: int, limit: int) -> list[LogEntry]:
        """Return at most ``limit`` entries from an index on."""
        start = index - self.base.index - 1
        assert start >= 0, "entries below the base are gone"
        return self.entries[start : start + limit]

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        assert entry.index == self.last_index + 1, "entries follow one another"
        assert entry.term >= self.last_term, "terms only go up"
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self.entries[index - self.base.index - 1 :]

    def drop_until(self, index: int) -> None:
        """Make the entry at an index the base."""
        if index <= self.base.index:
            return
        term = self.find_term(index)
        del self.entries[: index - self.base.index]
        self.base = LogBase(index, term)

    def reset(self, base: LogBase) -> None:
        """Drop everything and start after a base."""
        self.base = base
        self.entries = []
