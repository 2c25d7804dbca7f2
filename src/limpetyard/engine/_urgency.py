"""Order in which the planner places the ready steps of all jobs."""

import functools

from limpetyard.jobs import Job, JobSpec

# A job that completes late still has part of its value up to this multiple of
# its objective.
LATE_FACTOR = 3.0

# Groups, most urgent first: long-running tasks to start again, jobs that run
# until they are cancelled, jobs that can complete on time, jobs that can only
# complete late but within `LATE_FACTOR`, and jobs that can no longer do that.
RESTART, LONG_RUNNING, ON_TIME, LATE, MISSED = range(5)


@functools.lru_cache(maxsize=4096)
def critical_paths_ms(spec: JobSpec) -> tuple[float, ...]:
    """Returns, for each step, the estimated time of the longest path from it.

    The path starts with the step and leads through steps that depend on it.
    """
    steps = spec.steps
    paths = [float(step.run_ms) for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for dependency in steps[number].after:
            longer = steps[dependency].run_ms + paths[number]
            paths[dependency] = max(paths[dependency], longer)
    return tuple(paths)


@functools.lru_cache(maxsize=4096)
def total_core_ms(spec: JobSpec) -> float:
    """Returns the total work of a job in core-milliseconds.

    Orders best-effort jobs: they get fewer cores than they request, so not all
    of them can be on time; shortest job first maximizes how many are.
    """
    return sum(
        step.count * step.run_ms * step.need.cores_milli / 1000
        for step in spec.steps
    )


def objective_ms(spec: JobSpec) -> float:
    """Returns the time within which a job should complete."""
    longest = max(critical_paths_ms(spec))
    return spec.queue.stretch * longest + spec.queue.objective_ms


def urgency(job: Job, step: int, now_ms: float) -> tuple:
    """Returns a sort key that puts the most urgent step first.

    Steps are ordered by group, then by the priority of the queue, then by the
    time left to start on time. Instead of the latter, long-running steps are
    ordered by the early failures of their tasks, then by submission, and
    best-effort steps by the total work of the job.
    """
    spec = job.spec
    if spec.steps[step].long_running:
        return (
            LONG_RUNNING,
            spec.queue.priority,
            job.early_failures(step),
            job.submitted_ms,
        )
    if job.estimates is None:
        job.estimates = (
            objective_ms(spec),
            critical_paths_ms(spec),
            total_core_ms(spec),
        )
    objective, paths, core_ms = job.estimates
    remaining = paths[step]
    slack = job.submitted_ms + objective - now_ms - remaining
    if slack >= 0:
        group = ON_TIME
    elif slack >= -(LATE_FACTOR - 1) * objective:
        group = LATE
    else:
        group = MISSED
    if spec.steps[step].fills:
        return (group, spec.queue.priority, core_ms)
    return (group, spec.queue.priority, slack)


def restart_urgency(job: Job) -> tuple:
    """Returns the sort key of the restarts of a job; see `urgency`.

    They come before the first starts of all other long-running tasks, whatever
    their priority, as these may be many.
    """
    return (RESTART, job.spec.queue.priority, job.submitted_ms)
