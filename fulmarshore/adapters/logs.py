"""A rate-limited log of decisions as JSON lines, which never blocks.

If the reader of the descriptor stops reading, lines are lost and counted. Each
kind of line has its own budget, so that lines of successful flows never displace
those of refusals and losses.
"""

from __future__ import annotations

import os
import socket
import time
from collections import Counter

import msgspec

from fulmarshore.direct.records import Decision

MAX_LINES_PER_S = 20
"""Limit of lines a second of each kind."""
ROUTINE_LINES_PER_S = 10
"""Limit for each of ``ROUTINE_KINDS``. They are most lines under load, and logging
may take at most 3% of a process's time."""
ROUTINE_KINDS = frozenset({"flow_offered", "flow_admitted", "flow_found"})
WINDOW_S = 1.0
ATOMIC_WRITE_BYTES = 4096
"""Longest write that is atomic on a pipe on Linux (``PIPE_BUF``)."""


class DecisionLog:
    """Writes decisions as JSON lines.

    Parameters
    ----------
    descriptor : int
        File descriptor that the lines are written to.
    role, name : str
        Role and host name of the process.
    counters : Counter
        Counts decisions by kind, and lines that were suppressed or lost.
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
        """Queue a line for the next flush, or suppress it beyond the budget."""
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
        """Write the queued lines in chunks of complete lines."""
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
        try:
            line = msgspec.json.encode(fields)
        except UnicodeEncodeError:
            # Names of files and variables of the environment need not be valid text.
            line = msgspec.json.encode(replace_surrogates(fields))
        self._unwritten.append(line + b"\n")

    def _write_chunk(self, chunk: list[bytes]) -> None:
        try:
            os.write(self._descriptor, b"".join(chunk))
        except OSError:
            self._counters["lines_lost"] += len(chunk)


def replace_surrogates(fields: dict) -> dict:
    """Return the fields of a line with escapes in place of unpaired surrogates."""
    return {
        name: value.encode("utf-8", "backslashreplace").decode()
        if isinstance(value, str)
        else value
        for name, value in fields.items()
    }


def get_line_budget(kind: str) -> int:
    """Return the limit of lines a second of a kind."""
    return ROUTINE_LINES_PER_S if kind in ROUTINE_KINDS else MAX_LINES_PER_S


def format_flow(flow: bytes) -> str:
    """Format the key of a flow as ``CALLER>SERVICE``, each ``IP:PORT``."""
    caller = f"{socket.inet_ntoa(flow[:4])}:{int.from_bytes(flow[4:6])}"
    return f"{caller}>{socket.inet_ntoa(flow[6:10])}:{int.from_bytes(flow[10:12])}"
