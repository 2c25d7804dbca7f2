"""Tests of the metrics of a node."""

import tomllib
import unittest
from pathlib import Path

from limpetyard._event_list import EVENTS
from limpetyard.engine import Engine, EngineParams
from limpetyard.node._gauges import cell_gauges, site_gauges
from limpetyard.node._metrics import _COUNTERS, _HISTOGRAMS, NodeMetrics
from limpetyard.platform._settings import METRICS_PORT_ENV
from tests.engine.test_engine import entry

DEPLOY = Path(__file__).parents[2] / "deploy" / "system.toml"


class NodeMetricsTest(unittest.IsolatedAsyncioTestCase):
    """Counters, histograms and gauges in the exposed text."""

    async def text(self, metrics: NodeMetrics) -> str:
        """Returns the exposed metrics."""
        return (await metrics.handle(None)).body.decode()

    async def test_event_is_timed(self):
        """An event with a duration is observed in its histogram in seconds."""
        metrics = NodeMetrics(list)
        fields = {"job": "1", "queue": "q", "steps": 1, "took_ms": 15.0}
        metrics.count_event("job_accepted", fields)
        text = await self.text(metrics)
        self.assertIn('hand_in_seconds_sum{queue="q"} 0.015', text)
        self.assertIn('limpetyard_events_total{event="job_accepted"} 1.0', text)

    async def test_event_is_counted_by_its_labels(self):
        """An event with a kind increments its labelled counter."""
        metrics = NodeMetrics(list)
        metrics.count_event("request_refused", {"kind": "not_ready"})
        text = await self.text(metrics)
        self.assertIn('requests_refused_total{kind="not_ready"} 1.0', text)

    async def test_gauges(self):
        """Gauges are read at each scrape."""
        engine = Engine(7, EngineParams(5000, 5000))
        engine.set_entry(entry(0), 0.0)
        metrics = NodeMetrics(
            lambda: site_gauges(3, 1, 200.0, 100.0) + cell_gauges(engine, 0.0)
        )
        text = await self.text(metrics)
        self.assertIn("limpetyard_config_version 3.0", text)
        self.assertIn("limpetyard_epoch 7.0", text)
        self.assertIn('limpetyard_workers{state="unsounded"} 1.0', text)
        self.assertIn(
            'limpetyard_workers_withheld{condition="unconfirmed"} 1.0', text
        )

    def test_specs_use_listed_fields(self):
        """Each histogram and counter uses only fields that its event has."""
        listed = {name: set(kind.fields) for name, kind in EVENTS.items()}
        listed["call_done"] = {"to", "call", "outcome", "took_ms"}
        listed["plan_done"] = {"took_ms"}
        for name, spec in _HISTOGRAMS.items():
            self.assertLessEqual(
                {spec.duration_field, *spec.labels}, listed[name]
            )
        for name, spec in _COUNTERS.items():
            self.assertLessEqual(set(spec.labels), listed[name])

    def test_deployed_metrics_port(self):
        """The deployment scrapes the port on which the process listens."""
        role = tomllib.loads(DEPLOY.read_text(encoding="utf-8"))["roles"][
            "node"
        ]
        self.assertEqual(
            role["metrics"], f"{role['env'][METRICS_PORT_ENV]}/metrics"
        )


if __name__ == "__main__":
    unittest.main()
