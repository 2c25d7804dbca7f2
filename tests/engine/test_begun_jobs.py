"""Guards against MIXED: jobs count as begun though no task has started."""

import unittest

from limpetyard.engine import RunEndKind, StartResult
from limpetyard.jobs import StepSpec
from tests.engine.test_engine import ONE_CORE, EngineTestCase, job


class BegunJobTest(EngineTestCase):
    """A job has begun once a reply or a report shows a run."""

    workers = 1

    def setUp(self):
        """Plans the start of a job of one task."""
        super().setUp()
        spec = job(1, StepSpec(1, ONE_CORE), max_attempts=2)
        self.job = self.engine.add_job(spec, self.now_ms, False)
        (self.start,) = self.plan()

    def test_planned(self):
        """A start that was not sent says nothing."""
        self.assertEqual(self.job.state, "queued")
        self.engine.on_start_withdrawn(self.start, self.now_ms)
        self.assertEqual(self.job.state, "queued")

    def test_rejected(self):
        """An unhealthy worker has done nothing, however often it is asked."""
        for result in (StartResult.UNHEALTHY, StartResult.NO_ROOM):
            with self.subTest(result):
                self.setUp()
                self.engine.on_start_reply(self.start, result, self.now_ms)
                self.assertEqual(self.job.state, "queued")

    def test_unanswered(self):
        """A start without a reply may have met a worker that was down."""
        self.engine.on_start_reply(self.start, None, self.now_ms)
        self.assertEqual(self.job.state, "queued")

    def test_answered(self):
        """A reply shows the run."""
        result = StartResult.STARTED
        self.engine.on_start_reply(self.start, result, self.now_ms)
        self.assertEqual(self.job.state, "running")

    def test_reported(self):
        """A report shows the run, also if the start got no reply."""
        self.engine.on_start_reply(self.start, None, self.now_ms)
        self.poll("w-0")
        self.assertEqual(self.job.state, "running")

    def test_ended(self):
        """So does its end, also one that was replaced."""
        for replaced in (False, True):
            with self.subTest(replaced):
                self.setUp()
                self.engine.on_start_reply(self.start, None, self.now_ms)
                if replaced:
                    self.engine.workers["w-0"].runs.clear()
                    task = self.engine.find_task(self.start.task)
                    self.engine.release_task(task, self.now_ms)
                    task.put_on("w-9", 1, self.start.run + 1)
                self.end(self.start, RunEndKind.FAILED)
                self.assertEqual(self.job.state, "running")


if __name__ == "__main__":
    unittest.main()
