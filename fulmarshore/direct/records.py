"""Records of the direct data path: tables, control messages, events and effects."""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fulmarshore.core.ranges import (
    DECODE_ERRORS,
    Address,
    Count,
    Number,
    OptionalAddress,
    Port,
    Text,
)
from fulmarshore.direct.packets import MAX_LOAD_LEVEL


class Record(Struct, frozen=True, array_like=True, tag=True):
    """Base of the records that are sent: arrays whose first item is the class name."""


class Backend(Record, frozen=True):
    """A service that gets the flows of a route, in proportion to its weight."""

    service: str
    weight: Count


class Urgency(Record, frozen=True):
    """Order in which openings are served when there are too many.

    Parameters
    ----------
    priority : int
        0 is the highest.
    objective_s : float
        Latency objective in seconds.
    """

    priority: Count = 0
    objective_s: float = float("inf")


NO_URGENCY = Urgency()


class Route(Record, frozen=True):
    """Destination of the flows to one address and port.

    Parameters
    ----------
    address : bytes
        Address and port, six bytes.
    backends : tuple of Backend
        The services that get new flows.
    urgency : Urgency
        Urgency of its openings.
    is_upload : bool
        Whether the bulk of its bytes travels from callers to upstreams.
    is_repeatable : bool
        Whether a request may run twice.
    """

    address: bytes
    backends: tuple[Backend, ...]
    urgency: Urgency = NO_URGENCY
    is_upload: bool = False
    is_repeatable: bool = True


class ServicePolicy(Record, frozen=True):
    """Limits of a service from the configuration.

    Parameters
    ----------
    name : str
        Name of the service.
    max_flows : int
        Most flows of one upstream; 0 for no limit.
    cold_per_s : float
        Requests a second that a cold upstream can serve; 0 for no limit.
    """

    name: str
    max_flows: Count
    cold_per_s: float


class Table(Record, frozen=True):
    """The part of the configuration that entry hosts and agents need.

    Parameters
    ----------
    index : int
        Index in the replicated log of the last change.
    version : int
        The operator's version of the configuration.
    routes : tuple of Route
        All routes.
    services : tuple of ServicePolicy
        All services.
    idle_timeout_s : float
        Seconds without a packet after which a flow may be discarded.
    zones_out : tuple of str
        Availability zones whose upstreams get no new flows.
    places_by_cost : bool
        Whether new flows are placed by their expected completion.
    """

    index: Number = 0
    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    idle_timeout_s: float = 60.0
    zones_out: tuple[str, ...] = ()
    places_by_cost: bool = False


_table_encoder = msgspec.msgpack.Encoder()
_table_decoder = msgspec.msgpack.Decoder(Table)


def encode_table(table: Table) -> bytes:
    """Encode and compress a table for an update."""
    return zlib.compress(_table_encoder.encode(table))


def decode_table(content: bytes) -> Table | None:
    """Decode the table of an update; None if the update has none.

    Raises
    ------
    ValueError
        If the bytes are not a compressed table.
    """
    if not content:
        return None
    try:
        return _table_decoder.decode(zlib.decompress(content))
    except (zlib.error, *DECODE_ERRORS) as error:
        raise ValueError(f"update carries no valid table: {error}") from error


Level = Annotated[int, Meta(ge=0, le=MAX_LOAD_LEVEL)]
"""Utilization in tenths."""


class AgentReport(Record, frozen=True):
    """State of an agent and its upstream, as sent to control hosts.

    Parameters
    ----------
    host : str
        Address of the agent's host.
    process, revision : int
        Random number of the agent's process, and number of the report.
    zone : str
        Availability zone of the upstream.
    service : str
        Service of the upstream's current incarnation; empty if unknown.
    is_accepting : bool
        Whether the agent admits new flows.
    is_cold : bool
        Whether the upstream is in its cold start.
    slots : int
        Requests that the upstream serves at the same time.
    flows, busy : int
        Flows that the agent tracks, and those with a request in progress.
    is_ended : bool
        Whether the upstream has ended for good, with all its flows.
    is_empty : bool
        Whether the upstream has ended, so that no flow is held here.
    incarnation : str
        Name and start time of the upstream's incarnation, ``ID@BORN_MS``; empty if no
        upstream has announced itself.
    load_level : int
        Utilization of the upstream in tenths.
    work_ms : int
        Mean service time, milliseconds; 0 if not known.
    open_flows : int
        Flows that neither side has ended; 0 if not known.
    packet_port : int
        Port for packets on every host, also of callers: control hosts may have no
        setting for it.
    """

    host: Address
    process: Number
    revision: Number
    zone: Text
    service: Text
    is_accepting: bool
    is_cold: bool
    slots: Count
    flows: Count
    busy: Count
    is_ended: bool = False
    is_empty: bool = False
    incarnation: Text = ""
    load_level: Level = 0
    work_ms: Count = 0
    open_flows: Count = 0
    packet_port: Port = 0


class Poll(Record, frozen=True):
    """Request of a process to a control host for newer state.

    Parameters
    ----------
    index : int
        Log index of the table that the process has.
    directory : int
        Random number of the control host's process, from its last update.
    revision : int
        Revision of that control host's directory that the process has.
    wants_directory : bool
        Whether to send agent reports.
    wants_table : bool
        Whether to send a newer table, not only its index.
    report : AgentReport or None
        The report of an agent that polls.
    number : int
        Number of the poll; 0 for one whose receipt need not be confirmed.
    """

    index: Number
    directory: Number
    revision: Number
    wants_directory: bool
    wants_table: bool = False
    report: AgentReport | None = None
    number: Number = 0


FlowKey = Annotated[bytes, Meta(min_length=12, max_length=12)]
"""Key of a flow: the caller's address and port, then the service's."""
Position = Annotated[int, Meta(ge=0, lt=1 << 32)]
"""Position in a byte stream."""


class KeptFlows(Record, frozen=True):
    """Flows that an agent registers with a control host, for a notice of their loss.

    Parameters
    ----------
    host : str
        Address of the agent's host.
    process, number : int
        Random number of the agent's process, and number of the message. Reports of
        the process are numbered in the same sequence.
    incarnation : str
        The incarnation of the upstream that holds the flows, ``ID@BORN_MS``.
    is_complete : bool
        Whether ``kept`` lists all flows that the process has registered.
    kept : tuple of (bytes, int)
        Keys, and the positions that the callers last acknowledged.
    ended : tuple of bytes
        Keys of flows that have ended.
    """

    host: Address
    process: Number
    incarnation: Text
    number: Number
    is_complete: bool
    kept: tuple[tuple[FlowKey, Position], ...] = ()
    ended: tuple[FlowKey, ...] = ()


class Update(Record, frozen=True):
    """State of a control host, sent in reply to a poll or when it changes.

    Parameters
    ----------
    controls : tuple of str
        Addresses of the control hosts that vote; a control host without a disk adds
        those that asked it to join.
    leader : str
        Address of the leader; empty if none is known.
    index : int
        Log index of the control host's table.
    table : bytes
        The encoded table; empty if it is not sent.
    directory, revision : int
        Random number of the control host's process, 0 without a directory, and
        the revision of its directory.
    age_s : float
        Seconds since that process started to receive reports.
    missing_s : float
        Seconds since the most recent missing agent went missing; missing agents may
        still hold flows.
    is_complete : bool
        Whether the reports are the whole directory, not only changes.
    reports : tuple of AgentReport
        Reports of agents that are new or have changed.
    gone : tuple of str
        Hosts whose agents stopped reporting.
    ended : tuple of str
        Those of them whose upstream has ended for good.
    poll : int
        Number of the last numbered poll that the control host received from the
        process: the update was made after it.
    """

    controls: tuple[Address, ...]
    leader: OptionalAddress
    index: Number
    table: bytes
    directory: Number
    revision: Number
    age_s: float
    missing_s: float
    is_complete: bool = False
    reports: tuple[AgentReport, ...] = ()
    gone: tuple[Address, ...] = ()
    ended: tuple[Address, ...] = ()
    poll: Number = 0


# --------------------------------------------------------------------------
# Events and effects of the cores of entry hosts and agents
# --------------------------------------------------------------------------


class CallerPacket(Struct, frozen=True, gc=False):
    """Event: a datagram arrived on the socket for packets of callers."""

    content: bytes


class ReturnedPacket(Struct, frozen=True, gc=False):
    """Event: an agent returned a packet, or sent a notice about a flow."""

    content: bytes
    host: str


class UpstreamPacket(Struct, frozen=True, gc=False):
    """Event: the upstream sent a packet, or bounced one."""

    content: bytes


class UpstreamClosed(Struct, frozen=True):
    """Event: the upstream's address refused a packet, as nothing listens there."""


class UpstreamAbsent(Struct, frozen=True):
    """Event: nothing listens at the upstream's address, so no upstream runs there."""


class UpstreamReplaced(Struct, frozen=True):
    """Event: the settings name another upstream; it must announce itself first."""


class UpdateReceived(Struct, frozen=True):
    """Event: a control host sent an update.

    Parameters
    ----------
    host : str
        The control host.
    update : Update
        The update.
    table : Table or None
        The decoded table of the update.
    """

    host: str
    update: Update
    table: Table | None = None


class UpstreamAnnounced(Struct, frozen=True):
    """Event: the upstream announced itself.

    Parameters
    ----------
    upstream : str
        Identity of the incarnation.
    born_ms : int
        Time of its start by its clock, milliseconds.
    sequence : int
        Number of the announcement, increasing within an incarnation.
    service, zone : str
        Service and availability zone of the upstream.
    slots : int
        Requests that it serves at the same time.
    is_ready : bool
        False while it drains.
    cold_s : float
        Remaining seconds of its cold start.
    """

    upstream: str
    born_ms: int
    sequence: int
    service: str
    zone: str
    slots: int
    is_ready: bool
    cold_s: float


class UpstreamDeparted(Struct, frozen=True):
    """Event: the upstream announced that it ends."""

    upstream: str


class Ticked(Struct, frozen=True):
    """Event: the periodic timer fired."""


class Woken(Struct, frozen=True):
    """Event: the time of a ``Wake`` has come."""


class Stopping(Struct, frozen=True):
    """Event: a planned stop begins."""


class SendToAgent(Struct, frozen=True, gc=False):
    """Effect: send a packet to the agent on a host."""

    content: bytes
    host: str


class SendToEntry(Struct, frozen=True, gc=False):
    """Effect: return a packet, or send a notice, to an entry host."""

    content: bytes
    host: bytes


class SendToCaller(Struct, frozen=True, gc=False):
    """Effect: send a packet to a caller's host."""

    content: bytes
    host: bytes


class SendToUpstream(Struct, frozen=True, gc=False):
    """Effect: send a packet to the upstream on this host."""

    content: bytes


class SendPoll(Struct, frozen=True):
    """Effect: send a poll to a control host."""

    poll: Poll
    host: str


class SendKeptFlows(Struct, frozen=True):
    """Effect: send a register message to a control host."""

    message: KeptFlows
    host: str


class Decision(Struct, frozen=True):
    """Effect: a line of the log.

    Parameters
    ----------
    kind : str
        What was decided.
    detail : str
        The values that decided it.
    flow : bytes
        Key of the flow; empty if it concerns no flow.
    """

    kind: str
    detail: str = ""
    flow: bytes = b""


class Wake(Struct, frozen=True, gc=False):
    """Effect: deliver a ``Woken`` after some seconds."""

    after_s: float


class StopCompleted(Struct, frozen=True):
    """Effect: the planned stop is complete, the process may exit."""
