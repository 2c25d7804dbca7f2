"""One round of placements under the hard constraint."""

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
    """A task, the worker it shall go to, and why."""

    task: TaskView
    worker: WorkerView
    reason: str


def plan_placements(
    partners: Sequence[PartnerView],
    workers: Sequence[WorkerView],
    policy: PlacementPolicy,
    limit: int,
) -> list[PlannedPlacement]:
    """Returns placements that no resource of any worker is exceeded by.

    Args:
        partners: Partners with their waiting tasks.
        workers: Workers that may take work; their views are updated.
        policy: Chooses among workers with room.
        limit: Largest number of placements.
    """
    total = _total(workers)
    plans: list[PlannedPlacement] = []
    full: set[tuple] = set()
    for partner, task in order_by_share(partners, total):
        if len(plans) >= limit:
            break
        size_key = (task.size, task.class_name)
        if size_key in full:
            continue
        plan = _plan_one(task, workers, policy)
        if plan is None:
            full.add(size_key)
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
    """Returns the batch tasks that have to leave for a task, if that helps.

    The worker that loses the fewest cores to it is taken; its view is updated
    as if the victims had left and the task had come.
    """
    best: list[TaskView] | None = None
    place: WorkerView | None = None
    for worker in workers:
        victims = _victims(task, worker)
        if victims is not None and (
            best is None or _cores(victims) < _cores(best)
        ):
            best, place = victims, worker
    if best is None or place is None:
        return []
    for victim in best:
        place.remove(victim)
    place.add(task)
    return [(place, victim) for victim in best]


def _victims(task: TaskView, worker: WorkerView) -> list[TaskView] | None:
    free = worker.free
    victims = []
    batch = [other for other in worker.tasks if not other.latency_critical]
    for other in sorted(batch, key=lambda t: t.size.cores):
        if free.holds(task.size):
            break
        free = free.plus(other.size)
        victims.append(other)
    return victims if free.holds(task.size) else None


def _cores(tasks: Sequence[TaskView]) -> float:
    return sum(task.size.cores for task in tasks)


def _total(workers: Sequence[WorkerView]) -> ResourceVector:
    total = ResourceVector(0.0, 0)
    for worker in workers:
        total = total.plus(worker.capacity)
    return total
