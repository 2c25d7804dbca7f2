"""Takeovers after owners that lost the cell before they had loaded it."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Callable
from unittest import mock

from standins.platform import SimulatedSite
from tests.node.test_fencing import reassign
from tests.node.test_long_running import (
    LongRunningTestCase,
    crash_worker,
    fail_task,
    newest_owner,
)

# Time for which a node owns the cell without having loaded it.
UNLOADED_S = 1.6

# Time for which the frozen owner may order at least, once it is replaced.
MIN_UNFENCED_MS = 2000

# Time in which a task starts again that need not wait for any lease.
RESTART_S = 2.0


@contextlib.asynccontextmanager
async def held_load(host) -> AsyncIterator[None]:
    """Holds the reads by which a new owner loads the jobs of the cell."""
    store = host.node._adapters.store
    read_latest = store.read_latest
    released = asyncio.Event()

    async def held_read_latest(topic, partition, after):
        if topic == "jobs":
            await released.wait()
        return await read_latest(topic, partition, after)

    with mock.patch.object(store, "read_latest", held_read_latest):
        try:
            yield
        finally:
            released.set()


async def pass_on_unloaded(
    site: SimulatedSite,
    times: int,
    meanwhile: Callable[[SimulatedSite], None] = lambda site: None,
) -> None:
    """Assigns the cell to nodes in turn, each of which loses it unloaded.

    Args:
        site: The site.
        times: Number of nodes.
        meanwhile: Called while each of them owns the cell.
    """
    for _ in range(times):
        host = await reassign(site)
        async with held_load(host):
            await asyncio.sleep(UNLOADED_S)
            meanwhile(site)
            site.store.reassign_partitions()
            while host.node._owners.get(0) is not None:
                await asyncio.sleep(0.01)


class UnloadedOwnersTest(LongRunningTestCase):
    """The cell passes through nodes that lose it before they have loaded it."""

    def test_worker_lost_before_the_takeovers(self):
        """LOST: the wait for a lost worker's lease began anew at each owner."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=True)
            await pass_on_unloaded(site, 4)

        self.run_scenario(scenario)

    def test_task_that_was_never_on_the_lost_worker(self):
        """Stored places were not trusted after an owner that stored none."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=False)
            await pass_on_unloaded(site, 1, fail_task)
            await asyncio.sleep(RESTART_S)
            self.assertEqual(site.unplaced_long_running(), [])

        self.run_scenario(scenario)


class UnfencedOwnerTest(LongRunningTestCase):
    """The owner before the previous one has not been fenced."""

    def test_orders_of_the_owner_before(self):
        """New jobs were taken as certain to have been started by nobody."""

        async def scenario(site: SimulatedSite) -> None:
            frozen = site.owner()
            site.freeze(frozen)
            while (previous := newest_owner(site)) is frozen:
                await asyncio.sleep(0.05)
            engine = previous.node._owners[0].engine
            until_ms = engine.predecessor_until_ms
            self.assertGreater(until_ms, site.clock.now_ms() + MIN_UNFENCED_MS)
            site.store.reassign_partitions()
            while (host := newest_owner(site)) in (frozen, previous):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)
            engine = host.node._owners[0].engine
            self.assertGreater(engine.predecessor_until_ms, until_ms - 100)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
