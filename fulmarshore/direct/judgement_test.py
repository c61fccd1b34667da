import unittest

from fulmarshore.direct.judgement import (
    FIRST_SUSPICION_S,
    LONGEST_SUSPICION_S,
    WINDOW_S,
    Judgement,
)
from fulmarshore.direct.packets import ACK, SYN
from fulmarshore.direct.queueing_test import make_agent
from fulmarshore.direct.records import CallerPacket, Ticked, UpstreamAnnounced
from fulmarshore.direct.world_test import DESK
from fulmarshore.standins.directends import make_flow, make_packet

CASES = [
    ("none", "", False),
    ("all answered", "a" * 50, False),
    ("two failures", "ff", False),
    ("three failures", "fff", True),
    ("three among many", "a" * 20 + "fff", False),
    ("a fifth", "aaaaf" * 3, True),
    ("less than a fifth", "aaaaaaf" * 5, False),
]


def play(judgement, outcomes, now=0.0, gap=0.01):
    for outcome in outcomes:
        judgement.note(outcome == "a", now)
        now += gap
    return now


class JudgementTest(unittest.TestCase):
    def test_what_makes_an_upstream_suspect(self):
        for name, outcomes, expected in CASES:
            with self.subTest(name):
                judgement = Judgement()
                now = play(judgement, outcomes)
                self.assertEqual(judgement.is_suspect(now), expected)

    def test_old_failures_do_not_count(self):
        judgement = Judgement()
        play(judgement, "ff")
        now = play(judgement, "f", WINDOW_S + 0.1)
        self.assertFalse(judgement.is_suspect(now))

    def test_suspicion_ends_and_grows_where_it_proves_right(self):
        judgement = Judgement()
        now = play(judgement, "fff")
        lengths = []
        for _ in range(6):
            begin = now
            while judgement.is_suspect(now):
                now += 0.05
            lengths.append(now - begin)
            now = play(judgement, "fff", now)
        self.assertAlmostEqual(lengths[0], FIRST_SUSPICION_S, delta=0.1)
        for shorter, longer in zip(lengths, lengths[1:]):
            self.assertGreaterEqual(longer, shorter - 0.1)
        self.assertAlmostEqual(lengths[-1], LONGEST_SUSPICION_S, delta=0.1)

    def test_suspicion_is_short_again_after_a_good_time(self):
        judgement = Judgement()
        now = play(judgement, "fff")
        now = play(judgement, "a" * 100, now, 0.2)
        begin = play(judgement, "fff" * 20, now)
        self.assertTrue(judgement.is_suspect(begin))
        self.assertFalse(judgement.is_suspect(begin + FIRST_SUSPICION_S))

    def test_requests_without_an_answer_make_an_upstream_suspect(self):
        agent = make_agent(slots=9)
        for number in range(2, 6):
            flow = make_flow(number, DESK)
            opening = make_packet(flow[:6], flow[6:], SYN, 1, 0)
            agent.handle(CallerPacket(opening), 0.1)
            request = make_packet(flow[:6], flow[6:], ACK, 2, 1, b"request")
            agent.handle(CallerPacket(request), 0.12)
        for number, now in enumerate((0.5, 1.0, 1.6), 2):
            self.assertFalse(agent.judgement.is_suspect(now))
            alive = UpstreamAnnounced("u", 1, number, "desk", "a", 9, True, 0.0)
            agent.handle(alive, now)
            agent.handle(Ticked(), now)
        self.assertTrue(agent.judgement.is_suspect(1.7))
        self.assertEqual(agent.counters["requests_failed"], 4)
        agent.handle(Ticked(), 2.7)
        self.assertEqual(agent.counters["requests_failed"], 4)

    def test_suspicion_outlives_a_restart_of_the_upstream(self):
        judgement = Judgement()
        now = play(judgement, "fff")
        judgement.forget()
        self.assertTrue(judgement.is_suspect(now))


if __name__ == "__main__":
    unittest.main()
