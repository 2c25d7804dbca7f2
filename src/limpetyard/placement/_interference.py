"""Online model of the interference between task classes on a worker.

Slowdown is the negative natural logarithm of a task's rate. The first stage
estimates a victim's slowdown as a sum over its neighbours, with one
coefficient for each pair of classes; normalized least mean squares updates the
coefficients. Real interference is not additive. The second stage therefore
maps the sum to the slowdown that was measured at such sums, with one curve for
each victim class. In both stages, new measurements gradually replace old ones.
"""

import math

from limpetyard.placement._policy import RateSample

LEARNING_RATE = 0.1
MIN_RATE = 0.02

# Coefficient of a pair of classes without a measurement.
DEFAULT_PAIR_SLOWDOWN = 0.02

CURVE_MIN_LEARNING_RATE = 0.05
CURVE_BIN_WIDTH = 0.1
CURVE_BINS = 40
CURVE_MIN_SAMPLES = 5


class InterferenceModel:
    """Interference between task classes, learnt from rate samples."""

    __slots__ = ("_coefficients", "_curves")

    def __init__(self):
        self._coefficients: dict[tuple[str, str], float] = {}
        self._curves: dict[str, _Curve] = {}

    def learn(self, sample: RateSample) -> None:
        """Updates the coefficients and the victim's curve from a sample."""
        if not sample.neighbours:
            return
        measured = -math.log(max(sample.rate, MIN_RATE))
        estimate = sum(
            self.pair_slowdown(sample.class_name, other) * number
            for other, number in sample.neighbours
        )
        error = measured - estimate
        norm = sum(number * number for _, number in sample.neighbours)
        for other, number in sample.neighbours:
            pair = (sample.class_name, other)
            new_coefficient = self._coefficients.get(
                pair, DEFAULT_PAIR_SLOWDOWN
            )
            new_coefficient += LEARNING_RATE * error * number / norm
            self._coefficients[pair] = max(0.0, new_coefficient)
        curve = self._curves.setdefault(sample.class_name, _Curve())
        curve.learn(estimate, measured)

    def pair_slowdown(self, class_name: str, other: str) -> float:
        """Returns the coefficient of one neighbour of class `other`."""
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
        return total if curve is None else curve.slowdown_at(total)


class _Curve:
    """Measured slowdown by sum of coefficients, in bins of equal width."""

    __slots__ = ("_counts", "_means")

    def __init__(self):
        self._counts = [0] * CURVE_BINS
        self._means = [0.0] * CURVE_BINS

    def learn(self, total: float, measured: float) -> None:
        number = _bin_index(total)
        self._counts[number] += 1
        step = max(CURVE_MIN_LEARNING_RATE, 1.0 / self._counts[number])
        self._means[number] += step * (measured - self._means[number])

    def slowdown_at(self, total: float) -> float:
        """Returns the slowdown at a sum, interpolated between bin centres."""
        position = total / CURVE_BIN_WIDTH - 0.5
        left = math.floor(position)
        low = self._bin_value(left)
        high = self._bin_value(left + 1)
        return low + (position - left) * (high - low)

    def _bin_value(self, number: int) -> float:
        """Returns the measured mean of a bin, or 0 below the first bin.

        Without enough samples, returns the sum at the centre of the bin.
        """
        if number < 0:
            return 0.0
        has_samples = (
            number < CURVE_BINS and self._counts[number] >= CURVE_MIN_SAMPLES
        )
        return (
            self._means[number]
            if has_samples
            else (number + 0.5) * CURVE_BIN_WIDTH
        )


def _bin_index(total: float) -> int:
    return min(CURVE_BINS - 1, int(total / CURVE_BIN_WIDTH))
