"""Bounds on earlier owners that a new owner takes as too short."""

import asyncio
import contextlib
import unittest
from unittest import mock

from limpetyard.engine import EngineParams
from limpetyard.node._predecessor import Predecessor
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from standins.platform._virtual_time import VirtualClock
from tests.node.test_fencing import reassign
from tests.node.test_long_running import (
    SETTLED_S,
    LongRunningTestCase,
    crash_worker,
    fail_task,
    long_running_job,
    newest_owner,
)
from tests.node.test_predecessor import (
    RESTART_S,
    FormerOwners,
    held_load,
)
from tests.node.test_whole_site import LEASE_MS, job

# Time for which the claim of a node gets no answer. The bound of 10.2 s from
# the time at which it read the claims has passed after it.
UNANSWERED_S = 12.0

# Time before the end of it at which the owner in between freezes. It is longer
# than its membership and shorter than a lease.
FROZEN_S = 3.2

# Latency of calls between nodes in one direction, so that the state is loaded
# before the previous owner has answered.
PEER_DELAY_MS = 60.0


def cut_all_but(site: SimulatedSite, host, worker_id: str) -> None:
    """Lets a worker be reached by one VM only, and that VM reach only it."""
    for other in site.hosts:
        for other_id, link in other.worker_links.items():
            if (other_id == worker_id) != (other is host):
                link.cut = True


class ClaimInBetweenTest(unittest.TestCase):
    """Another owner claims the cell between the read and the claim."""

    def test_bound_before_the_fence(self):
        """The bound began when the claims were read, not when it is needed."""

        async def main() -> float:
            owners = FormerOwners({}, range(4, 6), 3)
            clock = VirtualClock()
            params = EngineParams(LEASE_MS, LEASE_MS)
            predecessor = Predecessor(0, owners, owners, clock, params)
            await predecessor.read()
            await asyncio.sleep(UNANSWERED_S)
            return predecessor.latest_run_end_ms("w") - clock.now_ms()

        self.assertGreater(run_in_virtual_time(main()), LEASE_MS)

    def test_node_that_was_frozen_before_its_claim(self):
        """TWICE: the leases of the owner in between were taken to be over."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(2, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            between = site.owner()
            claiming = await reassign(site)
            while (
                owner := claiming.node._owners.get(0)
            ) is None or owner._predecessor._read_ms is None:
                await asyncio.sleep(0.0002)
            site.freeze(claiming)
            await asyncio.sleep(UNANSWERED_S - FROZEN_S)
            self.assertIs(newest_owner(site), between)
            busy = next(w for w in site.workers.values() if w.running())
            claiming.worker_links[busy.entry.id].cut = True
            site.freeze(between)
            await asyncio.sleep(FROZEN_S)
            site.thaw(claiming)
            await asyncio.sleep(4)
            self.assertIs(claiming.node._owners.get(0), owner)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history), [])


class DeadOwnerTest(unittest.TestCase):
    """An owner dies before the one that it replaced has fenced itself."""

    def test_orders_of_the_owner_before(self):
        """TWICE: the owner before a dead one was taken to order no more.

        Cut off from the store and the other nodes, it renews the lease of the
        only worker that it reaches.
        """

        async def main() -> SimulatedSite:
            site = SimulatedSite(4, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            cut_off = site.owner()
            busy = next(w for w in site.workers.values() if w.running())
            cut_all_but(site, cut_off, busy.entry.id)
            cut_off.store_link.cut = cut_off.peer_link.cut = True
            while (previous := newest_owner(site)) is cut_off:
                await asyncio.sleep(0.01)
            await site.kill_node(previous)
            await asyncio.sleep(12)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history), [])


async def pass_on_in_turn(
    site: SimulatedSite, times: int, trimmed: bool
) -> None:
    """Assigns the cell to nodes in turn; none but the last one loads it.

    A run ends and the calls between nodes become slow before the last one.

    Args:
        site: The site.
        times: Number of nodes that do not load the cell.
        trimmed: Whether the store drops the claims but the latest one.
    """
    former = newest_owner(site)
    async with contextlib.AsyncExitStack() as held:
        for _ in range(times):
            host = await reassign(site)
            await held.enter_async_context(held_load(host))
            while (
                owner := host.node._owners.get(0)
            ) is None or owner.engine is None:
                await asyncio.sleep(0.01)
        fail_task(site)
        if trimmed:
            site.store.drop_history()
        for other in site.hosts:
            other.peer_link.delay_ms = PEER_DELAY_MS
        site.pass_cell_on()
        async with asyncio.timeout(RESTART_S):
            while newest_owner(site) in (None, former):
                await asyncio.sleep(0.01)


class TrimmedClaimsTest(LongRunningTestCase):
    """The claims since the last stored places are known to others only."""

    def run_chain(self, trimmed: bool) -> None:
        """Passes the cell on after an owner that no node reaches."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=False)
            site.owner().peer_link.cut = True
            await pass_on_in_turn(site, 2, trimmed)
            await asyncio.sleep(RESTART_S)
            self.assertEqual(site.unplaced_long_running(), [])

        self.run_scenario(scenario)

    def test_reply_after_the_load(self):
        """LOST: places were judged before the reply with the claims came."""
        self.run_chain(trimmed=True)

    def test_claims_that_are_kept(self):
        """The store has the claims."""
        self.run_chain(trimmed=False)


class RemovedWorkerTest(unittest.TestCase):
    """A worker has left, and the owner is about to delete its record."""

    def test_record_that_is_not_deleted_yet(self):
        """The successor waited for a full lease of the worker that had left."""

        async def main() -> float:
            site = SimulatedSite(3, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            owner = site.owner()
            store = owner.node._adapters.store
            append = store.append

            async def held_append(topic, partition, records, producer=None):
                if any(r.value is None for r in records):
                    await asyncio.Event().wait()
                return await append(topic, partition, records, producer)

            with mock.patch.object(store, "append", held_append):
                worker = next(iter(site.workers.values()))
                worker.drain()
                await asyncio.sleep(SETTLED_S)
                worker.crash()
                engine = owner.node._owners[0].engine
                while worker.entry.id in engine.workers:
                    await asyncio.sleep(0.1)
                await asyncio.sleep(0.1)
                site.pass_cell_on()
                while newest_owner(site) is owner:
                    await asyncio.sleep(0.0002)
                other = next(h for h in site.hosts if h is not owner)
                self.assertTrue(await site.submit(job(0, 1), other))
                sent_ms = site.clock.now_ms()
                while not site.history.of(RunStarted):
                    await asyncio.sleep(0.01)
                waited_ms = site.clock.now_ms() - sent_ms
            await site.stop()
            return waited_ms

        self.assertLess(run_in_virtual_time(main()), 1000 * RESTART_S)


if __name__ == "__main__":
    unittest.main()
