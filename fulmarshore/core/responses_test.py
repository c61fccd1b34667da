from unittest import TestCase

from fulmarshore.core.records import Reason, Request, Response, Verdict
from fulmarshore.core.responses import make_response


class ResponsesTest(TestCase):
    def test_response_carries_the_identity_of_its_attempt(self):
        request = Request("mendbook", "counter-1", 7, 2, 5.0, False, False, b"order")
        cases = [
            ((Verdict.ANSWERED, "", b"done"), (Verdict.ANSWERED, "", b"done")),
            ((Verdict.NOT_RUN, Reason.SHED), (Verdict.NOT_RUN, Reason.SHED, b"")),
            ((Verdict.UNKNOWN,), (Verdict.UNKNOWN, "", b"")),
        ]
        for outcome, expected in cases:
            with self.subTest(outcome):
                response = make_response(request, *outcome)
                match = Response("mendbook", "counter-1", 7, 2, *expected)
                self.assertEqual(response, match)
