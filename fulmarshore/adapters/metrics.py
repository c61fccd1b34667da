"""Counters of the cores as a Prometheus endpoint."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from threading import Thread
from wsgiref.simple_server import WSGIServer

from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from fulmarshore.core.records import Address

Gauges = dict[str, float]


class CoreCollector(Collector):
    """Collects the counters and gauges of one process when asked.

    Parameters
    ----------
    role : str
        entry, agent or control.
    counters : list of Counter
        The counters of the cores and adapters.
    read_gauges : callable
        Returns the current values by name.
    """

    def __init__(
        self,
        role: str,
        counters: list[Counter[str]],
        read_gauges: Callable[[], Gauges],
    ) -> None:
        self._role = role
        self._counters = counters
        self._read_gauges = read_gauges

    def collect(self) -> Iterable[Metric]:
        """Return every counter and gauge as a metric family."""
        events = CounterMetricFamily(
            f"fulmarshore_{self._role}_events",
            "Events by kind, with every drop and refusal by its reason.",
            labels=["kind"],
        )
        for counters in self._counters:
            for kind, count in list(counters.items()):
                events.add_metric([kind], count)
        yield events
        for name, value in self._read_gauges().items():
            yield GaugeMetricFamily(
                f"fulmarshore_{self._role}_{name}", f"Current {name}.", value=value
            )


def serve_metrics(address: Address, collector: Collector) -> tuple[WSGIServer, Thread]:
    """Serve the metrics of a collector over HTTP."""
    registry = CollectorRegistry()
    registry.register(collector)
    return start_http_server(address.port, addr=address.host, registry=registry)
