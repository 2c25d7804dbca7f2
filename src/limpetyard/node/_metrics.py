"""Counters, histograms and gauges of one node, for Prometheus.

Counters and histograms are derived from logged events by the tables in this
module. Gauges are read at each scrape.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

import prometheus_client as prom
from aiohttp import web
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from limpetyard._clock import MS_PER_SECOND

_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
_LONG_BUCKETS_S = (0.1, 0.5, 1, 2, 5, 10, 30, 60, 300, 1800)


class _HistogramSpec(NamedTuple):
    name: str
    help_text: str
    duration_field: str
    labels: tuple[str, ...]
    buckets: tuple[float, ...] = _BUCKETS_S


class _CounterSpec(NamedTuple):
    name: str
    help_text: str
    labels: tuple[str, ...]


_HISTOGRAMS = {
    "job_accepted": _HistogramSpec(
        "hand_in_seconds",
        "Time from receipt of a job to its acknowledgement.",
        "took_ms",
        ("queue",),
    ),
    "job_begun": _HistogramSpec(
        "first_start_seconds",
        "Time from when the owner reads a job to its first running task.",
        "wait_ms",
        ("queue",),
    ),
    "job_ended": _HistogramSpec(
        "job_seconds",
        "Time from when the owner reads a job to its end.",
        "age_ms",
        ("queue", "state"),
        _LONG_BUCKETS_S,
    ),
    "run_ended": _HistogramSpec(
        "run_seconds",
        "Time from ordering a run to its end.",
        "age_ms",
        ("how",),
        _LONG_BUCKETS_S,
    ),
    "cell_taken_over": _HistogramSpec(
        "takeover_seconds",
        "Time to claim and load a cell.",
        "took_ms",
        (),
    ),
    "plan_done": _HistogramSpec(
        "plan_seconds",
        "Duration of a round of planning, which blocks the event loop.",
        "took_ms",
        (),
    ),
    "call_done": _HistogramSpec(
        "call_seconds",
        "Duration of calls to the store, workers, other nodes and advice.",
        "took_ms",
        ("to", "call", "outcome"),
    ),
}

_COUNTERS = {
    "request_refused": _CounterSpec(
        "requests_refused", "Callers' requests that were refused.", ("kind",)
    ),
    "task_started": _CounterSpec(
        "starts", "Start orders by kind and result.", ("kind", "result")
    ),
    "task_waiting": _CounterSpec(
        "long_running_waits",
        "Reports of long-running tasks that wait, by reason.",
        ("reason",),
    ),
    "record_too_large": _CounterSpec(
        "records_too_large", "Records that the store does not take.", ()
    ),
    "run_lost": _CounterSpec(
        "runs_lost", "Runs lost with their worker or its lease.", ()
    ),
    "worker_lapsed": _CounterSpec("workers_lapsed", "Expired leases.", ()),
}

# Name, help text, label name or "", and values by label value.
Gauge = tuple[str, str, str, dict[str, float]]


class NodeMetrics:
    """All metrics of one node, in a separate registry."""

    def __init__(self, read_gauges: Callable[[], list[Gauge]]):
        """Initializes and registers the metrics.

        Args:
            read_gauges: Returns the current gauges; called at each scrape.
        """
        self._read_gauges = read_gauges
        self._events: Counter = Counter()
        self._registry = prom.CollectorRegistry()
        prom.ProcessCollector(registry=self._registry)
        self._registry.register(self)
        self._histograms = {
            event: prom.Histogram(
                f"limpetyard_{spec.name}",
                spec.help_text,
                spec.labels,
                buckets=spec.buckets,
                registry=self._registry,
            )
            for event, spec in _HISTOGRAMS.items()
        }
        self._counters = {
            event: prom.Counter(
                f"limpetyard_{spec.name}",
                spec.help_text,
                spec.labels,
                registry=self._registry,
            )
            for event, spec in _COUNTERS.items()
        }

    def count_event(self, name: str, fields: dict[str, object]) -> None:
        """Updates the counters and histograms for one event.

        Args:
            name: Name of the event.
            fields: Values of the event by field.
        """
        self._events[name] += 1
        spec = _HISTOGRAMS.get(name)
        if spec is not None:
            metric = _labelled(self._histograms[name], spec.labels, fields)
            metric.observe(float(fields[spec.duration_field]) / MS_PER_SECOND)
        spec = _COUNTERS.get(name)
        if spec is not None:
            _labelled(self._counters[name], spec.labels, fields).inc()

    def collect(self) -> Iterator[Metric]:
        """Yields the event counter and the gauges at each scrape."""
        events = CounterMetricFamily(
            "limpetyard_events", "Events by name.", labels=("event",)
        )
        for name, number in sorted(self._events.items()):
            events.add_metric((name,), number)
        yield events
        for name, help_text, label, values in self._read_gauges():
            labels = (label,) if label else ()
            gauge = GaugeMetricFamily(
                f"limpetyard_{name}", help_text, labels=labels
            )
            for key, value in values.items():
                gauge.add_metric((key,) if label else (), value)
            yield gauge

    def describe(self) -> list[Metric]:
        """Returns no metrics, so that registration does not collect."""
        return []

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Responds with all metrics in the text format of Prometheus."""
        return web.Response(
            body=prom.generate_latest(self._registry),
            headers={"Content-Type": prom.CONTENT_TYPE_LATEST},
        )


def _labelled(metric, labels: tuple[str, ...], fields: dict[str, object]):
    """Returns the child of a metric for the label values of an event."""
    return metric.labels(*(fields[k] for k in labels)) if labels else metric
