"""Builds the views that placement decides on from a cell's state."""

from collections.abc import Iterable

from limpetyard.cell import CellState, Job, ResourceVector, Task
from limpetyard.config import Partner
from limpetyard.fleet import VmState
from limpetyard.placement import (
    FULL_SPEED,
    DecayedUsage,
    PartnerView,
    PlacementPolicy,
    PlannedPlacement,
    SizeEstimator,
    TaskView,
    WorkerView,
    plan_placements,
    plan_preemption,
)
from limpetyard.scheduler._context import CellContext
from limpetyard.scheduler._workers import TrackedWorker
from limpetyard.scheduler._zones import ZoneHold

PREEMPT_PAUSE_MS = 3000.0
PREEMPTIONS_PER_ROUND = 8

_DEFAULT_PARTNER = Partner()
_NO_ROOM = ResourceVector(0.0, 0)


class Planner:
    """Plans placements for one cell."""

    __slots__ = ("_hold", "_policy", "_preempted", "_sizes", "_window")

    def __init__(self, policy: PlacementPolicy, sizes: SizeEstimator):
        self._policy = policy
        self._sizes = sizes
        self._hold = ZoneHold()
        self._window = DecayedUsage()
        self._preempted: dict[str, float] = {}

    def plan(
        self, context: CellContext, now_ms: float
    ) -> list[PlannedPlacement]:
        """Returns the placements to write next.

        Where a latency-critical task finds no room, batch tasks that stand in
        its way are asked to stop; the task is placed once they have.
        """
        self._hold.observe(context.cfg.zones_out, now_ms)
        if not context.state.queued:
            return []
        views = self._views(context, now_ms)
        partners = self._partners(context, views, now_ms)
        if not views:
            return []
        limit = context.params.starts_per_commit
        plans = plan_placements(partners, views, self._policy, limit)
        placed = {plan.task.id for plan in plans}
        self._preempt(context, partners, views, placed, now_ms)
        return _within_probes(plans, context.workers.values(), now_ms)

    def _views(self, context: CellContext, now_ms: float) -> list[WorkerView]:
        views = []
        for worker in context.workers.values():
            if _takes_work(context, worker, now_ms):
                zone = worker.vm.availability_zone
                view = view_of(context.state, worker, self._sizes)
                view.accepts_batch = self._hold.accepts_batch(zone, now_ms)
                views.append(view)
        return views

    def _preempt(
        self,
        context: CellContext,
        partners: Iterable[PartnerView],
        views: list[WorkerView],
        placed: set[str],
        now_ms: float,
    ) -> None:
        self._preempted = {
            task: until_ms
            for task, until_ms in self._preempted.items()
            if now_ms < until_ms
        }
        waiting = [
            task
            for partner in partners
            for task in partner.waiting
            if task.latency_critical
            and task.id not in placed
            and task.id not in self._preempted
        ]
        for task in waiting[:PREEMPTIONS_PER_ROUND]:
            self._preempted[task.id] = now_ms + PREEMPT_PAUSE_MS
            for view, victim in plan_preemption(task, views):
                attempt = context.state.tasks[victim.id].attempt
                context.workers[view.id].want_stop(victim.id, attempt)

    def _partners(
        self, context: CellContext, views: list[WorkerView], now_ms: float
    ) -> list[PartnerView]:
        partners: dict[str, PartnerView] = {}
        parameters = context.cfg.cfg.parameters

        def partner_of(job: Job) -> PartnerView:
            name = job.spec.partner
            if name not in partners:
                known = parameters.partner.get(name, _DEFAULT_PARTNER)
                quota = known.quota_cores / parameters.cells
                partners[name] = PartnerView(name, known.weight, quota)
            return partners[name]

        state = context.state
        for task in state.tasks.values():
            if task.worker:
                partner = partner_of(state.job_of(task))
                partner.allocated = partner.allocated.plus(task.size)
        largest = max(
            (view.capacity for view in views),
            key=lambda size: size.cores,
            default=_NO_ROOM,
        )
        for task_id in state.queued:
            task = state.tasks[task_id]
            job = state.job_of(task)
            size = self._sizes.size_of(
                job.spec.class_name, job.spec.size, largest
            )
            waiting = task_view(job, task, size)
            partner_of(job).waiting.append(waiting)
        self._window.observe(partners.values(), views, now_ms)
        return list(partners.values())


def view_of(
    state: CellState, worker: TrackedWorker, sizes: SizeEstimator
) -> WorkerView:
    """Returns the view of one worker with all that is placed on it.

    A task counts with its class's measured size if that has grown since.
    """
    view = WorkerView(
        worker.vm.id,
        worker.vm.availability_zone,
        worker.vm.rack,
        worker.vm.size,
        worker.vm.size,
    )
    for task_id in state.placed.get(worker.vm.id, ()):
        task = state.tasks[task_id]
        job = state.job_of(task)
        size = sizes.size_of(job.spec.class_name, task.size, worker.vm.size)
        view.add(task_view(job, task, size))
    view.throttled = sum(r.fraction < FULL_SPEED for r in worker.runs.values())
    return view


def task_view(job: Job, task: Task, size: ResourceVector) -> TaskView:
    """Returns the view of one task."""
    return TaskView(
        task.id,
        job.spec.id,
        job.spec.partner,
        job.spec.class_name,
        job.spec.latency_critical,
        size,
    )


def _takes_work(
    context: CellContext, worker: TrackedWorker, now_ms: float
) -> bool:
    return (
        worker.vm.state is VmState.LIVE
        and context.zone_open(worker)
        and worker.heard_lately(now_ms, context.params)
        and worker.breaker.room(now_ms) != 0
    )


def _within_probes(
    plans: list[PlannedPlacement],
    workers: Iterable[TrackedWorker],
    now_ms: float,
) -> list[PlannedPlacement]:
    """Returns the plans without those beyond a breaker's probe."""
    rooms = {w.vm.id: w.breaker.room(now_ms) for w in workers}
    kept = []
    for plan in plans:
        room = rooms[plan.worker.id]
        if room == 0:
            continue
        if room is not None:
            rooms[plan.worker.id] = room - 1
        kept.append(plan)
    return kept
