"""Randomized restarts of workers behind a cut, with fixed seeds."""

import unittest
from unittest import mock

from loguru import logger

from limpetyard.engine import Engine
from limpetyard.engine._run_ends import RunEndHandler
from limpetyard.jobs import AnsweredPlace, Task
from tests.exploring import restart_storms

SEEDS = range(1, 20)


class RestartStormTest(unittest.TestCase):
    """Randomized restarts beside lost owners violate no rule."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def test_seeds(self):
        """Fixed seeds pass."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(restart_storms.run_schedule(seed), [])


class RestartGuardTest(unittest.TestCase):
    """The storms detect that an owner waits for too few workers: TWICE."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def assert_detects(self, seeds: range) -> None:
        """Checks that the schedule of some seed runs a task twice."""
        for seed in seeds:
            found = restart_storms.run_schedule(seed)
            if any(violation.startswith("TWICE") for violation in found):
                return
        self.fail(f"no seed in {seeds} runs a task twice")

    def test_steps_after_ended_runs(self):
        """Steps after a run that has ended count as not started."""
        handle_end = RunEndHandler._handle_end

        def exclude_later_steps(handler, worker, end, now_ms) -> None:
            job = handler._engine.jobs.get(end.task.job)
            if job is not None:
                job.exclude_inherited_runs(end.task.occurrence, end.task.step)
            handle_end(handler, worker, end, now_ms)

        with mock.patch.object(
            RunEndHandler, "_handle_end", exclude_later_steps
        ):
            self.assert_detects(range(12, 50))

    def test_planned_starts(self):
        """A start counts as answered once it is planned."""
        add_run = Engine.add_run

        def add_answered_run(engine: Engine, worker, run) -> None:
            add_run(engine, worker, run)
            task = engine.find_task(run.task)
            if task is not None and run.run == task.run:
                task.answered = AnsweredPlace(
                    worker.id, worker.born, engine.epoch
                )
                engine._unstored_answers[run.task.job] = 0.0

        with mock.patch.object(Engine, "add_run", add_answered_run):
            self.assert_detects(range(133, 160))

    def test_incarnation_that_lives(self):
        """An answered run counts as ended while its incarnation may live."""
        may_run_on = Task.may_run_on

        def ignore_born(task: Task, unconfirmed) -> bool:
            place = task.inherited_answer
            others = {
                worker: born
                for worker, born in unconfirmed.items()
                if place is None or worker != place.worker
            }
            return may_run_on(task, others)

        with mock.patch.object(Task, "may_run_on", ignore_born):
            self.assert_detects(range(1, 20))


if __name__ == "__main__":
    unittest.main()
