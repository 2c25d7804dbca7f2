"""Counts of work in the logs."""

import unittest

from limpetyard._events import add_listener
from limpetyard.engine._census import COUNT_INTERVAL_MS
from limpetyard.engine._strain import Strain
from limpetyard.jobs import Resources, StepSpec
from tests.engine.test_engine import ONE_CORE, EngineTestCase, job

LINES: list[tuple[str, dict[str, object]]] = []


def _collect(name: str, fields: dict[str, object]) -> None:
    if name in ("work_counted", "room_counted"):
        LINES.append((name, fields))


add_listener(_collect)


class CensusTest(EngineTestCase):
    """Counts by kind of work."""

    def setUp(self):
        """Drops the lines of other tests."""
        super().setUp()
        LINES.clear()

    def test_counts(self):
        """Each task is counted once, as waiting or running."""
        serving = StepSpec(
            2, ONE_CORE, long_running=True, image="web", target_ms=10.0
        )
        self.submit(job(1, serving))
        self.submit(job(2, StepSpec(9, ONE_CORE)))
        self.submit(job(3, StepSpec(1, Resources(500, 10, 0), fills=True)))
        self.start_all()
        paced = self.runs("filling")[0]
        paced.speed_percent = 0
        self.runs("serving")[0].strain = Strain(self.now_ms, self.now_ms)
        LINES.clear()
        self.now_ms += COUNT_INTERVAL_MS
        self.plan()
        counts = {
            fields["kind"]: fields
            for name, fields in LINES
            if name == "work_counted"
        }
        self.assertEqual(counts["plain"]["running"], 6)
        self.assertEqual(counts["plain"]["waiting"], 3)
        self.assertEqual(counts["serving"]["over_target"], 1)
        self.assertEqual(counts["filling"]["paused"], 1)
        self.assertEqual(counts["filling"]["slowed"], 1)

    def test_interval(self):
        """Each round of planning writes lines."""
        self.plan()
        LINES.clear()
        self.now_ms += 10
        self.plan()
        self.assertEqual(LINES, [])

    def runs(self, kind: str) -> list:
        """Returns the runs of long-running or of best-effort tasks."""
        return [
            run
            for worker in self.engine.workers.values()
            for run in worker.runs.values()
            if (run.step.fills if kind == "filling" else run.step.long_running)
        ]


if __name__ == "__main__":
    unittest.main()
