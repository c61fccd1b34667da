"""What the last homes of buckets told before they went."""

from __future__ import annotations

from fulmarshore.admission.queryrounds import QueryRound
from fulmarshore.core.records import Identity, KnownHome


def find_guards(
    current: QueryRound, known: list[tuple[Identity, KnownHome]], requester: Identity
) -> dict[int, float]:
    """Return the buckets whose last home told all it knew.

    Parameters
    ----------
    current : Round
        The questions that were answered.
    known : list of (Identity, KnownHome)
        The homes of buckets, by who tells of them.
    asker : Identity
        The agent that asked.

    Returns
    -------
    guards : dict
        By bucket, the time since that home lost claims, below 0 for never.
    """
    answered = current.list_answered()
    answered.add(requester)
    reported: dict[int, tuple[int, float]] = {}
    unanswered: dict[int, int] = {}
    backed_up: dict[int, dict[int, float]] = {}
    for peer, home in known:
        identity = Identity(home.agent, home.incarnation)
        for bucket in home.buckets:
            if home.settled and identity == peer:
                best = reported.get(bucket, (-1, 0.0))
                reported[bucket] = max(best, (home.version, home.loss_age))
            elif home.settled:
                backed_up.setdefault(bucket, {})[home.version] = home.loss_age
            if identity not in answered:
                unanswered[bucket] = max(unanswered.get(bucket, -1), home.version)
    guards = {}
    for bucket in current.buckets:
        version, loss_age = reported.get(bucket, (-1, 0.0))
        last_unanswered = unanswered.get(bucket, -1)
        if version > last_unanswered:
            guards[bucket] = loss_age
        elif last_unanswered in backed_up.get(bucket, {}):
            guards[bucket] = backed_up[bucket][last_unanswered]
    return guards
