"""Placement that avoids learnt interference."""

import math
import random
from collections import Counter
from collections.abc import Sequence

from limpetyard.placement._interference import InterferenceModel
from limpetyard.placement._policy import (
    POLICIES,
    Choice,
    RateSample,
    TaskView,
    WorkerView,
)

# A latency-critical task is well served up to this slowdown (a rate of 0.7);
# beyond it every further slowdown counts this much more than one of batch.
FAIR_SLOWDOWN = 0.35
CRITICAL_WEIGHT = 8.0
CRITICAL_FLOOR = 0.5

# No batch task that adds more than this to the slowdown of latency-critical
# ones goes where batch tasks are throttled already.
LOUD_SLOWDOWN = 0.04

# A batch task waits rather than cost more than about its own progress.
WAIT_COST = 1.0

# Breaks ties towards empty workers.
LOAD_WEIGHT = 0.1

# A service is spread over workers, racks and zones, in this proportion.
WORKER_SPREAD = 1.0
RACK_SPREAD = 0.1
ZONE_SPREAD = 0.2

# Different latency-critical services share workers, which leaves others to
# batch work, as long as they take no more than this part of a worker.
GATHER_WEIGHT = 0.4
CRITICAL_PART = 0.5


@POLICIES.register("learned")
class InterferenceAware:
    """Takes the worker where a task costs the least expected progress."""

    __slots__ = ("_rng", "model")

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.model = InterferenceModel()

    def learn(self, sample: RateSample) -> None:
        """Takes the measurement into the model."""
        self.model.learn(sample)

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns what the model expects."""
        return sum(self.model.pair(victim, class_name) for victim in victims)

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> Choice | None:
        """Returns the worker with the smallest cost."""
        spread = _Spread(task, workers) if task.latency_critical else None
        costs = []
        for worker in workers:
            if worker.throttled and self._is_loud(task, worker):
                continue
            cost = self.cost(task, worker)
            if spread is not None:
                cost += spread.cost(worker)
            costs.append((cost, worker))
        if not costs:
            return None
        cost, best = min(costs, key=lambda pair: pair[0])
        if not task.latency_critical and cost > WAIT_COST:
            return None
        return Choice(best, f"cost {cost:.3f}")

    def _is_loud(self, task: TaskView, worker: WorkerView) -> bool:
        """Returns whether a batch task would slow critical ones there."""
        if task.latency_critical:
            return False
        return any(
            self.model.pair(class_name, task.class_name) > LOUD_SLOWDOWN
            for (class_name, critical), number in worker.classes.items()
            if critical and number
        )

    def cost(self, task: TaskView, worker: WorkerView) -> float:
        """Returns the progress that placing the task there would cost.

        It is the sum of what the tasks there lose and what the task itself
        loses, in tasks at full speed.
        """
        own = self._suffered(task.class_name, worker)
        cost = self._loss(task.class_name, task.latency_critical, 0.0, own)
        for (class_name, critical), number in worker.classes.items():
            if not number:
                continue
            before = self._suffered(class_name, worker)
            before -= self.model.pair(class_name, class_name)
            after = before + self.model.pair(class_name, task.class_name)
            cost += number * self._loss(class_name, critical, before, after)
        return cost + LOAD_WEIGHT * worker.load()

    def _loss(
        self, class_name: str, critical: bool, before: float, after: float
    ) -> float:
        """Returns what a task loses when its sum of coefficients grows."""
        before = self.model.slowdown(class_name, before)
        after = max(before, self.model.slowdown(class_name, after))
        lost = math.exp(-before) - math.exp(-after)
        if not critical:
            return lost
        beyond = max(0.0, after - FAIR_SLOWDOWN)
        beyond -= max(0.0, before - FAIR_SLOWDOWN)
        return CRITICAL_FLOOR * lost + CRITICAL_WEIGHT * beyond

    def _suffered(self, class_name: str, worker: WorkerView) -> float:
        pair = self.model.pair
        return sum(
            pair(class_name, other) * number
            for (other, _), number in worker.classes.items()
        )


class _Spread:
    """Where a latency-critical service already has instances."""

    __slots__ = ("_job", "_racks", "_zones")

    def __init__(self, task: TaskView, workers: Sequence[WorkerView]):
        self._job = task.job
        self._racks: Counter[tuple[str, str]] = Counter()
        self._zones: Counter[str] = Counter()
        for worker in workers:
            here = self._siblings(worker)
            self._racks[_rack(worker)] += here
            self._zones[worker.availability_zone] += here

    def cost(self, worker: WorkerView) -> float:
        """Returns what speaks against one more instance on a worker."""
        critical = [t for t in worker.tasks if t.latency_critical]
        cores = sum(task.size.cores for task in critical)
        room = cores < CRITICAL_PART * worker.capacity.cores
        gathered = GATHER_WEIGHT if critical and room else 0.0
        return (
            WORKER_SPREAD * self._siblings(worker)
            + RACK_SPREAD * self._racks[_rack(worker)]
            + ZONE_SPREAD * self._zones[worker.availability_zone]
            - gathered
        )

    def _siblings(self, worker: WorkerView) -> int:
        return sum(task.job == self._job for task in worker.tasks)


def _rack(worker: WorkerView) -> tuple[str, str]:
    return worker.availability_zone, worker.rack
