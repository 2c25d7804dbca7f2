"""One round of placements under the hard constraint."""

import dataclasses
from collections.abc import Sequence

from limpetyard.cell import Size
from limpetyard.placement._policy import (
    PlacementPolicy,
    TaskView,
    WorkerView,
)
from limpetyard.placement._shares import PartnerView, order_by_share


@dataclasses.dataclass(slots=True, frozen=True)
class PlacePlan:
    """A task, the worker it shall go to, and why."""

    task: TaskView
    worker: WorkerView
    reason: str


def plan_placements(
    partners: Sequence[PartnerView],
    workers: Sequence[WorkerView],
    policy: PlacementPolicy,
    limit: int,
) -> list[PlacePlan]:
    """Returns placements that no resource of any worker is exceeded by.

    Args:
        partners: Partners with their waiting tasks.
        workers: Workers that may take work; their views are updated.
        policy: Chooses among workers with room.
        limit: Largest number of placements.
    """
    total = _total(workers)
    plans: list[PlacePlan] = []
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
        partner.held = partner.held.plus(task.size)
        plans.append(plan)
    return plans


def _plan_one(
    task: TaskView, workers: Sequence[WorkerView], policy: PlacementPolicy
) -> PlacePlan | None:
    with_room = [w for w in workers if w.free.holds(task.size)]
    choice = policy.choose(task, with_room) if with_room else None
    if choice is None:
        return None
    return PlacePlan(task, choice.worker, choice.reason)


def _total(workers: Sequence[WorkerView]) -> Size:
    total = Size(0.0, 0)
    for worker in workers:
        total = total.plus(worker.capacity)
    return total
