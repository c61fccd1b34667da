"""Every record that the roles exchange, keep or return.

All records are small, immutable and free of behaviour. Messages and
declarations are ``msgspec`` structs, so that one library encodes them on the
wire and on disk. Outcomes are frozen dataclasses: an operation that can fail
returns one instead of raising.

Times are seconds as ``float`` unless a name says otherwise; sizes are bytes.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple, Union

from msgspec import Struct

# --------------------------------------------------------------------------
# Identities
# --------------------------------------------------------------------------


class Address(NamedTuple):
    """An IP address in numeric form and a port, as sockets take it."""

    host: str
    port: int


class Record(Struct, frozen=True, array_like=True, tag=True):
    """Base of every record that is encoded for the wire or the disk."""


class Identity(Record, frozen=True):
    """One life of one process.

    Parameters
    ----------
    name : str
        Name of the host, unique in a region.
    incarnation : int
        Grows with every start of the process, so that a restarted process
        is told apart from its former self.
    """

    name: str
    incarnation: int


# --------------------------------------------------------------------------
# Declarations: what operators define and processes announce
# --------------------------------------------------------------------------


class Protocol(enum.StrEnum):
    """What the payload of a service tells about its flows."""

    OPAQUE = "opaque"
    QUIC = "quic"
    REQUEST = "request"
    TCP = "tcp"


class TrafficKind(enum.StrEnum):
    """The kind of traffic that a profile treats."""

    FEED = "feed"
    DOWNLOAD = "download"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class Profile(Record, frozen=True):
    """How the traffic of a service is treated.

    Parameters
    ----------
    name : str
        Unique name of the profile.
    kind : TrafficKind
        The kind of traffic.
    queue_length : int
        Requests that may wait at one agent.
    queue_timeout : float
        Longest wait of a request in the queue, in seconds.
    deadline : float
        Deadline given to a request that states none, in seconds.
    retry_budget : float
        Retries allowed as a share of first tries.
    idle_timeout : float
        A flow without packets for this long ends, in seconds.
    slow_start : float
        Time over which a cold upstream is expected to warm, in seconds.
    drain_timeout : float
        Longest time that a draining upstream keeps its flows, in seconds.
    slots, connections : int
        Bounds below what an upstream announces; 0 leaves the announced ones.
    cold_share : float
        Share of its slots that a cold upstream bears.
    """

    name: str
    kind: TrafficKind
    queue_length: int = 64
    queue_timeout: float = 2.0
    deadline: float = 10.0
    retry_budget: float = 0.1
    idle_timeout: float = 300.0
    slow_start: float = 30.0
    drain_timeout: float = 3600.0
    slots: int = 0
    connections: int = 0
    cold_share: float = 0.1


class Service(Record, frozen=True):
    """A service: the address callers use and the profile it runs under."""

    name: str
    profile: str
    host: str
    port: int
    protocol: Protocol = Protocol.OPAQUE


class Zone(Record, frozen=True):
    """An availability zone, in service or taken out."""

    name: str
    out: bool = False


class Drain(Record, frozen=True):
    """An operator's wish that an upstream gets no new flows.

    It stands for the name of the upstream, whatever its incarnation, until
    an operator takes it back.
    """

    name: str


class MemberState(enum.StrEnum):
    """The state of an announced upstream."""

    ACCEPTING = "accepting"
    DRAINING = "draining"


class Member(Record, frozen=True):
    """An upstream as its agent announced it.

    Parameters
    ----------
    name, incarnation : str, int
        Identity of the agent.
    service, zone : str
        What the upstream serves and where it runs.
    host, port : str, int
        Data address of the agent.
    slots : int
        Requests that the upstream works on at once when warm.
    connections : int
        Flows that the upstream holds at most.
    state : MemberState
        Whether new flows may be opened.
    stream_port : int
        Port of the agent for byte streams; 0 where it serves none.
    """

    name: str
    incarnation: int
    service: str
    zone: str
    host: str
    port: int
    slots: int = 1
    connections: int = 2000
    state: MemberState = MemberState.ACCEPTING
    stream_port: int = 0


class EntryHost(Record, frozen=True):
    """An entry host as it announced itself."""

    name: str
    incarnation: int
    zone: str
    host: str
    port: int


Declaration = Union[Profile, Service, Zone, Drain]
Announcement = Union[Member, EntryHost]
Item = Union[Profile, Service, Zone, Drain, Member, EntryHost]


class Versioned(Record, frozen=True):
    """An item and the version of the configuration that last changed it."""

    version: int
    item: Item


class Removed(Record, frozen=True):
    """The removal of an item, by its type and name, at a version."""

    version: int
    item_type: str
    name: str


# --------------------------------------------------------------------------
# Data path: messages between entry hosts and agents
# --------------------------------------------------------------------------


class Phase(enum.IntEnum):
    """What the protocol of a packet tells about its place in the flow."""

    UNKNOWN = 0
    OPENING = 1
    MIDDLE = 2
    END = 3


class Forward(Record, frozen=True, gc=False):
    """A caller's packet on its way to the upstream.

    Parameters
    ----------
    service : str
        The service that the caller addressed.
    target, incarnation : str, int
        Identity of the agent that shall handle the packet.
    version : int
        Version of the configuration in force at the sender.
    flow : bytes, 16 bytes
        Key of the flow.
    phase : Phase
        What the protocol tells.
    caller_host, caller_port : str, int
        Address of the caller.
    entry : str
        Name of the entry host that received the packet.
    hops : int
        Agents that have passed the packet on.
    assignment : int
        Number under which the home of the flow chose the target as its
        owner; 0 for a packet that no home has arbitrated. Numbers of one
        home only go up, and a later home of the bucket starts above.
    payload : bytes
        The datagram as the caller sent it.
    """

    service: str
    target: str
    incarnation: int
    version: int
    flow: bytes
    phase: int
    caller_host: str
    caller_port: int
    entry: str
    hops: int
    assignment: int
    payload: bytes


class Answer(Record, frozen=True, gc=False):
    """An upstream's packet on its way to the caller."""

    service: str
    owner: str
    incarnation: int
    version: int
    flow: bytes
    caller_host: str
    caller_port: int
    payload: bytes


class Reason(enum.StrEnum):
    """Why a packet or request was not delivered to an upstream."""

    FLOW_UNKNOWN = "flow_unknown"
    NO_UPSTREAM = "no_upstream"
    FULL = "full"
    ZONE_OUT = "zone_out"
    DRAINING = "draining"
    NOT_SETTLED = "not_settled"
    WRONG_SERVICE = "wrong_service"
    WRONG_INCARNATION = "wrong_incarnation"
    TOO_MANY_HOPS = "too_many_hops"
    WRONG_SOURCE = "wrong_source"
    UNKNOWN_SENDER = "stranger"
    MALFORMED = "malformed"
    EXPIRED = "expired"
    STALLED = "stalled"
    CLAIM_TABLE_FULL = "ledger_full"
    FENCED = "barred"
    BODY_NOT_HELD = "body_not_held"
    CANCELLED = "cancelled"
    SHED = "shed"
    STOPPING = "stopping"
    UPSTREAM_GONE = "upstream_gone"
    IDLE = "idle"
    RECLAIMED = "reclaimed"
    ENDED = "ended"
    EVICTED = "evicted"


class Refusal(Record, frozen=True, gc=False):
    """The agent did not deliver a packet; tells the entry host why."""

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    caller_host: str
    caller_port: int
    reason: Reason


class Declined(Record, frozen=True):
    """The chosen owner had no room; the packet goes back to the home."""

    agent: str
    incarnation: int
    version: int
    flows: int
    packet: Forward


class Released(Record, frozen=True):
    """The owner tells the home that a flow has ended.

    Parameters
    ----------
    assignment : int
        The last assignment of the flow that the owner has seen: the home
        keeps a flow that it has assigned again in the meantime.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    assignment: int


class FlowCheck(Record, frozen=True):
    """The home asks an owner which of some flows it still holds.

    The owner answers with a `Released` for each that it does not hold.

    Parameters
    ----------
    flows : list of OwnedFlow
        What the home remembers.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    flows: list[OwnedFlow]


class LoadReport(Record, frozen=True):
    """How much an agent holds and may hold, for its peers of the service.

    Parameters
    ----------
    flows, limit : int
        Flows held and flows that may be held.
    number : int
        Grows with each report of an agent, so that a late one is ignored.
    assignment : int
        The newest assignment of the receiver that ``flows`` reflects.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    flows: int
    limit: int
    number: int
    assignment: int


class OwnedFlow(Record, frozen=True):
    """A flow, the identity of its owner and its last assignment."""

    flow: bytes
    owner: str
    incarnation: int
    assignment: int = 0


class Takeover(Record, frozen=True):
    """A new home asks a peer for what it knows about some buckets.

    From its answer on, the peer passes openings in these buckets to the
    sender instead of admitting them itself.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    buckets: list[int]


class TakeoverReply(Record, frozen=True):
    """What a peer owns or remembers in the buckets that it gave up.

    Parameters
    ----------
    version : int
        The version of the `Takeover` that is answered.
    buckets : list of int
        Buckets given up, with all of their flows in this message.
    flows : list of OwnedFlow
        Flows in these buckets.
    complete : list of int
        Those of the buckets that the sender itself arbitrated until now: the
        flows listed are all that there are, and nobody else need be asked.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    buckets: list[int]
    flows: list[OwnedFlow]
    complete: list[int]


class FlowRecord(Record, frozen=True, tag=False):
    """What a restarted agent needs to go on with a flow.

    Parameters
    ----------
    entry : str
        Entry host of the newest packet; empty where any one may do.
    local_port : int
        Port of the socket towards the upstream, which tells flows apart.
    """

    flow: bytes
    caller_host: str
    caller_port: int
    entry: str
    local_port: int
    assignment: int


class FlowRecords(Record, frozen=True):
    """A part of the flow records of an agent that restarts.

    Parameters
    ----------
    agent, incarnation : str, int
        Whose flows they are.
    version : int
        Version of the configuration in force at the sender.
    sender : str
        The agent itself, or the peer that kept the records for it.
    part, parts : int
        Number of this part and count of all; 0 parts where none are kept.
    lease_left : float
        Time for which the agent is a member for certain, in seconds.
    last_batch : int
        Number of the newest batch in a running copy; 0 for the records that
        the agent handed over itself. Where no parts are kept, the incarnation
        is the newest former self that the sender has heard of.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    sender: str
    part: int
    parts: int
    flows: list[FlowRecord]
    lease_left: float = 0.0
    last_batch: int = 0


class FlowRecordsAck(Record, frozen=True, tag="FlowRecordsKept"):
    """A peer keeps a part of the flow records of an agent."""

    service: str
    agent: str
    incarnation: int
    version: int
    part: int


class FlowCopy(Record, frozen=True):
    """A batch of a running copy of an agent's flow records.

    Parameters
    ----------
    agent, incarnation : str, int
        Whose flows they are.
    version : int
        Version of the configuration in force at the agent.
    holder_incarnation : int
        Incarnation of the peer that keeps the copy.
    number, previous : int
        Number of this batch, and of the one before it in the same copy; the
        latter is 0 where the copy begins, with no records.
    ended : list of int
        Places of the records to drop. A copy numbers its records from 0 on,
        in the order in which they were sent.
    opened : list of FlowRecord
        New records.
    resumed_from : int
        Where the copy begins with the records that the peer has handed back
        to this successor: their `last_batch`; else -1.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    holder_incarnation: int
    number: int
    previous: int
    ended: list[int]
    opened: list[FlowRecord]
    resumed_from: int = -1


class FlowCopyAck(Record, frozen=True, tag="FlowCopyKept"):
    """A peer keeps a batch, or has lost the copy that it belongs to."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int
    is_lost: bool = False


class FlowRecordsRequest(Record, frozen=True):
    """A restarted agent asks for the flow records of its former self."""

    service: str
    agent: str
    incarnation: int
    version: int


class RestartRequest(Record, frozen=True, tag="RestartAsk"):
    """An agent that shall restart as planned asks a peer whether it may go now."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int


class RestartReply(Record, frozen=True, tag="RestartWord"):
    """The answer to the question of the same number."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int
    is_allowed: bool


class ViewCheck(Record, frozen=True):
    """An agent without a lease asks a peer whether its view is the newest."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int


class ViewConfirmed(Record, frozen=True):
    """The peer knows of no newer view, and promises under none for a while."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int


class Eviction(Record, frozen=True):
    """Tells an agent that it is no member any more, and has to end its flows.

    Parameters
    ----------
    agent, incarnation : str, int
        Who tells it.
    version : int
        A version of the view without the agent.
    target, target_incarnation : str, int
        Who is meant.
    reason : Reason
        Why the flows end.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    target: str
    target_incarnation: int
    reason: Reason


class EvictionDone(Record, frozen=True):
    """An agent serves no flow that it took up to a version of the view.

    An agent that leaves as planned says so too, before it is removed.
    """

    service: str
    agent: str
    incarnation: int
    version: int


# --------------------------------------------------------------------------
# Streams: the records in front of the bytes between entry host and agent
# --------------------------------------------------------------------------


class StreamOpen(Record, frozen=True):
    """Opens a stream at an agent, as a packet without payload would a flow.

    Parameters
    ----------
    message : Forward or Declined
        What the agent is to decide on: an opening, or one that came back.
    host, port : str, int
        Data address of the process that the message comes from.
    """

    message: Forward | Declined
    host: str
    port: int


class StreamAccepted(Record, frozen=True):
    """The agent owns the flow and its upstream is connected."""

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes


class StreamRedirect(Record, frozen=True):
    """Another agent is to decide on the message.

    Parameters
    ----------
    open : StreamOpen
        What to send there.
    host, port : str, int
        The stream address of that agent.
    """

    open: StreamOpen
    host: str
    port: int


class StreamRefused(Record, frozen=True):
    """The agent opens no stream for the flow."""

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    reason: Reason


StreamMessage = Union[StreamOpen, StreamAccepted, StreamRedirect, StreamRefused]

# --------------------------------------------------------------------------
# Requests: the record that a caller states in front of its body
# --------------------------------------------------------------------------


class Challenge(Record, frozen=True):
    """What a home asks a caller to send back, to see when a request began.

    Parameters
    ----------
    agent, incarnation : str, int
        The home.
    issued : float
        When it was issued, in seconds of the home's own clock.
    """

    agent: str
    incarnation: int
    issued: float


class Request(Record, frozen=True):
    """A caller's request as it travels to the upstream.

    Parameters
    ----------
    service, caller : str
        Who asks whom.
    number : int
        Identity of the request, unique for the caller.
    attempt : int
        0 for the first try, one more for each resend.
    timeout : float
        Time left until the deadline, in seconds, when the packet was sent.
    idempotent : bool
        Whether running the request twice is harmless.
    cancel : bool
        Asks to give the request up; carries no body.
    body : bytes
        The work itself.
    age : float
        Time since the first copy of the request was sent, in seconds.
    challenge : Challenge, optional
        The last one that the caller got for this request before it made
        this copy.
    """

    service: str
    caller: str
    number: int
    attempt: int
    timeout: float
    idempotent: bool
    cancel: bool
    body: bytes
    age: float = 0.0
    challenge: Challenge | None = None


class Verdict(enum.StrEnum):
    """The outcome that a caller hears about a request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Response(Record, frozen=True):
    """The outcome of a request, as the caller or an agent receives it.

    From an upstream, ``NOT_RUN`` means that it shed the request unrun. With
    a challenge the outcome is open, and the caller resends with it.
    """

    service: str
    caller: str
    number: int
    attempt: int
    verdict: Verdict
    reason: str
    body: bytes
    challenge: Challenge | None = None


RequestMessage = Union[Request, Response]

# --------------------------------------------------------------------------
# Requests between agents: claims, hand-overs and what is known of buckets
# --------------------------------------------------------------------------


class Claim(Record, frozen=True):
    """What an agent knows about a request, as its peers learn it.

    Parameters
    ----------
    flow : bytes, 16 bytes
        Key of the request.
    caller, number : str, int
        The real fields behind the key.
    attempt : int
        Highest attempt that the claim covers.
    verdict : Verdict or None
        The outcome, or None while there is none.
    reason, body : str, bytes
        The rest of the outcome.
    ttl : float
        Time that the claim is still kept, in seconds.
    coordinator, incarnation : str, int
        The agent that decides the outcome.
    version, sequence : int
        Order of the claim's states: table version and number of the change.
    executor, executor_incarnation : str, int
        The agent that runs it, or an empty name.
    run : int
        Number of the hand-over.
    """

    flow: bytes
    caller: str
    number: int
    attempt: int
    verdict: Verdict | None
    reason: str
    body: bytes
    ttl: float
    coordinator: str
    incarnation: int
    version: int
    sequence: int
    executor: str = ""
    executor_incarnation: int = 0
    run: int = 0


class ClaimBackup(Record, frozen=True):
    """A home shows a claim to a peer before it acts on it."""

    service: str
    agent: str
    incarnation: int
    version: int
    claim: Claim


class ClaimBackupReply(Record, frozen=True):
    """The peer holds the claim, or knows another home of its bucket."""

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    sequence: int
    accepted: bool


class KnownHome(Record, frozen=True):
    """An agent that was, or wanted to be, the home of some buckets.

    Parameters
    ----------
    agent, incarnation : str, int
        The agent.
    version : int
        Version of the table by which it became home.
    settled : bool
        Whether the sender knows all claims that this agent made as home:
        as that agent itself, or as its backup.
    loss_age : float
        Time since claims of the buckets were lost, in seconds; below 0 for
        none.
    buckets : list of int
        The buckets.
    """

    agent: str
    incarnation: int
    version: int
    settled: bool
    loss_age: float
    buckets: list[int]


class BackupSync(Record, frozen=True):
    """A home shows one part of all its claims in some buckets to their backup.

    With the last part, the receiver holds every claim of the buckets, and
    every later one is shown to it before it is acted on.

    Parameters
    ----------
    target, target_incarnation : str, int
        The one life of the one agent that becomes the backup.
    sync : int
        Number of the synchronisation.
    part, parts : int
        This part and their number.
    terms : list of KnownHome
        The buckets, by when the sender became their home.
    claims : list of Claim
        The claims of this part.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    target: str
    target_incarnation: int
    sync: int
    part: int
    parts: int
    terms: list[KnownHome]
    claims: list[Claim]


class BackupSyncReply(Record, frozen=True):
    """The backup took one part."""

    service: str
    agent: str
    incarnation: int
    version: int
    sync: int
    part: int


class RunRequest(Record, frozen=True):
    """A home hands a request over to an executor, or asks what became of it.

    Parameters
    ----------
    executor, executor_incarnation : str, int
        The one life of the one agent that may run it.
    flow : bytes
        Key of the request.
    run : int
        Number of the hand-over, higher with each one of the request.
    cancel : bool
        Bars the hand-over, or gives it up.
    request : Request
        The work; its timeout is what is left of it.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    executor: str
    executor_incarnation: int
    flow: bytes
    run: int
    cancel: bool
    request: Request


class RunReply(Record, frozen=True):
    """What became of a hand-over; ``verdict`` is None while it is held.

    ``used`` and ``limit`` tell the load of the executor, in requests.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    run: int
    verdict: Verdict | None
    reason: str
    body: bytes
    used: int
    limit: float


class SlotReport(Record, frozen=True):
    """The requests an executor holds and works on at once at most."""

    service: str
    agent: str
    incarnation: int
    version: int
    used: int
    limit: float


class ClaimsQuery(Record, frozen=True):
    """A new home asks a peer for all it knows of some buckets.

    From its answer on, the peer knows the sender as the home of them.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    query: int
    buckets: list[int]


class LostAgent(Record, frozen=True, tag="Lost"):
    """An agent whose memory of requests was lost some seconds ago."""

    agent: str
    incarnation: int
    age: float


class ClaimsReply(Record, frozen=True):
    """One part of a peer's claims and runs in the buckets asked for.

    Parameters
    ----------
    query : int
        Number of the query.
    stale : bool
        The peer knows a newer configuration with another home.
    part, parts : int
        This part and their number.
    memory_age : float
        How far back the peer remembers, in seconds.
    lost : list of LostAgent
        Agents of the service that the peer saw vanish.
    homes : list of KnownHome
        Earlier homes of the buckets; in the first part only.
    claims, runs : list of Claim
        What it knows as home or peer of the home, and as executor.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    query: int
    stale: bool
    part: int
    parts: int
    memory_age: float
    lost: list[LostAgent]
    homes: list[KnownHome]
    claims: list[Claim]
    runs: list[Claim]


class ClaimHandoff(Record, frozen=True, tag="Bequest"):
    """An agent that stops as planned leaves what it knows to its peers.

    Parameters
    ----------
    service, agent, incarnation, version : str, str, int, int
        Who stops, and the version that it has seen.
    part, parts : int
        Which part of the whole this is, from 0.
    claims, runs : list of Claim
        Requests that it knows of, and those that its executor had.
    memory_age : float
        How far back it remembers, in seconds.
    lost : list of LostAgent
        Agents that it knows to have lost their memory.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    part: int
    parts: int
    claims: list[Claim]
    runs: list[Claim]
    memory_age: float = 0.0
    lost: list[LostAgent] = []


class ClaimHandoffReply(Record, frozen=True, tag="BequestReply"):
    """A peer took a part of what a stopping agent knows."""

    service: str
    agent: str
    incarnation: int
    version: int
    part: int


# --------------------------------------------------------------------------
# Control links: messages between control, entry hosts, agents and operators
# --------------------------------------------------------------------------


class Freshness(Record, frozen=True):
    """A stamp that only a leader in touch with a majority renews."""

    term: int
    stamp: int


class Subscribe(Record, frozen=True):
    """Announces a process and asks for everything after a version.

    ``revision`` grows with every announcement of one life of a process, so
    that a late copy of an earlier one is told apart. ``region`` is the region
    that the process takes itself to be in; empty where it is not told.
    """

    identity: Identity
    announcement: Announcement
    version: int
    revision: int = 0
    region: str = ""


class RegionRefused(Record, frozen=True):
    """Control's answer to a process of another region.

    Parameters
    ----------
    control : str
        Name of the control host.
    region : str
        The region that the process named.
    allowed : str
        The region of the control host.
    """

    control: str
    region: str
    allowed: str


class Heartbeat(Record, frozen=True):
    """Renews the lease of a process and tells the version it has in force.

    ``clock`` is the sender's hybrid logical clock, put in as it is sent.
    """

    identity: Identity
    version: int
    clock: int = 0


class Leave(Record, frozen=True):
    """A process ends its own membership."""

    identity: Identity


class Delta(Record, frozen=True):
    """What changed after ``since`` up to ``version``.

    ``since == 0`` makes it a snapshot that replaces everything older.

    Parameters
    ----------
    since, version : int
        The versions between which it leads.
    items : list of Versioned
        What was added or replaced.
    removed : list of Removed
        What was taken out; none in a snapshot.
    had_members : bool
        Whether any agent was ever a member that is one no more.
    had_lives : bool
        Whether any agent ended in any way, also by another life of its name.
    """

    since: int
    version: int
    items: list[Versioned]
    removed: list[Removed]
    had_members: bool = False
    had_lives: bool = False


class DeltaRequest(Record, frozen=True):
    """A process that sees a newer version on the data path asks for it."""

    sender: Identity
    version: int


class HeartbeatReply(Record, frozen=True):
    """Control's half of the two-way heartbeat.

    Parameters
    ----------
    control : str
        Name of the control host.
    freshness : Freshness
        Its stamp, renewed by a leader that hears a majority.
    version : int
        Version that it has in force.
    known : bool
        Whether the process is subscribed there and may be a member.
    clock : int
        The sender's hybrid logical clock.
    newest : int
        Incarnation that bars the process from the membership: a newer life
        of its name, or of another name at its address. 0 if none does.
    revision : int
        Newest revision of the announcement that the control host has.
    """

    control: str
    freshness: Freshness
    version: int
    known: bool
    clock: int = 0
    newest: int = 0
    revision: int = 0


class Change(Record, frozen=True):
    """An operator's numbered change of the configuration."""

    number: int
    operator: str
    items: list[Declaration]
    removed: list[Removed]


class ChangeStatus(enum.StrEnum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    PRUNED = "forgotten"


class ChangeReply(Record, frozen=True):
    """The answer to a change: the same for every resend of it.

    Parameters
    ----------
    number : int
        Number of the change.
    status : ChangeStatus
        What became of it.
    version : int
        The version that put it in force, or 0.
    winner : str
        With a conflict, the operator whose change took the number.
    errors : list of str
        With an invalid change, everything that is wrong with it.
    next_number : int
        The lowest number still free.
    """

    number: int
    status: ChangeStatus
    version: int
    winner: str
    errors: list[str]
    next_number: int


class HistoryRequest(Record, frozen=True):
    """Asks for the newest accepted changes below a number.

    Parameters
    ----------
    before : int
        Only numbers below this one; 0 asks from the newest on.
    limit : int
        At most so many.
    """

    before: int
    limit: int


class HistoryEntry(Record, frozen=True):
    """An accepted change and the version that put it in force."""

    version: int
    change: Change


class HistoryReply(Record, frozen=True):
    """Accepted changes, the newest first."""

    control: str
    entries: list[HistoryEntry]


class StatusRequest(Record, frozen=True):
    """Asks for all that control knows.

    The leader answers, or with ``is_local`` the host that is asked.
    """

    is_local: bool = False


class ProcessStatus(Record, frozen=True):
    """What control knows about one subscribed process."""

    identity: Identity
    role: str
    zone: str
    version: int
    age: float


class ReplicaId(Record, frozen=True):
    """A disk of a control host: a replaced disk makes another replica.

    Parameters
    ----------
    name : str
        Name of the control host.
    disk : str
        Drawn at random when the data folder is first used.
    """

    name: str
    disk: str


class ReplicaStatus(Record, frozen=True):
    """What the leader knows about one replica; ``age`` is seconds unheard."""

    replica: ReplicaId
    role: str
    match: int
    age: float


class StatusReply(Record, frozen=True):
    """All that a control host knows: configuration, members, versions."""

    control: str
    leader: str
    freshness: Freshness
    view: Delta
    processes: list[ProcessStatus]
    next_number: int
    term: int = 0
    commit: int = 0
    replicas: list[ReplicaStatus] = []
    region: str = ""


# --------------------------------------------------------------------------
# Links between control hosts: the replicated log
# --------------------------------------------------------------------------


class VoteRequest(Record, frozen=True):
    """A candidate asks for a vote, or with ``pre_vote`` whether it would get it.

    With ``for_transfer`` the leader itself told it to stand, so that hearing the
    leader is no reason to refuse.
    """

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    for_transfer: bool = False


class VoteReply(Record, frozen=True):
    """Answer to a request for a vote; ``term`` is the one asked for if granted."""

    group: str
    sender: ReplicaId
    term: int
    granted: bool
    pre_vote: bool


class TimeoutNow(Record, frozen=True, tag="StandNow"):
    """The leader of a term tells a voter to stand for election at once."""

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: int


class AppendRequest(Record, frozen=True):
    """The leader's entries after an index, and its half of the heartbeat.

    ``heartbeat_round`` numbers the leader's messages; its greatest one that a majority
    has answered is the stamp.
    """

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: int
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit: int
    stamp: int
    heartbeat_round: int


class AppendReply(Record, frozen=True):
    """How far the sender's synced log agrees with the leader's.

    Without ``success``, ``match`` is the index after which the leader has to
    go on.
    """

    group: str
    sender: ReplicaId
    term: int
    success: bool
    match: int
    heartbeat_round: int


class SnapshotChunk(Record, frozen=True):
    """A part of the leader's encoded snapshot."""

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: int
    index: int
    offset: int
    total: int
    data: bytes
    heartbeat_round: int


class ChunkReply(Record, frozen=True):
    """How many bytes of a snapshot the sender holds."""

    group: str
    sender: ReplicaId
    term: int
    index: int
    offset: int
    heartbeat_round: int


class JoinRequest(Record, frozen=True):
    """A replica without a vote asks to be taken in.

    With ``bootstrap`` it would start the group if nobody else has one.
    """

    group: str
    sender: ReplicaId
    bootstrap: bool
    region: str = ""


class JoinReply(Record, frozen=True):
    """Tells a replica without a vote which group there is; may be none."""

    group: str
    sender: ReplicaId
    bootstrap: bool
    region: str = ""


class Relay(Record, frozen=True):
    """A control host hands a peer's message on to the leader."""

    peer: str
    message: Subscribe | Leave | Change | StatusRequest
    region: str = ""


class RelayReply(Record, frozen=True):
    """The leader's answer to a peer of another control host."""

    peer: str
    message: ChangeReply | StatusReply


class HeartbeatReport(Record, frozen=True, tag="HeardReport"):
    """The processes that a control host heard since its last report."""

    control: str
    heartbeats: list[Heartbeat]
    region: str = ""


class HeartbeatReportReply(Record, frozen=True, tag="HeardReply"):
    """The leader's half of the report."""

    control: str


DataMessage = Union[
    Forward,
    Answer,
    Refusal,
    Declined,
    Released,
    FlowCheck,
    LoadReport,
    Takeover,
    TakeoverReply,
    FlowRecords,
    FlowRecordsAck,
    FlowRecordsRequest,
    FlowCopy,
    FlowCopyAck,
    RestartRequest,
    RestartReply,
    ViewCheck,
    ViewConfirmed,
    Eviction,
    EvictionDone,
    Delta,
    DeltaRequest,
    ClaimBackup,
    ClaimBackupReply,
    BackupSync,
    BackupSyncReply,
    RunRequest,
    RunReply,
    SlotReport,
    ClaimsQuery,
    ClaimsReply,
    ClaimHandoff,
    ClaimHandoffReply,
]
ControlMessage = Union[
    Subscribe,
    Heartbeat,
    Leave,
    Delta,
    HeartbeatReply,
    Change,
    ChangeReply,
    StatusRequest,
    StatusReply,
    VoteRequest,
    VoteReply,
    TimeoutNow,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    ChunkReply,
    JoinRequest,
    JoinReply,
    Relay,
    RelayReply,
    HeartbeatReport,
    HeartbeatReportReply,
    HistoryRequest,
    HistoryReply,
    RegionRefused,
]


class KeyRole(enum.StrEnum):
    """Whose key opened a control link."""

    CONTROL = "control"
    PROCESS = "process"
    OPERATOR = "operator"


class KeyOwner(Record, frozen=True):
    """The owner of the key that opened a control link."""

    role: KeyRole
    name: str


# --------------------------------------------------------------------------
# Commands of the replicated log
# --------------------------------------------------------------------------


class Join(Record, frozen=True):
    """Puts an announced process into the membership."""

    announcement: Announcement
    revision: int = 0


class Expire(Record, frozen=True):
    """Ends the membership of a process that left or lost its lease."""

    identity: Identity
    left: bool = False


class Batch(Record, frozen=True):
    """Joins and expiries that take effect at one version."""

    commands: list[Join | Expire]


class Noop(Record, frozen=True):
    """The entry with which a leader begins its term."""


class Voters(Record, frozen=True):
    """The replicas that vote from this entry on."""

    replicas: list[ReplicaId]


class PutConfiguration(Record, frozen=True):
    """A whole configuration; the highest version is in force.

    Parameters
    ----------
    version : int
        The operator's number.
    content : bytes
        The configuration as the operator sent it, compressed.
    """

    version: int
    content: bytes


class PutZone(Record, frozen=True):
    """An availability zone goes out of service, or back."""

    zone: str
    is_out: bool


Command = Union[Change, Join, Expire, Batch, Noop, Voters, PutConfiguration, PutZone]


class LogEntry(Record, frozen=True):
    """A command at its place in the replicated log."""

    index: int
    term: int
    command: Command


# --------------------------------------------------------------------------
# Records of the log file
# --------------------------------------------------------------------------


class FileHeader(Record, frozen=True):
    """First record of a log file; the generation grows with each new file."""

    replica: ReplicaId
    generation: int


class TermVote(Record, frozen=True):
    """The group, the newest term and the vote given in it."""

    group: str
    term: int
    vote: ReplicaId | None


class LogBase(Record, frozen=True):
    """The entry before the first one in the file."""

    index: int
    term: int


class Snapshot(Record, frozen=True):
    """All that the log adds up to at an index."""

    index: int
    term: int
    voters: Voters
    state: bytes


class Truncation(Record, frozen=True):
    """Entries from an index on are void."""

    index: int


DiskRecord = Union[FileHeader, TermVote, LogBase, Snapshot, LogEntry, Truncation]

# --------------------------------------------------------------------------
# Events and effects of the cores
# --------------------------------------------------------------------------


class Datagram(Struct, frozen=True, gc=False):
    """Event: a caller's datagram reached a service address of an entry host."""

    service: str
    source: Address
    payload: bytes


class PeerMessage(Struct, frozen=True):
    """Event: a message arrived on the data path."""

    source: Address
    message: DataMessage


class UpstreamDatagram(Struct, frozen=True, gc=False):
    """Event: the upstream sent a datagram on the socket of a flow."""

    flow: bytes
    payload: bytes


class UpstreamGone(Struct, frozen=True):
    """Event: the socket of a flow reports that the upstream is not there."""

    flow: bytes


class UpstreamOpened(Struct, frozen=True):
    """Event: the socket of a flow towards the upstream is open."""

    flow: bytes
    port: int


class StreamOpened(Struct, frozen=True):
    """Event: the stream of a flow is connected from end to end."""

    service: str
    flow: bytes
    owner: Identity


class StreamEnded(Struct, frozen=True):
    """Event: the stream of a flow has ended."""

    flow: bytes


class LinkMessage(Struct, frozen=True):
    """Event: a message arrived on a control link."""

    peer: str
    message: ControlMessage


class HintSource(enum.StrEnum):
    """Which endpoint of an upstream a hint comes from."""

    HEALTH = "health"
    LOAD = "load"


class Health(enum.StrEnum):
    """What an upstream says about itself."""

    HEALTHY = "well"
    UNHEALTHY = "sick"
    DRAINING = "draining"


class UpstreamHint(Struct, frozen=True):
    """Event: what a health or load endpoint of the upstream says.

    Parameters
    ----------
    source : HintSource
        The endpoint.
    health : Health
        What it says; a load endpoint always says that the upstream is well.
    share : float
        Share of its slots that the upstream claims to bear, 0 to 1.
    """

    source: HintSource
    health: Health = Health.HEALTHY
    share: float = 1.0


class Tick(Struct, frozen=True):
    """Event: time has passed."""


class Stop(Struct, frozen=True):
    """Event: a planned stop begins."""


class Stored(Struct, frozen=True):
    """Event: everything up to a ``Store`` is synced."""

    sequence: int


class LocalPort(Struct, frozen=True, gc=False):
    """The local port of the upstream socket of a flow."""

    flow: bytes
    port: int


class Restart(Struct, frozen=True):
    """Event: a planned restart begins; a successor of this process follows."""

    ports: list[LocalPort]


class SendCaller(Struct, frozen=True, gc=False):
    """Effect: send a datagram from the service's address to a caller."""

    service: str
    destination: Address
    payload: bytes


class SendPeer(Struct, frozen=True, gc=False):
    """Effect: send a message on the data path."""

    destination: Address
    message: DataMessage


class SendUpstream(Struct, frozen=True, gc=False):
    """Effect: send a datagram to the upstream from the socket of a flow.

    The adapter opens the socket with the first datagram of a flow.
    """

    flow: bytes
    payload: bytes


class OpenUpstream(Struct, frozen=True):
    """Effect: open the socket of a flow on the local port that it had."""

    flow: bytes
    port: int


class CloseUpstream(Struct, frozen=True):
    """Effect: close the socket of a flow."""

    flow: bytes


class EndStream(Struct, frozen=True):
    """Effect: reset the stream of a flow."""

    flow: bytes


class StopAccepting(Struct, frozen=True):
    """Effect: accept no further streams."""


class SendLink(Struct, frozen=True):
    """Effect: send a message on a control link."""

    peer: str
    message: ControlMessage


class ReplaceLink(Struct, frozen=True):
    """Effect: close a link that went silent; the next message opens another."""

    peer: str


class IncarnationOutdated(Struct, frozen=True):
    """Effect: the process has to begin anew with a newer incarnation.

    Its own is not above that of an earlier life, so that it can not become a
    member: the clock of its host was set back, or the host was replaced by
    one whose clock is behind.

    Parameters
    ----------
    newest : int
        The incarnation to be above of.
    """

    newest: int


class Store(Struct, frozen=True):
    """Effect: append records to the log file, or replace the file by them.

    Answered by ``Stored`` once synced, in the order of the sequence.
    """

    sequence: int
    records: list[DiskRecord]
    replace: bool = False


class ApplyEntry(Struct, frozen=True):
    """Effect: an entry is committed; the state machine takes it."""

    entry: LogEntry


class RestoreSnapshot(Struct, frozen=True):
    """Effect: a snapshot replaces the state."""

    snapshot: Snapshot


class Stopped(Struct, frozen=True):
    """Effect: the planned stop is complete, the process may exit."""


class FlowsTakenOver(Record, frozen=True):
    """A home arbitrates all buckets that it takes over from one that is gone.

    Parameters
    ----------
    service, former : str
        The service, and the home that is no member any more.
    buckets, flows : int
        What is taken over: buckets, and the flows in them that live on.
    """

    service: str
    former: str
    buckets: int
    flows: int


class TimelineEvent(Record, frozen=True):
    """Effect: a change of state worth a place on the time line.

    Parameters
    ----------
    kind : str
        What happened, in snake case.
    service, flow, peer : str
        What it concerns; empty where it does not apply.
    detail : str
        Further facts for a person.
    """

    kind: str
    service: str = ""
    flow: str = ""
    peer: str = ""
    detail: str = ""


class TimelineEntry(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An event on the time line, as files hold it.

    Parameters
    ----------
    clock : int
        Value of the hybrid logical clock.
    host, role : str
        The process that saw the event.
    kind, service, flow, peer, detail : str
        As in ``TimelineEvent``.
    """

    clock: int
    host: str
    role: str
    kind: str
    service: str = ""
    flow: str = ""
    peer: str = ""
    detail: str = ""


Event = Union[
    Datagram,
    PeerMessage,
    UpstreamDatagram,
    UpstreamGone,
    UpstreamOpened,
    StreamOpened,
    StreamEnded,
    LinkMessage,
    UpstreamHint,
    Tick,
    Stop,
    Restart,
    Stored,
]
Effect = Union[
    SendCaller,
    SendPeer,
    SendUpstream,
    OpenUpstream,
    CloseUpstream,
    EndStream,
    StopAccepting,
    SendLink,
    Stopped,
    TimelineEvent,
    ReplaceLink,
    IncarnationOutdated,
    Store,
    ApplyEntry,
    RestoreSnapshot,
]

# --------------------------------------------------------------------------
# Outcomes
# --------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Malformed:
    """A frame that is no message of ours."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class InvalidItem:
    """A declaration that is refused, with the field and the value at fault."""

    step: str
    peer: str
    item: str
    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the error as one line for a person."""
        return f"{self.item}: {self.field} = {self.value}: allowed is {self.allowed}"


@dataclass(frozen=True, slots=True)
class Recovered:
    """Contents of a log file, and the size of the unsynced tail that was dropped."""

    replica: ReplicaId
    generation: int
    term_vote: TermVote
    base: LogBase
    snapshot: Snapshot | None
    entries: list[LogEntry]
    size: int
    dropped_bytes: int = 0


@dataclass(frozen=True, slots=True)
class DamagedFile:
    """A file that lost or changed what had been synced."""

    step: str
    peer: str
    file: str
    offset: int
    detail: str


@dataclass(frozen=True, slots=True)
class BindRefused:
    """An address that a process cannot listen on, with the flag that gave it."""

    step: str
    peer: str
    flag: str
    address: Address
    detail: str


@dataclass(frozen=True, slots=True)
class OutOfOrder:
    """A delta that does not fit the version in force."""

    step: str
    peer: str
    have: int
    since: int
    version: int
