"""Which steps go first."""

import functools

from limpetyard.jobs import Job, JobSpec

# A job earns a part of its worth up to this multiple of its objective.
LATE_FACTOR = 3.0

# Groups of jobs, first to last: what runs until it is cancelled, what can be
# on time, what can still be late, what has no chance.
LONG_RUNNING, ON_TIME, LATE, MISSED = range(4)


@functools.lru_cache(maxsize=4096)
def critical_paths_ms(spec: JobSpec) -> tuple[float, ...]:
    """Returns, for each step, the longest run time from its start on."""
    steps = spec.steps
    chains = [float(step.run_ms) for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for before in steps[number].after:
            longer = steps[before].run_ms + chains[number]
            chains[before] = max(chains[before], longer)
    return tuple(chains)


@functools.lru_cache(maxsize=4096)
def total_core_ms(spec: JobSpec) -> float:
    """Returns the work of a job in core-milliseconds.

    What fills gets less than it asks for, so that not all of it can be on
    time; the shortest first lets the most be.
    """
    return sum(
        step.count * step.run_ms * step.need.cores_milli / 1000
        for step in spec.steps
    )


def objective_ms(spec: JobSpec) -> float:
    """Returns the time within which a job is to be completed."""
    longest = max(critical_paths_ms(spec))
    return spec.queue.stretch * longest + spec.queue.objective_ms


def urgency(job: Job, step: int, now_ms: float) -> tuple:
    """Returns a key that sorts steps, the most urgent first."""
    spec = job.spec
    if spec.steps[step].long_running:
        return (LONG_RUNNING, spec.queue.priority, job.first_seen_ms)
    objective = objective_ms(spec)
    remaining = critical_paths_ms(spec)[step]
    slack = job.first_seen_ms + objective - now_ms - remaining
    if slack >= 0:
        group = ON_TIME
    elif slack >= -(LATE_FACTOR - 1) * objective:
        group = LATE
    else:
        group = MISSED
    if spec.steps[step].fills:
        return (group, spec.queue.priority, total_core_ms(spec))
    return (group, spec.queue.priority, slack)
