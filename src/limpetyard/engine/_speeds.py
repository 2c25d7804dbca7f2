"""Changes of the speeds of best-effort tasks on one worker.

The headroom of a serving task is its target divided by its tail latency.
"""

from limpetyard.engine._effects import Effect, Pace
from limpetyard.engine._interference import InterferenceModel
from limpetyard.engine._worker import RunState, Worker, WorkerRun

# A best-effort task that would be slowed below this is paused instead. Also the
# smallest increase of a speed, except for an increase to full speed.
MIN_SPEED_PERCENT = 10

# A best-effort task that has been paused for longer than this is stopped, so
# that it resumes from its checkpoint on another worker.
MAX_PAUSE_MS = 1000


def stop_paused(
    worker: Worker, best_effort_runs: list[WorkerRun], now_ms: float
) -> None:
    """Marks runs that have been paused for too long as stopping."""
    for run in best_effort_runs:
        if run.speed_percent > 0:
            run.paused_since_ms = None
        elif run.paused_since_ms is None:
            run.paused_since_ms = now_ms
        elif now_ms - run.paused_since_ms > MAX_PAUSE_MS:
            run.state = RunState.STOPPING
            if run is worker.trial:
                worker.back_off_trials(now_ms)


def pause_all(worker: Worker, runs: list[WorkerRun]) -> list[Effect]:
    """Pauses tasks, also those that should be paused already.

    An order may have been lost, or an older one carried out after it.
    """
    return [_set_speed(worker, run, 0) for run in runs]


def repeat_failed(worker: Worker) -> list[Effect]:
    """Returns the orders for a speed that may not have reached the worker."""
    return [
        _set_speed(worker, run, run.speed_percent)
        for run in worker.runs.values()
        if run.pace_failed and run.state is RunState.RUNNING
    ]


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


def slow(
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


def restore(
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
    run.pace_failed = False
    return Pace(worker.id, run.task, run.run, percent)
