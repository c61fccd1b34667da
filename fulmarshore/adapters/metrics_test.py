import re
from collections import Counter
from pathlib import Path
from unittest import TestCase

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.parser import text_string_to_metric_families

from fulmarshore.adapters.metrics import FAMILIES, HELP, CoreCollector

ROOT = Path(__file__).resolve().parents[2]
GAUGES = re.compile(r'"([a-z_]+)": ')


def list_metrics():
    """Return the names of all metrics that the processes can serve."""
    names = {f"fulmarshore_{family.name}_total" for family in FAMILIES}
    source = ""
    for file in (ROOT / "fulmarshore").rglob("*.py"):
        if not file.name.endswith("_test.py") and file.name != "metrics.py":
            source += file.read_text()
    for name in HELP:
        if re.search(rf'"{name}"', source):
            names.add(f"fulmarshore_{name}_total")
    for role in ("agent", "control", "entry"):
        file = ROOT / "fulmarshore" / "daemons" / f"{role}.py"
        for name in GAUGES.findall(file.read_text()):
            names.add(f"fulmarshore_{name}")
    return names


class MetricsTest(TestCase):
    def collect(self, counters, gauges=None):
        registry = CollectorRegistry()
        registry.register(
            CoreCollector("agent", lambda: counters, lambda: gauges or {})
        )
        text = generate_latest(registry).decode()
        found = {}
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                labels = tuple(sorted(sample.labels.items()))
                found[sample.name, labels] = sample.value
        return found

    def test_counters_become_metrics_with_labels(self):
        role = ("role", "agent")
        counters = [
            Counter(flows_opened=3, dropped_malformed=1),
            Counter(dropped_malformed=2, flows_ended_zone_out=5, changes_accepted=1),
        ]
        found = self.collect(counters, {"flows": 7})
        table = [
            (("fulmarshore_flows_opened_total", (role,)), 3),
            (("fulmarshore_dropped_total", (("reason", "malformed"), role)), 3),
            (("fulmarshore_flows_ended_total", (("reason", "zone_out"), role)), 5),
            (("fulmarshore_changes_total", (role, ("status", "accepted"))), 1),
            (("fulmarshore_flows", (role,)), 7),
        ]
        for key, value in table:
            with self.subTest(key=key):
                self.assertEqual(found[key], value)
        self.assertTrue(any(name == "fulmarshore_build_info" for name, _ in found))

    def test_every_alert_uses_served_metrics_and_is_documented(self):
        rules = (ROOT / "deploy" / "alerts.yml").read_text()
        pages = (ROOT / "docs" / "operating" / "alerts.md").read_text()
        alerts = re.findall(r"alert: (\w+)", rules)
        expressions = re.findall(r"expr: (.+)", rules)
        self.assertEqual(len(alerts), len(expressions))
        known = list_metrics()
        for alert, expression in zip(alerts, expressions, strict=True):
            with self.subTest(alert):
                named = set(re.findall(r"fulmarshore_\w+", expression))
                self.assertTrue(named)
                self.assertEqual(named - known, set())
                self.assertIn(f"## {alert}\n", pages)
