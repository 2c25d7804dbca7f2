"""Relief of latency-critical tasks that their neighbours slow down.

Steps with hysteresis. A worker is alarmed when its latency-critical tasks
were slow in several reports in a row. The batch task that slows them most is
throttled, then throttled more, then evicted; after each step the worker is
left alone until reports can show the effect. Once they are fair again for
long, throttled tasks get their speed back, the least noisy one first.
"""

import dataclasses
import enum
from collections.abc import Sequence

FULL_SPEED = 1.0
THROTTLE_STEPS = (0.5, 0.2)


@dataclasses.dataclass(slots=True, frozen=True)
class MitigationParams:
    """When relief acts.

    Attributes:
        slow_rate: A latency-critical task below this rate is slow.
        fair_rate: One above this rate counts as fair again.
        slow_reports: Slow reports in a row before relief acts.
        fair_reports: Fair reports in a row before speed is given back.
        settle_ms: Time given to a step before the next one.
        relapse_ms: An alarm this soon after speed was given back makes the
            worker wait longer before it is tried again.
        relapse_factor: How much longer.
        longest_fair_reports: Bound on that wait.
    """

    slow_rate: float = 0.55
    fair_rate: float = 0.7
    slow_reports: int = 2
    fair_reports: int = 5
    settle_ms: float = 6_000.0
    relapse_ms: float = 30_000.0
    relapse_factor: int = 4
    longest_fair_reports: int = 640


class MitigationAction(enum.Enum):
    """What relief does to a batch task."""

    THROTTLE = "throttle"
    RESTORE = "restore"
    EVICT = "evict"


@dataclasses.dataclass(slots=True, frozen=True)
class MitigationStep:
    """One step of relief.

    Attributes:
        kind: What is done.
        task: Id of the batch task.
        fraction: Part of its speed that it keeps; 0 for an eviction.
        reason: Why.
    """

    kind: MitigationAction
    task: str
    fraction: float
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class MitigationCandidate:
    """A batch task beside latency-critical ones.

    Attributes:
        task: Id of the task.
        slowdown: What it adds to their slowdown.
        cost: What an eviction would lose, in core milliseconds.
        fraction: Part of its speed that it has now.
    """

    task: str
    slowdown: float
    cost: float
    fraction: float


@dataclasses.dataclass(slots=True)
class _Watch:
    slow: dict[str, int] = dataclasses.field(default_factory=dict)
    fair: int = 0
    fair_needed: int = 0
    settled_ms: float = float("-inf")
    restored_ms: float = float("-inf")


class InterferenceController:
    """Decides the next step of relief for each worker."""

    __slots__ = ("_terms", "_watches")

    def __init__(self, params: MitigationParams = MitigationParams()):
        self._terms = params
        self._watches: dict[str, _Watch] = {}

    def observe(self, worker: str, task: str, rate: float) -> None:
        """Takes in a report of one of the worker's latency-critical tasks.

        Each task counts by itself: one that is well does not speak for
        another that suffers.
        """
        watch = self._watches.get(worker)
        if watch is None:
            watch = _Watch(fair_needed=self._terms.fair_reports)
            self._watches[worker] = watch
        if rate < self._terms.slow_rate:
            watch.slow[task] = watch.slow.get(task, 0) + 1
            watch.fair = 0
        elif rate > self._terms.fair_rate:
            watch.slow.pop(task, None)
            watch.fair += not watch.slow

    def due(self, worker: str, now_ms: float) -> bool:
        """Returns whether a step may be due, before any views are built."""
        watch = self._watches.get(worker)
        if watch is None or now_ms < watch.settled_ms:
            return False
        return self._alarmed(watch) or watch.fair >= watch.fair_needed

    def _alarmed(self, watch: _Watch) -> bool:
        most = max(watch.slow.values(), default=0)
        return most >= self._terms.slow_reports

    def step(
        self,
        worker: str,
        suspects: Sequence[MitigationCandidate],
        now_ms: float,
    ) -> MitigationStep | None:
        """Returns the step to take on a worker now, or None.

        Args:
            worker: Id of the worker.
            suspects: Its batch tasks.
            now_ms: Present reading of the clock.
        """
        if not suspects or not self.due(worker, now_ms):
            return None
        watch = self._watches[worker]
        alarmed = self._alarmed(watch)
        step = _tighten(suspects) if alarmed else _loosen(suspects)
        if step is not None:
            watch.slow.clear()
            watch.fair = 0
            watch.settled_ms = now_ms + self._terms.settle_ms
            self._note(watch, step, now_ms)
        return step

    def _note(self, watch: _Watch, step: MitigationStep, now_ms: float) -> None:
        """Makes a worker that relapses wait longer for its next try."""
        params = self._terms
        if step.kind is MitigationAction.RESTORE:
            watch.restored_ms = now_ms
        elif now_ms - watch.restored_ms < params.relapse_ms:
            longer = watch.fair_needed * params.relapse_factor
            watch.fair_needed = min(longer, params.longest_fair_reports)


def _tighten(suspects: Sequence[MitigationCandidate]) -> MitigationStep:
    worst = max(suspects, key=lambda s: s.slowdown * s.fraction)
    for fraction in THROTTLE_STEPS:
        if worst.fraction > fraction:
            return MitigationStep(
                MitigationAction.THROTTLE,
                worst.task,
                fraction,
                f"slows latency-critical work by {worst.slowdown:.2f}",
            )
    spent = [s for s in suspects if s.fraction <= THROTTLE_STEPS[-1]]
    cheapest = min(spent, key=lambda s: s.cost)
    return MitigationStep(
        MitigationAction.EVICT, cheapest.task, 0.0, "throttling did not help"
    )


def _loosen(suspects: Sequence[MitigationCandidate]) -> MitigationStep | None:
    limited = [s for s in suspects if s.fraction < FULL_SPEED]
    if not limited:
        return None
    mildest = min(limited, key=lambda s: s.slowdown)
    steps = (FULL_SPEED, *THROTTLE_STEPS)
    wider = min(step for step in steps if step > mildest.fraction)
    return MitigationStep(
        MitigationAction.RESTORE,
        mildest.task,
        wider,
        "latency-critical work is fair",
    )
