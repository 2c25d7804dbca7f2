"""Placement that avoids learnt interference."""

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

# How much a slowdown of latency-critical work counts against one of batch.
CRITICAL_WEIGHT = 8.0

# A little preference for empty workers breaks ties and spreads unknown work.
LOAD_WEIGHT = 0.1
SPREAD_WEIGHT = 0.2


@POLICIES.register("learned")
class Learned:
    """Takes the worker where a task adds the least weighted slowdown."""

    __slots__ = ("_rng", "model")

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.model = InterferenceModel()

    def learn(self, sample: RateSample) -> None:
        """Takes the measurement into the model."""
        self.model.learn(sample)

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> Choice | None:
        """Returns the worker with the smallest cost."""
        costs = [(self.cost(task, worker), worker) for worker in workers]
        cost, best = min(costs, key=lambda pair: pair[0])
        return Choice(best, f"cost {cost:.3f}")

    def cost(self, task: TaskView, worker: WorkerView) -> float:
        """Returns the weighted slowdown that the task would add there."""
        own = others = 0.0
        for neighbour in worker.tasks:
            own += self.model.pair(task.class_name, neighbour.class_name)
            suffered = self.model.pair(neighbour.class_name, task.class_name)
            others += _weight(neighbour) * suffered
        spread = _siblings(task, worker) if task.latency_critical else 0
        return (
            _weight(task) * own
            + others
            + LOAD_WEIGHT * worker.load()
            + SPREAD_WEIGHT * spread
        )


def _weight(task: TaskView) -> float:
    return CRITICAL_WEIGHT if task.latency_critical else 1.0


def _siblings(task: TaskView, worker: WorkerView) -> int:
    return Counter(other.job for other in worker.tasks)[task.job]
