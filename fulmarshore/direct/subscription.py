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
CONTROL_TIMEOUT_S = 2.5
"""A control host that did not answer for this long does not count as heard."""
TABLE_REQUEST_TIMEOUT_S = 0.2
"""How long a control host has to send its table before another is asked; a
large one takes half of that over the slowest link known, 2 Mbit/s."""
CONTROL_EXPIRY_S = 30.0
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
        "_updated_at",
        "_named_at",
        "_polled_at",
        "_table_requested_at",
        "_has_voter_update",
    )

    def __init__(self, seeds: list[str]) -> None:
        self._seeds = list(seeds)
        self._updated_at: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._polled_at: dict[str, float] = {}
        self._table_requested_at = float("-inf")
        self._has_voter_update = False

    def replace_seeds(self, seeds: list[str]) -> None:
        """Take the seeds of settings that have changed."""
        self._seeds = list(seeds)
        self._polled_at.clear()

    @property
    def hosts(self) -> list[str]:
        """All control hosts that are polled."""
        return list(dict.fromkeys([*self._seeds, *self._named_at]))

    def select_due(self, now: float, is_urgent: bool = False) -> list[str]:
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
            updated_at = self._updated_at.get(host, float("-inf"))
            is_answered = updated_at >= polled_at and self._has_voter_update
            interval = POLL_INTERVAL_S if is_answered else REPOLL_INTERVAL_S
            if not is_urgent and now - polled_at < interval:
                continue
            self._polled_at[host] = now
            due.append(host)
        return due

    def select_unpolled(self, now: float) -> list[str]:
        """Return the control hosts never polled so far, and count them as polled."""
        unpolled = [host for host in self.hosts if host not in self._polled_at]
        self._polled_at.update(dict.fromkeys(unpolled, now))
        return unpolled

    def expire_unresponsive(self, now: float) -> None:
        """Poll no more what has long been silent and is no seed."""
        for host, named_at in list(self._named_at.items()):
            updated_at = max(named_at, self._updated_at.get(host, named_at))
            if now - updated_at > CONTROL_EXPIRY_S:
                del self._named_at[host]

    def record_update(self, host: str, update: Update, now: float) -> bool:
        """Note an answer; whether the host had been silent before."""
        self._has_voter_update |= update.directory != 0
        for control in update.controls:
            self._named_at[control] = now
        updated_at = self._updated_at.get(host, float("-inf"))
        self._updated_at[host] = now
        return now - updated_at > CONTROL_TIMEOUT_S

    def should_request_table(self, is_newer: bool, now: float) -> bool:
        """Whether to ask a control host for its table; one is asked at a time."""
        if not is_newer or now - self._table_requested_at < TABLE_REQUEST_TIMEOUT_S:
            return False
        self._table_requested_at = now
        return True

    def pop_unresponsive(self, now: float) -> list[str]:
        """Return hosts that were heard once and are silent now."""
        unresponsive = [
            host
            for host, updated_at in self._updated_at.items()
            if now - updated_at > CONTROL_TIMEOUT_S
        ]
        for host in unresponsive:
            del self._updated_at[host]
        return unresponsive
