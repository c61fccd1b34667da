"""Tests of operators' orders and upstreams' heartbeats."""

import json
import unittest

from fulmarshore.adapters.httpserver import HttpRequest, HttpResponse
from fulmarshore.core.records import PutConfiguration, PutZone
from fulmarshore.daemons.directcontrol import ReadNewest
from fulmarshore.direct.records import UpstreamAnnounced, UpstreamDeparted
from fulmarshore.platform.configuration_test import VALID
from fulmarshore.platform.heartbeats import read_heartbeat
from fulmarshore.platform.orders import OrderReader

BODY = json.dumps(VALID).encode()
HEARTBEAT = {
    "service": "desk",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 1500,
    "sequence": 4,
    "born": 1777688762335,
}


class OrderReaderTest(unittest.TestCase):
    def test_requests_become_commands_or_errors(self):
        cases = [
            ("PUT", "/v1/config", BODY, PutConfiguration),
            ("GET", "/v1/config", b"", ReadNewest),
            ("POST", "/v1/evacuate/a", b"", PutZone("a", True)),
            ("DELETE", "/v1/evacuate/a", b"", PutZone("a", False)),
            ("POST", "/v1/evacuate/a?x=1", b"", PutZone("a", True)),
            ("PUT", "/v1/config", b"{}", 400),
            ("PUT", "/v1/config", b"\xff", 400),
            ("PATCH", "/v1/config", BODY, 405),
            ("POST", "/v1/evacuate/nowhere", b"", 404),
            ("PUT", "/v1/evacuate/a", b"", 405),
            ("GET", "/", b"", 404),
        ]
        reader = OrderReader(("a", "b"))
        for method, path, body, expected in cases:
            with self.subTest(f"{method} {path}"):
                result = reader.read(HttpRequest(method, path, body))
                if isinstance(expected, int):
                    self.assertIsInstance(result, HttpResponse)
                    self.assertEqual(result.status, expected)
                    self.assertIn("error", json.loads(result.body))
                elif isinstance(expected, type):
                    self.assertIsInstance(result, expected)
                else:
                    self.assertEqual(result, expected)


class HeartbeatTest(unittest.TestCase):
    def read(self, method="PUT", path="/v1/instances/i-1", **changes):
        fields = {**HEARTBEAT, **changes}
        present = {name: value for name, value in fields.items() if value != "missing"}
        return read_heartbeat(HttpRequest(method, path, json.dumps(present).encode()))

    def test_heartbeat_becomes_an_event(self):
        event = self.read()
        expected = UpstreamAnnounced("i-1", 1777688762335, 4, "desk", "a", 3, True, 1.5)
        self.assertEqual(event, expected)
        self.assertFalse(self.read(state="draining").is_ready)
        self.assertEqual(self.read("DELETE"), UpstreamDeparted("i-1"))
        self.assertIsNone(self.read(path="/elsewhere"))

    def test_malformed_heartbeats_are_refused(self):
        cases = [
            {"service": "missing"},
            {"service": 7},
            {"state": "resting"},
            {"slots": "three"},
            {"slots": 0},
            {"sequence": 1.5},
            {"zone": None},
            {"born": "today"},
            {"coldRemainingMs": "long"},
            {"address": "missing"},
        ]
        for changes in cases:
            with self.subTest(changes):
                self.assertIsInstance(self.read(**changes), str)
        for body in (b"", b"{", b"\xff\x00", b"[]", b"null", b"[" * 5000):
            request = HttpRequest("PUT", "/v1/instances/i-1", body)
            self.assertIsInstance(read_heartbeat(request), str)
        self.assertIsInstance(self.read(path="/v1/instances/"), str)
        self.assertIsInstance(self.read("POST"), str)


if __name__ == "__main__":
    unittest.main()
