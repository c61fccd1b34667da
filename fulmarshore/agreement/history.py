"""The history of accepted changes, as operators query it."""

from __future__ import annotations

from fulmarshore.agreement.state import State
from fulmarshore.core.records import HistoryEntry, HistoryReply, HistoryRequest

MAX_HISTORY = 1000
"""Largest number of changes in one reply."""


def list_history(state: State, control: str, request: HistoryRequest) -> HistoryReply:
    """Return accepted changes below a number, newest first.

    Parameters
    ----------
    state : State
        The replicated state.
    control : str
        Name of the control host that replies.
    request : HistoryRequest
        The number to start below, and how many changes to return.
    """
    before = request.before if request.before > 0 else state.next_number
    limit = max(0, min(request.limit, MAX_HISTORY))
    entries: list[HistoryEntry] = []
    for number in sorted(state.decisions, reverse=True):
        if number >= before:
            continue
        if len(entries) >= limit:
            break
        decision = state.decisions[number]
        entries.append(HistoryEntry(decision.version, decision.change))
    return HistoryReply(control, entries)
