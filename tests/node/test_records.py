"""Tests of applying the stored records of a cell."""

import asyncio
import unittest

from limpetyard._clock import ManualClock
from limpetyard.engine import Engine, EngineParams
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    JobSpec,
    QueueParams,
    StepSpec,
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


if __name__ == "__main__":
    unittest.main()
