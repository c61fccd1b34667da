"""Register of flows that callers keep open for requests that must not run twice.

The agent of such a flow registers it with two control hosts, so that its caller can be
notified if the upstream ends. A control host keeps the records in memory and in a file.
A lost record loses a notice, and nothing else.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from fulmarshore.direct.keptflowsfile import StoredGroup
from fulmarshore.direct.records import KeptFlows, SendKeptFlows, UpstreamAnnounced

if TYPE_CHECKING:
    from fulmarshore.direct.agentflows import AgentFlow

REGISTER_COPIES = 2
"""Control hosts that hold the records of an agent: one of them may be cut off."""
MESSAGE_INTERVAL_S = 1.0
"""Shortest interval between two register messages of an agent."""
COMPLETE_INTERVAL_S = 10.0
"""Interval of complete lists: they renew records six times before these expire, and
repair lost messages."""
RENEWAL_DISTANCE = 38_400
"""Bytes after which a position is sent again: half of the 76,800 within which a caller
accepts a reset."""
CONFIRMATION_AGE_S = 0.1
"""An announcement confirms the incarnation of flows whose request is older than this.
One that the former incarnation sent may be read later, but not by this much."""
MAX_ENDED = 4096
"""Ended flows listed in one message, 57 KB; beyond that a complete list is sent."""
MAX_RECORDS = 65_536
"""Records of a control host: 14 MB as allocated by Python, measured."""
RECORD_RETENTION_S = 60.0
"""A record that was neither made nor renewed for this long is dropped: its agent is
out of reach, and the caller may have used its address and port again."""

MAX_START_DIGITS = 20
"""Digits of a start time in milliseconds; more are not a time."""

_POSITIONS = 1 << 32


def name_incarnation(announced: UpstreamAnnounced) -> str:
    """Return the name of an announced incarnation, as in reports of its agent."""
    return f"{announced.upstream}@{announced.born_ms}"


def parse_start(incarnation: str) -> int | None:
    """Return the start time of an incarnation in milliseconds; None if not stated."""
    _, separator, born_ms = incarnation.rpartition("@")
    if not separator or len(born_ms) > MAX_START_DIGITS or not born_ms.isdecimal():
        return None
    return int(born_ms) or None


def choose_voters(host: str, voters: tuple[str, ...]) -> tuple[str, ...]:
    """Return the voters that hold the records of an agent's host."""

    def rank(voter: str) -> int:
        return xxh3_64_intdigest(f"{host} {voter}".encode())

    return tuple(sorted(voters, key=rank)[:REGISTER_COPIES])


class KeptFlow:
    """A flow that an agent registers.

    Attributes
    ----------
    flow : AgentFlow
        The tracked flow.
    sent_position : int or None
        Position that was last sent; None before that.
    """

    __slots__ = ("flow", "sent_position")

    def __init__(self, flow: AgentFlow) -> None:
        self.flow = flow
        self.sent_position: int | None = None

    @property
    def is_due(self) -> bool:
        """Whether the position has to be sent."""
        if self.sent_position is None:
            return True
        advance = (self.flow.acknowledged - self.sent_position) % _POSITIONS
        return min(advance, _POSITIONS - advance) >= RENEWAL_DISTANCE


class KeptFlowTracker:
    """Selects the flows that an agent registers, and the changes to send.

    A flow is registered for an incarnation once that has announced itself after the
    flow was found to be kept. An agent learns of a restart of its upstream only
    afterwards; without this rule, a flow that the next incarnation has accepted
    before its first announcement would be registered for the former one.

    Parameters
    ----------
    host : str
        Address of the agent's host.
    process : int
        Random number of the agent's process.
    is_enabled : bool
        Whether flows are registered at all.
    counters : Counter, optional
        Counts ``flows_kept``.
    """

    __slots__ = (
        "_host",
        "_process",
        "_is_enabled",
        "_counters",
        "_incarnation",
        "_announced_at",
        "_unconfirmed",
        "_kept",
        "_ended",
        "_voters",
        "_former_voters",
        "_sent_at",
        "_completed_at",
    )

    def __init__(
        self,
        host: str = "",
        process: int = 0,
        is_enabled: bool = False,
        counters: Counter[str] | None = None,
    ) -> None:
        self._host = host
        self._process = process
        self._is_enabled = is_enabled
        self._counters = counters if counters is not None else Counter()
        self._incarnation = ""
        self._announced_at = float("-inf")
        self._unconfirmed: dict[bytes, tuple[float, AgentFlow]] = {}
        self._kept: dict[bytes, KeptFlow] = {}
        self._ended: dict[bytes, None] = {}
        self._voters: tuple[str, ...] = ()
        self._former_voters: tuple[str, ...] = ()
        self._sent_at = float("-inf")
        self._completed_at = float("inf")

    def add_candidate(self, key: bytes, flow: AgentFlow, now: float) -> None:
        """Add a flow that its caller keeps open, and whose requests must not run twice.

        A flow without a packet since the incarnation announced itself may be one of the
        former incarnation.
        """
        if not self._is_enabled or not flow.is_open or key in self._kept:
            return
        if flow.last_packet_at < self._announced_at:
            return
        self._unconfirmed.setdefault(key, (now, flow))

    def record_announcement(self, announced: UpstreamAnnounced, now: float) -> None:
        """Register the flows that an announcement confirms.

        The flows of a former incarnation are no longer renewed.
        """
        incarnation = name_incarnation(announced)
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._announced_at = now
            self._unconfirmed.clear()
            self._kept.clear()
            return
        for key, (requested_at, flow) in list(self._unconfirmed.items()):
            if now - requested_at < CONFIRMATION_AGE_S:
                continue
            del self._unconfirmed[key]
            self._ended.pop(key, None)
            self._kept[key] = KeptFlow(flow)
            self._counters["flows_kept"] += 1

    def end(self, key: bytes) -> None:
        """Remove a flow that has ended."""
        self._unconfirmed.pop(key, None)
        if self._kept.pop(key, None) is not None:
            self._ended[key] = None

    def end_all(self) -> None:
        """Remove all flows: they have ended."""
        self._unconfirmed.clear()
        self._ended.update(dict.fromkeys(self._kept))
        self._kept.clear()

    def is_due(self, voters: tuple[str, ...], now: float) -> bool:
        """Return whether messages are due, and choose the voters that get them.

        Parameters
        ----------
        voters : tuple of str
            All control hosts that vote.
        now : float
            Monotonic time in seconds.
        """
        has_registered = self._completed_at != float("inf")
        if not has_registered and not self._kept and not self._ended:
            return False
        if now - self._sent_at < MESSAGE_INTERVAL_S:
            return False
        chosen = choose_voters(self._host, voters)
        if not chosen:
            return False
        if sorted(chosen) != sorted(self._voters):
            if has_registered:
                self._completed_at = float("-inf")
                former = [voter for voter in self._voters if voter not in chosen]
                self._former_voters = tuple(former)
            self._voters = chosen
        if self._ended or now - self._completed_at >= COMPLETE_INTERVAL_S:
            return True
        return any(kept.is_due for kept in self._kept.values())

    def make_messages(self, number: int, now: float) -> list[SendKeptFlows]:
        """Return the messages that are due, and record them as sent."""
        self._sent_at = now
        is_first = self._completed_at == float("inf")
        is_complete = (
            is_first
            or now - self._completed_at >= COMPLETE_INTERVAL_S
            or len(self._ended) > MAX_ENDED
        )
        kept = []
        for key, held in self._kept.items():
            if is_complete or held.is_due:
                held.sent_position = held.flow.acknowledged
                kept.append((key, held.sent_position))
        ended = tuple(self._ended)[:MAX_ENDED]
        self._ended.clear()
        if is_complete:
            # After an empty list there is nothing to renew until a flow is kept again.
            self._completed_at = now if kept else float("inf")
        head = (self._host, self._process, self._incarnation, number)
        message = KeptFlows(*head, is_complete, tuple(kept), ended)
        effects = [SendKeptFlows(message, voter) for voter in self._voters]
        emptied = KeptFlows(*head, True)
        effects += [SendKeptFlows(emptied, voter) for voter in self._former_voters]
        self._former_voters = ()
        return effects


class FlowRecord:
    """Record of a kept flow at a control host.

    Parameters
    ----------
    host, incarnation : str
        The agent's host, and the incarnation of the upstream that holds the flow.
    process : int
        Process of the agent that registered it last.
    position : int
        Position that the caller last acknowledged.
    renewed_at : float
        When it was made or renewed, monotonic seconds.
    """

    __slots__ = ("host", "incarnation", "process", "position", "renewed_at")

    def __init__(
        self,
        host: str,
        incarnation: str,
        process: int,
        position: int,
        renewed_at: float,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.process = process
        self.position = position
        self.renewed_at = renewed_at


class FlowRegister:
    """The kept flows that agents have registered with a control host.

    Parameters
    ----------
    counters : Counter
        Counts ``kept_flows_dropped``: the register was full, or they expired.
    """

    __slots__ = ("_counters", "_records", "_groups")

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._records: dict[bytes, FlowRecord] = {}
        self._groups: dict[str, dict[str, dict[bytes, None]]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: bytes) -> FlowRecord | None:
        """Return the record of a flow, or None if there is none."""
        return self._records.get(key)

    def list_incarnations(self, host: str) -> list[str]:
        """Return the incarnations at a host that have records."""
        return list(self._groups.get(host, ()))

    def apply(self, message: KeptFlows, now: float) -> bool:
        """Apply a message of an agent; return whether the set of flows has changed."""
        has_changed = False
        for key in message.ended:
            record = self._records.get(key)
            if record is not None and record.host == message.host:
                has_changed |= self.remove(key)
        host, incarnation = message.host, message.incarnation
        for key, position in message.kept:
            record = FlowRecord(host, incarnation, message.process, position, now)
            has_changed |= self._put(key, record)
        if message.is_complete:
            listed = {key for key, _ in message.kept}
            # What a former process of the agent has registered may still be open.
            for key in self._list_keys(host, incarnation):
                if key in listed or self._records[key].process != message.process:
                    continue
                has_changed |= self.remove(key)
        return has_changed

    def detach(self, host: str, incarnation: str) -> list[tuple[bytes, FlowRecord]]:
        """Return the records of an incarnation that has ended.

        They stay in the register until they are removed or replaced, which tells the
        notifier whether a flow was registered again in the meantime.
        """
        keys = self._list_keys(host, incarnation)
        self._discard_group(host, incarnation)
        return [(key, self._records[key]) for key in keys]

    def remove(self, key: bytes) -> bool:
        """Remove the record of a flow; return whether there was one."""
        record = self._records.pop(key, None)
        if record is None:
            return False
        keys = self._groups.get(record.host, {}).get(record.incarnation, {})
        keys.pop(key, None)
        if not keys:
            self._discard_group(record.host, record.incarnation)
        return True

    def expire(self, now: float) -> int:
        """Remove records that were not renewed; return their number."""
        expired = [
            key
            for key, record in self._records.items()
            if now - record.renewed_at > RECORD_RETENTION_S
        ]
        for key in expired:
            self.remove(key)
        self._counters["kept_flows_dropped"] += len(expired)
        return len(expired)

    def list_groups(self, now: float) -> list[StoredGroup]:
        """Return the records for the file."""
        groups = []
        for host, incarnations in self._groups.items():
            for incarnation, keys in incarnations.items():
                flows = []
                for key in keys:
                    record = self._records[key]
                    age_s = now - record.renewed_at
                    flows.append((key, record.position, record.process, age_s))
                groups.append(StoredGroup(host, incarnation, flows))
        return groups

    def restore(self, groups: list[StoredGroup], now: float) -> None:
        """Add the records of a file that have not expired."""
        for group in groups:
            for key, position, process, age_s in group.flows:
                head = (group.host, group.incarnation, process, position)
                self._put(key, FlowRecord(*head, now - age_s))
        self.expire(now)

    def _put(self, key: bytes, record: FlowRecord) -> bool:
        """Add or renew a record; return whether it is new."""
        previous = self._records.get(key)
        if previous is None and len(self._records) >= MAX_RECORDS:
            self._counters["kept_flows_dropped"] += 1
            return False
        incarnations = self._groups.setdefault(record.host, {})
        keys = incarnations.setdefault(record.incarnation, {})
        is_renewed = key in keys
        if not is_renewed:
            self.remove(key)
            self._groups.setdefault(record.host, {})[record.incarnation] = keys
        keys[key] = None
        self._records[key] = record
        return not is_renewed

    def _list_keys(self, host: str, incarnation: str) -> list[bytes]:
        return list(self._groups.get(host, {}).get(incarnation, ()))

    def _discard_group(self, host: str, incarnation: str) -> None:
        incarnations = self._groups.get(host, {})
        incarnations.pop(incarnation, None)
        if not incarnations:
            self._groups.pop(host, None)
