"""Control links over IPv4 and IPv6."""

import asyncio
from unittest import IsolatedAsyncioTestCase

import zmq.asyncio

from fulmarshore.adapters.links import LinkClient, LinkServer
from fulmarshore.commands.client import send_request
from fulmarshore.core.records import HeartbeatReportReply, StatusRequest
from fulmarshore.standins.cluster import find_address

WAIT_S = 10.0


class LinksTest(IsolatedAsyncioTestCase):
    async def test_processes_and_operators_connect_over_ipv4_and_ipv6(self):
        for host in ("127.0.0.1", "::1"):
            with self.subTest(host=host):
                await self.check_round_trip(find_address(host))

    async def check_round_trip(self, address):
        def answer(peer, message):
            server.send(peer, HeartbeatReportReply("c"))

        def receive(peer, message):
            replies.put_nowait(message)

        replies = asyncio.Queue()
        with zmq.asyncio.Context() as context:
            server = LinkServer(context, address, answer)
            client = LinkClient(context, {"c": address}, receive)
            try:
                client.send("c", StatusRequest())
                reply = await asyncio.wait_for(replies.get(), WAIT_S)
                self.assertEqual(reply, HeartbeatReportReply("c"))
                operator_reply = await asyncio.to_thread(
                    send_request, [address], StatusRequest()
                )
                self.assertEqual(operator_reply, HeartbeatReportReply("c"))
            finally:
                client.close()
                server.close()
