"""Placement policy that knows the true interference; an upper reference."""

import math
import random
from collections.abc import Sequence

from bench.interference import TrueRates
from limpetyard.placement import RateSample, TaskView, WorkerChoice, WorkerView
from standins.worker_model import ColocatedRun

CRITICAL_WEIGHT = 8.0
LOAD_WEIGHT = 0.05
SPREAD_WEIGHT = 0.2


class Oracle:
    """Chooses the worker with the lowest cost.

    The cost is the increase in true weighted slowdown, plus small terms for the
    worker's load and, for latency-critical tasks, for tasks of the same job.
    """

    def __init__(self, rng: random.Random, rates: TrueRates):
        del rng
        self._rates = rates

    def learn(self, sample: RateSample) -> None:
        """Ignores the sample, since the true rates are known."""

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns the victims' slowdown from three such tasks, in total."""
        colocated = [ColocatedRun(class_name, 1.0)] * 3
        return sum(-math.log(self._rates(v, colocated)) for v in victims)

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> WorkerChoice | None:
        """Returns the worker with the lowest cost."""
        best = min(workers, key=lambda worker: self._cost(task, worker))
        return WorkerChoice(best, "oracle")

    def _cost(self, task: TaskView, worker: WorkerView) -> float:
        before = self._weighted_slowdown(worker.tasks)
        after = self._weighted_slowdown([*worker.tasks, task])
        siblings = sum(other.job == task.job for other in worker.tasks)
        spread = SPREAD_WEIGHT * siblings if task.latency_critical else 0.0
        return after - before + LOAD_WEIGHT * worker.load() + spread

    def _weighted_slowdown(self, tasks: Sequence[TaskView]) -> float:
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
