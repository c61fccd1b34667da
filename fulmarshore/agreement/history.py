"""The accepted changes, as operators read them back."""

from __future__ import annotations

from fulmarshore.agreement.state import State
from fulmarshore.core.records import HistoryEntry, HistoryReply, HistoryRequest

MAX_HISTORY = 1000
"""Changes in one answer."""


def list_history(state: State, control: str, request: HistoryRequest) -> HistoryReply:
    """Return the newest accepted changes below a number, the newest first.

    Parameters
    ----------
    state : State
        What the log adds up to.
    control : str
        Name of the control host that answers.
    request : HistoryRequest
        Where to begin and how many.
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
