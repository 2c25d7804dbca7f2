"""Relief of latency-critical tasks that their neighbours slow down.

Steps with hysteresis: a worker whose latency-critical tasks are slow for
several reports in a row loses the batch task that costs least to move; then it
is left alone until reports can show the effect.
"""

import dataclasses

from limpetyard.placement._policy import TaskView, WorkerView


@dataclasses.dataclass(slots=True, frozen=True)
class ReliefTerms:
    """When relief acts.

    Attributes:
        slow_rate: A latency-critical task below this rate is slow.
        fair_rate: One above this rate counts as well again.
        slow_reports: Slow reports in a row before relief acts.
        settle_ms: Time given to a step before the next one.
    """

    slow_rate: float = 0.6
    fair_rate: float = 0.75
    slow_reports: int = 3
    settle_ms: float = 15_000.0


@dataclasses.dataclass(slots=True)
class _Watch:
    slow: int = 0
    settled_ms: float = float("-inf")


class Relief:
    """Decides which batch task, if any, has to leave a worker."""

    __slots__ = ("_terms", "_watches")

    def __init__(self, terms: ReliefTerms = ReliefTerms()):
        self._terms = terms
        self._watches: dict[str, _Watch] = {}

    def observe(self, worker: str, rate: float) -> None:
        """Takes in the lowest rate of a worker's latency-critical tasks."""
        watch = self._watches.setdefault(worker, _Watch())
        if rate < self._terms.slow_rate:
            watch.slow += 1
        elif rate > self._terms.fair_rate:
            watch.slow = 0

    def alarmed(self, worker: str) -> bool:
        """Returns whether the worker was slow for several reports."""
        watch = self._watches.get(worker)
        return watch is not None and watch.slow >= self._terms.slow_reports

    def victim(
        self, worker: WorkerView, slowdowns: dict[str, float], now_ms: float
    ) -> TaskView | None:
        """Returns the batch task to evict now, or None.

        Args:
            worker: The worker.
            slowdowns: What each batch task, by id, adds to the slowdown of
                the latency-critical ones there.
            now_ms: Present reading of the clock.
        """
        if not self.alarmed(worker.id):
            return None
        watch = self._watches[worker.id]
        if now_ms < watch.settled_ms:
            return None
        batch = [t for t in worker.tasks if not t.latency_critical]
        if not batch:
            return None
        watch.slow = 0
        watch.settled_ms = now_ms + self._terms.settle_ms
        return max(batch, key=lambda task: slowdowns.get(task.id, 0.0))
