"""Mitigation of interference on a cell's workers."""

from limpetyard.fleet import Run, ThrottleOrder
from limpetyard.placement import (
    FULL_SPEED,
    InterferenceController,
    MitigationAction,
    MitigationCandidate,
    PlacementPolicy,
    SizeEstimator,
)
from limpetyard.scheduler._context import CellContext
from limpetyard.scheduler._effects import Effect, ThrottleRuns
from limpetyard.scheduler._samples import rate_sample_of, record_colocation
from limpetyard.scheduler._workers import TrackedWorker

# Run reports lag, so the next overload eviction on a worker waits until they
# can show the effect of the previous one.
OVERLOAD_EVICTION_PAUSE_MS = 6000.0


class InterferenceMitigator:
    """Feeds run reports to the policy and applies mitigation steps."""

    __slots__ = ("_context", "_interference_controller", "_policy", "_sizes")

    def __init__(
        self,
        context: CellContext,
        policy: PlacementPolicy,
        sizes: SizeEstimator,
    ):
        self._context = context
        self._sizes = sizes
        self._policy = policy
        self._interference_controller = InterferenceController()

    def observe_runs(self, worker: TrackedWorker, updates: list[Run]) -> None:
        """Updates the colocation history and the models from run reports.

        The policy and the size estimates use runs at full speed only.
        """
        state = self._context.state
        for run in updates:
            record_colocation(state, worker, run)
        worker.colocation.prune(worker.clock_ms)
        for run in updates:
            sample = rate_sample_of(state, worker, run)
            if sample is None:
                continue
            if run.fraction == FULL_SPEED:
                self._policy.learn(sample)
                self._sizes.observe(sample.class_name, run.cores)
            if sample.latency_critical:
                self._interference_controller.observe(
                    worker.vm.id, run.task, sample.rate
                )

    def effects(self, worker: TrackedWorker, now_ms: float) -> list[Effect]:
        """Returns the throttle orders that are due for a worker.

        An eviction is recorded as a requested stop of the worker instead.
        """
        self._evict_on_overload(worker, now_ms)
        if not self._interference_controller.step_due(worker.vm.id, now_ms):
            return []
        step = self._interference_controller.step(
            worker.vm.id, self._candidates(worker), now_ms
        )
        if step is None:
            return []
        attempt = self._context.state.tasks[step.task].attempt
        if step.action is MitigationAction.EVICT:
            worker.request_stop(step.task, attempt)
            return []
        order = ThrottleOrder(
            self._context.name,
            self._context.ownership.epoch,
            step.task,
            attempt,
            step.fraction,
        )
        return [ThrottleRuns(worker.vm.id, worker.vm.address, [order])]

    def _evict_on_overload(self, worker: TrackedWorker, now_ms: float) -> None:
        """Evicts the cheapest batch task of a worker that is short of cores."""
        used = sum(run.cores for run in worker.runs.values())
        overloaded = used > worker.vm.size.cores
        if (
            not overloaded
            or now_ms < worker.overload_eviction_ms + OVERLOAD_EVICTION_PAUSE_MS
        ):
            return
        candidates = self._candidates(worker)
        if candidates:
            worker.overload_eviction_ms = now_ms
            cheapest = min(candidates, key=lambda c: c.cost)
            attempt = self._context.state.tasks[cheapest.task].attempt
            worker.request_stop(cheapest.task, attempt)

    def _candidates(self, worker: TrackedWorker) -> list[MitigationCandidate]:
        """Returns the worker's batch tasks that run and are not being stopped.

        A task without a run report is left out.
        """
        context = self._context
        tasks = context.placed_on(worker)
        critical_classes = [
            context.state.job_of(task).spec.class_name
            for task in tasks
            if context.is_critical(task)
        ]
        candidates = []
        for task in tasks:
            run = worker.runs.get(task.id)
            stopping = (task.id, task.attempt) in worker.requested_stops
            if run is None or stopping or context.is_critical(task):
                continue
            class_name = context.state.job_of(task).spec.class_name
            candidates.append(
                MitigationCandidate(
                    task.id,
                    self._policy.slowdown(critical_classes, class_name),
                    run.ran_ms * task.size.cores,
                    run.fraction,
                )
            )
        return candidates
