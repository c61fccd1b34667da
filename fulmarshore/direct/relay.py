"""Core of a control host without a disk, which does not vote.

Where more hosts run control than have disks, this one redirects operators to control
hosts with a disk, and names those to the processes and control hosts that ask it.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from fulmarshore.core.records import JoinRequest, LinkMessage
from fulmarshore.direct.controlrecords import (
    CONTROL_PORT,
    Order,
    PollReceived,
    Read,
    RedirectToLeader,
    SendUpdate,
)
from fulmarshore.direct.records import (
    Decision,
    Poll,
    SendPoll,
    StopCompleted,
    Stopping,
    Ticked,
    Update,
    UpdateReceived,
)
from fulmarshore.direct.subscription import Subscription


class RelayCore:
    """Redirects operators and processes to the control hosts with disks.

    Parameters
    ----------
    host : str
        This host's address.
    seeds : list of str
        Control hosts from the settings.
    random : Random
        Chooses among the control hosts.
    """

    def __init__(self, host: str, seeds: list[str], random: Random) -> None:
        self.host = host
        self.counters: Counter[str] = Counter()
        self.subscription = Subscription([seed for seed in seeds if seed != host])
        self._random = random
        self._voters: list[str] = []
        self._leader = ""
        self._joining: list[str] = []

    @property
    def is_ready(self) -> bool:
        """Whether a control host with a disk is known."""
        return bool(self._voters)

    def replace_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds after a change of the settings."""
        others = [seed for seed in seeds if seed != self.host]
        self.subscription.replace_seeds(others)

    def handle(self, event: object, now: float) -> list:
        """Process one event and return its effects."""
        match event:
            case PollReceived(host=host, port=port):
                return [SendUpdate(self._make_update(), host, port)]
            case Order(request=request) | Read(request=request):
                self.counters["orders_redirected"] += 1
                return [RedirectToLeader(request, self._choose_target())]
            case UpdateReceived(host=host, update=update):
                return self._handle_update(host, update, now)
            case LinkMessage(peer=peer, message=JoinRequest()):
                return self._handle_join(peer)
            case Ticked():
                due = self.subscription.select_due(now)
                poll = Poll(0, 0, 0, False)
                return [SendPoll(poll, host) for host in due]
            case Stopping():
                return [Decision("stopping"), StopCompleted()]
        return []

    def _choose_target(self) -> str:
        """Return the leader, or a voter that may know it; empty if none is known."""
        if self._leader:
            return self._leader
        return self._random.choice(self._voters) if self._voters else ""

    def _handle_update(self, host: str, update: Update, now: float) -> list:
        is_recovered = self.subscription.record_update(host, update, now)
        if update.directory and update.controls:
            self._voters = list(update.controls)
            self._leader = update.leader
        return [Decision("control_heard", host)] if is_recovered else []

    def _handle_join(self, peer: str) -> list:
        """Name to a joining control host the voters and other joining hosts."""
        if peer not in self._joining:
            self._joining.append(peer)
        return [SendUpdate(self._make_update(), peer, CONTROL_PORT)]

    def _make_update(self) -> Update:
        known = tuple(dict.fromkeys([*self._voters, *self._joining]))
        return Update(known, "", 0, b"", 0, 0, 0.0, float("inf"))
