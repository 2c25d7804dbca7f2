"""Builds the views that placement decides on from a cell's state."""

from collections.abc import Iterable

from limpetyard.cell import CellState, Job, Size, Task
from limpetyard.config import ConfigState, Partner
from limpetyard.placement import (
    PartnerView,
    PlacementPolicy,
    PlacePlan,
    TaskView,
    WorkerView,
    plan_placements,
)
from limpetyard.platform import VmState
from limpetyard.scheduler._terms import ControlTerms
from limpetyard.scheduler._workers import KnownWorker

_DEFAULT_PARTNER = Partner()


class Planner:
    """Plans placements for one cell."""

    __slots__ = ("_policy", "_terms")

    def __init__(self, policy: PlacementPolicy, terms: ControlTerms):
        self._policy = policy
        self._terms = terms

    def plan(
        self,
        state: CellState,
        cfg: ConfigState,
        workers: Iterable[KnownWorker],
        now_ms: float,
    ) -> list[PlacePlan]:
        """Returns the placements to write next."""
        if not state.queued:
            return []
        views = [
            self.view_of(state, worker)
            for worker in workers
            if self._open(worker, cfg, now_ms)
        ]
        if not views:
            return []
        partners = self._partners(state, cfg)
        plans = plan_placements(
            partners, views, self._policy, self._terms.starts_per_commit
        )
        return self._within_probes(plans, workers, now_ms)

    def view_of(self, state: CellState, worker: KnownWorker) -> WorkerView:
        """Returns the view of one worker with all that is placed on it."""
        view = WorkerView(
            worker.vm.id,
            worker.vm.availability_zone,
            worker.vm.rack,
            worker.vm.size,
            worker.vm.size,
        )
        for task_id in state.placed.get(worker.vm.id, ()):
            task = state.tasks[task_id]
            view.add(_task_view(state.job_of(task), task, task.size))
        return view

    def slowdowns(self, view: WorkerView) -> dict[str, float]:
        """Returns what each batch task adds to the latency-critical ones."""
        model = getattr(self._policy, "model", None)
        if model is None:
            return {}
        critical = [t for t in view.tasks if t.latency_critical]
        return {
            task.id: sum(
                model.pair(victim.class_name, task.class_name)
                for victim in critical
            )
            for task in view.tasks
            if not task.latency_critical
        }

    def _open(
        self, worker: KnownWorker, cfg: ConfigState, now_ms: float
    ) -> bool:
        return (
            worker.vm.state is VmState.LIVE
            and worker.vm.availability_zone not in cfg.zones_out
            and worker.heard_lately(now_ms, self._terms)
            and worker.breaker.room(now_ms) != 0
        )

    def _within_probes(
        self,
        plans: list[PlacePlan],
        workers: Iterable[KnownWorker],
        now_ms: float,
    ) -> list[PlacePlan]:
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

    def _partners(
        self, state: CellState, cfg: ConfigState
    ) -> list[PartnerView]:
        views: dict[str, PartnerView] = {}
        parameters = cfg.cfg.parameters

        def view(name: str) -> PartnerView:
            if name not in views:
                known = parameters.partner.get(name, _DEFAULT_PARTNER)
                quota = known.quota_cores / parameters.cells
                views[name] = PartnerView(name, known.weight, quota)
            return views[name]

        for task in state.tasks.values():
            job = state.job_of(task)
            partner = view(job.spec.partner)
            if task.worker:
                partner.held = partner.held.plus(task.size)
        for task_id in state.queued:
            task = state.tasks[task_id]
            job = state.job_of(task)
            partner = view(job.spec.partner)
            partner.waiting.append(_task_view(job, task, job.spec.size))
        return list(views.values())


def _task_view(job: Job, task: Task, size: Size) -> TaskView:
    return TaskView(
        task.id,
        job.spec.id,
        job.spec.partner,
        job.spec.class_name,
        job.spec.latency_critical,
        size,
    )
