"""Buckets that an agent arbitrates, and their take-over from the former home.

Every version of the view names one home agent for each bucket; it coordinates
the bucket. An agent that becomes home of a bucket sends a take-over request to
the other members of the service. The bucket is settled, so that flows are
admitted there, when

* the former home has replied: its reply lists all flows of the bucket, and no
  other is needed; or
* every member in the view has replied, each with the flows that it owns or
  has in its directory.

A reply is a promise: from then on the peer no longer arbitrates the bucket,
forwards openings to the new home, and accepts no assignment made by a home of
an older version. All promises carry a version, and versions only increase, so
two agents never arbitrate one bucket at the same time.
"""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from fulmarshore.core.hashing import BUCKETS_PER_SERVICE
from fulmarshore.core.records import (
    Address,
    Member,
    Takeover,
    TakeoverReply,
)
from fulmarshore.routing.table import ServiceTable

RETRY_INTERVAL_S = 0.1
"""Time between repeated take-over requests."""
GIVEN_RETENTION_S = 10.0
"""Time that directory entries of a bucket are kept after it was given away."""
MAX_BUCKETS_PER_MESSAGE = 400
"""Buckets in one `Takeover`, which keeps it below 1,400 bytes."""


class Promise(Struct, frozen=True):
    """Record that a bucket was given to another agent.

    Parameters
    ----------
    version : int
        Version of the view that made the other agent home.
    agent, incarnation : str, int
        Identity of the other agent.
    address : Address
        Address that the request came from.
    complete : bool
        Whether this agent arbitrated the bucket until then, and still has its
        directory entries.
    given_at : float
        Time of the promise, in seconds.
    """

    version: int
    agent: str
    incarnation: int
    address: Address
    complete: bool
    given_at: float


class Homes:
    """The buckets that one agent arbitrates, is taking over or has given away.

    Parameters
    ----------
    name, incarnation : str, int
        Identity of the agent.

    Attributes
    ----------
    settled : dict of int to int
        Buckets that the agent arbitrates, with the version of the view under
        which their take-over finished.
    awaited : dict of int to set of str
        Buckets being taken over, with the members that have not yet replied.
    promises : dict of int to Promise
        Buckets that were given away.
    promised_version : int
        Highest version of a promise.
    is_fenced : bool
        Whether the agent must not arbitrate, as it has no lease.
    """

    __slots__ = (
        "_name",
        "_incarnation",
        "_version",
        "_service",
        "_members",
        "_requested_at",
        "settled",
        "awaited",
        "promises",
        "promised_version",
        "is_fenced",
    )

    def __init__(self, name: str, incarnation: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._version = 0
        self._service: ServiceTable | None = None
        self._members: dict[str, Member] = {}
        self._requested_at = float("-inf")
        self.settled: dict[int, int] = {}
        self.awaited: dict[int, set[str]] = {}
        self.promises: dict[int, Promise] = {}
        self.promised_version = 0
        self.is_fenced = True

    def update(self, service: ServiceTable | None, version: int) -> list[int]:
        """Apply a newer table; unfinished take-overs start again.

        Returns
        -------
        awaited : list of int
            Buckets that are going to be requested from the peers.
        """
        assert version >= self._version, "versions only go up"
        unchanged = service is self._service and not self.awaited
        self._version = version
        self._service = service
        if unchanged:
            return []
        self._members = {}
        self.awaited = {}
        if self.is_fenced or not self._is_member(service):
            self.settled = {}
            return []
        self._members = {m.name: m for m in service.members if m.name != self._name}
        self._await_buckets(service)
        return list(self.awaited)

    def unsettle(self) -> None:
        """Stop arbitrating until all buckets have been taken over again."""
        self.settled = {}
        self._service = None

    def set_fenced(self, is_fenced: bool) -> list[int]:
        """Stop arbitrating, or request the buckets from the peers again.

        Returns
        -------
        awaited : list of int
            Buckets that are going to be requested from the peers.
        """
        service = self._service
        self.is_fenced = is_fenced
        self.unsettle()
        return self.update(service, self._version)

    def is_awaited(self, bucket: int) -> bool:
        """Return whether the bucket is being taken over by this agent."""
        return bucket in self.awaited

    def find_promise(self, bucket: int) -> Promise | None:
        """Return the promise for a bucket, unless the view is newer."""
        promise = self.promises.get(bucket)
        if promise is None or promise.version < self._version:
            return None
        return promise

    def get_ballot(self, bucket: int) -> int:
        """Return the version below which assignments are rejected."""
        promise = self.promises.get(bucket)
        promised = promise.version if promise is not None else 0
        return max(promised, self.settled.get(bucket, 0))

    def list_due_requests(self, now: float) -> list[tuple[Member, Takeover]]:
        """Return the take-over requests that are due, first or repeated."""
        if not self.awaited or now - self._requested_at < RETRY_INTERVAL_S:
            return []
        self._requested_at = now
        unanswered: dict[str, list[int]] = {name: [] for name in self._members}
        for bucket, names in self.awaited.items():
            for name in names:
                unanswered[name].append(bucket)
        requests = []
        for name, buckets in unanswered.items():
            for start in range(0, len(buckets), MAX_BUCKETS_PER_MESSAGE):
                part = buckets[start : start + MAX_BUCKETS_PER_MESSAGE]
                requests.append((self._members[name], self._make_request(part)))
        return requests

    def give_away(
        self, takeover: Takeover, source: Address, now: float
    ) -> tuple[list[int], list[int]]:
        """Give buckets to the agent that requests them.

        Returns
        -------
        given, complete : list of int
            The buckets given, and those of them that this agent arbitrated.
        """
        given = []
        complete = []
        for bucket in takeover.buckets:
            promise = self.promises.get(bucket)
            if promise is not None and promise.version > takeover.version:
                continue
            was_home = bucket in self.settled or _is_repeated_request(promise, takeover)
            self.settled.pop(bucket, None)
            self.awaited.pop(bucket, None)
            self.promises[bucket] = Promise(
                takeover.version,
                takeover.agent,
                takeover.incarnation,
                source,
                was_home,
                now,
            )
            self.promised_version = max(self.promised_version, takeover.version)
            given.append(bucket)
            if was_home:
                complete.append(bucket)
        return given, complete

    def has_expired(self, bucket: int, now: float) -> bool:
        """Return whether the directory entries of a bucket can be discarded.

        They are kept for a while after the bucket was given away, in case the
        reply was lost.
        """
        if bucket in self.settled or bucket in self.awaited:
            return False
        promise = self.promises.get(bucket)
        if promise is None:
            return True
        if now - promise.given_at < GIVEN_RETENTION_S:
            return False
        self.promises[bucket] = replace(promise, complete=False)
        return True

    def is_current_reply(self, reply: TakeoverReply) -> bool:
        """Return whether a reply belongs to the current take-over requests."""
        member = self._members.get(reply.agent)
        if member is None or member.incarnation != reply.incarnation:
            return False
        return reply.version == self._version

    def handle_reply(self, reply: TakeoverReply) -> list[int]:
        """Process a reply, and return the buckets that it settles."""
        assert self.is_current_reply(reply), "the caller drops late replies"
        complete = set(reply.complete)
        settled = []
        for bucket in reply.buckets:
            names = self.awaited.get(bucket)
            if names is None:
                continue
            names.discard(reply.agent)
            if names and bucket not in complete:
                continue
            self._settle(bucket)
            settled.append(bucket)
        return settled

    def _is_member(self, service: ServiceTable | None) -> bool:
        if service is None:
            return False
        member = service.by_name.get(self._name)
        return member is not None and member.incarnation == self._incarnation

    def _make_request(self, buckets: list[int]) -> Takeover:
        service = self._service.service.name
        return Takeover(service, self._name, self._incarnation, self._version, buckets)

    def _await_buckets(self, service: ServiceTable) -> None:
        self._requested_at = float("-inf")
        for bucket in range(BUCKETS_PER_SERVICE):
            if bucket in self.settled:
                continue
            home = service.get_home(bucket)
            if home is None or home.name != self._name:
                continue
            promise = self.promises.get(bucket)
            if promise is not None and promise.version >= self._version:
                continue
            if not self._members:
                self._settle(bucket)
                continue
            self.awaited[bucket] = set(self._members)

    def _settle(self, bucket: int) -> None:
        promise = self.promises.pop(bucket, None)
        assert promise is None or promise.version < self._version
        self.awaited.pop(bucket, None)
        self.settled[bucket] = self._version


def _is_repeated_request(promise: Promise | None, takeover: Takeover) -> bool:
    """Return whether a former home gets a request that it has answered before."""
    if promise is None or not promise.complete or promise.version != takeover.version:
        return False
    return (
        promise.agent == takeover.agent and promise.incarnation == takeover.incarnation
    )
