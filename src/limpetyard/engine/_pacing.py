"""Slows filling tasks down beside tails that come near their targets."""

import math

from limpetyard.engine._effects import Effect, Pace
from limpetyard.engine._placing import (
    expected_tail,
    filling_cores,
    serving_runs,
)
from limpetyard.engine._tails import TailModel, log_ratio
from limpetyard.engine._worker import RunState, Worker, WorkerRun

# Filling tasks are slowed once a tail is expected over this part of its target,
# down to the second; their speed is given back under the third.
SLOW_ABOVE = math.log(0.95)
SLOW_TO = math.log(0.8)
RESTORE_BELOW = math.log(0.7)

# A figure covers half a second, so that a change shows in it after that.
FIGURE_MS = 500

# A filling task slowed below this is stopped in effect.
LEAST_PERCENT = 10

# Speed given back in one step.
RESTORE_STEP = 25


def learn(worker: Worker, tails: TailModel, now_ms: float) -> None:
    """Takes in the figures of a worker's newest list."""
    cores: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.fills:
            used = cores.get(run.step.image, 0.0)
            cores[run.step.image] = used + run.figure / 1000
    for run in serving_runs(worker):
        if run.figure <= 0 or not run.working:
            continue
        run.beside = dict(cores)
        if now_ms - run.placed_ms > 2 * FIGURE_MS:
            measured = log_ratio(run.figure, run.step.target_ms)
            tails.learn(run.step.image, measured, cores)


def pace(worker: Worker, tails: TailModel, now_ms: float) -> list[Effect]:
    """Decides on the speed of a worker's filling tasks.

    Returns:
        Orders for those whose speed changes.
    """
    learn(worker, tails, now_ms)
    fills = [
        run
        for run in worker.runs.values()
        if run.step.fills
        and run.state is RunState.RUNNING
        and now_ms - run.order_ms >= FIGURE_MS
    ]
    if not fills:
        return []
    cores = filling_cores(worker)
    worst, victim = -math.inf, None
    for run in serving_runs(worker):
        expected = expected_tail(run, cores, tails)
        if expected > worst:
            worst, victim = expected, run
    if victim is not None and worst > SLOW_ABOVE:
        return _slow(worker, victim, fills, worst - SLOW_TO, tails, now_ms)
    if worst < RESTORE_BELOW:
        return _restore(
            worker, victim, fills, RESTORE_BELOW - worst, tails, now_ms
        )
    return []


def _weight(
    victim: WorkerRun | None, run: WorkerRun, tails: TailModel
) -> float:
    if victim is None:
        return 0.0
    return tails.weight(victim.step.image, run.step.image)


def _slow(
    worker: Worker,
    victim: WorkerRun,
    fills: list[WorkerRun],
    excess: float,
    tails: TailModel,
    now_ms: float,
) -> list[Effect]:
    effects: list[Effect] = []
    fills.sort(key=lambda run: -_weight(victim, run, tails))
    for run in fills:
        if excess <= 0:
            break
        if run.wanted_percent == 0:
            continue
        cores = run.step.need.cores_milli / 1000 * run.wanted_percent / 100
        share = _weight(victim, run, tails) * cores
        left = 1 - excess / share if share > 0 else 0.0
        percent = int(run.wanted_percent * max(0.0, left))
        percent = percent if percent >= LEAST_PERCENT else 0
        excess -= share * (1 - percent / run.wanted_percent)
        effects.append(_order(worker, run, percent, now_ms))
    return effects


def _restore(
    worker: Worker,
    victim: WorkerRun | None,
    fills: list[WorkerRun],
    spare: float,
    tails: TailModel,
    now_ms: float,
) -> list[Effect]:
    slowed = [run for run in fills if run.wanted_percent < 100]
    if not slowed:
        return []
    run = min(slowed, key=lambda run: _weight(victim, run, tails))
    percent = min(100, run.wanted_percent + RESTORE_STEP)
    cores = run.step.need.cores_milli / 1000
    more = (percent - run.wanted_percent) / 100 * cores
    if _weight(victim, run, tails) * more > spare:
        return []
    return [_order(worker, run, percent, now_ms)]


def _order(worker: Worker, run: WorkerRun, percent: int, now_ms: float) -> Pace:
    run.wanted_percent = percent
    run.order_ms = now_ms
    return Pace(worker.id, run.task, run.run, percent)
