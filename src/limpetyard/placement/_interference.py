"""Online model of how classes of tasks slow each other on a worker.

The logarithm of a task's rate is taken to be a sum over its neighbours of one
coefficient for each pair of classes. The coefficients follow the measurements
by normalized least mean squares, so old measurements fade as load shifts.
"""

import math

from limpetyard.placement._policy import RateSample

STEP = 0.15
RATE_FLOOR = 0.02

# Slowdown expected of a pair of classes that was never seen together.
UNKNOWN_SLOWDOWN = 0.02
KNOWN_SAMPLES = 5


class InterferenceModel:
    """Pairwise slowdowns between classes, learnt from rates."""

    __slots__ = ("_counts", "_slowdown")

    def __init__(self):
        self._slowdown: dict[tuple[str, str], float] = {}
        self._counts: dict[tuple[str, str], int] = {}

    def learn(self, sample: RateSample) -> None:
        """Moves the coefficients of the neighbours towards the measurement."""
        if not sample.neighbours:
            return
        measured = -math.log(max(sample.rate, RATE_FLOOR))
        error = measured - self.slowdown(sample.class_name, sample.neighbours)
        norm = sum(number * number for _, number in sample.neighbours)
        for other, number in sample.neighbours:
            pair = (sample.class_name, other)
            moved = self._slowdown.get(pair, UNKNOWN_SLOWDOWN)
            moved += STEP * error * number / norm
            self._slowdown[pair] = max(0.0, moved)
            self._counts[pair] = self._counts.get(pair, 0) + 1

    def slowdown(
        self, class_name: str, neighbours: tuple[tuple[str, int], ...]
    ) -> float:
        """Returns the expected negative logarithm of a task's rate.

        Args:
            class_name: Class of the task.
            neighbours: Classes and numbers of the tasks beside it.
        """
        return sum(
            self.pair(class_name, other) * number
            for other, number in neighbours
        )

    def pair(self, class_name: str, other: str) -> float:
        """Returns what one task of class `other` adds to the slowdown."""
        return self._slowdown.get((class_name, other), UNKNOWN_SLOWDOWN)

    def known(self, class_name: str, other: str) -> bool:
        """Returns whether the pair was measured often enough to rely on."""
        return self._counts.get((class_name, other), 0) >= KNOWN_SAMPLES
