"""An asyncio client that sends requests to a service and awaits their outcomes."""

from __future__ import annotations

import asyncio
from random import Random

from fulmarshore.adapters.datagrams import DatagramSocket
from fulmarshore.callers.requests import CallerCore, Outcome
from fulmarshore.core.records import Address

TICK_INTERVAL_S = 0.05


class RequestClient:
    """Sends requests to one service over UDP.

    Parameters
    ----------
    service, caller : str
        Name of the service, and a name that is unique among its callers.
    address : Address
        The service's address.
    random : Random
        Source of the jitter of resends.
    """

    def __init__(
        self, service: str, caller: str, address: Address, random: Random
    ) -> None:
        self.core = CallerCore(service, caller, random)
        self._loop = asyncio.get_running_loop()
        self._socket = DatagramSocket(self._loop, self._handle_datagram)
        self._socket.connect(address)
        self._futures: dict[int, asyncio.Future[Outcome]] = {}
        self._tick_task = self._loop.create_task(self._tick())

    async def send_request(
        self, body: bytes, timeout: float, idempotent: bool
    ) -> Outcome:
        """Send a request and return its outcome.

        Cancelling the call cancels the request.

        Parameters
        ----------
        timeout : float
            Time until the deadline, in seconds. The outcome may arrive up to
            ``OUTCOME_GRACE_S`` later, as a response may still be on its way then.
        """
        now = self._loop.time()
        number, datagram = self.core.submit(body, timeout, idempotent, now)
        future: asyncio.Future[Outcome] = self._loop.create_future()
        self._futures[number] = future
        self._socket.send(datagram)
        try:
            return await future
        except asyncio.CancelledError:
            cancel = self.core.cancel(number, self._loop.time())
            if cancel is not None:
                self._socket.send(cancel)
            raise
        finally:
            del self._futures[number]

    def close(self) -> None:
        """Close the socket. Pending calls are not cancelled; their owners do that."""
        self._tick_task.cancel()
        self._socket.close()

    def _handle_datagram(self, payload: bytes, source: Address) -> None:
        outcome = self.core.handle_datagram(payload, self._loop.time())
        if outcome is not None:
            self._resolve_future(outcome)

    def _resolve_future(self, outcome: Outcome) -> None:
        future = self._futures.get(outcome.number)
        if future is not None and not future.done():
            future.set_result(outcome)

    async def _tick(self) -> None:
        while True:
            datagrams, outcomes = self.core.tick(self._loop.time())
            for datagram in datagrams:
                self._socket.send(datagram)
            for outcome in outcomes:
                self._resolve_future(outcome)
            await asyncio.sleep(TICK_INTERVAL_S)
