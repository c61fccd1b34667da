"""The data folder of a control host, and the thread that writes its log file."""

from __future__ import annotations

import errno
import fcntl
import os
import queue
import secrets
import stat
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from fulmarshore.adapters.files import FileSystem
from fulmarshore.agreement.storage import (
    LOG_FILE,
    MARK_FILE,
    MARK_SLOT_BYTES,
    encode_mark,
    encode_record,
    read_log,
    read_mark,
)
from fulmarshore.core.records import (
    DamagedFile,
    FileHeader,
    LogBase,
    Recovered,
    ReplicaId,
    Store,
    TermVote,
)

LOCK_FILE = "lock"
FOLDER_MODE = 0o700
FILE_MODE = 0o600
DISK_ID_BYTES = 8
FORBIDDEN_MODE_BITS = 0o077
RETRYABLE_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)
"""Errors of writes that may succeed later: the disk is full or has a fault."""
RETRY_INTERVAL_S = 0.1
"""Pause before a failed write is retried."""

OS_FILE_SYSTEM = FileSystem()

OnSynced = Callable[[int], None]
OnError = Callable[[OSError], None]
OnFailure = Callable[[Exception], None]


@dataclass(frozen=True, slots=True)
class DataFolderProblem:
    """The reason why a data folder cannot be used."""

    step: str
    peer: str
    folder: str
    detail: str


class DataFolder:
    """The data folder of one control host, locked while it is open.

    Parameters
    ----------
    path : Path
        The folder; created if it does not exist.
    name : str
        Name of the control host.
    checks_mode : bool
        Whether a folder that other users can access is refused; False where
        the platform creates the folder.
    """

    def __init__(self, path: Path, name: str, checks_mode: bool = True) -> None:
        self.path = path
        self.name = name
        self._checks_mode = checks_mode
        self._lock: int | None = None

    def open(self) -> DataFolderProblem | None:
        """Create, check and lock the folder."""
        try:
            self.path.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
            mode = stat.S_IMODE(self.path.stat().st_mode)
            if self._checks_mode and mode & FORBIDDEN_MODE_BITS:
                return self._make_problem(
                    f"mode {mode:03o}, allowed is {FOLDER_MODE:03o}"
                )
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            self._lock = os.open(self.path / LOCK_FILE, flags, FILE_MODE)
        except OSError as error:
            return self._make_problem(error.strerror or str(error))
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            return self._make_problem("another process uses it")
        return None

    def read(self) -> Recovered | DamagedFile:
        """Read the log file; an empty folder gives a new replica.

        A torn tail that was never synced is truncated.
        """
        log = self.path / LOG_FILE
        mark = self.path / MARK_FILE
        if not log.exists() and not mark.exists():
            return make_new_replica(self.name)
        content = log.read_bytes() if log.exists() else b""
        marked = read_mark(mark.read_bytes()) if mark.exists() else None
        if marked is None and _is_first_write(content):
            # A crash between the first log file and its mark: nothing was
            # acknowledged yet.
            return make_new_replica(self.name)
        outcome = read_log(content, marked, self.name)
        if isinstance(outcome, Recovered) and outcome.dropped_bytes:
            # A full disk may refuse this; the writer truncates before it appends.
            with suppress(OSError):
                os.truncate(log, outcome.size)
        return outcome

    def quarantine_files(self) -> str:
        """Rename damaged files, so that the host starts as a new replica.

        Returns
        -------
        suffix : str
            Appended to the names of the files.
        """
        suffix = f"damaged-{secrets.token_hex(4)}"
        for name in (LOG_FILE, MARK_FILE):
            path = self.path / name
            if path.exists():
                path.rename(self.path / f"{name}.{suffix}")
        FileSystem().sync_folder(self.path)
        return suffix

    def close(self) -> None:
        """Release the lock."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def _make_problem(self, detail: str) -> DataFolderProblem:
        return DataFolderProblem("open_data_folder", self.name, str(self.path), detail)


@dataclass(frozen=True, slots=True)
class CacheFile:
    """A file of the data folder that may be missing or out of date."""

    name: str
    content: bytes


class DiskWriter:
    """Writes and syncs ``Store`` requests in order, on its own thread.

    Parameters
    ----------
    folder : Path
        The data folder.
    recovered : Recovered
        What was read from the folder at the start.
    on_synced : callable
        Called on the thread with the sequence of the newest write synced.
    on_failure : callable
        Called on the thread with the error that ended it, of the disk or of the
        writer itself; nothing is written afterwards.
    on_write_error : callable, optional
        Called on the thread with the error of a write that is retried, or of a
        cache file. No later write is reported as synced before the retry
        succeeds.
    file_system : FileSystem
        Carries out the writes.
    """

    def __init__(
        self,
        folder: Path,
        recovered: Recovered,
        on_synced: OnSynced,
        on_failure: OnFailure,
        on_write_error: OnError | None = None,
        file_system: FileSystem = OS_FILE_SYSTEM,
    ) -> None:
        self._folder = folder
        self._file_system = file_system
        self._on_synced = on_synced
        self._on_failure = on_failure
        self._on_write_error = on_write_error
        self._is_closing = False
        self._generation = recovered.generation
        self._size = recovered.size
        self._next_slot = 0
        self._log: int | None = None
        self._mark: int | None = None
        self._queue: queue.SimpleQueue[Store | None] = queue.SimpleQueue()
        self._changed = threading.Condition()
        self._unsynced = 0
        self._caches: dict[str, CacheFile] = {}
        self._has_ended = False
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()
        self._cache_thread = threading.Thread(
            target=self._run_caches, name="cache", daemon=True
        )
        self._cache_thread.start()

    def submit(self, store: Store) -> None:
        """Queue a write."""
        with self._changed:
            self._unsynced += 1
        self._queue.put(store)

    def write_cache(self, cache_file: CacheFile) -> None:
        """Queue a cache file; its completion is not reported.

        Cache files wait while a write of the log is queued, and are written on another
        thread, so that they never delay one. Of several with the same name only the
        newest is kept, so that a stalled disk does not accumulate them.
        """
        with self._changed:
            self._caches[cache_file.name] = cache_file
            self._changed.notify_all()

    def close(self) -> None:
        """Finish the queued writes, without retries, and end the thread."""
        self._is_closing = True
        self._queue.put(None)
        self._thread.join()
        with self._changed:
            self._has_ended = True
            self._changed.notify_all()
        self._cache_thread.join()
        for descriptor in (self._log, self._mark):
            if descriptor is not None:
                os.close(descriptor)

    def _run(self) -> None:
        try:
            self._retry_until_written(self._open_mark)
            if self._generation:
                self._retry_until_written(self._open_log)
            while True:
                batch, is_last = self._collect_batch()
                if batch:
                    self._write(batch)
                    with self._changed:
                        self._unsynced -= len(batch)
                        self._changed.notify_all()
                    self._on_synced(batch[-1].sequence)
                if is_last:
                    return
        except Exception as error:
            # Without this thread the host would stay silent while its process runs.
            self._on_failure(error)

    def _open_log(self) -> None:
        self._log = self._open(LOG_FILE, os.O_APPEND)

    def _collect_batch(self) -> tuple[list[Store], bool]:
        """Wait for a write and return all queued ones: they share one sync."""
        item = self._queue.get()
        batch = []
        while item is not None:
            batch.append(item)
            if self._queue.empty():
                return batch, False
            item = self._queue.get()
        return batch, True

    def _run_caches(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: self._has_ended or (self._caches and not self._unsynced)
                )
                if not self._caches:
                    return
                name = next(iter(self._caches))
                cache_file = self._caches.pop(name)
            self._write_cache_file(cache_file)

    def _write_cache_file(self, cache_file: CacheFile) -> None:
        try:
            self._replace_file(cache_file.name, cache_file.content)
        except OSError as error:
            if self._on_write_error is not None:
                self._on_write_error(error)
            # On a full disk the incomplete file would keep the log from being written.
            with suppress(OSError):
                (self._folder / f"{cache_file.name}.new").unlink(missing_ok=True)

    def _write(self, batch: list[Store]) -> None:
        frames = b""
        for store in batch:
            content = b"".join(encode_record(record) for record in store.records)
            if not store.replace:
                frames += content
                continue
            frames = b""
            self._retry_until_written(partial(self._replace_log, store, content))
            # Until it is marked, the new file counts as synced to its end, so that a
            # torn append would count as damage.
            self._retry_until_written(self._write_mark)
        if frames:
            self._retry_until_written(partial(self._append_frames, frames))
            self._size += len(frames)
            self._retry_until_written(self._write_mark)

    def _retry_until_written(self, step: Callable[[], None]) -> None:
        """Repeat an idempotent step until the disk accepts it."""
        while True:
            try:
                step()
                return
            except OSError as error:
                if self._is_closing or error.errno not in RETRYABLE_ERRORS:
                    raise
                if self._on_write_error is not None:
                    self._on_write_error(error)
            time.sleep(RETRY_INTERVAL_S)

    def _append_frames(self, frames: bytes) -> None:
        """Append frames after the synced part, and drop those of a failed attempt."""
        if os.fstat(self._log).st_size != self._size:
            self._file_system.truncate(self._log, self._size)
        self._file_system.append(self._log, frames)
        self._file_system.sync(self._log)

    def _replace_log(self, store: Store, content: bytes) -> None:
        header = store.records[0]
        assert isinstance(header, FileHeader), "a file starts with its header"
        self._replace_file(LOG_FILE, content)
        former, self._log = self._log, self._open(LOG_FILE, os.O_APPEND)
        if former is not None:
            os.close(former)
        self._generation = header.generation
        self._size = len(content)

    def _replace_file(self, name: str, content: bytes) -> None:
        """Replace a file atomically: after a crash it is either the old or the new."""
        temporary = f"{name}.new"
        descriptor = self._open(temporary, os.O_TRUNC)
        try:
            self._file_system.append(descriptor, content)
            self._file_system.sync_with_metadata(descriptor)
        finally:
            os.close(descriptor)
        self._file_system.rename(self._folder / temporary, self._folder / name)
        self._file_system.sync_folder(self._folder)

    def _write_mark(self) -> None:
        slot = encode_mark(self._generation, self._size)
        self._file_system.write_at(self._mark, slot, self._next_slot * MARK_SLOT_BYTES)
        self._file_system.sync(self._mark)
        self._next_slot = 1 - self._next_slot

    def _open_mark(self) -> None:
        if self._mark is None:
            self._mark = self._open(MARK_FILE, 0)
        if os.fstat(self._mark).st_size >= 2 * MARK_SLOT_BYTES:
            self._next_slot = self._find_older_slot()
            return
        self._file_system.truncate(self._mark, 2 * MARK_SLOT_BYTES)
        self._file_system.sync_with_metadata(self._mark)
        self._file_system.sync_folder(self._folder)

    def _find_older_slot(self) -> int:
        """Return the slot to write first: the one that is not the newest."""
        content = os.pread(self._mark, 2 * MARK_SLOT_BYTES, 0)
        newest = read_mark(content)
        return 1 if newest == read_mark(content[:MARK_SLOT_BYTES]) else 0

    def _open(self, name: str, flags: int) -> int:
        flags |= os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        return os.open(self._folder / name, flags, FILE_MODE)


def make_new_replica(name: str) -> Recovered:
    """Return the state of a new replica: a new identity and an empty log."""
    identity = ReplicaId(name, secrets.token_hex(DISK_ID_BYTES))
    term_vote = TermVote("", 0, None)
    return Recovered(identity, 0, term_vote, LogBase(0, 0), None, [], 0)


def _is_first_write(content: bytes) -> bool:
    """Return whether a log file without a mark can only be a new replica's."""
    if not content:
        return True
    outcome = read_log(content, (0, 0), "")
    if isinstance(outcome, DamagedFile):
        return False
    return outcome.generation == 1 and not outcome.term_vote.group
