"""Long-running tasks start again soon after faults have ended."""

import asyncio
import unittest
from unittest import mock

from limpetyard.engine import Engine
from limpetyard.engine._planner import Planner
from limpetyard.engine._worker import Worker
from limpetyard.jobs import JobSpec, Resources, StepSpec
from limpetyard.node import CellOwner
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._site import QUEUE
from standins.platform._worker import WorkerModel
from tests.node.test_whole_site import LEASE_MS

TASKS = 6
LARGE = 2.15
MIXED = (0.3, 0.4, 0.3, 0.5, LARGE, LARGE)

# Time for which a draining worker still serves.
NOTICE_MS = 6000

# Time in which the site settles, and calm after the faults.
SETTLED_S = 6
CALM_S = 20


def long_running_job(count: int = TASKS) -> JobSpec:
    """Returns a job of long-running tasks, at most two on a worker."""
    need = Resources(1000, 500, 0)
    step = StepSpec(count, need, long_running=True, per_worker=2)
    return JobSpec("1" * 16, QUEUE, "payload", (step,))


def note_fault(site: SimulatedSite) -> None:
    """Records that a fault happens now, for `LongRunningTaskWatch`."""
    now_ms = site.clock.now_ms()
    site.history.fault_windows.append((now_ms, now_ms))


def crash_worker(site: SimulatedSite, busy: bool) -> None:
    """Loses a worker for good, one that runs tasks or one that does not."""
    workers = site.workers.values()
    next(w for w in workers if bool(w.running()) == busy).crash()
    note_fault(site)


def fail_task(site: SimulatedSite) -> None:
    """Lets the run of one task fail."""
    run = next(r for w in site.workers.values() for r in w._runs.values())
    run.end("failed")


def newest_owner(site: SimulatedSite):
    """Returns the VM of the newest owner, also while others are frozen.

    Returns None if no node has loaded the cell.
    """
    owners = [
        (owner.engine.epoch, host)
        for host in site.hosts
        if host.node is not None
        and (owner := host.node._owners.get(0)) is not None
        and owner.deciding
    ]
    return max(owners, default=(0, None), key=lambda entry: entry[0])[1]


class LongRunningTestCase(unittest.TestCase):
    """Runs scenarios on a site with one job of long-running tasks."""

    def run_scenario(
        self, scenario, cores=(0.0,) * 5, workers: int = 8
    ) -> SimulatedSite:
        """Runs a scenario and a calm time; no task may wait too long."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(len(cores), workers, processor_cores=cores)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job()))
            await asyncio.sleep(SETTLED_S)
            await scenario(site)
            await asyncio.sleep(CALM_S)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history), [])
        return site


class OwnerLostTest(LongRunningTestCase):
    """The owner does not answer its successor while a worker is gone."""

    def test_tasks_of_a_worker_lost_with_the_owner(self):
        """The leases of a silent owner were taken to last 10.2 s more."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=True)
            site.freeze(site.owner())

        self.run_scenario(scenario)

    def test_other_tasks_when_a_worker_is_lost_with_the_owner(self):
        """Tasks waited for a lost worker on which they had never been."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=False)
            site.freeze(site.owner())
            fail_task(site)

        self.run_scenario(scenario)

    def test_task_that_the_new_owner_found_running(self):
        """A task that was found running later waited for a lost worker."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=False)
            frozen = site.owner()
            site.freeze(frozen)
            await asyncio.sleep(1.2)
            self.assertIsNot(newest_owner(site), frozen)
            fail_task(site)

        self.run_scenario(scenario)

    def test_owner_that_answers_late(self):
        """A successor asked only once, while the previous owner was frozen."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=True)
            owner = site.owner()
            site.freeze(owner)
            await asyncio.sleep(3)
            site.thaw(owner)
            note_fault(site)

        self.run_scenario(scenario)

    def test_owner_killed_while_the_store_answers_slowly(self):
        """The bound on runs of a dead owner began when the state was loaded.

        It began long after the owner had been found to be dead.
        """

        async def scenario(site: SimulatedSite) -> None:
            for host in site.hosts:
                host.store_link.delay_ms = 100.0
            await asyncio.sleep(3)
            crash_worker(site, busy=True)
            await asyncio.sleep(2)
            await site.kill_node(site.owner())
            note_fault(site)

        self.run_scenario(scenario)

    def test_owner_and_worker_lost_while_the_store_is_out(self):
        """LOST: all bounds began with the claim, after the store's return.

        The owner is killed 2 s before that, and the worker 2 s earlier still.
        """

        async def scenario(site: SimulatedSite) -> None:
            start_ms = site.clock.now_ms()
            for host in site.hosts:
                host.store_link.cut = True
            await asyncio.sleep(0.8)
            crash_worker(site, busy=True)
            await asyncio.sleep(1.8)
            owner = site.owner()
            await site.kill_node(owner)
            owner.store_link.cut = True
            await asyncio.sleep(2)
            for host in site.hosts:
                host.store_link.cut = False
            window = (start_ms, site.clock.now_ms())
            site.history.fault_windows.append(window)
            site.history.store_fault_windows.append(window)

        self.run_scenario(scenario)

    def test_owners_lost_in_turn(self):
        """The wait for a worker that is long gone began anew at a takeover."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=True)
            for _ in range(3):
                note_fault(site)
                site.freeze(newest_owner(site))
                await asyncio.sleep((LEASE_MS + 3000) / 1000)

        self.run_scenario(scenario)


class UnrecordedPlaceTest(unittest.TestCase):
    """An owner that the store does not answer restarts a task elsewhere."""

    def run_scenario(self) -> list[str]:
        """Returns the violations.

        The task fails soon after its start. The owner, cut off from the store,
        may start it on another worker. Then it freezes, and no other node
        reaches the worker that it has just used.
        """

        async def main() -> SimulatedSite:
            site = SimulatedSite(3, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job(1)))
            while not any(w.running() for w in site.workers.values()):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.3)
            owner = site.owner()
            owner.store_link.cut = True
            fail_task(site)
            await asyncio.sleep(0.4)
            site.freeze(owner)
            for worker in site.workers.values():
                if worker.running():
                    for host in site.hosts:
                        host.worker_links[worker.entry.id].cut = True
            await asyncio.sleep(4)
            await site.stop()
            return site

        return violations(run_in_virtual_time(main()).history)

    def test_owner_waits_for_the_store(self):
        """The next owner starts the task a second time."""
        self.assertEqual(self.run_scenario(), [])

    def test_owner_that_does_not_wait(self):
        """Without the wait, the task runs twice."""
        with mock.patch.object(Engine, "is_place_recorded", lambda *_: True):
            found = self.run_scenario()
        self.assertTrue(any(v.startswith("TWICE") for v in found), found)


class WatchTest(LongRunningTestCase):
    """The check of long-running tasks itself."""

    def test_planner_that_starts_nothing(self):
        """The check of `LongRunningTaskWatch` reported nothing.

        A failed task is not started again until the check must have seen it.
        """

        async def main() -> SimulatedSite:
            site = SimulatedSite(3, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            await site.submit(long_running_job())
            await asyncio.sleep(SETTLED_S)
            with mock.patch.object(Planner, "place", lambda *args: []):
                fail_task(site)
                await asyncio.sleep(9.5)
            await asyncio.sleep(1)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        found = violations(site.history)
        self.assertEqual(len(found), 1)
        self.assertTrue(found[0].startswith("LOST"))


class RollingUpgradeTest(LongRunningTestCase):
    """The cell passes on every 2 s while workers are replaced one by one."""

    async def upgrade(self, site: SimulatedSite) -> None:
        """Replaces all workers, and lets a task end at each takeover."""
        outgoing = list(site.workers.values())
        leaving = []
        for number, worker in enumerate(outgoing):
            site.add_worker(len(outgoing) + number)
            worker.drain(remaining_ms=NOTICE_MS)
            leaving.append(asyncio.ensure_future(crash_later(worker)))
            if number % 3 == 0:
                await self.pass_on(site)
            await asyncio.sleep(0.7)
        for _ in range(4):
            await self.pass_on(site)
            await asyncio.sleep(2)
        await asyncio.gather(*leaving)

    async def pass_on(self, site: SimulatedSite) -> None:
        """Passes the cell on to another node; a task fails in between."""
        former = newest_owner(site)
        passing = site.pass_cell_on()
        while newest_owner(site) is former:
            await asyncio.sleep(0.001)
        fail_task(site)
        self.assertTrue(await passing)

    def test_tasks_of_draining_workers(self):
        """LOST: tasks waited for the leases of workers that had left."""
        self.run_scenario(self.upgrade, workers=14)

    def test_tasks_of_draining_workers_without_guards(self):
        """Without stored places and the leases of idle workers it is LOST."""
        with (
            mock.patch.object(
                CellOwner, "_has_stored_places", return_value=False
            ),
            mock.patch.object(Worker, "is_idle", False),
            self.assertRaisesRegex(AssertionError, "LOST"),
        ):
            self.run_scenario(self.upgrade, workers=14)


async def crash_later(worker: WorkerModel) -> None:
    """Ends a draining worker in silence, after its notice."""
    await asyncio.sleep(NOTICE_MS / 1000)
    worker.crash()


class StandbyTest(LongRunningTestCase):
    """All large nodes are lost while the small ones stand by."""

    def test_assignments_of_dead_members_stay(self):
        """Small nodes stood by for ever for members of which none is left."""

        async def scenario(site: SimulatedSite) -> None:
            site.store.keeps_assignments = True
            for host in site.hosts:
                if host.processor_cores == LARGE:
                    await site.kill_node(host)
            note_fault(site)

        self.run_scenario(scenario, MIXED)


if __name__ == "__main__":
    unittest.main()
