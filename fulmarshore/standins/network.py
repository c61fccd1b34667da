"""A simulated network that delivers the messages of cores to each other.

Used by the tests of control, routing and admission. Time is simulated and every
choice comes from one seed. Callers and upstreams are not modelled: effects for
them go to ``outbox`` or to the callback of the node. Writes go to the node's
disk, or are synced at once.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Protocol

from msgspec import Struct

from fulmarshore.core.records import (
    Address,
    AppendReply,
    ChangeReply,
    ChunkReply,
    Delta,
    Effect,
    Event,
    HeartbeatReply,
    HeartbeatReportReply,
    JoinReply,
    LinkMessage,
    PeerMessage,
    RelayReply,
    ReplaceLink,
    SendLink,
    SendPeer,
    StatusReply,
    Store,
    Stored,
    Tick,
    VoteReply,
)
from fulmarshore.standins.disk import FakeDisk

TICK_INTERVAL_S = 0.05

LINK_REPLIES = (
    AppendReply,
    ChangeReply,
    ChunkReply,
    Delta,
    HeartbeatReportReply,
    HeartbeatReply,
    JoinReply,
    RelayReply,
    StatusReply,
    VoteReply,
)


class Core(Protocol):
    """Interface that the network expects of a core."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Process an event and return its effects."""


class Faults(Struct, frozen=True):
    """Probabilities of message faults, and bounds of delays.

    Parameters
    ----------
    loss, duplication : float
        Share of messages that are lost or sent twice, from 0 to 1.
    min_delay, max_delay : float
        Bounds of the delay of a message, in seconds.
    max_disk_delay : float
        Longest time that a disk takes to sync a write, in seconds.
    late : float
        Share of messages of which a late duplicate arrives, from 0 to 1.
    max_late : float
        Longest delay of a late duplicate, in seconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    min_delay: float = 0.0005
    max_delay: float = 0.002
    max_disk_delay: float = 0.004
    late: float = 0.0
    max_late: float = 0.0


Observe = Callable[["Node", Effect, float], None]


class Node:
    """A core in the network, with its name, address and disk."""

    __slots__ = ("name", "address", "core", "observe", "running", "disk")

    def __init__(
        self, name: str, address: Address, core: Core, observe: Observe | None
    ) -> None:
        self.name = name
        self.address = address
        self.core = core
        self.observe = observe
        self.running = True
        self.disk: FakeDisk | None = None


class DatagramTarget(Struct, frozen=True):
    """Destination of a datagram: the node that has the address on arrival."""

    address: Address


class SyncDue(Struct, frozen=True):
    """The oldest write of a node's disk is due to be synced."""


class FakeNetwork:
    """Delivers messages between cores in simulated time.

    Parameters
    ----------
    seed : int
        Seed of delays, losses and duplicates.
    faults : Faults
        Faults of messages; may be replaced at any time.
    tick_interval : float
        Interval of the ticks, in seconds.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults | None = None,
        tick_interval: float = TICK_INTERVAL_S,
    ) -> None:
        self.now = 0.0
        self.messages = 0
        self.tick_interval = tick_interval
        self.faults = faults or Faults()
        self.random = Random(seed)
        self.nodes: dict[str, Node] = {}
        self.outbox: list[tuple[float, str, Effect]] = []
        self._by_address: dict[Address, str] = {}
        self._cut: set[tuple[str, str]] = set()
        self._blackholed_links: set[tuple[str, str]] = set()
        self._paused: dict[str, list[tuple[Node, Event | SyncDue]]] = {}
        self._queue: list[
            tuple[float, int, Node | DatagramTarget, Event | SyncDue]
        ] = []
        self._sequence = 0

    def add(
        self,
        name: str,
        core: Core,
        address: Address | None = None,
        observe: Observe | None = None,
        disk: FakeDisk | None = None,
    ) -> Node:
        """Add a core, or replace the one of that name after a restart.

        Without a disk, every write of the core counts as synced at once.
        """
        address = address or Address("127.0.0.1", 10_000 + len(self.nodes))
        node = Node(name, address, core, observe)
        node.disk = disk
        self._paused.pop(name, None)
        self.nodes[name] = node
        self._by_address[address] = name
        self._push(self.now, node, Tick())
        return node

    def stop(self, name: str) -> None:
        """Crash a core: it processes no more events."""
        self.nodes[name].running = False

    def pause(self, name: str) -> None:
        """Suspend a core; events that arrive are queued."""
        self._paused.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Resume a paused core and deliver the queued events in order."""
        for node, event in self._paused.pop(name, []):
            self._push(self.now, node, event)

    def resume_all(self) -> None:
        """Resume all paused cores and deliver their queued events shuffled."""
        for name in list(self._paused):
            self.random.shuffle(self._paused[name])
            self.resume(name)

    def cut(self, source: str, destination: str) -> None:
        """Drop all messages from one core to another."""
        self._cut.add((source, destination))

    def is_cut(self, source: str) -> bool:
        """Return whether messages of a core to any other one are dropped."""
        return any(cut[0] == source for cut in self._cut)

    def partition(self, left: list[str], right: list[str]) -> None:
        """Drop all messages between two groups, in both directions."""
        for one in left:
            for other in right:
                self.cut(one, other)
                self.cut(other, one)

    def blackhole_link(self, source: str, peer: str) -> None:
        """Drop all messages on the link that a core opened to a peer.

        The link stays open but broken until the core replaces it.
        """
        self._blackholed_links.add((source, peer))

    def heal(self) -> None:
        """End all partitions; broken links stay broken."""
        self._cut.clear()

    def inject(self, name: str, event: Event) -> None:
        """Deliver an event to a core now, or queue it while the core is paused."""
        if name in self._paused:
            self._paused[name].append((self.nodes[name], event))
            return
        self._deliver(self.nodes[name], event)

    def draw_delays(self) -> list[float]:
        """Return the delay of each copy of a message; empty if it is lost."""
        faults = self.faults
        delays = []
        copies = 1 + (self.random.random() < faults.duplication)
        for _ in range(copies):
            if self.random.random() < faults.loss:
                continue
            delays.append(self.random.uniform(faults.min_delay, faults.max_delay))
        if faults.late and self.random.random() < faults.late:
            delays.append(self.random.uniform(0.0, faults.max_late))
        return delays

    def schedule(self, delay: float, name: str, event: Event) -> None:
        """Deliver an event to a core after a delay in seconds."""
        self._push(self.now + delay, self.nodes[name], event)

    def run(self, seconds: float) -> None:
        """Advance simulated time by some seconds and deliver what is due."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, node, event = heapq.heappop(self._queue)
            if isinstance(node, DatagramTarget):
                node = self.nodes[self._by_address[node.address]]
            if not node.running or self.nodes.get(node.name) is not node:
                continue
            if node.name in self._paused:
                self._paused[node.name].append((node, event))
                continue
            if isinstance(event, SyncDue):
                sequence = node.disk.sync()
                event = Stored(sequence)
            if isinstance(event, Tick):
                self._push(self.now + self.tick_interval, node, event)
            self._deliver(node, event)
        self.now = until

    def _deliver(self, node: Node, event: Event) -> None:
        for effect in node.core.handle(event, self.now):
            self._apply_effect(node, effect)

    def _apply_effect(self, node: Node, effect: Effect) -> None:
        match effect:
            case SendPeer(destination=destination, message=message):
                self.messages += 1
                target = self._by_address.get(Address(*destination))
                self._transmit(node.name, target, PeerMessage(node.address, message))
            case SendLink(peer=peer, message=message):
                self._transmit(node.name, peer, LinkMessage(node.name, message))
            case Store() if node.disk is not None:
                node.disk.submit(effect)
                delay = self.random.uniform(0.0, self.faults.max_disk_delay)
                self._push(self.now + delay, node, SyncDue())
            case Store():
                self._deliver(node, Stored(effect.sequence))
            case ReplaceLink(peer=peer):
                self._blackholed_links.discard((node.name, peer))
            case _ if node.observe is not None:
                node.observe(node, effect, self.now)
            case _:
                self.outbox.append((self.now, node.name, effect))

    def _transmit(self, source: str, target: str | None, event: Event) -> None:
        if target not in self.nodes or (source, target) in self._cut:
            return
        if self._blackholed_links and self._is_blackholed(source, target, event):
            return
        node = self.nodes[target]
        for delay in self.draw_delays():
            if isinstance(event, PeerMessage):
                self._push(self.now + delay, DatagramTarget(node.address), event)
            else:
                self._push(self.now + delay, node, event)

    def _is_blackholed(self, source: str, target: str, event: Event) -> bool:
        """Return whether a message travels on a broken link.

        Replies use the link that the requesting core opened.
        """
        if not isinstance(event, LinkMessage):
            return False
        if isinstance(event.message, LINK_REPLIES):
            return (target, source) in self._blackholed_links
        return (source, target) in self._blackholed_links

    def _push(
        self, at: float, node: Node | DatagramTarget, event: Event | SyncDue
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, node, event))
