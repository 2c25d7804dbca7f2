"""Decisions that must be in the cell's stream before they take effect."""

from limpetyard.cell import (
    Ended,
    Entry,
    Placed,
    Rejected,
    ResourceVector,
    RunOutcome,
    Task,
)
from limpetyard.fleet import Run, RunState
from limpetyard.scheduler._context import CellContext
from limpetyard.scheduler._planner import PlacementPlanner
from limpetyard.scheduler._workers import ENDED_STATES, TrackedWorker

_OUTCOMES = {
    RunState.FINISHED: RunOutcome.FINISHED,
    RunState.FAILED: RunOutcome.FAILED,
    RunState.STOPPED: RunOutcome.EVICTED,
    RunState.LAPSED: RunOutcome.LOST,
}


class EntryCollector:
    """Collects the entries of the next record to append."""

    __slots__ = ("_context", "_planner")

    def __init__(self, context: CellContext, planner: PlacementPlanner):
        self._context = context
        self._planner = planner

    def entries(self, now_ms: float) -> list[Entry]:
        """Returns the entries to append: ended runs, rejections, placements.

        Counts the ended runs and the placements in the workers' circuit
        breakers, and marks batch tasks to be stopped where
        `PlacementPlanner.plan` preempts them. Plans no placements while no
        start may be sent.
        """
        entries = self._ended_entries(now_ms)
        entries += self._rejected_entries()
        if self._context.may_start(now_ms):
            entries += self._placed_entries(now_ms)
        return entries

    def _ended_entries(self, now_ms: float) -> list[Entry]:
        """Returns an entry for each placed task whose run has ended."""
        context = self._context
        entries: list[Entry] = []
        for worker_id in context.state.placed:
            worker = context.workers.get(worker_id)
            if worker is None:
                continue
            expired = worker.runs_expired(
                now_ms, context.ownership.acquired_ms, context.params
            )
            for task in context.placed_on(worker):
                entry = _ended_entry(worker, task, expired)
                if entry is not None:
                    entries.append(entry)
                    _update_breaker(worker, entry.outcome, now_ms)
        return entries

    def _rejected_entries(self) -> list[Entry]:
        """Returns a rejection for each job that fits on no worker of the cell.

        Compares with the workers' sizes, not with their free resources. Without
        any known worker, no job is rejected.
        """
        context = self._context
        if not context.workers:
            return []
        return [
            Rejected(
                job.spec.id,
                f"no worker of {context.name} has"
                f" {_format_resources(job.spec.size)}",
            )
            for job in context.state.jobs.values()
            if not (job.rejected or job.cancelled)
            and not self._fits_any_worker(job.spec.size)
        ]

    def _fits_any_worker(self, size: ResourceVector) -> bool:
        workers = self._context.workers.values()
        return any(worker.vm.size.can_fit(size) for worker in workers)

    def _placed_entries(self, now_ms: float) -> list[Entry]:
        """Plans placements and returns an entry for each."""
        context = self._context
        entries: list[Entry] = []
        for plan in self._planner.plan(context, now_ms):
            worker = context.workers[plan.worker.id]
            worker.breaker.record_placement()
            task = context.state.tasks[plan.task.id]
            entries.append(
                Placed(
                    task.id,
                    task.attempt + 1,
                    worker.vm.id,
                    worker.boot,
                    plan.task.size,
                    plan.reason,
                )
            )
        return entries


def _ended_entry(
    worker: TrackedWorker, task: Task, expired: bool
) -> Ended | None:
    """Returns the entry that ends a task's run, or None if it has not ended.

    Args:
        worker: Worker that the task is placed on.
        task: The task.
        expired: Whether no run of the cell can still be running there.
    """
    if worker.boot > task.boot:
        return _lost_entry(task, 0, "worker restarted")
    run = worker.runs.get(task.id)
    if run and run.attempt == task.attempt and run.state in ENDED_STATES:
        return Ended(
            task.id,
            task.attempt,
            _outcome_of(run),
            run.checkpoint,
            run.ran_ms,
        )
    if expired:
        return _lost_entry(
            task,
            run.ran_ms if run else 0,
            "worker departed, or no reply until after the task lease expired",
        )
    return None


def _lost_entry(task: Task, ran_ms: int, reason: str) -> Ended:
    return Ended(task.id, task.attempt, RunOutcome.LOST, "", ran_ms, reason)


def _outcome_of(run: Run) -> RunOutcome:
    """Returns the outcome of an ended run.

    A run that was stopped before it ran at all counts as `REFUSED`, not as
    `EVICTED`.
    """
    never_ran = run.state is RunState.STOPPED and run.ran_ms == 0
    return RunOutcome.REFUSED if never_ran else _OUTCOMES[run.state]


def _update_breaker(
    worker: TrackedWorker, outcome: RunOutcome, now_ms: float
) -> None:
    if outcome is RunOutcome.FAILED:
        worker.breaker.record_failure(now_ms)
    elif outcome is RunOutcome.FINISHED:
        worker.breaker.record_success()
    else:
        worker.breaker.record_inconclusive()


def _format_resources(size: ResourceVector) -> str:
    return (
        f"{size.cores:g} cores, {size.memory_mb} MiB,"
        f" {size.accelerators} accelerators"
    )
