"""Merges the time lines of many processes into one ordered stream."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from functools import lru_cache
from operator import attrgetter
from pathlib import Path

import msgspec
from msgspec import Struct

from fulmarshore.adapters.timeline import get_rotated_path
from fulmarshore.core.hashing import hash_flow
from fulmarshore.core.records import Address, TimelineEntry

MAX_LINE_BYTES = 64 * 1024

_decode = msgspec.json.Decoder(TimelineEntry).decode


class Filter(Struct, frozen=True, kw_only=True):
    """Selects events; an empty field matches every event.

    Parameters
    ----------
    hosts, services, flows, kinds : frozenset of str
        Allowed values. A peer counts as a host of the event.
    callers : frozenset of Address
        Addresses of callers; their flows to any service match, in addition to
        ``flows``.
    since, until : int
        Lower bound and excluded upper bound of the clock value.
    """

    hosts: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    flows: frozenset[str] = frozenset()
    kinds: frozenset[str] = frozenset()
    callers: frozenset[Address] = frozenset()
    since: int = 0
    until: int = 2**63

    def is_empty(self) -> bool:
        """Return whether the filter matches every event."""
        return self == Filter()

    def matches(self, entry: TimelineEntry) -> bool:
        """Return whether the filter matches an event."""
        if not self.since <= entry.clock < self.until:
            return False
        if self.hosts and entry.host not in self.hosts and entry.peer not in self.hosts:
            return False
        if self.services and entry.service not in self.services:
            return False
        if (self.flows or self.callers) and not self._has_flow(entry):
            return False
        return not self.kinds or entry.kind in self.kinds

    def _has_flow(self, entry: TimelineEntry) -> bool:
        if entry.flow in self.flows:
            return True
        for caller in self.callers:
            if entry.flow and entry.flow == make_flow_key(entry.service, *caller):
                return True
        return False


@lru_cache(maxsize=1024)
def make_flow_key(service: str, host: str, port: int) -> str:
    """Return the key of a caller's flow to a service, in hexadecimal as in events."""
    return hash_flow(service, host, port).hex()


def list_files(paths: Iterable[Path]) -> list[Path]:
    """Return the time line files of paths.

    Includes the files in folders, and the older generations of a rotated file.
    """
    found: dict[Path, None] = {}
    for path in paths:
        if path.is_dir():
            for file in sorted(path.rglob("*.jsonl*")):
                found[file] = None
            continue
        number = 0
        while number == 0 or get_rotated_path(path, number).exists():
            found[get_rotated_path(path, number)] = None
            number += 1
    return list(found)


def read_file(path: Path, problems: Counter[str]) -> Iterator[TimelineEntry]:
    """Read the events of one file in order.

    Lines that are not an event, such as a truncated last line, are skipped and
    counted under ``malformed``. Events whose clock value is below that of an
    earlier event are skipped and counted under ``out_of_order``.
    """
    last = 0
    with open(path, "rb", buffering=32 * 1024) as file:
        while line := file.readline(MAX_LINE_BYTES):
            if line == b"\n":
                continue
            try:
                entry = _decode(line)
            except (msgspec.MsgspecError, RecursionError):
                problems["malformed"] += 1
                continue
            if entry.clock < last:
                problems["out_of_order"] += 1
                continue
            last = entry.clock
            yield entry


def merge_files(
    paths: Iterable[Path], event_filter: Filter, problems: Counter[str]
) -> Iterator[TimelineEntry]:
    """Merge the events of files in order; each file is read as the stream advances."""
    streams = [read_file(path, problems) for path in paths]
    merged = heapq.merge(*streams, key=attrgetter("clock", "host"))
    if event_filter.is_empty():
        return merged
    return filter(event_filter.matches, merged)
