"""Tests of an owner that starts a backlog of long-running tasks slowly.

Serving tasks nearly fill the workers, or more of them are wanted than fit. The
day is calm, but the processors of the nodes are slow, in virtual time.
"""

import asyncio
import unittest

import msgspec

from limpetyard.engine import RunEndKind
from limpetyard.jobs import JobSpec, Resources, StepSpec, TaskKey
from standins.platform import (
    SimulatedSite,
    planning_charged,
    run_in_virtual_time,
    violations,
)
from standins.platform._history import RunStarted
from standins.platform._site import QUEUE
from tests.node.test_overload import claims, restart_delays

NODES = 6

# Six tasks a job; four of them fit on a worker.
TASKS = 6
TASKS_PER_WORKER = 4
NEED = Resources(1900, 1000, 0)
TARGET_MS = 50.0

# Workers, and the factor on all costs. In both tests, polls of all workers
# twice a second take more than the owner's processor has, and those once a
# second take 54 % and 69 % of it.
WORKERS, SLOWDOWN = 120, 4.5
MORE_WORKERS, LOWER_SLOWDOWN = 300, 2.3

# Wanted tasks as a multiple of those that fit.
EXCESS = 1.25

# Share of the places that may stay free for short tasks.
RESERVED_SHARE = 0.05

# Time over which the jobs are submitted.
SUBMISSION_S = 2.0

# Time from the first submission until all tasks that fit run.
STARTED_S = 9.0

# Time from the first submission over which the changes of the owner count.
WATCHED_S = 20.0

# Largest number of changes of the owner.
MAX_CHANGES = 1

# Jobs of lower priority that run before the backlog is submitted, the time for
# them to start, and the time from the first submission of the backlog until
# some of their runs fail.
EARLIER_JOBS = 16
EARLIER_S = 4.0
FAILURE_S = 2.5
FAILURES = 20

# Shortest time for which a run that fails has worked.
WORKED_MS = 1200

# Shortest backlog right before the failures, as a share of the places.
MIN_BACKLOG = 0.25

# Latest restart of a long-running task whose run has ended.
RESTART_MS = 6000


def serving_job(number: int, priority: int = 0) -> JobSpec:
    """Returns a job that runs until it is cancelled and has a target."""
    step = StepSpec(TASKS, NEED, long_running=True, target_ms=TARGET_MS)
    queue = msgspec.structs.replace(QUEUE, priority=priority)
    return JobSpec(f"{number:016x}", queue, "payload", (step,))


def running(site: SimulatedSite) -> int:
    """Returns how many tasks run now."""
    return sum(len(worker.running()) for worker in site.workers.values())


async def submit_evenly(site: SimulatedSite, specs: list[JobSpec]) -> None:
    """Submits jobs at a constant rate over `SUBMISSION_S`."""
    submissions = []
    for spec in specs:
        submissions.append(asyncio.ensure_future(site.submit(spec)))
        await asyncio.sleep(SUBMISSION_S / len(specs))
    await asyncio.gather(*submissions)


def fail_runs_that_worked(
    site: SimulatedSite, jobs: set[str]
) -> dict[TaskKey, float]:
    """Fails one run of the given jobs on each worker, up to `FAILURES` runs.

    All of them have worked for `WORKED_MS`.

    Returns:
        When the run ended, by task.
    """
    now_ms = site.clock.now_ms()
    started_ms = {e.task: e.at_ms for e in site.history.of(RunStarted)}
    ended: dict[TaskKey, float] = {}
    for worker in site.workers.values():
        worked = [
            task
            for task in worker.running()
            if task.job in jobs and now_ms - started_ms[task] >= WORKED_MS
        ]
        if worked and len(ended) < FAILURES:
            worker.end_run(worked[0], RunEndKind.FAILED)
            ended[worked[0]] = now_ms
    return ended


class BacklogTest(unittest.TestCase):
    """Guards against a backlog of long-running tasks that costs the cell.

    Long rounds of planning and frequent polls made joins late. The cell passed
    from node to node, and each takeover polled all workers anew. Tasks whose
    runs had ended waited behind those that had never run.
    """

    def run_scenario(
        self, scenario, workers: int, slowdown: float
    ) -> SimulatedSite:
        """Runs a scenario on slow nodes, and checks the invariants."""

        async def main() -> SimulatedSite:
            site = SimulatedSite(NODES, workers, processors=True)
            await site.start()
            await asyncio.sleep(5)
            for host in site.hosts:
                host.processor.slowdown = slowdown
            await asyncio.sleep(2)
            try:
                await scenario(site)
            finally:
                await site.stop()
            return site

        with planning_charged():
            site = run_in_virtual_time(main())
        self.assertEqual(violations(site.history, finished=False), [])
        return site

    def test_ownership_lasts(self):
        """One owner starts all that fit, although more tasks are wanted."""

        async def scenario(site: SimulatedSite) -> None:
            before = claims(site)
            places = TASKS_PER_WORKER * WORKERS
            count = int(EXCESS * places) // TASKS
            specs = [serving_job(number) for number in range(count)]
            await submit_evenly(site, specs)
            await asyncio.sleep(STARTED_S - SUBMISSION_S)
            started = running(site)
            await asyncio.sleep(WATCHED_S - STARTED_S)
            changes = claims(site) - before
            measured = f"{changes} changes, {started} tasks after {STARTED_S} s"
            self.assertLessEqual(changes, MAX_CHANGES, measured)
            fitting = places * (1 - RESERVED_SHARE)
            self.assertGreaterEqual(started, fitting, measured)

        self.run_scenario(scenario, WORKERS, SLOWDOWN)

    def test_ended_tasks_restart_before_the_backlog(self):
        """A task that worked and failed does not wait for the backlog."""

        async def scenario(site: SimulatedSite) -> None:
            places = TASKS_PER_WORKER * MORE_WORKERS
            numbers = range(places // TASKS - 1)
            earlier = [serving_job(n, 1) for n in numbers[:EARLIER_JOBS]]
            backlog = [serving_job(n, 0) for n in numbers[EARLIER_JOBS:]]
            await submit_evenly(site, earlier)
            await asyncio.sleep(EARLIER_S)
            self.assertEqual(running(site), len(earlier) * TASKS)
            await submit_evenly(site, backlog)
            await asyncio.sleep(FAILURE_S - SUBMISSION_S)
            left = len(numbers) * TASKS - running(site)
            self.assertGreater(
                left, MIN_BACKLOG * places, "tasks that do not run yet"
            )
            ended = fail_runs_that_worked(site, {s.id for s in earlier})
            self.assertEqual(len(ended), FAILURES)
            await asyncio.sleep(RESTART_MS / 1000)
            delays = restart_delays(site, ended)
            late = sum(delay > RESTART_MS for delay in delays.values())
            self.assertEqual(late, 0, f"of {FAILURES} tasks restarted late")

        self.run_scenario(scenario, MORE_WORKERS, LOWER_SLOWDOWN)
