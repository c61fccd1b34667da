"""Model checking of the replica cores: breadth first over their states."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from fulmarshore.standins.replicas import Limits, World, list_next, make_key


class Found(Struct, frozen=True):
    """What an exploration found.

    Parameters
    ----------
    states, depth : int
        States seen, and steps to the last one.
    is_whole : bool
        Whether every state within the limits was seen.
    problem, way : str, tuple of str
        The first promise that was broken, and the steps before it.
    """

    states: int
    depth: int
    is_whole: bool
    problem: str
    way: tuple[str, ...]


def explore(first: World, limits: Limits) -> Found:
    """Visit states breadth first until all, or so many, are seen."""
    seen = {make_key(first)}
    queue = deque([first])
    depth = 0
    while queue and len(seen) < limits.states:
        world = queue.popleft()
        depth = len(world.way)
        try:
            for following in list_next(world, limits):
                key = make_key(following)
                if key not in seen:
                    seen.add(key)
                    queue.append(following)
        except AssertionError as error:
            return Found(len(seen), depth, not queue, str(error), world.way)
    return Found(len(seen), depth, not queue, "", ())
