"""Keeps the processes and control hosts of other regions out.

A region that is not told, on either side, is let in: so processes and control
hosts take up the setting one after the other, in any order.
"""

from __future__ import annotations

from collections import Counter

from fulmarshore.core.records import (
    Change,
    ChangeReply,
    ChangeStatus,
    Effect,
    HeartbeatReport,
    JoinReply,
    JoinRequest,
    LinkMessage,
    RegionRefused,
    Relay,
    RelayReply,
    SendLink,
    Subscribe,
    TimelineEvent,
)

MAX_TOLD = 1024
"""Refused senders that are remembered, so that each is told of once."""


class RegionGuard:
    """Judges what comes over the links by the region that its sender names.

    Parameters
    ----------
    name : str
        Name of the control host.
    region : str
        Its region; empty lets everybody in.
    counters : Counter
        Counts the refusals.
    """

    def __init__(self, name: str, region: str, counters: Counter[str]) -> None:
        self.region = region
        self._name = name
        self._counters = counters
        self._told: dict[tuple[str, str], None] = {}

    def judge(self, event: LinkMessage) -> list[Effect] | None:
        """Return what a refusal brings about; None where the message is taken."""
        match event.message:
            case JoinRequest(sender=sender, region=region):
                return self._judge(sender.name, region, [])
            case JoinReply(sender=sender, region=region):
                return self._judge(sender.name, region, [])
            case HeartbeatReport(control=control, region=region):
                return self._judge(control, region, [])
            case Subscribe(identity=identity, region=region):
                refusal = RegionRefused(self._name, region, self.region)
                answer = SendLink(event.peer, refusal)
                return self._judge(identity.name, region, [answer])
            case Relay(message=Subscribe() as message) if message.region:
                return self._judge(message.identity.name, message.region, [])
            case Relay(region=region):
                answers = self._list_answers(event.peer, event.message)
                return self._judge(event.peer, region, answers)
        return None

    def _judge(
        self, sender: str, region: str, answers: list[Effect]
    ) -> list[Effect] | None:
        if not region or not self.region or region == self.region:
            return None
        self._counters["region_refused"] += 1
        return [*answers, *self._tell(sender, region)]

    def _list_answers(self, via: str, relay: Relay) -> list[Effect]:
        """Return the answer to a change: it was not accepted, and will not be."""
        change = relay.message
        if not isinstance(change, Change):
            return []
        text = format_region_error(relay.region, self.region)
        reply = ChangeReply(change.number, ChangeStatus.INVALID, 0, "", [text], 0)
        return [SendLink(via, RelayReply(relay.peer, reply))]

    def _tell(self, sender: str, region: str) -> list[TimelineEvent]:
        key = (sender, region)
        if key in self._told:
            return []
        if len(self._told) >= MAX_TOLD:
            del self._told[next(iter(self._told))]
        self._told[key] = None
        return [describe_refusal(sender, region, self.region)]


def describe_refusal(peer: str, region: str, allowed: str) -> TimelineEvent:
    """Return the event that tells of a refusal."""
    detail = format_region_error(region, allowed)
    return TimelineEvent("region_refused", peer=peer, detail=detail)


def format_region_error(region: str, allowed: str) -> str:
    """Return field and value of a refused region, and what is allowed."""
    return f"--region {region}: allowed is {allowed}"
