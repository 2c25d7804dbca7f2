"""Tests of what is known, and stored, of runs whose start was answered."""

import math
import unittest

from limpetyard.engine import RunReport, Start, StartResult
from limpetyard.engine._engine import (
    ANSWERS_DELAY_PER_TASK_MS,
    MAX_ANSWERS_DELAY_MS,
)
from limpetyard.engine._worker import MAX_ORDER_DELAY_MS, WorkerRun
from limpetyard.jobs import (
    AnsweredPlace,
    Job,
    StepSpec,
    apply_progress,
    encode_progress,
)
from tests.engine.test_engine import ONE_CORE, EngineTestCase, entry, job

READING_MS = 70_000


class AnsweredPlaceTest(EngineTestCase):
    """A run is known to have begun in the present incarnation."""

    workers = 1

    def start(self, late_clock_ms: float = 0.0, **step):
        """Starts a task whose start is answered; returns it.

        Args:
            late_clock_ms: Added to the reading in the reply.
            **step: Arguments of the step.
        """
        step_spec = StepSpec(step.pop("count", 1), ONE_CORE, **step)
        self.job = self.engine.add_job(job(1, step_spec), self.now_ms, False)
        (effect,) = self.engine.plan(self.now_ms, 0.0, 1)
        worker = self.engine.workers["w-0"]
        self.now_ms += 1
        worker.set_clock(READING_MS, self.now_ms)
        run = worker.runs[effect.task, effect.run]
        run.add_start_expiry(READING_MS + 1000, self.now_ms)
        self.now_ms += 200
        self.engine.on_start_reply(
            effect,
            StartResult.STARTED,
            self.now_ms,
            READING_MS + 200 + late_clock_ms,
        )
        return self.engine.find_task(effect.task)

    def test_clock_of_the_incarnation(self):
        """The clock in the reply shows which incarnation has begun the run."""
        self.assertEqual(
            self.start().answered, AnsweredPlace("w-0", 1, 3, sole=True)
        )

    def test_clock_of_another_incarnation(self):
        """TWICE: a later incarnation, not known yet, may have begun it."""
        for late_clock_ms in (-READING_MS, -250.0, 150.0, 10_000.0):
            with self.subTest(late_clock_ms):
                self.setUp()
                self.assertIsNone(self.start(late_clock_ms).answered)

    def test_other_kinds_of_tasks(self):
        """Gangs and tasks of which copies run start in several places."""
        for step in ({"gang": True}, {"copies": True}):
            with self.subTest(step):
                self.setUp()
                self.assertIsNone(self.start(**step).answered)

    def test_late_orders_of_an_earlier_owner(self):
        """TWICE: they may reach a later incarnation of the worker."""
        self.engine.predecessor_until_ms = self.now_ms + 1
        self.engine.workers["w-0"].token_confirmed = True
        task = self.start()
        self.assertTrue(self.job.inherited)
        self.assertIsNone(task.answered)
        self.now_ms += MAX_ORDER_DELAY_MS
        self.poll("w-0")
        self.assertIsNotNone(task.answered)

    def test_stray_run(self):
        """TWICE: the answer of one run says nothing of another one."""
        task = self.start()
        self.add(entry(1))
        stray = RunReport(task.key, task.run + 5, "", 100, 0.0)
        self.poll("w-1", extra=(stray,))
        (run,) = self.engine.workers["w-1"].runs.values()
        self.assertTrue(run.may_outlast_incarnation(self.now_ms))

    def check_delay(self, tasks: int, delay_ms: float) -> None:
        """Checks when the answered place of a task of a job is stored.

        Args:
            tasks: Number of tasks of the job.
            delay_ms: Time after which it must be stored, and not before.
        """
        self.start(count=tasks)
        self.assertEqual(self.engine.answers_due_ms, self.now_ms + delay_ms)
        self.now_ms += 0.9 * delay_ms
        self.engine.plan(self.now_ms, 0.0)
        self.assertFalse(self.job.dirty)
        self.now_ms += 0.1 * delay_ms
        self.engine.plan(self.now_ms, 0.0)
        self.assertTrue(self.job.dirty)
        self.assertEqual(self.engine.answers_due_ms, math.inf)

    def test_stored_once_for_all(self):
        """Answered places are stored a little later, in one append."""
        self.check_delay(5, 5 * ANSWERS_DELAY_PER_TASK_MS)

    def test_stored_once_for_a_wide_job(self):
        """Each append has all tasks of the job, but comes in time."""
        self.check_delay(9999, MAX_ANSWERS_DELAY_MS)

    def test_worker_is_barred_until_the_store_forgets(self):
        """TWICE: a later owner would not expect a start there."""
        task = self.start()
        self.job.dirty = True
        _, batch = self.engine.pop_dirty()
        self.engine.on_stored(batch)
        self.assertEqual(task.recorded_answers, {"w-0"})
        self.engine.workers["w-0"].runs.clear()
        self.engine.release_task(task, self.now_ms)
        self.assertEqual(self.engine.plan(self.now_ms, 0.0), [])
        self.assertTrue(self.job.dirty)
        _, batch = self.engine.pop_dirty()
        self.assertEqual(self.engine.plan(self.now_ms, 0.0), [])
        self.engine.on_stored(batch)
        self.assertEqual(len(self.engine.plan(self.now_ms, 0.0)), 1)

    def test_next_owner(self):
        """Its task need not wait for a later incarnation of that worker."""
        self.start()
        restored = Job(self.job.spec, 0.0)
        apply_progress(restored, encode_progress(self.job, 0.0), 0.0)
        restored.mark_inherited()
        task = restored.task(0, 0, 0)
        self.assertEqual(task.recorded_answers, {"w-0"})
        self.assertTrue(task.may_run_on({"w-0": 2}))
        task.inherited_answer = task.answered
        self.assertFalse(task.may_run_on({"w-0": 2}))
        self.assertTrue(task.may_run_on({"w-0": 1}))
        self.assertTrue(task.may_run_on({"w-0": 2, "w-1": 1}))

    def test_unanswered_start_elsewhere(self):
        """TWICE: it may be carried out after the next owner has ended."""
        task = self.start(long_running=True)
        self.engine.on_start_unanswered(
            Start("w-1", task.key, 1, "", "", "", ""), 1, self.now_ms
        )
        task.answered = task.start_doubt = None
        self.poll("w-0")
        self.assertEqual(task.answered, AnsweredPlace("w-0", 1, 3, sole=False))
        self.now_ms += MAX_ORDER_DELAY_MS
        self.poll("w-0")
        self.assertEqual(task.answered, AnsweredPlace("w-0", 1, 3, sole=True))

    def test_unanswered_start_on_the_same_worker(self):
        """TWICE: a later incarnation may carry out that of an earlier run.

        Its doubt has ended, as the task is long-running.
        """
        task = self.start(long_running=True)
        worker = self.engine.workers["w-0"]
        earlier = WorkerRun(task.key, task.run - 1, task.step, self.now_ms)
        worker.record_pending_start(earlier, self.now_ms)
        task.answered = None
        self.poll("w-0")
        self.assertIsNone(task.answered)
        self.now_ms += MAX_ORDER_DELAY_MS
        self.poll("w-0")
        self.assertIsNotNone(task.answered)


class EarlierStartsTest(EngineTestCase):
    """Start orders of earlier owners may be left, or not."""

    workers = 1

    def load(
        self,
        place: str | None = "",
        run: int = 0,
        answer: AnsweredPlace | None = None,
        long_running: bool = True,
    ) -> bool:
        """Returns whether none is left of a task that was loaded so."""
        step = StepSpec(1, ONE_CORE, long_running=long_running)
        loaded = Job(job(1, step), 0.0)
        loaded.mark_inherited()
        task = loaded.task(0, 0, 0)
        task.run, task.possible_worker = run, place
        task.inherited_answer = answer
        loaded.exclude_earlier_starts()
        return task.earlier_starts_over

    def test_tasks_that_were_never_placed(self):
        """Their places would be stored, if all owners store places."""
        self.assertTrue(self.load())
        self.assertFalse(self.load(place=None))
        self.assertFalse(self.load(long_running=False))

    def test_tasks_that_were_placed(self):
        """A late start may be left at the stored place, or one before it."""
        self.assertFalse(self.load(run=1))
        self.assertFalse(self.load("w-0", run=1))

    def test_answered_places(self):
        """None was left then, and none was sent elsewhere since."""
        for place, sole, expected in (
            ("w-0", True, True),
            ("w-0", False, False),
            ("w-1", True, False),
            ("", True, False),
            (None, True, False),
        ):
            with self.subTest(place=place, sole=sole):
                answer = AnsweredPlace("w-0", 1, 3, sole)
                self.assertIs(self.load(place, 1, answer), expected)

    def test_jobs_that_arrive_later(self):
        """Earlier owners can store no places, nor can others be known."""
        self.engine.predecessor_until_ms = math.inf
        for number, trusted, long_running in (
            (1, True, True),
            (2, False, True),
            (3, True, False),
        ):
            self.engine.places_trusted = trusted
            step = StepSpec(1, ONE_CORE, long_running=long_running)
            added = self.engine.add_job(job(number, step), self.now_ms, False)
            (task,) = added.tasks.values()
            self.assertIs(task.earlier_starts_over, trusted and long_running)


if __name__ == "__main__":
    unittest.main()
