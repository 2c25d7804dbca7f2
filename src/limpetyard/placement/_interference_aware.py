"""Placement policy that avoids learnt interference."""

import math
import random
from collections import Counter
from collections.abc import Sequence

from limpetyard.placement._interference import InterferenceModel
from limpetyard.placement._policy import (
    POLICIES,
    RateSample,
    TaskView,
    WorkerChoice,
    WorkerView,
)

# Up to this slowdown (a rate of 0.7), a latency-critical task is served well.
# Slowdown beyond it is weighted by CRITICAL_WEIGHT. All lost progress of a
# latency-critical task is weighted by CRITICAL_BASE_WEIGHT, that of a batch
# task by 1.
TOLERATED_SLOWDOWN = 0.35
CRITICAL_WEIGHT = 8.0
CRITICAL_BASE_WEIGHT = 0.5

# On a worker with throttled batch tasks, no batch task is placed that adds more
# than this to the slowdown of a latency-critical task.
MAX_ADDED_SLOWDOWN = 0.04

# A batch task stays queued rather than cost more than about its own progress.
MAX_BATCH_COST = 1.0

# Breaks ties in favour of less loaded workers.
LOAD_WEIGHT = 0.1

# Cost for each other instance of the same service on the worker, rack or zone.
WORKER_SPREAD_WEIGHT = 1.0
RACK_SPREAD_WEIGHT = 0.1
ZONE_SPREAD_WEIGHT = 0.2

# Bonus for placing different latency-critical services on the same worker,
# which leaves other workers to batch work. It applies while such tasks take
# less than MAX_CRITICAL_FRACTION of the worker's cores.
CONSOLIDATION_WEIGHT = 0.4
MAX_CRITICAL_FRACTION = 0.5


@POLICIES.register("learned")
class InterferenceAware:
    """Chooses the worker where a task costs the least expected progress."""

    __slots__ = ("_rng", "model")

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.model = InterferenceModel()

    def learn(self, sample: RateSample) -> None:
        """Updates the interference model from a sample."""
        self.model.learn(sample)

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns the sum of the model's coefficients over the victims."""
        return sum(
            self.model.pair_slowdown(victim, class_name) for victim in victims
        )

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> WorkerChoice | None:
        """Returns the worker with the lowest cost.

        Returns None if a batch task would cost too much everywhere.
        """
        spread = _SpreadCost(task, workers) if task.latency_critical else None
        costs = []
        for worker in workers:
            if worker.throttled and self._slows_critical(task, worker):
                continue
            cost = self.cost(task, worker)
            if spread is not None:
                cost += spread.cost(worker)
            costs.append((cost, worker))
        if not costs:
            return None
        cost, best = min(costs, key=lambda pair: pair[0])
        if not task.latency_critical and cost > MAX_BATCH_COST:
            return None
        return WorkerChoice(best, f"cost {cost:.3f}")

    def _slows_critical(self, task: TaskView, worker: WorkerView) -> bool:
        """Returns whether a batch task would slow critical tasks there."""
        if task.latency_critical:
            return False
        return any(
            self.model.pair_slowdown(class_name, task.class_name)
            > MAX_ADDED_SLOWDOWN
            for (class_name, critical), number in worker.classes.items()
            if critical and number
        )

    def cost(self, task: TaskView, worker: WorkerView) -> float:
        """Returns the expected progress that placing the task there costs.

        It is the sum of the losses of the tasks there and of the task itself,
        in units of one task at full speed, plus a small cost for load.
        """
        own = self._pair_sum(task.class_name, worker)
        cost = self._loss(task.class_name, task.latency_critical, 0.0, own)
        for (class_name, critical), number in worker.classes.items():
            if not number:
                continue
            before = self._pair_sum(class_name, worker)
            before -= self.model.pair_slowdown(class_name, class_name)
            after = before + self.model.pair_slowdown(
                class_name, task.class_name
            )
            cost += number * self._loss(class_name, critical, before, after)
        return cost + LOAD_WEIGHT * worker.load()

    def _loss(
        self, class_name: str, critical: bool, before: float, after: float
    ) -> float:
        """Returns a task's weighted loss when its coefficient sum changes."""
        before = self.model.slowdown(class_name, before)
        after = max(before, self.model.slowdown(class_name, after))
        loss = math.exp(-before) - math.exp(-after)
        if not critical:
            return loss
        excess = max(0.0, after - TOLERATED_SLOWDOWN)
        excess -= max(0.0, before - TOLERATED_SLOWDOWN)
        return CRITICAL_BASE_WEIGHT * loss + CRITICAL_WEIGHT * excess

    def _pair_sum(self, class_name: str, worker: WorkerView) -> float:
        pair = self.model.pair_slowdown
        return sum(
            pair(class_name, other) * number
            for (other, _), number in worker.classes.items()
        )


class _SpreadCost:
    """Cost that spreads a service's instances over failure domains."""

    __slots__ = ("_job", "_racks", "_zones")

    def __init__(self, task: TaskView, workers: Sequence[WorkerView]):
        self._job = task.job
        self._racks: Counter[tuple[str, str]] = Counter()
        self._zones: Counter[str] = Counter()
        for worker in workers:
            count = self._instances_on(worker)
            self._racks[_rack(worker)] += count
            self._zones[worker.availability_zone] += count

    def cost(self, worker: WorkerView) -> float:
        """Returns the cost of one more instance on a worker."""
        critical = [t for t in worker.tasks if t.latency_critical]
        cores = sum(task.size.cores for task in critical)
        room = cores < MAX_CRITICAL_FRACTION * worker.capacity.cores
        consolidation = CONSOLIDATION_WEIGHT if critical and room else 0.0
        return (
            WORKER_SPREAD_WEIGHT * self._instances_on(worker)
            + RACK_SPREAD_WEIGHT * self._racks[_rack(worker)]
            + ZONE_SPREAD_WEIGHT * self._zones[worker.availability_zone]
            - consolidation
        )

    def _instances_on(self, worker: WorkerView) -> int:
        return sum(task.job == self._job for task in worker.tasks)


def _rack(worker: WorkerView) -> tuple[str, str]:
    return worker.availability_zone, worker.rack
