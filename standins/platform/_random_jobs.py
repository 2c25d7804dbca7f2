"""Random jobs, and the queue that takes them."""

import random

import msgspec

from limpetyard.jobs import JobSpec, QueueParams, Resources, StepSpec
from standins.platform._virtual_time import START_WALL_MS

SERVICE = "pool"
QUEUE = QueueParams("queue", SERVICE, 0, 3, 2.0, 1000.0)


def random_job(number: int, rng: random.Random) -> JobSpec:
    """Returns a random job.

    It has one to three steps, the last of them possibly a gang, or one
    long-running step. Some jobs recur.
    """
    steps = []
    for step in range(rng.randint(1, 3)):
        need = Resources(rng.randint(200, 4000), rng.randint(100, 4000), 0)
        steps.append(
            StepSpec(
                rng.randint(1, 6),
                need,
                rng.randint(50, 3000),
                after=(step - 1,) if step else (),
                checkpoints=rng.random() < 0.5,
                per_worker=rng.choice([0, 0, 2]),
            )
        )
    if rng.random() < 0.15:
        need = Resources(rng.randint(200, 2000), 500, 0)
        steps[-1] = StepSpec(
            rng.randint(2, 4),
            need,
            rng.randint(50, 2000),
            after=steps[-1].after,
            checkpoints=rng.random() < 0.5,
            gang=True,
        )
    if rng.random() < 0.15:
        need = Resources(rng.randint(200, 2000), 500, 0)
        count = rng.randint(1, 3)
        steps = [StepSpec(count, need, long_running=True, per_worker=1)]
    occurrences, first_due_ms = 1, 0.0
    if rng.random() < 0.1:
        occurrences, first_due_ms = 3, START_WALL_MS + rng.uniform(0, 20_000)
    return JobSpec(
        f"{number:016x}",
        QUEUE,
        "payload",
        tuple(steps),
        occurrences=occurrences,
        first_due_ms=first_due_ms,
        interval_ms=2000.0,
    )


class JobMix(msgspec.Struct, frozen=True):
    """Shares of the shapes of jobs, each from 0 to 1.

    The remaining jobs have one to three steps, each after an earlier one.

    Attributes:
        long_running: One long-running step.
        endless: One step whose tasks last until the job is cancelled.
        gang: One step that is a gang.
        timed: Steps that run at given times.
        spread: One step with a limit of tasks per worker.
        fills: One step of best-effort tasks.
    """

    long_running: float = 0.15
    endless: float = 0.1
    gang: float = 0.1
    timed: float = 0.1
    spread: float = 0.1
    fills: float = 0.1


# Run time of tasks that last until their job is cancelled.
ENDLESS_MS = 600_000


def random_shape(number: int, rng: random.Random, mix: JobMix) -> JobSpec:
    """Returns a random job whose `first_due_ms` counts from its submission.

    Args:
        number: Number from which the id of the job derives.
        rng: Source of the random choices.
        mix: Shares of the shapes.
    """
    job_id = f"{number:016x}"
    shares = msgspec.structs.asdict(mix)
    draw = rng.random()
    for name, share in shares.items():
        if draw < share:
            return _SHAPES[name](job_id, rng)
        draw -= share
    return _steps_job(job_id, rng)


def lasts(spec: JobSpec) -> bool:
    """Returns whether a job lasts until it is cancelled."""
    return any(
        step.long_running or step.run_ms >= ENDLESS_MS for step in spec.steps
    )


def _job(job_id: str, *steps: StepSpec) -> JobSpec:
    return JobSpec(job_id, QUEUE, f"payload of {job_id}", steps)


def _need(rng: random.Random, most_cores_milli: int = 2000) -> Resources:
    return Resources(rng.randint(200, most_cores_milli), 500, 0)


def _steps_job(job_id: str, rng: random.Random) -> JobSpec:
    """Returns a job of steps, each of which follows an earlier one."""
    steps = [
        StepSpec(
            rng.randint(1, 5),
            _need(rng, 3000),
            rng.randint(50, 3000),
            after=(rng.randrange(number),) if number else (),
            checkpoints=rng.random() < 0.5,
        )
        for number in range(rng.randint(1, 3))
    ]
    return _job(job_id, *steps)


def _long_running_job(job_id: str, rng: random.Random) -> JobSpec:
    count, per_worker = rng.randint(1, 3), rng.choice([0, 1])
    step = StepSpec(count, _need(rng), long_running=True, per_worker=per_worker)
    return _job(job_id, step)


def _endless_job(job_id: str, rng: random.Random) -> JobSpec:
    return _job(job_id, StepSpec(rng.randint(1, 3), _need(rng), ENDLESS_MS))


def _gang_job(job_id: str, rng: random.Random) -> JobSpec:
    step = StepSpec(
        rng.randint(2, 4),
        _need(rng),
        rng.randint(50, 2000),
        checkpoints=rng.random() < 0.5,
        gang=True,
    )
    return _job(job_id, step)


def _timed_job(job_id: str, rng: random.Random) -> JobSpec:
    """Returns a job with three occurrences, which may overlap."""
    step = StepSpec(rng.randint(1, 3), _need(rng), rng.randint(50, 2500))
    return msgspec.structs.replace(
        _job(job_id, step),
        occurrences=3,
        first_due_ms=rng.uniform(1, 8000),
        interval_ms=2000.0,
    )


def _spread_job(job_id: str, rng: random.Random) -> JobSpec:
    step = StepSpec(
        rng.randint(2, 6),
        _need(rng),
        rng.randint(50, 3000),
        per_worker=rng.randint(1, 2),
    )
    return _job(job_id, step)


def _filling_job(job_id: str, rng: random.Random) -> JobSpec:
    need = _need(rng, 4000)
    run_ms = rng.randint(50, 3000)
    return _job(job_id, StepSpec(rng.randint(1, 4), need, run_ms, fills=True))


_SHAPES = {
    "long_running": _long_running_job,
    "endless": _endless_job,
    "gang": _gang_job,
    "timed": _timed_job,
    "spread": _spread_job,
    "fills": _filling_job,
}
