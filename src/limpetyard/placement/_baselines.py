"""Placement without knowledge of interference, to compare with."""

import random
from collections.abc import Sequence

from limpetyard.placement._policy import (
    POLICIES,
    Choice,
    RateSample,
    TaskView,
    WorkerView,
)


class _Unlearning:
    """A policy that passes over measurements."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random):
        self._rng = rng

    def learn(self, sample: RateSample) -> None:
        """Passes over the measurement."""

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns 0; nothing is known."""
        del victims, class_name
        return 0.0


@POLICIES.register("first-fit")
class FirstFit(_Unlearning):
    """Takes the first worker that has room."""

    __slots__ = ()

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> Choice | None:
        """Returns the first worker."""
        del task
        return Choice(workers[0], "first with room")


@POLICIES.register("least-loaded")
class LeastLoaded(_Unlearning):
    """Takes the worker with the smallest used fraction."""

    __slots__ = ()

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> Choice | None:
        """Returns the least loaded worker."""
        del task
        best = min(workers, key=WorkerView.load)
        return Choice(best, f"load {best.load():.2f}")


@POLICIES.register("random-two")
class PowerOfTwoChoices(_Unlearning):
    """Takes the less loaded of two workers drawn at random."""

    __slots__ = ()

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> Choice | None:
        """Returns the less loaded of two."""
        del task
        drawn = self._rng.sample(workers, min(2, len(workers)))
        best = min(drawn, key=WorkerView.load)
        return Choice(best, f"load {best.load():.2f} of two")
