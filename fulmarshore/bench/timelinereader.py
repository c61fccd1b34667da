"""Reads timeline files of the processes of a measurement."""

from __future__ import annotations

import itertools
import math
from pathlib import Path

import msgspec

from fulmarshore.core.clock import read_seconds
from fulmarshore.core.records import TimelineEntry

_decoder = msgspec.json.Decoder(TimelineEntry)


class TimelineReader:
    """Reads the timelines in a folder, one file for each process.

    Parameters
    ----------
    folder : Path
        Folder that holds the files.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def read_entries(self, name: str) -> list[TimelineEntry]:
        """Return all entries that a process has written so far."""
        path = self._folder / f"{name}.jsonl"
        if not path.exists():
            return []
        lines = path.read_bytes().split(b"\n")
        return [_decoder.decode(line) for line in lines if line]

    def read_applied_versions(self, name: str) -> list[tuple[int, float]]:
        """Return the versions that a process applied, each with its time in seconds."""
        times = []
        for entry in self.read_entries(name):
            if entry.kind != "view_applied":
                continue
            version = int(entry.detail.split()[1])
            times.append((version, read_seconds(entry.clock)))
        return times

    def list_leaderless_gaps(self, controls: int, count: int) -> list[float]:
        """Return the last times without a leader between two leaders, in seconds.

        Parameters
        ----------
        controls : int
            Number of control hosts.
        count : int
            How many gaps to return, the newest.
        """
        leadership_events: list[tuple[float, str]] = []
        for number in range(controls):
            for entry in self.read_entries(f"control-{number}"):
                if entry.kind in ("leader_elected", "leader_stepped_down"):
                    leadership_events.append((read_seconds(entry.clock), entry.kind))
        leadership_events.sort()
        gaps = []
        for (ended, former_kind), (started, kind) in itertools.pairwise(
            leadership_events
        ):
            if former_kind == "leader_stepped_down" and kind == "leader_elected":
                gaps.append(round(started - ended, 4))
        return gaps[-count:]


def find_applied_time(times: list[tuple[int, float]], version: int) -> float:
    """Return when a version or a later one was applied; infinity if it was not."""
    for applied, at in times:
        if applied >= version:
            return at
    return math.inf
