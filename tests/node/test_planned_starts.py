"""The owner plans no more starts than it can send soon, in virtual time."""

import asyncio
import unittest

from limpetyard.engine import RunEndKind, RunState
from limpetyard.jobs import JobSpec, Resources, StepSpec
from limpetyard.node._order_dispatch import (
    MAX_STARTS_IN_FLIGHT,
    MAX_UNRECORDED_STARTS,
)
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from standins.platform._site import QUEUE

NODES = 3
WORKERS = 60
JOBS = 100
TASKS = 8
NEED = Resources(100, 100, 0)

# One way to and from the store.
STORE_DELAY_MS = 100.0

# One way to and from the workers.
WORKER_DELAY_MS = 200.0

SETTLED_S = 6
SAMPLE_S = 0.02

# Starts that may be planned and not answered: the sum of both limits.
MOST_WAITING = MAX_STARTS_IN_FLIGHT + MAX_UNRECORDED_STARTS

# A long-running task must not wait longer than this for its next start.
LONGEST_WAIT_MS = 6000


def long_running_job(number: int) -> JobSpec:
    """Returns a job of long-running tasks."""
    step = StepSpec(TASKS, NEED, long_running=True)
    return JobSpec(f"{number:016x}", QUEUE, "payload", (step,))


def ordered_runs(site: SimulatedSite) -> int:
    """Returns how many starts the owner has planned that are not answered."""
    owner = site.owner().node._owners[0]
    return sum(
        run.state is RunState.ORDERED
        for worker in owner.engine.workers.values()
        for run in worker.runs.values()
    )


class PlannedStartsTest(unittest.TestCase):
    """Many long-running tasks arrive while the store answers slowly."""

    def run_scenario(self, scenario) -> SimulatedSite:
        """Runs a scenario with a settled site and one running task."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(NODES, WORKERS)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            await site.submit(long_running_job(0))
            await asyncio.sleep(SETTLED_S)
            for host in site.hosts:
                host.store_link.delay_ms = STORE_DELAY_MS
                for link in host.worker_links.values():
                    link.delay_ms = WORKER_DELAY_MS
            submissions = [
                asyncio.ensure_future(site.submit(long_running_job(number)))
                for number in range(1, JOBS)
            ]
            await scenario(site)
            await asyncio.gather(*submissions)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history, finished=False), [])
        return site

    def test_starts_that_wait_for_the_store(self):
        """Starts were planned without limit while they waited for the store."""
        samples = []

        async def scenario(site: SimulatedSite) -> None:
            for _ in range(round(8 / SAMPLE_S)):
                samples.append(ordered_runs(site))
                await asyncio.sleep(SAMPLE_S)

        self.run_scenario(scenario)
        self.assertGreater(max(samples), 0)
        self.assertLessEqual(max(samples), MOST_WAITING)

    def test_restart_beside_waiting_starts(self):
        """A task that failed waited behind all starts planned before."""
        ended = {}

        async def scenario(site: SimulatedSite) -> None:
            await asyncio.sleep(3)
            for worker in site.workers.values():
                for task in worker.running():
                    if int(task.job, 16) == 0:
                        worker.end_run(task, RunEndKind.FAILED)
                        ended[task] = site.clock.now_ms()
            await asyncio.sleep(LONGEST_WAIT_MS / 1000)

        site = self.run_scenario(scenario)
        self.assertEqual(len(ended), TASKS)
        restarted = {
            start.task
            for start in site.history.of(RunStarted)
            if start.at_ms > ended.get(start.task, float("inf"))
        }
        self.assertEqual(restarted, set(ended))


if __name__ == "__main__":
    unittest.main()
