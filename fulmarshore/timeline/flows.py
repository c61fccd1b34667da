"""Derives time line events of single flows from the events and effects of a core.

The messages that cores receive and send show the opening, arbitration, owner,
hand-over and end of a flow, so cores need not report them. Packets of known flows
do not pass through here.
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
"""Flows whose last event is stored, so that it is not reported again."""


class FlowTracer:
    """Reports each step of a flow at one process once.

    Parameters
    ----------
    max_flows : int
        Flows whose last event is stored. Beyond it the least recently updated is
        dropped, and a step of that flow may be reported again.
    """

    __slots__ = ("_max_flows", "_last_events", "_waiting")

    def __init__(self, max_flows: int = MAX_FLOWS) -> None:
        self._max_flows = max_flows
        self._waiting: dict[bytes, Forward] = {}
        self._last_events: dict[bytes, TimelineEvent] = {}

    def observe(self, event: Event, effects: list[Effect]) -> list[TimelineEvent]:
        """Return the flow events that an event and its effects show."""
        events: list[TimelineEvent] = []
        match event:
            case PeerMessage(message=Refusal() as message):
                self._add_event(
                    events, "flow_refused", message, message.agent, message.reason
                )
            case PeerMessage(message=Released() as message):
                self._add_event(events, "flow_released", message, message.agent)
            case StreamOpened():
                self._add_event(events, "flow_opened", event, event.owner.name)
            case StreamEnded(flow=flow):
                self._add_end(events, flow, "stream ended")
            case PeerMessage(message=Forward() as message) if not effects:
                self._record_waiting(message)
        for effect in effects:
            match effect:
                case SendPeer(message=message):
                    self._observe_message(events, event, message)
                case SendUpstream(flow=flow):
                    self._observe_delivery(events, event, flow)
                case CloseUpstream(flow=flow):
                    self._add_end(events, flow, _describe_end(event))
        return events

    def record_forwarded(
        self, service: str, flow: bytes, peer: str
    ) -> list[TimelineEvent]:
        """Return the event of a packet forwarded with a new prepared header."""
        events: list[TimelineEvent] = []
        event = TimelineEvent("flow_forwarded", service, flow.hex(), peer)
        self._add_if_new(events, flow, event)
        return events

    def _observe_message(
        self, events: list[TimelineEvent], event: Event, message: object
    ) -> None:
        match message:
            case Forward(target=target, assignment=number):
                kind = _classify_forward(event, message)
                detail = f"assignment {number}" if number else ""
                self._add_event(events, kind, message, target, detail)
            case Declined(packet=packet):
                detail = f"assignment {packet.assignment}"
                self._add_event(events, "flow_declined", packet, "", detail)
            case Refusal(reason=reason):
                self._add_event(events, "flow_refused", message, "", reason)

    def _observe_delivery(
        self, events: list[TimelineEvent], event: Event, flow: bytes
    ) -> None:
        last_event = self._last_events.get(flow)
        if last_event is not None and last_event.kind == "flow_opened":
            return
        packet = self._waiting.pop(flow, None)
        if isinstance(event, PeerMessage) and isinstance(event.message, Forward):
            if event.message.flow == flow:
                packet = event.message
        if packet is None:
            return
        detail = f"assignment {packet.assignment}" if packet.assignment else "home"
        self._add_event(events, "flow_opened", packet, packet.entry, detail)

    def _record_waiting(self, packet: Forward) -> None:
        """Store a packet whose flow is opened by a later event."""
        if packet.flow in self._last_events or packet.flow in self._waiting:
            return
        self._waiting[packet.flow] = replace(packet, payload=b"")
        if len(self._waiting) > self._max_flows:
            del self._waiting[next(iter(self._waiting))]

    def _add_event(
        self,
        events: list[TimelineEvent],
        kind: str,
        message: Forward | Refusal | Released | StreamOpened,
        peer: str,
        detail: str = "",
    ) -> None:
        key = message.flow
        event = TimelineEvent(kind, message.service, key.hex(), peer, str(detail))
        self._add_if_new(events, key, event)

    def _add_if_new(
        self, events: list[TimelineEvent], key: bytes, event: TimelineEvent
    ) -> None:
        if self._last_events.pop(key, None) != event:
            events.append(event)
        self._last_events[key] = event
        if len(self._last_events) > self._max_flows:
            del self._last_events[next(iter(self._last_events))]

    def _add_end(self, events: list[TimelineEvent], flow: bytes, detail: str) -> None:
        last_event = self._last_events.pop(flow, None)
        service = last_event.service if last_event is not None else ""
        events.append(TimelineEvent("flow_ended", service, flow.hex(), detail=detail))


def _classify_forward(event: Event, message: Forward) -> str:
    match event:
        case Datagram():
            return "flow_forwarded"
        case PeerMessage(message=Forward(assignment=number)):
            same = message.assignment == number
            return "flow_passed_on" if same else "flow_assigned"
    return "flow_assigned" if message.assignment else "flow_passed_on"


def _describe_end(event: Event) -> str:
    match event:
        case UpstreamGone():
            return "upstream gone"
        case PeerMessage():
            return "by a message"
    return "by the agent"
