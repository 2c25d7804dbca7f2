"""Stale leases that a new owner must count, and waits that must end."""

import asyncio
import unittest
from unittest import mock

import msgspec

from limpetyard._clock import ManualClock
from limpetyard.engine import (
    MIN_CLOCK_RATE,
    EngineParams,
    StaleLeases,
    Start,
    WorkerRecord,
    lease_bound_ms,
)
from limpetyard.engine._worker import MAX_ORDER_DELAY_MS
from limpetyard.jobs import StepSpec, TaskKey
from limpetyard.node import FenceResult, RemainingLeases
from limpetyard.node._predecessor import Predecessor
from limpetyard.node._store_layout import UNLEASED_KEY, WORKER_KEY_PREFIX
from limpetyard.node._unleased_workers import decode_unleased
from standins.platform import SimulatedSite
from standins.platform._worker import WorkerModel
from tests.engine.test_engine import ONE_CORE, EngineTestCase, entry, job
from tests.node.test_long_running import newest_owner
from tests.node.test_restarted_workers import (
    ORDINARY_DELAY_MS,
    RestartTestCase,
)
from tests.node.test_unstarted_doubts import cut_off, until
from tests.node.test_whole_site import SiteTestCase

PARAMS = EngineParams(5200, 6000, longest_lease_ms=10_000)
NOW_MS = 1000.0

# Longest wait for a record.
RECORD_S = 10.0
STEP_MS = 400.0
LONGEST_MS = lease_bound_ms(10_000)

# Time after which less of the longest lease is left than of an ordinary one.
OLD_LEASE_S = 6.0

# Delay of an order that is carried out after its owner was fenced.
LATE_ORDER_MS = 4000.0


async def until_recorded(
    site: SimulatedSite, worker: WorkerModel, born: int, state: StaleLeases
) -> None:
    """Waits until the record of a worker has an incarnation and a state."""
    latest = site.store.partition("jobs", 0).latest
    key = WORKER_KEY_PREFIX + worker.entry.id

    def is_recorded() -> bool:
        value = latest[key].value
        record = msgspec.msgpack.decode(value, type=WorkerRecord)
        return (record.born, record.stale_leases) == (born, state)

    async with asyncio.timeout(RECORD_S):
        await until(is_recorded)


class ReplyTest(unittest.TestCase):
    """Bounds from the reply of a previous owner, fenced at `NOW_MS`."""

    def predecessor(self, leases: RemainingLeases | None) -> Predecessor:
        """Returns a predecessor that has replied."""
        self.clock = ManualClock(NOW_MS)
        predecessor = Predecessor(
            0, mock.Mock(), mock.Mock(), self.clock, PARAMS
        )
        predecessor._fence_result = FenceResult(True, leases)
        predecessor._fenced_ms = NOW_MS
        predecessor._epoch = 4
        predecessor._new_epoch = 5
        predecessor.held_ms = NOW_MS
        return predecessor

    def test_incarnation_that_is_not_recorded(self):
        """TWICE: a stale lease was reported, but not counted.

        The record and the directory entry are those of the incarnation before,
        whose stale leases have expired.
        """
        leases = RemainingLeases(4, {"w": 8000.0}, stale_left_ms={"w": 8000.0})
        end_ms = self.predecessor(leases).latest_run_end_ms(
            "w", StaleLeases.EXPIRED
        )
        self.assertEqual(end_ms, NOW_MS + 8000 / MIN_CLOCK_RATE)

    def test_unconfirmed_incarnation_that_is_not_recorded(self):
        """TWICE: the same, and no bound on its leases is known."""
        leases = RemainingLeases(4, {"w": 9000.0}, stale_left_ms={"w": None})
        end_ms = self.predecessor(leases).latest_run_end_ms(
            "w", StaleLeases.EXPIRED
        )
        self.assertEqual(end_ms, NOW_MS + 9000 / MIN_CLOCK_RATE)

    def test_times_stored_before_the_reply(self):
        """TWICE: times of the incarnation before were used, not the reply."""
        leases = RemainingLeases(4, {"w": 8000.0}, stale_left_ms={"w": 8000.0})
        predecessor = self.predecessor(leases)
        predecessor.unleased_epoch = 4
        predecessor.unleased_ends_ms = {"w": NOW_MS + 1000}
        end_ms = predecessor.latest_run_end_ms("w", StaleLeases.EXPIRED)
        self.assertEqual(end_ms, NOW_MS + 8000 / MIN_CLOCK_RATE)

    def test_owner_of_an_earlier_release(self):
        """TWICE: leases were reported by an owner that counts no stale ones."""
        data = b'{"epoch": 4, "left_ms": {"w": 1000.0}}'
        leases = msgspec.json.decode(data, type=RemainingLeases)
        for stale_leases, delay_ms in (
            (StaleLeases.POSSIBLE, MAX_ORDER_DELAY_MS),
            (StaleLeases.BOUNDED, 0),
        ):
            with self.subTest(stale_leases):
                end_ms = self.predecessor(leases).latest_run_end_ms(
                    "w", stale_leases
                )
                self.assertEqual(end_ms, NOW_MS + delay_ms + LONGEST_MS)

    def test_order_of_an_owner_before(self):
        """TWICE: stale leases counted as over once orders were.

        The previous owner does not know the worker, and the one before it was
        silent and could still send it a poll that grants a lease.
        """
        leases = RemainingLeases(4, {}, orders_left_ms=500.0)
        predecessor = self.predecessor(leases)
        self.assertTrue(predecessor.may_have_ordered("w"))
        self.clock.advance(600.0)
        self.assertTrue(predecessor.is_certain)
        self.assertTrue(predecessor.may_have_ordered("w"))


class UnleasedRecordTest(SiteTestCase):
    """The stored times of a worker that restarts."""

    def test_silent_worker_that_restarts(self):
        """TWICE: the times of the earlier incarnation bounded the next one.

        A later owner finds the record of the next one beside them.
        """

        async def scenario(site: SimulatedSite) -> None:
            latest = site.store.partition("jobs", 0).latest

            def left_ms() -> float | None:
                record = decode_unleased(latest[UNLEASED_KEY].value)
                return record.left_ms.get("w-0")

            def stored_born() -> int:
                value = latest[WORKER_KEY_PREFIX + "w-0"].value
                return msgspec.msgpack.decode(value, type=WorkerRecord).born

            await self.submit(site, range(1), run_ms=5000)
            await asyncio.sleep(1)
            self.assertTrue(site.workers["w-0"].running())
            site.workers["w-0"].crash()
            cut_off(site, "w-0")
            await until(left_ms)
            site.workers["w-0"].restart()
            restarted_ms = site.clock.now_ms()
            await until(lambda: stored_born() == 2)
            waited_ms = site.clock.now_ms() - restarted_ms
            longest_ms = site.owner().node._params.longest_lease_ms
            self.assertGreaterEqual(left_ms(), longest_ms - waited_ms)
            for host in site.hosts:
                host.worker_links["w-0"].cut = False
            await self.complete(site, range(1))

        self.run_scenario(scenario, workers=1)


class RemovedWorkerTest(EngineTestCase):
    """A worker that is dropped while a stale lease may last."""

    workers = 1

    def test_idle_worker_without_an_entry(self):
        """TWICE: a worker was forgotten with its stale lease.

        If it is listed again, a later owner knows of no stale lease.
        """
        self.poll("w-0", born=2)
        self.now_ms += 100
        self.poll("w-0", born=2)
        worker = self.engine.workers["w-0"]
        self.assertTrue(worker.is_idle)
        stale_end_ms = worker.stale_lease_end_ms
        self.engine.mark_entry_missing("w-0", self.now_ms)
        self.now_ms += 3000
        self.assertLess(self.now_ms, stale_end_ms)
        self.assertEqual(self.engine.remove_gone_workers(self.now_ms), [])
        self.now_ms = stale_end_ms + 1
        self.assertEqual(self.engine.remove_gone_workers(self.now_ms), ["w-0"])

    def test_listed_again(self):
        """TWICE: a worker that came back was taken to have no stale lease."""
        self.engine.mark_entry_missing("w-0", self.now_ms)
        self.now_ms += 60_000
        self.assertEqual(self.engine.remove_gone_workers(self.now_ms), ["w-0"])
        worker = self.engine.set_entry(entry(0, born=2), self.now_ms)
        self.poll("w-0", born=2)
        self.assertIs(worker.stale_leases(self.now_ms), StaleLeases.BOUNDED)


class UnrecordedWorkerTest(EngineTestCase):
    """A worker of which no record of an earlier owner tells."""

    workers = 0

    def stale_end_ms(self, until_ms: float, may_have_ordered: bool) -> float:
        """Returns the bound on stale leases after the first reply.

        Args:
            until_ms: Time until which earlier owners may send orders.
            may_have_ordered: Whether one may have sent some to the worker.
        """
        self.setUp()
        self.engine.predecessor_until_ms = until_ms
        self.engine.may_have_stale_orders = lambda worker_id: may_have_ordered
        self.add(entry(0))
        return self.engine.workers["w-0"].stale_lease_end_ms

    def test_first_reply(self):
        """TWICE: an earlier owner may have known an earlier incarnation."""
        longest_ms = lease_bound_ms(self.engine.params.longest_lease_ms)
        for until_ms in (self.now_ms - 400, self.now_ms + 400):
            with self.subTest(until_ms):
                self.assertEqual(
                    self.stale_end_ms(until_ms, may_have_ordered=True),
                    min(until_ms, self.now_ms) + longest_ms,
                )

    def test_worker_that_no_owner_knew(self):
        """LOST: tasks of a new worker that was lost waited too long."""
        self.assertEqual(
            self.stale_end_ms(self.now_ms, may_have_ordered=False), 0
        )


class RepeatedRestartsTest(EngineTestCase):
    """A worker that restarts again and again and replies to no poll."""

    def test_task_of_the_first_incarnation(self):
        """LOST: each restart prolonged the wait for the first incarnation."""
        self.submit(job(1, StepSpec(1, ONE_CORE)))
        (start,) = self.start_all()
        number = int(start.worker.removeprefix("w-"))
        other = f"w-{1 - number}"
        # A late order for the first restart, and the longest lease from then.
        limit_ms = self.now_ms + MAX_ORDER_DELAY_MS + STEP_MS
        limit_ms += lease_bound_ms(self.engine.params.longest_lease_ms)
        starts: list[Start] = []
        for born in range(2, 12):
            self.engine.set_entry(entry(number, born=born), self.now_ms)
            for _ in range(10):
                self.now_ms += STEP_MS
                self.poll(other)
                starts += self.plan(Start)
            if self.now_ms >= limit_ms:
                break
        self.assertTrue(starts)


class UnreadEntryTest(RestartTestCase):
    """The worker reaches neither a node nor the store after its restart.

    Its late start was carried out 0.1 s after it was sent.
    """

    async def lose(self, site: SimulatedSite, worker: WorkerModel) -> None:
        """Cuts a worker off from all nodes; see `cut`."""
        cut_off(site, worker.entry.id)
        await self.cut(site, worker)

    def test_same_owner(self):
        """TWICE: the owner did not know that the worker had restarted."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            worker.reaches_store = False
            await self.lose(site, worker)

        self.check(scenario)

    def test_killed_owner(self):
        """TWICE: only the killed owner knew that the worker had restarted."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            worker.reaches_store = False
            await self.confirm(site, worker)
            await site.kill_node(site.owner())
            await self.lose(site, worker)

        self.check(scenario)

    def test_killed_owner_that_has_recorded_it(self):
        """TWICE: the next owner ignored that stale leases are possible."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            worker.reaches_store = False
            await self.confirm(site, worker)
            await until_recorded(site, worker, 1, StaleLeases.POSSIBLE)
            await site.kill_node(site.owner())
            await self.lose(site, worker)

        self.check(scenario)

    def test_fenced_owner(self):
        """TWICE: the next owner ignored the stale lease that it was told."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            worker.reaches_store = False
            await self.confirm(site, worker)
            cut_off(site, worker.entry.id)
            self.assertTrue(await site.pass_cell_on())
            await self.lose(site, worker)

        self.check(scenario)


class InheritedBoundTest(RestartTestCase):
    """The next owner reaches the worker, which is then cut off."""

    async def record(self, site: SimulatedSite, worker: WorkerModel) -> None:
        """Waits until the current incarnation of a worker is recorded."""
        born = worker.entry.born
        await until_recorded(site, worker, born, StaleLeases.BOUNDED)

    async def pass_on(self, site: SimulatedSite) -> None:
        """Passes the cell on, and waits until the next owner has loaded it."""
        former = newest_owner(site)
        self.assertTrue(await site.pass_cell_on())
        await until(lambda: newest_owner(site) not in (None, former))

    async def lose(self, site: SimulatedSite, worker: WorkerModel) -> None:
        """Cuts a worker off once it has replied to the newest owner."""
        await until(lambda: newest_owner(site) is not None)
        await self.confirm(site, worker)
        self.assertTrue(worker.running())
        await self.cut(site, worker)

    def test_killed_owner(self):
        """TWICE: the stale lease that a killed owner recorded was dropped."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            await self.confirm(site, worker)
            await self.record(site, worker)
            await site.kill_node(site.owner())
            await self.lose(site, worker)

        self.check(scenario)

    def test_fenced_owner(self):
        """TWICE: the stale lease that a fenced owner reported was dropped."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            await self.confirm(site, worker)
            await self.record(site, worker)
            await self.pass_on(site)
            await self.lose(site, worker)

        self.check(scenario)

    def check_wait(self, reached: bool) -> None:
        """Checks how long tasks wait once most of a stale lease is over.

        Args:
            reached: Whether the worker replies to the next owner before it is
                lost.
        """
        missing: list[TaskKey] = []

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            await self.confirm(site, worker)
            await asyncio.sleep(OLD_LEASE_S)
            tasks = worker.running()
            if not reached:
                worker.crash()
            await self.pass_on(site)
            if reached:
                await self.confirm(site, worker)
                worker.crash()
            await asyncio.sleep(ORDINARY_DELAY_MS / 1000)
            missing.extend(set(tasks) - self.running(site))

        self.play(scenario)
        self.assertEqual(missing, [])

    def test_reported_bound(self):
        """LOST: a fenced owner's bound was not used; it began anew."""
        for reached in (True, False):
            with self.subTest(reached=reached):
                self.check_wait(reached)

    def test_recorded_earlier_incarnation(self):
        """TWICE: leases of a late order counted from the end of the owner.

        No owner before has noticed the restart, and the order is carried out
        after the last one was fenced.
        """

        async def scenario(site: SimulatedSite) -> None:
            worker_id = await self.delay_start(site, 0, LATE_ORDER_MS)
            worker = site.workers[worker_id]
            worker.crash()
            worker.restart(0.0)
            cut_off(site, worker_id)
            site.owner().store_link.cut = True
            # Its successor reads the entry, which it does not.
            entry = msgspec.msgpack.encode(worker.entry)
            site.store.write("workers", worker_id, entry)
            await self.pass_on(site)
            await until(worker.running)
            for host in site.hosts:
                host.worker_links[worker_id].cut = False
            await self.lose(site, worker)

        self.check(scenario)


if __name__ == "__main__":
    unittest.main()
