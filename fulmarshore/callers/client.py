"""An asyncio client that asks a service and waits for the outcome."""

from __future__ import annotations

import asyncio
from random import Random

from fulmarshore.adapters.datagrams import DatagramSocket
from fulmarshore.callers.requests import CallerCore, Outcome
from fulmarshore.core.records import Address

TICK_INTERVAL_S = 0.05


class RequestClient:
    """Asks one service over UDP.

    Parameters
    ----------
    service, caller : str
        Who is asked, and a name that no other caller has.
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
        self._socket = DatagramSocket(self._loop, self._take)
        self._socket.connect(address)
        self._waiting: dict[int, asyncio.Future[Outcome]] = {}
        self._ticks = self._loop.create_task(self._tick())

    async def ask(self, body: bytes, timeout: float, idempotent: bool) -> Outcome:
        """Send a request and return its outcome.

        Cancelling the call gives the request up.

        Parameters
        ----------
        timeout : float
            Time until the deadline, in seconds. The outcome may come a little
            later, as nothing but waiting can be done then.
        """
        now = self._loop.time()
        number, datagram = self.core.submit(body, timeout, idempotent, now)
        future: asyncio.Future[Outcome] = self._loop.create_future()
        self._waiting[number] = future
        self._socket.send(datagram)
        try:
            return await future
        except asyncio.CancelledError:
            cancel = self.core.cancel(number, self._loop.time())
            if cancel is not None:
                self._socket.send(cancel)
            raise
        finally:
            del self._waiting[number]

    def close(self) -> None:
        """Close the socket; calls that wait are cancelled by their owners."""
        self._ticks.cancel()
        self._socket.close()

    def _take(self, payload: bytes, source: Address) -> None:
        outcome = self.core.take(payload, self._loop.time())
        if outcome is not None:
            self._settle(outcome)

    def _settle(self, outcome: Outcome) -> None:
        future = self._waiting.get(outcome.number)
        if future is not None and not future.done():
            future.set_result(outcome)

    async def _tick(self) -> None:
        while True:
            datagrams, outcomes = self.core.tick(self._loop.time())
            for datagram in datagrams:
                self._socket.send(datagram)
            for outcome in outcomes:
                self._settle(outcome)
            await asyncio.sleep(TICK_INTERVAL_S)
