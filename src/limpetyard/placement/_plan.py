"""Planning of one round of placements within worker capacity."""

import dataclasses
from collections.abc import Sequence

from limpetyard.cell import ResourceVector
from limpetyard.placement._policy import (
    PlacementPolicy,
    TaskView,
    WorkerView,
)
from limpetyard.placement._shares import PartnerView, order_by_share


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedPlacement:
    """A task, the worker to place it on, and the reason."""

    task: TaskView
    worker: WorkerView
    reason: str


def plan_placements(
    partners: Sequence[PartnerView],
    workers: Sequence[WorkerView],
    policy: PlacementPolicy,
    limit: int,
) -> list[PlannedPlacement]:
    """Returns placements that exceed no resource of any worker.

    Once a task cannot be placed, other tasks of the same size and class are
    skipped for the rest of the round.

    Args:
        partners: Partners with their waiting tasks; their allocations are
            updated.
        workers: Workers that may get tasks; their views are updated.
        policy: Chooses among workers with room.
        limit: Maximum number of placements.
    """
    total = _total_capacity(workers)
    plans: list[PlannedPlacement] = []
    unplaceable: set[tuple] = set()
    for partner, task in order_by_share(partners, total):
        if len(plans) >= limit:
            break
        size_key = (task.size, task.class_name)
        if size_key in unplaceable:
            continue
        plan = _plan_one(task, workers, policy)
        if plan is None:
            unplaceable.add(size_key)
            continue
        plan.worker.add(task)
        partner.allocated = partner.allocated.plus(task.size)
        plans.append(plan)
    return plans


def _plan_one(
    task: TaskView, workers: Sequence[WorkerView], policy: PlacementPolicy
) -> PlannedPlacement | None:
    with_room = [worker for worker in workers if worker.admits(task)]
    choice = policy.choose(task, with_room) if with_room else None
    if choice is None:
        return None
    return PlannedPlacement(task, choice.worker, choice.reason)


def plan_preemption(
    task: TaskView, workers: Sequence[WorkerView]
) -> list[tuple[WorkerView, TaskView]]:
    """Returns the batch tasks to stop so that a task fits, with their worker.

    Chooses the worker where the victims have the fewest cores in total, and
    updates its view as if they had stopped and the task had been placed. The
    list is empty if stopping batch tasks makes no room on any worker.
    """
    best: list[TaskView] | None = None
    chosen: WorkerView | None = None
    for worker in workers:
        victims = _victims(task, worker)
        if victims is not None and (
            best is None or _total_cores(victims) < _total_cores(best)
        ):
            best, chosen = victims, worker
    if best is None or chosen is None:
        return []
    for victim in best:
        chosen.remove(victim)
    chosen.add(task)
    return [(chosen, victim) for victim in best]


def _victims(task: TaskView, worker: WorkerView) -> list[TaskView] | None:
    free = worker.free
    victims = []
    batch = [other for other in worker.tasks if not other.latency_critical]
    for other in sorted(batch, key=lambda t: t.size.cores):
        if free.can_fit(task.size):
            break
        free = free.plus(other.size)
        victims.append(other)
    return victims if free.can_fit(task.size) else None


def _total_cores(tasks: Sequence[TaskView]) -> float:
    return sum(task.size.cores for task in tasks)


def _total_capacity(workers: Sequence[WorkerView]) -> ResourceVector:
    total = ResourceVector(0.0, 0)
    for worker in workers:
        total = total.plus(worker.capacity)
    return total
