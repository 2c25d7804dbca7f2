"""Builds placement views from a cell's state and plans placements."""

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
from limpetyard.scheduler._zones import ZoneHoldDown

# Minimum time between two preemptions for the same task.
PREEMPTION_PAUSE_MS = 3000.0
PREEMPTIONS_PER_ROUND = 8

_DEFAULT_PARTNER = Partner()
_ZERO_SIZE = ResourceVector(0.0, 0)


class PlacementPlanner:
    """Plans placements and preemptions for one cell."""

    __slots__ = (
        "_policy",
        "_preempted_until_ms",
        "_sizes",
        "_usage",
        "_zone_hold_down",
    )

    def __init__(self, policy: PlacementPolicy, sizes: SizeEstimator):
        self._policy = policy
        self._sizes = sizes
        self._zone_hold_down = ZoneHoldDown()
        self._usage = DecayedUsage()
        self._preempted_until_ms: dict[str, float] = {}

    def plan(
        self, context: CellContext, now_ms: float
    ) -> list[PlannedPlacement]:
        """Returns the placements to write next.

        If a latency-critical task fits on no worker, batch tasks are marked to
        be stopped. The task is placed after they have stopped.
        """
        self._zone_hold_down.observe(context.cfg.zones_out, now_ms)
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
        return _limit_to_probes(plans, context.workers.values(), now_ms)

    def _views(self, context: CellContext, now_ms: float) -> list[WorkerView]:
        """Returns views of the workers that accept placements."""
        views = []
        for worker in context.workers.values():
            if _accepts_work(context, worker, now_ms):
                zone = worker.vm.availability_zone
                view = view_of(context.state, worker, self._sizes)
                view.accepts_batch = self._zone_hold_down.accepts_batch(
                    zone, now_ms
                )
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
        """Marks batch tasks to be stopped for latency-critical tasks.

        Considers queued tasks that were not just placed and for which no
        preemption was planned within `PREEMPTION_PAUSE_MS`.
        """
        self._preempted_until_ms = {
            task: until_ms
            for task, until_ms in self._preempted_until_ms.items()
            if now_ms < until_ms
        }
        queued = [
            task
            for partner in partners
            for task in partner.queued
            if task.latency_critical
            and task.id not in placed
            and task.id not in self._preempted_until_ms
        ]
        for task in queued[:PREEMPTIONS_PER_ROUND]:
            self._preempted_until_ms[task.id] = now_ms + PREEMPTION_PAUSE_MS
            for view, victim in plan_preemption(task, views):
                attempt = context.state.tasks[victim.id].attempt
                context.workers[view.id].request_stop(victim.id, attempt)

    def _partners(
        self, context: CellContext, views: list[WorkerView], now_ms: float
    ) -> list[PartnerView]:
        """Returns views of the partners with placed or queued tasks."""
        partners: dict[str, PartnerView] = {}
        parameters = context.cfg.cfg.parameters

        def partner_of(job: Job) -> PartnerView:
            name = job.spec.partner
            if name not in partners:
                configured = parameters.partner.get(name, _DEFAULT_PARTNER)
                # Each cell enforces an equal part of the partner's quota.
                quota = configured.quota_cores / parameters.cells
                partners[name] = PartnerView(name, configured.weight, quota)
            return partners[name]

        state = context.state
        for task in state.tasks.values():
            if task.worker:
                partner = partner_of(state.job_of(task))
                partner.allocated = partner.allocated.plus(task.size)
        largest = max(
            (view.capacity for view in views),
            key=lambda size: size.cores,
            default=_ZERO_SIZE,
        )
        for task_id in state.queued:
            task = state.tasks[task_id]
            job = state.job_of(task)
            size = self._sizes.size_of(
                job.spec.class_name, job.spec.size, largest
            )
            view = task_view(job, task, size)
            partner_of(job).queued.append(view)
        self._usage.observe(partners.values(), views, now_ms)
        return list(partners.values())


def view_of(
    state: CellState, worker: TrackedWorker, sizes: SizeEstimator
) -> WorkerView:
    """Returns the view of a worker with the tasks that are placed on it.

    A task counts with its class's measured size if that has grown since its
    placement.
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


def _accepts_work(
    context: CellContext, worker: TrackedWorker, now_ms: float
) -> bool:
    return (
        worker.vm.state is VmState.LIVE
        and context.zone_in_service(worker)
        and worker.replied_recently(now_ms, context.params)
        and worker.breaker.admissible_runs(now_ms) != 0
    )


def _limit_to_probes(
    plans: list[PlannedPlacement],
    workers: Iterable[TrackedWorker],
    now_ms: float,
) -> list[PlannedPlacement]:
    """Drops plans that exceed the runs admitted by a worker's breaker."""
    remaining = {w.vm.id: w.breaker.admissible_runs(now_ms) for w in workers}
    kept = []
    for plan in plans:
        admissible = remaining[plan.worker.id]
        if admissible == 0:
            continue
        if admissible is not None:
            remaining[plan.worker.id] = admissible - 1
        kept.append(plan)
    return kept
