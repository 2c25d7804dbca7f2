"""Turning workers' lagging reports into samples for the policy."""

from limpetyard.cell import CellState
from limpetyard.fleet import Run, RunState
from limpetyard.placement import RateSample
from limpetyard.scheduler._workers import TrackedWorker


def note_stay(state: CellState, worker: TrackedWorker, run: Run) -> None:
    """Notes from when to when a run shared its worker."""
    task = state.tasks.get(run.task)
    if task is None or run.attempt != task.attempt or run.ran_ms == 0:
        return
    key = (run.task, run.attempt)
    if run.state is not RunState.RUNNING:
        worker.presence.ended(key, worker.clock_ms)
        return
    worker.presence.note(
        key,
        state.job_of(task).spec.class_name,
        run.fraction,
        worker.clock_ms - run.ran_ms,
        worker.clock_ms,
    )


def sample_of(
    state: CellState, worker: TrackedWorker, run: Run
) -> RateSample | None:
    """Returns the sample that a run's report holds, if any."""
    task = state.tasks.get(run.task)
    if run.rate <= 0 or task is None or task.attempt != run.attempt:
        return None
    spec = state.job_of(task).spec
    return RateSample(
        spec.class_name,
        spec.latency_critical,
        worker.presence.beside((run.task, run.attempt), run.rate_at_ms),
        run.rate,
        run.rate_at_ms,
        worker.vm.size,
    )
