"""Metrics of a node."""

import tomllib
import unittest
from pathlib import Path

from limpetyard._event_list import EVENTS
from limpetyard.engine import Engine, EngineParams
from limpetyard.node._gauges import cell_beliefs, site_beliefs
from limpetyard.node._metrics import _COUNTS, _FIGURES, NodeMetrics
from limpetyard.platform._settings import METRICS_PORT_ENV
from tests.engine.test_engine import entry

DEPLOY = Path(__file__).parents[2] / "deploy" / "system.toml"


class NodeMetricsTest(unittest.IsolatedAsyncioTestCase):
    """What is counted, and how it is told."""

    async def text(self, metrics: NodeMetrics) -> str:
        """Returns the page."""
        return (await metrics.handle(None)).body.decode()

    async def test_event_is_timed(self):
        """An event with a time goes into its histogram, in seconds."""
        metrics = NodeMetrics(list)
        fields = {"job": "1", "queue": "q", "steps": 1, "took_ms": 15.0}
        metrics.count_event("job_accepted", fields)
        text = await self.text(metrics)
        self.assertIn('hand_in_seconds_sum{queue="q"} 0.015', text)
        self.assertIn('limpetyard_events_total{event="job_accepted"} 1.0', text)

    async def test_event_is_counted_by_its_labels(self):
        """An event with a kind goes into its counter."""
        metrics = NodeMetrics(list)
        metrics.count_event("request_refused", {"kind": "not_ready"})
        text = await self.text(metrics)
        self.assertIn('requests_refused_total{kind="not_ready"} 1.0', text)

    async def test_beliefs(self):
        """What is believed is read when somebody asks."""
        engine = Engine(7, EngineParams(5000, 5000))
        engine.set_entry(entry(0), 0.0)
        metrics = NodeMetrics(
            lambda: site_beliefs(3, 1, 200.0, 100.0) + cell_beliefs(engine, 0.0)
        )
        text = await self.text(metrics)
        self.assertIn("limpetyard_config_version 3.0", text)
        self.assertIn("limpetyard_epoch 7.0", text)
        self.assertIn('limpetyard_workers{state="unsounded"} 1.0', text)

    def test_figures_follow_listed_fields(self):
        """Each figure is made of fields that its event has."""
        listed = {name: set(kind.fields) for name, kind in EVENTS.items()}
        listed["call_done"] = {"to", "call", "outcome", "took_ms"}
        for name, figure in _FIGURES.items():
            self.assertLessEqual({figure.value, *figure.labels}, listed[name])
        for name, count in _COUNTS.items():
            self.assertLessEqual(set(count.labels), listed[name])

    def test_port_is_told_once_to_each(self):
        """The platform and the process are told the same port."""
        role = tomllib.loads(DEPLOY.read_text(encoding="utf-8"))["roles"][
            "node"
        ]
        self.assertEqual(
            role["metrics"], f"{role['env'][METRICS_PORT_ENV]}/metrics"
        )


if __name__ == "__main__":
    unittest.main()
