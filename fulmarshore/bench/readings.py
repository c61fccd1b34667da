"""What the time lines of real processes tell of a measurement."""

from __future__ import annotations

import itertools
import math
from pathlib import Path

import msgspec

from fulmarshore.core.clock import read_seconds
from fulmarshore.core.records import TimelineEntry

_decoder = msgspec.json.Decoder(TimelineEntry)


class Readings:
    """The time lines in a folder, one file for each process.

    Parameters
    ----------
    folder : Path
        Where the files are.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def read_entries(self, name: str) -> list[TimelineEntry]:
        """Return everything that a process told so far."""
        path = self._folder / f"{name}.jsonl"
        if not path.exists():
            return []
        lines = path.read_bytes().split(b"\n")
        return [_decoder.decode(line) for line in lines if line]

    def read_applied(self, name: str) -> list[tuple[int, float]]:
        """Return which versions a process applied, and when."""
        times = []
        for entry in self.read_entries(name):
            if entry.kind != "view_applied":
                continue
            version = int(entry.detail.split()[1])
            times.append((version, read_seconds(entry.clock)))
        return times

    def list_gaps(self, controls: int, count: int) -> list[float]:
        """Return the newest times between two leaders, from the time lines."""
        leads: list[tuple[float, str]] = []
        for number in range(controls):
            for entry in self.read_entries(f"control-{number}"):
                if entry.kind in ("leader_elected", "leader_stepped_down"):
                    leads.append((read_seconds(entry.clock), entry.kind))
        leads.sort()
        gaps = []
        for (ended, former), (begun, kind) in itertools.pairwise(leads):
            if former == "leader_stepped_down" and kind == "leader_elected":
                gaps.append(round(begun - ended, 4))
        return gaps[-count:]


def find_applied(times: list[tuple[int, float]], version: int) -> float:
    """Return when a version, or one above it, was applied."""
    for applied, at in times:
        if applied >= version:
            return at
    return math.inf
