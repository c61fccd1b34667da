"""Layout of packets, which carry the addresses of both ends.

A packet's header names the caller and the service address; its data and checksum
belong to the two ends. Entry hosts and agents use two fields: the mark, which tells
why a host sends a packet to another one, and the return host, the entry host that an
agent returns a packet to. A notice is a header without data that a host sends about
a flow.
"""

from __future__ import annotations

from struct import Struct as Layout
from struct import error as LayoutError

from msgspec import Struct

HEADER_BYTES = 34
MAX_DATA_BYTES = 1200
"""Most bytes of data in a packet, set by the protocol."""
MAX_PACKET_BYTES = HEADER_BYTES + MAX_DATA_BYTES

SYN = 64
ACK = 1
FIN = 16
RST = 8
BOUNCED = 128
"""Set by an upstream on a packet of a flow that it does not hold."""

NO_MARK = 0
MARK_PROBE = 1
"""Packet sent to several agents; each replies whether it holds the flow."""
MARK_HELD = 2
"""Notice of an agent: the named host holds the flow."""
MARK_NOT_HELD = 3
"""Packet or notice of an agent: it does not hold the flow."""
MARK_REFUSED = 4
"""Opening returned by an agent: it may be offered to another upstream."""
MARK_REFUSED_CLOSED = 5
"""As MARK_REFUSED, and the agent refuses all openings at present."""
MARK_SEARCH = 6
"""From an entry host: probe the agents listed after the packet for its flow."""
MARK_NOT_FOUND = 7
"""Notice of the agent that coordinates a search: no listed agent holds the flow."""
MARK_OFFER = 8
"""From an entry host: admit this opening only if its request can start at once."""
MARK_BUSY = 9
"""Opening returned by an agent without a free slot, with its load."""
MARK_QUEUED = 10
"""Notice of an agent: it has queued the opening until a slot is free."""
MARK_QUEUE_FAILED = 11
"""Opening returned by an agent whose queue was full or too slow: reject it."""
MARK_ADMITTED = 12
"""Notice of an agent: it has admitted the opening."""

NO_HOST = b"\0\0\0\0"
MAX_LOAD_LEVEL = 10
"""Load level of an upstream whose slots are in use all the time."""
MAX_LOAD = 0xFFFF
"""Largest number that the header's field for the load holds."""

_HEADER = Layout(">4s2s4s2sH4sBBBB4sII")
_FLAGS_AT = 18
_MARK_AT = 19
_RETURN_AT = 22
_SEQUENCE_AT = 26


class LoadReport(Struct, frozen=True, gc=False):
    """Load of an upstream, as its agent reports it in a notice.

    Parameters
    ----------
    wait_ms : int
        Expected time until a request that arrives now starts, milliseconds.
    work_ms : int
        Mean service time, milliseconds, at least 1; 0 if nothing is known.
    load_level : int
        Utilization of the upstream in tenths.
    """

    wait_ms: int = 0
    work_ms: int = 0
    load_level: int = 0


NO_LOAD_REPORT = LoadReport()
_LOAD_REPORT = Layout(">HHB3x")


class Packet(Struct, gc=False):
    """A parsed packet.

    Parameters
    ----------
    content : bytes
        The whole datagram.
    flow : bytes
        Key of the flow: the caller's address and port, then the service's.
    flags : int
        Bits of the header.
    mark : int
        Why an entry host or an agent sent the packet.
    load : int
        With MARK_BUSY the requests in progress at the upstream or, with placement by
        cost, the expected wait in milliseconds; MAX_LOAD means that or more.
    return_host : bytes
        Address of the host to return the packet to, four bytes; in a notice, of
        the host that it is about.
    sequence, acknowledged : int
        Positions in the byte streams of both directions.
    length : int
        Bytes of data.
    """

    content: bytes
    flow: bytes
    flags: int
    mark: int
    load: int
    return_host: bytes
    sequence: int
    acknowledged: int
    length: int

    @property
    def is_opening(self) -> bool:
        """Whether the packet asks an upstream to open a flow."""
        return self.flags & (SYN | ACK) == SYN

    @property
    def is_bounced(self) -> bool:
        """Whether an upstream returned the packet."""
        return bool(self.flags & BOUNCED)

    @property
    def is_ending(self) -> bool:
        """Whether the sender ends its direction or the whole flow."""
        return bool(self.flags & (FIN | RST))

    @property
    def service_address(self) -> bytes:
        """Address and port of the service, six bytes."""
        return self.flow[6:]

    @property
    def caller_host(self) -> bytes:
        """Address of the caller, four bytes."""
        return self.flow[:4]


def parse_packet(content: bytes) -> Packet | None:
    """Parse a packet of a caller; None if it is malformed."""
    try:
        fields = _HEADER.unpack_from(content)
    except LayoutError:
        return None
    if HEADER_BYTES + fields[4] != len(content):
        return None
    return Packet(
        content,
        content[:12],
        fields[6],
        fields[7],
        fields[8] | fields[9] << 8,
        fields[10],
        fields[11],
        fields[12],
        fields[4],
    )


def parse_answer(content: bytes) -> Packet | None:
    """Parse a packet of an upstream to a caller; None if it is malformed."""
    packet = parse_packet(content)
    return None if packet is None else reverse_packet(packet)


def reverse_packet(packet: Packet) -> Packet:
    """Set the flow of an upstream's packet to the key from the caller's side."""
    packet.flow = packet.flow[6:] + packet.flow[:6]
    return packet


def mark_packet(packet: Packet, mark: int, return_host: bytes, load: int = 0) -> bytes:
    """Return the packet with mark, return host and load set, as hosts send it."""
    content = packet.content
    flags = packet.flags & ~BOUNCED
    marks = bytes((flags, mark)) + _encode_load(load) + return_host
    return content[:_FLAGS_AT] + marks + content[_SEQUENCE_AT:]


def _encode_load(load: int) -> bytes:
    """Return the two bytes of a load, the low one first.

    A load below 256 is encoded as by earlier versions, which know only the first byte.
    """
    return min(load, MAX_LOAD).to_bytes(2, "little")


def make_notice(
    packet: Packet, mark: int, host: bytes, load_report: LoadReport = NO_LOAD_REPORT
) -> bytes:
    """Return a notice about the flow of a packet, which names a host."""
    addresses = packet.flow + bytes(6)
    marks = bytes((0, mark, 0, 0)) + host
    loads = _LOAD_REPORT.pack(
        min(load_report.wait_ms, MAX_LOAD),
        min(load_report.work_ms, MAX_LOAD),
        load_report.load_level,
    )
    return addresses + marks + loads


def parse_load_report(notice: Packet) -> LoadReport:
    """Return the load report of a notice; ``NO_LOAD_REPORT`` if it has none."""
    wait_ms, work_ms, level = _LOAD_REPORT.unpack_from(notice.content, _SEQUENCE_AT)
    return LoadReport(wait_ms, work_ms, min(level, MAX_LOAD_LEVEL))


def make_reset(flow: bytes, sequence: int) -> bytes:
    """Return a reset to the caller, sent in the name of the service address.

    Parameters
    ----------
    flow : bytes
        Key of the flow.
    sequence : int
        Position that the caller last acknowledged; any value for a flow not open.
    """
    addresses = flow[6:] + flow[:6] + bytes(6)
    return addresses + bytes((RST, 0, 0, 0)) + NO_HOST + sequence.to_bytes(4) + bytes(4)
