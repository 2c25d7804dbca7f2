"""What an owner knows of ends that are not stored."""

import unittest

from limpetyard.engine import PollReply, RunEndKind, RunEndReport, Start
from limpetyard.engine._worker import HEALTHY_RUN_MS
from limpetyard.jobs import TaskHistory, apply_history
from tests.engine.test_places import TakeoverTestCase


class EndTest(TakeoverTestCase):
    """What the previous owner knew of an end, beside that there is no run."""

    def end_and_take_over(self, kind: RunEndKind) -> None:
        """Ends the run; the end is not stored, and the worker lives."""
        stored = self.store()
        self.end(self.start, kind)
        self.pass_on(stored)
        self.answer(self.other_worker())

    def pass_on(self, stored: bytes, answering: str = "") -> None:
        """Has another owner take over and get the report.

        Args:
            stored: Stored progress of the job.
            answering: Worker that answers, with the end, before the report, if
                any.
        """
        reported = self.engine.unstarted_tasks()
        self.assertEqual(reported, (self.task.key,))
        histories = self.engine.task_histories(reported)
        self.take_over(stored)
        if answering:
            self.answer_with_end(answering)
        self.engine.on_unstarted_tasks(reported, histories)

    def answer_with_end(
        self,
        worker_id: str,
        kind: RunEndKind = RunEndKind.FAILED,
        checkpoint: str = "cp",
    ) -> None:
        """Has the worker of the run report its end to the present owner."""
        worker = self.engine.workers[worker_id]
        end = RunEndReport(1, self.task.key, self.start.run, kind, checkpoint)
        reply = PollReply(1, self.now_ms, [], [end])
        self.engine.on_poll_reply(worker, self.now_ms, reply, self.now_ms)

    def test_checkpoint(self):
        """A task starts from an older checkpoint than the stopped run saved.

        The worker with the end is about to reply.
        """
        self.end_and_take_over(RunEndKind.STOPPED)
        (start,) = self.plan(Start)
        self.assertEqual(start.checkpoint, "cp")

    def test_early_failure(self):
        """A task that failed early starts without a backoff, or never.

        The worker with the end is about to reply.
        """
        self.end_and_take_over(RunEndKind.FAILED)
        self.assertEqual(self.plan(Start), [])
        self.now_ms = self.task.retry_at_ms - 1
        self.assertEqual(self.plan(Start), [])
        self.now_ms += 1
        self.assertEqual(len(self.plan(Start)), 1)

    def test_next_owner_but_one(self):
        """An owner that was told does not tell the next one."""
        stored = self.store()
        self.end(self.start, RunEndKind.FAILED)
        retry_at_ms = self.task.retry_at_ms
        self.pass_on(stored)
        self.pass_on(stored)
        self.assertEqual(self.task.checkpoint, "cp")
        self.assertEqual(self.task.early_failures, 1)
        self.assertEqual(self.task.retry_at_ms, retry_at_ms)

    def test_end_after_the_report(self):
        """A failure counts twice, for the report and for its worker."""
        self.end_and_take_over(RunEndKind.FAILED)
        retry_at_ms = self.task.retry_at_ms
        self.answer_with_end(self.start.worker)
        self.assertEqual(self.task.early_failures, 1)
        self.assertEqual(self.task.retry_at_ms, retry_at_ms)
        # The next owner needs the end no more once it is stored.
        worker = self.engine.workers[self.start.worker]
        self.store()
        self.assertEqual(worker.last_acked_end, 1)

    def test_end_before_the_report(self):
        """A failure counts twice, or an old run counts as an early failure."""
        for age_ms, failures in ((0, 1), (HEALTHY_RUN_MS, 0)):
            with self.subTest(age_ms=age_ms):
                self.setUp()
                stored = self.store()
                self.now_ms += age_ms
                self.end(self.start, RunEndKind.FAILED)
                retry_at_ms = self.task.retry_at_ms
                self.pass_on(stored, self.start.worker)
                self.assertEqual(self.task.early_failures, failures)
                self.assertEqual(self.task.retry_at_ms, retry_at_ms)

    def test_end_that_the_previous_owner_missed(self):
        """The report hides a checkpoint that the worker has told since."""
        stored = self.store()
        self.poll(self.start.worker, drop=(self.task.key,))
        reported = self.engine.unstarted_tasks()
        histories = self.engine.task_histories(reported)
        self.take_over(stored)
        self.answer_with_end(self.start.worker, RunEndKind.STOPPED, "newer")
        self.engine.on_unstarted_tasks(reported, histories)
        self.assertEqual(self.task.checkpoint, "newer")
        self.assertEqual(self.task.ended_runs, {self.start.run})

    def test_later_run(self):
        """A report about an earlier run hides what is known of a later one."""
        self.end(self.start, RunEndKind.FAILED)
        before = self.engine.task_histories((self.task.key,))
        history = TaskHistory(self.task.key, self.task.run - 1, (), "older")
        apply_history(self.task, history)
        self.assertEqual(self.engine.task_histories((self.task.key,)), before)

    def test_report_of_an_earlier_release(self):
        """A task that is reported without a history does not start."""
        stored = self.store()
        self.end(self.start, RunEndKind.STOPPED)
        reported = self.engine.unstarted_tasks()
        self.take_over(stored)
        self.engine.on_unstarted_tasks(reported)
        self.answer(self.other_worker())
        self.assertEqual(len(self.plan(Start)), 1)


if __name__ == "__main__":
    unittest.main()
