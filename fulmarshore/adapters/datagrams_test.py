"""Datagrams that the kernel does not take are counted with their reason."""

import asyncio
import socket
from collections import Counter
from unittest import IsolatedAsyncioTestCase

from fulmarshore.adapters.datagrams import (
    MAX_BATCHES_PER_READ,
    RECEIVE_BATCH,
    DatagramSocket,
)
from fulmarshore.core.records import Address

TOO_LONG = 70_000
MAX_SENDS = 100_000


class DroppedTest(IsolatedAsyncioTestCase):
    def open(self, counters):
        sock = DatagramSocket(asyncio.get_running_loop(), counters=counters)
        self.addCleanup(sock.close)
        return sock

    async def test_what_the_kernel_refuses_is_counted(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            gone = Address(*probe.getsockname())
        sink = Address("127.0.0.1", 1)
        table = [
            ("dropped_send_failed", bytes(TOO_LONG), sink, 1),
            ("dropped_send_failed", b"x", Address("127.0.0.1", 1 << 20), 1),
            ("dropped_connection_refused", b"x", None, MAX_SENDS),
        ]
        for reason, payload, destination, tries in table:
            with self.subTest(reason=reason, destination=destination):
                counters = Counter()
                sock = self.open(counters)
                if destination is None:
                    sock.connect(gone)
                else:
                    sock.bind(Address("127.0.0.1", 0))
                for _ in range(tries):
                    sock.send(payload, destination)
                    if counters:
                        break
                self.assertEqual(counters, {reason: 1})

    async def test_a_full_buffer_is_told_apart(self):
        counters = Counter()
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.addCleanup(far.close)
        near.setblocking(False)
        sock = self.open(counters)
        sock._socket = near
        asyncio.get_running_loop().add_reader(near.fileno(), lambda: None)
        for _ in range(MAX_SENDS):
            sock.send(b"x")
            if counters:
                break
        self.assertEqual(counters, {"dropped_no_send_buffer": 1})

    async def test_a_taken_port_is_counted(self):
        counters = Counter()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
            holder.bind(("0.0.0.0", 0))
            sock = self.open(counters)
            sock.connect(Address("127.0.0.1", 1), holder.getsockname()[1])
        self.assertEqual(counters, {"local_ports_taken": 1})

    async def test_datagrams_come_in_batches_in_their_order(self):
        loop = asyncio.get_running_loop()
        turn = RECEIVE_BATCH * MAX_BATCHES_PER_READ
        # Wanted: the sizes of the batches of the first turn.
        table = [
            (1, [1]),
            (RECEIVE_BATCH, [RECEIVE_BATCH]),
            (RECEIVE_BATCH + 1, [RECEIVE_BATCH, 1]),
            (turn + 1, [RECEIVE_BATCH] * MAX_BATCHES_PER_READ),
        ]
        for count, wanted in table:
            with self.subTest(count=count):
                batches = []
                sock = DatagramSocket(loop, receive_batch=batches.append)
                address = sock.bind(Address("127.0.0.1", 0))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                    for number in range(count):
                        sender.sendto(number.to_bytes(2, "big"), address)
                sock._read()
                self.assertEqual([len(batch) for batch in batches], wanted)
                sock._read()
                found = [payload for batch in batches for payload, _ in batch]
                sent = [number.to_bytes(2, "big") for number in range(count)]
                self.assertEqual(found, sent)
                sock.close()

    async def test_nothing_is_received_or_sent_after_the_close(self):
        counters = Counter()
        seen = []

        def receive(payload, source):
            seen.append(payload)
            sock.close()

        sock = DatagramSocket(
            asyncio.get_running_loop(), receive=receive, counters=counters
        )
        address = sock.bind(Address("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(3):
                sender.sendto(bytes([number]), address)
        sock._read()
        sock.send(b"x", address)
        sock.send_now(b"x")
        self.assertEqual((seen, counters), ([b"\0"], {}))
