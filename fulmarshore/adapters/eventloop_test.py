"""Event loop, messages, HTTP server and decision log, over real sockets."""

import json
import os
import signal
import socket
import threading
import unittest
from collections import Counter
from unittest.mock import patch

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.adapters.httpserver import HttpResponse, HttpServer
from fulmarshore.adapters.logs import (
    MAX_LINES_PER_S,
    ROUTINE_LINES_PER_S,
    DecisionLog,
    format_flow,
)
from fulmarshore.adapters.messages import FRAGMENT_BYTES, MAX_FRAGMENTS, MessageSocket
from fulmarshore.direct.records import Decision

LIMIT_S = 10.0
HOST = "127.0.0.1"


class LoopTest(unittest.TestCase):
    def setUp(self):
        self.loop = EventLoop()
        self.addCleanup(self.loop.close)
        self.counters = Counter()

    def run_until(self, reached):
        """Run the loop until a condition holds, for at most ``LIMIT_S``."""

        def check():
            if reached():
                self.loop.stop()
                return
            self.loop.call_later(0.005, check)

        def fail():
            self.loop.stop()

        self.loop.call_later(0.0, check)
        self.loop.call_later(LIMIT_S, fail)
        self.loop.run()
        self.assertTrue(reached())


class EventLoopTest(LoopTest):
    def test_timers_run_in_order_of_expiry(self):
        ran = []
        for delay in (0.03, 0.01, 0.02):
            self.loop.call_later(delay, lambda delay=delay: ran.append(delay))
        self.run_until(lambda: len(ran) == 3)
        self.assertEqual(ran, [0.01, 0.02, 0.03])

    def test_threads_and_signals_wake_the_loop(self):
        ran = []
        former = signal.getsignal(signal.SIGUSR1)
        self.addCleanup(signal.signal, signal.SIGUSR1, former)
        self.addCleanup(signal.set_wakeup_fd, -1)
        self.loop.add_signal_handler(signal.SIGUSR1, lambda: ran.append("signal"))
        thread = threading.Thread(
            target=self.loop.call_from_thread, args=(lambda: ran.append("thread"),)
        )
        thread.start()
        os.kill(os.getpid(), signal.SIGUSR1)
        self.run_until(lambda: len(ran) == 2)
        thread.join()
        self.assertEqual(sorted(ran), ["signal", "thread"])


class MessagesTest(LoopTest):
    def setUp(self):
        super().setUp()
        self.received = []
        self.sender = self.open()
        self.receiver = self.open()

    def open(self):
        def receive(message, host, port):
            self.received.append(message)

        opened = MessageSocket(self.loop, HOST, 0, receive, self.counters)
        self.addCleanup(opened.close)
        return opened

    def test_messages_of_any_size_arrive_whole(self):
        for size in (0, 1, FRAGMENT_BYTES, FRAGMENT_BYTES + 1, 10 * FRAGMENT_BYTES + 7):
            with self.subTest(size=size):
                self.received.clear()
                message = os.urandom(size)
                self.sender.send(message, HOST, self.receiver.port)
                self.run_until(lambda: self.received)
                self.assertEqual(self.received, [message])

    def test_message_beyond_the_limit_is_counted_and_not_sent(self):
        self.sender.send(
            bytes(FRAGMENT_BYTES * MAX_FRAGMENTS + 1), HOST, self.receiver.port
        )
        self.assertEqual(self.counters["messages_too_large"], 1)

    def test_bad_datagrams_are_counted_and_the_next_message_arrives(self):
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(raw.close)
        bad = [b"", b"short", b"\0\0\0\1\0\5\0\2x", b"\0\0\0\1\0\0\0\0x"]
        bad.append(b"\0\0\0\1\0\0\xff\xffx")
        for content in bad:
            raw.sendto(content, (HOST, self.receiver.port))
        # The first fragment of a message whose second one is lost.
        raw.sendto(b"\0\0\0\1\0\0\0\2x", (HOST, self.receiver.port))
        self.sender.send(b"whole", HOST, self.receiver.port)
        self.run_until(lambda: self.received)
        self.assertEqual(self.received, [b"whole"])
        self.assertEqual(self.counters["messages_malformed"], len(bad))


class HttpTest(LoopTest):
    def setUp(self):
        super().setUp()
        self.requests = []
        self.deferred_responses = []
        self.server = HttpServer(self.loop, HOST, 0, self.handle, self.counters)
        self.addCleanup(self.server.close)

    def handle(self, request, respond):
        self.requests.append(request)
        if request.path == "/later":
            self.deferred_responses.append(respond)
            return
        respond(HttpResponse(200, request.path.encode()))

    def exchange(self, *pieces, closes=True):
        """Send pieces in order on a thread.

        Returns
        -------
        received_bytes, ended : bytearray, Event
            The bytes received so far, and an event set when the server closes.
        """
        received_bytes = bytearray()
        caller = socket.create_connection((HOST, self.server.port))
        self.addCleanup(caller.close)

        def run_exchange():
            for piece in pieces:
                caller.sendall(piece)
            if closes:
                caller.shutdown(socket.SHUT_WR)
            while data := caller.recv(65536):
                received_bytes.extend(data)
            ended.set()

        ended = threading.Event()
        thread = threading.Thread(target=run_exchange, daemon=True)
        thread.start()
        return received_bytes, ended

    def test_split_and_pipelined_requests(self):
        request = b"PUT /one HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
        pieces = [bytes([byte]) for byte in request]
        last = b"GET /two HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        received_bytes, ended = self.exchange(*pieces, request + last, closes=False)
        self.run_until(ended.is_set)
        self.assertEqual(received_bytes.count(b"HTTP/1.1 200 OK"), 3)
        self.assertTrue(received_bytes.endswith(b"/two"))
        self.assertEqual([seen.body for seen in self.requests], [b"hello"] * 2 + [b""])

    def test_responses_keep_the_order_of_the_requests(self):
        first = b"GET /later HTTP/1.1\r\nHost: x\r\n\r\n"
        second = b"GET /now HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        received_bytes, ended = self.exchange(first + second, closes=False)
        self.run_until(lambda: self.deferred_responses)
        self.assertEqual(len(self.requests), 1)
        self.deferred_responses[0](HttpResponse(307, b"", "http://x/later"))
        self.run_until(ended.is_set)
        self.assertLess(received_bytes.index(b"307"), received_bytes.index(b"/now"))
        self.assertIn(b"Location: http://x/later\r\n", received_bytes)

    def test_malformed_http_is_answered_with_400_and_closed(self):
        for content in (b"\x16\x03\x01\x02\x00", b"HELLO\r\n\r\n", b"\0" * 64):
            with self.subTest(content):
                received_bytes, ended = self.exchange(content, closes=False)
                self.run_until(ended.is_set)
                self.assertTrue(received_bytes.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.counters["http_malformed"], 3)

    def test_body_beyond_the_limit_is_refused(self):
        with patch("fulmarshore.adapters.httpserver.MAX_BODY_BYTES", 100):
            head = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n"
            content = head + b"Connection: close\r\n\r\n" + bytes(101)
            received_bytes, ended = self.exchange(content, closes=False)
            self.run_until(ended.is_set)
        self.assertTrue(received_bytes.startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.requests, [])

    def test_idle_connection_is_closed_to_make_room(self):
        with patch("fulmarshore.adapters.httpserver.MAX_CONNECTIONS", 4):
            idle = [socket.create_connection((HOST, self.server.port)) for _ in "1234"]
            for opened in idle:
                self.addCleanup(opened.close)
            received_bytes, ended = self.exchange(
                b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", closes=False
            )
            self.run_until(ended.is_set)
        self.assertTrue(received_bytes.startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.counters["http_connections_closed_silent"], 1)

    def test_disconnected_caller_does_not_affect_others(self):
        received_bytes, ended = self.exchange(b"GET /later HTTP/1.1\r\nHost: x\r\n\r\n")
        self.run_until(ended.is_set)
        self.deferred_responses[0](HttpResponse(200))
        received_bytes, ended = self.exchange(
            b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", closes=False
        )
        self.run_until(ended.is_set)
        self.assertTrue(received_bytes.startswith(b"HTTP/1.1 200"))


class DecisionLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.counters = Counter()
        self.log = DecisionLog(self.writer, "entry", "e-1", self.counters)

    def test_each_kind_has_its_own_budget(self):
        for kind, budget in (
            ("flow_offered", ROUTINE_LINES_PER_S),
            ("flow_refused", MAX_LINES_PER_S),
        ):
            with self.subTest(kind):
                self.setUp()
                for _ in range(500):
                    self.log.write(Decision(kind), 1.0)
                self.log.write(Decision("flow_rejected", "no_agent", bytes(12)), 1.0)
                self.log.write(Decision("stopping"), 2.5)
                self.log.flush()
                lines = os.read(self.reader, 1 << 20).decode().splitlines()
                self.assertEqual(len(lines), budget + 3)
                self.assertIn('"no_agent"', lines[budget])
                self.assertIn(f'"{kind}":{500 - budget}', lines[budget + 1])
                self.assertEqual(self.counters[f"decisions_{kind}"], 500)
                self.assertEqual(self.counters["lines_left_out"], 500 - budget)

    def test_stopped_reader_only_loses_lines(self):
        for number in range(40_000):
            self.log.write(Decision("flow_reset", "x" * 200), float(number))
            if number % 20 == 0:
                self.log.flush()
        self.assertGreater(self.counters["lines_lost"], 0)
        self.assertEqual(self.counters["decisions_flow_reset"], 40_000)
        for line in os.read(self.reader, 1 << 20).splitlines():
            self.assertEqual(json.loads(line)["kind"], "flow_reset")

    def test_flow_is_formatted_as_caller_and_service(self):
        flow = bytes([100, 64, 0, 7, 0x9C, 0x41, 198, 18, 0, 1, 1, 187])
        self.assertEqual(format_flow(flow), "100.64.0.7:40001>198.18.0.1:443")


if __name__ == "__main__":
    unittest.main()
