"""Doubts about what an owner reports of tasks without a run."""

import unittest

import msgspec

from limpetyard.engine import RunEndKind, Start
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


class ReplyTest(unittest.TestCase):
    """The reply as other releases send and read it."""

    def test_round_trip(self):
        """The tasks are lost, or those of another type, on the wire."""
        key = TaskKey("1" * 16, 0, 0, 7)
        leases = RemainingLeases(3, {"w": 1.0}, unstarted=(key,) * 1000)
        data = msgspec.json.encode(leases)
        decoded = msgspec.json.decode(data, type=RemainingLeases | None)
        self.assertEqual(decoded, leases)

    def test_reply_of_an_earlier_release(self):
        """A reply without the field is not read."""
        data = b'{"epoch":3,"left_ms":{"w":1.0}}'
        decoded = msgspec.json.decode(data, type=RemainingLeases | None)
        self.assertEqual(decoded.unstarted, ())


if __name__ == "__main__":
    unittest.main()
