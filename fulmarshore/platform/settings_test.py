"""Tests of reading the platform's settings file."""

import json
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from fulmarshore.direct.settings import Endpoint, HostSettings
from fulmarshore.platform.settings import (
    BIND_HOST_VARIABLE,
    LOST_FLOW_NOTICE_VARIABLE,
    METRICS_PORT_VARIABLE,
    PLACEMENT_VARIABLE,
    SETTINGS_PATH_VARIABLE,
    UPLOAD_LIMIT_VARIABLE,
    SettingsReader,
    parse_settings,
)

VALID = {
    "node": "edge-1",
    "ip": "10.1.0.10",
    "zone": "a",
    "zones": {"a": "r", "b": "r"},
    "listen": {
        "udpListen": "10.1.0.10:8172",
        "readiness": "10.1.0.10:8167",
        "control": "10.1.0.10:8166",
    },
    "internalPorts": [7720, 7735],
    "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
    "bootstrap": True,
    "dataDir": None,
    "faultTolerance": {"machines": 2, "zones": 1},
    "bounds": {"coldOvershoot": 1.5, "coldSlack": 5},
    "unknownField": {"later": 1},
}


class SettingsTest(unittest.TestCase):
    def parse(self, **changes):
        fields = {**VALID, **changes}
        present = {name: value for name, value in fields.items() if value != "missing"}
        return parse_settings(json.dumps(present).encode())

    def test_valid_file_is_translated(self):
        settings = self.parse()
        self.assertIsInstance(settings, HostSettings)
        self.assertEqual(settings.host, "10.1.0.10")
        self.assertEqual(settings.packet_port, 8172)
        self.assertEqual(settings.control_port, 8166)
        self.assertEqual(settings.seeds, ("10.1.0.10", "10.2.0.40"))
        self.assertEqual(settings.orders, Endpoint("10.1.0.10", 8166))
        self.assertEqual(settings.lost_disks, 2)
        self.assertEqual(settings.upstreams.count_cold_flows(2.0), 7)
        self.assertEqual(settings.data_folder, "")

    def test_problems_name_field_value_and_what_is_allowed(self):
        cases = [
            ({"seeds": ["10.1.0.10"]}, "seeds: '10.1.0.10'"),
            ({"seeds": ["10.1.0.10:99999"]}, "seeds: '10.1.0.10:99999'"),
            ({"internalPorts": [7720, 7721]}, "internalPorts: 7720 to 7721"),
            ({"listen": {"udpListen": "x"}}, "listen.udpListen: 'x'"),
            ({"app": "here"}, "app: 'here'"),
            ({"ip": 7}, "ip"),
            ({"ip": "here"}, "ip: 'here'"),
            ({"seeds": ["here:8166"]}, "seeds: 'here:8166'"),
            ({"zone": "missing"}, "zone"),
            ({"faultTolerance": {"machines": "two"}}, "faultTolerance"),
            ({"limits": {"linkMbps": -1}}, "limits.linkMbps: -1"),
        ]
        for changes, expected in cases:
            with self.subTest(changes):
                problems = self.parse(**changes)
                self.assertIsInstance(problems, list)
                self.assertIn(expected, str(problems[0]))
                self.assertIn("needs", str(problems[0]))

    def test_environment_variables(self):
        content = json.dumps(VALID).encode()
        settings = parse_settings(
            content, {BIND_HOST_VARIABLE: "127.0.0.9", METRICS_PORT_VARIABLE: "9464"}
        )
        self.assertEqual(settings.metrics_port, 9464)
        self.assertEqual(
            settings.localize(settings.orders), Endpoint("127.0.0.9", 8166)
        )
        elsewhere = Endpoint("10.1.0.99", 8080)
        self.assertEqual(settings.localize(elsewhere), elsewhere)
        settings = parse_settings(content, {METRICS_PORT_VARIABLE: ""})
        self.assertEqual(settings.metrics_port, 0)
        self.assertEqual(settings.localize(settings.orders), settings.orders)
        for name, value in (
            (BIND_HOST_VARIABLE, "here"),
            (METRICS_PORT_VARIABLE, "-1"),
            (METRICS_PORT_VARIABLE, "70000"),
            (METRICS_PORT_VARIABLE, "none"),
            (PLACEMENT_VARIABLE, "'fast'"),
            (UPLOAD_LIMIT_VARIABLE, "'yes'"),
            (LOST_FLOW_NOTICE_VARIABLE, "'1'"),
        ):
            with self.subTest(name, value=value):
                problems = parse_settings(content, {name: value.strip("'")})
                self.assertIn(f"{name}: {value}", str(problems[0]))

    def test_features_follow_the_link_rate_and_the_environment(self):
        settings = self.parse()
        self.assertEqual(settings.link_bytes_per_s, 0.0)
        self.assertEqual(settings.placement, "auto")
        self.assertTrue(settings.limits_uploads and settings.notifies_lost_flows)
        settings = self.parse(limits={"linkMbps": 2.65, "cpuShare": 0.5})
        self.assertEqual(settings.link_bytes_per_s, 331_250.0)
        variables = {
            PLACEMENT_VARIABLE: "flows",
            UPLOAD_LIMIT_VARIABLE: "off",
            LOST_FLOW_NOTICE_VARIABLE: "off",
        }
        settings = parse_settings(json.dumps(VALID).encode(), variables)
        self.assertEqual(settings.placement, "flows")
        self.assertFalse(settings.limits_uploads or settings.notifies_lost_flows)

    def test_content_that_is_not_a_settings_file(self):
        for content in (b"", b"{", b"\xff\xfe", b"[]", b"7"):
            self.assertIsInstance(parse_settings(content), list)

    def test_file_is_read_again_when_it_has_changed(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.json"
            path.write_text(json.dumps(VALID))
            with patch.dict("os.environ", {SETTINGS_PATH_VARIABLE: str(path)}):
                reader = SettingsReader()
            self.assertIsInstance(reader.load(), HostSettings)
            self.assertIsNone(reader.load())
            path.write_text("{")
            self.assertIsInstance(reader.load(), list)
            self.assertIsNone(reader.load())
            path.write_text(json.dumps({**VALID, "seeds": ["10.9.0.1:1"]}))
            self.assertEqual(reader.load().seeds, ("10.9.0.1",))


if __name__ == "__main__":
    unittest.main()
