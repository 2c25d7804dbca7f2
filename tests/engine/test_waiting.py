"""Tests of the reports on long-running tasks that wait."""

import unittest

import msgspec

from limpetyard._events import add_listener
from limpetyard.engine._waiting import RoundState, WaitReporter
from limpetyard.jobs import Resources, StepSpec
from tests.engine.test_engine import ONE_CORE, EngineTestCase, entry, job

REPORTS: list[dict[str, object]] = []


def _collect(name: str, fields: dict[str, object]) -> None:
    if name == "task_waiting":
        REPORTS.append(fields)


add_listener(_collect)


class WaitingTaskTest(EngineTestCase):
    """Each reason for which a long-running task waits is reported."""

    def setUp(self):
        """Runs a first round without jobs, from which waits are counted."""
        super().setUp()
        self.engine.plan(1.0, 0.0)

    def reasons(self, at_ms: float, max_starts: int | None = None) -> list:
        """Plans at a time; returns the reported reasons."""
        REPORTS.clear()
        self.engine.plan(at_ms, 0.0, max_starts)
        return [fields["reason"] for fields in REPORTS]

    def add_task(self, need: Resources = ONE_CORE, loaded: bool = False):
        """Adds a job with one long-running task."""
        spec = job(1, StepSpec(1, need, long_running=True))
        return self.engine.add_job(spec, 0.0, loaded).task(0, 0, 0)

    def answer_polls(self, at_ms: float) -> None:
        """Makes all workers responsive, without runs."""
        for worker in self.engine.workers.values():
            worker.replied_ms = at_ms

    def test_no_room(self):
        """The task needs more than any worker has."""
        self.add_task(Resources(99_000, 1, 0))
        self.answer_polls(5000)
        self.assertEqual(self.reasons(5000), ["no_room"])

    def test_withheld(self):
        """The only worker with room gets no new work at present."""
        self.add_task(Resources(3000, 1, 0))
        self.answer_polls(5000)
        held, busy = self.engine.workers.values()
        held.recorded = False
        busy.entry = msgspec.structs.replace(busy.entry, capacity=ONE_CORE)
        self.assertEqual(self.reasons(5000), ["withheld"])
        self.assertIn(held.id, REPORTS[0]["detail"])
        self.assertEqual(REPORTS[0]["withheld"], "unrecorded:1")
        self.assertEqual(REPORTS[0]["withheld_free"], 4000)

    def test_no_room_beside_withheld(self):
        """Withheld workers that drain, or without room, are only counted."""
        self.add_task(Resources(3000, 1, 0))
        for number in (2, 3):
            self.add(entry(number))
        self.answer_polls(5000)
        busy, small, draining, missing = self.engine.workers.values()
        for worker in (busy, small):
            worker.entry = msgspec.structs.replace(
                worker.entry, capacity=ONE_CORE
            )
        small.backoff_until_ms = 6000.0
        draining.entry = msgspec.structs.replace(draining.entry, draining=True)
        missing.missing_since_ms = 4000.0
        self.assertEqual(self.reasons(5000), ["no_room"])
        self.assertEqual(
            REPORTS[0]["withheld"], "draining:1 missing:1 backoff:1"
        )
        self.assertEqual(REPORTS[0]["withheld_free"], 1000)

    def test_withheld_with_another_label(self):
        """A withheld worker has room, but not the label of the step."""
        spec = job(
            1, StepSpec(1, ONE_CORE, long_running=True, label="elsewhere")
        )
        self.engine.add_job(spec, 0.0, False)
        self.answer_polls(5000)
        next(iter(self.engine.workers.values())).recorded = False
        self.assertEqual(self.reasons(5000), ["no_room"])
        self.assertEqual(REPORTS[0]["withheld_free"], 0)

    def test_reported_once_in_an_interval(self):
        """A step that goes on waiting is not reported in each round."""
        self.add_task(Resources(99_000, 1, 0))
        self.answer_polls(5000)
        self.assertEqual(self.reasons(5000), ["no_room"])
        self.assertEqual(self.reasons(5100), [])

    def test_no_worker(self):
        """No worker has answered recently."""
        self.add_task()
        self.assertEqual(self.reasons(90_000), ["no_worker"])
        self.assertEqual(REPORTS[0]["withheld"], "silent:2")
        self.assertEqual(REPORTS[0]["withheld_free"], 4000)

    def test_earlier_owner(self):
        """A worker that is unconfirmed may run the inherited task."""
        self.add_task(loaded=True)
        worker = next(iter(self.engine.workers.values()))
        worker.token_confirmed = False
        worker.prior_lease_end_ms = 9000.0
        self.answer_polls(5000)
        self.assertEqual(self.reasons(5000), ["earlier_owner"])
        self.assertIn(worker.id, REPORTS[0]["detail"])

    def test_backoff(self):
        """The task has just been rejected."""
        self.add_task().retry_at_ms = 5050.0
        self.answer_polls(5000)
        self.assertEqual(self.reasons(5000), ["backoff"])

    def test_start_limit(self):
        """All starts of the round are in flight already."""
        self.add_task()
        self.answer_polls(5000)
        self.assertEqual(self.reasons(5000, 0), ["start_limit"])

    def test_wait_before_the_takeover(self):
        """Only the time for which this owner has decided counts."""
        self.add_task(Resources(99_000, 1, 0))
        self.answer_polls(5000)
        reporter = WaitReporter(self.engine)
        REPORTS.clear()
        for at_ms in (5000.0, 6000.0):
            reporter.report(RoundState(at_ms, {}, {}, 1))
        self.assertEqual(REPORTS, [])

    def test_short_wait(self):
        """A task that has just arrived is not reported."""
        self.add_task(Resources(99_000, 1, 0))
        self.answer_polls(1000)
        self.assertEqual(self.reasons(1000), [])


if __name__ == "__main__":
    unittest.main()
