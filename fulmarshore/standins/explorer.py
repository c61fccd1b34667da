"""Model checking of the replica cores: breadth first over their states."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from fulmarshore.standins.replicas import GroupState, Limits, list_successors, make_key


class ExplorationResult(Struct, frozen=True):
    """What an exploration found.

    Parameters
    ----------
    states, depth : int
        States seen, and steps to the last one.
    is_exhaustive : bool
        Whether every state within the limits was seen.
    problem, trace : str, tuple of str
        The first promise that was broken, and the steps before it.
    """

    states: int
    depth: int
    is_exhaustive: bool
    problem: str
    trace: tuple[str, ...]


def explore(first: GroupState, limits: Limits) -> ExplorationResult:
    """Visit states breadth first until all, or so many, are seen."""
    visited = {make_key(first)}
    queue = deque([first])
    depth = 0
    while queue and len(visited) < limits.states:
        state = queue.popleft()
        depth = len(state.trace)
        try:
            for successor in list_successors(state, limits):
                key = make_key(successor)
                if key not in visited:
                    visited.add(key)
                    queue.append(successor)
        except AssertionError as error:
            return ExplorationResult(
                len(visited), depth, not queue, str(error), state.trace
            )
    return ExplorationResult(len(visited), depth, not queue, "", ())
