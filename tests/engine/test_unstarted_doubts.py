"""Doubts about what an owner reports of tasks without a run."""

import unittest

import msgspec

from limpetyard.engine import RunEndKind, RunReport, Start
from limpetyard.jobs import (
    TaskKey,
)
from limpetyard.node import RemainingLeases
from tests.engine.test_places import TakeoverTestCase


class RecordedPlaceTest(TakeoverTestCase):
    """Places that are not stored, or not trusted."""

    def test_job_that_is_left_out(self):
        """The end of a run counts as stored, although its job was left out."""
        self.store()
        self.end(self.start, RunEndKind.STOPPED)
        _, batch = self.engine.pop_dirty()
        self.engine.on_stored(batch, {self.spec.id})
        self.assertEqual(self.engine.unstarted_tasks(), (self.task.key,))

    def test_rejected_append(self):
        """The end of a run counts as stored after a rejected append."""
        self.store()
        self.end(self.start, RunEndKind.STOPPED)
        _, batch = self.engine.pop_dirty()
        self.engine.on_store_rejected(batch)
        self.assertEqual(self.engine.unstarted_tasks(), (self.task.key,))

    def test_start_after_the_report_is_stored(self):
        """TWICE: the next owner but one takes a started task for none."""
        stored = self.store()
        self.end(self.start, RunEndKind.STOPPED)
        reported = self.engine.unstarted_tasks()
        self.take_over(stored)
        self.engine.on_unstarted_tasks(reported)
        self.answer(self.other_worker())
        _, batch = self.engine.pop_dirty()
        (start,) = self.plan(Start)
        self.engine.on_stored(batch)
        self.assertFalse(
            self.engine.is_place_recorded(start.task, start.worker)
        )
        progress = self.store()
        self.assertTrue(self.engine.is_place_recorded(start.task, start.worker))
        self.take_over(progress)
        self.assertEqual(self.task.possible_worker, start.worker)

    def test_report_to_an_owner_that_trusts_no_places(self):
        """TWICE: its own start is not known to the next owner."""
        stored = self.store()
        self.end(self.start, RunEndKind.STOPPED)
        reported = self.engine.unstarted_tasks()
        self.take_over(stored, trusted=False)
        self.engine.on_unstarted_tasks(reported)
        self.answer(self.other_worker())
        (start,) = self.plan(Start)
        self.take_over(self.store())
        silent = start.worker
        answering = next(w for w in ("w-0", "w-1") if w != silent)
        self.answer(answering)
        self.assertEqual(self.plan(Start), [])

    def test_cancelled_job(self):
        """A task of a cancelled job is reported, or starts."""
        stored = self.store()
        self.end(self.start, RunEndKind.STOPPED)
        reported = self.engine.unstarted_tasks()
        self.engine.cancel_job(self.spec.id, self.now_ms)
        self.assertEqual(self.engine.unstarted_tasks(), ())
        self.take_over(stored)
        self.engine.cancel_job(self.spec.id, self.now_ms)
        self.engine.on_unstarted_tasks(reported)
        self.answer(self.other_worker())
        self.assertEqual(self.plan(Start), [])

    def test_repeated_report(self):
        """TWICE: the report, applied again, makes a started task wait."""
        stored = self.store()
        self.end(self.start, RunEndKind.STOPPED)
        reported = self.engine.unstarted_tasks()
        self.take_over(stored)
        self.engine.on_unstarted_tasks(reported)
        self.answer(self.other_worker())
        (start,) = self.start_all()
        self.engine.on_unstarted_tasks(reported)
        self.assertEqual(self.plan(Start), [])
        # Its worker restarts: a late order may start it there.
        self.poll(start.worker, born=2)
        self.engine.on_unstarted_tasks(reported)
        task = self.engine.find_task(start.task)
        self.assertEqual(task.restarted_worker, start.worker)


class UntoldTest(TakeoverTestCase):
    """Which tasks an owner reports as started by earlier owners only."""

    def setUp(self):
        """Takes over while the worker of the task is silent."""
        super().setUp()
        self.take_over(self.store())
        self.answer(self.other_worker())

    def test_task_that_waits(self):
        """The next owner does not ask for a task that waits."""
        self.assertEqual(self.engine.untold_tasks(), (self.task.key,))
        self.assertEqual(self.engine.unstarted_tasks(), ())

    def test_told(self):
        """The next owner asks once more."""
        self.engine.on_unstarted_tasks((self.task.key,))
        self.assertEqual(self.engine.untold_tasks(), ())
        self.assertEqual(self.engine.unstarted_tasks(), (self.task.key,))

    def test_started_task(self):
        """TWICE: the next owner believes a report from before a start."""
        self.answer(self.start.worker)
        (start,) = self.start_all()
        self.assertEqual(self.engine.untold_tasks(), ())
        # Nor after the run is lost.
        self.poll(start.worker, drop=(self.task.key,))
        self.assertEqual(self.task.state, "waiting")
        self.assertEqual(self.engine.untold_tasks(), ())

    def test_run_that_was_found(self):
        """TWICE: the next owner believes a report that a run disproves."""
        report = RunReport(self.task.key, self.start.run, "", 100, 0.0)
        self.poll(self.start.worker, extra=(report,), first_poll=True)
        self.assertEqual(self.engine.untold_tasks(), ())

    def test_older_run_that_stops(self):
        """TWICE: the same for an older run, which is being stopped."""
        self.task.run = self.start.run + 1
        report = RunReport(self.task.key, self.start.run, "", 100, 0.0)
        self.poll(self.start.worker, extra=(report,), first_poll=True)
        self.assertEqual(self.task.state, "waiting")
        self.assertTrue(self.task.may_be_running)
        self.assertEqual(self.engine.untold_tasks(), ())
        # A late order may start it again.
        self.poll(self.start.worker, born=2)
        self.assertTrue(self.task.may_be_running)
        self.assertEqual(self.engine.untold_tasks(), ())

    def test_restarted_worker(self):
        """TWICE: a late order may start a run that was found."""
        report = RunReport(self.task.key, self.start.run, "", 100, 0.0)
        self.poll(self.start.worker, extra=(report,), first_poll=True)
        self.poll(self.start.worker, born=2)
        self.assertEqual(self.task.restarted_worker, self.start.worker)
        self.assertEqual(self.engine.untold_tasks(), ())

    def test_cancelled_job(self):
        """A task of a cancelled job is asked for."""
        self.engine.cancel_job(self.spec.id, self.now_ms)
        self.assertEqual(self.engine.untold_tasks(), ())

    def test_task_without_a_place(self):
        """A task that needs no report is asked for."""
        self.take_over(None)
        self.assertEqual(self.engine.untold_tasks(), ())


class StrayRunTest(TakeoverTestCase):
    """A run that was found, and that its task does not need."""

    def setUp(self):
        """Finds a run that is older than the stored one."""
        super().setUp()
        self.take_over(self.store())
        self.answer(self.other_worker())
        self.task.run = self.start.run + 1
        report = RunReport(self.task.key, self.start.run, "", 100, 0.0)
        self.poll(self.start.worker, extra=(report,), first_poll=True)
        self.assertEqual(self.task.state, "waiting")

    def test_run_that_is_being_stopped(self):
        """TWICE: the task started while an older run was being stopped."""
        self.assertEqual(self.plan(Start), [])
        self.now_ms += 1000
        self.answer(self.other_worker())
        self.poll(self.start.worker, drop=(self.task.key,))
        self.assertEqual(len(self.plan(Start)), 1)

    def test_worker_that_is_gone(self):
        """LOST: the task waited for a run whose worker is gone."""
        worker = self.engine.workers[self.start.worker]
        self.engine.on_worker_replaced(worker, self.now_ms)
        self.answer(self.other_worker())
        self.assertEqual(len(self.plan(Start)), 1)

    def test_dropped_worker(self):
        """LOST: the same, of a worker that is not known any more."""
        del self.engine.workers[self.start.worker]
        self.answer(self.other_worker())
        self.assertEqual(len(self.plan(Start)), 1)


class ReplyTest(unittest.TestCase):
    """The reply as other releases send and read it."""

    def test_round_trip(self):
        """The tasks are lost, or those of another type, on the wire."""
        key = TaskKey("1" * 16, 0, 0, 7)
        leases = RemainingLeases(
            3, {"w": 1.0}, unstarted=(key,) * 1000, untold=(key,) * 1000
        )
        data = msgspec.json.encode(leases)
        decoded = msgspec.json.decode(data, type=RemainingLeases | None)
        self.assertEqual(decoded, leases)

    def test_reply_of_an_earlier_release(self):
        """A reply without the field is not read."""
        data = b'{"epoch":3,"left_ms":{"w":1.0}}'
        decoded = msgspec.json.decode(data, type=RemainingLeases | None)
        self.assertEqual(decoded.unstarted, ())
        self.assertEqual(decoded.untold, ())


if __name__ == "__main__":
    unittest.main()
