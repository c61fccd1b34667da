"""The core of a control host: accepted changes, members, distribution."""

from __future__ import annotations

from collections import Counter

from fulmarshore.agreement.history import list_history
from fulmarshore.agreement.state import State, answer_change, apply_command
from fulmarshore.core.records import (
    Change,
    Command,
    Effect,
    Event,
    Expire,
    Freshness,
    Heartbeat,
    HistoryRequest,
    Leave,
    LinkMessage,
    SendLink,
    StatusReply,
    StatusRequest,
    Stop,
    Stopped,
    Subscribe,
    Tick,
    TimelineEvent,
)
from fulmarshore.membership.registry import Registry
from fulmarshore.membership.view import make_delta

EXPIRY_SCAN_INTERVAL_S = 0.25


class ControlCore:
    """Decides what is accepted and tells the subscribers.

    Parameters
    ----------
    name : str
        Name of the control host.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = State()
        self.registry = Registry(name)
        self.counters: Counter[str] = Counter()
        self._stamp = 0
        self._scanned_at = float("-inf")

    @property
    def freshness(self) -> Freshness:
        """The stamp that this host hands on."""
        return Freshness(1, self._stamp)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return what is to be done."""
        match event:
            case LinkMessage():
                return self._handle_link(event, now)
            case Tick():
                return self._tick(now)
            case Stop():
                return [Stopped()]
        raise AssertionError(f"unexpected event {event!r}")

    def _handle_link(self, event: LinkMessage, now: float) -> list[Effect]:
        match event.message:
            case Subscribe() as message:
                return self._subscribe(event.peer, message, now)
            case Heartbeat() as message:
                return self.registry.heartbeat(
                    event.peer, message, self.state.view, self.freshness, now
                )
            case Leave() as message:
                self.registry.leave(message)
                return self._submit([Expire(message.identity)])
            case Change() as change:
                return self._change(event.peer, change)
            case HistoryRequest() as request:
                reply = list_history(self.state, self.name, request)
                return [SendLink(event.peer, reply)]
            case StatusRequest():
                return [SendLink(event.peer, self._describe(now))]
        self.counters["unexpected_link_message"] += 1
        return []

    def _subscribe(self, peer: str, message: Subscribe, now: float) -> list[Effect]:
        self.registry.subscribe(peer, message, now)
        effects = self._submit(self.registry.list_joins(self.state.view))
        beat = Heartbeat(message.identity, message.version)
        view = self.state.view
        return effects + self.registry.heartbeat(peer, beat, view, self.freshness, now)

    def _change(self, peer: str, change: Change) -> list[Effect]:
        reply = answer_change(self.state, change)
        if reply is not None:
            self.counters[f"changes_{reply.status}"] += 1
            return [SendLink(peer, reply)]
        index = self.state.index + 1
        self.state, reply = apply_command(self.state, index, change)
        assert reply is not None, "a change has an answer"
        self.counters[f"changes_{reply.status}"] += 1
        detail = f"number {change.number} by {change.operator}"
        return [
            SendLink(peer, reply),
            TimelineEvent("change_accepted", peer=change.operator, detail=detail),
            *self.registry.push(self.state.view),
        ]

    def _submit(self, commands: list[Command]) -> list[Effect]:
        for command in commands:
            index = self.state.index + 1
            self.state, _ = apply_command(self.state, index, command)
        return self.registry.push(self.state.view)

    def _tick(self, now: float) -> list[Effect]:
        self._stamp += 1
        if now - self._scanned_at < EXPIRY_SCAN_INTERVAL_S:
            return []
        self._scanned_at = now
        expired = self.registry.list_expired(self.state.view, now)
        effects = self._submit(expired)
        for command in expired:
            assert isinstance(command, Expire)
            effects.append(TimelineEvent("lease_expired", peer=command.identity.name))
        return effects

    def _describe(self, now: float) -> StatusReply:
        return StatusReply(
            self.name,
            self.name,
            self.freshness,
            make_delta(self.state.view, 0),
            self.registry.list_processes(now),
            self.state.next_number,
        )
