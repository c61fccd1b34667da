"""The time line of one process: a ring buffer of events, written to rotated files."""

from __future__ import annotations

import os
import time
from collections import deque
from pathlib import Path

import msgspec

from fulmarshore.core.clock import HybridClock
from fulmarshore.core.records import TimelineEntry, TimelineEvent

RING_EVENTS = 4096
MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_FILES = 4
MAX_TAIL_BYTES = 64 * 1024

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(TimelineEntry)


class Timeline:
    """Keeps the newest events in a ring buffer and writes them to a file.

    If the file cannot be written, events are lost only once the ring buffer
    overwrites them. No error is fatal to the process.

    Parameters
    ----------
    host, role : str
        Host and role of the process.
    path : Path or None
        The file; None keeps the events in memory only.
    ring_events : int
        Capacity of the ring buffer.
    max_file_bytes : int
        Size at which the file is rotated.
    max_files : int
        Number of files kept, with the current one.
    """

    def __init__(
        self,
        host: str,
        role: str,
        path: Path | None = None,
        ring_events: int = RING_EVENTS,
        max_file_bytes: int = MAX_FILE_BYTES,
        max_files: int = MAX_FILES,
    ) -> None:
        self.ring: deque[TimelineEntry] = deque(maxlen=ring_events)
        self.clock = HybridClock(_read_last_clock_value(path) if path else 0)
        self.overwritten = 0
        self.failed_writes = 0
        self._host = host
        self._role = role
        self._path = path
        self._max_file_bytes = max_file_bytes
        self._max_files = max_files
        self._unwritten_events = 0

    def make_sibling(self, name: str) -> Timeline:
        """Return another time line of the same process that shares its clock.

        Very frequent events get their own, so that they do not displace the
        others from the ring buffer and the files.
        """
        path = self._path
        if path is not None:
            path = path.with_name(f"{path.stem}.{name}{path.suffix}")
        sibling = Timeline(self._host, self._role, path)
        self.clock.value = max(self.clock.value, sibling.clock.value)
        sibling.clock = self.clock
        return sibling

    def record(self, event: TimelineEvent) -> TimelineEntry:
        """Add an event to the time line."""
        entry = TimelineEntry(
            clock=self.clock.advance(time.time_ns() // 1000),
            host=self._host,
            role=self._role,
            kind=event.kind,
            service=event.service,
            flow=event.flow,
            peer=event.peer,
            detail=event.detail,
        )
        if self._path is not None and self._unwritten_events == self.ring.maxlen:
            self.overwritten += 1
        self.ring.append(entry)
        self._unwritten_events = min(self._unwritten_events + 1, len(self.ring))
        return entry

    def stamp(self) -> int:
        """Return the clock value for a message that is about to be sent."""
        return self.clock.advance(time.time_ns() // 1000)

    def observe(self, value: int) -> None:
        """Advance the clock past the value in a received message."""
        self.clock.observe(value, time.time_ns() // 1000)

    def flush(self) -> None:
        """Write the events that are not yet written.

        Each line starts with a newline, so that a line truncated by a crash does
        not corrupt the next one.
        """
        if self._path is None or not self._unwritten_events:
            return
        first = len(self.ring) - self._unwritten_events
        lines = [_encoder.encode(self.ring[i]) for i in range(first, len(self.ring))]
        content = b"".join(b"\n" + line for line in lines)
        try:
            self._rotate(len(content))
            with open(self._path, "ab") as file:
                file.write(content)
        except OSError:
            self.failed_writes += 1
            return
        self._unwritten_events = 0

    def _rotate(self, added_bytes: int) -> None:
        try:
            size = os.stat(self._path).st_size
        except FileNotFoundError:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            return
        if size + added_bytes <= self._max_file_bytes:
            return
        for number in range(self._max_files - 1, 0, -1):
            source = get_rotated_path(self._path, number - 1)
            if source.exists():
                os.replace(source, get_rotated_path(self._path, number))


def get_rotated_path(path: Path, number: int) -> Path:
    """Return the path of an older, rotated file; 0 is the current file."""
    return path if number == 0 else path.with_name(f"{path.name}.{number}")


def _read_last_clock_value(path: Path) -> int:
    """Return the last clock value that the previous run of the process wrote."""
    try:
        with open(path, "rb") as file:
            size = file.seek(0, os.SEEK_END)
            file.seek(max(0, size - MAX_TAIL_BYTES))
            lines = file.read().splitlines()
    except OSError:
        return 0
    for line in reversed(lines):
        try:
            return _decoder.decode(line).clock
        except msgspec.MsgspecError:
            continue
    return 0
