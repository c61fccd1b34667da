"""TCP streams of the daemons: open them as the cores decide, then splice bytes."""

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
    """Open streams of a process by flow, each a pair of spliced connections."""

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
        """Splice two connections; an earlier stream of the flow is reset."""
        self.abort(opened.flow)
        pair = (near, far)
        self._pairs[opened.flow] = pair
        self.dispatch(opened)

        def handle_loss() -> None:
            if self._pairs.get(opened.flow) is not pair:
                return
            if near.is_lost and far.is_lost:
                del self._pairs[opened.flow]
                self.dispatch(StreamEnded(opened.flow))

        near.set_callbacks(on_lost=handle_loss)
        far.set_callbacks(on_lost=handle_loss)
        near.splice(far)
        handle_loss()

    def abort(self, flow: bytes) -> None:
        """Reset both connections of a stream, if it exists."""
        for end in self._pairs.get(flow, ()):
            end.abort()

    def abort_all(self) -> None:
        """Reset every stream."""
        for flow in list(self._pairs):
            self.abort(flow)


class CallerStreams:
    """Streams of an entry host, from callers to agents.

    Parameters
    ----------
    core : EntryCore
        Chooses the agent that a stream is opened at.
    dispatch : callable
        Passes an event to the core and executes its effects.
    counters : Counter
        Counts refused streams.
    is_direct : bool
        Whether connections come directly from callers, without a PROXY v2 header.
    sealer : Sealer or None
        Encrypts streams between entry hosts and agents; None leaves them plain.
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

    def update_listeners(
        self, declared: dict[str, Service], host: str | None
    ) -> list[OSError]:
        """Listen for exactly the declared services; return the errors of binds."""
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
        """Close the listeners; open streams continue."""
        self._is_stopping = True
        for _, listener in self._listeners.values():
            listener.close()
        self._listeners.clear()

    def close(self) -> None:
        """Cancel all openings and reset all streams."""
        self.stop_accepting()
        for task in self._tasks:
            task.cancel()
        self.table.abort_all()

    def _make_acceptor(self, name: str) -> Callable[[StreamConnection], None]:
        def accept(end: StreamConnection) -> None:
            if self._is_direct:
                self._start_opening(name, end.peer, end)
                return
            end.set_callbacks(on_data=lambda: self._handle_header(name, end))

        return accept

    def _handle_header(self, name: str, end: StreamConnection) -> None:
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
        self._start_opening(name, caller, end)

    def _start_opening(self, name: str, caller: Address, end: StreamConnection) -> None:
        task = asyncio.get_running_loop().create_task(self._open(name, caller, end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, name: str, caller: Address, end: StreamConnection) -> None:
        """Follow redirects from agent to agent until one accepts the stream."""
        answer: StreamMessage | Reason = self._core.open_stream(name, caller)
        for _ in range(MAX_REDIRECTS):
            if not isinstance(answer, StreamRedirect) or end.is_lost:
                break
            agent = await _connect(Address(answer.host, answer.port), FramedConnection)
            if agent is None:
                answer = Reason.UPSTREAM_GONE
                break
            agent.secure(self._sealer, self._counters)
            reply = await _request_decision(agent, answer.open)
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
    """Streams of an agent, from entry hosts to the upstream.

    Parameters
    ----------
    core : AgentCore
        Decides on openings of streams as on those of any flow.
    upstream : Address
        Where the upstream listens.
    handle_message : callable
        Passes a message and its source to the core and executes its effects.
    dispatch : callable
        Passes an event to the core and executes its effects.
    """

    def __init__(
        self,
        core: AgentCore,
        upstream: Address,
        handle_message: Callable[[PeerMessage], None],
        dispatch: Dispatch,
        counters: Counter[str],
        sealer: Sealer | None,
    ) -> None:
        self._sealer = sealer
        self.table = StreamTable(dispatch)
        self._core = core
        self._upstream = upstream
        self._handle_message = handle_message
        self._dispatch = dispatch
        self._counters = counters
        self._openings: dict[bytes, FramedConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, end: FramedConnection) -> None:
        """Accept a connection of an entry host and wait for its opening message."""
        end.secure(self._sealer, self._counters)
        end.set_callbacks(on_data=lambda: self._handle_opening(end))

    def answer_opening(self, effect: Effect) -> bool:
        """Answer the opening that an effect decides; return False if there is none."""
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

    def reset(self, flow: bytes) -> None:
        """Reset the stream of a flow that the core has closed."""
        opening = self._openings.pop(flow, None)
        if opening is not None:
            opening.abort()
        self.table.abort(flow)

    def close(self) -> None:
        """Cancel all openings and reset all streams."""
        for task in self._tasks:
            task.cancel()
        for end in self._openings.values():
            end.abort()
        self.table.abort_all()

    def _handle_opening(self, end: FramedConnection) -> None:
        message = end.read_message(end.peer.host)
        if message is None:
            return
        is_open = isinstance(message, StreamOpen)
        if not is_open or not is_address(message.host, message.port):
            self._counters["dropped_malformed"] += 1
            end.abort()
            return
        flow = _get_packet(message).flow
        if not self._is_addressed_here(message):
            self._counters["dropped_wrong_incarnation"] += 1
            end.abort()
            return
        self._openings[flow] = end
        end.set_callbacks(on_lost=lambda: self._discard_opening(flow, end))
        source = Address(message.host, message.port)
        self._handle_message(PeerMessage(source, message.message))

    def _is_addressed_here(self, message: StreamOpen) -> bool:
        member = self._core.member
        packet = _get_packet(message)
        if packet.service != member.service:
            return False
        if isinstance(message.message, Declined):
            return True
        is_target = packet.target == member.name
        return is_target and packet.incarnation == member.incarnation

    def _discard_opening(self, flow: bytes, end: FramedConnection) -> None:
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
    """Connect to an address; return None if that fails or takes too long."""
    if not is_address(*address):
        return None
    loop = asyncio.get_running_loop()
    try:
        connecting = loop.create_connection(end_type, *address)
        _, end = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError):
        return None
    return end


async def _request_decision(
    agent: FramedConnection, opening: StreamOpen
) -> StreamMessage | Reason:
    """Send an opening to an agent and return its decision, or why there is none."""
    decided: asyncio.Future[StreamMessage | Reason]
    decided = asyncio.get_running_loop().create_future()

    def handle_message() -> None:
        message = agent.read_message(agent.peer.host)
        if message is None or decided.done():
            return
        is_malformed = isinstance(message, Malformed)
        decided.set_result(Reason.MALFORMED if is_malformed else message)
        agent.set_callbacks()

    def handle_loss() -> None:
        if not decided.done():
            decided.set_result(Reason.UPSTREAM_GONE)

    agent.set_callbacks(handle_message, handle_loss)
    agent.send(opening)
    try:
        return await asyncio.wait_for(decided, DECISION_TIMEOUT_S)
    except TimeoutError:
        return Reason.NOT_SETTLED
