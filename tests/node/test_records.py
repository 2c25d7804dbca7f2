"""Tests of applying the stored records of a cell."""

import asyncio
import unittest

from limpetyard._clock import ManualClock
from limpetyard.engine import Engine, EngineParams
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    JobSpec,
    QueueParams,
    StepSpec,
    cancellation_keys,
    encode_cancellation,
    encode_spec,
)
from limpetyard.node._records import APPLIED_PER_ITERATION, RecordApplier
from limpetyard.store import StoredRecord


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Records that were read when the cell was loaded."""

    async def test_heartbeats_run_while_a_large_cell_is_loaded(self):
        """Loading many jobs leaves the event loop to others in between."""
        engine = Engine(1, EngineParams(4000, 5000))
        applier = RecordApplier(
            engine, lambda _: None, ManualClock(), lambda: 0.0, lambda: None
        )
        specs = [
            JobSpec(f"{n:016x}", QueueParams("q", "pool"), "", (StepSpec(2),))
            for n in range(100)
        ]
        applier.apply_jobs(
            [
                StoredRecord(n, ACCEPTED_PREFIX + spec.id, encode_spec(spec))
                for n, spec in enumerate(specs)
            ]
        )
        sizes = [0]

        async def heartbeats() -> None:
            while len(engine.jobs) < len(specs):
                await asyncio.sleep(0)
                sizes.append(len(engine.jobs))

        await asyncio.gather(heartbeats(), applier.apply_collected())
        growth = [b - a for a, b in zip(sizes, sizes[1:], strict=False)]
        self.assertEqual(sum(growth), len(specs))
        self.assertLessEqual(max(growth), APPLIED_PER_ITERATION)


ID = f"{1:016x}"
SPEC = JobSpec(ID, QueueParams("q", "pool"), "", (StepSpec(2),))


class CancellationTest(unittest.TestCase):
    """Cancellations by callers of several queues and of two releases."""

    def setUp(self):
        """Creates an applier that has loaded one job."""
        self.engine = Engine(1, EngineParams(4000, 5000))
        self.applier = RecordApplier(
            self.engine,
            lambda _: None,
            ManualClock(),
            lambda: 0.0,
            lambda: None,
        )
        asyncio.run(self.applier.apply_collected())
        self.apply(ACCEPTED_PREFIX + ID, encode_spec(SPEC))

    def apply(self, key: str, value: bytes) -> None:
        """Applies one record."""
        self.applier.apply_jobs([StoredRecord(0, key, value)])

    def state(self) -> str:
        """Returns the state of the job."""
        return self.engine.jobs[ID].state

    def test_former_release(self):
        """A cancellation by a former release, which names no queue."""
        self.apply(CANCELLED_PREFIX + ID, b"1")
        self.assertEqual(self.state(), "cancelled")

    def test_each_key(self):
        """One of the two records of a cancellation is enough."""
        for key in cancellation_keys(ID, "q"):
            with self.subTest(key):
                self.setUp()
                self.apply(key, encode_cancellation("q"))
                self.assertEqual(self.state(), "cancelled")

    def test_other_queue(self):
        """A cancellation by callers of another queue is to be deleted."""
        keys = cancellation_keys(ID, "other")
        for key in keys:
            self.apply(key, encode_cancellation("other"))
        self.assertEqual(self.state(), "queued")
        self.assertEqual(self.applier.stray_keys, set(keys))


if __name__ == "__main__":
    unittest.main()
