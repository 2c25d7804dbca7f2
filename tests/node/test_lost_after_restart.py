"""A worker restarts behind a cut and is lost, after the owner was killed.

Orders to its earlier incarnation might be carried out by the later one, which
no owner ever reaches. Only tasks of which such an order may exist must wait.
"""

import asyncio

from limpetyard.jobs import JobSpec, StepSpec
from standins.platform import SimulatedSite
from standins.platform._history import RunEnded, RunStarted
from standins.platform._site import QUEUE
from standins.platform._worker import WorkerModel
from tests.node.test_unstarted_doubts import cut_off, until
from tests.node.test_whole_site import SMALL, SiteTestCase

JOBS = 10
STEP_MS = 3000

# After the beginning of the cut: the owner is killed, the worker restarts, and
# is lost.
KILLED_S, RESTARTED_S, LOST_S = 0.5, 3.0, 4.5

# Longest delay of the start of a task that need not wait for the worker.
START_DELAY_MS = 100


def two_steps(number: int, second: int = 1) -> JobSpec:
    """Returns a job with a step of one task and one of `second` tasks."""
    steps = (
        StepSpec(1, SMALL, STEP_MS),
        StepSpec(second, SMALL, STEP_MS, after=(0,)),
    )
    return JobSpec(f"{number:016x}", QUEUE, "payload", steps)


class LostAfterRestartTest(SiteTestCase):
    """Guards against LOST: jobs that wait for a worker that never returns."""

    async def lose(self, site: SimulatedSite, worker: WorkerModel) -> None:
        """Cuts a worker off, kills the owner, then loses the worker."""
        cut_off(site, worker.entry.id)
        await asyncio.sleep(KILLED_S)
        owner = site.owner()
        await site.kill_node(owner)
        await site.start_node(owner)
        await asyncio.sleep(RESTARTED_S - KILLED_S)
        worker.crash()
        worker.restart()
        await asyncio.sleep(LOST_S - RESTARTED_S)
        worker.refuse_connections()

    def first_runs(self, site: SimulatedSite) -> dict[str, str]:
        """Returns the worker of the first run of each job."""
        workers: dict[str, str] = {}
        for start in site.history.of(RunStarted):
            workers.setdefault(start.task.job, start.worker)
        return workers

    def test_steps_after_those_that_run(self):
        """No earlier owner can have started a step after one that still runs.

        Those of all jobs waited, as the worker might have been given any.
        """

        async def scenario(site: SimulatedSite) -> None:
            for number in range(JOBS):
                self.assertTrue(await site.submit(two_steps(number)))
            await asyncio.sleep(0.5)
            worker = next(w for w in site.workers.values() if w.running())
            await self.lose(site, worker)
            await asyncio.sleep(5)
            others = {
                job_id
                for job_id, first in self.first_runs(site).items()
                if first != worker.entry.id
            }
            ends = {
                end.task.job: end.at_ms
                for end in site.history.of(RunEnded)
                if end.task.step == 0
            }
            delays = {
                start.task.job: start.at_ms - ends[start.task.job]
                for start in site.history.of(RunStarted)
                if start.task.step == 1
            }
            self.assertLess(len(others), JOBS)
            self.assertLessEqual(others, delays.keys())
            late = [j for j in others if delays[j] > START_DELAY_MS]
            self.assertEqual(late, [])
            await self.complete(site, range(JOBS))

        self.run_scenario(scenario, workers=7)

    def test_step_that_was_started(self):
        """TWICE: the killed owner knew of an end that its successor reads."""

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(two_steps(0, second=6)))
            await until(
                lambda: any(s.task.step for s in site.history.of(RunStarted))
            )
            await site.kill_node(site.owner())
            first, *later = site.history.of(RunStarted)
            worker_id = next(
                start.worker for start in later if start.worker != first.worker
            )
            cut_off(site, worker_id)
            await self.complete(site, range(1))

        self.run_scenario(scenario, workers=7)
