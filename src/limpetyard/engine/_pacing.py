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
from limpetyard.engine._placement import best_effort_cores, serving_runs
from limpetyard.engine._worker import RunState, Worker, WorkerRun

# Best-effort tasks are slowed if a headroom is expected below SLOW_BELOW, until
# it is expected to reach SLOW_TO. Their speed is restored as long as it is
# expected to stay above RESTORE_DOWN_TO.
SLOW_BELOW = 1.05 * HEADROOM_AT_TARGET
SLOW_TO = 1.15 * HEADROOM_AT_TARGET
RESTORE_DOWN_TO = 1.25 * HEADROOM_AT_TARGET

# Time that a measurement of a worker covers. A change of load or speed shows in
# full only after it.
MEASUREMENT_WINDOW_MS = 500

# A best-effort task that would be slowed below this is paused instead.
MIN_SPEED_PERCENT = 10

# A best-effort task that has been paused for this long is stopped, so that it
# resumes from its checkpoint on another worker.
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

    Marks tasks that have been paused for too long as stopping.

    Returns:
        Orders for the tasks whose speed changes.
    """
    best_effort_runs = [
        run
        for run in worker.runs.values()
        if run.step.fills and run.state is RunState.RUNNING
    ]
    if not best_effort_runs:
        return []
    lowest, victim = _lowest_headroom(worker, interference, now_ms)
    effects: list[Effect] = []
    if victim is not None and lowest < SLOW_BELOW:
        effects = _slow(
            worker, victim, best_effort_runs, SLOW_TO - lowest, interference
        )
    else:
        effects = _restore(
            worker,
            victim,
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
    worker: Worker, interference: InterferenceModel, now_ms: float
) -> tuple[float, WorkerRun | None]:
    """Returns the lowest predicted headroom and the run that it belongs to."""
    cores = best_effort_cores(worker)
    lowest, victim = float("inf"), None
    for run in serving_runs(worker):
        headroom = interference.predicted_baseline(run.task.job, now_ms) - sum(
            interference.weight(run.step.image, image) * used
            for image, used in cores.items()
        )
        if headroom < lowest:
            lowest, victim = headroom, run
    return lowest, victim


def _weight(
    victim: WorkerRun | None, run: WorkerRun, interference: InterferenceModel
) -> float:
    if victim is None:
        return 0.0
    return interference.weight(victim.step.image, run.step.image)


def _slow(
    worker: Worker,
    victim: WorkerRun,
    best_effort_runs: list[WorkerRun],
    shortfall: float,
    interference: InterferenceModel,
) -> list[Effect]:
    """Slows the most interfering tasks until `shortfall` is regained.

    Args:
        worker: Worker of the runs.
        victim: Serving run with the lowest headroom.
        best_effort_runs: Runs to choose from.
        shortfall: Headroom to regain.
        interference: Model that gives the effect of each run on the victim.
    """
    effects: list[Effect] = []
    best_effort_runs = sorted(
        best_effort_runs, key=lambda run: -_weight(victim, run, interference)
    )
    for run in best_effort_runs:
        cores = run.step.need.cores_milli / 1000 * run.speed_percent / 100
        cost = _weight(victim, run, interference) * cores
        if shortfall <= 0 or cost <= 0:
            continue
        percent = int(run.speed_percent * max(0.0, 1 - shortfall / cost))
        percent = percent if percent >= MIN_SPEED_PERCENT else 0
        shortfall -= cost * (1 - percent / run.speed_percent)
        effects.append(_set_speed(worker, run, percent))
    return effects


def _restore(
    worker: Worker,
    victim: WorkerRun | None,
    best_effort_runs: list[WorkerRun],
    spare: float,
    interference: InterferenceModel,
) -> list[Effect]:
    """Restores the speed of the least interfering tasks first.

    Args:
        worker: Worker of the runs.
        victim: Serving run with the lowest headroom, or None.
        best_effort_runs: Runs to choose from.
        spare: Headroom that may be used up.
        interference: Model that gives the effect of each run on the victim.
    """
    effects: list[Effect] = []
    for run in sorted(
        best_effort_runs, key=lambda run: _weight(victim, run, interference)
    ):
        if run.speed_percent == 100 or spare <= 0:
            continue
        full_cost = (
            _weight(victim, run, interference)
            * run.step.need.cores_milli
            / 1000
        )
        increase = 100 - run.speed_percent
        if full_cost > 0:
            increase = min(increase, int(100 * spare / full_cost))
        percent = run.speed_percent + increase
        if percent < 100 and increase < MIN_SPEED_PERCENT:
            continue
        spare -= full_cost * increase / 100
        effects.append(_set_speed(worker, run, percent))
    return effects


def _set_speed(worker: Worker, run: WorkerRun, percent: int) -> Pace:
    run.speed_percent = percent
    return Pace(worker.id, run.task, run.run, percent)
