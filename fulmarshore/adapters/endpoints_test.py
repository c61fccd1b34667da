"""Parsing of endpoint responses, and limits and outcomes of polls."""

from collections import Counter
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase

from hypothesis import given
from hypothesis import strategies as st

from fulmarshore.adapters.endpoints import (
    MAX_BODY_BYTES,
    POLL_TIMEOUT_S,
    EndpointPoller,
    parse_response,
)
from fulmarshore.core.records import Health, HintSource, UpstreamHint
from fulmarshore.standins import profiles  # noqa: F401
from fulmarshore.standins.cluster import find_address, wait_until
from fulmarshore.standins.endpoint import StandInEndpoint

HEALTH, LOAD = HintSource.HEALTH, HintSource.LOAD


class ParseResponseTest(TestCase):
    def test_health(self):
        table = [
            (200, b"ok", Health.HEALTHY),
            (204, b"", Health.HEALTHY),
            (503, b"no", Health.UNHEALTHY),
            (500, b"\xff", Health.UNHEALTHY),
            (200, b"draining\n", Health.DRAINING),
            (503, b'{"status": "DRAINING"}', Health.DRAINING),
            (200, b'{"status": 3}', Health.HEALTHY),
            (302, b"", None),
            (404, b"draining", None),
        ]
        for status, body, wanted in table:
            with self.subTest(status=status, body=body):
                hint = parse_response(HEALTH, status, body)
                self.assertEqual(hint.health if hint else None, wanted)

    def test_load(self):
        table = [
            (200, b"0.3", 1.0),
            (200, b"2", 0.5),
            (200, b'{"load": 4.0}', 0.25),
            (200, b"-1", None),
            (200, b"1e999", None),
            (200, b"high", None),
            (200, b"", None),
            (503, b"0.3", None),
        ]
        for status, body, wanted in table:
            with self.subTest(status=status, body=body):
                hint = parse_response(LOAD, status, body)
                self.assertEqual(hint.share if hint else None, wanted)

    @given(st.sampled_from(HintSource), st.integers(100, 599), st.binary(max_size=40))
    def test_no_answer_raises(self, source, status, body):
        hint = parse_response(source, status, body)
        if hint is not None:
            self.assertTrue(0.0 <= hint.share <= 1.0)


class EndpointPollerTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.counters = Counter()
        self.hints = []

    async def open_endpoint(self, *response):
        endpoint = StandInEndpoint(*response)
        await endpoint.open()
        self.addCleanup(endpoint.close)
        return endpoint

    def poll(self, url):
        poller = EndpointPoller(
            HEALTH, url, self.hints.append, self.counters, Random(1)
        )
        poller.open()
        self.addCleanup(poller.close)

    async def test_outcomes(self):
        table = [
            ("answered", (200, b"ok"), [UpstreamHint(HEALTH)]),
            ("malformed", (404, b"ok"), []),
            ("too_large", (200, b"x" * (MAX_BODY_BYTES + 1)), []),
            ("timeout", (200, b"ok", 3.0 * POLL_TIMEOUT_S), []),
            ("timeout", (200, b"x" * MAX_BODY_BYTES, 0.0, POLL_TIMEOUT_S / 4), []),
        ]
        for outcome, response, wanted in table:
            with self.subTest(outcome, response=response[2:]):
                await self.asyncSetUp()
                endpoint = await self.open_endpoint(*response)
                self.poll(endpoint.url)
                await wait_until(lambda: self.counters.total() > 0)
                self.assertEqual(set(self.counters), {f"hint_polls_{outcome}"})
                self.assertEqual(self.hints[:1], wanted)

    async def test_refused_connection_is_counted_as_failed(self):
        address = find_address()
        self.poll(f"http://{address.host}:{address.port}/")
        await wait_until(lambda: self.counters["hint_polls_failed"] > 0)
        self.assertEqual(self.hints, [])

    async def test_at_most_one_request_is_in_flight(self):
        endpoint = await self.open_endpoint(200, b"ok", 0.7)
        self.poll(endpoint.url)
        await wait_until(lambda: endpoint.asked >= 3)
        self.assertEqual(endpoint.max_active_requests, 1)
