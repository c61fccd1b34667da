"""Callers that send non-idempotent orders, and a check against what ran."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from random import Random

from msgspec import Struct

from fulmarshore.callers.client import RequestClient
from fulmarshore.callers.requests import Answered, NotRun, Outcome, Unknown
from fulmarshore.core.records import Address
from fulmarshore.standins.requestupstream import RequestUpstream

ORDER_TIMEOUT_S = 4.0


class OrderTally(Struct):
    """Counts of orders by outcome, and of violated guarantees.

    Parameters
    ----------
    asked, answered, not_run, unknown : int
        Orders sent, and their outcomes as reported to the callers.
    ran_twice : int
        Orders that upstreams ran more than once.
    false_not_run : int
        Orders that ran although they were reported as not run.
    wrong : int
        Answers of another order, or of an order that never ran.
    """

    asked: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    ran_twice: int = 0
    false_not_run: int = 0
    wrong: int = 0


class OrderCaller:
    """Sends non-idempotent orders, one after the other.

    Parameters
    ----------
    service, name : str
        Name of the service, and a unique name of the caller.
    address : Address
        The service's address.
    interval : float
        Pause between two orders, in seconds.
    random : Random
        Source of the jitter of resends.
    """

    def __init__(
        self,
        service: str,
        name: str,
        address: Address,
        interval: float,
        random: Random,
    ) -> None:
        self.name = name
        self.interval = interval
        self.outcomes: dict[bytes, Outcome] = {}
        self._sent = 0
        self._client = RequestClient(service, name, address, random)
        self._loop = asyncio.get_running_loop()

    async def run(self, until: float) -> None:
        """Send orders until a time of the event loop; the last one is completed."""
        while self._loop.time() < until:
            await self._order()
            await asyncio.sleep(self.interval)

    async def count_answered(self, count: int) -> int:
        """Send some orders concurrently and return how many are answered."""
        orders = [self._order() for _ in range(count)]
        outcomes = await asyncio.gather(*orders)
        return sum(isinstance(outcome, Answered) for outcome in outcomes)

    async def _order(self) -> Outcome:
        self._sent += 1
        body = f"{self.name}:{self._sent}".encode()
        outcome = await self._client.send_request(body, ORDER_TIMEOUT_S, False)
        self.outcomes[body] = outcome
        return outcome

    def close(self) -> None:
        """Close the socket."""
        self._client.close()


def tally_orders(
    callers: Iterable[OrderCaller], upstreams: Iterable[RequestUpstream]
) -> OrderTally:
    """Compare the outcomes of all callers with what the upstreams ran."""
    ran: Counter[tuple[str, int]] = Counter()
    for upstream in upstreams:
        ran.update(upstream.ran)
    tally = OrderTally(ran_twice=sum(count > 1 for count in ran.values()))
    for caller in callers:
        for body, outcome in caller.outcomes.items():
            tally.asked += 1
            has_run = ran[(caller.name, outcome.number)] > 0
            _count(tally, outcome, has_run, body)
    return tally


def _count(tally: OrderTally, outcome: Outcome, has_run: bool, body: bytes) -> None:
    match outcome:
        case Answered(body=answer, has_body=has_body):
            tally.answered += 1
            is_own = not has_body or answer.partition(b"|")[2] == body
            tally.wrong += not (has_run and is_own)
        case NotRun():
            tally.not_run += 1
            tally.false_not_run += has_run
        case Unknown():
            tally.unknown += 1
