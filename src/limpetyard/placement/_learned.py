"""Placement that avoids learnt interference."""

import random
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

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns what the model expects."""
        return sum(self.model.pair(victim, class_name) for victim in victims)

    def cost(self, task: TaskView, worker: WorkerView) -> float:
        """Returns the weighted slowdown that the task would add there."""
        pair = self.model.pair
        added = 0.0
        for (class_name, critical), number in worker.classes.items():
            suffered = pair(class_name, task.class_name)
            own = pair(task.class_name, class_name)
            weighted = _weight(critical) * suffered
            weighted += _weight(task.latency_critical) * own
            added += weighted * number
        spread = _siblings(task, worker) if task.latency_critical else 0
        return added + LOAD_WEIGHT * worker.load() + SPREAD_WEIGHT * spread


def _weight(critical: bool) -> float:
    return CRITICAL_WEIGHT if critical else 1.0


def _siblings(task: TaskView, worker: WorkerView) -> int:
    return sum(other.job == task.job for other in worker.tasks)
