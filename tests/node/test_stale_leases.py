"""What an owner learns of stale leases from the owners before it."""

import asyncio
import unittest
from unittest import mock

import msgspec

from limpetyard._clock import ManualClock
from limpetyard.engine import (
    MAX_ORDER_DELAY_MS,
    MIN_CLOCK_RATE,
    EngineParams,
    StaleLeases,
    WorkerRecord,
    lease_bound_ms,
)
from limpetyard.jobs import StepSpec
from limpetyard.node import CellOwner, FenceResult, RemainingLeases
from limpetyard.node._handover import LeaseExpiries
from limpetyard.node._predecessor import Predecessor
from standins.platform import SimulatedSite
from tests.engine.test_engine import ONE_CORE, EngineTestCase, entry, job
from tests.node.test_unstarted_doubts import until
from tests.node.test_whole_site import SiteTestCase

PARAMS = EngineParams(5200, 6000, longest_lease_ms=10_000)
NOW_MS = 1000.0

# Longest wait for a record: the longest lease and the interval of purges.
RECORD_S = 20.0


class HandoverTest(unittest.TestCase):
    """Replies of a previous owner that was fenced at `NOW_MS`."""

    def predecessor(self, leases: RemainingLeases | None) -> Predecessor:
        """Returns a predecessor that has replied."""
        predecessor = Predecessor(
            0, mock.Mock(), mock.Mock(), ManualClock(NOW_MS), PARAMS
        )
        predecessor._fence_result = FenceResult(True, leases)
        predecessor._fenced_ms = NOW_MS
        predecessor._epoch = 4
        return predecessor

    def test_reported(self):
        """A bound is taken over; no report on a known worker means none."""
        leases = RemainingLeases(
            4,
            {"a": 0.0, "b": 0.0, "c": 0.0},
            stale_left_ms={"a": 980, "b": None},
        )
        predecessor = self.predecessor(leases)
        end_ms = predecessor.stale_lease_end_ms
        self.assertEqual(end_ms("a"), NOW_MS + 980 / MIN_CLOCK_RATE)
        self.assertEqual(end_ms("b"), float("inf"))
        self.assertEqual(end_ms("c"), NOW_MS)
        self.assertTrue(predecessor.may_have_ordered("c"))
        self.assertFalse(predecessor.may_have_ordered("unknown"))

    def test_nothing_reported(self):
        """TWICE: an owner of an earlier release knows no stale leases."""
        data = b'{"epoch": 4, "left_ms": {}}'
        earlier = msgspec.json.decode(data, type=RemainingLeases)
        for leases in (None, earlier):
            with self.subTest(leases):
                predecessor = self.predecessor(leases)
                end_ms = predecessor.stale_lease_end_ms("w")
                self.assertEqual(end_ms, float("inf"))
        self.assertTrue(self.predecessor(None).may_have_ordered("w"))

    def test_earlier_owner_still_orders(self):
        """A worker that the previous owner does not know may get orders."""
        leases = RemainingLeases(4, {}, orders_left_ms=500.0)
        self.assertTrue(self.predecessor(leases).may_have_ordered("w"))

    def test_owner_that_does_not_reply(self):
        """TWICE: stale leases outlast those that owners grant."""
        predecessor = self.predecessor(None)
        predecessor.held_ms = NOW_MS
        predecessor._new_epoch = 5
        orders_end_ms = predecessor.orders_end_ms
        for stale_leases, lease_ms, delay_ms in (
            (StaleLeases.EXPIRED, 5200, 0),
            (StaleLeases.BOUNDED, 10_000, 0),
            (StaleLeases.POSSIBLE, 10_000, MAX_ORDER_DELAY_MS),
        ):
            with self.subTest(stale_leases):
                end_ms = predecessor.latest_run_end_ms("w", stale_leases)
                bound_ms = delay_ms + lease_bound_ms(lease_ms)
                self.assertEqual(end_ms, orders_end_ms + bound_ms)


class RestartedWorkerTest(EngineTestCase):
    """What is handed over of a worker that has not confirmed its token."""

    workers = 1

    def remaining(self) -> RemainingLeases:
        """Returns the handover after a restart that a poll has shown."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        self.start_all()
        self.poll("w-0", born=2)
        return LeaseExpiries(self.engine).remaining(self.now_ms)

    def test_stale_orders(self):
        """TWICE: the next owner took a worker to have no stale lease."""
        self.assertEqual(self.remaining().stale_left_ms, {"w-0": None})

    def test_late_start(self):
        """TWICE: the time in which a late start may arrive was left out."""
        longest_ms = lease_bound_ms(self.engine.params.longest_lease_ms)
        self.assertEqual(
            self.remaining().left_ms, {"w-0": longest_ms + MAX_ORDER_DELAY_MS}
        )


class UnknownWorkerTest(EngineTestCase):
    """A worker replies before the previous owner does, which has no lease."""

    workers = 0

    def test_bound_before_the_reply(self):
        """LOST: tasks of a new worker waited as if it had restarted."""
        self.engine.may_have_stale_orders = lambda worker_id: True
        self.engine.predecessor_until_ms = float("inf")
        self.add(entry(0))
        worker = self.engine.workers["w-0"]
        worker.prior_lease_end_ms = worker.stale_lease_end_ms
        self.assertGreater(worker.stale_lease_end_ms, self.now_ms)
        owner = mock.Mock()
        owner._inherited_workers = frozenset()
        owner._predecessor.may_have_ordered.return_value = False
        CellOwner._apply_lease_bounds(owner, worker, float("inf"))
        self.assertEqual(worker.stale_lease_end_ms, 0)
        self.assertEqual(worker.prior_lease_end_ms, 0)


class RecordTest(SiteTestCase):
    """Records of a worker that restarts."""

    async def until_stored(
        self, site: SimulatedSite, born: int, stale_leases: StaleLeases
    ) -> None:
        """Waits until the record shows an incarnation and its stale leases."""
        async with asyncio.timeout(RECORD_S):
            await until(lambda: self.stored(site) == (born, stale_leases))

    def stored(self, site: SimulatedSite) -> tuple[int, StaleLeases]:
        """Returns the incarnation and the stale leases in the record."""
        value = site.store.partition("jobs", 0).latest["w/w-0"].value
        record = msgspec.msgpack.decode(value, type=WorkerRecord)
        return record.born, record.stale_leases

    def test_restart(self):
        """A later owner learns of the restart until its effects are over."""

        async def scenario(site: SimulatedSite) -> None:
            await self.until_stored(site, 1, StaleLeases.EXPIRED)
            site.workers["w-0"].crash()
            site.workers["w-0"].restart()
            await self.until_stored(site, 2, StaleLeases.BOUNDED)
            at_ms = site.clock.now_ms()
            await self.until_stored(site, 2, StaleLeases.EXPIRED)
            took_ms = site.clock.now_ms() - at_ms
            longest_ms = site.owner().node._params.longest_lease_ms
            self.assertGreaterEqual(took_ms, longest_ms)

        self.run_scenario(scenario, workers=1)

    def test_restart_that_the_directory_does_not_show(self):
        """TWICE: a later owner counted only leases of before the restart."""

        async def scenario(site: SimulatedSite) -> None:
            await self.until_stored(site, 1, StaleLeases.EXPIRED)
            site.workers["w-0"].reaches_store = False
            site.workers["w-0"].crash()
            site.workers["w-0"].restart()
            await self.until_stored(site, 1, StaleLeases.POSSIBLE)
            site.workers["w-0"].reaches_store = True
            await self.until_stored(site, 2, StaleLeases.BOUNDED)

        self.run_scenario(scenario, workers=1)


if __name__ == "__main__":
    unittest.main()
