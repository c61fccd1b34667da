"""Storage that misbehaves: slow, full, stalled, and torn at a loss of power.

The programs of a soak run with ``FaultyFiles`` in place of the file system. Which
faults are in force stands in a small file that the soak writes, and what a loss of
power may take is noted in another one, beside the data folder.
"""

from __future__ import annotations

import errno
import os
import time
from pathlib import Path
from random import Random

import msgspec
from msgspec import Struct

from fulmarshore.adapters.files import FileSystem

FOLDER_VARIABLE = "FULMARSHORE_SOAK_FOLDER"
FAULTS_FILE = "faults.json"
UNSYNCED_FILE = "unsynced.json"
"""Where a program finds the faults of its disk, and notes what is not synced."""
STALL_CHECK_S = 0.02
"""How often a stalled disk looks whether it may go on."""


class StorageFaults(Struct):
    """What is wrong with one disk at present.

    Parameters
    ----------
    is_full : bool
        Whether every write is refused.
    is_stalled : bool
        Whether nothing is answered.
    delay_s : float
        How long each sync takes, seconds.
    """

    is_full: bool = False
    is_stalled: bool = False
    delay_s: float = 0.0


class Unsynced(Struct):
    """What a loss of power may take from one file.

    Parameters
    ----------
    synced : int
        Length of the file that is safe.
    places : list of tuple of int
        Begin and end of what was written over older bytes since the last sync.
    """

    synced: int = 0
    places: list[tuple[int, int]] = []


class FaultyFiles(FileSystem):
    """A file system with the faults that stand in a file.

    Parameters
    ----------
    faults_path : Path
        Where the faults in force stand; none where it is missing.
    unsynced_path : Path
        Where it is noted what a loss of power may take.
    """

    __slots__ = ("_faults_path", "_unsynced_path", "_unsynced")

    def __init__(self, faults_path: Path, unsynced_path: Path) -> None:
        self._faults_path = faults_path
        self._unsynced_path = unsynced_path
        self._unsynced: dict[str, Unsynced] = {}

    def append(self, descriptor: int, content: bytes) -> None:
        """Write, if the disk is not full."""
        self._apply_delay()
        self._refuse_if_full()
        self._get_unsynced(descriptor)
        self._write_unsynced()
        super().append(descriptor, content)

    def write_at(self, descriptor: int, content: bytes, offset: int) -> None:
        """Write, if the disk is not full."""
        self._apply_delay()
        self._refuse_if_full()
        unsynced = self._get_unsynced(descriptor)
        unsynced.places = [*unsynced.places, (offset, offset + len(content))]
        self._write_unsynced()
        super().write_at(descriptor, content, offset)

    def sync(self, descriptor: int) -> None:
        """Sync, as slowly as the disk is."""
        self._apply_delay()
        super().sync(descriptor)
        self._record_synced(descriptor)

    def sync_with_metadata(self, descriptor: int) -> None:
        """Sync, as slowly as the disk is."""
        self._apply_delay()
        super().sync_with_metadata(descriptor)
        self._record_synced(descriptor)

    def rename(self, former: Path, path: Path) -> None:
        """Rename; what is noted of the file goes with it."""
        super().rename(former, path)
        self._unsynced[path.name] = self._unsynced.pop(former.name, Unsynced())
        self._write_unsynced()

    def _apply_delay(self) -> None:
        while (faults := read_faults(self._faults_path)).is_stalled:
            time.sleep(STALL_CHECK_S)
        time.sleep(faults.delay_s)

    def _refuse_if_full(self) -> None:
        if read_faults(self._faults_path).is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def _get_unsynced(self, descriptor: int) -> Unsynced:
        name = Path(os.readlink(f"/proc/self/fd/{descriptor}")).name
        unsynced = self._unsynced.get(name)
        if unsynced is None:
            size = os.fstat(descriptor).st_size
            unsynced = self._unsynced[name] = Unsynced(size)
        return unsynced

    def _record_synced(self, descriptor: int) -> None:
        unsynced = self._get_unsynced(descriptor)
        unsynced.synced = os.fstat(descriptor).st_size
        unsynced.places = []
        self._write_unsynced()

    def _write_unsynced(self) -> None:
        content = msgspec.json.encode(self._unsynced)
        temporary = self._unsynced_path.with_suffix(".new")
        temporary.write_bytes(content)
        temporary.rename(self._unsynced_path)


def read_faults(path: Path) -> StorageFaults:
    """Return the faults that stand in a file."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=StorageFaults)
    except FileNotFoundError:
        return StorageFaults()


def write_faults(path: Path, faults: StorageFaults) -> None:
    """Put faults in force, all at once."""
    temporary = path.with_suffix(".new")
    temporary.write_bytes(msgspec.json.encode(faults))
    temporary.rename(path)


def discard_unsynced(folder: Path, unsynced_path: Path, random: Random) -> list[str]:
    """Take from a data folder what a loss of power may take; what it took.

    Of what was appended since the last sync any part may be there, and of what
    was written over older bytes any bytes.
    """
    losses: list[str] = []
    if not unsynced_path.exists():
        return losses
    unsynced_files = msgspec.json.decode(
        unsynced_path.read_bytes(), type=dict[str, Unsynced]
    )
    for name, unsynced in unsynced_files.items():
        path = folder / name
        if not path.exists():
            continue
        content = bytearray(path.read_bytes())
        for begin, end in unsynced.places:
            for position in range(begin, min(end, len(content))):
                if random.random() < 0.5:
                    content[position] = random.randrange(256)
            losses.append(f"{name}: bytes {begin} to {end} torn")
        if len(content) > unsynced.synced:
            kept = random.randint(unsynced.synced, len(content))
            losses.append(f"{name}: {len(content) - kept} of the last bytes")
            del content[kept:]
        path.write_bytes(content)
    return losses
