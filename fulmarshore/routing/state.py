"""State shared by the parts of an agent, and messages that all of them send."""

from __future__ import annotations

from collections import Counter
from random import Random

from fulmarshore.admission.gate import Gate
from fulmarshore.core.records import (
    Address,
    Effect,
    Forward,
    Identity,
    Member,
    MemberState,
    Reason,
    Refusal,
    Released,
    SendPeer,
)
from fulmarshore.membership.registry import LEASE_S
from fulmarshore.membership.subscriber import Subscriber
from fulmarshore.routing.arbitration import Arbiter
from fulmarshore.routing.copysender import CopySender
from fulmarshore.routing.eviction import EvictionTracker
from fulmarshore.routing.fence import Fence
from fulmarshore.routing.flows import Directory, Flow, IdleQueue
from fulmarshore.routing.heldpackets import HeldPackets
from fulmarshore.routing.homes import Homes
from fulmarshore.routing.peers import KnownPeers
from fulmarshore.routing.recordtransfer import RecordTransfer
from fulmarshore.routing.reports import LoadReporter
from fulmarshore.routing.table import ServiceTable, Table


class AgentState:
    """The flows, the view and the tables that all parts of an agent share.

    Parameters
    ----------
    subscriber : Subscriber
        Holds the view in force; its announcement is this agent's member.
    """

    def __init__(self, subscriber: Subscriber) -> None:
        assert isinstance(subscriber.announcement, Member)
        self.subscriber = subscriber
        self.member = subscriber.announcement
        self.table = Table(subscriber.view)
        self.peers = KnownPeers(self.table)
        self.counters: Counter[str] = Counter()
        self.flows: dict[bytes, Flow] = {}
        self.idle_queue = IdleQueue()
        self.streams: set[bytes] = set()
        self.gate = Gate(self.member)
        self.arbiter = Arbiter(self.member.name, self.counters)
        self.homes = Homes(self.member.name, self.member.incarnation)
        self.held = HeldPackets()
        self.fence = Fence(LEASE_S)
        self.record_transfer = RecordTransfer(subscriber.identity, self.member.service)
        self.copy_sender = CopySender(subscriber.identity, self.member.service)
        self.evictions = EvictionTracker(subscriber.identity, self.member.service)
        self.reporter = LoadReporter(self.member.name, self.member.incarnation)
        self.evicted_version = 0
        self.has_recovered = False
        self._random = Random(self.member.incarnation)

    @property
    def directory(self) -> Directory:
        """The directory of flows that other agents own."""
        return self.arbiter.directory

    @property
    def service(self) -> ServiceTable | None:
        """The table of this agent's service, or None if it is not declared."""
        return self.table.services.get(self.member.service)

    @property
    def is_accepting(self) -> bool:
        """Whether this agent may open new flows: it is neither draining nor leaving."""
        drained = self.member.name in self.table.drained
        leaving = drained or self.record_transfer.is_leaving
        return self.member.state == MemberState.ACCEPTING and not leaving

    def find_entry(self, name: str) -> Address | None:
        """Return an entry host's address; that of another one if it has left."""
        entry = self.table.entries.get(name)
        if entry is None:
            return self.pick_entry()
        return Address(entry.host, entry.port)

    def pick_entry(self) -> Address | None:
        """Return the address of a random entry host, or None if there is none."""
        entries = list(self.table.entries.values())
        if not entries:
            return None
        entry = self._random.choice(entries)
        return Address(entry.host, entry.port)

    def refuse(self, packet: Forward, reason: Reason) -> list[Effect]:
        """Refuse a packet, with a message to its entry host."""
        self.counters[f"refused_{reason}"] += 1
        caller = Address(packet.caller_host, packet.caller_port)
        address = self.find_entry(packet.entry)
        return self.send_refusal(packet.flow, caller, address, reason)

    def send_refusal(
        self, flow: bytes, caller: Address, address: Address | None, reason: Reason
    ) -> list[Effect]:
        """Send a refusal of a flow to an entry host's address, if there is one."""
        if address is None:
            return []
        refusal = Refusal(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            flow,
            *caller,
            reason,
        )
        return [SendPeer(address, refusal)]

    def make_released(self, flow: bytes, assignment: int) -> Released:
        """Return the message that a flow has ended."""
        return Released(
            self.member.service,
            self.member.name,
            self.member.incarnation,
            self.table.version,
            flow,
            assignment,
        )

    def drop(self, reason: Reason) -> list[Effect]:
        """Count a packet or message that is dropped."""
        self.counters[f"dropped_{reason}"] += 1
        return []


def split_identity(identity: Identity) -> tuple[str, int]:
    """Return the name and the incarnation of a process."""
    return identity.name, identity.incarnation
