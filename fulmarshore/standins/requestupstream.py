"""A request upstream on a UDP socket that counts which requests it ran."""

from __future__ import annotations

import asyncio
from collections import Counter

from fulmarshore.adapters.datagrams import DatagramSocket
from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.records import Address, Reason, Request, Verdict
from fulmarshore.core.responses import make_response


class RequestUpstream:
    """Answers each request with ``name|body`` after its service time.

    Parameters
    ----------
    name, service : str
        Name of the upstream and its service; a request for another service
        counts as misdelivered. If the service is empty, none does.
    service_s : float
        Service time, in seconds.
    """

    def __init__(self, name: str, service_s: float, service: str = "") -> None:
        self.name = name
        self.service = service
        self.misdelivered = 0
        self.last_packet_at = 0.0
        self.service_s = service_s
        self.ran: Counter[tuple[str, int]] = Counter()
        self._working: dict[tuple[str, int], asyncio.TimerHandle] = {}
        self._loop = asyncio.get_running_loop()
        self._socket = DatagramSocket(self._loop, self._handle_datagram)

    def open(self) -> Address:
        """Open the upstream and return its address."""
        return self._socket.bind(Address("127.0.0.1", 0))

    def close(self) -> None:
        """Close the upstream."""
        for timer in self._working.values():
            timer.cancel()
        self._socket.close()

    def _handle_datagram(self, payload: bytes, source: Address) -> None:
        request = decode_request(payload, source[0])
        if not isinstance(request, Request):
            return
        self.last_packet_at = self._loop.time()
        self.misdelivered += self.service not in ("", request.service)
        key = (request.caller, request.number)
        if request.cancel:
            self._cancel(request, source)
            return
        self.ran[key] += 1
        self._working[key] = self._loop.call_later(
            self.service_s, self._answer, request, source
        )

    def _cancel(self, request: Request, source: Address) -> None:
        timer = self._working.pop((request.caller, request.number), None)
        verdict = Verdict.NOT_RUN if timer is None else Verdict.UNKNOWN
        if timer is not None:
            timer.cancel()
        self._respond(request, source, verdict, Reason.CANCELLED, b"")

    def _answer(self, request: Request, source: Address) -> None:
        self._working.pop((request.caller, request.number), None)
        body = self.name.encode() + b"|" + request.body
        self._respond(request, source, Verdict.ANSWERED, "", body)

    def _respond(
        self,
        request: Request,
        source: Address,
        verdict: Verdict,
        reason: str,
        body: bytes,
    ) -> None:
        response = make_response(request, verdict, reason, body)
        self._socket.send(encode(response), source)
