"""Learns how tasks that fill idle processors lengthen the tail of others.

The logarithm of a tail over its target is taken as linear in the processors
that each image of filling tasks uses beside it. The slope of a pair of images
is the product of how sensitive the one and how loud the other is, corrected
pair by pair; all follow the measurements by normalized least mean squares.
"""

import math

# Weight of a core in a pair of images that was never measured.
UNKNOWN_WEIGHT = 0.04

# Log of a tail over its target where the image was never measured.
UNKNOWN_BASE = -1.0

# Share of the error that one measurement corrects.
STEP = 0.3

# Measured tails are whole milliseconds; shorter ones tell nothing.
SHORTEST_TAIL_MS = 0.5


def log_ratio(tail_ms: float, target_ms: float) -> float:
    """Returns the logarithm of a tail over its target."""
    return math.log(max(tail_ms, SHORTEST_TAIL_MS) / target_ms)


class TailModel:
    """Weights of a core in use, by serving and filling image."""

    __slots__ = ("_base", "_weights")

    def __init__(self):
        self._weights: dict[tuple[str, str], float] = {}
        self._base: dict[str, float] = {}

    def weight(self, serving: str, filling: str) -> float:
        """Returns what one core of `filling` adds to the log of the ratio."""
        return self._weights.get((serving, filling), UNKNOWN_WEIGHT)

    def base(self, serving: str) -> float:
        """Returns the log of the ratio with nothing filling beside it."""
        return self._base.get(serving, UNKNOWN_BASE)

    def learn(
        self, serving: str, measured: float, cores: dict[str, float]
    ) -> None:
        """Takes in one measurement.

        Args:
            serving: Image of the task that serves.
            measured: Logarithm of its tail over its target.
            cores: Cores in use beside it, by filling image.
        """
        base = self._base.setdefault(serving, measured)
        expected = base + sum(
            self.weight(serving, image) * used for image, used in cores.items()
        )
        error = measured - expected
        norm = 1.0 + sum(used * used for used in cores.values())
        self._base[serving] = base + STEP * error / norm
        for image, used in cores.items():
            moved = self.weight(serving, image) + STEP * error * used / norm
            self._weights[serving, image] = max(0.0, moved)
