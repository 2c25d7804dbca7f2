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
class ReliefTerms:
    """When relief acts.

    Attributes:
        slow_rate: A latency-critical task below this rate is slow.
        healthy_rate: One above this rate counts as fair again.
        slow_reports: Slow reports in a row before relief acts.
        healthy_reports: Fair reports in a row before speed is given back.
        settle_ms: Time given to a step before the next one.
        relapse_ms: An alarm this soon after speed was given back makes the
            worker wait longer before it is tried again.
        relapse_factor: How much longer.
        max_healthy_reports: Bound on that wait.
    """

    slow_rate: float = 0.55
    healthy_rate: float = 0.7
    slow_reports: int = 2
    healthy_reports: int = 5
    settle_ms: float = 6_000.0
    relapse_ms: float = 30_000.0
    relapse_factor: int = 4
    max_healthy_reports: int = 640


class StepKind(enum.Enum):
    """What relief does to a batch task."""

    THROTTLE = "throttle"
    RESTORE = "restore"
    EVICT = "evict"


@dataclasses.dataclass(slots=True, frozen=True)
class ReliefStep:
    """One step of relief.

    Attributes:
        kind: What is done.
        task: Id of the batch task.
        fraction: Part of its speed that it keeps; 0 for an eviction.
        reason: Why.
    """

    kind: StepKind
    task: str
    fraction: float
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Suspect:
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
class _WorkerState:
    slow: dict[str, int] = dataclasses.field(default_factory=dict)
    fair: int = 0
    healthy_needed: int = 0
    settling_until_ms: float = float("-inf")
    restored_ms: float = float("-inf")


class Relief:
    """Decides the next step of relief for each worker."""

    __slots__ = ("_terms", "_states")

    def __init__(self, terms: ReliefTerms = ReliefTerms()):
        self._terms = terms
        self._states: dict[str, _WorkerState] = {}

    def observe(self, worker: str, task: str, rate: float) -> None:
        """Takes in a report of one of the worker's latency-critical tasks.

        Each task counts by itself: one that is well does not speak for
        another that suffers.
        """
        state = self._states.get(worker)
        if state is None:
            state = _WorkerState(healthy_needed=self._terms.healthy_reports)
            self._states[worker] = state
        if rate < self._terms.slow_rate:
            state.slow[task] = state.slow.get(task, 0) + 1
            state.fair = 0
        elif rate > self._terms.healthy_rate:
            state.slow.pop(task, None)
            state.fair += not state.slow

    def due(self, worker: str, now_ms: float) -> bool:
        """Returns whether a step may be due, before any views are built."""
        state = self._states.get(worker)
        if state is None or now_ms < state.settling_until_ms:
            return False
        return self._is_alarmed(state) or state.fair >= state.healthy_needed

    def _is_alarmed(self, state: _WorkerState) -> bool:
        most = max(state.slow.values(), default=0)
        return most >= self._terms.slow_reports

    def step(
        self, worker: str, candidates: Sequence[Suspect], now_ms: float
    ) -> ReliefStep | None:
        """Returns the step to take on a worker now, or None.

        Args:
            worker: Id of the worker.
            candidates: Its batch tasks.
            now_ms: Present reading of the clock.
        """
        if not candidates or not self.due(worker, now_ms):
            return None
        state = self._states[worker]
        alarmed = self._is_alarmed(state)
        step = (
            _tighten_throttling(candidates)
            if alarmed
            else _relax_throttling(candidates)
        )
        if step is not None:
            state.slow.clear()
            state.fair = 0
            state.settling_until_ms = now_ms + self._terms.settle_ms
            self._back_off_on_relapse(state, step, now_ms)
        return step

    def _back_off_on_relapse(
        self, state: _WorkerState, step: ReliefStep, now_ms: float
    ) -> None:
        """Makes a worker that relapses wait longer for its next try."""
        terms = self._terms
        if step.kind is StepKind.RESTORE:
            state.restored_ms = now_ms
        elif now_ms - state.restored_ms < terms.relapse_ms:
            longer = state.healthy_needed * terms.relapse_factor
            state.healthy_needed = min(longer, terms.max_healthy_reports)


def _tighten_throttling(candidates: Sequence[Suspect]) -> ReliefStep:
    worst = max(candidates, key=lambda s: s.slowdown * s.fraction)
    for fraction in THROTTLE_STEPS:
        if worst.fraction > fraction:
            return ReliefStep(
                StepKind.THROTTLE,
                worst.task,
                fraction,
                f"slows latency-critical work by {worst.slowdown:.2f}",
            )
    spent = [s for s in candidates if s.fraction <= THROTTLE_STEPS[-1]]
    cheapest = min(spent, key=lambda s: s.cost)
    return ReliefStep(
        StepKind.EVICT, cheapest.task, 0.0, "throttling did not help"
    )


def _relax_throttling(candidates: Sequence[Suspect]) -> ReliefStep | None:
    limited = [s for s in candidates if s.fraction < FULL_SPEED]
    if not limited:
        return None
    mildest = min(limited, key=lambda s: s.slowdown)
    steps = (FULL_SPEED, *THROTTLE_STEPS)
    wider = min(step for step in steps if step > mildest.fraction)
    return ReliefStep(
        StepKind.RESTORE, mildest.task, wider, "latency-critical work is fair"
    )
