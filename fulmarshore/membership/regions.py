"""Rejects processes and control hosts of other regions.

If either side has no region set, the sender is accepted. So the setting can be
rolled out to processes and control hosts one by one, in any order.
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

MAX_REPORTED_SENDERS = 1024
"""Number of refused senders to remember, so that each is reported only once."""


class RegionGuard:
    """Checks the region that the sender of a message states.

    Parameters
    ----------
    name : str
        Name of the control host.
    region : str
        Its region; empty accepts every region.
    counters : Counter
        Counts refused messages.
    """

    def __init__(self, name: str, region: str, counters: Counter[str]) -> None:
        self.region = region
        self._name = name
        self._counters = counters
        self._reported: dict[tuple[str, str], None] = {}

    def check(self, event: LinkMessage) -> list[Effect] | None:
        """Return the effects of a refusal, or None if the message is accepted."""
        match event.message:
            case JoinRequest(sender=sender, region=region):
                return self._check_region(sender.name, region, [])
            case JoinReply(sender=sender, region=region):
                return self._check_region(sender.name, region, [])
            case HeartbeatReport(control=control, region=region):
                return self._check_region(control, region, [])
            case Subscribe(identity=identity, region=region):
                refusal = RegionRefused(self._name, region, self.region)
                answer = SendLink(event.peer, refusal)
                return self._check_region(identity.name, region, [answer])
            case Relay(message=Subscribe() as message) if message.region:
                return self._check_region(message.identity.name, message.region, [])
            case Relay(region=region):
                replies = self._make_change_replies(event.peer, event.message)
                return self._check_region(event.peer, region, replies)
        return None

    def _check_region(
        self, sender: str, region: str, replies: list[Effect]
    ) -> list[Effect] | None:
        if not region or not self.region or region == self.region:
            return None
        self._counters["region_refused"] += 1
        return [*replies, *self._report_once(sender, region)]

    def _make_change_replies(self, via: str, relay: Relay) -> list[Effect]:
        """Return the final reply to a refused change, if the message is one."""
        change = relay.message
        if not isinstance(change, Change):
            return []
        text = format_region_error(relay.region, self.region)
        reply = ChangeReply(change.number, ChangeStatus.INVALID, 0, "", [text], 0)
        return [SendLink(via, RelayReply(relay.peer, reply))]

    def _report_once(self, sender: str, region: str) -> list[TimelineEvent]:
        key = (sender, region)
        if key in self._reported:
            return []
        if len(self._reported) >= MAX_REPORTED_SENDERS:
            del self._reported[next(iter(self._reported))]
        self._reported[key] = None
        return [make_refusal_event(sender, region, self.region)]


def make_refusal_event(peer: str, region: str, allowed: str) -> TimelineEvent:
    """Return the timeline event of a refusal."""
    detail = format_region_error(region, allowed)
    return TimelineEvent("region_refused", peer=peer, detail=detail)


def format_region_error(region: str, allowed: str) -> str:
    """Return an error text with the refused region and the allowed one."""
    return f"--region {region}: allowed is {allowed}"
