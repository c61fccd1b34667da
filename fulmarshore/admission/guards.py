"""What the last homes of buckets told before they went."""

from __future__ import annotations

from fulmarshore.admission.rounds import Round
from fulmarshore.core.records import Identity, KnownHome


def find_guards(
    current: Round, known: list[tuple[Identity, KnownHome]], asker: Identity
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
    answered.add(asker)
    told: dict[int, tuple[int, float]] = {}
    silent: dict[int, int] = {}
    held: dict[int, dict[int, float]] = {}
    for peer, home in known:
        who = Identity(home.agent, home.incarnation)
        for bucket in home.buckets:
            if home.settled and who == peer:
                best = told.get(bucket, (-1, 0.0))
                told[bucket] = max(best, (home.version, home.loss_age))
            elif home.settled:
                held.setdefault(bucket, {})[home.version] = home.loss_age
            if who not in answered:
                silent[bucket] = max(silent.get(bucket, -1), home.version)
    guards = {}
    for bucket in current.buckets:
        version, loss_age = told.get(bucket, (-1, 0.0))
        last_silent = silent.get(bucket, -1)
        if version > last_silent:
            guards[bucket] = loss_age
        elif last_silent in held.get(bucket, {}):
            guards[bucket] = held[bucket][last_silent]
    return guards
