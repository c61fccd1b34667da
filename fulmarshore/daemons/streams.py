"""Streams in the daemons: carry the cores' decisions out, splice the rest."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from fulmarshore.adapters.framing import FramedConnection
from fulmarshore.adapters.listener import Listener
from fulmarshore.adapters.proxy import parse_stream_header
from fulmarshore.adapters.sealing import Sealer
from fulmarshore.adapters.streams import StreamConnection
from fulmarshore.core.addresses import is_address
from fulmarshore.core.records import (
    Address,
    Declined,
    Effect,
    Event,
    Forward,
    Identity,
    Malformed,
    PeerMessage,
    Reason,
    Service,
    StreamAccepted,
    StreamEnded,
    StreamMessage,
    StreamOpen,
    StreamOpened,
    StreamRedirect,
    StreamRefused,
    UpstreamGone,
)
from fulmarshore.routing.agent import AgentCore
from fulmarshore.routing.entry import EntryCore
from fulmarshore.routing.streams import find_flow, make_answer

CONNECT_TIMEOUT_S = 3.0
DECISION_TIMEOUT_S = 5.0
MAX_REDIRECTS = 12

Dispatch = Callable[[Event], None]
End = TypeVar("End", bound=StreamConnection)
Pair = tuple[StreamConnection, StreamConnection]


class StreamTable:
    """The spliced streams of a process, by flow."""

    def __init__(self, dispatch: Dispatch) -> None:
        self.dispatch = dispatch
        self._pairs: dict[bytes, Pair] = {}

    def __len__(self) -> int:
        return len(self._pairs)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._pairs

    def add(
        self, opened: StreamOpened, near: StreamConnection, far: StreamConnection
    ) -> None:
        """Splice two ends; a former stream of the flow is reset."""
        self.abort(opened.flow)
        pair = (near, far)
        self._pairs[opened.flow] = pair
        self.dispatch(opened)

        def lose() -> None:
            if self._pairs.get(opened.flow) is not pair:
                return
            if near.is_lost and far.is_lost:
                del self._pairs[opened.flow]
                self.dispatch(StreamEnded(opened.flow))

        near.set_callbacks(on_lost=lose)
        far.set_callbacks(on_lost=lose)
        near.splice(far)
        lose()

    def abort(self, flow: bytes) -> None:
        """Reset both ends of a stream, if there is one."""
        for end in self._pairs.get(flow, ()):
            end.abort()

    def abort_all(self) -> None:
        """Reset every stream."""
        for flow in list(self._pairs):
            self.abort(flow)


class CallerStreams:
    """The entry host's side: callers' connections, and those to agents.

    Parameters
    ----------
    core : EntryCore
        Says where a stream is opened.
    dispatch : callable
        Takes events for the core.
    counters : Counter
        Counts what is refused.
    is_direct : bool
        Whether connections come as they are, or behind a PROXY v2 header.
    sealer : Sealer or None
        Seals streams between entry hosts and agents.
    """

    def __init__(
        self,
        core: EntryCore,
        dispatch: Dispatch,
        counters: Counter[str],
        is_direct: bool,
        sealer: Sealer | None,
    ) -> None:
        self._sealer = sealer
        self.table = StreamTable(dispatch)
        self._core = core
        self._counters = counters
        self._is_direct = is_direct
        self._is_stopping = False
        self._listeners: dict[str, tuple[Service, Listener]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def follow(self, declared: dict[str, Service], host: str | None) -> list[OSError]:
        """Listen for the services declared and no others, until stopped."""
        if self._is_stopping:
            return []
        for name, (service, listener) in list(self._listeners.items()):
            if declared.get(name) != service:
                listener.close()
                del self._listeners[name]
        errors = []
        for name, service in declared.items():
            if name in self._listeners:
                continue
            address = Address(host or service.host, service.port)
            try:
                listener = Listener(address, self._make_acceptor(name))
            except OSError as error:
                errors.append(error)
                continue
            self._listeners[name] = (service, listener)
        return errors

    def stop_accepting(self) -> None:
        """Close the listeners; open streams go on."""
        self._is_stopping = True
        for _, listener in self._listeners.values():
            listener.close()
        self._listeners.clear()

    def close(self) -> None:
        """Reset everything."""
        self.stop_accepting()
        for task in self._tasks:
            task.cancel()
        self.table.abort_all()

    def _make_acceptor(self, name: str) -> Callable[[StreamConnection], None]:
        def accept(end: StreamConnection) -> None:
            if self._is_direct:
                self._begin(name, end.peer, end)
                return
            end.set_callbacks(on_data=lambda: self._take_header(name, end))

        return accept

    def _take_header(self, name: str, end: StreamConnection) -> None:
        found = parse_stream_header(bytes(end.received), end.peer.host)
        if found is None:
            return
        if isinstance(found, Malformed):
            self._counters["dropped_malformed"] += 1
            end.abort()
            return
        caller, size = found
        del end.received[:size]
        end.set_callbacks()
        self._begin(name, caller, end)

    def _begin(self, name: str, caller: Address, end: StreamConnection) -> None:
        task = asyncio.get_running_loop().create_task(self._open(name, caller, end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, name: str, caller: Address, end: StreamConnection) -> None:
        """Carry the opening from agent to agent until one accepts."""
        answer: StreamMessage | Reason = self._core.open_stream(name, caller)
        for _ in range(MAX_REDIRECTS):
            if not isinstance(answer, StreamRedirect) or end.is_lost:
                break
            agent = await _connect(Address(answer.host, answer.port), FramedConnection)
            if agent is None:
                answer = Reason.UPSTREAM_GONE
                break
            agent.secure(self._sealer, self._counters)
            reply = await _ask(agent, answer.open)
            if isinstance(reply, StreamAccepted) and reply.service == name:
                flow = _get_packet(answer.open).flow
                if reply.flow == flow and end.is_open and agent.is_open:
                    owner = Identity(reply.agent, reply.incarnation)
                    self.table.add(StreamOpened(name, flow, owner), end, agent)
                    return
            agent.abort()
            answer = reply
        reason = answer.reason if isinstance(answer, StreamRefused) else answer
        is_reason = isinstance(reason, Reason)
        kind = reason if is_reason else Reason.TOO_MANY_HOPS
        self._counters[f"streams_refused_{kind}"] += 1
        end.abort()


class AgentStreams:
    """The agent's side: connections of entry hosts, and those to the upstream.

    Parameters
    ----------
    core : AgentCore
        Decides on openings as on those of any flow.
    upstream : Address
        Where the upstream listens.
    take : callable
        Hands a message and its source to the core and carries out what the
        core returns.
    dispatch : callable
        Takes events for the core.
    """

    def __init__(
        self,
        core: AgentCore,
        upstream: Address,
        take: Callable[[PeerMessage], None],
        dispatch: Dispatch,
        counters: Counter[str],
        sealer: Sealer | None,
    ) -> None:
        self._sealer = sealer
        self.table = StreamTable(dispatch)
        self._core = core
        self._upstream = upstream
        self._take = take
        self._dispatch = dispatch
        self._counters = counters
        self._openings: dict[bytes, FramedConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, end: FramedConnection) -> None:
        """Take a connection of an entry host."""
        end.secure(self._sealer, self._counters)
        end.set_callbacks(on_data=lambda: self._take_opening(end))

    def decide(self, effect: Effect) -> bool:
        """Carry out an effect that decides an opening; False if it does not."""
        if not self._openings:
            return False
        flow = find_flow(effect)
        end = self._openings.pop(flow, None) if flow is not None else None
        if end is None:
            return False
        core = self._core
        answer = make_answer(effect, core.member, core.service, core.table.version)
        end.set_callbacks()
        if not isinstance(answer, StreamAccepted):
            self._counters["streams_passed_on_or_refused"] += 1
            end.send(answer)
            end.close()
            return True
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._open(end, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def end(self, flow: bytes) -> None:
        """Reset the stream of a flow that the core has ended."""
        opening = self._openings.pop(flow, None)
        if opening is not None:
            opening.abort()
        self.table.abort(flow)

    def close(self) -> None:
        """Reset everything."""
        for task in self._tasks:
            task.cancel()
        for end in self._openings.values():
            end.abort()
        self.table.abort_all()

    def _take_opening(self, end: FramedConnection) -> None:
        message = end.read_message(end.peer.host)
        if message is None:
            return
        is_open = isinstance(message, StreamOpen)
        if not is_open or not is_address(message.host, message.port):
            self._counters["dropped_malformed"] += 1
            end.abort()
            return
        flow = _get_packet(message).flow
        if not self._is_mine(message):
            self._counters["dropped_wrong_incarnation"] += 1
            end.abort()
            return
        self._openings[flow] = end
        end.set_callbacks(on_lost=lambda: self._forget(flow, end))
        source = Address(message.host, message.port)
        self._take(PeerMessage(source, message.message))

    def _is_mine(self, message: StreamOpen) -> bool:
        member = self._core.member
        packet = _get_packet(message)
        if packet.service != member.service:
            return False
        if isinstance(message.message, Declined):
            return True
        is_target = packet.target == member.name
        return is_target and packet.incarnation == member.incarnation

    def _forget(self, flow: bytes, end: FramedConnection) -> None:
        if self._openings.get(flow) is end:
            del self._openings[flow]

    async def _open(self, end: FramedConnection, accepted: StreamAccepted) -> None:
        flow = accepted.flow
        upstream = await _connect(self._upstream, StreamConnection)
        is_held = flow in self._core.flows
        if upstream is None or not end.is_open or not is_held:
            head = (accepted.service, accepted.agent, accepted.incarnation)
            reason = Reason.UPSTREAM_GONE
            if end.is_open:
                end.send(StreamRefused(*head, accepted.version, flow, reason))
                end.close()
            if upstream is not None:
                upstream.abort()
            if flow not in self.table:
                self._dispatch(UpstreamGone(flow))
            return
        end.send(accepted)
        owner = Identity(accepted.agent, accepted.incarnation)
        self.table.add(StreamOpened(accepted.service, flow, owner), end, upstream)


def _get_packet(message: StreamOpen) -> Forward:
    carried = message.message
    return carried.packet if isinstance(carried, Declined) else carried


async def _connect(address: Address, end_type: type[End]) -> End | None:
    """Connect to an address; None where nobody is there in time."""
    if not is_address(*address):
        return None
    loop = asyncio.get_running_loop()
    try:
        connecting = loop.create_connection(end_type, *address)
        _, end = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError):
        return None
    return end


async def _ask(agent: FramedConnection, opening: StreamOpen) -> StreamMessage | Reason:
    """Send an opening to an agent and wait for its decision."""
    decided: asyncio.Future[StreamMessage | Reason]
    decided = asyncio.get_running_loop().create_future()

    def take() -> None:
        message = agent.read_message(agent.peer.host)
        if message is None or decided.done():
            return
        is_malformed = isinstance(message, Malformed)
        decided.set_result(Reason.MALFORMED if is_malformed else message)
        agent.set_callbacks()

    def lose() -> None:
        if not decided.done():
            decided.set_result(Reason.UPSTREAM_GONE)

    agent.set_callbacks(take, lose)
    agent.send(opening)
    try:
        return await asyncio.wait_for(decided, DECISION_TIMEOUT_S)
    except TimeoutError:
        return Reason.NOT_SETTLED
