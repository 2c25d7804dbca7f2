"""Turning workers' lagging reports into samples for the policy."""

from collections import Counter

from limpetyard.cell import CellState
from limpetyard.placement import RateSample
from limpetyard.platform import Run
from limpetyard.scheduler._workers import KnownWorker


def samples_of(
    state: CellState, worker: KnownWorker, run: Run
) -> RateSample | None:
    """Returns the sample that a run's report holds, if any.

    Only runs that were already going on at the moment described count as
    neighbours.
    """
    task = state.tasks.get(run.task)
    if run.rate <= 0 or task is None or task.attempt != run.attempt:
        return None
    spec = state.job_of(task).spec
    beside: Counter[str] = Counter()
    for other in worker.runs.values():
        other_task = state.tasks.get(other.task)
        started_ms = worker.clock_ms - other.ran_ms
        there = started_ms <= run.rate_at_ms
        if other.task != run.task and other_task is not None and there:
            beside[state.job_of(other_task).spec.class_name] += 1
    return RateSample(
        spec.class_name,
        spec.latency_critical,
        tuple(sorted(beside.items())),
        run.rate,
        run.rate_at_ms,
        worker.vm.size,
    )
