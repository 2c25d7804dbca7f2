"""Tests of jobs, their tasks and their stored records."""

import unittest

import msgspec

from limpetyard.errors import ChartError
from limpetyard.jobs import (
    Job,
    JobProgress,
    JobSpec,
    QueueParams,
    Resources,
    StepSpec,
    TaskProgress,
    apply_progress,
    decode_spec,
    encode_progress,
    encode_spec,
)

QUEUE = QueueParams("q", "s")


class _OlderTaskProgress(msgspec.Struct, array_like=True):
    # Stored progress of a task in 0.3.0.
    occurrence: int
    step: int
    index: int
    done: bool
    run: int
    ended_runs: list[int]
    failure_count: int
    checkpoint: str


def spec(*steps: StepSpec, **fields) -> JobSpec:
    """Returns the specification of a job with these steps."""
    return JobSpec("0" * 16, QUEUE, "payload", steps, **fields)


class JobTest(unittest.TestCase):
    """Progress of a job through its steps and occurrences."""

    def test_order(self):
        """A step is ready once all steps that it depends on are done."""
        job = Job(spec(StepSpec(2), StepSpec(1, after=(0,))), 0.0)
        self.assertEqual(list(job.open_steps()), [(0, 0)])
        job.mark_task_done(job.task(0, 0, 0))
        self.assertFalse(job.step_ready(0, 1))
        job.mark_task_done(job.task(0, 0, 1))
        self.assertEqual(list(job.open_steps()), [(0, 1)])

    def test_all_done(self):
        """A job is done with its last task; each task counts once."""
        job = Job(spec(StepSpec(2)), 0.0)
        job.mark_task_done(job.task(0, 0, 0))
        job.mark_task_done(job.task(0, 0, 0))
        self.assertFalse(job.all_done)
        job.mark_task_done(job.task(0, 0, 1))
        self.assertTrue(job.all_done)

    def test_final_states(self):
        """A job in a final state cannot change its state."""
        job = Job(spec(StepSpec(1)), 0.0)
        job.move_to_final("cancel", 1.0)
        job.mark_running()
        self.assertEqual(job.state, "cancelled")
        with self.assertRaises(ChartError):
            job.move_to_final("complete", 2.0)

    def test_occurrences(self):
        """Occurrences become due one by one and progress independently."""
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
        job.mark_task_done(job.task(0, 0, 0))
        self.assertFalse(job.all_done)
        self.assertEqual(job.due_at_ms(1), 150.0)
        job.make_due(2)
        job.mark_task_done(job.task(1, 0, 0))
        self.assertTrue(job.all_done)

    def test_best_effort_reserves_no_cores(self):
        """A best-effort task reserves memory and accelerators, but no cores."""
        step = StepSpec(1, Resources(500, 300, 1), fills=True)
        self.assertEqual(step.reserved, Resources(0, 300, 1))


class RecordsTest(unittest.TestCase):
    """Encoding and decoding of stored records."""

    def test_spec(self):
        """Encoding and decoding preserve a specification."""
        original = spec(StepSpec(2, Resources(1, 2, 3), after=(), gang=True))
        self.assertEqual(decode_spec(encode_spec(original)), original)

    def test_records_that_are_no_job(self):
        """One was a job that no memory holds, or raised another error."""
        deep = b"\x81\xa5later" + b"\x91" * 100_000 + b"\xc0"
        step = StepSpec(1)
        for data in (
            deep,
            encode_spec(spec(StepSpec(2**62))),
            encode_spec(spec(*[step] * 9999)),
            encode_spec(spec(step, occurrences=2**62)),
            encode_spec(spec(step, occurrences=0)),
            encode_spec(spec(StepSpec(0))),
            encode_spec(spec()),
            encode_spec(spec(step, StepSpec(1, after=(1,)))),
            encode_spec(spec(step, accepted_ms=float("nan"))),
            encode_spec(spec(StepSpec(1, target_ms=float("nan")))),
            encode_spec(
                msgspec.structs.replace(
                    spec(step),
                    queue=QueueParams("q", "s", stretch=float("inf")),
                )
            ),
        ):
            with (
                self.subTest(data[:80]),
                self.assertRaises(msgspec.MsgspecError),
            ):
                decode_spec(data)

    def test_progress(self):
        """Stored progress includes ended runs, so that none counts twice."""
        job = Job(spec(StepSpec(2), StepSpec(1, after=(0,))), 0.0)
        first, second = job.task(0, 0, 0), job.task(0, 0, 1)
        first.run = second.run = 3
        second.failure_count, second.ended_runs = 1, {2, 3}
        second.checkpoint = "half"
        job.mark_task_done(first)
        job.mark_running()
        restored = Job(job.spec, 0.0)
        apply_progress(restored, encode_progress(job, 9.0), 0.0)
        task = restored.task(0, 0, 1)
        self.assertEqual(restored.state, "running")
        self.assertEqual(restored.task(0, 0, 0).state, "done")
        self.assertEqual(
            (task.run, task.failure_count, task.ended_runs, task.checkpoint),
            (3, 1, {2, 3}, "half"),
        )

    def test_gang_of_an_earlier_owner(self):
        """A gang was done for one owner and half done for the next: LOST.

        The first owner knew the run of only one member, whose end shows that
        all are done.
        """
        job = Job(spec(StepSpec(2, gang=True), StepSpec(1, after=(0,))), 0.0)
        job.task(0, 0, 0).run = 3
        for task in job.step_tasks(0, 0):
            job.mark_task_done(task)
        restored = Job(job.spec, 0.0)
        apply_progress(restored, encode_progress(job, 9.0), 0.0)
        self.assertTrue(restored.step_ready(0, 1))

    def done_schedule(self, done: int, occurrences: int = 5000) -> Job:
        """Returns a schedule of 32 tasks each, of which some are done."""
        schedule = spec(
            StepSpec(32),
            occurrences=occurrences,
            first_due_ms=1.0,
            interval_ms=1.0,
        )
        job = Job(schedule, 0.0)
        for occurrence in range(done + 2):
            job.make_due(occurrence + 1)
            for task in list(job.step_tasks(occurrence, 0)):
                task.run = 70_000
                if occurrence < done:
                    job.mark_task_done(task)
        return job

    def test_long_schedule(self):
        """The progress of a long schedule outgrew a record of the store: LOST.

        The job forgets tasks of occurrences that are done.
        """
        job = self.done_schedule(3000)
        self.assertEqual(len(job.tasks), 2 * 32)
        stored = encode_progress(job, 9.0)
        self.assertLess(len(stored), 4096)
        restored = Job(job.spec, 0.0)
        apply_progress(restored, stored, 0.0)
        self.assertEqual(set(restored.tasks), set(job.tasks))
        self.assertEqual(restored.due, 3002)
        self.assertIsNone(restored.task(2999, 0, 0))
        self.assertEqual(list(restored.open_steps()), [(3000, 0), (3001, 0)])

    def test_short_schedule_for_older_builds(self):
        """Older builds, which know no ranges, read which tasks are done."""
        job = self.done_schedule(30)
        stored = msgspec.msgpack.decode(encode_progress(job, 9.0))
        self.assertEqual(stored["done"], [])
        done = {tuple(mark[:3]) for mark in stored["marks"] if mark[3]}
        self.assertEqual(
            done, {(k, 0, i) for k in range(30) for i in range(32)}
        )
        restored = Job(job.spec, 0.0)
        apply_progress(restored, encode_progress(job, 9.0), 0.0)
        self.assertEqual(restored.done_occurrences.ranges(), [(0, 29)])

    def test_occurrences_without_times(self):
        """Done occurrences that are due from the start are forgotten too."""
        job = Job(spec(StepSpec(400), occurrences=5), 0.0)
        for occurrence in (0, 2, 3):
            for task in list(job.step_tasks(occurrence, 0)):
                job.mark_task_done(task)
        restored = Job(job.spec, 0.0)
        apply_progress(restored, encode_progress(job, 9.0), 0.0)
        self.assertEqual(restored.done_occurrences.ranges(), [(0, 0), (2, 3)])
        self.assertEqual(len(restored.tasks), 800)
        for occurrence in (1, 4):
            for task in list(restored.step_tasks(occurrence, 0)):
                restored.mark_task_done(task)
        self.assertTrue(restored.all_done)

    def test_crash_score(self):
        """The count of crashes survives a takeover."""
        job = Job(spec(StepSpec(1)), 0.0)
        job.task(0, 0, 0).run = 1
        job.task(0, 0, 0).crash_score = 1
        restored = Job(job.spec, 0.0)
        apply_progress(restored, encode_progress(job, 9.0), 0.0)
        self.assertEqual(restored.task(0, 0, 0).crash_score, 1)

    def test_progress_of_and_for_older_builds(self):
        """Builds without a count of crashes share records with this one."""
        job = Job(spec(StepSpec(1)), 0.0)
        job.task(0, 0, 0).run = 2
        stored = msgspec.msgpack.decode(encode_progress(job, 9.0))
        (mark,) = stored["marks"]
        older = msgspec.msgpack.Decoder(_OlderTaskProgress)
        self.assertEqual(older.decode(msgspec.msgpack.encode(mark)).run, 2)
        stored["marks"] = [mark[:8]]
        restored = Job(job.spec, 0.0)
        apply_progress(restored, msgspec.msgpack.encode(stored), 0.0)
        self.assertEqual(restored.task(0, 0, 0).run, 2)
        self.assertEqual(restored.task(0, 0, 0).crash_score, 0)

    def test_progress_that_is_none(self):
        """Progress of no such job changes nothing.

        It raised another error, then or later, or created tasks for ever.
        """
        timed = spec(StepSpec(2), occurrences=4, first_due_ms=1.0)
        deep = b"\x81\xa5later" + b"\x91" * 100_000 + b"\xc0"
        for data in (
            deep,
            msgspec.msgpack.encode(JobProgress("gone", 1, [])),
            msgspec.msgpack.encode(JobProgress("running", -1, [])),
            msgspec.msgpack.encode(JobProgress("running", 2**62, [])),
            *(
                msgspec.msgpack.encode(
                    JobProgress("running", 1, [], done=ranges)
                )
                for ranges in (
                    [(0, 2**62)],
                    [(-1, 0)],
                    [(2, 1)],
                    [(1, 2), (0, 0)],
                    [(0, 1), (1, 2)],
                )
            ),
        ):
            job = Job(timed, 0.0)
            with (
                self.subTest(data[:80]),
                self.assertRaises(msgspec.MsgspecError),
            ):
                apply_progress(job, data, 0.0)
            self.assertEqual((job.due, job.state), (0, "queued"))

    def test_marks_that_cannot_be_stored(self):
        """A mark with numbers that cannot be counted on hides no other."""
        marks = [
            TaskProgress(0, 0, 0, False, 2**64 - 1, [], 0, ""),
            TaskProgress(0, 0, 1, False, 3, [2], 1, "c"),
        ]
        job = Job(spec(StepSpec(2)), 0.0)
        data = msgspec.msgpack.encode(JobProgress("running", 1, marks))
        apply_progress(job, data, 0.0)
        self.assertEqual([job.task(0, 0, n).run for n in (0, 1)], [0, 3])

    def test_final(self):
        """A job in a final state is restored without its tasks."""
        job = Job(spec(StepSpec(1)), 0.0)
        job.move_to_final("fail", 1.0)
        restored = Job(job.spec, 0.0)
        apply_progress(restored, encode_progress(job, 9.0), 5.0)
        self.assertTrue(restored.is_final)
        self.assertEqual(restored.stored_state, "failed")


if __name__ == "__main__":
    unittest.main()
