"""An in-memory disk for simulated control hosts.

A crash loses the writes that were not synced, except for a torn part of them.
Full disks and I/O errors are not modelled.
"""

from __future__ import annotations

from random import Random

from fulmarshore.agreement.storage import (
    MARK_SLOT_BYTES,
    encode_mark,
    encode_record,
    read_log,
    read_mark,
)
from fulmarshore.core.records import DamagedFile, FileHeader, Recovered, Store


class FakeDisk:
    """The log file and its mark, encoded as the adapter of real disks does.

    Parameters
    ----------
    name : str
        Name of the control host.
    random : Random
        Chooses how much of the unsynced writes survives a crash.
    """

    def __init__(self, name: str, random: Random) -> None:
        self.name = name
        self.random = random
        self.content = b""
        self.synced = 0
        self.mark = bytearray(MARK_SLOT_BYTES * 2)
        self.pending: list[Store] = []
        self._generation = 0
        self._slot = 0

    @property
    def is_empty(self) -> bool:
        """Whether nothing was synced yet."""
        return not self.content

    def submit(self, store: Store) -> None:
        """Queue a write until it is synced."""
        self.pending.append(store)

    def sync(self) -> int | None:
        """Sync the oldest write and return its sequence; None if there is none."""
        if not self.pending:
            return None
        store = self.pending.pop(0)
        frames = b"".join(encode_record(record) for record in store.records)
        if store.replace:
            header = store.records[0]
            assert isinstance(header, FileHeader)
            self._generation = header.generation
            self.content = frames
        else:
            self.content += frames
        self._write_mark()
        return store.sequence

    def crash(self) -> None:
        """Lose the unsynced writes, except for a random part of their beginning."""
        appended = b""
        for store in self.pending:
            if store.replace:
                break
            appended += b"".join(encode_record(record) for record in store.records)
        self.pending.clear()
        if self.content and appended:
            self.content += appended[: self.random.randint(0, len(appended))]

    def read(self) -> Recovered | DamagedFile:
        """Read the files as a starting control host does; cut a torn tail."""
        outcome = read_log(self.content, read_mark(bytes(self.mark)), self.name)
        if isinstance(outcome, Recovered):
            self.content = self.content[: outcome.size]
            self._generation = outcome.generation
        return outcome

    def wipe(self) -> None:
        """Empty the disk, as if it was replaced."""
        self.__init__(self.name, self.random)

    def damage(self, offset: int) -> None:
        """Flip a bit of the log file."""
        changed = bytearray(self.content)
        changed[offset] ^= 1
        self.content = bytes(changed)

    def _write_mark(self) -> None:
        slot = encode_mark(self._generation, len(self.content))
        start = self._slot * MARK_SLOT_BYTES
        self.mark[start : start + len(slot)] = slot
        self._slot = 1 - self._slot
