"""A model checker for the replica cores: breadth-first search of their states."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from fulmarshore.standins.replicas import GroupState, Limits, list_successors, make_key


class ExplorationResult(Struct, frozen=True):
    """The result of an exploration.

    Parameters
    ----------
    states, depth : int
        Number of distinct states visited, and steps to the last one.
    is_exhaustive : bool
        Whether every state within the limits was visited.
    problem, trace : str, tuple of str
        The first violated invariant, and the steps that led to it.
    """

    states: int
    depth: int
    is_exhaustive: bool
    problem: str
    trace: tuple[str, ...]


def explore(first: GroupState, limits: Limits) -> ExplorationResult:
    """Visit states breadth-first, at most ``limits.states`` of them."""
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
