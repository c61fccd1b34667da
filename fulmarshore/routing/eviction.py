"""Evicted agents that may still run and serve flows.

Entry hosts with old tables may still reach an agent that lost its membership.
A peer that learns of the removal sends it an `Eviction`; the agent ends its
flows and replies with `EvictionDone`. Until then no peer opens a flow that is
not in its directory, as the evicted agent may still serve it.

A peer does not wait for an agent that was unresponsive long before, as a
crashed one is, and for none longer than a peer's confirmation is valid. An
agent that starts where the service had no member before cannot know of former
members, and waits as long, in case one contacts it.
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
"""An agent without contact for longer before its eviction counts as crashed.

Shorter than a lease, by as much as a heartbeat can be late.
"""
WAIT_TIMEOUT_S = CONFIRMATION_VALIDITY_S
"""Time to wait for an evicted agent that does not reply."""
RETRY_INTERVAL_S = 0.05
"""Time between repeated `Eviction` messages."""
MAX_PENDING = 256
"""Largest number of agents to wait for that the view does not list."""


class PendingEviction:
    """An evicted agent that has not yet confirmed that its flows have ended."""

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
    """Tracks the evicted agents of one service that may still serve flows.

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
        "_sent_at",
        "_startup_wait_until",
        "_unresponsive",
    )

    def __init__(self, identity: Identity, service: str) -> None:
        self._identity = identity
        self._service = service
        self._last_contact: dict[Address, float] = {}
        self._pending: dict[str, PendingEviction] = {}
        self._sent_at = float("-inf")
        self._startup_wait_until = float("-inf")
        self._unresponsive: set[Identity] = set()

    def is_waiting(self, now: float) -> bool:
        """Return whether an evicted agent may still serve flows."""
        return bool(self._pending) or now < self._startup_wait_until

    def begin_startup_wait(self, now: float) -> None:
        """Wait after the start for former members that the view does not list."""
        self._startup_wait_until = now + WAIT_TIMEOUT_S

    def record_contact(self, source: Address, now: float) -> None:
        """Record that a message came from a member's address."""
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
        """Apply a newer table: wait for removed members, watch the new ones."""
        former_members = previous.members if previous is not None else ()
        current = service.by_name if service is not None else {}
        for name in list(self._pending):
            self._drop_replaced(name, current.get(name))
        for member in former_members:
            if member.name not in current and member.name != self._identity.name:
                # A member in a zone that is out keeps its lease, so it had no
                # reason to contact this agent.
                has_lease = member.zone in zones_out
                if has_lease or self._had_recent_contact(member, now):
                    self._add_member(member, version, now)
        last_contact: dict[Address, float] = {}
        for member in current.values():
            self._unresponsive.discard(Identity(member.name, member.incarnation))
            address = Address(member.host, member.port)
            last_contact[address] = self._last_contact.get(address, now)
        self._last_contact = last_contact

    def _drop_replaced(self, name: str, member: Member | None) -> None:
        """Stop waiting for a process whose successor is a member."""
        pending = self._pending[name]
        if member is not None and member.incarnation > pending.identity.incarnation:
            del self._pending[name]

    def _had_recent_contact(self, member: Member, now: float) -> bool:
        contact_at = self._last_contact.get(
            Address(member.host, member.port), float("-inf")
        )
        return now - contact_at < RECENT_CONTACT_S

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
        """Wait for an agent that checks an older view and is no longer a member."""
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
        self._sent_at = float("-inf")

    def list_due(
        self, zones_out: set[str], now: float
    ) -> list[tuple[Address, Eviction]]:
        """Return the `Eviction` messages that are due, with their destinations."""
        if not self._pending or now - self._sent_at < RETRY_INTERVAL_S:
            return []
        self._sent_at = now
        due = []
        for pending in self._pending.values():
            is_out = pending.zone in zones_out
            eviction = Eviction(
                self._service,
                self._identity.name,
                self._identity.incarnation,
                pending.version,
                pending.identity.name,
                pending.identity.incarnation,
                Reason.ZONE_OUT if is_out else Reason.EVICTED,
            )
            due.append((pending.address, eviction))
        return due

    def handle_eviction_done(self, done: EvictionDone, source: Address) -> bool:
        """Record that an evicted agent's flows have ended; True if it was pending."""
        pending = self._pending.get(done.agent)
        if pending is None:
            # An agent that leaves as planned sends it before its removal.
            self._last_contact.pop(source, None)
            return False
        if source != pending.address:
            return False
        if pending.identity.incarnation != done.incarnation:
            return False
        if done.version < pending.version:
            return False
        del self._pending[done.agent]
        return True

    def expire(self, now: float) -> list[str]:
        """Drop the evictions that timed out, and return the agents' names."""
        expired = []
        for name, pending in list(self._pending.items()):
            if now >= pending.deadline:
                expired.append(name)
                if len(self._unresponsive) < MAX_PENDING:
                    self._unresponsive.add(pending.identity)
                del self._pending[name]
        return expired

    def has_startup_wait_ended(self, now: float) -> bool:
        """Return True once, when the wait after the start has ended."""
        if now < self._startup_wait_until or self._startup_wait_until == float("-inf"):
            return False
        self._startup_wait_until = float("-inf")
        return True


def find_eviction_version(previous: View, view: View, member: Member) -> int:
    """Return the version that ended a membership between two views, or 0.

    Parameters
    ----------
    previous, view : View
        The older and the newer view. A newer view that came as a snapshot
        lists no removals: only missing items show them.
    member : Member
        The announcement of this agent.

    Returns
    -------
    version : int
        Other agents may own any flow that this agent held up to this version.
    """
    key = get_key(member)
    former = previous.items.get(key)
    if former is None or former.item.incarnation != member.incarnation:
        return 0
    removed = [
        gone.version
        for gone in view.removed
        if (gone.item_type, gone.name) == key and gone.version > previous.version
    ]
    stamped = view.items.get(key)
    if stamped is None:
        return max(removed, default=view.version)
    if stamped.item == former.item and stamped.version != former.version:
        # An unchanged announcement gets a new version only after a removal.
        removed.append(stamped.version - 1)
    return max(removed, default=0)


def is_first_member(view: View, member: Member) -> bool:
    """Return whether an agent is the first member of its service."""
    own = view.items[get_key(member)].version
    for stamped in view.items.values():
        item = stamped.item
        if not isinstance(item, Member) or item.service != member.service:
            continue
        if stamped.version < own:
            return False
    return True
