"""Take-over of buckets by a new home agent, before it admits non-idempotent work.

The home agent coordinates the requests of a bucket. A new one queries every member
for the claims of the bucket; the bucket is settled once it knows all of them. If the
last home replies, its claims are complete. If that home is lost, one peer holds each
of its claims, so claims are lost only if another agent loses its state too. Then,
until the lost claims would have expired, the home admits only requests that provably
began after the loss, and challenges their callers for the proof.
"""

from __future__ import annotations

from fulmarshore.admission.challenges import find_earliest_send
from fulmarshore.admission.lossages import find_loss_ages
from fulmarshore.admission.queryrounds import FORMER_MEMBER_WAIT_S, QueryRound
from fulmarshore.admission.statelosses import CLAIM_RELEVANCE_S, StateLosses
from fulmarshore.core.hashing import BUCKETS_PER_SERVICE
from fulmarshore.core.records import (
    Address,
    Challenge,
    ClaimsQuery,
    ClaimsReply,
    Effect,
    Identity,
    KnownHome,
    Member,
    Request,
    SendPeer,
)
from fulmarshore.routing.table import ServiceTable

QUERY_INTERVAL_S = 0.1
MAX_CLAIMANTS = 8
"""Number of claimants of a bucket that an agent records; the oldest are dropped."""


class Settlement:
    """Take-over state of the buckets of which an agent is home.

    Parameters
    ----------
    identity : Identity
        Name and incarnation of this agent.
    first_query : int
        Number of the first query.
    """

    def __init__(self, identity: Identity, first_query: int) -> None:
        self.identity = identity
        self.round: QueryRound | None = None
        self.version = 0
        self.home_buckets: set[int] = set()
        self.settled: set[int] = set()
        self.relinquished: dict[int, tuple[Identity, int]] = {}
        self.terms: dict[int, int] = {}
        self._claimants: dict[int, dict[Identity, int]] = {}
        self.backed_up: dict[int, tuple[Identity, int, float | None]] = {}
        self._service: ServiceTable | None = None
        self._members: dict[Identity, Address] = {}
        self.losses = StateLosses(identity)
        self._former: dict[Identity, tuple[Address, float]] = {}
        self._loss_times: dict[int, float] = {}
        self._announced: dict[Identity, Address] = {}
        self._last_query = first_query

    def update(
        self,
        service: ServiceTable,
        version: int,
        announced: dict[Identity, Address],
        had_members: bool,
        now: float,
        had_lives: bool = True,
    ) -> None:
        """Apply a new table of the service.

        Parameters
        ----------
        announced : dict of Identity to Address
            Agents of the service in the view, including those in a zone that is
            out, which may continue until they receive that change.
        had_members : bool
            Whether there have been agents that are no longer members.
        now : float
            The time, in seconds.
        had_lives : bool
            Whether any agent has ever ended, and so lost its state.
        """
        self.losses.start(version, had_members, now, had_lives)
        self.version = version
        if service is self._service:
            return
        self._service = service
        members = {
            Identity(member.name, member.incarnation): Address(member.host, member.port)
            for member in service.members
        }
        self._record_departures(members, now)
        self._record_unseen_agents(members, announced, now)
        self._members = members
        self.home_buckets = self._find_home_buckets(service)
        self.settled &= self.home_buckets
        self._announced = announced
        self._start_round(now)

    def mark_unsettled(self, now: float) -> None:
        """Restart all take-overs, as other agents may have been home meanwhile."""
        self.settled.clear()
        self.terms.clear()
        self.backed_up.clear()
        self._start_round(now)

    def _find_home_buckets(self, service: ServiceTable) -> set[int]:
        buckets = set()
        for bucket in range(BUCKETS_PER_SERVICE):
            ranking = service.get_ranking(bucket)
            if ranking and self._is_self(ranking[0]):
                buckets.add(bucket)
        return buckets

    def _is_self(self, member: Member) -> bool:
        return (
            member.name == self.identity.name
            and member.incarnation == self.identity.incarnation
        )

    def _record_departures(self, members: dict[Identity, Address], now: float) -> None:
        for identity, address in self._members.items():
            if identity in members or identity == self.identity:
                continue
            self._former[identity] = (address, now)
            self.losses.record_loss(identity, now)
        for identity, (_, gone_at) in list(self._former.items()):
            if identity in members or now - gone_at > CLAIM_RELEVANCE_S:
                del self._former[identity]
        self.losses.update(set(members), now)

    def _record_unseen_agents(
        self,
        members: dict[Identity, Address],
        announced: dict[Identity, Address],
        now: float,
    ) -> None:
        """Treat announced agents that were never members here as former members.

        They may still act on a view in which they are members.
        """
        for identity, address in announced.items():
            is_known = identity in members or identity in self._announced
            if is_known or identity == self.identity:
                continue
            self._former.setdefault(identity, (address, now))

    def _start_round(self, now: float) -> None:
        unsettled = self.home_buckets - self.settled
        if not unsettled:
            self.round = None
            return
        members = dict(self._members)
        members.pop(self.identity, None)
        former = {}
        for identity, (address, gone_at) in self._former.items():
            if now - gone_at > FORMER_MEMBER_WAIT_S or identity not in self._announced:
                continue
            former[identity] = address
        self._last_query += 1
        self.round = QueryRound(
            self._last_query, self.version, unsettled, members, former, now
        )

    def find_home(self, bucket: int) -> Identity | None:
        """Return the home of a bucket according to this agent, or None."""
        relinquishment = self.relinquished.get(bucket)
        if relinquishment is not None and relinquishment[1] >= self.version:
            return relinquishment[0]
        if bucket in self.home_buckets:
            return self.identity
        ranking = self._service.get_ranking(bucket) if self._service else ()
        if not ranking:
            return None
        return Identity(ranking[0].name, ranking[0].incarnation)

    def is_home(self, bucket: int) -> bool:
        """Return whether this agent is the home of a bucket."""
        return self.find_home(bucket) == self.identity

    def can_admit(self, bucket: int, request: Request, now: float) -> bool:
        """Return whether a request without a known claim certainly has not run."""
        assert bucket in self.settled
        lost_at = self._loss_times.get(bucket)
        if lost_at is None:
            return True
        if now - lost_at > CLAIM_RELEVANCE_S:
            del self._loss_times[bucket]
            return True
        return find_earliest_send(self.identity, request, now) > lost_at

    def challenge(self, bucket: int, request: Request, now: float) -> Challenge | None:
        """Return a challenge, or None if the request is surely older than the loss."""
        lost_at = self._loss_times.get(bucket, float("inf"))
        if now - request.age <= lost_at:
            return None
        return Challenge(self.identity.name, self.identity.incarnation, now)

    def tick(self, version: int, service: str, now: float) -> list[Effect]:
        """Query the agents that have not replied yet."""
        current = self.round
        if current is None or now - current.sent_at < QUERY_INTERVAL_S:
            return []
        current.sent_at = now
        query = ClaimsQuery(
            service,
            self.identity.name,
            self.identity.incarnation,
            version,
            current.query,
            sorted(current.buckets),
        )
        return [SendPeer(address, query) for address in current.pending.values()]

    def relinquish(self, query: ClaimsQuery) -> bool:
        """Record the sender as home of the queried buckets; False if it is outdated."""
        if query.version < self.version:
            for bucket in query.buckets:
                home = self.find_home(bucket)
                if home is None or home.name != query.agent:
                    return False
        sender = Identity(query.agent, query.incarnation)
        for bucket in query.buckets:
            relinquishment = self.relinquished.get(bucket)
            if relinquishment is not None and relinquishment[1] > query.version:
                return False
        for bucket in query.buckets:
            self.relinquished[bucket] = (sender, query.version)
            self._record_claimant(bucket, sender, query.version)
            self.settled.discard(bucket)
        if self.round is not None and self.round.buckets.intersection(query.buckets):
            self.round = None
        return True

    def _record_claimant(self, bucket: int, claimant: Identity, version: int) -> None:
        """Record an agent that may have been home, even if it never settled."""
        claimants = self._claimants.setdefault(bucket, {})
        claimants[claimant] = version
        if len(claimants) > MAX_CLAIMANTS:
            del claimants[min(claimants, key=claimants.get)]

    def handle_reply(self, reply: ClaimsReply) -> None:
        """Record a part of a peer's reply."""
        current = self.round
        if current is None or reply.query != current.query or reply.stale:
            return
        peer = Identity(reply.agent, reply.incarnation)
        parts = current.replies.setdefault(peer, {})
        parts[reply.part] = reply
        if len(parts) == reply.parts:
            current.pending.pop(peer, None)

    def finish_round(self, now: float) -> QueryRound | None:
        """Settle the buckets of a completed round and return it, or None."""
        current = self.round
        if current is None or not current.is_complete(now):
            return None
        self.round = None
        has_survivors = self.losses.has_survivors(current, now)
        loss_ages = find_loss_ages(
            current, self._list_known_homes(current, now), self.identity
        )
        for bucket in current.buckets:
            self.relinquished.pop(bucket, None)
            self._loss_times.pop(bucket, None)
            loss_age = loss_ages.get(bucket, float("inf"))
            if loss_age < 0.0 or (loss_age == float("inf") and has_survivors):
                continue
            # A former home that did not reply may have continued until now.
            ended_at = now if current.pending else current.started_at
            lost_at = ended_at if loss_age == float("inf") else now - loss_age
            self._loss_times[bucket] = max(
                lost_at, self.losses.find_admission_end(current, now)
            )
        for bucket in current.buckets & self.home_buckets:
            self.settled.add(bucket)
            self.terms[bucket] = current.version
        return current

    def _list_known_homes(
        self, current: QueryRound, now: float
    ) -> list[tuple[Identity, KnownHome]]:
        """Return the homes that the peers or this agent know, each with its source."""
        known = current.list_homes()
        for home in self.list_homes(current.buckets, now):
            known.append((self.identity, home))
        return known

    def list_homes(self, buckets: set[int], now: float) -> list[KnownHome]:
        """Return the homes of some buckets that this agent knows."""
        groups: dict[tuple[Identity, int, bool, float], list[int]] = {}
        for bucket in buckets:
            term = self.terms.get(bucket)
            if term is not None:
                lost_at = self._loss_times.get(bucket)
                loss_age = -1.0 if lost_at is None else max(now - lost_at, 0.0)
                key = (self.identity, term, True, loss_age)
                groups.setdefault(key, []).append(bucket)
            for claimant, version in self._claimants.get(bucket, {}).items():
                key = (claimant, version, False, -1.0)
                groups.setdefault(key, []).append(bucket)
            backup = self.backed_up.get(bucket)
            if backup is not None:
                home, term, lost_at = backup
                loss_age = -1.0 if lost_at is None else max(now - lost_at, 0.0)
                key = (home, term, True, loss_age)
                groups.setdefault(key, []).append(bucket)
        homes = []
        for (home, version, settled, loss_age), grouped in groups.items():
            homes.append(
                KnownHome(
                    home.name, home.incarnation, version, settled, loss_age, grouped
                )
            )
        return homes

    def record_backup(self, home: KnownHome, now: float) -> None:
        """Record that this agent holds all claims in some buckets of a home."""
        identity = Identity(home.agent, home.incarnation)
        lost_at = None if home.loss_age < 0.0 else now - home.loss_age
        for bucket in home.buckets:
            previous = self.backed_up.get(bucket)
            if previous is not None and previous[1] > home.version:
                continue
            self.backed_up[bucket] = (identity, home.version, lost_at)
