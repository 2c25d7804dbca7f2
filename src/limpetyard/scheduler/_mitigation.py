"""Relief of latency-critical tasks, carried out on a cell's workers."""

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
from limpetyard.scheduler._samples import note_stay, sample_of
from limpetyard.scheduler._workers import TrackedWorker

# Reports lag; the next eviction for crowding waits for them.
UNCROWD_PAUSE_MS = 6000.0


class Easing:
    """Feeds reports to the policy and to relief, and takes relief's steps."""

    __slots__ = ("_context", "_policy", "_relief", "_sizes")

    def __init__(
        self,
        context: CellContext,
        policy: PlacementPolicy,
        sizes: SizeEstimator,
    ):
        self._context = context
        self._sizes = sizes
        self._policy = policy
        self._relief = InterferenceController()

    def learn(self, worker: TrackedWorker, news: list[Run]) -> None:
        """Takes in the reports among a worker's news."""
        state = self._context.state
        for run in news:
            note_stay(state, worker, run)
        worker.presence.drop_before(worker.clock_ms)
        for run in news:
            sample = sample_of(state, worker, run)
            if sample is None:
                continue
            if run.fraction == FULL_SPEED:
                self._policy.learn(sample)
                self._sizes.observe(sample.class_name, run.cores)
            if sample.latency_critical:
                self._relief.observe(worker.vm.id, run.task, sample.rate)

    def effects(self, worker: TrackedWorker, now_ms: float) -> list[Effect]:
        """Returns the throttling that is due; evictions are noted."""
        self._uncrowd(worker, now_ms)
        if not self._relief.due(worker.vm.id, now_ms):
            return []
        step = self._relief.step(worker.vm.id, self._suspects(worker), now_ms)
        if step is None:
            return []
        attempt = self._context.state.tasks[step.task].attempt
        if step.kind is MitigationAction.EVICT:
            worker.want_stop(step.task, attempt)
            return []
        order = ThrottleOrder(
            self._context.name,
            self._context.ownership.epoch,
            step.task,
            attempt,
            step.fraction,
        )
        return [ThrottleRuns(worker.vm.id, worker.vm.address, [order])]

    def _uncrowd(self, worker: TrackedWorker, now_ms: float) -> None:
        """Evicts the cheapest batch task of a worker that is asked too much."""
        asked = sum(run.cores for run in worker.runs.values())
        crowded = asked > worker.vm.size.cores
        if not crowded or now_ms < worker.uncrowded_ms + UNCROWD_PAUSE_MS:
            return
        suspects = self._suspects(worker)
        if suspects:
            worker.uncrowded_ms = now_ms
            cheapest = min(suspects, key=lambda suspect: suspect.cost)
            attempt = self._context.state.tasks[cheapest.task].attempt
            worker.want_stop(cheapest.task, attempt)

    def _suspects(self, worker: TrackedWorker) -> list[MitigationCandidate]:
        context = self._context
        tasks = context.placed_on(worker)
        victims = [
            context.state.job_of(task).spec.class_name
            for task in tasks
            if context.is_critical(task)
        ]
        suspects = []
        for task in tasks:
            run = worker.runs.get(task.id)
            stopping = (task.id, task.attempt) in worker.stops
            if run is None or stopping or context.is_critical(task):
                continue
            class_name = context.state.job_of(task).spec.class_name
            suspects.append(
                MitigationCandidate(
                    task.id,
                    self._policy.slowdown(victims, class_name),
                    run.ran_ms * task.size.cores,
                    run.fraction,
                )
            )
        return suspects
