"""Counters and histograms of one daemon, for Prometheus."""

import prometheus_client as prom

from limpetyard._clock import MS_PER_SECOND

_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class Metrics:
    """All metrics of one daemon, in a registry of their own."""

    __slots__ = (
        "_decisions",
        "_runs",
        "_requests",
        "cells_owned",
        "config_age",
        "registry",
    )

    def __init__(self):
        self.registry = prom.CollectorRegistry()
        self._requests = prom.Histogram(
            "limpetyard_request_seconds",
            "Time from a request's arrival to its answer.",
            ("partner", "service", "class", "outcome"),
            buckets=_SECONDS,
            registry=self.registry,
        )
        self._decisions = prom.Counter(
            "limpetyard_decisions",
            "Decisions read back from the cells' streams.",
            ("cell", "kind"),
            registry=self.registry,
        )
        self._runs = prom.Histogram(
            "limpetyard_run_seconds",
            "Length of ended runs.",
            ("partner", "class", "outcome"),
            buckets=(1, 5, 15, 60, 300, 1800, 7200),
            registry=self.registry,
        )
        self.cells_owned = prom.Gauge(
            "limpetyard_cells_owned",
            "Cells that this daemon owns.",
            registry=self.registry,
        )
        self.config_age = prom.Gauge(
            "limpetyard_config_age_seconds",
            "Time since the configuration was last confirmed.",
            registry=self.registry,
        )

    def request(
        self,
        partner: str,
        service: str,
        batch: bool,
        outcome: str,
        took_ms: float,
    ) -> None:
        """Takes in one answered request."""
        class_name = "batch" if batch else "urgent"
        labels = self._requests.labels(partner, service, class_name, outcome)
        labels.observe(took_ms / MS_PER_SECOND)

    def count_decision(self, cell: str, kind: str) -> None:
        """Takes in one decision."""
        self._decisions.labels(cell, kind).inc()

    def run(
        self, partner: str, class_name: str, outcome: str, ran_ms: float
    ) -> None:
        """Takes in one ended run."""
        labels = self._runs.labels(partner, class_name, outcome)
        labels.observe(ran_ms / MS_PER_SECOND)

    def text(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return prom.generate_latest(self.registry)
