"""Prometheus metrics of the counters of the cores and adapters.

Cores count under plain names. Counters whose names begin with one of ``FAMILIES``
share a metric; the rest of the name, one of a fixed list of reasons, becomes the
value of its label. Every other counter is a metric of its own.
"""

from __future__ import annotations

import platform
from collections import Counter
from collections.abc import Callable, Iterable
from importlib.metadata import PackageNotFoundError, version
from threading import Thread
from wsgiref.simple_server import WSGIServer

from msgspec import Struct
from prometheus_client import CollectorRegistry, generate_latest, start_http_server
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    InfoMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from fulmarshore.core.records import Address
from fulmarshore.direct.latency import BUCKET_BOUNDS_S, LatencyHistogram

Gauges = dict[str, float]
PREFIX = "fulmarshore_"


class CounterFamily(Struct, frozen=True):
    """Counters that share a metric.

    Parameters
    ----------
    name : str
        Common prefix of the counters, and name of the metric.
    label : str
        Label that the rest of a counter's name is the value of; empty for a
        single counter.
    help_text : str
        Help text of the metric.
    """

    name: str
    label: str
    help_text: str


FAMILIES = (
    CounterFamily("dropped", "reason", "Packets and messages dropped."),
    CounterFamily("refused", "reason", "Packets refused to their callers."),
    CounterFamily("flows_ended", "reason", "Flows ended."),
    CounterFamily("outcomes", "verdict", "Requests by the outcome told to callers."),
    CounterFamily("runs_refused", "reason", "Requests that an executor did not start."),
    CounterFamily("hint_polls", "outcome", "Questions to the upstream's endpoints."),
    CounterFamily("changes", "status", "Operators' changes answered."),
    CounterFamily("rejected", "reason", "Flows reset at an entry host."),
    CounterFamily("decisions", "kind", "Decisions by the kind of their line."),
    CounterFamily(
        "orders_answered", "status", "Operators' orders over HTTP, answered."
    ),
)
HELP = {
    "flows_opened": "Flows admitted to the upstream.",
    "delivered": "Packets of open flows handed to the upstream.",
    "answered": "Packets handed back towards callers.",
    "forwarded": "Callers' packets sent to an agent.",
    "passed_on": "Packets passed on to another agent.",
    "handed_over": "Flows given to another upstream by their home.",
    "declined": "Flows given back for want of room.",
    "claims_made": "Requests claimed by their home.",
    "runs_started": "Requests handed to the upstream.",
    "runs_answered": "Requests that the upstream answered.",
    "runs_unknown": "Requests whose end the executor did not see.",
    "retries": "Hand-overs repeated by the home.",
    "hints_lowered": "Times that an endpoint lowered the limit.",
    "hints_contradicted": "Hints that work spoke against.",
    "hinted_drains": "Drains that the health endpoint asked for.",
    "slots_closed": "Slots freed by closing the connection to a silent upstream.",
    "region_refused": "Processes and control hosts of other regions refused.",
    "deltas_applied": "Newer views taken into force.",
    "control_moves": "Moves to another control host.",
    "local_ports_taken": "Flows whose former local port another socket has.",
    "receives_failed": "Failed reads of a socket of datagrams.",
    "service_bind_failed": "Service addresses that could not be bound.",
    "key_ring_unreadable": "Failed reads of the key ring.",
    "log_damaged": "Starts with a damaged log file.",
    "timeline_overwritten": "Events lost before they were written.",
    "timeline_failed_writes": "Failed writes of the time line.",
    "work_seconds": "Time from a request at the upstream to its first answer.",
    "order_seconds": "Time from an order to its acceptance.",
    "clock_refused": "Clock values too far ahead of real time.",
}


class CoreCollector(Collector):
    """Collects the counters, gauges and histograms of one process on each scrape.

    Parameters
    ----------
    role : str
        entry, agent or control.
    list_counters : callable
        Returns the counters of the cores and adapters.
    read_gauges : callable
        Returns the current values by name.
    latencies : dict of str to LatencyHistogram, optional
        Histograms of durations by name.
    """

    def __init__(
        self,
        role: str,
        list_counters: Callable[[], list[Counter[str]]],
        read_gauges: Callable[[], Gauges],
        latencies: dict[str, LatencyHistogram] | None = None,
    ) -> None:
        self._role = role
        self._latencies = latencies or {}
        self._list_counters = list_counters
        self._read_gauges = read_gauges

    def collect(self) -> Iterable[Metric]:
        """Yield every counter, gauge and histogram as a metric family."""
        totals: Counter[str] = Counter()
        for counters in self._list_counters():
            totals.update(dict(counters))
        families: dict[str, CounterMetricFamily] = {}
        for name, count in sorted(totals.items()):
            family, reason = find_family(name)
            metric = families.get(family.name)
            if metric is None:
                labels = ["role", family.label] if family.label else ["role"]
                metric = CounterMetricFamily(
                    PREFIX + family.name, family.help_text, labels=labels
                )
                families[family.name] = metric
            values = [self._role, reason] if family.label else [self._role]
            metric.add_metric(values, count)
        yield from families.values()
        for name, value in self._read_gauges().items():
            gauge = GaugeMetricFamily(
                PREFIX + name, f"Current {name}.", labels=["role"]
            )
            gauge.add_metric([self._role], value)
            yield gauge
        for name, latency in self._latencies.items():
            yield self._build_histogram(name, latency)
        build = InfoMetricFamily(PREFIX + "build", "What runs here.")
        build.add_metric([], {"role": self._role, **describe_build()})
        yield build

    def _build_histogram(self, name: str, latency: LatencyHistogram) -> Metric:
        help_text = HELP.get(name, f"Durations of the kind {name}, seconds.")
        metric = HistogramMetricFamily(PREFIX + name, help_text, labels=["role"])
        buckets = []
        cumulative = 0
        for bound, count in zip(
            (*BUCKET_BOUNDS_S, "+Inf"), latency.counts, strict=True
        ):
            cumulative += count
            buckets.append((str(bound), cumulative))
        metric.add_metric([self._role], buckets, latency.total_s)
        return metric


def render_metrics(collector: Collector) -> bytes:
    """Render the metrics of a collector in the text format of Prometheus."""
    registry = CollectorRegistry()
    registry.register(collector)
    return generate_latest(registry)


def find_family(name: str) -> tuple[CounterFamily, str]:
    """Return the family of a counter and the value of its label."""
    for family in FAMILIES:
        reason = name.removeprefix(f"{family.name}_")
        if reason != name:
            return family, reason
    help_text = HELP.get(name, f"Events of the kind {name}.")
    return CounterFamily(name, "", help_text), ""


def describe_build() -> dict[str, str]:
    """Return the versions of the package and of Python."""
    try:
        release = version("fulmarshore")
    except PackageNotFoundError:
        release = "unknown"
    return {"version": release, "python": platform.python_version()}


def serve_metrics(address: Address, collector: Collector) -> tuple[WSGIServer, Thread]:
    """Serve the metrics of a collector over HTTP, on a thread of its own."""
    registry = CollectorRegistry()
    registry.register(collector)
    return start_http_server(address.port, addr=address.host, registry=registry)
