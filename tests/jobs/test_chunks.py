"""Tests of the progress of large jobs, which is stored in chunks."""

import unittest

import msgspec

from limpetyard.jobs import (
    CHUNK_PREFIX,
    PROGRESS_PREFIX,
    Job,
    StepSpec,
    apply_progress,
    encode_progress,
    progress_changes,
)
from tests.jobs.test_jobs import spec

MAX_BYTES = 262_144

# Largest size of a chunk of these jobs, and of all that one start changes.
CHUNK_BYTES = 8192

TASKS = 10_000


class _OlderJobProgress(msgspec.Struct):
    # Stored progress of a job in builds that know no chunks.
    state: str
    due: int
    marks: list[list]
    ended_ms: float = 0.0
    places_known: bool = False
    done: list[tuple[int, int]] = []


def large_job(long_running: bool = False) -> Job:
    """Returns a job whose progress does not fit into a record."""
    job = Job(spec(StepSpec(TASKS, long_running=long_running)), 0.0)
    for task in job.tasks.values():
        task.run = 1
        task.checkpoint = "c" * 24
        task.worker = "worker" if long_running else ""
    return job


def store(job: Job, max_bytes: int = MAX_BYTES) -> dict[str, bytes | None]:
    """Stores the changes of a job and returns them."""
    changes = progress_changes(job, 9.0, max_bytes)
    for key, value in changes.items():
        if key.startswith(CHUNK_PREFIX):
            job.stored_chunks.pop(key, None)
            if value is not None:
                job.stored_chunks[key] = value
    return changes


def restore(job: Job, data: bytes) -> Job:
    """Returns the job as a later owner reads it."""
    restored = Job(job.spec, 0.0)
    restored.stored_chunks = dict(job.stored_chunks)
    apply_progress(restored, data, 0.0)
    return restored


class ChunksTest(unittest.TestCase):
    """Chunks of the progress of a job."""

    def head(self, job: Job) -> str:
        """Returns the key of the job's own record."""
        return PROGRESS_PREFIX + job.spec.id

    def test_ordinary_job(self):
        """Progress that fits into a record is stored as it always was."""
        job = Job(spec(StepSpec(100)), 0.0)
        job.task(0, 0, 0).run = 1
        data = encode_progress(job, 9.0)
        self.assertEqual(store(job), {self.head(job): data})
        fields = msgspec.structs.fields(_OlderJobProgress)
        self.assertEqual(
            list(msgspec.msgpack.decode(data)), [field.name for field in fields]
        )

    def test_large_job(self):
        """No record is large, and a later owner reads the same progress."""
        job = large_job()
        job.mark_running()
        job.mark_task_done(job.task(0, 0, 7000))
        self.assertGreater(len(encode_progress(job, 9.0)), MAX_BYTES)
        changes = store(job)
        self.assertLess(max(map(len, changes.values())), CHUNK_BYTES)
        restored = restore(job, changes[self.head(job)])
        self.assertEqual(
            encode_progress(restored, 9.0), encode_progress(job, 9.0)
        )

    def test_only_changed_chunks_are_written(self):
        """A change of one task writes its chunk and the job's own record."""
        job = large_job()
        store(job)
        job.task(0, 0, 7000).run = 2
        changes = store(job)
        chunk = f"{CHUNK_PREFIX}{job.spec.id}/0.0.54"
        self.assertEqual(list(changes), [chunk, self.head(job)])
        self.assertLess(sum(map(len, changes.values())), CHUNK_BYTES)
        self.assertEqual(list(store(job)), [self.head(job)])

    def test_places(self):
        """Places are known as they were; older builds don't rely on them."""
        job = large_job(long_running=True)
        data = store(job)[self.head(job)]
        restored = restore(job, data)
        self.assertTrue(restored.places_known)
        self.assertEqual(restored.task(0, 0, 9999).possible_worker, "worker")
        older = msgspec.msgpack.decode(data, type=_OlderJobProgress)
        self.assertEqual((older.places_known, older.marks), (False, []))
        job.forget_places()
        restored = restore(job, store(job)[self.head(job)])
        self.assertFalse(restored.places_known)
        self.assertIsNone(restored.task(0, 0, 9999).possible_worker)

    def test_progress_that_fits_again(self):
        """Chunks are deleted after the record that replaces them."""
        job = large_job()
        store(job)
        outdated = dict(job.stored_chunks)
        for task in job.tasks.values():
            task.checkpoint = ""
        changes = store(job)
        self.assertEqual(next(iter(changes)), self.head(job))
        self.assertEqual(set(changes), {self.head(job), *outdated})
        self.assertEqual(job.stored_chunks, {})
        job.stored_chunks = outdated
        restored = restore(job, changes[self.head(job)])
        self.assertEqual(restored.task(0, 0, 0).checkpoint, "")

    def test_final_state(self):
        """An ended job has no chunks."""
        job = large_job()
        store(job)
        job.move_to_final("fail", 1.0)
        changes = store(job)
        self.assertIsNotNone(changes.pop(self.head(job)))
        self.assertEqual(set(changes.values()), {None})
        self.assertEqual(job.stored_chunks, {})


if __name__ == "__main__":
    unittest.main()
