"""A claim without an answer that the store applies late, on whole sites."""

import asyncio
import unittest
from unittest import mock

from limpetyard.store import StoreOutcomeUnknownError
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from standins.platform._store import CALL_TIMEOUT_MS
from tests.node.test_long_running import (
    SETTLED_S,
    crash_worker,
    long_running_job,
    newest_owner,
    note_fault,
)

# Time between the loss of the worker and that of its owner, which has stored
# the silence of the worker by then.
OWNER_LOST_AFTER_S = 1.85

# Time without any fault before the worker is lost.
CALM_S = 12


class LateClaimTest(unittest.TestCase):
    """An owner claims twice, as the first claim got no answer in time."""

    def run_scenario(self, late_s: float) -> tuple[list[str], float]:
        """Loses a worker for good, then its owner.

        Args:
            late_s: Time after which the store applies the first claim.

        Returns:
            The violations, and how long after the loss of the worker its task
            started elsewhere.
        """

        async def claim_late(site: SimulatedSite) -> None:
            previous = newest_owner(site)
            append = type(site.store).append
            applied: list[asyncio.Task] = []

            async def change(store, topic, partition, records, producer=None):
                if topic != "owners" or applied:
                    return await append(
                        store, topic, partition, records, producer
                    )

                async def apply() -> None:
                    await asyncio.sleep(late_s)
                    await append(store, topic, partition, records, None)

                applied.append(asyncio.ensure_future(apply()))
                await asyncio.sleep(CALL_TIMEOUT_MS / 1000)
                raise StoreOutcomeUnknownError("no reply in time")

            with mock.patch.object(type(site.store), "append", change):
                site.pass_cell_on()
                while newest_owner(site) in (previous, None):
                    await asyncio.sleep(0.01)
                await applied[0]

        async def main() -> tuple[SimulatedSite, float]:
            site = SimulatedSite(3, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            await claim_late(site)
            await asyncio.sleep(CALM_S)
            owner = newest_owner(site)
            lost_ms = site.clock.now_ms()
            crash_worker(site, busy=True)
            await asyncio.sleep(OWNER_LOST_AFTER_S)
            await site.kill_node(owner)
            note_fault(site)
            await asyncio.sleep(15)
            await site.stop()
            return site, lost_ms

        site, lost_ms = run_in_virtual_time(main())
        start = site.history.of(RunStarted)[-1]
        return violations(site.history), start.at_ms - lost_ms

    def test_late_claim(self):
        """LOST: the later epoch hides what the same owner has stored.

        The record of workers without leases has the epoch under which the owner
        runs, and the claim that was applied late a higher one.
        """
        found, wait_ms = self.run_scenario(late_s=3.0)
        self.assertEqual(found, [])
        self.assertLess(wait_ms, 8000)

    def test_claim_before_the_next_one(self):
        """LOST: the same if the late claim has the lower epoch."""
        found, wait_ms = self.run_scenario(late_s=1.0)
        self.assertEqual(found, [])
        self.assertLess(wait_ms, 8000)


if __name__ == "__main__":
    unittest.main()
