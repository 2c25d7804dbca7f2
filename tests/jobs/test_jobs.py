"""Jobs, their tasks and their records."""

import unittest

from limpetyard.errors import ChartError
from limpetyard.jobs import (
    Job,
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
    apply_progress,
    decode_spec,
    encode_progress,
    encode_spec,
)

TERMS = QueueParams("q", "s")


def spec(*steps: StepSpec, **more) -> JobSpec:
    """Returns a job of these steps."""
    return JobSpec("0" * 16, TERMS, "payload", steps, **more)


class JobTest(unittest.TestCase):
    """How a job comes to its end."""

    def test_order(self):
        """A step is ready when all steps before are done."""
        job = Job(spec(StepSpec(2), StepSpec(1, after=(0,))), 0.0)
        self.assertEqual(list(job.open_steps()), [(0, 0)])
        job.finish(job.task(0, 0, 0))
        self.assertFalse(job.step_ready(0, 1))
        job.finish(job.task(0, 0, 1))
        self.assertEqual(list(job.open_steps()), [(0, 1)])

    def test_all_done(self):
        """A job is done with its last task, counted once."""
        job = Job(spec(StepSpec(2)), 0.0)
        job.finish(job.task(0, 0, 0))
        job.finish(job.task(0, 0, 0))
        self.assertFalse(job.all_done)
        job.finish(job.task(0, 0, 1))
        self.assertTrue(job.all_done)

    def test_final_states(self):
        """A job that is over stays as it is."""
        job = Job(spec(StepSpec(1)), 0.0)
        job.end("cancel", 1.0)
        job.begin()
        self.assertEqual(job.state, "cancelled")
        with self.assertRaises(ChartError):
            job.end("complete", 2.0)

    def test_occurrences(self):
        """Occurrences come due one by one and are apart."""
        job = Job(
            spec(
                StepSpec(1),
                occurrences=2,
                first_due_ms=100.0,
                interval_ms=50.0,
            ),
            0.0,
        )
        self.assertEqual(list(job.open_steps()), [])
        job.make_due(1)
        job.finish(job.task(0, 0, 0))
        self.assertFalse(job.all_done)
        self.assertEqual(job.due_at_ms(1), 150.0)
        job.make_due(2)
        job.finish(job.task(1, 0, 0))
        self.assertTrue(job.all_done)

    def test_filling_reserves_no_cores(self):
        """A filling task sets only its memory aside."""
        step = StepSpec(1, Resources(500, 300, 1), fills=True)
        self.assertEqual(step.reserved, Resources(0, 300, 1))


class RecordsTest(unittest.TestCase):
    """What a later owner reads."""

    def test_spec(self):
        """A job is read back as it was accepted."""
        whole = spec(StepSpec(2, Resources(1, 2, 3), after=(), gang=True))
        self.assertEqual(decode_spec(encode_spec(whole)), whole)

    def test_progress(self):
        """Progress is read back, with what must not be counted twice."""
        job = Job(spec(StepSpec(2), StepSpec(1, after=(0,))), 0.0)
        first, second = job.task(0, 0, 0), job.task(0, 0, 1)
        first.run = second.run = 3
        second.failed, second.ended = 1, {2, 3}
        second.checkpoint = "half"
        job.finish(first)
        job.begin()
        again = Job(job.spec, 0.0)
        apply_progress(again, encode_progress(job, 9.0), 0.0)
        task = again.task(0, 0, 1)
        self.assertEqual(again.state, "running")
        self.assertEqual(again.task(0, 0, 0).state, "done")
        self.assertEqual(
            (task.run, task.failed, task.ended, task.checkpoint),
            (3, 1, {2, 3}, "half"),
        )

    def test_final(self):
        """A final state needs no tasks."""
        job = Job(spec(StepSpec(1)), 0.0)
        job.end("fail", 1.0)
        again = Job(job.spec, 0.0)
        apply_progress(again, encode_progress(job, 9.0), 5.0)
        self.assertTrue(again.over)
        self.assertEqual(again.stored_state, "failed")


if __name__ == "__main__":
    unittest.main()
