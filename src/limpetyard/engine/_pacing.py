"""Slows best-effort tasks next to serving tasks close to their latency target.

A best-effort task (`StepSpec.fills`) uses only cores that others leave idle. A
serving task has a target for its tail latency. The headroom of a serving task
is its target divided by its tail latency.
"""

from limpetyard.engine._effects import Effect, Pace
from limpetyard.engine._interference import (
    HEADROOM_AT_TARGET,
    InterferenceModel,
    tail_headroom,
)
from limpetyard.engine._placement import WorkerLoad, serving_runs, worker_load
from limpetyard.engine._worker import RunState, Worker, WorkerRun

# Thresholds of the lowest predicted headroom on a worker. Below SLOW_BELOW,
# best-effort tasks are slowed until SLOW_TO is predicted. Above
# RESTORE_DOWN_TO, their speed is restored until RESTORE_DOWN_TO is predicted.
# The gaps between the thresholds provide hysteresis.
SLOW_BELOW = 1.05 * HEADROOM_AT_TARGET
SLOW_TO = 1.15 * HEADROOM_AT_TARGET
RESTORE_DOWN_TO = 1.25 * HEADROOM_AT_TARGET

# Time that a measurement of a worker covers. A change of load or speed shows in
# full only after it.
MEASUREMENT_WINDOW_MS = 500

# A best-effort task that would be slowed below this is paused instead. Also the
# smallest increase of a speed, except for an increase to full speed.
MIN_SPEED_PERCENT = 10

# A best-effort task that has been paused for longer than this is stopped, so
# that it resumes from its checkpoint on another worker.
MAX_PAUSE_MS = 1000


def update_interference(
    worker: Worker, interference: InterferenceModel, now_ms: float
) -> None:
    """Updates the interference model from a worker's latest measurements."""
    cores: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.fills and run.measurement > 0:
            used = cores.get(run.step.image, 0.0)
            cores[run.step.image] = used + run.measurement / 1000
    for run in serving_runs(worker):
        warmed_up = now_ms - run.placed_ms > 2 * MEASUREMENT_WINDOW_MS
        if run.measurement > 0 and run.at_full_speed and warmed_up:
            interference.update(
                run.task.job,
                run.step.image,
                tail_headroom(run.measurement, run.step.target_ms),
                run.step.target_ms,
                cores,
                now_ms,
            )


def pace(
    worker: Worker, interference: InterferenceModel, now_ms: float
) -> list[Effect]:
    """Sets the speed of the best-effort tasks on a worker.

    Marks runs that have been paused for longer than `MAX_PAUSE_MS` as stopping.

    Returns:
        Orders for the runs whose speed changes.
    """
    load = worker_load(worker)
    running = RunState.RUNNING
    best_effort_runs = [
        run for run in load.best_effort_runs if run.state is running
    ]
    if not best_effort_runs:
        return []
    lowest, limiting_image = _lowest_headroom(load, interference, now_ms)
    effects: list[Effect] = []
    if limiting_image is not None and lowest < SLOW_BELOW:
        effects = _slow(
            worker,
            limiting_image,
            best_effort_runs,
            SLOW_TO - lowest,
            interference,
        )
    else:
        effects = _restore(
            worker,
            limiting_image,
            best_effort_runs,
            lowest - RESTORE_DOWN_TO,
            interference,
        )
    for run in best_effort_runs:
        if run.speed_percent > 0:
            run.paused_since_ms = None
        elif run.paused_since_ms is None:
            run.paused_since_ms = now_ms
        elif now_ms - run.paused_since_ms > MAX_PAUSE_MS:
            run.state = RunState.STOPPING
    return effects


def _lowest_headroom(
    load: WorkerLoad, interference: InterferenceModel, now_ms: float
) -> tuple[float, str | None]:
    """Returns the lowest predicted headroom and the serving image with it."""
    losses: dict[str, float] = {}
    lowest, limiting_image = float("inf"), None
    for job, image in load.serving_images:
        if image not in losses:
            losses[image] = sum(
                interference.weight(image, other) * used
                for other, used in load.best_effort_cores.items()
            )
        headroom = interference.predicted_baseline(job, now_ms) - losses[image]
        if headroom < lowest:
            lowest, limiting_image = headroom, image
    return lowest, limiting_image


def _weights(
    limiting_image: str | None,
    runs: list[WorkerRun],
    interference: InterferenceModel,
) -> dict[str, float]:
    """Returns the headroom lost per core of each image of some runs."""
    images = {run.step.image for run in runs}
    if limiting_image is None:
        return dict.fromkeys(images, 0.0)
    return {
        image: interference.weight(limiting_image, image) for image in images
    }


def _slow(
    worker: Worker,
    limiting_image: str,
    best_effort_runs: list[WorkerRun],
    shortfall: float,
    interference: InterferenceModel,
) -> list[Effect]:
    """Slows tasks, the most interfering first, until `shortfall` is covered.

    A task that would fall below `MIN_SPEED_PERCENT` is paused.

    Args:
        worker: Worker of the runs.
        limiting_image: Serving image with the lowest headroom.
        best_effort_runs: Runs to choose from.
        shortfall: Headroom to regain.
        interference: Model that gives the loss of headroom that each run
            causes.
    """
    effects: list[Effect] = []
    running = [run for run in best_effort_runs if run.speed_percent > 0]
    weights = _weights(limiting_image, running, interference)
    for run in sorted(running, key=lambda run: -weights[run.step.image]):
        cores = run.step.need.cores_milli / 1000 * run.speed_percent / 100
        headroom_loss = weights[run.step.image] * cores
        if shortfall <= 0 or headroom_loss <= 0:
            continue
        percent = int(
            run.speed_percent * max(0.0, 1 - shortfall / headroom_loss)
        )
        percent = percent if percent >= MIN_SPEED_PERCENT else 0
        shortfall -= headroom_loss * (1 - percent / run.speed_percent)
        effects.append(_set_speed(worker, run, percent))
    return effects


def _restore(
    worker: Worker,
    limiting_image: str | None,
    best_effort_runs: list[WorkerRun],
    spare: float,
    interference: InterferenceModel,
) -> list[Effect]:
    """Speeds tasks up, the least interfering first, until `spare` is used.

    A speed is not raised by less than `MIN_SPEED_PERCENT`, except to 100 %.

    Args:
        worker: Worker of the runs.
        limiting_image: Serving image with the lowest headroom, or None.
        best_effort_runs: Runs to choose from.
        spare: Headroom that may be used up.
        interference: Model that gives the loss of headroom that each run
            causes.
    """
    effects: list[Effect] = []
    slowed = [run for run in best_effort_runs if run.speed_percent < 100]
    if spare <= 0 or not slowed:
        return effects
    weights = _weights(limiting_image, slowed, interference)
    for run in sorted(slowed, key=lambda run: weights[run.step.image]):
        if spare <= 0:
            break
        full_speed_loss = (
            weights[run.step.image] * run.step.need.cores_milli / 1000
        )
        increase = 100 - run.speed_percent
        if full_speed_loss > 0:
            increase = min(increase, int(100 * spare / full_speed_loss))
        percent = run.speed_percent + increase
        if percent < 100 and increase < MIN_SPEED_PERCENT:
            continue
        spare -= full_speed_loss * increase / 100
        effects.append(_set_speed(worker, run, percent))
    return effects


def _set_speed(worker: Worker, run: WorkerRun, percent: int) -> Pace:
    """Records a new speed of a run and returns the order for the worker."""
    run.speed_percent = percent
    return Pace(worker.id, run.task, run.run, percent)
