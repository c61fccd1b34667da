"""Channels behave like one unconnected socket that keeps its address to itself."""

import asyncio
import socket
from collections import Counter
from unittest import IsolatedAsyncioTestCase

from fulmarshore.adapters.channels import Channels
from fulmarshore.adapters.datagrams import DatagramSocket
from fulmarshore.core.records import Address

HOST = "127.0.0.1"
TIMEOUT_S = 2.0


class ChannelsTest(IsolatedAsyncioTestCase):
    def setUp(self):
        self.counters = Counter()
        self.received = []

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        self.base = DatagramSocket(loop, receive_batch=self.received.extend)
        self.address = self.base.bind(Address(HOST, 0))
        self.addCleanup(self.base.close)

    def open_channels(self, **limits):
        channels = Channels(self.base, self.counters, **limits)
        self.addCleanup(channels.close)
        return channels

    def open_peer(self, port=0):
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(peer.close)
        peer.settimeout(TIMEOUT_S)
        peer.bind((HOST, port))
        return peer, Address(*peer.getsockname())

    async def wait_for(self, count):
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.received) < count:
                await asyncio.sleep(0.001)

    async def test_all_channels_share_one_address_and_callback(self):
        for limit in (0, 1, 3):
            with self.subTest(limit=limit):
                channels = self.open_channels(limit=limit)
                self.received.clear()
                peers = [self.open_peer() for _ in range(3)]
                for peer, address in peers:
                    channels.send_all([(b"a", address), (b"b", address)])
                    for wanted in (b"a", b"b"):
                        self.assertEqual(peer.recvfrom(9), (wanted, self.address))
                self.assertEqual(len(channels), limit)
                for number, (peer, _) in enumerate(peers):
                    peer.sendto(bytes([number]), self.address)
                await self.wait_for(3)
                wanted = [(bytes([n]), peers[n][1]) for n in range(3)]
                self.assertEqual(sorted(self.received), wanted)
                channels.close()

    async def test_first_datagram_after_a_peer_restart_is_delivered(self):
        channels = self.open_channels()
        peer, address = self.open_peer()
        channels.send_all([(b"before", address)])
        peer.close()
        channels.send_all([(b"lost", address)])
        again, _ = self.open_peer(address.port)
        channels.send_all([(b"after", address)])
        self.assertEqual(again.recv(9), b"after")

    async def test_channels_of_unknown_peers_are_closed(self):
        channels = self.open_channels()
        retained, removed = self.open_peer(), self.open_peer()
        for peer, address in (retained, removed):
            channels.send_all([(b"x", address)])
        channels.close_unknown(lambda address: address == retained[1])
        self.assertEqual(len(channels), 1)
        retained[0].sendto(b"kept", self.address)
        removed[0].sendto(b"gone", self.address)
        await self.wait_for(2)
        wanted = [(b"gone", removed[1]), (b"kept", retained[1])]
        self.assertEqual(sorted(self.received), wanted)

    async def test_no_other_socket_can_bind_the_address(self):
        channels = self.open_channels()
        _, address = self.open_peer()
        channels.send_all([(b"x", address)])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with self.assertRaises(OSError):
                other.bind(self.address)

    async def test_failed_channel_does_not_affect_other_peers(self):
        channels = self.open_channels()
        peer, address = self.open_peer()
        other_family = Address("::1", 9)
        batch = [(b"x", other_family), (b"y", address)] * 2
        channels.send_all(batch)
        self.assertEqual([peer.recv(9), peer.recv(9)], [b"y", b"y"])
        self.assertEqual(len(channels), 1)
        self.assertEqual(self.counters, {"channels_not_opened": 1})
