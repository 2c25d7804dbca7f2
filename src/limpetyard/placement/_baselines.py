"""Baseline policies that ignore interference."""

import random
from collections.abc import Sequence

from limpetyard.placement._policy import (
    POLICIES,
    RateSample,
    TaskView,
    WorkerChoice,
    WorkerView,
)


class _StaticPolicy:
    """Base of policies that ignore measurements."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random):
        self._rng = rng

    def learn(self, sample: RateSample) -> None:
        """Ignores the measurement."""

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns 0, since the policy has no interference model."""
        del victims, class_name
        return 0.0


@POLICIES.register("first-fit")
class FirstFit(_StaticPolicy):
    """Chooses the first worker that has room."""

    __slots__ = ()

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> WorkerChoice | None:
        """Returns the first worker."""
        del task
        return WorkerChoice(workers[0], "first with room")


@POLICIES.register("least-loaded")
class LeastLoaded(_StaticPolicy):
    """Chooses the worker with the lowest load."""

    __slots__ = ()

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> WorkerChoice | None:
        """Returns the least loaded worker."""
        del task
        best = min(workers, key=WorkerView.load)
        return WorkerChoice(best, f"load {best.load():.2f}")


@POLICIES.register("random-two")
class PowerOfTwoChoices(_StaticPolicy):
    """Chooses the less loaded of two workers that are drawn at random."""

    __slots__ = ()

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> WorkerChoice | None:
        """Returns the less loaded of two random workers."""
        del task
        drawn = self._rng.sample(workers, min(2, len(workers)))
        best = min(drawn, key=WorkerView.load)
        return WorkerChoice(best, f"load {best.load():.2f} of two")
