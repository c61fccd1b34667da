"""Structured lines on standard output, bounded, never blocking.

A reader that has stopped reading costs lines, which are counted, and nothing
else. Lines that refuse or lose something have a budget of their own, so that
those about what went well never crowd them out.
"""

from __future__ import annotations

import os
import socket
import time
from collections import Counter

import msgspec

from fulmarshore.direct.records import Decision

MAX_LINES_PER_S = 20
"""Budget of lines a second of each kind."""
ROUTINE_LINES_PER_S = 10
"""Budget of each kind that tells of a flow that goes well: together they are most
lines under load, and lines shall cost at most 3% of a process's time."""
ROUTINE_KINDS = frozenset({"flow_offered", "flow_admitted", "flow_found"})
WINDOW_S = 1.0
ATOMIC_WRITE_BYTES = 4096
"""What a pipe takes as a whole or not at all, on Linux."""


class DecisionLog:
    """Writes decisions as JSON lines.

    Parameters
    ----------
    descriptor : int
        Where the lines go.
    role, name : str
        The process.
    counters : Counter
        Counts lines by kind, and what was left out.
    """

    __slots__ = (
        "_descriptor",
        "_role",
        "_name",
        "_counters",
        "_window_counts",
        "_window_started_at",
        "_unwritten",
    )

    def __init__(
        self, descriptor: int, role: str, name: str, counters: Counter[str]
    ) -> None:
        self._descriptor = descriptor
        self._role = role
        self._name = name
        self._counters = counters
        self._window_counts: Counter[str] = Counter()
        self._window_started_at = float("-inf")
        self._unwritten: list[bytes] = []
        os.set_blocking(descriptor, False)

    def write(self, decision: Decision, now: float) -> None:
        """Take one line for the next flush, or count it as left out."""
        if now - self._window_started_at >= WINDOW_S:
            self._start_window(now)
        self._counters[f"decisions_{decision.kind}"] += 1
        self._window_counts[decision.kind] += 1
        if self._window_counts[decision.kind] > get_line_budget(decision.kind):
            return
        fields = self._make_line(decision.kind)
        if decision.flow:
            fields["flow"] = format_flow(decision.flow)
        if decision.detail:
            fields["detail"] = decision.detail
        self._queue(fields)

    def _start_window(self, now: float) -> None:
        suppressed = {
            kind: count - get_line_budget(kind)
            for kind, count in self._window_counts.items()
            if count > get_line_budget(kind)
        }
        self._window_counts.clear()
        self._window_started_at = now
        if suppressed:
            self._counters["lines_left_out"] += sum(suppressed.values())
            self._queue({**self._make_line("lines_left_out"), "counts": suppressed})

    def _make_line(self, kind: str) -> dict[str, object]:
        at = round(time.time(), 4)
        return {"at": at, "role": self._role, "host": self._name, "kind": kind}

    def flush(self) -> None:
        """Write the lines that wait, whole ones at a time."""
        unwritten, self._unwritten = self._unwritten, []
        chunk: list[bytes] = []
        size = 0
        for line in unwritten:
            if chunk and size + len(line) > ATOMIC_WRITE_BYTES:
                self._write_chunk(chunk)
                chunk, size = [], 0
            chunk.append(line)
            size += len(line)
        if chunk:
            self._write_chunk(chunk)

    def _queue(self, fields: dict) -> None:
        self._unwritten.append(msgspec.json.encode(fields) + b"\n")

    def _write_chunk(self, chunk: list[bytes]) -> None:
        try:
            os.write(self._descriptor, b"".join(chunk))
        except OSError:
            self._counters["lines_lost"] += len(chunk)


def get_line_budget(kind: str) -> int:
    """Return the lines a second that a kind may write."""
    return ROUTINE_LINES_PER_S if kind in ROUTINE_KINDS else MAX_LINES_PER_S


def format_flow(flow: bytes) -> str:
    """Return the key of a flow as text: caller, then service."""
    caller = f"{socket.inet_ntoa(flow[:4])}:{int.from_bytes(flow[4:6])}"
    return f"{caller}>{socket.inet_ntoa(flow[6:10])}:{int.from_bytes(flow[10:12])}"
