"""Policies that slow best-effort tasks for the sake of serving tasks.

A best-effort task (`StepSpec.fills`) uses only cores that others leave idle. A
serving task has a target for its tail latency. The headroom of a serving task
is its target divided by its tail latency.
"""

import math
from collections.abc import Callable

from limpetyard._registry import Registry
from limpetyard.engine._candidate import worker_load
from limpetyard.engine._effects import Effect
from limpetyard.engine._interference import (
    HEADROOM_AT_TARGET,
    InterferenceModel,
    tail_headroom,
)
from limpetyard.engine._load import serving_runs
from limpetyard.engine._params import EngineParams
from limpetyard.engine._speeds import pause_all, restore, slow, stop_paused
from limpetyard.engine._strain import MEASUREMENT_WINDOW_MS
from limpetyard.engine._strain_updates import respond
from limpetyard.engine._worker import RunState, Worker, WorkerRun

# Thresholds of the lowest predicted headroom on a worker. Below SLOW_BELOW,
# best-effort tasks are slowed until SLOW_TO is predicted. Above
# RESTORE_DOWN_TO, their speed is restored until RESTORE_DOWN_TO is predicted.
# The gaps between the thresholds provide hysteresis.
SLOW_BELOW = 1.05 * HEADROOM_AT_TARGET
SLOW_TO = 1.15 * HEADROOM_AT_TARGET
RESTORE_DOWN_TO = 1.25 * HEADROOM_AT_TARGET

# Time before a serving task may have been over its target for
# `EngineParams.strain_limit_ms` at which all best-effort tasks are paused: a
# round of planning, an order that is repeated once, and its effect.
PAUSE_ALL_LEAD_MS = 500

# The same for those that interfere, and for slowing them first.
PAUSE_LEAD_MS = 700
SLOW_LEAD_MS = 1400

# Time after lowering a speed until reports show its full effect: the order, and
# a measurement that begins after it.
SETTLING_MS = MEASUREMENT_WINDOW_MS + 200

# Sets the speeds of the best-effort tasks on a worker, given the model, the
# limit of strain in milliseconds and the current time. Returns orders for the
# runs whose speed changes.
Pacer = Callable[[Worker, InterferenceModel, float, float], list[Effect]]
PACERS: Registry[Pacer] = Registry("pacer")

DEFAULT_PACER = "measured"


def note_best_effort(worker: Worker, now_ms: float) -> None:
    """Records whether best-effort runs exist on a worker that was paced."""
    load = worker.latest_load
    if worker.best_effort_seen_ms is None or load and load.best_effort_runs:
        worker.best_effort_seen_ms = now_ms


def adopted_strain_ms(params: EngineParams) -> float:
    """Returns for how long a found run counts as over its target."""
    return max(0.0, params.strain_limit_ms - SLOW_LEAD_MS)


def update_interference(
    worker: Worker, interference: InterferenceModel, now_ms: float
) -> None:
    """Updates the interference model from a worker's latest measurements."""
    cores: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.fills and run.measurement > 0:
            used = cores.get(run.step.image, 0.0)
            cores[run.step.image] = used + run.measurement / 1000
    for run in serving_runs(worker.runs.values()):
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


def _slow_as_measured(
    worker: Worker,
    strained: WorkerRun,
    runs: list[WorkerRun],
    interference: InterferenceModel,
) -> list[Effect]:
    headroom = tail_headroom(strained.measurement, strained.step.target_ms)
    image = strained.step.image
    return slow(worker, image, runs, SLOW_TO - headroom, interference)


def _pause_interfering(
    worker: Worker,
    strained: WorkerRun,
    runs: list[WorkerRun],
    interference: InterferenceModel,
) -> list[Effect]:
    return slow(worker, strained.step.image, runs, math.inf, interference)


# Given a worker, the serving run that has been over its target for longest, the
# best-effort runs and the model, returns orders for the runs whose speed
# changes.
Mitigation = Callable[
    [Worker, WorkerRun, list[WorkerRun], InterferenceModel], list[Effect]
]

# What is done from each time before the limit of strain on, latest first, until
# all are paused.
MITIGATIONS: tuple[tuple[float, Mitigation], ...] = (
    (PAUSE_LEAD_MS, _pause_interfering),
    (SLOW_LEAD_MS, _slow_as_measured),
)


@PACERS.register("measured")
def pace_by_measurement(
    worker: Worker,
    interference: InterferenceModel,
    strain_limit_ms: float,
    now_ms: float,
) -> list[Effect]:
    """Slows tasks once a serving task may have been over its target for long.

    The load of serving tasks varies within seconds, and most excesses end
    sooner than a slowed task could make up for. Acts by `MITIGATIONS`, and
    waits for the effect before it acts again, except to pause what still works
    in the last stage. Restores speeds when the predicted headroom allows it.
    """
    if not worker_load(worker).best_effort_runs:
        return []
    runs = _running_best_effort(worker)
    strained = _longest_over_target(worker)
    effects: list[Effect] = []
    if strained is not None:
        since_ms = max(
            strained.strain.possible_since_ms, worker.strain_counts_from_ms
        )
        counted_ms = now_ms - since_ms
        left_ms = strain_limit_ms - counted_ms
        settled = now_ms - worker.slowed_ms >= SETTLING_MS
        if left_ms <= PAUSE_ALL_LEAD_MS:
            # Runs that are being stopped work on until they have.
            accepted = [
                run for run in worker_load(worker).best_effort_runs if run.began
            ]
            working = [run for run in accepted if run.speed_percent > 0]
            effects = pause_all(worker, accepted if settled else working)
            response = "pause_all"
        elif settled and left_ms <= SLOW_LEAD_MS:
            mitigate = next(m for lead, m in MITIGATIONS if left_ms <= lead)
            effects = mitigate(worker, strained, runs, interference)
            response = mitigate.__name__.removeprefix("_")
        if effects:
            if settled:
                worker.slowed_ms = now_ms
            orders = len(effects)
            respond(worker, strained, response, counted_ms, orders, now_ms)
    elif any(run.speed_percent < 100 for run in runs):
        lowest, image = _lowest_headroom(worker, interference, now_ms)
        spare = lowest - RESTORE_DOWN_TO
        effects = restore(worker, image, runs, spare, interference)
    stop_paused(worker, runs, now_ms)
    return effects


@PACERS.register("predicted")
def pace_by_prediction(
    worker: Worker,
    interference: InterferenceModel,
    strain_limit_ms: float,
    now_ms: float,
) -> list[Effect]:
    """Slows tasks as soon as the predicted headroom is low."""
    runs = _running_best_effort(worker)
    if not runs:
        return []
    lowest, limiting_image = _lowest_headroom(worker, interference, now_ms)
    if limiting_image is not None and lowest < SLOW_BELOW:
        shortfall = SLOW_TO - lowest
        effects = slow(worker, limiting_image, runs, shortfall, interference)
    else:
        spare = lowest - RESTORE_DOWN_TO
        effects = restore(worker, limiting_image, runs, spare, interference)
    stop_paused(worker, runs, now_ms)
    return effects


@PACERS.register("none")
def pace_never(
    worker: Worker,
    interference: InterferenceModel,
    strain_limit_ms: float,
    now_ms: float,
) -> list[Effect]:
    """Changes no speed. For comparison only: nothing limits the strain."""
    return []


def _running_best_effort(worker: Worker) -> list[WorkerRun]:
    # A member of an enum is slow to look up, and there are many runs.
    running = RunState.RUNNING
    return [
        run
        for run in worker_load(worker).best_effort_runs
        if run.state is running
    ]


def _longest_over_target(worker: Worker) -> WorkerRun | None:
    """Returns the serving run that has been over its target for longest."""
    over = [
        run
        for run in serving_runs(worker.runs.values())
        if run.strain is not None
    ]
    return min(over, key=lambda run: run.strain.possible_since_ms, default=None)


def _lowest_headroom(
    worker: Worker, interference: InterferenceModel, now_ms: float
) -> tuple[float, str | None]:
    """Returns the lowest predicted headroom and the serving image with it."""
    load = worker_load(worker)
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
