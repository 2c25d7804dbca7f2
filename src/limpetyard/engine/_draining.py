"""Stops runs on draining workers so that their tasks can restart elsewhere.

A worker that has departed cannot be told from one that a network partition
makes unreachable, so its tasks must wait until its lease expires. A task whose
run is stopped before the worker departs can restart elsewhere at once.
"""

from collections.abc import Callable

from limpetyard._events import event
from limpetyard.engine._candidate import Candidate
from limpetyard.engine._placement import PLACERS, placer_name
from limpetyard.engine._ranking import ServiceRound
from limpetyard.engine._worker import RunState, Worker, WorkerRun
from limpetyard.jobs import Task, TaskKey

# From this long before the departure, runs are stopped even if no other worker
# can take them: long-running ones always, those with checkpoints if they are
# expected to end after the departure. Other runs and members of gangs are
# stopped only from then on, and only if their expected remaining run time is
# longer than this. The stop takes time, and another poll must report the end of
# the run.
FORCED_STOP_MS = 500


def drain_worker(
    worker: Worker,
    find_task: Callable[[TaskKey], Task | None],
    service_round: ServiceRound,
    placed: list[Candidate],
    now_ms: float,
) -> None:
    """Marks the runs that should move off a draining worker as stopping.

    More than `FORCED_STOP_MS` before the departure, a run is stopped only if
    another worker can take its task.

    Args:
        worker: The draining worker.
        find_task: Returns the task of a key, or None.
        service_round: Workers of the same service that accept work; resources
            for moved runs are reserved there, for the rest of this round only.
        placed: Receivers of the tasks placed in this round, to which those of
            moved runs are appended.
        now_ms: Current time.
    """
    until_departure_ms = worker.departure_ms - now_ms
    for run in worker.runs.values():
        task = find_task(run.task)
        if run.state is not RunState.RUNNING or task is None:
            continue
        if not _should_stop(run, until_departure_ms, now_ms):
            continue
        destination = _find_destination(task, run, service_round, placed)
        if destination is None and until_departure_ms > FORCED_STOP_MS:
            continue
        if destination is not None:
            destination.reserve(run)
            placed.append(destination)
        run.state = RunState.STOPPING
        event(
            "run_moved",
            task=run.task.name,
            run=run.run,
            worker=worker.id,
            left_ms=until_departure_ms,
        )


def _should_stop(
    run: WorkerRun, until_departure_ms: float, now_ms: float
) -> bool:
    """Returns whether a run should be stopped rather than run to its end.

    A long-running run should always stop. A run with checkpoints should stop if
    it is expected to end after the departure. Other runs and members of gangs
    should stop if less than `FORCED_STOP_MS` is left until the departure and
    they are expected to run for longer than `FORCED_STOP_MS`.

    Args:
        run: The run.
        until_departure_ms: Time until the earliest departure of the worker.
        now_ms: Current time.
    """
    if run.step.long_running:
        return True
    remaining_run_ms = max(0.0, run.step.run_ms - (now_ms - run.placed_ms))
    if run.step.checkpoints and not run.step.gang:
        return remaining_run_ms > until_departure_ms
    return until_departure_ms < FORCED_STOP_MS < remaining_run_ms


def _find_destination(
    task: Task,
    run: WorkerRun,
    service_round: ServiceRound,
    placed: list[Candidate],
) -> Candidate | None:
    """Returns a worker that could take the task of a run, or None."""
    step = run.step
    if service_round.is_task_unmet(step):
        return None
    score = PLACERS.get(placer_name(step)).score
    ranking = service_round.ranking(score, step, run.task[:3], placed)
    destination = ranking.choose(task)
    if destination is None and ranking.is_empty:
        service_round.add_unmet(step)
    return destination
