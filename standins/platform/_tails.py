"""Tail latencies of serving tasks that best-effort tasks raise, on one worker.

A tail grows with the inverse of what the serving and the best-effort tasks
leave free, as in a queue. The worker measures it at intervals, over a window
and inexactly; the strain is counted from the tail itself.
"""

import asyncio
import collections
import math
import random
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND
from standins.platform._worker import WorkerModel

STEP_MS = 50
MEASURING_INTERVAL_MS = 250
WINDOW_MS = 500

# Time from an order for a speed to its effect.
PACE_DELAY_MS = 100

# Tail latency of a serving task on an idle worker.
BASE_TAIL_MS = 10.0


class TailModel:
    """Measures the tails on one worker, and counts the strain there.

    Attributes:
        longest_strain_ms: Longest time on end for which a serving task was over
            its target because of best-effort tasks that worked on.
    """

    def __init__(
        self,
        worker: WorkerModel,
        load: Callable[[float], float],
        pressure: float,
        noise: float,
        rng: random.Random,
    ):
        """Initializes the tails of a worker.

        Args:
            worker: The worker.
            load: Returns the share of the capacity that the serving tasks use
                at a time.
            pressure: Share that a core of best-effort work uses.
            noise: Standard deviation of a measurement, relative to it.
            rng: Source of these errors.
        """
        self.longest_strain_ms = 0.0
        self._worker = worker
        self._load = load
        self._pressure = pressure
        self._noise = noise
        self._rng = rng
        self._tails: collections.deque[float] = collections.deque(
            maxlen=WINDOW_MS // STEP_MS
        )
        self._measured_ms = BASE_TAIL_MS
        # Speeds by task that were ordered in each of the latest steps.
        self._ordered: collections.deque[dict] = collections.deque(
            maxlen=1 + PACE_DELAY_MS // STEP_MS
        )
        self._strained_since_ms: float | None = None
        worker.measure = self._measure

    async def play(self) -> None:
        """Plays the tails until it is cancelled."""
        while True:
            for _ in range(MEASURING_INTERVAL_MS // STEP_MS):
                self._advance()
                await asyncio.sleep(STEP_MS / MS_PER_SECOND)
            mean_ms = sum(self._tails) / len(self._tails)
            error = self._rng.gauss(1.0, self._noise) if self._noise else 1.0
            self._measured_ms = float(round(mean_ms * error))

    def _advance(self) -> None:
        runs = self._worker.runs
        self._ordered.append({run.task: run.percent for run in runs})
        working = [
            run.step.need.cores_milli * self._speed(run)
            for run in runs
            if run.step.fills
        ]
        load = self._load(self._worker.now_ms())
        alone_ms = _tail_ms(load)
        tail_ms = _tail_ms(load + self._pressure * sum(working) / 1000)
        self._tails.append(tail_ms)
        self._count(alone_ms, tail_ms)

    def _speed(self, run) -> float:
        """Returns the speed of a run, as ordered some time ago."""
        return self._ordered[0].get(run.task, 100) / 100

    def _count(self, alone_ms: float, tail_ms: float) -> None:
        targets = [r.step.target_ms for r in self._worker.runs]
        target_ms = min(filter(None, targets), default=math.inf)
        now_ms = self._worker.now_ms()
        if not alone_ms <= target_ms < tail_ms:
            self._strained_since_ms = None
            return
        if self._strained_since_ms is None:
            self._strained_since_ms = now_ms
        strain_ms = now_ms + STEP_MS - self._strained_since_ms
        self.longest_strain_ms = max(self.longest_strain_ms, strain_ms)

    def _measure(self, run) -> float:
        if run.step.target_ms:
            return self._measured_ms
        return run.step.need.cores_milli * self._speed(run)


def _tail_ms(utilization: float) -> float:
    return BASE_TAIL_MS / max(0.02, 1 - utilization)
