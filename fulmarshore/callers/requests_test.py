from random import Random
from unittest import TestCase

from msgspec.structs import replace

from fulmarshore.callers.requests import (
    OUTCOME_GRACE_S,
    Answered,
    CallerCore,
    NotRun,
    Unknown,
)
from fulmarshore.core.codec import decode_request, encode
from fulmarshore.core.records import Challenge, Reason, Response, Verdict

ANSWER = Response("s", "c", 1, 0, Verdict.ANSWERED, "", b"done")


class CallerCoreTest(TestCase):
    def setUp(self):
        self.caller = CallerCore("s", "c", Random(1))
        self.number, _ = self.caller.submit(b"work", 4.0, False, 0.0)

    def resend(self, now=1.0):
        datagrams, _ = self.caller.tick(now)
        return [decode_request(datagram, "") for datagram in datagrams]

    def test_outcome_of_each_response(self):
        not_run = replace(ANSWER, verdict=Verdict.NOT_RUN, reason="full", body=b"")
        unknown = replace(ANSWER, verdict=Verdict.UNKNOWN, reason="gone", body=b"")
        table = [
            ("answer", 0, ANSWER, Answered(1, b"done", True)),
            ("answer to an earlier attempt", 2, ANSWER, Answered(1, b"done", True)),
            ("not run", 0, not_run, NotRun(1, "full")),
            ("not run, later attempt open", 1, not_run, None),
            ("not run covers all", 1, replace(not_run, attempt=1), NotRun(1, "full")),
            ("unknown", 0, unknown, Unknown(1, "gone")),
            (
                "entry host has no upstream",
                0,
                replace(unknown, reason="no_upstream"),
                None,
            ),
            ("another request", 0, replace(ANSWER, number=2), None),
            ("another caller", 0, replace(ANSWER, caller="d"), None),
            ("another service", 0, replace(ANSWER, service="t"), None),
        ]
        for name, resends, response, expected in table:
            with self.subTest(name):
                self.setUp()
                for step in range(resends):
                    self.assertEqual(len(self.resend(1.0 + step)), 1)
                self.assertEqual(
                    self.caller.handle_datagram(encode(response), 3.0), expected
                )

    def test_challenge_is_sent_back_at_once_without_an_outcome(self):
        one, two = Challenge("a", 1, 7.0), Challenge("a", 1, 8.0)
        other = Challenge("b", 1, 9.0)
        table = [
            ("the first", [(0, one)], [(1, one)]),
            ("the same again", [(0, one), (1, two)], [(1, one)]),
            ("of another home", [(0, one), (1, other)], [(1, one), (2, other)]),
            ("to an earlier attempt", [(0, one), (0, other)], [(1, one)]),
        ]
        for name, challenges, expected in table:
            with self.subTest(name):
                self.setUp()
                copies = []
                for attempt, challenge in challenges:
                    frame = encode(self.make_challenge(attempt, challenge))
                    self.assertIsNone(self.caller.handle_datagram(frame, 0.1))
                    copies += self.resend(0.1)
                sent = [(copy.attempt, copy.challenge) for copy in copies]
                self.assertEqual(sent, expected)
                self.assertAlmostEqual(copies[0].age, 0.1)

    def test_request_that_expires_after_a_challenge_is_not_settled(self):
        frame = encode(self.make_challenge(0, Challenge("a", 1, 7.0)))
        self.caller.handle_datagram(frame, 0.1)
        _, outcomes = self.caller.tick(4.0 + OUTCOME_GRACE_S)
        self.assertEqual(outcomes, [Unknown(1, Reason.NOT_SETTLED)])

    def make_challenge(self, attempt, challenge):
        return replace(
            ANSWER,
            attempt=attempt,
            verdict=Verdict.UNKNOWN,
            reason=Reason.NOT_SETTLED,
            body=b"",
            challenge=challenge,
        )

    def test_answer_without_its_body_is_marked(self):
        response = replace(ANSWER, reason=Reason.BODY_NOT_HELD, body=b"")
        self.assertEqual(
            self.caller.handle_datagram(encode(response), 1.0), Answered(1, b"", False)
        )

    def test_truncated_responses_are_ignored(self):
        frame = encode(ANSWER)
        for length in range(len(frame)):
            self.assertIsNone(self.caller.handle_datagram(frame[:length], 1.0))

    def test_resends_keep_the_number_and_stop_at_the_deadline(self):
        copies = []
        for step in range(200):
            now = step * 0.05
            copies += [(now, copy) for copy in self.resend(now)]
        self.assertGreater(len(copies), 2)
        for attempt, (now, copy) in enumerate(copies, 1):
            self.assertEqual((copy.number, copy.attempt), (1, attempt))
            self.assertAlmostEqual(copy.timeout, 4.0 - now)
            self.assertAlmostEqual(copy.age, now)
            self.assertGreater(copy.timeout, 0.0)

    def test_outcome_is_unknown_without_any_response(self):
        _, outcomes = self.caller.tick(4.0 + OUTCOME_GRACE_S)
        self.assertEqual(outcomes, [Unknown(1, Reason.EXPIRED)])
