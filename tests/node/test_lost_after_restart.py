"""A worker restarts behind a cut and is lost, after the owner was killed.

Orders to its earlier incarnation might be carried out by the later one, which
no owner ever reaches. Only tasks of which such an order may exist must wait.
"""

import asyncio
from unittest import mock

from limpetyard._clock import MS_PER_SECOND
from limpetyard.jobs import Job, JobSpec, StepSpec, TaskKey
from standins.platform import (
    SimulatedSite,
    run_in_virtual_time,
    violations,
)
from standins.platform._history import RunEnded, RunStarted
from standins.platform._site import QUEUE
from standins.platform._worker import WorkerModel
from tests.node.test_long_running import long_running_job
from tests.node.test_unstarted_doubts import cut_off, until
from tests.node.test_whole_site import SMALL, SiteTestCase

JOBS = 10
STEP_MS = 3000

# After the beginning of the cut: the owner is killed, the worker restarts, and
# is lost.
KILLED_S, RESTARTED_S, LOST_S = 0.5, 3.0, 4.5

# Time in which what is known of new runs is stored, and in which the restart of
# a worker is read from the directory.
STORED_S = 1.0
SOON_S = 0.1
READ_MS = 2000

# Time in which the owner would start a failed task again.
RETRIED_S = 0.4

# A late start order is carried out after the restart.
LATE_MS = 3000.0

# One that outlasts the next owner.
LATEST_MS = 9000.0

# Longest delay of the start of a task that need not wait for the worker.
START_DELAY_MS = 100


def two_steps(number: int, second: int = 1) -> JobSpec:
    """Returns a job with a step of one task and one of `second` tasks."""
    steps = (
        StepSpec(1, SMALL, STEP_MS),
        StepSpec(second, SMALL, STEP_MS, after=(0,)),
    )
    return JobSpec(f"{number:016x}", QUEUE, "payload", steps)


def running_on(site: SimulatedSite, task: TaskKey) -> WorkerModel | None:
    """Returns a worker that runs a task, or None if there is none."""
    workers = site.workers.values()
    return next((w for w in workers if task in w.running()), None)


class LostAfterRestartTest(SiteTestCase):
    """Guards against LOST: jobs that wait for a worker that never returns."""

    async def lose(
        self,
        site: SimulatedSite,
        worker: WorkerModel,
        answers: bool = False,
        killed_s: float = KILLED_S,
    ) -> None:
        """Cuts a worker off, ends the owner, then loses the worker.

        Args:
            site: The site.
            worker: The worker.
            answers: Whether the owner answers its successor, or is killed.
            killed_s: Time from the beginning of the cut until then.
        """
        cut_off(site, worker.entry.id)
        await asyncio.sleep(killed_s)
        owner = site.owner()
        if answers:
            site.pass_cell_on()
        else:
            await site.kill_node(owner)
            await site.start_node(owner)
            # Its links are sound again.
            cut_off(site, worker.entry.id)
        await asyncio.sleep(RESTARTED_S - killed_s)
        worker.crash()
        worker.restart()
        await asyncio.sleep(LOST_S - RESTARTED_S)
        worker.refuse_connections()

    async def check_started_again(
        self, site: SimulatedSite, lost: set[TaskKey], worker: WorkerModel
    ) -> None:
        """Checks that tasks of a worker that was just lost go on elsewhere.

        They must have started soon after its restart.
        """
        restarted_ms = site.clock.now_ms() - MS_PER_SECOND * (
            LOST_S - RESTARTED_S
        )
        await asyncio.sleep(READ_MS / MS_PER_SECOND)
        again = {
            start.task
            for start in site.history.of(RunStarted)
            if start.at_ms > restarted_ms and start.worker != worker.entry.id
        }
        self.assertEqual(lost - again, set())
        await self.complete(site, range(JOBS))

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

    def check_answered(
        self, answers: bool = False, known_s: float = STORED_S
    ) -> None:
        """Checks that tasks of runs that were answered start again.

        Args:
            answers: See `lose`.
            known_s: Time from the last start until the worker is cut off; the
                owner ends soon after it if this is short.
        """
        killed_s = KILLED_S if known_s >= STORED_S else 0.0

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(0.5)
            for number in range(JOBS):
                self.assertTrue(await site.submit(two_steps(number)))
            await asyncio.sleep(known_s)
            (worker,) = (
                w
                for w in site.workers.values()
                if any(t.job == "1" * 16 for t in w.running())
            )
            lost = set(worker.running())
            self.assertGreater(len(lost), 1)
            await self.lose(site, worker, answers, killed_s)
            await self.check_started_again(site, lost, worker)

        self.run_scenario(scenario, workers=7)

    def test_runs_that_were_answered(self):
        """Runs on the worker itself have ended with their incarnation.

        Their tasks waited for late orders to it, of which none can exist.
        """
        self.check_answered()

    def test_runs_that_were_answered_right_before(self):
        """The owner is killed soon after it has sent the starts.

        The store did not have their answers yet.
        """
        self.check_answered(known_s=SOON_S)

    def test_runs_of_an_owner_that_answers(self):
        """The same with an owner that tells its leases."""
        self.check_answered(answers=True)

    def test_steps_that_a_new_owner_has_started(self):
        """No earlier owner can have started a step after one that still ran.

        They waited for late orders of earlier owners.
        """

        async def scenario(site: SimulatedSite) -> None:
            for number in range(JOBS):
                self.assertTrue(await site.submit(two_steps(number)))
            await asyncio.sleep(STORED_S)
            await site.kill_node(site.owner())
            await until(
                lambda: (
                    sum(s.task.step for s in site.history.of(RunStarted))
                    == JOBS
                )
            )
            await asyncio.sleep(SOON_S)
            worker = next(w for w in site.workers.values() if w.running())
            lost = set(worker.running())
            await self.lose(site, worker, killed_s=0.0)
            await self.check_started_again(site, lost, worker)

        self.run_scenario(scenario, workers=7)

    def check_after_takeover(self, arrives_late: bool) -> None:
        """Checks that a long-running task of a new owner starts again.

        Its owner has taken over from one that was killed. It is lost soon, and
        so is the worker, behind a cut.

        Args:
            arrives_late: Whether the job arrives after the takeover. Otherwise,
                it moves to that worker from another one lost in this way.
        """

        async def scenario(site: SimulatedSite) -> None:
            spec = long_running_job(1)
            task = TaskKey(spec.id, 0, 0, 0)
            if arrives_late:
                first = site.owner()
                await site.kill_node(first)
                await until(lambda: site.owner() not in (None, first))
                self.assertTrue(await site.submit(spec))
            else:
                self.assertTrue(await site.submit(spec))
                await asyncio.sleep(STORED_S)
                await self.lose(site, running_on(site, task))
            await until(lambda: running_on(site, task))
            await asyncio.sleep(STORED_S)
            await self.lose(site, running_on(site, task))
            restarted_ms = site.clock.now_ms() - MS_PER_SECOND * (
                LOST_S - RESTARTED_S
            )
            await asyncio.sleep(READ_MS / MS_PER_SECOND)
            last = site.history.of(RunStarted)[-1]
            self.assertGreater(last.at_ms, restarted_ms)

        self.run_scenario(scenario, workers=7)

    def test_job_of_a_new_owner(self):
        """No earlier owner can have stored a place, so none has started it.

        It waited for late orders of earlier owners.
        """
        self.check_after_takeover(arrives_late=True)

    def test_task_that_a_new_owner_has_moved(self):
        """No earlier owner can have started it where the new one has.

        The same: the stored place was that of the run that was answered.
        """
        self.check_after_takeover(arrives_late=False)

    def check_late_start(self) -> list[str]:
        """Lets a start of the owner before the last one be carried out late.

        Returns:
            The violations of rules.
        """

        async def main() -> list[str]:
            site = SimulatedSite(4, 1)
            await site.start()
            await asyncio.sleep(3)
            spec, worker = long_running_job(1), site.workers["w-0"]
            task = TaskKey(spec.id, 0, 0, 0)
            first = site.owner()
            link = first.worker_links["w-0"]
            link.late_rate, link.late_ms = 1.0, (LATEST_MS, LATEST_MS)
            self.assertTrue(await site.submit(spec))
            await until(lambda: link.late_calls)
            await site.kill_node(first)
            await until(lambda: running_on(site, task))
            await asyncio.sleep(STORED_S)
            cut_off(site, "w-0")
            site.add_worker(1)
            await site.kill_node(site.owner())
            worker.crash()
            worker.restart(0.0)
            await asyncio.sleep(LATEST_MS / MS_PER_SECOND)
            await site.stop()
            late = [s for s in site.history.of(RunStarted) if s.late_delivery]
            self.assertEqual(len(late), 1)
            return violations(site.history)

        return run_in_virtual_time(main())

    def test_late_start_of_the_owner_before(self):
        """TWICE: a start at the stored place may outlast the next owner."""
        self.assertEqual(self.check_late_start(), [])

    def test_without_regard_to_places(self):
        """The test before this one fails if no place is taken into account."""

        def exclude_all(job: Job) -> None:
            for task in job.long_running_tasks():
                task.earlier_starts_over = True

        with mock.patch.object(Job, "exclude_earlier_starts", exclude_all):
            (violation,) = self.check_late_start()
        self.assertTrue(violation.startswith("TWICE"), violation)

    def test_start_after_the_answer(self):
        """TWICE: a start that the store did not allow for was late.

        The store has that a run was answered, but not that it failed. So the
        task must not start on that worker again.
        """

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(two_steps(0)))
            await asyncio.sleep(STORED_S)
            owner, worker = site.owner(), site.workers["w-0"]
            (key,) = worker.running()
            task = owner.node._owners[0].engine.find_task(key)
            self.assertEqual(task.recorded_answers, {"w-0"})
            owner.store_link.cut = True
            worker._runs[key].end("failed")
            await until(lambda: task.state == "waiting")
            link = owner.worker_links["w-0"]
            link.late_rate, link.late_ms = 1.0, (LATE_MS, LATE_MS)
            await asyncio.sleep(RETRIED_S)
            self.assertIs(site.owner(), owner)
            cut_off(site, "w-0")
            await site.kill_node(owner)
            worker.crash()
            worker.restart(0.0)
            site.add_worker(1)
            await asyncio.sleep(5)
            starts = [s.worker for s in site.history.of(RunStarted)]
            self.assertIn("w-1", starts)
            await self.complete(site, range(1))

        self.run_scenario(scenario, workers=1)

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
