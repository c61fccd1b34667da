"""Polling of control hosts by a process that does not store the configuration.

The process polls every control host that it knows: the seeds of its settings and
the voters that control hosts name. The newest table counts, so a control host that is
cut off from the others never makes a process return to an older one.
"""

from __future__ import annotations

from fulmarshore.direct.records import Update

POLL_INTERVAL_S = 0.5
"""Five polls fit into the shortest time that settings allow for a change to take
effect."""
REPOLL_INTERVAL_S = 0.1
"""Interval at which a control host that did not answer is polled again: it may have
started meanwhile, and then needs to know of this process at once. All control hosts
are polled at this interval until a voter has answered."""
CONTROL_TIMEOUT_S = 2.5
"""A control host that did not answer for this long is unresponsive."""
TABLE_REQUEST_TIMEOUT_S = 0.2
"""How long a control host has to send its table before another is asked: twice the
transfer time of a large table over the slowest known link, 2 Mbit/s."""
DIRECTORY_COMPLETE_S = 0.6
"""Age from which a control host knows all agents: more than the interval of their
reports, 0.5 s."""
CONTROL_EXPIRY_S = 30.0
"""A control host that is no seed is removed after this time without an answer."""


class Subscription:
    """Selects the control hosts to poll, and tracks their answers.

    Parameters
    ----------
    seeds : list of str
        Addresses of control hosts from the settings.
    first_number : int
        Number of the first poll. It is drawn at random, since a control host may
        still confirm polls of an earlier process on this host.
    """

    __slots__ = (
        "_first_number",
        "_last_number",
        "_confirmed",
        "_young",
        "_voters",
        "_seeds",
        "_updated_at",
        "_named_at",
        "_polled_at",
        "_table_requested_at",
        "_has_voter_update",
    )

    def __init__(self, seeds: list[str], first_number: int = 1) -> None:
        self._first_number = first_number
        self._last_number = first_number - 1
        self._confirmed: dict[str, int] = {}
        self._young: set[str] = set()
        self._voters: tuple[str, ...] = ()
        self._seeds = list(seeds)
        self._updated_at: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._polled_at: dict[str, float] = {}
        self._table_requested_at = float("-inf")
        self._has_voter_update = False

    def replace_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds after a change of the settings, and poll all hosts anew."""
        self._seeds = list(seeds)
        self._polled_at.clear()

    @property
    def voters(self) -> tuple[str, ...]:
        """The control hosts that vote, as last named by one of them."""
        return self._voters

    def assign_number(self) -> int:
        """Return the number of the next poll."""
        self._last_number += 1
        return self._last_number

    def is_confirmed(self, number: int, knows_all: bool = False) -> bool:
        """Return whether a majority of the voters have received a poll or a later one.

        Two such majorities share a control host: what one process has reported to the
        first is known to another process once the second has answered it.

        Parameters
        ----------
        number : int
            Number of the poll.
        knows_all : bool
            Whether to count only voters that have heard of all agents by now.
        """
        confirming = [
            voter
            for voter in self._voters
            if self._confirmed.get(voter, 0) >= number
            and not (knows_all and voter in self._young)
        ]
        return len(confirming) * 2 > len(self._voters)

    @property
    def hosts(self) -> list[str]:
        """All control hosts that are polled."""
        return list(dict.fromkeys([*self._seeds, *self._named_at]))

    def select_due(self, now: float, is_urgent: bool = False) -> list[str]:
        """Return the control hosts to poll now, and record them as polled.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        is_urgent : bool
            Whether to poll all of them, whatever their interval.
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
        """Return the control hosts never polled so far, and record them as polled."""
        unpolled = [host for host in self.hosts if host not in self._polled_at]
        self._polled_at.update(dict.fromkeys(unpolled, now))
        return unpolled

    def expire_unresponsive(self, now: float) -> None:
        """Remove control hosts that have not answered for long and are no seeds."""
        for host, named_at in list(self._named_at.items()):
            updated_at = max(named_at, self._updated_at.get(host, named_at))
            if now - updated_at > CONTROL_EXPIRY_S:
                del self._named_at[host]

    def record_update(self, host: str, update: Update, now: float) -> bool:
        """Record an answer; return whether the host had been unresponsive before."""
        self._has_voter_update |= update.directory != 0
        for control in update.controls:
            self._named_at[control] = now
        if update.directory and update.controls:
            self._voters = update.controls
        if update.age_s < DIRECTORY_COMPLETE_S:
            self._young.add(host)
        else:
            self._young.discard(host)
        if self._first_number <= update.poll <= self._last_number:
            self._confirmed[host] = max(update.poll, self._confirmed.get(host, 0))
        updated_at = self._updated_at.get(host, float("-inf"))
        self._updated_at[host] = now
        return now - updated_at > CONTROL_TIMEOUT_S

    def should_request_table(self, is_newer: bool, now: float) -> bool:
        """Return whether to request a table, and record it; one request at a time.

        Parameters
        ----------
        is_newer : bool
            Whether the control host has a newer table.
        now : float
            Monotonic time in seconds.
        """
        if not is_newer or now - self._table_requested_at < TABLE_REQUEST_TIMEOUT_S:
            return False
        self._table_requested_at = now
        return True

    def pop_unresponsive(self, now: float) -> list[str]:
        """Return hosts that became unresponsive, each only once."""
        unresponsive = [
            host
            for host, updated_at in self._updated_at.items()
            if now - updated_at > CONTROL_TIMEOUT_S
        ]
        for host in unresponsive:
            del self._updated_at[host]
        return unresponsive
