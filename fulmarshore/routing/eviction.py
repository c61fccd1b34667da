"""Agents that lost their membership, and may live on without knowing.

An agent that control has given up may still be reached by entry hosts with old
tables. Whoever learns that it is no member any more tells it so; it ends its
flows and says that it has. Until it has said so, no peer opens a flow that it
does not know: the agent might still serve it. An agent that was silent towards
the peer for long before, as a crashed one is, is not waited for, and none is
waited for longer than a peer's word counts. An agent that starts where nobody
was a member before it knows of no former one, and waits in case one asks it.
"""

from __future__ import annotations

from fulmarshore.core.records import (
    Address,
    Eviction,
    EvictionDone,
    Identity,
    Member,
    Reason,
    ViewCheck,
)
from fulmarshore.membership.view import View, get_key
from fulmarshore.routing.fence import CONFIRMATION_VALIDITY_S
from fulmarshore.routing.table import ServiceTable

RECENT_CONTACT_S = 2.0
"""An agent that was silent for longer before its eviction is taken for dead.

It is shorter than a lease, by as much as a heartbeat can be late.
"""
WAIT_TIMEOUT_S = CONFIRMATION_VALIDITY_S
"""An evicted agent that does not answer is waited for no longer."""
RETRY_INTERVAL_S = 0.05
MAX_PENDING = 256
"""Bounds how many agents unknown to the view are waited for."""


class PendingEviction:
    """An evicted agent that has not yet said that it holds no flow."""

    __slots__ = ("identity", "address", "zone", "version", "deadline")

    def __init__(
        self,
        identity: Identity,
        address: Address,
        zone: str,
        version: int,
        deadline: float,
    ) -> None:
        self.identity = identity
        self.address = address
        self.zone = zone
        self.version = version
        self.deadline = deadline


class EvictionTracker:
    """The evicted agents of one service that may still serve flows.

    Parameters
    ----------
    identity : Identity
        The agent that waits for them.
    service : str
        Its service.
    """

    __slots__ = (
        "_identity",
        "_service",
        "_last_contact",
        "_pending",
        "_asked_at",
        "_startup_wait_until",
        "_unresponsive",
    )

    def __init__(self, identity: Identity, service: str) -> None:
        self._identity = identity
        self._service = service
        self._last_contact: dict[Address, float] = {}
        self._pending: dict[str, PendingEviction] = {}
        self._asked_at = float("-inf")
        self._startup_wait_until = float("-inf")
        self._unresponsive: set[Identity] = set()

    def is_waiting(self, now: float) -> bool:
        """Return whether an agent that was evicted may still serve flows."""
        return bool(self._pending) or now < self._startup_wait_until

    def begin_startup_wait(self, now: float) -> None:
        """Wait for former members that nobody here can name."""
        self._startup_wait_until = now + WAIT_TIMEOUT_S

    def record_contact(self, source: Address, now: float) -> None:
        """Note that whoever has an address is alive."""
        if source in self._last_contact:
            self._last_contact[source] = now

    def update(
        self,
        previous: ServiceTable | None,
        service: ServiceTable | None,
        zones_out: set[str],
        version: int,
        now: float,
    ) -> None:
        """Take in a newer table: who is in it no more, and who is new."""
        held = previous.members if previous is not None else ()
        kept = service.by_name if service is not None else {}
        for name in list(self._pending):
            self._drop_replaced(name, kept.get(name))
        for member in held:
            if member.name not in kept and member.name != self._identity.name:
                # In a zone that is out it has its lease, and no cause to ask.
                has_lease = member.zone in zones_out
                if has_lease or self._had_recent_contact(member, now):
                    self._add_member(member, version, now)
        last_contact: dict[Address, float] = {}
        for member in kept.values():
            self._unresponsive.discard(Identity(member.name, member.incarnation))
            address = Address(member.host, member.port)
            last_contact[address] = self._last_contact.get(address, now)
        self._last_contact = last_contact

    def _drop_replaced(self, name: str, member: Member | None) -> None:
        """Wait no more for a process whose successor has its address."""
        waiting = self._pending[name]
        if member is not None and member.incarnation > waiting.identity.incarnation:
            del self._pending[name]

    def _had_recent_contact(self, member: Member, now: float) -> bool:
        heard_at = self._last_contact.get(
            Address(member.host, member.port), float("-inf")
        )
        return now - heard_at < RECENT_CONTACT_S

    def _add_member(self, member: Member, version: int, now: float) -> None:
        address = Address(member.host, member.port)
        identity = Identity(member.name, member.incarnation)
        self._add(identity, address, member.zone, version, now)

    def handle_view_check(
        self,
        check: ViewCheck,
        source: Address,
        service: ServiceTable,
        version: int,
        now: float,
    ) -> None:
        """Wait for an agent that asks under an older view and is no member."""
        member = service.by_name.get(check.agent)
        if member is not None and member.incarnation <= check.incarnation:
            return
        identity = Identity(check.agent, check.incarnation)
        if check.agent in self._pending or identity in self._unresponsive:
            return
        if len(self._pending) >= MAX_PENDING:
            return
        self._add(identity, source, "", version, now)

    def _add(
        self, identity: Identity, address: Address, zone: str, version: int, now: float
    ) -> None:
        deadline = now + WAIT_TIMEOUT_S
        self._pending[identity.name] = PendingEviction(
            identity, address, zone, version, deadline
        )
        self._asked_at = float("-inf")

    def list_due(
        self, zones_out: set[str], now: float
    ) -> list[tuple[Address, Eviction]]:
        """Return what the evicted agents are to be told, if it is time."""
        if not self._pending or now - self._asked_at < RETRY_INTERVAL_S:
            return []
        self._asked_at = now
        due = []
        for waiting in self._pending.values():
            is_out = waiting.zone in zones_out
            eviction = Eviction(
                self._service,
                self._identity.name,
                self._identity.incarnation,
                waiting.version,
                waiting.identity.name,
                waiting.identity.incarnation,
                Reason.ZONE_OUT if is_out else Reason.EVICTED,
            )
            due.append((waiting.address, eviction))
        return due

    def handle_done(self, done: EvictionDone, source: Address) -> bool:
        """Note that an agent holds no flow of before; True if that was awaited."""
        waiting = self._pending.get(done.agent)
        if waiting is None:
            # One that leaves says so before it is evicted.
            self._last_contact.pop(source, None)
            return False
        if source != waiting.address:
            return False
        if waiting.identity.incarnation != done.incarnation:
            return False
        if done.version < waiting.version:
            return False
        del self._pending[done.agent]
        return True

    def expire(self, now: float) -> list[str]:
        """Return the agents that are waited for no more, without an answer."""
        expired = []
        for name, waiting in list(self._pending.items()):
            if now >= waiting.deadline:
                expired.append(name)
                if len(self._unresponsive) < MAX_PENDING:
                    self._unresponsive.add(waiting.identity)
                del self._pending[name]
        return expired

    def has_startup_wait_ended(self, now: float) -> bool:
        """Return once whether the wait after the start has just ended."""
        if now < self._startup_wait_until or self._startup_wait_until == float("-inf"):
            return False
        self._startup_wait_until = float("-inf")
        return True


def find_eviction_version(previous: View, view: View, member: Member) -> int:
    """Return the version that ended a membership between two views, or 0.

    Parameters
    ----------
    previous, view : View
        The older and the newer view; what the newer one replaced as a
        snapshot tells only by its items what has been removed.
    member : Member
        The announcement of this agent.

    Returns
    -------
    version : int
        All that the agent held up to this version may be others' by now.
    """
    key = get_key(member)
    held = previous.items.get(key)
    if held is None or held.item.incarnation != member.incarnation:
        return 0
    removed = [
        gone.version
        for gone in view.removed
        if (gone.item_type, gone.name) == key and gone.version > previous.version
    ]
    stamped = view.items.get(key)
    if stamped is None:
        return max(removed, default=view.version)
    if stamped.item == held.item and stamped.version != held.version:
        # The same announcement is taken again only after a removal.
        removed.append(stamped.version - 1)
    return max(removed, default=0)


def is_first_member(view: View, member: Member) -> bool:
    """Return whether nobody was a member of the service before an agent."""
    own = view.items[get_key(member)].version
    for stamped in view.items.values():
        item = stamped.item
        if not isinstance(item, Member) or item.service != member.service:
            continue
        if stamped.version < own:
            return False
    return True
