"""Takes runs off workers that are about to leave.

A worker that has left is silent, as one that is cut off is, so that what it ran
waits for its lease. What is stopped before goes on elsewhere at once.
"""

from collections.abc import Callable

from limpetyard._events import event
from limpetyard.engine._placement import PLACERS, Candidate, kind_of
from limpetyard.engine._worker import RunState, Worker, WorkerRun
from limpetyard.jobs import Task, TaskKey

# What will not end in time is stopped at the latest when a worker has no more
# than this left: a stop takes its time, and the list that shows it one look.
LAST_CALL_MS = 500


def vacate(
    worker: Worker,
    find_task: Callable[[TaskKey], Task | None],
    candidates: list[Candidate],
    now_ms: float,
) -> None:
    """Marks the runs that are to leave a draining worker as stopping.

    Args:
        worker: The worker.
        find_task: Returns the task of a key, or None.
        candidates: Workers of its service that take work; what moves is set
            aside there.
        now_ms: Now.
    """
    left_ms = worker.leaves_ms - now_ms
    for run in worker.runs.values():
        task = find_task(run.task)
        if run.state is not RunState.RUNNING or task is None:
            continue
        if not _is_due(run, left_ms, now_ms):
            continue
        goal = _goal(task, run, candidates)
        if goal is None and left_ms > LAST_CALL_MS:
            continue
        if goal is not None:
            goal.take(run)
        run.state = RunState.STOPPING
        event(
            "run_moved",
            task=run.task.name,
            run=run.run,
            worker=worker.id,
            left_ms=left_ms,
        )


def _is_due(run: WorkerRun, left_ms: float, now_ms: float) -> bool:
    """Returns whether a run is better stopped now than left to its end."""
    if run.step.long_running:
        return True
    to_run_ms = max(0.0, run.step.run_ms - (now_ms - run.placed_ms))
    if run.step.checkpoints and not run.step.gang:
        return to_run_ms > left_ms
    return left_ms < LAST_CALL_MS < to_run_ms


def _goal(
    task: Task, run: WorkerRun, candidates: list[Candidate]
) -> Candidate | None:
    """Returns where a run would go if it were stopped now."""
    fitting = [
        candidate
        for candidate in candidates
        if not run.step.label or run.step.label in candidate.entry.labels
    ]
    placer = PLACERS.get(kind_of(run.step))
    return placer(task, run.step, fitting, run.task[:3])
