"""Measures the time and memory that merging a million timeline events takes.

It runs the command ``fulmarshore timeline`` on generated files.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import msgspec
from msgspec import Struct

from fulmarshore.core.clock import make_value
from fulmarshore.core.records import TimelineEntry

EVENTS = 1_000_000
FILES = 200
KINDS = ("view_applied", "flows_ended", "control_moved", "lease_expired")


class TimelineReport(Struct, frozen=True):
    """Figures of the whole command, from the start of its process to its end.

    Parameters
    ----------
    events, files : int
        Number of events and of files that were merged.
    input_mb, memory_mb : float
        Total size of the files, and peak resident memory of the command.
    seconds : float
        Wall time of the command.
    lines, unordered : int
        Lines of output, and how many of them have an earlier time than the
        line before.
    """

    events: int
    files: int
    input_mb: float
    seconds: float
    memory_mb: float
    lines: int
    unordered: int


def run(events: int = EVENTS, files: int = FILES, seed: int = 1) -> TimelineReport:
    """Write timeline files, merge them with the command, and check the order."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        size = _write_files(folder, events, files, Random(seed))
        output = folder / "merged"
        arguments = [sys.executable, "-m", "fulmarshore", "timeline", str(folder)]
        with open(output, "wb") as file:
            started = time.perf_counter()
            process = subprocess.Popen(arguments, stdout=file)
            _, _, usage = os.wait4(process.pid, 0)
            seconds = time.perf_counter() - started
            process.returncode = 0
        lines, unordered = _check_order(output)
    memory_mb = usage.ru_maxrss / 1024
    return TimelineReport(
        events, files, size / 1e6, round(seconds, 2), memory_mb, lines, unordered
    )


def _write_files(folder: Path, events: int, files: int, random: Random) -> int:
    encode = msgspec.json.Encoder().encode
    size = 0
    share, rest = divmod(events, files)
    for number in range(files):
        clock = make_value(1.7e9 + random.random())
        path = folder / f"host-{number}.jsonl"
        with open(path, "wb") as file:
            for _ in range(share + (number < rest)):
                clock += make_value(random.random())
                entry = TimelineEntry(
                    clock=clock,
                    host=f"host-{number}",
                    role="agent",
                    kind=random.choice(KINDS),
                    service="mendbook",
                    peer="control-0",
                    detail="version 1234",
                )
                file.write(encode(entry))
                file.write(b"\n")
        size += path.stat().st_size
    return size


def _check_order(path: Path) -> tuple[int, int]:
    lines = 0
    unordered = 0
    last = b""
    with open(path, "rb") as file:
        for line in file:
            lines += 1
            stamp = line.split(b"Z", 1)[0]
            unordered += stamp < last
            last = stamp
    return lines, unordered
