"""Tests of nodes whose processors are busy, in virtual time."""

import asyncio
import unittest

from limpetyard.engine import RunEndKind
from limpetyard.jobs import FINAL_STATES, JobSpec, Resources, StepSpec, TaskKey
from standins.platform import (
    SimulatedSite,
    planning_charged,
    run_in_virtual_time,
    violations,
)
from standins.platform._history import JobCancelled, RunEnded, RunStarted
from standins.platform._site import QUEUE

NODES = 6
WORKERS = 120
SMALL = Resources(1000, 1000, 0)

# Batch jobs need 5 times as many cores as the workers have.
BATCH_JOBS = 500
LONG_RUNNING_JOBS = 20
TASKS = 10
RUN_MS = 4000

# Time over which the jobs are submitted.
SUBMISSION_S = 4.0

# Cancellations while the load is submitted and later, and how long tasks run
# meanwhile, so that they do not end by themselves.
CANCELLATIONS = 40
CANCELLATION_INTERVAL_S = 0.25
CANCELLED_RUN_S = 30

# Time from the end of the submission to the first checks.
SETTLING_S = 10.0

# Time for all jobs to end; the workers alone need 27 s.
COMPLETION_S = 60.0

# Largest number of changes of the owner.
MAX_CHANGES = 2

# Factor by which the processors slow down for some time, as the trigger.
TRIGGER_SLOWDOWN = 4.0
TRIGGER_S = 3.0

# Time after the end of a trigger within which one owner keeps the cell.
RECOVERY_S = 10.0

# Latest restart of a long-running task whose run has ended.
RESTART_MS = 9000

# Latest start and latest end of a task after its job is cancelled.
CANCELLED_START_MS = 3000
CANCELLED_END_MS = 4000


def batch_job(number: int, run_ms: int = RUN_MS) -> JobSpec:
    """Returns a job of one step."""
    step = StepSpec(TASKS, SMALL, run_ms)
    return JobSpec(f"{number:016x}", QUEUE, "payload", (step,))


def long_running_job(number: int) -> JobSpec:
    """Returns a job that runs until it is cancelled."""
    step = StepSpec(TASKS, SMALL, long_running=True)
    return JobSpec(f"{number:016x}", QUEUE, "payload", (step,))


def load(run_ms: int = RUN_MS) -> list[JobSpec]:
    """Returns batch jobs with long-running ones among them."""
    share = BATCH_JOBS // LONG_RUNNING_JOBS
    specs: list[JobSpec] = []
    for number in range(BATCH_JOBS):
        if number % share == 0:
            specs.append(long_running_job(1000 + number))
        specs.append(batch_job(number, run_ms))
    return specs


def claims(site: SimulatedSite) -> int:
    """Returns how often the cell was claimed so far."""
    return len(site.store.partition("owners", 0).records)


def starts_since(site: SimulatedSite, at_ms: float) -> int:
    """Returns how many tasks started after `at_ms`."""
    return sum(e.at_ms > at_ms for e in site.history.of(RunStarted))


def latest_after_cancellation(site: SimulatedSite) -> tuple[float, float]:
    """Returns how late a task of a cancelled job started, and ran, in ms.

    A task that runs when the history ends counts as running until then.
    """
    end_ms = site.history.entries[-1].at_ms
    cancelled = {e.job: e.at_ms for e in site.history.of(JobCancelled)}
    ends = {
        (e.worker, e.born, e.task, e.run): e.at_ms
        for e in site.history.of(RunEnded)
    }
    latest_start_ms = latest_run_ms = 0.0
    for start in site.history.of(RunStarted):
        at_ms = cancelled.get(start.task.job)
        if at_ms is None:
            continue
        run = (start.worker, start.born, start.task, start.run)
        ran_until_ms = ends.get(run, end_ms)
        latest_start_ms = max(latest_start_ms, start.at_ms - at_ms)
        latest_run_ms = max(latest_run_ms, ran_until_ms - at_ms)
    return latest_start_ms, latest_run_ms


def end_long_running_runs(site: SimulatedSite) -> dict[TaskKey, float]:
    """Ends the runs of one long-running task on each worker that has some.

    They fail and lapse in turn.

    Returns:
        When the run ended, by task.
    """
    ended: dict[TaskKey, float] = {}
    for worker in site.workers.values():
        tasks = [
            task
            for task in worker.running()
            if site.history.submitted[task.job].steps[0].long_running
        ]
        for task in tasks[:1]:
            kinds = (RunEndKind.FAILED, RunEndKind.LAPSED)
            worker.end_run(task, kinds[len(ended) % 2])
            ended[task] = site.clock.now_ms()
    return ended


def restart_delays(
    site: SimulatedSite, ended: dict[TaskKey, float]
) -> dict[TaskKey, float]:
    """Returns how long after its end each task started again, in ms."""
    delays = dict.fromkeys(ended, float("inf"))
    for start in site.history.of(RunStarted):
        if start.task in ended and start.at_ms > ended[start.task]:
            delay_ms = start.at_ms - ended[start.task]
            delays[start.task] = min(delays[start.task], delay_ms)
    return delays


def running_jobs(site: SimulatedSite) -> list[str]:
    """Returns the jobs with running tasks that are not being cancelled."""
    tasks = [t for w in site.workers.values() for t in w.running()]
    return sorted({t.job for t in tasks} - site.history.cancel_requests)


async def cancel_running(site: SimulatedSite) -> None:
    """Cancels one job with running tasks after the other, at a fixed rate."""
    cancellations = []
    for _ in range(CANCELLATIONS):
        for job in running_jobs(site)[:1]:
            cancellations.append(asyncio.ensure_future(site.cancel(job)))
        await asyncio.sleep(CANCELLATION_INTERVAL_S)
    await asyncio.gather(*cancellations)


async def submit_all(site: SimulatedSite, specs: list[JobSpec]) -> None:
    """Submits jobs at a constant rate, whether or not they are accepted."""
    submissions = []
    for spec in specs:
        submissions.append(asyncio.ensure_future(site.submit(spec)))
        await asyncio.sleep(SUBMISSION_S / len(specs))
    await asyncio.gather(*submissions)


async def unfinished(
    site: SimulatedSite, jobs: list[str], timeout_s: float
) -> list[str]:
    """Waits until jobs have ended; returns those that have not."""
    end_ms = site.clock.now_ms() + timeout_s * 1000
    while jobs and site.clock.now_ms() < end_ms:
        await asyncio.sleep(2)
        jobs = [
            job
            for job in jobs
            if site.clock.now_ms() > end_ms
            or await site.query_state(job) not in FINAL_STATES
        ]
    return jobs


class OverloadTestCase(unittest.TestCase):
    """Runs scenarios on nodes whose calls and planning cost time."""

    def run_scenario(
        self, scenario, workers: int = WORKERS, finished: bool = True
    ) -> SimulatedSite:
        """Runs a scenario, checks the invariants and returns the site."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(NODES, workers, processors=True)
            await site.start()
            await asyncio.sleep(5)
            try:
                await scenario(site)
            finally:
                await site.stop()
            return site

        with planning_charged():
            site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history, finished), [])
        return site

    def check_completed(self, left: list[str]) -> None:
        """Checks that no job is left without a final state."""
        self.assertEqual(len(left), 0, "jobs did not end")


class LightLoadTest(OverloadTestCase):
    """Few workers and jobs."""

    def test_light_load(self):
        """The processors alone cost neither the ownership nor a job."""

        async def scenario(site: SimulatedSite) -> None:
            before = claims(site)
            specs = [batch_job(number, 500) for number in range(10)]
            await submit_all(site, specs)
            left = await unfinished(site, [s.id for s in specs], 20)
            self.check_completed(left)
            self.assertEqual(claims(site), before)

        self.run_scenario(scenario, workers=12)


class OverloadTest(OverloadTestCase):
    """Many workers, and more jobs than they can run at a time."""

    def test_ownership_lasts_under_load(self):
        """The cell does not pass from node to node under load."""

        async def scenario(site: SimulatedSite) -> None:
            before = claims(site)
            specs = load()
            await submit_all(site, specs)
            await asyncio.sleep(SETTLING_S)
            self.assertLessEqual(claims(site) - before, MAX_CHANGES)
            batch = [s.id for s in specs if not s.steps[0].long_running]
            left = await unfinished(site, batch, COMPLETION_S)
            self.assertLessEqual(claims(site) - before, MAX_CHANGES)
            self.check_completed(left)

        self.run_scenario(scenario)

    def test_recovers_when_trigger_ends(self):
        """Takeovers under load end after what caused the first one."""

        async def scenario(site: SimulatedSite) -> None:
            specs = load()
            submission = asyncio.ensure_future(submit_all(site, specs))
            await asyncio.sleep(SUBMISSION_S / 2)
            for host in site.hosts:
                host.processor.slowdown = TRIGGER_SLOWDOWN
            await asyncio.sleep(TRIGGER_S)
            for host in site.hosts:
                host.processor.slowdown = 1.0
            await submission
            await asyncio.sleep(RECOVERY_S)
            before, at_ms = claims(site), site.clock.now_ms()
            await asyncio.sleep(RUN_MS / 1000)
            self.assertEqual(claims(site), before, "the owner changed again")
            self.assertGreater(starts_since(site, at_ms), 0)
            batch = [s.id for s in specs if not s.steps[0].long_running]
            left = await unfinished(site, batch, COMPLETION_S)
            self.assertEqual(claims(site), before, "the owner changed again")
            self.check_completed(left)

        self.run_scenario(scenario)

    def test_long_running_tasks_restart_under_load(self):
        """Long-running tasks whose runs end start again despite a backlog."""

        async def scenario(site: SimulatedSite) -> None:
            await submit_all(site, load())
            ended = end_long_running_runs(site)
            await asyncio.sleep(RESTART_MS / 1000)
            delays = restart_delays(site, ended)
            self.assertGreater(len(delays), WORKERS / 10)
            self.assertLessEqual(max(delays.values()), RESTART_MS)

        self.run_scenario(scenario, finished=False)

    def test_cancelled_job_is_stopped_under_load(self):
        """A cancelled job does not start or run on for seconds."""

        async def scenario(site: SimulatedSite) -> None:
            specs = load(CANCELLED_RUN_S * 1000)
            submission = asyncio.ensure_future(submit_all(site, specs))
            await asyncio.sleep(SUBMISSION_S / 2)
            await cancel_running(site)
            await submission
            await asyncio.sleep(SETTLING_S)
            start_ms, run_ms = latest_after_cancellation(site)
            self.assertGreater(len(site.history.of(JobCancelled)), 0)
            self.assertLessEqual(start_ms, CANCELLED_START_MS)
            self.assertLessEqual(run_ms, CANCELLED_END_MS)

        self.run_scenario(scenario, finished=False)
