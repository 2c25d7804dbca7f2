"""Tests of the reader of a keyed partition."""

import asyncio
import unittest

from limpetyard._clock import ManualClock
from limpetyard.store import KeyedRecord, KeyFollower
from limpetyard.store._follower import APPLIED_PER_ITERATION
from standins.platform._store import StoreModel


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    """Many records in one reply of the store."""

    async def test_heartbeats_run_while_a_backlog_is_applied(self):
        """A long reply is applied in pieces, in order and completely."""
        store = StoreModel(ManualClock())
        applied: list[str] = []
        sizes = [0]
        follower = KeyFollower(
            store,
            ManualClock(1.0),
            "jobs",
            0,
            lambda records: applied.extend(r.key for r in records),
        )
        await follower.load()
        keys = [f"{n:04}" for n in range(300)]
        records = [KeyedRecord(k, b"1") for k in keys]
        await store.append("jobs", 0, records, None)

        async def heartbeats() -> None:
            while len(applied) < len(keys):
                await asyncio.sleep(0)
                sizes.append(len(applied))

        await asyncio.gather(heartbeats(), follower.read())
        self.assertEqual(applied, keys)
        growth = [b - a for a, b in zip(sizes, sizes[1:], strict=False)]
        self.assertLessEqual(max(growth), APPLIED_PER_ITERATION)


if __name__ == "__main__":
    unittest.main()
