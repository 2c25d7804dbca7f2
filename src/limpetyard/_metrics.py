"""Prometheus metrics of a daemon."""

import prometheus_client as prom

from limpetyard._clock import MS_PER_SECOND

_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class Metrics:
    """Metrics of one daemon, in a registry of its own.

    Attributes:
        cells_owned: Gauge of the cells that this daemon owns.
        config_age: Gauge of the seconds since the configuration was confirmed.
        registry: Registry of all these metrics.
    """

    __slots__ = (
        "_decisions",
        "_requests",
        "_runs",
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
            buckets=_BUCKETS_S,
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

    def observe_request(
        self,
        partner: str,
        service: str,
        batch: bool,
        outcome: str,
        took_ms: float,
    ) -> None:
        """Records a request that got its response after `took_ms`."""
        class_name = "batch" if batch else "urgent"
        labels = self._requests.labels(partner, service, class_name, outcome)
        labels.observe(took_ms / MS_PER_SECOND)

    def count_decision(self, cell: str, kind: str) -> None:
        """Counts a decision."""
        self._decisions.labels(cell, kind).inc()

    def observe_run(
        self, partner: str, class_name: str, outcome: str, ran_ms: float
    ) -> None:
        """Records a run that ended after `ran_ms`."""
        labels = self._runs.labels(partner, class_name, outcome)
        labels.observe(ran_ms / MS_PER_SECOND)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prom.generate_latest(self.registry)
