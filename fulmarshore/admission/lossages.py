"""Time since claims of a bucket were lost, as reported by its last home agent.

The home agent of a bucket coordinates its requests and holds all its claims.
"""

from __future__ import annotations

from fulmarshore.admission.queryrounds import QueryRound
from fulmarshore.core.records import Identity, KnownHome


def find_loss_ages(
    current: QueryRound, known: list[tuple[Identity, KnownHome]], requester: Identity
) -> dict[int, float]:
    """Return the loss ages of the buckets whose last home or its backup replied.

    Parameters
    ----------
    current : QueryRound
        The query round with its replies.
    known : list of (Identity, KnownHome)
        The known homes of the buckets, each with the agent that reports it.
    requester : Identity
        The agent that sent the queries.

    Returns
    -------
    loss_ages : dict
        By bucket, the time since claims were lost in seconds; below 0 for never.
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
    loss_ages = {}
    for bucket in current.buckets:
        version, loss_age = reported.get(bucket, (-1, 0.0))
        last_unanswered = unanswered.get(bucket, -1)
        if version > last_unanswered:
            loss_ages[bucket] = loss_age
        elif last_unanswered in backed_up.get(bucket, {}):
            loss_ages[bucket] = backed_up[bucket][last_unanswered]
    return loss_ages
