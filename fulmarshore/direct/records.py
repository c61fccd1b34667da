"""The small immutable records that the direct data path passes around."""

from __future__ import annotations

import zlib

import msgspec
from msgspec import Struct


class Record(Struct, frozen=True, array_like=True, tag=True):
    """Base of every record that is sent or stored."""


class Backend(Record, frozen=True):
    """A service that takes flows of a route, by weight."""

    service: str
    weight: int


class Urgency(Record, frozen=True):
    """Which openings go first where not all can be served.

    Parameters
    ----------
    priority : int
        0 is the highest.
    objective_s : float
        Latency objective, seconds.
    """

    priority: int = 0
    objective_s: float = float("inf")


NO_URGENCY = Urgency()


class Route(Record, frozen=True):
    """Where the flows to one address and port go.

    Parameters
    ----------
    address : bytes
        Address and port, six bytes.
    backends : tuple of Backend
        The services that take new flows.
    urgency : Urgency
        Which of its openings go first.
    """

    address: bytes
    backends: tuple[Backend, ...]
    urgency: Urgency = NO_URGENCY


class ServicePolicy(Record, frozen=True):
    """What the configuration says of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    max_flows : int
        Flows that one upstream holds.
    cold_per_s : float
        Requests a second that a cold upstream bears.
    """

    name: str
    max_flows: int
    cold_per_s: float


class Table(Record, frozen=True):
    """What entry hosts and agents know of the configuration.

    Parameters
    ----------
    index : int
        Place in the replicated log; grows with each change.
    version : int
        The operator's version of the configuration.
    routes : tuple of Route
        All routes.
    services : tuple of ServicePolicy
        All services.
    idle_timeout_s : float
        A flow without a packet for this long may be forgotten.
    zones_out : tuple of str
        Availability zones whose upstreams get nothing new.
    """

    index: int = 0
    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServicePolicy, ...] = ()
    idle_timeout_s: float = 60.0
    zones_out: tuple[str, ...] = ()


_table_encoder = msgspec.msgpack.Encoder()
_table_decoder = msgspec.msgpack.Decoder(Table)


def encode_table(table: Table) -> bytes:
    """Encode a table as it is sent."""
    return zlib.compress(_table_encoder.encode(table))


def decode_table(content: bytes) -> Table | None:
    """Decode the table of an update, None where there is none.

    Raises
    ------
    ValueError
        If the bytes are no table.
    """
    if not content:
        return None
    try:
        return _table_decoder.decode(zlib.decompress(content))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"no table: {error}") from error


class AgentReport(Record, frozen=True):
    """What an agent tells of its upstream.

    Parameters
    ----------
    host : str
        Address of the agent's host.
    process, revision : int
        Random number of the agent's process, and count of its reports.
    zone : str
        Availability zone of the upstream.
    service : str
        Service of the upstream's present incarnation; empty if unknown.
    is_accepting : bool
        Whether the agent takes new flows.
    is_cold : bool
        Whether the upstream bears only a little.
    slots : int
        Requests that the upstream works on at once.
    flows, busy : int
        Flows held, and those with a request under way.
    is_ended : bool
        Whether the upstream is gone for good, with all its flows.
    """

    host: str
    process: int
    revision: int
    zone: str
    service: str
    is_accepting: bool
    is_cold: bool
    slots: int
    flows: int
    busy: int
    is_ended: bool = False


class Poll(Record, frozen=True):
    """A process asks a control host for what is newer than what it has.

    Parameters
    ----------
    index : int
        Log index of the table that it has.
    directory : int
        Random number of the control host's process, as last heard.
    revision : int
        Revision of that control host's directory that it has.
    wants_directory : bool
        Whether it wants the agents.
    wants_table : bool
        Whether it wants a newer table, and not only its index.
    report : AgentReport or None
        An agent's own report.
    """

    index: int
    directory: int
    revision: int
    wants_directory: bool
    wants_table: bool = False
    report: AgentReport | None = None


class Update(Record, frozen=True):
    """A control host's answer to a poll, or its news.

    Parameters
    ----------
    controls : tuple of str
        Addresses of the control hosts that vote.
    leader : str
        Address of the one that leads; empty if none is known.
    index : int
        Log index of the control host's table.
    table : bytes
        The table, encoded, where it is sent.
    directory, revision : int
        The control host's process and the revision of its directory.
    age_s : float
        How long that process has listened to agents.
    missing_s : float
        How long ago an agent went silent that is not back and may hold flows.
    is_whole : bool
        Whether the reports are all there are, not only the changes.
    reports : tuple of AgentReport
        Agents that are new or have changed.
    gone : tuple of str
        Hosts whose agents were not heard of for too long.
    ended : tuple of str
        Those of them that said their upstream is gone for good.
    """

    controls: tuple[str, ...]
    leader: str
    index: int
    table: bytes
    directory: int
    revision: int
    age_s: float
    missing_s: float
    is_complete: bool = False
    reports: tuple[AgentReport, ...] = ()
    gone: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()


# --------------------------------------------------------------------------
# Events and effects of the cores of entry hosts and agents
# --------------------------------------------------------------------------


class CallerPacket(Struct, frozen=True, gc=False):
    """Event: a datagram reached the address that takes callers' packets."""

    content: bytes


class ReturnedPacket(Struct, frozen=True, gc=False):
    """Event: an agent handed back a packet, or a note about one."""

    content: bytes
    host: str


class UpstreamPacket(Struct, frozen=True, gc=False):
    """Event: the upstream sent a packet, or returned one."""

    content: bytes


class UpstreamClosed(Struct, frozen=True):
    """Event: nobody listens at the upstream's address."""


class UpstreamReplaced(Struct, frozen=True):
    """Event: the settings name another upstream; nothing passes until its word."""


class UpdateReceived(Struct, frozen=True):
    """Event: a control host sent an update.

    Parameters
    ----------
    host : str
        The control host.
    update : Update
        What it sent.
    table : Table or None
        The table in it, decoded.
    """

    host: str
    update: Update
    table: Table | None = None


class UpstreamAnnounced(Struct, frozen=True):
    """Event: the upstream told of itself.

    Parameters
    ----------
    upstream : str
        Identity of the incarnation.
    born_ms : int
        Time of its start.
    sequence : int
        Grows with each announcement of one incarnation.
    service, zone : str
        What it belongs to.
    slots : int
        Requests that it works on at once.
    is_ready : bool
        False where it asks for no new flows.
    cold_s : float
        How long it goes on bearing only a little.
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
    """Event: the upstream said that it ends."""

    upstream: str


class Ticked(Struct, frozen=True):
    """Event: time has passed."""


class Woken(Struct, frozen=True):
    """Event: a time has come that the core asked to be told."""


class Stopping(Struct, frozen=True):
    """Event: a planned stop begins."""


class SendToAgent(Struct, frozen=True, gc=False):
    """Effect: send a packet to the agent on a host."""

    content: bytes
    host: str


class SendToEntry(Struct, frozen=True, gc=False):
    """Effect: hand a packet or a note back to an entry host."""

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


class Decision(Struct, frozen=True):
    """Effect: a line of the log.

    Parameters
    ----------
    kind : str
        What was decided.
    detail : str
        The inputs that decided it.
    flow : bytes
        Key of the flow; empty if it is about none.
    """

    kind: str
    detail: str = ""
    flow: bytes = b""


class Wake(Struct, frozen=True, gc=False):
    """Effect: hand over a ``Woken`` after some seconds."""

    after_s: float


class StopCompleted(Struct, frozen=True):
    """Effect: the planned stop is complete, the process may exit."""
