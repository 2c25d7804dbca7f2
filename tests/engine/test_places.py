"""The store has the place of each long-running task before it starts there."""

import unittest

from limpetyard.engine import Engine, RunEndKind, RunReport, Start
from limpetyard.engine._worker import WorkerRun
from limpetyard.jobs import StepSpec, apply_progress, encode_progress
from tests.engine.test_engine import LEASE_MS, ONE_CORE, EngineTestCase, entry
from tests.engine.test_engine import job as job_spec

LONG_RUNNING = StepSpec(1, ONE_CORE, long_running=True)


class PlacesTestCase(EngineTestCase):
    """Base of tests with one long-running task."""

    def setUp(self):
        """Starts the task."""
        super().setUp()
        self.spec = job_spec(1, LONG_RUNNING)
        self.job = self.submit(self.spec)
        self.task = self.job.task(0, 0, 0)
        (self.start,) = self.start_all()

    def is_recorded(self, worker: str) -> bool:
        """Returns whether a later owner would know of a run on a worker."""
        return self.engine.is_place_recorded(self.task.key, worker)

    def store(self) -> bytes:
        """Stores all changes; returns the progress of the job."""
        _, batch = self.engine.pop_dirty()
        self.engine.on_stored(batch)
        return encode_progress(self.job, 0.0)

    def move(self) -> Start:
        """Loses the run, and places the task on the other worker."""
        self.poll(self.start.worker, drop=(self.task.key,))
        self.engine.workers[self.start.worker].backoff_until_ms = 1e9
        (start,) = self.start_all()
        self.assertNotEqual(start.worker, self.start.worker)
        return start


class RecordTest(PlacesTestCase):
    """When a place counts as recorded."""

    def test_after_the_append(self):
        """A start is sent while the append is in progress."""
        self.assertFalse(self.is_recorded(self.start.worker))
        _, batch = self.engine.pop_dirty()
        self.assertFalse(self.is_recorded(self.start.worker))
        self.engine.on_stored(batch)
        self.assertTrue(self.is_recorded(self.start.worker))

    def test_rejected_append(self):
        """A rejected append counts as stored, or is not repeated."""
        _, batch = self.engine.pop_dirty()
        self.engine.on_store_rejected(batch)
        self.assertFalse(self.is_recorded(self.start.worker))
        self.store()
        self.assertTrue(self.is_recorded(self.start.worker))

    def test_move_during_an_append(self):
        """An append with the former place confirms the new one."""
        _, batch = self.engine.pop_dirty()
        moved = self.move()
        self.engine.on_stored(batch)
        self.assertFalse(self.is_recorded(moved.worker))
        self.store()
        self.assertTrue(self.is_recorded(moved.worker))

    def test_return_during_an_append(self):
        """A task is back where it was while another place is being stored."""
        self.store()
        self.move()
        self.engine.pop_dirty()
        self.assertFalse(self.is_recorded(self.start.worker))

    def test_restart_in_place(self):
        """A restart on the same worker waits for the store."""
        self.store()
        self.poll(self.start.worker, drop=(self.task.key,))
        self.task.avoided_worker = ""
        (again,) = self.start_all()
        self.assertEqual(again.worker, self.start.worker)
        self.assertTrue(self.is_recorded(again.worker))

    def test_other_tasks(self):
        """A task that is not long-running waits for the store."""
        self.submit(job_spec(2, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        self.assertTrue(self.engine.is_place_recorded(start.task, start.worker))


class TakeoverTestCase(PlacesTestCase):
    """Base of tests of what a new owner waits for."""

    def take_over(self, stored: bytes | None, trusted: bool = True) -> None:
        """Replaces the owner; only `answering` workers reply to it."""
        former = self.engine
        self.engine = Engine(former.epoch + 1, former.params)
        self.engine.places_trusted = trusted
        self.job = self.submit(self.spec, loaded=True)
        if stored is not None:
            apply_progress(self.job, stored, self.now_ms)
        if not trusted:
            self.job.forget_places()
        self.task = self.job.task(0, 0, 0)
        for worker_id in former.workers:
            worker = self.engine.set_entry(
                former.workers[worker_id].entry, self.now_ms
            )
            worker.prior_lease_end_ms = self.now_ms + LEASE_MS
        recorded = dict.fromkeys(former.workers, (1, False))
        self.engine.set_recorded_workers(recorded)

    def answer(self, worker_id: str) -> None:
        """Has a worker reply to the new owner for the first time."""
        self.poll(worker_id, first_poll=True)

    def other_worker(self) -> str:
        """Returns the worker on which the task is not."""
        return next(w for w in ("w-0", "w-1") if w != self.start.worker)


class TakeoverTest(TakeoverTestCase):
    """What a new owner waits for, beside workers that do not answer."""

    def test_silent_place(self):
        """A task starts a second time while its worker may run it."""
        self.take_over(self.store())
        self.answer(self.other_worker())
        self.assertEqual(self.plan(Start), [])
        self.now_ms += LEASE_MS + 1
        self.answer(self.other_worker())
        (start,) = self.plan(Start)
        self.assertEqual(start.worker, self.other_worker())

    def test_silent_other_worker(self):
        """A task waits for a worker on which it never was."""
        self.take_over(self.store())
        self.answer(self.start.worker)
        (start,) = self.plan(Start)
        self.assertEqual(start.worker, self.start.worker)

    def test_never_placed(self):
        """A task that was never placed waits for silent workers."""
        self.take_over(None)
        self.answer("w-0")
        self.assertEqual(len(self.plan(Start)), 1)

    def test_release_is_stored(self):
        """A task waits for a worker that certainly lost its run."""
        self.store()
        self.poll(self.start.worker, drop=(self.task.key,))
        self.take_over(self.store())
        self.answer(self.other_worker())
        self.assertEqual(len(self.plan(Start)), 1)

    def test_untrusted_places(self):
        """Stored places of an owner that did not keep them are believed."""
        self.take_over(self.store(), trusted=False)
        self.answer(self.start.worker)
        self.assertEqual(self.plan(Start), [])
        self.take_over(self.store())
        self.answer(self.start.worker)
        self.assertEqual(self.plan(Start), [])

    def test_places_known_again(self):
        """Once all workers have answered, places stay unknown."""
        self.take_over(self.store(), trusted=False)
        self.answer("w-0")
        self.answer("w-1")
        self.plan()
        self.take_over(self.store())
        self.answer(self.start.worker)
        self.assertEqual(len(self.plan(Start)), 1)

    def test_found_run(self):
        """A run that the new owner found is not in the next record."""
        self.take_over(None, trusted=False)
        self.add(entry(0))
        self.add(entry(1))
        (self.start,) = self.start_all()
        self.take_over(self.store())
        self.answer(self.other_worker())
        self.assertEqual(self.plan(Start), [])


class UnstartedTest(TakeoverTestCase):
    """Which tasks an owner reports to have no run, and what that changes."""

    def setUp(self):
        """Stores the place of the task."""
        super().setUp()
        self.store()

    def report(self) -> tuple:
        """Returns the tasks that the present owner reports."""
        return self.engine.unstarted_tasks()

    def place_elsewhere(self) -> WorkerRun:
        """Places the task on the other worker, without an order."""
        self.move()
        self.store()
        (run,) = self.engine.workers[self.other_worker()].runs.values()
        run.acked_ms = None
        return run

    def test_place_without_an_order(self):
        """A task waits for a worker that never got an order for it."""
        self.place_elsewhere()
        reported = self.report()
        self.assertEqual(reported, (self.task.key,))
        self.take_over(self.store())
        self.answer(self.start.worker)
        self.assertEqual(self.plan(Start), [])
        self.engine.on_unstarted_tasks(reported)
        self.assertEqual(self.report(), reported)
        (start,) = self.plan(Start)
        self.assertEqual(start.worker, self.start.worker)

    def test_sent_order(self):
        """A task is reported although a sent order may start it."""
        self.place_elsewhere().add_start_expiry(self.now_ms + 2000)
        self.assertEqual(self.report(), ())

    def test_running_task(self):
        """A task that runs is reported."""
        self.assertEqual(self.report(), ())

    def test_older_run_that_still_stops(self):
        """A task is reported although an older run of it stops elsewhere."""
        self.place_elsewhere()
        report = RunReport(self.task.key, self.start.run, "", 100, 0.0)
        self.poll(self.start.worker, extra=(report,))
        self.assertEqual(self.report(), ())

    def test_restarted_worker(self):
        """A task is reported although a late order may start it."""
        self.poll(self.start.worker, born=2, drop=(self.task.key,))
        self.assertEqual(self.task.restarted_worker, self.start.worker)
        self.assertEqual(self.report(), ())

    def test_unknown_run(self):
        """A task is reported by an owner that does not know its run."""
        self.take_over(self.store())
        self.assertEqual(self.report(), ())

    def test_stored_end(self):
        """A task is reported without need, as the store has no place."""
        self.end(self.start, RunEndKind.STOPPED)
        self.assertEqual(self.report(), (self.task.key,))
        self.store()
        self.assertEqual(self.report(), ())

    def test_report_about_a_run_that_was_found(self):
        """A task that runs is started a second time."""
        self.take_over(self.store())
        report = RunReport(self.task.key, self.start.run, "", 100, 0.0)
        self.answer(self.other_worker())
        self.poll(self.start.worker, extra=(report,), first_poll=True)
        self.engine.on_unstarted_tasks((self.task.key,))
        self.assertEqual(self.task.state, "placed")
        self.assertEqual(self.plan(Start), [])


if __name__ == "__main__":
    unittest.main()
