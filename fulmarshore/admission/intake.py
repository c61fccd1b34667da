"""Intake of request copies: validated, then forwarded, parked or processed.

The home agent of a bucket coordinates all requests of that bucket.
"""

from __future__ import annotations

from collections import deque

from msgspec.structs import replace

from fulmarshore.admission.bounds import MAX_ATTEMPTS, MAX_TIMEOUT_S
from fulmarshore.admission.claimtable import Stage
from fulmarshore.admission.coordinator import Coordinator
from fulmarshore.admission.requestcopies import handle_copy, open_claim
from fulmarshore.core.codec import decode_request
from fulmarshore.core.hashing import find_bucket, hash_request
from fulmarshore.core.records import (
    Address,
    Effect,
    Forward,
    Identity,
    Profile,
    Reason,
    Request,
    SendPeer,
)

MAX_HOPS = 4
MAX_PARKED = 1_024
"""Parked copies of requests in unsettled buckets; further ones are dropped."""


class ParkedRequest:
    """A copy that waits until its bucket is settled.

    A bucket is settled once its home has finished the take-over and knows all
    claims.
    """

    __slots__ = ("packet", "request", "arrived_at")

    def __init__(self, packet: Forward, request: Request, now: float) -> None:
        self.packet = packet
        self.request = request
        self.arrived_at = now


class Intake:
    """Passes each copy of a request to its claim, here or at another home.

    Parameters
    ----------
    home : Coordinator
        The coordinator that holds the claims.
    """

    __slots__ = ("_home", "_parked")

    def __init__(self, home: Coordinator) -> None:
        self._home = home
        self._parked: deque[ParkedRequest] = deque()

    def handle(self, packet: Forward, profile: Profile, now: float) -> list[Effect]:
        """Process a copy of a request; the profile has the default timeout."""
        receiver = Identity(packet.target, packet.incarnation)
        if receiver != self._home.identity:
            return self._home.drop(Reason.WRONG_INCARNATION)
        request = self._decode(packet, profile)
        if request is None:
            return self._home.drop(Reason.MALFORMED)
        return self._handle_request(packet, request, now)

    def _decode(self, packet: Forward, profile: Profile) -> Request | None:
        """Return the request in a packet, or None if it is malformed."""
        request = decode_request(packet.payload, packet.entry)
        if not isinstance(request, Request) or request.service != packet.service:
            return None
        flow = hash_request(request.service, request.caller, request.number)
        if flow != packet.flow or not 0 <= request.attempt < MAX_ATTEMPTS:
            return None
        if request.timeout == 0:
            request = replace(request, timeout=min(profile.deadline, MAX_TIMEOUT_S))
        if not 0 < request.timeout <= MAX_TIMEOUT_S:
            return None
        if not 0 <= request.age <= MAX_TIMEOUT_S:
            return None
        return request

    def _handle_request(
        self, packet: Forward, request: Request, now: float
    ) -> list[Effect]:
        flow = packet.flow
        source = Address(packet.caller_host, packet.caller_port)
        state = self._home.claim_table.find(flow)
        if state is not None and (state.caller, state.number) != (
            request.caller,
            request.number,
        ):
            return self._home.drop("key_collision")
        bucket = find_bucket(flow)
        settlement = self._home.settlement
        is_own = state is not None and state.coordinator == self._home.identity
        if is_own and state.is_open() and state.stage != Stage.REMOTE:
            return handle_copy(self._home, state, request, source, packet.entry, now)
        if not settlement.is_home(bucket):
            return self._forward(packet, settlement.find_home(bucket))
        if not request.idempotent and bucket not in settlement.settled:
            return self._park(packet, request, now)
        if state is None:
            return open_claim(self._home, flow, request, source, packet.entry, now)
        return handle_copy(self._home, state, request, source, packet.entry, now)

    def _forward(self, packet: Forward, home: Identity | None) -> list[Effect]:
        service = self._home.service
        member = service.by_name.get(home.name) if service and home else None
        if member is None or member.incarnation != home.incarnation:
            return self._home.drop(Reason.NO_UPSTREAM)
        if packet.hops >= MAX_HOPS:
            return self._home.drop(Reason.TOO_MANY_HOPS)
        self._home.counters["passed_on"] += 1
        forwarded = replace(
            packet,
            target=home.name,
            incarnation=home.incarnation,
            version=self._home.table.version,
            hops=packet.hops + 1,
        )
        return [SendPeer(Address(member.host, member.port), forwarded)]

    def _park(self, packet: Forward, request: Request, now: float) -> list[Effect]:
        if len(self._parked) >= MAX_PARKED:
            return self._home.drop(Reason.NOT_SETTLED)
        self._parked.append(ParkedRequest(packet, request, now))
        self._home.counters["parked"] += 1
        return []

    def release_parked(self, now: float) -> list[Effect]:
        """Process the parked copies; those of unsettled buckets are parked again."""
        parked, self._parked = self._parked, deque()
        effects: list[Effect] = []
        for copy in parked:
            waited = now - copy.arrived_at
            if waited >= copy.request.timeout:
                self._home.counters[f"dropped_{Reason.EXPIRED}"] += 1
                continue
            request = replace(
                copy.request,
                timeout=copy.request.timeout - waited,
                age=copy.request.age + waited,
            )
            effects += self._handle_request(copy.packet, request, now)
        return effects
