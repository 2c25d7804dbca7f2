"""What an owner knows of ends that are not stored."""

import unittest

from limpetyard.engine import RunEndKind, Start
from tests.engine.test_places import TakeoverTestCase


class EndTest(TakeoverTestCase):
    """What the previous owner knew of an end, beside that there is no run."""

    def end_and_take_over(self, kind: RunEndKind) -> None:
        """Ends the run; the end is not stored, and the worker lives."""
        stored = self.store()
        self.end(self.start, kind)
        reported = self.engine.unstarted_tasks()
        self.assertEqual(reported, (self.task.key,))
        self.take_over(stored)
        self.engine.on_unstarted_tasks(reported)
        self.answer(self.other_worker())

    def test_checkpoint(self):
        """A task starts from an older checkpoint than the stopped run saved.

        The worker with the end is about to reply.
        """
        self.end_and_take_over(RunEndKind.STOPPED)
        for start in self.plan(Start):
            self.assertEqual(start.checkpoint, "cp")

    def test_early_failure(self):
        """A task that failed early starts without a backoff.

        The worker with the end is about to reply.
        """
        self.end_and_take_over(RunEndKind.FAILED)
        self.assertEqual(self.plan(Start), [])


if __name__ == "__main__":
    unittest.main()
