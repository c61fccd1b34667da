"""Headers, marks and notices of packets."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.direct.packets import (
    ACK,
    BOUNCED,
    HEADER_BYTES,
    MARK_ADMITTED,
    MARK_BUSY,
    MARK_HELD,
    MARK_NOT_HELD,
    NO_LOAD_REPORT,
    RST,
    SYN,
    LoadReport,
    make_notice,
    make_reset,
    mark_packet,
    parse_answer,
    parse_load_report,
    parse_packet,
)
from fulmarshore.standins.directends import is_sealed, make_flow, make_packet

FLOW = make_flow(7, 443)


class PacketsTest(unittest.TestCase):
    def test_opening_of_the_documented_layout(self):
        content = bytes.fromhex(
            "644000079c41c612000101bb0000a1b2c3d540000000000000001122334400000000"
        )
        packet = parse_packet(content)
        self.assertTrue(packet.is_opening)
        self.assertEqual(packet.sequence, 0x11223344)
        self.assertEqual(packet.flow.hex(), "644000079c41c612000101bb")
        self.assertEqual(packet.caller_host, bytes([100, 64, 0, 7]))
        self.assertEqual(packet.service_address, bytes([198, 18, 0, 1, 1, 187]))

    def test_reset_of_the_documented_layout(self):
        flow = bytes.fromhex("644000079c41c612000101bb")
        expected = "c612000101bb644000079c4100000000000008" + "00" * 15
        self.assertEqual(make_reset(flow, 0).hex(), expected)
        reset = parse_answer(make_reset(flow, 77))
        self.assertEqual((reset.flow, reset.flags, reset.sequence), (flow, RST, 77))

    def test_loads_travel_with_declined_openings_and_notices(self):
        opening = parse_packet(make_packet(FLOW[:6], FLOW[6:], SYN, 1, 0))
        for load, expected in ((0, 0), (7, 7), (300, 300), (70_000, 65_535)):
            with self.subTest(load=load):
                declined = mark_packet(opening, MARK_BUSY, bytes(4), load)
                self.assertEqual(parse_packet(declined).load, expected)
                report = LoadReport(load, load, 4)
                notice = make_notice(opening, MARK_ADMITTED, bytes(4), report)
                parsed = parse_load_report(parse_packet(notice))
                self.assertEqual(parsed, LoadReport(expected, expected, 4))
        former = mark_packet(opening, MARK_BUSY, bytes(4), 7)[18:26]
        self.assertEqual(former, bytes((SYN, MARK_BUSY, 7, 0)) + bytes(4))
        plain = parse_packet(make_notice(opening, MARK_ADMITTED, bytes(4)))
        self.assertEqual(parse_load_report(plain), NO_LOAD_REPORT)

    @given(st.binary(max_size=80))
    def test_any_bytes_are_parsed_or_rejected(self, content):
        packet = parse_packet(content)
        if packet is not None:
            self.assertEqual(packet.length, len(content) - HEADER_BYTES)

    @given(
        st.binary(max_size=50),
        st.integers(0, 2**32 - 1),
        st.integers(0, 2**32 - 1),
        st.integers(0, 255),
    )
    def test_marks_leave_the_data_and_positions_unchanged(
        self, data, sequence, ack, mark
    ):
        content = make_packet(FLOW[:6], FLOW[6:], ACK, sequence, ack, data)
        bounced = content[:18] + bytes([ACK | BOUNCED]) + content[19:]
        for sent in (content, bounced):
            marked = mark_packet(parse_packet(sent), mark, b"\x0a\0\0\x01")
            self.assertTrue(is_sealed(marked))
            packet = parse_packet(marked)
            self.assertEqual(packet.mark, mark)
            self.assertEqual(packet.return_host, b"\x0a\0\0\x01")
            self.assertFalse(packet.is_bounced)
            self.assertEqual(packet.sequence, sequence)
            self.assertEqual(packet.acknowledged, ack)
            self.assertEqual(marked[HEADER_BYTES:], data)

    def test_notice_names_the_flow_of_packets_from_either_end(self):
        sent = parse_packet(make_packet(FLOW[:6], FLOW[6:], SYN, 1, 0))
        answered = parse_answer(make_packet(FLOW[6:], FLOW[:6], ACK, 1, 0, b"x"))
        for packet, mark in ((sent, MARK_HELD), (answered, MARK_NOT_HELD)):
            notice = parse_packet(make_notice(packet, mark, b"\x0a\0\0\x01"))
            self.assertEqual((notice.flow, notice.mark), (FLOW, mark))


if __name__ == "__main__":
    unittest.main()
