"""Disk faults: full, slow and stalled disks, and unsynced data lost with the power.

Control hosts of a soak run with `FaultyFiles` as their file system. It reads the active
faults from a file that the soak writes, and records in another one, beside the data
folder, which data is unsynced.
"""

from __future__ import annotations

import errno
import os
import threading
import time
from pathlib import Path
from random import Random

import msgspec
from msgspec import Struct

from fulmarshore.adapters.files import FileSystem

FOLDER_VARIABLE = "FULMARSHORE_SOAK_FOLDER"
FAULTS_FILE = "faults.json"
UNSYNCED_FILE = "unsynced.json"
"""Files with the active disk faults of a host and with its unsynced data, in the
folder that the environment variable names."""
STALL_CHECK_S = 0.02
"""How often a stalled operation checks whether the stall was cleared."""


class StorageFaults(Struct):
    """Active faults of one disk.

    Parameters
    ----------
    is_full : bool
        Whether every write fails with ENOSPC.
    is_stalled : bool
        Whether writes and syncs block.
    delay_s : float
        Delay of each write and sync, seconds.
    """

    is_full: bool = False
    is_stalled: bool = False
    delay_s: float = 0.0


class Unsynced(Struct):
    """The part of one file that a loss of power may discard or tear.

    Parameters
    ----------
    synced : int
        Length of the file at the last sync, bytes.
    places : list of tuple of int
        Start and end offsets of bytes overwritten since the last sync.
    """

    synced: int = 0
    places: list[tuple[int, int]] = []


class FaultyFiles(FileSystem):
    """A file system that injects the faults given in a file.

    Parameters
    ----------
    faults_path : Path
        File with the active faults; without it there are none.
    unsynced_path : Path
        File that records the unsynced part of each file.
    """

    __slots__ = ("_faults_path", "_unsynced_path", "_unsynced", "_lock")

    def __init__(self, faults_path: Path, unsynced_path: Path) -> None:
        self._faults_path = faults_path
        self._unsynced_path = unsynced_path
        self._unsynced: dict[str, Unsynced] = {}
        # The log and cache files are written on threads of their own.
        self._lock = threading.RLock()

    def append(self, descriptor: int, content: bytes) -> None:
        """Append, or fail with ENOSPC if the disk is full."""
        self._apply_delay()
        self._refuse_if_full()
        with self._lock:
            self._get_unsynced(descriptor)
            self._write_unsynced()
        super().append(descriptor, content)

    def write_at(self, descriptor: int, content: bytes, offset: int) -> None:
        """Write at an offset, or fail with ENOSPC if the disk is full."""
        self._apply_delay()
        self._refuse_if_full()
        with self._lock:
            unsynced = self._get_unsynced(descriptor)
            unsynced.places = [*unsynced.places, (offset, offset + len(content))]
            self._write_unsynced()
        super().write_at(descriptor, content, offset)

    def sync(self, descriptor: int) -> None:
        """Sync after the delay of the disk."""
        self._apply_delay()
        super().sync(descriptor)
        self._record_synced(descriptor)

    def sync_with_metadata(self, descriptor: int) -> None:
        """Sync after the delay of the disk."""
        self._apply_delay()
        super().sync_with_metadata(descriptor)
        self._record_synced(descriptor)

    def rename(self, source: Path, path: Path) -> None:
        """Rename a file, and keep its record of unsynced data."""
        super().rename(source, path)
        with self._lock:
            self._unsynced[path.name] = self._unsynced.pop(source.name, Unsynced())
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
        with self._lock:
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
    """Read disk faults from a file; a missing file means no faults."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=StorageFaults)
    except FileNotFoundError:
        return StorageFaults()


def write_faults(path: Path, faults: StorageFaults) -> None:
    """Write disk faults to a file atomically."""
    temporary = path.with_suffix(".new")
    temporary.write_bytes(msgspec.json.encode(faults))
    temporary.rename(path)


def discard_unsynced(folder: Path, unsynced_path: Path, random: Random) -> list[str]:
    """Simulate a loss of power on a data folder; return what was lost.

    Of data appended since the last sync, a prefix of random length is kept. Of bytes
    overwritten since then, each one is kept or replaced at random.
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
            losses.append(f"{name}: {len(content) - kept} unsynced bytes at the end")
            del content[kept:]
        path.write_bytes(content)
    return losses
