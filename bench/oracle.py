"""A policy that knows the true interference; shows how far is possible."""

import math
import random
from collections.abc import Sequence

from bench.interference import TrueRates
from limpetyard.placement import Choice, RateSample, TaskView, WorkerView
from standins.worker_model import ColocatedRun

CRITICAL_WEIGHT = 8.0
LOAD_WEIGHT = 0.05
SPREAD_WEIGHT = 0.2


class Oracle:
    """Takes the worker where the true weighted slowdown grows least."""

    def __init__(self, rng: random.Random, rates: TrueRates):
        del rng
        self._rates = rates

    def learn(self, sample: RateSample) -> None:
        """Passes over the measurement; there is nothing to learn."""

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns the true slowdown of the victims by one such task."""
        colocated = [ColocatedRun(class_name, 1.0)] * 3
        return sum(-math.log(self._rates(v, colocated)) for v in victims)

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> Choice | None:
        """Returns the best worker."""
        best = min(workers, key=lambda worker: self._cost(task, worker))
        return Choice(best, "oracle")

    def _cost(self, task: TaskView, worker: WorkerView) -> float:
        before = self._slowness(worker.tasks)
        after = self._slowness([*worker.tasks, task])
        siblings = sum(other.job == task.job for other in worker.tasks)
        spread = SPREAD_WEIGHT * siblings if task.latency_critical else 0.0
        return after - before + LOAD_WEIGHT * worker.load() + spread

    def _slowness(self, tasks: Sequence[TaskView]) -> float:
        total = 0.0
        for task in tasks:
            colocated = [
                ColocatedRun(other.class_name, 1.0)
                for other in tasks
                if other is not task
            ]
            weight = CRITICAL_WEIGHT if task.latency_critical else 1.0
            total -= weight * math.log(self._rates(task.class_name, colocated))
        return total
