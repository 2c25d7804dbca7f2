"""Arbitrary bytes among the stored records of a cell."""

import math
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from limpetyard._clock import ManualClock
from limpetyard.engine import (
    Engine,
    EngineParams,
    StaleLeases,
    StartOrder,
    WorkerEntry,
)
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
from limpetyard.node._records import RecordApplier
from limpetyard.node._store_layout import PLACES_KEY
from limpetyard.platform._worker_entries import parse_worker_entry
from limpetyard.store import StoredRecord
from tests.fuzzing import LoggedLines, fuzzed, msgpack_records, run
from tests.platform.test_worker_entries import encode as encode_entry

# Most tasks that an example creates, so that it does not take long. A job may
# have more: the limits of its steps and of its occurrences multiply.
MAX_TASKS = 30_000

QUEUE = QueueParams("q", "pool")
STEPS = (
    StepSpec(2, Resources(500, 256), 900, label="a", target_ms=5.0),
    StepSpec(1, after=(0,), long_running=True),
)
SPEC = JobSpec("a" * 16, QUEUE, "x", STEPS, 5.0, 3, 7.0, 60.0)
OTHER = msgspec.structs.replace(SPEC, id="b" * 16)
UNTIMED = msgspec.structs.replace(OTHER, first_due_ms=0.0)
WORKER = WorkerEntry(
    "w-1", "pool", "127.0.0.1:1", "z", "r", ("a", "r"), Resources(9), 7
)


def builtins(data: bytes):
    """Returns a record as dicts and lists."""
    return msgspec.msgpack.decode(data)


SPEC_VALUE = builtins(encode_spec(OTHER))
PROGRESS_VALUE = {
    "state": "running",
    "due": 2,
    "marks": [
        [1, 0, 0, False, 3, [1, 2], 1, "c", 1, "w-1", 7, ""],
        [1, 1, 0, False, 1, [], 0, "", 0, "", 0, "w-1"],
        [1, 0, 1, True, 1, [1], 0, ""],
    ],
    "ended_ms": 0.0,
    "places_known": True,
    "done": [[0, 0]],
}
WORKER_VALUE = builtins(
    msgspec.msgpack.encode(msgspec.structs.replace(WORKER, id="w-2"))
)

specs = msgpack_records(SPEC_VALUE)
progresses = msgpack_records(PROGRESS_VALUE)
workers = msgpack_records(WORKER_VALUE)
keys = st.one_of(
    st.sampled_from(
        [f"{p}/{OTHER.id}" for p in "spcw"]
        + ["w/w-2", "s/", "w/", "p/w-1", "", PLACES_KEY, "s/" + "A" * 16]
    ),
    st.text(max_size=9),
)


def is_small(data: bytes) -> bool:
    """Returns whether a record is no job, or one of few tasks."""
    try:
        spec = decode_spec(data)
    except msgspec.MsgspecError:
        return True
    count = sum(step.count for step in spec.steps)
    return count * spec.occurrences <= MAX_TASKS


class RecordFuzzTestCase(unittest.TestCase):
    """A test whose events must be loggable."""

    def setUp(self):
        """Turns logging off, but formats each event."""
        logger.remove()
        self.enterContext(LoggedLines())

    def check_job(self, job: Job) -> None:
        """Checks that a job and the next runs of its tasks can be stored."""
        self.assertEqual(decode_spec(encode_spec(job.spec)), job.spec)
        self.assertLessEqual(job.due, job.spec.occurrences)
        list(job.open_steps())
        self.assertIn(job.all_done, (True, False))
        for task in job.tasks.values():
            task.run += 1
            task.ended_runs.add(task.run)
            task.failure_count += 1
            self.assertGreater(task.run, 0)
            order = StartOrder(
                task.key, task.run, job.spec.payload, 1, 1, task.checkpoint
            )
            msgspec.json.encode(order)
        again = Job(job.spec, 0.0)
        apply_progress(again, encode_progress(job, 0.0), 0.0)
        self.assertEqual(again.state, job.state)
        if not job.is_final:
            job.mark_running()
            job.move_to_final("cancel", 0.0)


class JobRecordFuzzTest(RecordFuzzTestCase):
    """Records of one job."""

    @fuzzed
    @given(specs)
    def test_specs(self, data):
        """A record is no job, or one that can be stored and started."""
        try:
            spec = decode_spec(data)
        except msgspec.MsgspecError:
            return
        self.assertLessEqual(sum(step.count for step in spec.steps), 10_000)
        self.assertLessEqual(spec.occurrences, 10_000)
        if not is_small(data):
            return
        self.assertEqual(decode_spec(encode_spec(spec)), spec)
        job = Job(spec, 0.0)
        job.make_due(spec.occurrences)
        self.check_job(job)
        self.assertTrue(math.isfinite(job.due_at_ms(0)))

    @fuzzed
    @given(progresses, st.sampled_from((OTHER, UNTIMED)))
    def test_progress(self, data, spec):
        """Progress is applied as a whole or not at all."""
        job = Job(spec, 0.0)
        due = job.due
        try:
            apply_progress(job, data, 0.0)
        except msgspec.MsgspecError:
            self.assertEqual((job.state, job.due), ("queued", due))
            self.assertTrue(job.places_known)
            self.assertFalse(any(task.run for task in job.tasks.values()))
            return
        self.check_job(job)


class RecordApplierFuzzTest(RecordFuzzTestCase):
    """Records of a whole cell."""

    def make_applier(self) -> tuple[Engine, RecordApplier]:
        """Returns an engine and an applier for it."""
        engine = Engine(1, EngineParams(4000, 5000))
        applier = RecordApplier(
            engine, parse_worker_entry, ManualClock(), lambda: 9.0, lambda: None
        )
        return engine, applier

    @fuzzed
    @given(
        st.lists(
            st.tuples(keys, st.one_of(specs, progresses, workers)), max_size=4
        ),
        st.booleans(),
    )
    def test_cell(self, odd, late):
        """Odd records change nothing of a job and a worker beside them."""
        odd = [(key, data) for key, data in odd if is_small(data)]
        job = Job(SPEC, 0.0)
        job.make_due(2)
        job.task(0, 0, 1).run = 3
        job.mark_running()
        good = [
            ("s/" + SPEC.id, encode_spec(SPEC)),
            ("p/" + SPEC.id, encode_progress(job, 0.0)),
            ("w/w-1", msgspec.msgpack.encode(WORKER)),
        ]
        engine, applier = self.make_applier()
        written = [*good, *odd] if late else [*odd, *good]
        records = [StoredRecord(n, *item) for n, item in enumerate(written)]
        applier.apply_jobs(records)
        self.assertLess(applier.places_epoch(), 1 << 64)
        recorded = run(applier.apply_collected())
        self.assertEqual(recorded["w-1"], (7, False, StaleLeases.POSSIBLE))
        msgspec.msgpack.encode(recorded)
        self.assertEqual(engine.workers["w-1"].entry, WORKER)
        self.assertEqual(engine.jobs[SPEC.id].spec, SPEC)
        self.assertEqual(engine.jobs[SPEC.id].task(0, 0, 1).run, 3)
        self.assertEqual(engine.jobs[SPEC.id].state, "running")
        names = {key for key, _ in written}
        for job_id, read in engine.jobs.items():
            self.assertEqual(job_id, read.spec.id)
            self.assertIn("s/" + job_id, names)
        for worker_id, worker in engine.workers.items():
            self.assertIn("w/" + worker_id, names)
            stored = msgspec.msgpack.encode(worker.entry)
            self.assertEqual(
                msgspec.msgpack.decode(stored, type=WorkerEntry), worker.entry
            )
        applier.apply_jobs(records)
        for read in list(engine.jobs.values()):
            self.check_job(read)

    @fuzzed
    @given(
        st.lists(
            st.tuples(st.text(max_size=5), st.one_of(workers, st.none())),
            max_size=4,
        )
    )
    def test_directory(self, odd):
        """Odd directory entries change nothing of a worker beside them."""
        engine, applier = self.make_applier()
        good = StoredRecord(0, "i-1", encode_entry())
        records = [
            StoredRecord(n, "x" + key, data)
            for n, (key, data) in enumerate(odd, 1)
        ]
        applier.apply_entries([*records, good, *records])
        self.assertEqual(set(engine.workers), {"i-1"})
        self.assertIsNone(engine.workers["i-1"].missing_since_ms)


if __name__ == "__main__":
    unittest.main()
