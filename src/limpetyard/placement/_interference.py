"""Online model of how classes of tasks slow each other on a worker.

A victim's slowdown, the negative logarithm of its rate, is first taken to be a
sum over its neighbours of one coefficient for each pair of classes; these
follow the measurements by normalized least mean squares. Interference is not
additive in truth, so a curve for each victim class then turns the sum into the
slowdown that was measured at such sums. Both fade with new measurements.
"""

import math

from limpetyard.placement._policy import RateSample

LEARNING_RATE = 0.1
MIN_RATE = 0.02

# Slowdown expected of a pair of classes that was never seen together.
DEFAULT_PAIR_SLOWDOWN = 0.02

CURVE_MIN_LEARNING_RATE = 0.05
CURVE_BIN_WIDTH = 0.1
CURVE_BINS = 40
CURVE_MIN_SAMPLES = 5


class InterferenceModel:
    """Slowdowns between classes, learnt from rates."""

    __slots__ = ("_curves", "_coefficients")

    def __init__(self):
        self._coefficients: dict[tuple[str, str], float] = {}
        self._curves: dict[str, _Curve] = {}

    def learn(self, sample: RateSample) -> None:
        """Moves coefficients and curve towards a measurement."""
        if not sample.neighbours:
            return
        measured = -math.log(max(sample.rate, MIN_RATE))
        expected = sum(
            self.pair_slowdown(sample.class_name, other) * number
            for other, number in sample.neighbours
        )
        error = measured - expected
        norm = sum(number * number for _, number in sample.neighbours)
        for other, number in sample.neighbours:
            pair = (sample.class_name, other)
            new_coefficient = self._coefficients.get(
                pair, DEFAULT_PAIR_SLOWDOWN
            )
            new_coefficient += LEARNING_RATE * error * number / norm
            self._coefficients[pair] = max(0.0, new_coefficient)
        curve = self._curves.setdefault(sample.class_name, _Curve())
        curve.learn(expected, measured)

    def pair_slowdown(self, class_name: str, other: str) -> float:
        """Returns what one task of class `other` adds to the sum."""
        return self._coefficients.get(
            (class_name, other), DEFAULT_PAIR_SLOWDOWN
        )

    def slowdown(self, class_name: str, total: float) -> float:
        """Returns the slowdown expected at a sum of coefficients.

        Args:
            class_name: Class of the victim.
            total: Sum of `pair_slowdown` over its neighbours.
        """
        curve = self._curves.get(class_name)
        return total if curve is None else curve.at(total)


class _Curve:
    """Measured slowdown by expected sum, in bins of equal width."""

    __slots__ = ("_counts", "_means")

    def __init__(self):
        self._counts = [0] * CURVE_BINS
        self._means = [0.0] * CURVE_BINS

    def learn(self, total: float, measured: float) -> None:
        number = _bin_index(total)
        self._counts[number] += 1
        step = max(CURVE_MIN_LEARNING_RATE, 1.0 / self._counts[number])
        self._means[number] += step * (measured - self._means[number])

    def at(self, total: float) -> float:
        """Returns the curve at a sum, straight between known bins."""
        position = total / CURVE_BIN_WIDTH - 0.5
        left = math.floor(position)
        low = self._value(left)
        high = self._value(left + 1)
        return low + (position - left) * (high - low)

    def _value(self, number: int) -> float:
        if number < 0:
            return 0.0
        known = (
            number < CURVE_BINS and self._counts[number] >= CURVE_MIN_SAMPLES
        )
        return (
            self._means[number] if known else (number + 0.5) * CURVE_BIN_WIDTH
        )


def _bin_index(total: float) -> int:
    return min(CURVE_BINS - 1, int(total / CURVE_BIN_WIDTH))
