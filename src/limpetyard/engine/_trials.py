"""Best-effort tasks that start although no worker has headroom for them.

A best-effort task is placed only where serving tasks are expected to stay well
below their targets, and only on idle cores. It would wait for as long as that
holds nowhere, although nobody knows whether it disturbs at all. A job that has
waited for long therefore gets a trial: one task, slowed, on the worker whose
tails it is expected to affect least. Pacing protects the serving tasks there.
"""

from collections.abc import Callable

from limpetyard.jobs import Job, StepSpec

# Age from which a job may get trials. Most jobs find a worker with headroom
# before that, where their tasks end sooner than in a trial.
MIN_JOB_AGE_MS = 12_000.0

# Time for which nothing of the job has run before each trial. From then on, a
# job must not stand still for 3 s where under half of the cores are in use.
MIN_IDLE_MS = 2000.0

# Reserved share of the cores from which a service is crowded, and that time
# then. Trials of long jobs there take the headroom of shorter ones.
CROWDED_SHARE = 0.5
MIN_IDLE_CROWDED_MS = 20_000.0

# Cores that a trial may use at first.
TRIAL_CORES = 1.0

# Lowest speed of a trial, the lowest that pacing gives.
MIN_TRIAL_PERCENT = 10

# Time between two searches for jobs that need a trial, and how many of them
# one search places.
SEARCH_INTERVAL_MS = 200.0
MAX_JOBS_PER_SEARCH = 8


def trial_percent(step: StepSpec) -> int:
    """Returns the speed at which a trial of a step starts."""
    cores = step.need.cores_milli / 1000
    if cores <= TRIAL_CORES:
        return 100
    return max(MIN_TRIAL_PERCENT, int(100 * TRIAL_CORES / cores))


def trial_cores(step: StepSpec) -> float:
    """Returns the cores that a trial of a step uses at first."""
    return step.need.cores_milli / 1000 * trial_percent(step) / 100


class IdleJobs:
    """Jobs with best-effort tasks that wait while nothing of them runs."""

    __slots__ = ("_idle", "_searched_ms")

    def __init__(self):
        # Since when each job has been idle, and when a search last returned it
        # or, before that, when it became idle; by job id.
        self._idle: dict[str, tuple[float, float]] = {}
        self._searched_ms = float("-inf")

    def search(
        self,
        ready_steps: list[tuple[Job, int, int, bool]],
        min_idle_ms: Callable[[str], float],
        now_ms: float,
    ) -> list[tuple[Job, int, int]]:
        """Returns the steps to try next.

        These are of the jobs that became idle, or were returned, longest ago.
        So a job that fits nowhere does not hold back others, and none is passed
        for long by those that come later.

        Args:
            ready_steps: Job, occurrence and number of the steps with waiting
                tasks, most urgent first; the last element is of no interest.
            min_idle_ms: Returns for how long nothing of a job of a service must
                have run; infinite while no worker may get a trial.
            now_ms: Current time.
        """
        if now_ms - self._searched_ms < SEARCH_INTERVAL_MS:
            return []
        self._searched_ms = now_ms
        idle: dict[str, tuple[float, float]] = {}
        due: list[tuple[float, float, Job, int, int]] = []
        for job, occurrence, number, _ in ready_steps:
            job_id, step = job.spec.id, job.spec.steps[number]
            if (
                not step.fills
                or step.gang
                or job_id in idle
                or job.has_placed_tasks
            ):
                continue
            since_ms, returned_ms = idle[job_id] = self._idle.get(
                job_id, (now_ms, now_ms)
            )
            if (
                now_ms - job.submitted_ms >= MIN_JOB_AGE_MS
                and now_ms - since_ms >= MIN_IDLE_MS
                and now_ms - since_ms >= min_idle_ms(job.spec.queue.service)
            ):
                due.append((returned_ms, since_ms, job, occurrence, number))
        due.sort(key=lambda entry: entry[:2])
        for _, since_ms, job, _, _ in due[:MAX_JOBS_PER_SEARCH]:
            idle[job.spec.id] = (since_ms, now_ms)
        self._idle = idle
        return [entry[2:] for entry in due[:MAX_JOBS_PER_SEARCH]]
