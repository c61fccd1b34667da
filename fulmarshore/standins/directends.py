"""Callers and upstreams of the direct data path, for simulations and soak runs.

Both put a checksum into each packet, as the users' platform does, so that a test
finds every packet that was changed on the way. They model one request at a time
per flow; windows and fragmentation are left out.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from xxhash import xxh32_intdigest

from fulmarshore.direct.packets import (
    ACK,
    BOUNCED,
    FIN,
    RST,
    SYN,
    Packet,
    parse_answer,
    parse_packet,
)

SYN_REPEATS_S = (0.2, 0.6)
"""Times after the first SYN at which a caller repeats it."""
SYN_LIMIT_S = 1.4
FIRST_REPEAT_S = 0.2
LONGEST_REPEAT_S = 1.6
MAX_REPEATS = 8
"""Times that an upstream repeats a packet that nobody acknowledges."""
RESET_DISTANCE = 76_800
"""Farthest position from its own at which a caller accepts a reset of an open flow."""
CHECKSUM_SEED = 77
MAX_FIRST_SEQUENCE = 0x7FFFFFFF
"""Initial sequence numbers are below 2**31, so they do not wrap in a test."""

CallLater = Callable[[float, Callable[[], None]], None]


def make_packet(
    source: bytes,
    destination: bytes,
    flags: int,
    sequence: int,
    acknowledged: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet with its checksum."""
    head = source + destination + len(data).to_bytes(2)
    tail = sequence.to_bytes(4) + acknowledged.to_bytes(4)
    checksum = xxh32_intdigest(
        head + bytes([flags]) + tail + data, CHECKSUM_SEED
    ).to_bytes(4)
    return head + checksum + bytes([flags]) + bytes(7) + tail + data


def is_sealed(content: bytes) -> bool:
    """Return whether the checksum matches; it covers neither BOUNCED nor marks."""
    flags = content[18] & ~BOUNCED
    covered = content[:14] + bytes([flags]) + content[26:]
    return content[14:18] == xxh32_intdigest(covered, CHECKSUM_SEED).to_bytes(4)


class Upstream:
    """An upstream that accepts flows, runs requests and bounces unknown packets.

    Parameters
    ----------
    name, service : str
        Name of the upstream and its service.
    send : callable
        Sends a packet to the agent.
    call_later : callable
        Schedules a callback after a delay in seconds.
    work_s : float
        Service time of a request, in seconds.
    born_ms : int
        Start time, in milliseconds.
    slots : int
        Requests that run concurrently; others wait in a queue.

    Attributes
    ----------
    is_failing : bool
        Whether it resets each flow that brings a request.
    repeats_answers : bool
        Whether it repeats the answer to an opening that no caller has acknowledged.
    """

    def __init__(
        self,
        name: str,
        service: str,
        send: Callable[[bytes], None],
        call_later: CallLater,
        work_s: float = 0.02,
        born_ms: int = 0,
        slots: int = 1000,
    ) -> None:
        self.name = name
        self.service = service
        self.work_s = work_s
        self.born_ms = born_ms
        self.is_alive = True
        self.flows: dict[bytes, int] = {}
        self.half_open: dict[bytes, int] = {}
        self.runs: list[bytes] = []
        self.opened: list[tuple[bytes, bytes]] = []
        self.forged: list[bytes] = []
        self.asked: int = 0
        self.is_failing = False
        self.repeats_answers = False
        self._send = send
        self._call_later = call_later
        self._numbers = 0
        self.slots = slots
        self._free = slots
        self._queue: deque[Callable[[], None]] = deque()
        self._finished: set[bytes] = set()

    def handle_packet(self, content: bytes) -> None:
        """Process a packet that the agent delivered."""
        if not self.is_alive:
            return
        if not is_sealed(content) or content[18] & BOUNCED:
            self.forged.append(content)
            return
        packet = parse_packet(content)
        if packet.is_opening:
            self._accept(packet)
            return
        opened = self.half_open.get(packet.flow)
        if opened is not None and packet.acknowledged == opened + 1:
            self.flows[packet.flow] = self.half_open.pop(packet.flow) + 1
            self.opened.append((packet.flow, packet.service_address))
        if packet.flow not in self.flows:
            self._bounce(content)
            return
        if packet.flags & RST:
            del self.flows[packet.flow]
            return
        if packet.length and self.is_failing:
            self._answer(packet.flow, RST, packet.sequence, b"")
            del self.flows[packet.flow]
            return
        if packet.length:
            self._run(packet)
        if packet.flags & FIN:
            self._answer(packet.flow, FIN | ACK, packet.sequence + 1, b"")
            del self.flows[packet.flow]

    def crash(self) -> None:
        """Crash; all flows are lost."""
        self.is_alive = False
        self.flows.clear()

    def _accept(self, packet: Packet) -> None:
        self._numbers += 1
        # Two upstreams must not choose the same sequence number for a flow: a
        # caller's ACK opens the flow at every upstream whose number matches.
        drawn = xxh32_intdigest(f"{self.name} {self._numbers}".encode())
        sequence = drawn & MAX_FIRST_SEQUENCE
        is_first = packet.flow not in self.half_open
        held = self.half_open.setdefault(packet.flow, sequence)
        source, destination = packet.flow[6:], packet.flow[:6]
        answer = make_packet(source, destination, SYN | ACK, held, packet.sequence + 1)
        self._send(answer)
        if is_first and self.repeats_answers:
            self._call_later(
                FIRST_REPEAT_S, lambda: self._repeat_answer(packet.flow, answer, 1)
            )

    def _repeat_answer(self, flow: bytes, answer: bytes, number: int) -> None:
        if not self.is_alive or flow not in self.half_open or number > MAX_REPEATS:
            return
        self._send(answer)
        delay = min(FIRST_REPEAT_S * 2**number, LONGEST_REPEAT_S)
        self._call_later(delay, lambda: self._repeat_answer(flow, answer, number + 1))

    def _bounce(self, content: bytes) -> None:
        self.asked += 1
        flags = bytes([content[18] | BOUNCED])
        self._send(content[:18] + flags + bytes(3) + content[22:])

    def _run(self, packet: Packet) -> None:
        request = packet.content[-packet.length :]
        acknowledged = packet.sequence + packet.length
        if request in self.runs:
            if request in self._finished:
                self._answer(packet.flow, ACK, acknowledged, b"A" + request)
            return
        self.runs.append(request)

        def finish() -> None:
            self._free += 1
            self._finished.add(request)
            if self._queue:
                self._queue.popleft()()
            if self.is_alive and packet.flow in self.flows:
                self._answer(packet.flow, ACK, acknowledged, b"A" + request)

        def begin() -> None:
            self._free -= 1
            self._call_later(self.work_s, finish)

        if self._free > 0:
            begin()
        else:
            self._queue.append(begin)

    def _answer(self, flow: bytes, flags: int, acknowledged: int, data: bytes) -> None:
        sequence = self.flows.get(flow, 0)
        self._send(make_packet(flow[6:], flow[:6], flags, sequence, acknowledged, data))


class Call:
    """A request of a caller and its outcome."""

    __slots__ = ("request", "sent_at", "outcome", "ended_at")

    def __init__(self, request: bytes, sent_at: float) -> None:
        self.request = request
        self.sent_at = sent_at
        self.outcome = ""
        self.ended_at: float | None = None


class Caller:
    """A flow of a caller, with one request at a time.

    Parameters
    ----------
    flow : bytes
        Key of the flow.
    send : callable
        Sends a packet to the fabric.
    call_later : callable
        Schedules a callback after a delay in seconds.
    now : callable
        Returns monotonic time, in seconds.
    """

    def __init__(
        self,
        flow: bytes,
        send: Callable[[bytes], None],
        call_later: CallLater,
        now: Callable[[], float],
    ) -> None:
        self.flow = flow
        self.calls: list[Call] = []
        self.forged: list[bytes] = []
        self.is_open = False
        self.is_reset = False
        self._send = send
        self._call_later = call_later
        self._now = now
        self._sequence = 1000
        self._acknowledged = 0
        self._pending_call: Call | None = None

    def request(self, request: bytes, deadline_s: float = 3.0) -> Call:
        """Send a request; open the flow first if it is not open."""
        call = Call(request, self._now())
        self.calls.append(call)
        self._pending_call = call
        self._call_later(deadline_s, lambda: self._finish_call(call, "deadline"))
        if self.is_open:
            self._send_request(call, FIRST_REPEAT_S)
            return call
        self.open()
        return call

    def open(self) -> None:
        """Open the flow; the end of the handshake carries no data without a request."""
        self._send(self._make_packet(SYN, self._sequence, 0))
        for number, delay in enumerate(SYN_REPEATS_S, 1):
            self._call_later(delay, lambda number=number: self._repeat_opening(number))
        self._call_later(SYN_LIMIT_S, self._give_up_opening)

    def finish(self) -> None:
        """Close the flow."""
        self._send(self._make_packet(FIN | ACK, self._sequence, self._acknowledged))
        self.is_open = False

    def handle_packet(self, content: bytes) -> None:
        """Process a packet from the fabric."""
        packet = parse_answer(content)
        if packet is None or packet.flow != self.flow:
            self.forged.append(content)
            return
        if packet.flags & RST:
            distance = abs(packet.sequence - self._acknowledged)
            if self.is_open and distance > RESET_DISTANCE:
                return
            self.is_reset = True
            self.is_open = False
            if self._pending_call is not None:
                self._finish_call(self._pending_call, "reset")
            return
        if not is_sealed(content):
            self.forged.append(content)
            return
        if packet.flags & (SYN | ACK) == SYN | ACK:
            self._open(packet)
            return
        call = self._pending_call
        if call is not None and content[34:] == b"A" + call.request:
            self._finish_call(call, "answered")

    def _open(self, packet: Packet) -> None:
        if self.is_open or self.is_reset:
            return
        self.is_open = True
        self._sequence += 1
        self._acknowledged = packet.sequence + 1
        if self._pending_call is not None:
            self._send_request(self._pending_call, FIRST_REPEAT_S)
            return
        self._send(self._make_packet(ACK, self._sequence, self._acknowledged))

    def _send_request(self, call: Call, delay: float) -> None:
        if call.outcome or not self.is_open:
            return
        content = self._make_packet(
            ACK, self._sequence, self._acknowledged, call.request
        )
        self._send(content)
        longer = min(delay * 2, LONGEST_REPEAT_S)
        self._call_later(delay, lambda: self._send_request(call, longer))

    def _repeat_opening(self, number: int) -> None:
        if not self.is_open and not self.is_reset:
            self._send(self._make_packet(SYN, self._sequence, number))

    def _give_up_opening(self) -> None:
        if not self.is_open and self._pending_call is not None:
            self.is_reset = True
            self._finish_call(self._pending_call, "not opened")

    def _finish_call(self, call: Call, outcome: str) -> None:
        if call.outcome:
            return
        call.outcome = outcome
        call.ended_at = self._now()
        if call is self._pending_call:
            self._pending_call = None
        if outcome == "answered":
            self._sequence += len(call.request)

    def _make_packet(
        self, flags: int, sequence: int, acknowledged: int, data: bytes = b""
    ) -> bytes:
        return make_packet(
            self.flow[:6], self.flow[6:], flags, sequence, acknowledged, data
        )


def make_flow(number: int, service_port: int) -> bytes:
    """Return the key of a caller's flow to a service's address."""
    caller = socket.inet_aton("100.64.0.1") + (20_000 + number).to_bytes(2)
    return caller + socket.inet_aton("198.18.0.1") + service_port.to_bytes(2)
