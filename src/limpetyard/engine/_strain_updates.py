"""Updates of the strains of serving runs, by reports and by responses."""

from typing import NamedTuple

from limpetyard._events import event
from limpetyard.engine._strain import Strain
from limpetyard.engine._worker import RunState, Worker, WorkerRun

# Reported CPU use of a run relative to what it may use, at most.
CPU_USE_TOLERANCE = 1.1


def update_strain(
    worker: Worker, run: WorkerRun, previous_ms: float, now_ms: float
) -> None:
    """Updates the strain of a run from its latest report.

    Args:
        worker: Worker of the run.
        run: The run, to which the report was applied.
        previous_ms: When the report before it arrived, or the run was placed.
        now_ms: When the report arrived.
    """
    strain, target_ms = run.strain, run.step.target_ms
    if strain is None:
        if not target_ms or run.measurement <= target_ms:
            return
        strain = run.strain = Strain.shown_by_report(previous_ms, now_ms)
        counts = _count_best_effort(worker)
        event(
            "strain_began",
            task=run.task.name,
            run=run.run,
            worker=worker.id,
            tail_ms=run.measurement,
            target_ms=target_ms,
            since_report_ms=now_ms - previous_ms,
            best_effort=counts.runs,
            working=counts.working,
            unreported=counts.unreported,
            stopping=counts.stopping,
        )
    if strain.add_report(run.measurement, target_ms, now_ms):
        run.strain = None
        _log_end(worker, run, strain, now_ms)


def note_effects(worker: Worker, now_ms: float) -> None:
    """Records when reports show the speeds that a strain has led to."""
    waiting = [
        run.strain
        for run in worker.runs.values()
        if run.strain is not None
        and run.strain.response
        and run.strain.effect_ms is None
    ]
    if waiting and all(
        run.measurement <= _most_cores_milli(run)
        for run in worker.runs.values()
        if run.step.fills and run.state is RunState.RUNNING
    ):
        for strain in waiting:
            strain.effect_ms = now_ms - strain.response_ms


def respond(
    worker: Worker,
    run: WorkerRun,
    response: str,
    counted_ms: float,
    orders: int,
    now_ms: float,
) -> None:
    """Records and logs what is done about the strain of a run.

    Args:
        worker: Worker of the run.
        run: The run.
        response: What is done.
        counted_ms: For how long the run counts as over its target.
        orders: Number of orders for a speed.
        now_ms: Current time.
    """
    run.strain.respond(response, now_ms)
    counts = _count_best_effort(worker)
    event(
        "strain_response",
        task=run.task.name,
        run=run.run,
        worker=worker.id,
        response=response,
        tail_ms=run.measurement,
        report_age_ms=now_ms - run.reported_ms,
        counted_ms=counted_ms,
        possible_ms=now_ms - run.strain.possible_since_ms,
        orders=orders,
        best_effort=counts.runs,
        working=counts.working,
        unreported=counts.unreported,
        stopping=counts.stopping,
    )


def _most_cores_milli(run: WorkerRun) -> float:
    """Returns what a best-effort run reports at most, at its speed."""
    share = run.speed_percent / 100
    return CPU_USE_TOLERANCE * run.step.need.cores_milli * share


def _log_end(
    worker: Worker, run: WorkerRun, strain: Strain, now_ms: float
) -> None:
    """Logs the end of a strain; -1 stands for what never happened."""
    counts = _count_best_effort(worker)
    event(
        "strain_ended",
        task=run.task.name,
        run=run.run,
        worker=worker.id,
        tail_ms=run.measurement,
        target_ms=run.step.target_ms,
        peak_ms=strain.peak_ms,
        reports=strain.reports,
        shown_ms=now_ms - strain.since_ms,
        possible_ms=now_ms - strain.possible_since_ms,
        response=strain.response or "none",
        response_age_ms=(
            now_ms - strain.response_ms if strain.response else -1
        ),
        effect_ms=-1 if strain.effect_ms is None else strain.effect_ms,
        best_effort=counts.runs,
        working=counts.working,
        unreported=counts.unreported,
        stopping=counts.stopping,
    )


class _BestEffortCounts(NamedTuple):
    """Best-effort runs of a worker.

    Attributes:
        runs: All of them.
        working: Those that used a core in their last report, or were not
            reported yet.
        unreported: Those that were not reported yet.
        stopping: Those that are being stopped, of the working ones.
    """

    runs: int
    working: int
    unreported: int
    stopping: int


def _count_best_effort(worker: Worker) -> _BestEffortCounts:
    runs = [run for run in worker.runs.values() if run.step.fills]
    working = [run for run in runs if run.measurement or not run.reported]
    return _BestEffortCounts(
        len(runs),
        len(working),
        sum(not run.reported for run in runs),
        sum(run.state is RunState.STOPPING for run in working),
    )
