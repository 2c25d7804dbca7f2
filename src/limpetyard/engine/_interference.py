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
AT_TARGET = 1.0

# Loss of headroom a core of a pair that was never measured, and its variance.
UNKNOWN_WEIGHT = 0.05
UNKNOWN_WEIGHT_VARIANCE = 0.1**2

# Variance of the level of a job that was never measured; a first measurement
# replaces it.
UNKNOWN_LEVEL = 2.0
UNKNOWN_LEVEL_VARIANCE = 4.0

# Growth of a level's variance a second, from a load that swings by half within
# some seconds.
LEVEL_DRIFT = 0.1

# Growth of a weight's variance a measurement, so that it can change.
WEIGHT_DRIFT = 1e-6

# Variance of a measurement beside that of rounding to whole milliseconds.
NOISE_VARIANCE = 0.1**2
ROUNDING_VARIANCE = 1 / 12

# Tails shorter than this are rounded to nothing.
SHORTEST_TAIL_MS = 0.5

# A level counts as known once its variance is below this.
SETTLED_VARIANCE = 0.05

# The lowest level of a job is forgotten at this rate a second, so that it
# lasts over more than a swing of the load.
LOWEST_RISE = 0.02

# A level may be lower than it is thought to be by this.
LEVEL_MARGIN = 0.1

# A level is predicted this far ahead, the time in which a pace takes effect
# and shows.
AHEAD_S = 1.0

# Share of a correction of the level that goes into its trend, a second.
TREND_GAIN = 0.1


class _Level:
    """What a job's tasks have without neighbours."""

    __slots__ = ("at_ms", "lowest", "trend", "value", "variance")

    def __init__(self, now_ms: float):
        self.value = UNKNOWN_LEVEL
        self.variance = UNKNOWN_LEVEL_VARIANCE
        self.trend = 0.0
        self.lowest = float("inf")
        self.at_ms = now_ms

    def advance(self, now_ms: float) -> None:
        """Moves on to `now_ms` by the trend."""
        passed_s = max(0.0, (now_ms - self.at_ms) / 1000)
        self.at_ms = max(self.at_ms, now_ms)
        if passed_s > AHEAD_S:
            self.trend = 0.0
        self.value += self.trend * passed_s
        self.variance += LEVEL_DRIFT * passed_s
        self.lowest += LOWEST_RISE * passed_s
        if self.variance < SETTLED_VARIANCE:
            self.lowest = min(self.lowest, self.value)

    def correct(self, change: float) -> None:
        """Takes in a correction of the filter."""
        self.value += change
        self.trend += TREND_GAIN * change


class TailModel:
    """Levels of jobs and weights of pairs of images."""

    __slots__ = ("_levels", "_variances", "_weights")

    def __init__(self):
        self._levels: dict[str, _Level] = {}
        self._weights: dict[tuple[str, str], float] = {}
        self._variances: dict[tuple[str, str], float] = {}

    def weight(self, serving: str, filling: str) -> float:
        """Returns the headroom that one core of `filling` takes away."""
        return max(0.0, self._weights.get((serving, filling), UNKNOWN_WEIGHT))

    def mean_weight(self, serving: str) -> float:
        """Returns the mean weight of the known images beside `serving`."""
        known = [w for (s, _), w in self._weights.items() if s == serving]
        return sum(known) / len(known) if known else UNKNOWN_WEIGHT

    def level(self, job: str, now_ms: float) -> float:
        """Returns the level of a job now."""
        level = self._levels.get(job)
        if level is None:
            return UNKNOWN_LEVEL
        level.advance(now_ms)
        return level.value

    def level_ahead(self, job: str, now_ms: float) -> float:
        """Returns the level that a job falls to soon, if it falls."""
        level = self._levels.get(job)
        if level is None:
            return UNKNOWN_LEVEL
        level.advance(now_ms)
        falling = min(0.0, level.trend * AHEAD_S) - LEVEL_MARGIN
        return max(min(level.lowest, level.value), level.value + falling)

    def learn(
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
        level = self._levels.get(job)
        if level is None:
            level = self._levels[job] = _Level(now_ms)
        level.advance(now_ms)
        pairs = [(serving, image) for image in cores]
        for pair in pairs:
            self._weights.setdefault(pair, UNKNOWN_WEIGHT)
            variance = self._variances.get(pair, UNKNOWN_WEIGHT_VARIANCE)
            self._variances[pair] = variance + WEIGHT_DRIFT
        expected = level.value - sum(
            self._weights[serving, image] * used
            for image, used in cores.items()
        )
        step = headroom * headroom / target_ms
        noise = NOISE_VARIANCE + ROUNDING_VARIANCE * step * step
        total = level.variance + noise
        for pair, used in zip(pairs, cores.values(), strict=True):
            total += self._variances[pair] * used * used
        error = headroom - expected
        gain = level.variance / total
        level.correct(gain * error)
        level.variance *= 1 - gain
        for pair, used in zip(pairs, cores.values(), strict=True):
            gain = self._variances[pair] * used / total
            self._weights[pair] -= gain * error
            self._variances[pair] *= 1 - gain * used

    def forget(self, job: str) -> None:
        """Drops the level of a job that is over."""
        self._levels.pop(job, None)


def headroom_of(tail_ms: float, target_ms: float) -> float:
    """Returns the target over a tail."""
    return target_ms / max(tail_ms, SHORTEST_TAIL_MS)
