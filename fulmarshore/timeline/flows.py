"""What happens to single flows, read off the events and effects of a core.

Opening, arbitration, owner, hand-over and ending of a flow are all seen in the
messages that the cores take and send, so no core has to tell of them. Packets
of known flows do not come by here.
"""

from __future__ import annotations

from msgspec.structs import replace

from fulmarshore.core.records import (
    CloseUpstream,
    Datagram,
    Declined,
    Effect,
    Event,
    Forward,
    PeerMessage,
    Refusal,
    Released,
    SendPeer,
    SendUpstream,
    StreamEnded,
    StreamOpened,
    TimelineEvent,
    UpstreamGone,
)

MAX_FLOWS = 4096
"""Flows of which the last event is remembered, so that none is told twice."""


class FlowTracer:
    """Tells each step of a flow at one process once.

    Parameters
    ----------
    max_flows : int
        Flows remembered; of the one longest silent a step may be told again.
    """

    __slots__ = ("_max_flows", "_last", "_held")

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self._max_flows = max_flows
        self._held: dict[bytes, Forward] = {}
        self._last: dict[bytes, TimelineEvent] = {}

    def observe(self, event: Event, effects: list[Effect]) -> list[TimelineEvent]:
        """Return what an event and its effects tell about single flows."""
        told: list[TimelineEvent] = []
        match event:
            case PeerMessage(message=Refusal() as message):
                self._tell(told, "flow_refused", message, message.agent, message.reason)
            case PeerMessage(message=Released() as message):
                self._tell(told, "flow_released", message, message.agent)
            case StreamOpened():
                self._tell(told, "flow_opened", event, event.owner.name)
            case StreamEnded(flow=flow):
                self._end(told, flow, "stream ended")
            case PeerMessage(message=Forward() as message) if not effects:
                self._hold(message)
        for effect in effects:
            match effect:
                case SendPeer(message=message):
                    self._watch_message(told, event, message)
                case SendUpstream(flow=flow):
                    self._watch_owner(told, event, flow)
                case CloseUpstream(flow=flow):
                    self._end(told, flow, _explain_end(event))
        return told

    def record_forwarded(
        self, service: str, flow: bytes, peer: str
    ) -> list[TimelineEvent]:
        """Return what a packet tells that went out by a new prepared head."""
        told: list[TimelineEvent] = []
        event = TimelineEvent("flow_forwarded", service, flow.hex(), peer)
        self._keep(told, flow, event)
        return told

    def _watch_message(
        self, told: list[TimelineEvent], event: Event, message: object
    ) -> None:
        match message:
            case Forward(target=target, assignment=number):
                kind = _name_forward(event, message)
                detail = f"assignment {number}" if number else ""
                self._tell(told, kind, message, target, detail)
            case Declined(packet=packet):
                detail = f"assignment {packet.assignment}"
                self._tell(told, "flow_declined", packet, "", detail)
            case Refusal(reason=reason):
                self._tell(told, "flow_refused", message, "", reason)

    def _watch_owner(
        self, told: list[TimelineEvent], event: Event, flow: bytes
    ) -> None:
        held = self._last.get(flow)
        if held is not None and held.kind == "flow_opened":
            return
        packet = self._held.pop(flow, None)
        if isinstance(event, PeerMessage) and isinstance(event.message, Forward):
            if event.message.flow == flow:
                packet = event.message
        if packet is None:
            return
        detail = f"assignment {packet.assignment}" if packet.assignment else "home"
        self._tell(told, "flow_opened", packet, packet.entry, detail)

    def _hold(self, packet: Forward) -> None:
        """Remember a packet that waits, as its flow is opened by a later event."""
        if packet.flow in self._last or packet.flow in self._held:
            return
        self._held[packet.flow] = replace(packet, payload=b"")
        if len(self._held) > self._max_flows:
            del self._held[next(iter(self._held))]

    def _tell(
        self,
        told: list[TimelineEvent],
        kind: str,
        message: Forward | Refusal | Released | StreamOpened,
        peer: str,
        detail: str = "",
    ) -> None:
        key = message.flow
        event = TimelineEvent(kind, message.service, key.hex(), peer, str(detail))
        self._keep(told, key, event)

    def _keep(
        self, told: list[TimelineEvent], key: bytes, event: TimelineEvent
    ) -> None:
        if self._last.pop(key, None) != event:
            told.append(event)
        self._last[key] = event
        if len(self._last) > self._max_flows:
            del self._last[next(iter(self._last))]

    def _end(self, told: list[TimelineEvent], flow: bytes, detail: str) -> None:
        held = self._last.pop(flow, None)
        service = held.service if held is not None else ""
        told.append(TimelineEvent("flow_ended", service, flow.hex(), detail=detail))


def _name_forward(event: Event, message: Forward) -> str:
    match event:
        case Datagram():
            return "flow_forwarded"
        case PeerMessage(message=Forward(assignment=number)):
            same = message.assignment == number
            return "flow_passed_on" if same else "flow_assigned"
    return "flow_assigned" if message.assignment else "flow_passed_on"


def _explain_end(event: Event) -> str:
    match event:
        case UpstreamGone():
            return "upstream gone"
        case PeerMessage():
            return "by a message"
    return "by the agent"
