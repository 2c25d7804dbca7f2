"""Learns how tasks that fill idle processors press on the tails of others.

The tail of a serving task grows like that of a queue, with the inverse of what
its load and its neighbours leave free. So the inverse of a tail over its
target, the headroom, falls linearly with the cores in use beside the task: by
a weight for each pair of a serving and a filling image. What is left without
neighbours, the level, follows the load of the job that the task belongs to and
is the same for all its tasks, wherever they run. A filter with one variance for
each level and weight follows both.
"""

# Headroom at which a tail is as long as its target.
HEADROOM_AT_TARGET = 1.0

# Loss of headroom a core of a pair that was never measured, and its variance.
PRIOR_WEIGHT = 0.05
PRIOR_WEIGHT_VARIANCE = 0.1**2

# Variance of the level of a job that was never measured; a first measurement
# replaces it.
PRIOR_BASELINE = 2.0
PRIOR_BASELINE_VARIANCE = 4.0

# Growth of a level's variance a second, from a load that swings by half within
# some seconds.
BASELINE_DRIFT = 0.1

# Growth of a weight's variance a measurement, so that it can change.
WEIGHT_DRIFT = 1e-6

# Variance of a measurement beside that of rounding to whole milliseconds.
NOISE_VARIANCE = 0.1**2
ROUNDING_VARIANCE = 1 / 12

# Tails shorter than this are rounded to nothing.
SHORTEST_TAIL_MS = 0.5

# A level counts as known once its variance is below this.
KNOWN_BASELINE_VARIANCE = 0.05

# The lowest level of a job is forgotten at this rate a second, so that it
# lasts over more than a swing of the load.
LOWEST_BASELINE_RISE = 0.02

# A level may be lower than it is thought to be by this.
BASELINE_MARGIN = 0.1

# A level is predicted this far ahead, the time in which a pace takes effect
# and shows.
PREDICTION_HORIZON_S = 1.0

# Share of a correction of the level that goes into its trend, a second.
TREND_GAIN = 0.1


class _Baseline:
    """What a job's tasks have without neighbours."""

    __slots__ = ("at_ms", "lowest", "trend", "value", "variance")

    def __init__(self, now_ms: float):
        self.value = PRIOR_BASELINE
        self.variance = PRIOR_BASELINE_VARIANCE
        self.trend = 0.0
        self.lowest = float("inf")
        self.at_ms = now_ms

    def advance(self, now_ms: float) -> None:
        """Moves on to `now_ms` by the trend."""
        passed_s = max(0.0, (now_ms - self.at_ms) / 1000)
        self.at_ms = max(self.at_ms, now_ms)
        if passed_s > PREDICTION_HORIZON_S:
            self.trend = 0.0
        self.value += self.trend * passed_s
        self.variance += BASELINE_DRIFT * passed_s
        self.lowest += LOWEST_BASELINE_RISE * passed_s
        if self.variance < KNOWN_BASELINE_VARIANCE:
            self.lowest = min(self.lowest, self.value)

    def correct(self, change: float) -> None:
        """Takes in a correction of the filter."""
        self.value += change
        self.trend += TREND_GAIN * change


class InterferenceModel:
    """Levels of jobs and weights of pairs of images."""

    __slots__ = ("_baselines", "_variances", "_weights")

    def __init__(self):
        self._baselines: dict[str, _Baseline] = {}
        self._weights: dict[tuple[str, str], float] = {}
        self._variances: dict[tuple[str, str], float] = {}

    def weight(self, serving: str, filling: str) -> float:
        """Returns the headroom that one core of `filling` takes away."""
        return max(0.0, self._weights.get((serving, filling), PRIOR_WEIGHT))

    def mean_weight(self, serving: str) -> float:
        """Returns the mean weight of the known images beside `serving`."""
        known = [w for (s, _), w in self._weights.items() if s == serving]
        return sum(known) / len(known) if known else PRIOR_WEIGHT

    def baseline(self, job: str, now_ms: float) -> float:
        """Returns the level of a job now."""
        baseline = self._baselines.get(job)
        if baseline is None:
            return PRIOR_BASELINE
        baseline.advance(now_ms)
        return baseline.value

    def predicted_baseline(self, job: str, now_ms: float) -> float:
        """Returns the level that a job falls to soon, if it falls."""
        baseline = self._baselines.get(job)
        if baseline is None:
            return PRIOR_BASELINE
        baseline.advance(now_ms)
        falling = (
            min(0.0, baseline.trend * PREDICTION_HORIZON_S) - BASELINE_MARGIN
        )
        return max(
            min(baseline.lowest, baseline.value), baseline.value + falling
        )

    def update(
        self,
        job: str,
        serving: str,
        headroom: float,
        target_ms: float,
        cores: dict[str, float],
        now_ms: float,
    ) -> None:
        """Takes in one measurement.

        Args:
            job: Job of the task that serves.
            serving: Its image.
            headroom: Target over tail.
            target_ms: The target, which tells the rounding.
            cores: Cores in use beside it, by filling image.
            now_ms: When it was measured.
        """
        baseline = self._baselines.get(job)
        if baseline is None:
            baseline = self._baselines[job] = _Baseline(now_ms)
        baseline.advance(now_ms)
        pairs = [(serving, image) for image in cores]
        for pair in pairs:
            self._weights.setdefault(pair, PRIOR_WEIGHT)
            variance = self._variances.get(pair, PRIOR_WEIGHT_VARIANCE)
            self._variances[pair] = variance + WEIGHT_DRIFT
        expected = baseline.value - sum(
            self._weights[serving, image] * used
            for image, used in cores.items()
        )
        step = headroom * headroom / target_ms
        noise = NOISE_VARIANCE + ROUNDING_VARIANCE * step * step
        total = baseline.variance + noise
        for pair, used in zip(pairs, cores.values(), strict=True):
            total += self._variances[pair] * used * used
        error = headroom - expected
        gain = baseline.variance / total
        baseline.correct(gain * error)
        baseline.variance *= 1 - gain
        for pair, used in zip(pairs, cores.values(), strict=True):
            gain = self._variances[pair] * used / total
            self._weights[pair] -= gain * error
            self._variances[pair] *= 1 - gain * used

    def forget(self, job: str) -> None:
        """Drops the level of a job that is over."""
        self._baselines.pop(job, None)


def tail_headroom(tail_ms: float, target_ms: float) -> float:
    """Returns the target over a tail."""
    return target_ms / max(tail_ms, SHORTEST_TAIL_MS)
