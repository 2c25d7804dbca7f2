"""Learns how best-effort tasks raise the tail latencies of serving tasks.

The tail latency of a serving task grows as in a queue, with the inverse of the
capacity that its own load and its neighbours leave free. The headroom, which is
the target divided by the tail latency, thus falls linearly with the cores that
best-effort tasks use on the same worker. The slope is a weight for each pair of
a serving and a best-effort image. The headroom without neighbours, the
baseline, depends on the load of the job, and is the same for all tasks of the
job on any worker. A Kalman filter that ignores covariances estimates baselines
and weights, with one variance for each.
"""

# Headroom at which a tail latency equals its target.
HEADROOM_AT_TARGET = 1.0

# Loss of headroom per core for a pair that was never measured, and its
# variance.
PRIOR_WEIGHT = 0.05
PRIOR_WEIGHT_VARIANCE = 0.1**2

# Baseline of a job that was never measured, and its variance. The variance is
# so large that the first measurement replaces the baseline.
PRIOR_BASELINE = 2.0
PRIOR_BASELINE_VARIANCE = 4.0

# Growth of the variance of a baseline per second. It corresponds to a load that
# varies by half within a few seconds.
BASELINE_DRIFT = 0.1

# Growth of the variance of a weight per measurement, so that the weight keeps
# adapting.
WEIGHT_DRIFT = 1e-6

# Variance of a measured headroom apart from rounding, and variance of a tail
# latency in milliseconds due to rounding to whole milliseconds.
NOISE_VARIANCE = 0.1**2
ROUNDING_VARIANCE = 1 / 12

# Lower bound of a tail latency; shorter ones are reported as 0 by rounding.
SHORTEST_TAIL_MS = 0.5

# A baseline counts as known once its variance is below this.
KNOWN_BASELINE_VARIANCE = 0.05

# Rise per second of the remembered lowest baseline of a job. It is slow enough
# that the memory outlasts one cycle of the load.
LOWEST_BASELINE_RISE = 0.02

# Safety margin by which a baseline may be lower than estimated.
BASELINE_MARGIN = 0.1

# Horizon of the prediction of a baseline: the time until a pace order takes
# effect and shows in measurements.
PREDICTION_HORIZON_S = 1.0

# Share of a correction of the baseline that is added to its trend per second.
TREND_GAIN = 0.1


class _Baseline:
    """Estimated headroom of a job's tasks without best-effort neighbours.

    Attributes:
        value: Current estimate.
        variance: Variance of the estimate.
        trend: Change of the estimate per second.
        lowest: Remembered lowest estimate; infinite before the first one that
            counts as known.
        at_ms: Time to which the estimate refers.
    """

    __slots__ = (
        "_predicted",
        "_predicted_at_ms",
        "at_ms",
        "lowest",
        "trend",
        "value",
        "variance",
    )

    def __init__(self, now_ms: float):
        self.value = PRIOR_BASELINE
        self.variance = PRIOR_BASELINE_VARIANCE
        self.trend = 0.0
        self.lowest = float("inf")
        self.at_ms = now_ms
        self._predicted = PRIOR_BASELINE
        # Time for which the prediction was made, or None if it is outdated.
        self._predicted_at_ms: float | None = None

    def advance(self, now_ms: float) -> None:
        """Extrapolates to `now_ms` along the trend."""
        self._predicted_at_ms = None
        elapsed_s = max(0.0, (now_ms - self.at_ms) / 1000)
        self.at_ms = max(self.at_ms, now_ms)
        if elapsed_s > PREDICTION_HORIZON_S:
            self.trend = 0.0
        self.value += self.trend * elapsed_s
        self.variance += BASELINE_DRIFT * elapsed_s
        self.lowest += LOWEST_BASELINE_RISE * elapsed_s
        if self.variance < KNOWN_BASELINE_VARIANCE:
            self.lowest = min(self.lowest, self.value)

    def predict(self, now_ms: float) -> float:
        """Returns a cautious prediction; see `InterferenceModel`."""
        if now_ms != self._predicted_at_ms:
            self.advance(now_ms)
            falling = (
                min(0.0, self.trend * PREDICTION_HORIZON_S) - BASELINE_MARGIN
            )
            self._predicted = max(
                min(self.lowest, self.value), self.value + falling
            )
            self._predicted_at_ms = now_ms
        return self._predicted

    def correct(self, change: float) -> None:
        """Applies a correction of the filter to value and trend."""
        self._predicted_at_ms = None
        self.value += change
        self.trend += TREND_GAIN * change


class InterferenceModel:
    """Estimates baselines of jobs and weights of pairs of images."""

    __slots__ = ("_baselines", "_mean_weights", "_variances", "_weights")

    def __init__(self):
        self._baselines: dict[str, _Baseline] = {}
        self._weights: dict[tuple[str, str], float] = {}
        self._variances: dict[tuple[str, str], float] = {}
        # Mean weights by serving image, until the next measurement of it.
        self._mean_weights: dict[str, float] = {}

    def weight(self, serving: str, best_effort: str) -> float:
        """Returns the headroom that `serving` loses per core of `best_effort`.

        Args:
            serving: Image of the serving task.
            best_effort: Image of the best-effort task.
        """
        weight = self._weights.get((serving, best_effort), PRIOR_WEIGHT)
        return weight if weight > 0.0 else 0.0

    def mean_weight(self, serving: str) -> float:
        """Returns the mean weight of all images measured beside `serving`."""
        mean = self._mean_weights.get(serving)
        if mean is None:
            known = [w for (s, _), w in self._weights.items() if s == serving]
            mean = sum(known) / len(known) if known else PRIOR_WEIGHT
            self._mean_weights[serving] = mean
        return mean

    def baseline(self, job: str, now_ms: float) -> float:
        """Returns the current baseline of a job."""
        baseline = self._baselines.get(job)
        if baseline is None:
            return PRIOR_BASELINE
        baseline.advance(now_ms)
        return baseline.value

    def predicted_baseline(self, job: str, now_ms: float) -> float:
        """Returns a cautious prediction of the baseline of a job.

        Follows a falling trend over the prediction horizon, but not below the
        lowest baseline remembered.
        """
        baseline = self._baselines.get(job)
        if baseline is None:
            return PRIOR_BASELINE
        return baseline.predict(now_ms)

    def update(
        self,
        job: str,
        serving: str,
        headroom: float,
        target_ms: float,
        cores: dict[str, float],
        now_ms: float,
    ) -> None:
        """Updates the estimates with one measurement.

        Args:
            job: Job of the serving task.
            serving: Image of the serving task.
            headroom: Target divided by measured tail latency.
            target_ms: The target, which determines the rounding error.
            cores: Cores in use on the same worker, by best-effort image.
            now_ms: When the measurement was taken.
        """
        baseline = self._baselines.get(job)
        if baseline is None:
            baseline = self._baselines[job] = _Baseline(now_ms)
        baseline.advance(now_ms)
        self._mean_weights.pop(serving, None)
        pairs = [(serving, image) for image in cores]
        for pair in pairs:
            self._weights.setdefault(pair, PRIOR_WEIGHT)
            variance = self._variances.get(pair, PRIOR_WEIGHT_VARIANCE)
            self._variances[pair] = variance + WEIGHT_DRIFT
        expected = baseline.value - sum(
            self._weights[serving, image] * used
            for image, used in cores.items()
        )
        # Change of the headroom per millisecond of tail latency.
        slope = headroom * headroom / target_ms
        noise = NOISE_VARIANCE + ROUNDING_VARIANCE * slope * slope
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

    def drop_job(self, job: str) -> None:
        """Drops the baseline of a job that has ended."""
        self._baselines.pop(job, None)


def tail_headroom(tail_ms: float, target_ms: float) -> float:
    """Returns the headroom: the target divided by the tail latency."""
    return target_ms / max(tail_ms, SHORTEST_TAIL_MS)
