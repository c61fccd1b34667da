"""Packets that carry the addresses of both ends, and marks for our own hosts.

A packet's header names the caller and the service address; its content and
checksum belong to the two ends. Two fields are left to the hosts on the way:
the mark, which says why one host hands a packet to another, and the return
host, the entry host that an agent hands a packet back to.
"""

from __future__ import annotations

from struct import Struct as Layout
from struct import error as LayoutError

from msgspec import Struct

HEADER_BYTES = 34
MAX_DATA_BYTES = 1200
"""Most bytes of data in a packet, a quantity of the protocol."""
MAX_PACKET_BYTES = HEADER_BYTES + MAX_DATA_BYTES

SYN = 64
ACK = 1
FIN = 16
RST = 8
BOUNCED = 128
"""Set by an upstream on a packet of a flow that it does not hold."""

NO_MARK = 0
MARK_PROBE = 1
"""Several agents got this packet; each says whether it holds the flow."""
MARK_HELD = 2
"""Note of an agent: the flow is held on the host named."""
MARK_NOT_HELD = 3
"""From an agent, a packet or a note: the flow is not held here."""
MARK_REFUSED = 4
"""From an agent: the opening may be offered to another upstream."""
MARK_REFUSED_CLOSED = 5
"""From an agent: as before, and no opening is taken until further notice."""
MARK_SEARCH = 6
"""From an entry host: ask the agents listed behind the packet for its flow."""
MARK_NOT_FOUND = 7
"""From the agent in charge of a search: no agent that was asked holds it."""
MARK_OFFER = 8
"""From an entry host: take this opening only if a request would start at once."""
MARK_BUSY = 9
"""From an agent: it would not; the next field tells the load."""
MARK_QUEUED = 10
"""Note of an agent: the opening waits there for a slot."""
MARK_QUEUE_FAILED = 11
"""From an agent: the opening waited in vain, its caller is to be rejected."""
MARK_ADMITTED = 12
"""Note of an agent: the opening was let pass to the upstream."""

NO_HOST = b"\0\0\0\0"

_HEADER = Layout(">4s2s4s2sH4sBBBx4sII")
_FLAGS_AT = 18
_MARK_AT = 19
_RETURN_AT = 22
_SEQUENCE_AT = 26


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
        Why one of our hosts handed on the packet.
    load : int
        Requests under way at the upstream, with MARK_BUSY; 255 stands for more.
    return_host : bytes
        Address of the host that takes the packet back, four bytes; in a note,
        of the host that it tells about.
    sequence, acknowledged : int
        Positions in the streams of bytes of both directions.
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
    """Parse a packet that a caller sent; None if it is none."""
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
        fields[8],
        fields[9],
        fields[10],
        fields[11],
        fields[4],
    )


def parse_answer(content: bytes) -> Packet | None:
    """Parse a packet of an upstream to a caller; None if it is none."""
    packet = parse_packet(content)
    return None if packet is None else reverse_packet(packet)


def reverse_packet(packet: Packet) -> Packet:
    """Take a parsed packet as one of an upstream: its flow is the caller's."""
    packet.flow = packet.flow[6:] + packet.flow[:6]
    return packet


def mark_packet(packet: Packet, mark: int, return_host: bytes, load: int = 0) -> bytes:
    """Return the packet as it goes from one of our hosts to another."""
    content = packet.content
    flags = packet.flags & ~BOUNCED
    marks = bytes((flags, mark, min(load, 255), 0)) + return_host
    return content[:_FLAGS_AT] + marks + content[_SEQUENCE_AT:]


def make_notice(packet: Packet, mark: int, host: bytes) -> bytes:
    """Return a header without data that tells what a host knows of a flow."""
    addresses = packet.flow + bytes(6)
    marks = bytes((0, mark, 0, 0)) + host
    return addresses + marks + bytes(8)


def make_reset(flow: bytes, sequence: int) -> bytes:
    """Return a reset of our own, from the service's address to the caller.

    Parameters
    ----------
    flow : bytes
        Key of the flow.
    sequence : int
        What the caller last acknowledged; any value while the flow is not open.
    """
    addresses = flow[6:] + flow[:6] + bytes(6)
    return addresses + bytes((RST, 0, 0, 0)) + NO_HOST + sequence.to_bytes(4) + bytes(4)
