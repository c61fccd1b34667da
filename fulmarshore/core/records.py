"""The records that the roles exchange, store and return.

Records are small, immutable and have no behaviour. Messages and declarations
are ``msgspec`` structs, so that one library encodes them on the wire and on
disk. A `Record` is encoded as an array of its tag, by default its class name,
and its fields in order, so that a renamed class has to state its old tag.
Outcomes are frozen dataclasses: an operation that can fail returns one instead
of raising.

The flows and requests of a service are divided into buckets by the hash of
their key. Each bucket has one home agent, which coordinates it: it assigns the
flows to their owners and decides the outcomes of the requests.

Times are seconds as ``float`` unless a name says otherwise; sizes are bytes.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple, Union

from msgspec import Struct

from fulmarshore.core.ranges import Number

# --------------------------------------------------------------------------
# Identities
# --------------------------------------------------------------------------


class Address(NamedTuple):
    """A numeric IP address and a port, in the form that sockets take."""

    host: str
    port: int


class Record(Struct, frozen=True, array_like=True, tag=True):
    """Base class of the records encoded for the wire or the disk."""


class Identity(Record, frozen=True):
    """One incarnation of a process.

    Parameters
    ----------
    name : str
        Name of the host, unique in a region.
    incarnation : int
        Increases with every start of the process, which distinguishes a
        restarted process from its previous incarnation.
    """

    name: str
    incarnation: int


# --------------------------------------------------------------------------
# Declarations of operators and announcements of processes
# --------------------------------------------------------------------------


class Protocol(enum.StrEnum):
    """The protocol that the payload of a service carries."""

    OPAQUE = "opaque"
    QUIC = "quic"
    REQUEST = "request"
    TCP = "tcp"


class TrafficKind(enum.StrEnum):
    """The kind of traffic that a profile applies to."""

    FEED = "feed"
    DOWNLOAD = "download"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class Profile(Record, frozen=True):
    """Limits and timeouts for the traffic of a service.

    Parameters
    ----------
    name : str
        Unique name of the profile.
    kind : TrafficKind
        The kind of traffic.
    queue_length : int
        Most requests that wait in the queue of one agent.
    queue_timeout : float
        Longest wait of a request in the queue, in seconds.
    deadline : float
        Deadline of a request that states none, in seconds.
    retry_budget : float
        Retries allowed, as a share of first attempts.
    idle_timeout : float
        A flow without packets for this long ends, in seconds.
    slow_start : float
        Time that a cold upstream is expected to need to warm up, in seconds.
    drain_timeout : float
        Longest time that a draining upstream keeps its flows, in seconds.
    slots, connections : int
        Upper limits on what an upstream announces; 0 sets no limit.
    cold_share : float
        Share of its slots that a cold upstream can use, 0 to 1.
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
    """A service: the address that callers use and the profile it follows."""

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
    """An operator's declaration that an upstream gets no new flows.

    It applies to every incarnation of that name until an operator removes it.
    """

    name: str


class MemberState(enum.StrEnum):
    """The state of an announced upstream."""

    ACCEPTING = "accepting"
    DRAINING = "draining"


class Member(Record, frozen=True):
    """An upstream as announced by its agent.

    Parameters
    ----------
    name, incarnation : str, int
        Identity of the agent.
    service, zone : str
        Service of the upstream, and the availability zone it runs in.
    host, port : str, int
        Data address of the agent.
    slots : int
        Requests that the warm upstream processes at once.
    connections : int
        Most flows that the upstream holds.
    state : MemberState
        Whether new flows may be opened.
    stream_port : int
        Port of the agent for byte streams; 0 if it serves none.
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
    """An entry host as announced by itself."""

    name: str
    incarnation: int
    zone: str
    host: str
    port: int


Declaration = Union[Profile, Service, Zone, Drain]
Announcement = Union[Member, EntryHost]
Item = Union[Profile, Service, Zone, Drain, Member, EntryHost]


class Versioned(Record, frozen=True):
    """An item and the configuration version that last changed it."""

    version: int
    item: Item


class Removed(Record, frozen=True):
    """The removal of an item, identified by type and name, at a version."""

    version: int
    item_type: str
    name: str


# --------------------------------------------------------------------------
# Data path: messages between entry hosts and agents
# --------------------------------------------------------------------------


class Phase(enum.IntEnum):
    """The place of a packet in its flow, as far as the protocol shows it."""

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
        Identity of the agent that is to handle the packet.
    version : int
        Version of the configuration in force at the sender.
    flow : bytes, 16 bytes
        Key of the flow.
    phase : Phase
        Place of the packet in its flow.
    caller_host, caller_port : str, int
        Address of the caller.
    entry : str
        Name of the entry host that received the packet.
    hops : int
        Number of agents that have forwarded the packet.
    assignment : int
        Number under which the home agent assigned the flow to the target; 0
        for a packet that no home has assigned. The numbers of one home
        increase, and a later home of the bucket starts above them.
    payload : bytes
        The datagram as received from the caller.
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
    """Tells the entry host why an agent did not deliver a packet."""

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    caller_host: str
    caller_port: int
    reason: Reason


class Declined(Record, frozen=True):
    """Returns a packet to the home agent: the assigned owner had no capacity."""

    agent: str
    incarnation: int
    version: int
    flows: int
    packet: Forward


class Released(Record, frozen=True):
    """Tells the home agent that a flow has ended at its owner.

    Parameters
    ----------
    assignment : int
        Newest assignment of the flow that the owner has seen. The home keeps
        a flow that it has assigned again in the meantime.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    assignment: int


class FlowCheck(Record, frozen=True):
    """Asks an owner which of the listed flows it still holds.

    The owner answers with a `Released` for each flow that it does not hold.

    Parameters
    ----------
    flows : list of OwnedFlow
        Flows that the home agent has recorded for this owner.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    flows: list[OwnedFlow]


class LoadReport(Record, frozen=True):
    """An agent's load and capacity in flows, for its peers of the service.

    Parameters
    ----------
    flows, limit : int
        Flows held, and the most that may be held.
    number : int
        Increases with each report of an agent; receivers ignore older reports.
    assignment : int
        Newest assignment made by the receiver that ``flows`` includes.
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
    """A flow, the identity of its owner and its newest assignment."""

    flow: bytes
    owner: str
    incarnation: int
    assignment: int = 0


class Takeover(Record, frozen=True):
    """Asks a peer for its flows in some buckets whose new home is the sender.

    From its reply on, the peer forwards openings in these buckets to the
    sender instead of assigning them itself.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    buckets: list[int]


class TakeoverReply(Record, frozen=True):
    """Flows that a peer owns or has recorded in buckets that it hands over.

    Parameters
    ----------
    version : int
        Version of the `Takeover` that this answers.
    buckets : list of int
        Buckets handed over, with all of their flows in this message.
    flows : list of OwnedFlow
        Flows in these buckets.
    complete : list of int
        Those of the buckets whose home the sender was until now. The flows
        listed are all flows in them, so that no other peer has to be asked.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    buckets: list[int]
    flows: list[OwnedFlow]
    complete: list[int]


class FlowRecord(Record, frozen=True, tag=False):
    """The state that a restarted agent needs to continue a flow.

    Parameters
    ----------
    entry : str
        Entry host of the newest packet; empty if any entry host will do.
    local_port : int
        Port of the socket towards the upstream, by which the upstream
        distinguishes flows.
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
        Identity of the agent that owns the flows.
    version : int
        Version of the configuration in force at the sender.
    sender : str
        The agent itself, or the peer that stored the records for it.
    part, parts : int
        Number of this part, and of all parts; 0 parts if none are stored, and
        ``incarnation`` is then the newest earlier one that the sender knows.
    lease_left : float
        Time for which the agent is certain to stay a member, in seconds.
    last_batch : int
        Number of the newest batch if the records come from a running copy; 0
        if the agent handed them over itself.
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
    """Acknowledges that a peer has stored a part of an agent's flow records."""

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
        Identity of the agent that owns the flows.
    version : int
        Version of the configuration in force at the agent.
    holder_incarnation : int
        Incarnation of the peer that holds the copy.
    number, previous : int
        Number of this batch, and of the one before it in the same copy, which
        is 0 for the first batch.
    ended : list of int
        Indices of the records to drop. The records of a copy are numbered from
        0 in the order in which they were sent.
    opened : list of FlowRecord
        New records.
    resumed_from : int
        For the first batch of a copy that starts with the records that the
        peer has returned to this restarted agent: their `last_batch`; else -1.
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
    """Acknowledges a batch, or reports that the copy it belongs to is lost."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int
    is_lost: bool = False


class FlowRecordsRequest(Record, frozen=True):
    """Asks a peer for the flow records of the agent's previous incarnation."""

    service: str
    agent: str
    incarnation: int
    version: int


class RestartRequest(Record, frozen=True, tag="RestartAsk"):
    """Asks a peer for permission to start a planned restart now."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int


class RestartReply(Record, frozen=True, tag="RestartWord"):
    """Grants or denies the `RestartRequest` of the same number."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int
    is_allowed: bool


class ViewCheck(Record, frozen=True):
    """Asks a peer whether it knows a newer view; sent by an agent without a lease."""

    service: str
    agent: str
    incarnation: int
    version: int
    number: int


class ViewConfirmed(Record, frozen=True):
    """Confirms that the peer knows no newer view.

    For a while the peer hands over no buckets under a newer one.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    number: int


class Eviction(Record, frozen=True):
    """Tells an agent that it is no longer a member and has to end its flows.

    Parameters
    ----------
    agent, incarnation : str, int
        Identity of the sender.
    version : int
        A version of the view that does not contain the evicted agent.
    target, target_incarnation : str, int
        Identity of the evicted agent.
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
    """States that the sender holds no flow accepted up to a version of the view.

    Also sent by an agent that leaves as planned, before it is removed.
    """

    service: str
    agent: str
    incarnation: int
    version: int


# --------------------------------------------------------------------------
# Streams: the records that precede the bytes between entry host and agent
# --------------------------------------------------------------------------


class StreamOpen(Record, frozen=True):
    """Asks an agent to open a stream, as a packet without payload opens a flow.

    Parameters
    ----------
    message : Forward or Declined
        The opening, or an opening that its owner declined.
    host, port : str, int
        Data address of the process that sent the message.
    """

    message: Forward | Declined
    host: str
    port: int


class StreamAccepted(Record, frozen=True):
    """States that the agent owns the flow and is connected to its upstream."""

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes


class StreamRedirect(Record, frozen=True):
    """Redirects the sender of a `StreamOpen` to another agent.

    Parameters
    ----------
    open : StreamOpen
        The record to send to that agent.
    host, port : str, int
        Stream address of that agent.
    """

    open: StreamOpen
    host: str
    port: int


class StreamRefused(Record, frozen=True):
    """States why the agent opens no stream for the flow."""

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    reason: Reason


StreamMessage = Union[StreamOpen, StreamAccepted, StreamRedirect, StreamRefused]

# --------------------------------------------------------------------------
# Requests: messages between callers and upstreams
# --------------------------------------------------------------------------


class Challenge(Record, frozen=True):
    """A timestamp that a caller returns, to show the home when its request began.

    Parameters
    ----------
    agent, incarnation : str, int
        The home agent that issued it.
    issued : float
        Time of issue, in seconds of the clock of the home agent.
    """

    agent: str
    incarnation: int
    issued: float


class Request(Record, frozen=True):
    """One attempt of a caller's request, on its way to the upstream.

    Parameters
    ----------
    service, caller : str
        The requested service and the name of the caller.
    number : int
        Number of the request, unique for the caller.
    attempt : int
        0 for the first attempt, one more for each resend.
    timeout : float
        Time left until the deadline when the packet was sent, in seconds.
    idempotent : bool
        Whether the request may run more than once.
    cancel : bool
        Whether this cancels the request; such a copy carries no body.
    body : bytes
        The payload for the upstream.
    age : float
        Time since the first attempt was sent, in seconds.
    challenge : Challenge, optional
        The newest challenge that the caller has received for this request.
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
    """The outcome of a request, as reported to the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Response(Record, frozen=True):
    """The outcome of a request, sent to the caller or by an upstream to its agent.

    From an upstream, ``NOT_RUN`` means that it shed the request without
    running it. If ``challenge`` is set, there is no outcome yet, and the
    caller resends the request with the challenge.
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
# Requests between agents: claims, dispatches to executors, homes of buckets
# --------------------------------------------------------------------------


class Claim(Record, frozen=True):
    """The state of a request at an agent, as sent to its peers.

    Parameters
    ----------
    flow : bytes, 16 bytes
        Key of the request.
    caller, number : str, int
        Caller and number of the request, from which the key is computed.
    attempt : int
        Highest attempt that the claim covers.
    verdict : Verdict or None
        The outcome, or None while there is none.
    reason, body : str, bytes
        The rest of the outcome.
    ttl : float
        Time for which the claim is still kept, in seconds.
    coordinator, incarnation : str, int
        Identity of the agent that decides the outcome.
    version, sequence : int
        Table version and number of the change; they order the claim's states.
    executor, executor_incarnation : str, int
        Identity of the agent that runs the request; an empty name if none.
    run : int
        Number of the dispatch to the executor.
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
    """Replicates a claim from the home agent to a peer, before the home acts on it."""

    service: str
    agent: str
    incarnation: int
    version: int
    claim: Claim


class ClaimBackupReply(Record, frozen=True):
    """Acknowledges a claim, or rejects it.

    A peer rejects a claim if it knows another home of the bucket.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    flow: bytes
    sequence: int
    accepted: bool


class KnownHome(Record, frozen=True):
    """An agent that was the home of some buckets, or began to take them over.

    Parameters
    ----------
    agent, incarnation : str, int
        Identity of the agent.
    version : int
        Version of the table by which it became home.
    settled : bool
        Whether the sender holds all claims that this agent made as home: it
        is that agent itself, or its backup.
    loss_age : float
        Time since claims of the buckets were lost, in seconds; negative if
        none were.
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
    """One part of all claims of some buckets, sent by the home to their backup.

    After the last part, the receiver holds every claim of the buckets. The
    home replicates every later claim to it before it acts on the claim.

    Parameters
    ----------
    target, target_incarnation : str, int
        Identity of the agent that becomes the backup.
    sync : int
        Number of the synchronisation.
    part, parts : int
        Number of this part, and of all parts.
    terms : list of KnownHome
        The buckets, grouped by the version at which the sender became home.
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
    """Acknowledges one part of a `BackupSync`."""

    service: str
    agent: str
    incarnation: int
    version: int
    sync: int
    part: int


class RunRequest(Record, frozen=True):
    """Dispatches a request to an executor, or polls for its outcome.

    Parameters
    ----------
    executor, executor_incarnation : str, int
        Identity of the only agent that may run it.
    flow : bytes
        Key of the request.
    run : int
        Number of the dispatch, which increases with each one of the request.
    cancel : bool
        Cancels the dispatch, also if it has not arrived yet.
    request : Request
        The request, with the time left as its timeout.
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
    """The state of a dispatch; ``verdict`` is None until there is an outcome.

    ``used`` and ``limit`` are the load and capacity of the executor, in
    requests.
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
    """The number of requests an executor holds, and the most it runs at once."""

    service: str
    agent: str
    incarnation: int
    version: int
    used: int
    limit: float


class ClaimsQuery(Record, frozen=True):
    """Asks a peer for all claims in some buckets whose new home is the sender.

    From its reply on, the peer treats the sender as the home of the buckets.
    """

    service: str
    agent: str
    incarnation: int
    version: int
    query: int
    buckets: list[int]


class LostAgent(Record, frozen=True, tag="Lost"):
    """An agent whose claims were lost, and the time since then in seconds."""

    agent: str
    incarnation: int
    age: float


class ClaimsReply(Record, frozen=True):
    """One part of a peer's claims and runs in the buckets of a `ClaimsQuery`.

    Parameters
    ----------
    query : int
        Number of the query.
    stale : bool
        Whether the peer knows a newer configuration with another home.
    part, parts : int
        Number of this part, and of all parts.
    memory_age : float
        Time for which the peer has kept claims, in seconds.
    lost : list of LostAgent
        Agents of the service whose claims were lost, as far as the peer knows.
    homes : list of KnownHome
        Earlier homes of the buckets; in the first part only.
    claims, runs : list of Claim
        Claims held as home agent or as peer of it, and those of the peer's
        executor.
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
    """One part of the claims that an agent hands off to a peer when it stops.

    Parameters
    ----------
    service, agent, incarnation, version : str, str, int, int
        The service, the identity of the stopping agent, and its version.
    part, parts : int
        Number of this part, from 0, and of all parts.
    claims, runs : list of Claim
        Claims that it holds, and those of its executor.
    memory_age : float
        Time for which it has kept claims, in seconds.
    lost : list of LostAgent
        Agents whose claims were lost, as far as it knows.
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
    """Acknowledges one part of a `ClaimHandoff`."""

    service: str
    agent: str
    incarnation: int
    version: int
    part: int


# --------------------------------------------------------------------------
# Control links: messages between control, entry hosts, agents and operators
# --------------------------------------------------------------------------


class Freshness(Record, frozen=True):
    """A stamp that only a leader in contact with a majority renews."""

    term: int
    stamp: int


class Subscribe(Record, frozen=True):
    """Announces a process and asks for all changes after a version.

    ``revision`` increases with every announcement of one incarnation, so that
    late copies of earlier ones are recognised. ``region`` is the region that
    the process is configured for; empty if none is set.
    """

    identity: Identity
    announcement: Announcement
    version: int
    revision: int = 0
    region: str = ""


class RegionRefused(Record, frozen=True):
    """Refuses a process that is configured for another region.

    Parameters
    ----------
    control : str
        Name of the control host.
    region : str
        The region that the process stated.
    allowed : str
        The region of the control host.
    """

    control: str
    region: str
    allowed: str


class Heartbeat(Record, frozen=True):
    """Renews the lease of a process and reports the version it has in force.

    ``clock`` is the sender's hybrid logical clock, set at sending.
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
        The version that it applies to, and the one that it leads to.
    items : list of Versioned
        Items added or replaced.
    removed : list of Removed
        Items removed; none in a snapshot.
    had_members : bool
        Whether the membership of any agent has ever ended.
    had_lives : bool
        Whether any incarnation of an agent has ended, by the end of its
        membership or by a newer incarnation.
    """

    since: int
    version: int
    items: list[Versioned]
    removed: list[Removed]
    had_members: bool = False
    had_lives: bool = False


class DeltaRequest(Record, frozen=True):
    """Asks a peer for the changes after a version.

    Sent when a message on the data path shows a newer version.
    """

    sender: Identity
    version: int


class HeartbeatReply(Record, frozen=True):
    """A control host's answer to a heartbeat.

    Parameters
    ----------
    control : str
        Name of the control host.
    freshness : Freshness
        Its stamp, renewed by a leader in contact with a majority.
    version : int
        Version that it has in force.
    known : bool
        Whether the process is subscribed there and may be a member.
    clock : int
        The sender's hybrid logical clock.
    newest : int
        Incarnation that keeps the process from being a member: a newer one of
        its name, or one of another name at its address; 0 if there is none.
    revision : int
        Newest revision of the process's announcement at the control host.
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
    """The outcome of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    PRUNED = "forgotten"


class ChangeReply(Record, frozen=True):
    """The answer to a change; every resend of the change gets the same one.

    Parameters
    ----------
    number : int
        Number of the change.
    status : ChangeStatus
        Outcome of the change.
    version : int
        The version that put it in force, or 0.
    winner : str
        For a conflict, the operator whose change took the number.
    errors : list of str
        For an invalid change, all errors found in it.
    next_number : int
        The lowest free number.
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
        Only changes with a lower number; 0 starts at the newest.
    limit : int
        Most changes to return.
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
    """Asks for the state of control.

    The leader answers, or with ``is_local`` the control host that receives it.
    """

    is_local: bool = False


class ProcessStatus(Record, frozen=True):
    """Status of one subscribed process; ``age`` is seconds since its last message."""

    identity: Identity
    role: str
    zone: str
    version: int
    age: float


class ReplicaId(Record, frozen=True):
    """Identity of a replica: a control host and its disk.

    A replaced disk is another replica.

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
    """Status of one replica at the leader; ``age`` is seconds since last contact."""

    replica: ReplicaId
    role: str
    match: int
    age: float


class StatusReply(Record, frozen=True):
    """State of a control host: configuration, members, replicas and versions."""

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
    """Asks a voter for its vote, or with ``pre_vote`` whether it would grant it.

    With ``for_transfer`` the leader itself has asked the candidate to start
    the election, so that contact with the leader is no reason to refuse. The
    disks of the voters in ``lost`` are lost, as far as the sender knows.
    """

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: Number
    last_index: Number
    last_term: Number
    pre_vote: bool
    for_transfer: bool = False
    lost: tuple[ReplicaId, ...] = ()


class VoteReply(Record, frozen=True):
    """Answer to a `VoteRequest`; ``term`` is the requested one if granted.

    With ``confirms_lost`` the sender itself knew of all losses that the request
    names.
    """

    group: str
    sender: ReplicaId
    term: Number
    granted: bool
    pre_vote: bool
    confirms_lost: bool = False


class DiskReplaced(Record, frozen=True):
    """Answer to a request for a disk that the sender's host no longer has.

    It stays true however late it arrives: requests for a disk exist only once it
    is in use, so a host that answers one with another disk has lost it since.
    """

    group: str
    sender: ReplicaId
    lost: ReplicaId


class LeaveGroup(Record, frozen=True):
    """Tells the leader that a voter stops, perhaps for good."""

    group: str
    sender: ReplicaId


class LeaveGroupReply(Record, frozen=True):
    """The voter may stop: it does not vote any more, or the group needs its vote."""

    group: str
    sender: ReplicaId


class TimeoutNow(Record, frozen=True, tag="StandNow"):
    """Transfers leadership: asks a voter to start an election at once."""

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: Number


class AppendRequest(Record, frozen=True):
    """The leader's entries after an index; also its heartbeat.

    ``heartbeat_round`` numbers the leader's rounds of messages; ``stamp`` is
    the newest round that a majority has answered.
    """

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: Number
    previous_index: Number
    previous_term: Number
    entries: list[LogEntry]
    commit: Number
    stamp: Number
    heartbeat_round: Number


class AppendReply(Record, frozen=True):
    """Index up to which the sender's synced log matches the leader's log.

    Without ``success``, ``match`` is the index after which the leader has to
    send entries instead.
    """

    group: str
    sender: ReplicaId
    term: Number
    success: bool
    match: Number
    heartbeat_round: Number


class SnapshotChunk(Record, frozen=True):
    """A part of the leader's encoded snapshot."""

    group: str
    sender: ReplicaId
    target: ReplicaId
    term: Number
    index: Number
    offset: Number
    total: Number
    data: bytes
    heartbeat_round: Number


class ChunkReply(Record, frozen=True):
    """Number of bytes of a snapshot that the sender holds, as ``offset``."""

    group: str
    sender: ReplicaId
    term: Number
    index: Number
    offset: Number
    heartbeat_round: Number


class JoinRequest(Record, frozen=True):
    """Asks for membership in the group, for a replica without a vote.

    ``bootstrap`` states that the sender may start a group if there is none.
    """

    group: str
    sender: ReplicaId
    bootstrap: bool
    region: str = ""


class JoinReply(Record, frozen=True):
    """Tells a replica without a vote which group exists; empty if none."""

    group: str
    sender: ReplicaId
    bootstrap: bool
    region: str = ""


class Relay(Record, frozen=True):
    """A peer's message, forwarded by a control host to the leader."""

    peer: str
    message: Subscribe | Leave | Change | StatusRequest
    region: str = ""


class RelayReply(Record, frozen=True):
    """The leader's answer to a relayed message, for that peer."""

    peer: str
    message: ChangeReply | StatusReply


class HeartbeatReport(Record, frozen=True, tag="HeardReport"):
    """Heartbeats that a control host received since its last report."""

    control: str
    heartbeats: list[Heartbeat]
    region: str = ""


class HeartbeatReportReply(Record, frozen=True, tag="HeardReply"):
    """Acknowledges a `HeartbeatReport`."""

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
    DiskReplaced,
    LeaveGroup,
    LeaveGroupReply,
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
    """The role of the owner of a key that opens control links."""

    CONTROL = "control"
    PROCESS = "process"
    OPERATOR = "operator"


class KeyOwner(Record, frozen=True):
    """The owner of the key that authenticated a control link."""

    role: KeyRole
    name: str


# --------------------------------------------------------------------------
# Commands of the replicated log
# --------------------------------------------------------------------------


class Join(Record, frozen=True):
    """Adds an announced process to the membership."""

    announcement: Announcement
    revision: int = 0


class Expire(Record, frozen=True):
    """Ends the membership of a process that left or whose lease expired."""

    identity: Identity
    left: bool = False


class Batch(Record, frozen=True):
    """Joins and expiries that take effect at one version."""

    commands: list[Join | Expire]


class Noop(Record, frozen=True):
    """The entry with which a leader begins its term."""


class Voters(Record, frozen=True):
    """The replicas that are voters from this entry on."""

    replicas: list[ReplicaId]


class PutConfiguration(Record, frozen=True):
    """A complete configuration; the one with the highest version is in force.

    Parameters
    ----------
    version : int
        Version number given by the operator.
    content : bytes
        The configuration as the operator sent it, compressed.
    """

    version: int
    content: bytes


class PutZone(Record, frozen=True):
    """Takes an availability zone out of service, or back into service."""

    zone: str
    is_out: bool


Command = Union[Change, Join, Expire, Batch, Noop, Voters, PutConfiguration, PutZone]


class LogEntry(Record, frozen=True):
    """A command with its index and term in the replicated log."""

    index: int
    term: int
    command: Command


# --------------------------------------------------------------------------
# Records of the log file
# --------------------------------------------------------------------------


class FileHeader(Record, frozen=True):
    """First record of a log file; each new file has a higher generation."""

    replica: ReplicaId
    generation: int


class TermVote(Record, frozen=True):
    """The group, the current term and the vote granted in it."""

    group: str
    term: int
    vote: ReplicaId | None


class LogBase(Record, frozen=True):
    """Index and term of the entry before the first one in the file."""

    index: int
    term: int


class Snapshot(Record, frozen=True):
    """The state that results from the log up to an index."""

    index: int
    term: int
    voters: Voters
    state: bytes


class Truncation(Record, frozen=True):
    """Discards the entries from an index on."""

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
    """Event: the upstream sent a datagram to the socket of a flow."""

    flow: bytes
    payload: bytes


class UpstreamGone(Struct, frozen=True):
    """Event: the socket of a flow reports that the upstream is unreachable."""

    flow: bytes


class UpstreamOpened(Struct, frozen=True):
    """Event: the socket of a flow towards the upstream is open."""

    flow: bytes
    port: int


class StreamOpened(Struct, frozen=True):
    """Event: the stream of a flow is connected end to end."""

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
    """The endpoint of an upstream that a hint comes from."""

    HEALTH = "health"
    LOAD = "load"


class Health(enum.StrEnum):
    """Health state that an upstream reports about itself."""

    HEALTHY = "well"
    UNHEALTHY = "sick"
    DRAINING = "draining"


class UpstreamHint(Struct, frozen=True):
    """Event: a health or load endpoint of the upstream was read.

    Parameters
    ----------
    source : HintSource
        The endpoint.
    health : Health
        The reported health; a load endpoint always reports ``HEALTHY``.
    share : float
        Share of its slots that the upstream reports it can use, 0 to 1.
    """

    source: HintSource
    health: Health = Health.HEALTHY
    share: float = 1.0


class Tick(Struct, frozen=True):
    """Event: a periodic timer fired."""


class Stop(Struct, frozen=True):
    """Event: a planned stop begins."""


class Stored(Struct, frozen=True):
    """Event: all records up to the ``Store`` of this sequence are synced."""

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

    The adapter opens the socket when it sends the first datagram of a flow.
    """

    flow: bytes
    payload: bytes


class OpenUpstream(Struct, frozen=True):
    """Effect: open the socket of a flow on the local port that it had before."""

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
    """Effect: close an unresponsive link; the next message opens a new one."""

    peer: str


class IncarnationOutdated(Struct, frozen=True):
    """Effect: the process has to continue with a higher incarnation.

    Its incarnation is not above that of an earlier process, so that it can't
    become a member: the clock of its host was set back, or the host was
    replaced by one whose clock is behind.

    Parameters
    ----------
    newest : int
        The incarnation that the new one has to exceed.
    """

    newest: int


class Store(Struct, frozen=True):
    """Effect: append records to the log file, or replace its content by them.

    ``Stored`` events follow in the order of the sequence, once synced.
    """

    sequence: int
    records: list[DiskRecord]
    replace: bool = False


class ApplyEntry(Struct, frozen=True):
    """Effect: apply a committed entry to the state machine."""

    entry: LogEntry


class RestoreSnapshot(Struct, frozen=True):
    """Effect: replace the state by a snapshot."""

    snapshot: Snapshot


class Stopped(Struct, frozen=True):
    """Effect: the planned stop is complete; the process can exit."""


class FlowsTakenOver(Record, frozen=True):
    """States that a home agent has taken over its buckets of a former home.

    Parameters
    ----------
    service, former : str
        The service, and the former home, which is no longer a member.
    buckets, flows : int
        Number of buckets taken over, and of the flows in them that continue.
    """

    service: str
    former: str
    buckets: int
    flows: int


class TimelineEvent(Record, frozen=True):
    """Effect: record a change of state on the time line.

    Parameters
    ----------
    kind : str
        What happened, in snake case.
    service, flow, peer : str
        The objects concerned; empty if not applicable.
    detail : str
        Further information, for people to read.
    """

    kind: str
    service: str = ""
    flow: str = ""
    peer: str = ""
    detail: str = ""


class TimelineEntry(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An event on the time line, as written to files.

    Parameters
    ----------
    clock : int
        Value of the hybrid logical clock.
    host, role : str
        The process that recorded the event.
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
# Outcomes of operations that can fail
# --------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Malformed:
    """A frame that could not be decoded."""

    step: str
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class InvalidItem:
    """A rejected declaration, with the invalid field and its value."""

    step: str
    peer: str
    item: str
    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
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
    """A file in which synced data is missing or altered."""

    step: str
    peer: str
    file: str
    offset: int
    detail: str


@dataclass(frozen=True, slots=True)
class BindRefused:
    """An address that a process can't listen on, and the flag that set it."""

    step: str
    peer: str
    flag: str
    address: Address
    detail: str


@dataclass(frozen=True, slots=True)
class OutOfOrder:
    """A delta that can't be applied to the version in force."""

    step: str
    peer: str
    have: int
    since: int
    version: int
