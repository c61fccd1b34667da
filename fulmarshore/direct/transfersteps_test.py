"""What occupies the link in the eyes of the limit on uploads."""

import unittest
from unittest.mock import patch

from fulmarshore.direct import transfers
from fulmarshore.direct.packets import ACK, FIN, MAX_DATA_BYTES, RST, SYN, parse_packet
from fulmarshore.direct.transfers import UploadLimiter
from fulmarshore.direct.transfers_test import (
    NARROW,
    ROUTES,
    UPLOAD_PORT,
    make_route,
)
from fulmarshore.standins.directends import make_flow, make_packet

CALLER = make_flow(0, UPLOAD_PORT)[:4]
OTHER_CALLER = b"\x64\x40\0\x09"


class LimiterTest(unittest.TestCase):
    def setUp(self):
        self.limiter = UploadLimiter(NARROW)

    def open(self, number, now):
        return self.limiter.handle_opening(self.make(number, SYN), ROUTES[0], now)

    def make(self, number, flags, data=b""):
        flow = make_flow(number, UPLOAD_PORT)
        return parse_packet(make_packet(flow[:6], flow[6:], flags, 1, 1, data))

    def test_what_occupies_the_link(self):
        """Each step is what a packet or its absence does to the next opening."""
        sent = bytes(MAX_DATA_BYTES)
        cases = [
            ("admitted upload", [], 0.1, "waiting"),
            ("silent for 0.3 s", [], 0.31, "admitted"),
            ("sends again after silence", [(0.5, ACK, sent)], 0.6, "waiting"),
            ("end", [(0.1, FIN | ACK, b"")], 0.11, "admitted"),
            ("reset", [(0.1, RST, b"")], 0.11, "admitted"),
            (
                "acknowledges the answer after its end",
                [(0.1, FIN | ACK, b""), (0.11, ACK, b"")],
                0.12,
                "admitted",
            ),
        ]
        for name, packets, at, verdict in cases:
            with self.subTest(name):
                self.limiter = UploadLimiter(NARROW)
                self.assertEqual(self.open(1, 0.0).verdict, "admitted")
                for now, flags, data in packets:
                    self.limiter.record_packet(self.make(1, flags, data), now)
                decision = self.limiter.decide(CALLER, ROUTES[0], at)
                self.assertEqual(decision.verdict, verdict)

    def test_caller_with_many_uploads_does_not_keep_out_one_with_none(self):
        limiter = UploadLimiter(3 * NARROW)
        for number in range(limiter.limit):
            limiter.handle_opening(self.make(number, SYN), ROUTES[0], 0.0)
            for _ in range(30):  # Most of the upload is sent, so that others may wait.
                packet = self.make(number, ACK, bytes(MAX_DATA_BYTES))
                limiter.record_packet(packet, 0.0)
        own = limiter.handle_opening(self.make(98, SYN), ROUTES[0], 0.0)
        self.assertEqual(own.verdict, "waiting")
        later = make_flow(99, UPLOAD_PORT)
        opening = parse_packet(
            make_packet(OTHER_CALLER + later[4:6], later[6:], SYN, 1, 0)
        )
        decision = limiter.handle_opening(opening, ROUTES[0], 0.1)
        self.assertEqual(decision.verdict, "waiting")
        own = limiter.decide(CALLER, ROUTES[0], 0.1)
        self.assertGreater(own.wait_s, decision.wait_s)
        limiter.record_packet(self.make(0, FIN | ACK), 0.11)
        ready = [packet.flow for packet in limiter.pop_ready(0.11)]
        self.assertEqual(ready, [opening.flow])

    def test_upload_of_a_former_process_is_counted(self):
        self.limiter.record_packet(self.make(1, ACK, b"data"), 0.0)
        self.assertEqual(self.open(2, 0.1).verdict, "waiting")

    def test_memory_is_bounded(self):
        limiter = UploadLimiter(1000 * NARROW)
        with patch.multiple(transfers, MAX_TRANSFERS=3, MAX_WAITING=2, MAX_ROUTES=2):
            limiter.limit = 3
            for number in range(9):
                limiter.handle_opening(self.make(number, SYN), ROUTES[0], 0.0)
            self.assertEqual(limiter.waiting_count, 2)
            for number in range(20, 29):
                limiter.record_packet(self.make(number, ACK, b"data"), 0.0)
            self.assertEqual(len(limiter._transfers), 3)
            for port in range(1, 9):
                flow = make_flow(1, port)
                for flags, data in ((SYN, b""), (ACK, b"data"), (FIN | ACK, b"")):
                    packet = parse_packet(
                        make_packet(flow[:6], flow[6:], flags, 1, 1, data)
                    )
                    if packet.is_opening:
                        limiter.handle_opening(packet, make_route(port), 10.0 + port)
                    else:
                        limiter.record_packet(packet, 10.0 + port)
            self.assertEqual(len(limiter._mean_sizes), 2)

    def test_sizes_are_learned_from_uploads_that_were_completed(self):
        for flags, expected in ((RST, 40_000), (FIN | ACK, 38_065)):
            with self.subTest(flags=flags):
                limiter = UploadLimiter(NARROW)
                limiter.handle_opening(self.make(1, SYN), ROUTES[0], 0.0)
                limiter.record_packet(self.make(1, ACK, bytes(MAX_DATA_BYTES)), 0.0)
                limiter.record_packet(self.make(1, flags), 0.1)
                mean = limiter._get_mean_size(ROUTES[0].address)
                self.assertAlmostEqual(mean, expected, delta=5)

    def test_caller_that_gives_up_waits_no_longer(self):
        self.open(1, 0.0)
        self.assertEqual(self.open(2, 0.0).verdict, "waiting")
        self.limiter.record_packet(self.make(2, RST), 0.1)
        self.assertEqual(self.limiter.pop_ready(0.35), [])

    def test_opening_whose_flow_sends_data_waits_no_longer(self):
        """Another entry host has opened it; a rejection would reset a live flow."""
        self.open(1, 0.0)
        self.assertEqual(self.open(2, 0.0).verdict, "waiting")
        self.limiter.record_packet(self.make(2, ACK, b"data"), 0.1)
        self.assertEqual(self.limiter.pop_expired(0.29), [])
        self.assertEqual(self.limiter.pop_ready(1.0), [])

    def test_expired_opening_goes_ahead_if_there_is_room(self):
        self.open(1, 0.0)
        opening = self.make(2, SYN)
        self.limiter.handle_opening(opening, ROUTES[0], 0.0)
        self.assertEqual(self.limiter.pop_expired(0.31), [])
        ready = self.limiter.pop_ready(0.31)
        self.assertEqual([packet.flow for packet in ready], [opening.flow])


if __name__ == "__main__":
    unittest.main()
