"""Slows filling tasks down beside tails that come near their targets."""

from limpetyard.engine._effects import Effect, Pace
from limpetyard.engine._interference import AT_TARGET, TailModel, headroom_of
from limpetyard.engine._placement import filling_cores, serving_runs
from limpetyard.engine._worker import RunState, Worker, WorkerRun

# Filling tasks are slowed once a headroom is expected below the first, until it
# is above the second; their speed is given back down to the third.
SLOW_BELOW = 1.05 * AT_TARGET
SLOW_TO = 1.15 * AT_TARGET
RESTORE_DOWN_TO = 1.25 * AT_TARGET

# A figure covers half a second, so that a change shows in it after that.
FIGURE_MS = 500

# A filling task slowed below this is held entirely.
LEAST_PERCENT = 10

# A filling task that was held for this long is stopped, so that it goes on
# elsewhere from its checkpoint.
HELD_MS = 1000


def learn(worker: Worker, tails: TailModel, now_ms: float) -> None:
    """Takes in the figures of a worker's newest list."""
    cores: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.fills and run.measurement > 0:
            used = cores.get(run.step.image, 0.0)
            cores[run.step.image] = used + run.measurement / 1000
    for run in serving_runs(worker):
        settled = now_ms - run.placed_ms > 2 * FIGURE_MS
        if run.measurement > 0 and run.working and settled:
            tails.learn(
                run.task.job,
                run.step.image,
                headroom_of(run.measurement, run.step.target_ms),
                run.step.target_ms,
                cores,
                now_ms,
            )


def pace(worker: Worker, tails: TailModel, now_ms: float) -> list[Effect]:
    """Decides on the speed of a worker's filling tasks.

    Returns:
        Orders for those whose speed changes.
    """
    fills = [
        run
        for run in worker.runs.values()
        if run.step.fills and run.state is RunState.RUNNING
    ]
    if not fills:
        return []
    lowest, victim = _lowest_headroom(worker, tails, now_ms)
    effects: list[Effect] = []
    if victim is not None and lowest < SLOW_BELOW:
        effects = _slow(worker, victim, fills, SLOW_TO - lowest, tails)
    else:
        effects = _restore(
            worker, victim, fills, lowest - RESTORE_DOWN_TO, tails
        )
    for run in fills:
        if run.wanted_percent > 0:
            run.held_since_ms = None
        elif run.held_since_ms is None:
            run.held_since_ms = now_ms
        elif now_ms - run.held_since_ms > HELD_MS:
            run.state = RunState.STOPPING
    return effects


def _lowest_headroom(
    worker: Worker, tails: TailModel, now_ms: float
) -> tuple[float, WorkerRun | None]:
    """Returns the lowest headroom expected soon, and whose it is."""
    cores = filling_cores(worker)
    lowest, victim = float("inf"), None
    for run in serving_runs(worker):
        headroom = tails.level_ahead(run.task.job, now_ms) - sum(
            tails.weight(run.step.image, image) * used
            for image, used in cores.items()
        )
        if headroom < lowest:
            lowest, victim = headroom, run
    return lowest, victim


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
    missing: float,
    tails: TailModel,
) -> list[Effect]:
    """Slows the loudest tasks until `missing` headroom is won back."""
    effects: list[Effect] = []
    fills = sorted(fills, key=lambda run: -_weight(victim, run, tails))
    for run in fills:
        cores = run.step.need.cores_milli / 1000 * run.wanted_percent / 100
        taken = _weight(victim, run, tails) * cores
        if missing <= 0 or taken <= 0:
            continue
        percent = int(run.wanted_percent * max(0.0, 1 - missing / taken))
        percent = percent if percent >= LEAST_PERCENT else 0
        missing -= taken * (1 - percent / run.wanted_percent)
        effects.append(_order(worker, run, percent))
    return effects


def _restore(
    worker: Worker,
    victim: WorkerRun | None,
    fills: list[WorkerRun],
    spare: float,
    tails: TailModel,
) -> list[Effect]:
    """Gives speed back to the quietest tasks while headroom is spare."""
    effects: list[Effect] = []
    for run in sorted(fills, key=lambda run: _weight(victim, run, tails)):
        if run.wanted_percent == 100 or spare <= 0:
            continue
        full = _weight(victim, run, tails) * run.step.need.cores_milli / 1000
        more = 100 - run.wanted_percent
        if full > 0:
            more = min(more, int(100 * spare / full))
        percent = run.wanted_percent + more
        if percent < 100 and more < LEAST_PERCENT:
            continue
        spare -= full * more / 100
        effects.append(_order(worker, run, percent))
    return effects


def _order(worker: Worker, run: WorkerRun, percent: int) -> Pace:
    run.wanted_percent = percent
    return Pace(worker.id, run.task, run.run, percent)
