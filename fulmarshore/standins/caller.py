"""A caller that keeps one UDP flow open and checks which upstream answers."""

from __future__ import annotations

import asyncio

from fulmarshore.adapters.datagrams import DatagramSocket
from fulmarshore.core.records import Address

ANSWER_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 4


class FlowCaller:
    """Sends numbered datagrams on one flow, the next one after each answer.

    A flow counts as broken when another upstream answers than the first time,
    or when several attempts in a row get no answer; then a new flow is opened.
    """

    def __init__(
        self,
        service: str,
        address: Address,
        interval: float,
        answer_timeout: float = ANSWER_TIMEOUT_S,
        attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self.service = service
        self.address = address
        self.interval = interval
        self._answer_timeout = answer_timeout
        self._attempts = attempts
        self.upstream = ""
        self.opened = 0
        self.broken = 0
        self.answers = 0
        self.wrong_answers = 0
        self.refused = 0
        self.broken_upstreams: list[str] = []
        self._number = 0
        self._answered: asyncio.Future[str] | None = None
        self._loop = asyncio.get_running_loop()
        self._socket = DatagramSocket(self._loop, self._handle_datagram)

    async def run(self, until: float) -> None:
        """Keep a flow open until a time of the event loop."""
        self._socket.connect(self.address)
        while self._loop.time() < until:
            answered = await self._exchange()
            if answered:
                await asyncio.sleep(self.interval)
                continue
            if self.upstream:
                self.broken += 1
                self.broken_upstreams.append(self.upstream)
            else:
                self.refused += 1
            self._reopen()
        self.close()

    def close(self) -> None:
        """Close the flow's socket."""
        self._socket.close()

    def _reopen(self) -> None:
        self.upstream = ""
        self._socket.close()
        self._socket = DatagramSocket(self._loop, self._handle_datagram)
        self._socket.connect(self.address)

    async def _exchange(self) -> bool:
        self._number += 1
        payload = f"{self.service}|{self._number}".encode()
        for _ in range(self._attempts):
            self._answered = self._loop.create_future()
            self._socket.send(payload)
            try:
                name = await asyncio.wait_for(self._answered, self._answer_timeout)
            except TimeoutError:
                continue
            return self._check(name)
        return False

    def _check(self, name: str) -> bool:
        if not self.upstream:
            self.upstream = name
            self.opened += 1
        self.answers += 1
        return name == self.upstream

    def _handle_datagram(self, payload: bytes, source: Address) -> None:
        parts = payload.decode(errors="replace").split("|")
        if len(parts) != 3 or parts[1] != self.service:
            self.wrong_answers += 1
            return
        late = parts[2] != str(self._number)
        if late or self._answered is None or self._answered.done():
            return
        self._answered.set_result(parts[0])
