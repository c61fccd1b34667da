"""How a process without a disk learns from control hosts what is in force.

It polls every control host it knows: the seeds of its settings and those that
the control hosts name as voters. Of several answers the newest counts, so one
that is cut off from the others can be late but never misleads.
"""

from __future__ import annotations

from fulmarshore.direct.records import Update

POLL_INTERVAL_S = 0.5
"""Five polls fit into the shortest bound of the settings for what is new."""
REPOLL_INTERVAL_S = 0.1
"""After this a control host that did not answer is polled again: it may have
started meanwhile, and then needs to know of this process at once. The same holds
for all of them until one has answered that votes."""
CONTROL_SILENCE_S = 2.5
"""A control host that did not answer for this long does not count as heard."""
TABLE_WAIT_S = 0.2
"""How long a control host has to send its table before another is asked; a
large one takes half of that over the slowest link known, 2 Mbit/s."""
CONTROL_FORGOTTEN_S = 30.0
"""A control host that is no seed is not polled any more after this silence."""


class Subscription:
    """Which control hosts are polled, and when.

    Parameters
    ----------
    seeds : list of str
        Addresses of control hosts from the settings.
    """

    __slots__ = (
        "_seeds",
        "_heard_at",
        "_known_at",
        "_polled_at",
        "_asked_at",
        "_has_heard_voter",
    )

    def __init__(self, seeds: list[str]) -> None:
        self._seeds = list(seeds)
        self._heard_at: dict[str, float] = {}
        self._known_at: dict[str, float] = {}
        self._polled_at: dict[str, float] = {}
        self._asked_at = float("-inf")
        self._has_heard_voter = False

    def replace_seeds(self, seeds: list[str]) -> None:
        """Take the seeds of settings that have changed."""
        self._seeds = list(seeds)
        self._polled_at.clear()

    @property
    def hosts(self) -> list[str]:
        """All control hosts that are polled."""
        return list(dict.fromkeys([*self._seeds, *self._known_at]))

    def take_due(self, now: float, all_at_once: bool = False) -> list[str]:
        """Return the control hosts to poll now, and count them as polled.

        Parameters
        ----------
        now : float
            Steady time, seconds.
        all_at_once : bool
            Whether there are news that cannot wait.
        """
        due = []
        for host in self.hosts:
            polled_at = self._polled_at.get(host, float("-inf"))
            heard_at = self._heard_at.get(host, float("-inf"))
            is_answered = heard_at >= polled_at and self._has_heard_voter
            interval = POLL_INTERVAL_S if is_answered else REPOLL_INTERVAL_S
            if not all_at_once and now - polled_at < interval:
                continue
            self._polled_at[host] = now
            due.append(host)
        return due

    def take_new(self, now: float) -> list[str]:
        """Return the control hosts never polled so far, and count them as polled."""
        new = [host for host in self.hosts if host not in self._polled_at]
        self._polled_at.update(dict.fromkeys(new, now))
        return new

    def forget_lost(self, now: float) -> None:
        """Poll no more what has long been silent and is no seed."""
        for host, known_at in list(self._known_at.items()):
            heard_at = max(known_at, self._heard_at.get(host, known_at))
            if now - heard_at > CONTROL_FORGOTTEN_S:
                del self._known_at[host]

    def hear(self, host: str, update: Update, now: float) -> bool:
        """Note an answer; whether the host had been silent before."""
        self._has_heard_voter |= update.directory != 0
        for control in update.controls:
            self._known_at[control] = now
        heard_at = self._heard_at.get(host, float("-inf"))
        self._heard_at[host] = now
        return now - heard_at > CONTROL_SILENCE_S

    def should_ask(self, is_newer: bool, now: float) -> bool:
        """Whether to ask a control host for its table; one is asked at a time."""
        if not is_newer or now - self._asked_at < TABLE_WAIT_S:
            return False
        self._asked_at = now
        return True

    def list_silent(self, now: float) -> list[str]:
        """Return hosts that were heard once and are silent now."""
        silent = [
            host
            for host, heard_at in self._heard_at.items()
            if now - heard_at > CONTROL_SILENCE_S
        ]
        for host in silent:
            del self._heard_at[host]
        return silent
