"""Counters, histograms and gauges of one node, for Prometheus.

What processes log is also what is counted: a table says which figures follow
from which event. What is believed is read when somebody asks.
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

_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
_LONG_SECONDS = (0.1, 0.5, 1, 2, 5, 10, 30, 60, 300, 1800)


class _Figure(NamedTuple):
    name: str
    tells: str
    value: str
    labels: tuple[str, ...]
    buckets: tuple[float, ...] = _SECONDS


class _Count(NamedTuple):
    name: str
    tells: str
    labels: tuple[str, ...]


_FIGURES = {
    "job_accepted": _Figure(
        "hand_in_seconds",
        "Time from reading a job to its acknowledgement.",
        "took_ms",
        ("queue",),
    ),
    "job_begun": _Figure(
        "first_start_seconds",
        "Time from the owner's reading of a job to its first running task.",
        "wait_ms",
        ("queue",),
    ),
    "job_ended": _Figure(
        "job_seconds",
        "Time from the owner's reading of a job to its end.",
        "age_ms",
        ("queue", "state"),
        _LONG_SECONDS,
    ),
    "run_ended": _Figure(
        "run_seconds",
        "Time from ordering a run to its end.",
        "age_ms",
        ("how",),
        _LONG_SECONDS,
    ),
    "cell_taken_over": _Figure(
        "takeover_seconds",
        "Time of claiming and loading a cell.",
        "took_ms",
        (),
    ),
    "call_done": _Figure(
        "call_seconds",
        "Time of calls to the store, workers, other nodes and advice.",
        "took_ms",
        ("to", "call", "outcome"),
    ),
}

_COUNTS = {
    "request_refused": _Count(
        "requests_refused", "Callers' requests that were refused.", ("kind",)
    ),
    "task_started": _Count(
        "starts", "Starts that were ordered.", ("kind", "result")
    ),
    "run_lost": _Count("runs_lost", "Runs gone with worker or lease.", ()),
    "worker_lapsed": _Count("workers_lapsed", "Leases that ran out.", ()),
}

# A gauge, its help, its label or "", and its values by label.
Belief = tuple[str, str, str, dict[str, float]]


class NodeMetrics:
    """All metrics of one node, in a registry of their own."""

    def __init__(self, beliefs: Callable[[], list[Belief]]):
        """Makes metrics.

        Args:
            beliefs: Returns what the node believes now.
        """
        self._beliefs = beliefs
        self._events: Counter = Counter()
        self._registry = prom.CollectorRegistry()
        prom.ProcessCollector(registry=self._registry)
        self._registry.register(self)
        self._figures = {
            event: prom.Histogram(
                f"limpetyard_{figure.name}",
                figure.tells,
                figure.labels,
                buckets=figure.buckets,
                registry=self._registry,
            )
            for event, figure in _FIGURES.items()
        }
        self._counts = {
            event: prom.Counter(
                f"limpetyard_{count.name}",
                count.tells,
                count.labels,
                registry=self._registry,
            )
            for event, count in _COUNTS.items()
        }

    def count_event(self, name: str, fields: dict[str, object]) -> None:
        """Takes one event in."""
        self._events[name] += 1
        figure = _FIGURES.get(name)
        if figure is not None:
            metric = _labelled(self._figures[name], figure.labels, fields)
            metric.observe(float(fields[figure.value]) / MS_PER_SECOND)
        count = _COUNTS.get(name)
        if count is not None:
            _labelled(self._counts[name], count.labels, fields).inc()

    def collect(self) -> Iterator[Metric]:
        """Yields what is only read when somebody asks."""
        events = CounterMetricFamily(
            "limpetyard_events", "Events by name.", labels=("event",)
        )
        for name, number in sorted(self._events.items()):
            events.add_metric((name,), number)
        yield events
        for name, tells, label, values in self._beliefs():
            labels = (label,) if label else ()
            gauge = GaugeMetricFamily(
                f"limpetyard_{name}", tells, labels=labels
            )
            for key, value in values.items():
                gauge.add_metric((key,) if label else (), value)
            yield gauge

    def describe(self) -> list[Metric]:
        """Returns nothing, so that registering collects nothing."""
        return []

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Answers one request with all metrics in Prometheus' text format."""
        return web.Response(
            body=prom.generate_latest(self._registry),
            headers={"Content-Type": prom.CONTENT_TYPE_LATEST},
        )


def _labelled(metric, labels: tuple[str, ...], fields: dict[str, object]):
    """Returns the part of a metric that the fields of an event name."""
    return metric.labels(*(fields[k] for k in labels)) if labels else metric
