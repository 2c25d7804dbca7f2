"""Updates the colocation history and creates rate samples for the policy.

Both use run reports, whose measured rates lag.
"""

from limpetyard.cell import CellState
from limpetyard.fleet import Run, RunState
from limpetyard.placement import RateSample
from limpetyard.scheduler._workers import TrackedWorker


def record_colocation(
    state: CellState, worker: TrackedWorker, run: Run
) -> None:
    """Updates the worker's colocation history from a run report.

    Ignores reports of other attempts and of runs without any run time.
    """
    task = state.tasks.get(run.task)
    if task is None or run.attempt != task.attempt or run.ran_ms == 0:
        return
    key = (run.task, run.attempt)
    if run.state is not RunState.RUNNING:
        worker.colocation.record_end(key, worker.clock_ms)
        return
    worker.colocation.record_running(
        key,
        state.job_of(task).spec.class_name,
        run.fraction,
        worker.clock_ms - run.ran_ms,
        worker.clock_ms,
    )


def rate_sample_of(
    state: CellState, worker: TrackedWorker, run: Run
) -> RateSample | None:
    """Returns the rate sample of a run report.

    Returns None if the report has no rate or is not of the current attempt.
    """
    task = state.tasks.get(run.task)
    if run.rate <= 0 or task is None or task.attempt != run.attempt:
        return None
    spec = state.job_of(task).spec
    return RateSample(
        spec.class_name,
        spec.latency_critical,
        worker.colocation.neighbours_at(
            (run.task, run.attempt), run.rate_at_ms
        ),
        run.rate,
        run.rate_at_ms,
        worker.vm.size,
    )
