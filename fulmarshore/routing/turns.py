"""Turns of planned restarts: one agent of a service is away at a time.

An agent that restarts leaves its flows to peers. Were these to restart as well
before its successor is back, nobody would be left who has the flows. So an agent
asks every member for its turn, in the manner of Ricart and Agrawala (1981), with
names in place of time stamps, and goes once none objects.
"""

from __future__ import annotations

ASK_INTERVAL_S = 0.1
WORD_LIFE_S = 1.0
"""How long the word of a peer counts."""
SILENCE_TIMEOUT_S = 2.0
"""A peer that has said nothing for this long is taken for gone."""


class Turns:
    """Whether an agent that wants to restart may go, and what it tells others.

    Parameters
    ----------
    name : str
        Name of the agent.
    """

    __slots__ = (
        "_name",
        "_wanted_at",
        "_number",
        "_asked_at",
        "_heard_at",
        "_allowed",
        "_valid_from",
    )

    def __init__(self, name: str) -> None:
        self._name = name
        self._wanted_at: float | None = None
        self._number = 0
        self._asked_at = float("-inf")
        self._heard_at: dict[str, float] = {}
        self._allowed: set[str] = set()
        self._valid_from: dict[str, int] = {}

    @property
    def is_wanted(self) -> bool:
        """Whether the agent waits for its turn."""
        return self._wanted_at is not None

    def want(self, now: float) -> None:
        """Begin to wait for a turn."""
        self._wanted_at = now

    def end(self) -> None:
        """Wait no more: the turn is taken."""
        self._wanted_at = None

    def ask(self, now: float) -> int:
        """Return the number of the question due to all peers, or 0."""
        if self._wanted_at is None or now - self._asked_at < ASK_INTERVAL_S:
            return 0
        self._asked_at = now
        self._number += 1
        return self._number

    def allows(self, asker: str, is_free: bool) -> bool:
        """Return whether a peer may go, as far as this agent is concerned.

        Of two that wait the one with the lower name goes first. Who gives way
        needs a new word of the other.

        Parameters
        ----------
        asker : str
            Name of the peer.
        is_free : bool
            Whether this agent is not restarting itself.
        """
        if not is_free:
            return False
        if not self.is_wanted:
            return True
        if self._name < asker:
            return False
        self._allowed.discard(asker)
        self._valid_from[asker] = self._number + 1
        return True

    def take_word(self, peer: str, number: int, is_allowed: bool, now: float) -> None:
        """Take the answer of a peer to a question."""
        self._heard_at[peer] = now
        if number < self._valid_from.get(peer, 0):
            return
        if is_allowed:
            self._allowed.add(peer)
            return
        self._allowed.discard(peer)

    def has_turn(self, peers: set[str], now: float) -> bool:
        """Return whether no peer objects that can be heard."""
        if self._wanted_at is None:
            return False
        for peer in peers:
            heard_at = self._heard_at.get(peer, self._wanted_at)
            silent_for = now - max(heard_at, self._wanted_at)
            if silent_for >= SILENCE_TIMEOUT_S:
                continue
            if peer not in self._allowed or silent_for >= WORD_LIFE_S:
                return False
        return True
