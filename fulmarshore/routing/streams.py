"""Translates an agent's decision on an opening into the answer for a stream.

A stream is opened like any flow, with the same messages, home agents, limits
and hand-overs, except that the entry host carries the message from agent to
agent on connections, and the payload follows once the owner has accepted.
"""

from __future__ import annotations

from fulmarshore.core.records import (
    Address,
    Declined,
    Effect,
    Forward,
    Member,
    Reason,
    Refusal,
    SendPeer,
    SendUpstream,
    StreamAccepted,
    StreamOpen,
    StreamRedirect,
    StreamRefused,
)
from fulmarshore.routing.table import ServiceTable

StreamAnswer = StreamAccepted | StreamRedirect | StreamRefused


def find_flow(effect: Effect) -> bytes | None:
    """Return the flow whose opening an effect decides; None for any other."""
    match effect:
        case SendUpstream(flow=flow):
            return flow
        case SendPeer(message=Forward(flow=flow)):
            return flow
        case SendPeer(message=Refusal(flow=flow)):
            return flow
        case SendPeer(message=Declined(packet=packet)):
            return packet.flow
    return None


def make_answer(
    effect: Effect, member: Member, service: ServiceTable | None, version: int
) -> StreamAnswer:
    """Return the answer to the entry host.

    Parameters
    ----------
    effect : Effect
        The decision, as the core of the agent returned it.
    member : Member
        The agent.
    service : ServiceTable or None
        Its service in the table in force.
    version : int
        Version of that table.
    """
    head = (member.service, member.name, member.incarnation, version)
    match effect:
        case SendUpstream(flow=flow):
            return StreamAccepted(*head, flow)
        case SendPeer(message=Refusal() as refusal):
            return StreamRefused(*head, refusal.flow, refusal.reason)
        case SendPeer(destination=address, message=message):
            stream = _find_stream_address(service, address)
            if stream is not None:
                reopening = StreamOpen(message, member.host, member.port)
                return StreamRedirect(reopening, *stream)
    flow = find_flow(effect)
    assert flow is not None, "no decision on an opening"
    return StreamRefused(*head, flow, Reason.NO_UPSTREAM)


def _find_stream_address(
    service: ServiceTable | None, address: Address
) -> Address | None:
    members = service.members if service is not None else ()
    for member in members:
        matches = member.host == address[0] and member.port == address[1]
        if matches and member.stream_port:
            return Address(member.host, member.stream_port)
    return None
