"""Control of interference that slows latency-critical tasks.

The control has hysteresis. When a latency-critical task on a worker was slow
in several reports in a row, the batch task that causes most of the slowdown is
throttled in steps; if throttling does not help, the cheapest throttled task is
evicted. After each step, the worker is left unchanged until reports can show
the effect. Once the latency-critical tasks have been healthy for long enough,
throttled tasks get their speed back, the one that interferes least first.
"""

import dataclasses
import enum
from collections.abc import Sequence

FULL_SPEED = 1.0
THROTTLE_STEPS = (0.5, 0.2)


@dataclasses.dataclass(slots=True, frozen=True)
class MitigationParams:
    """Thresholds of interference control.

    Attributes:
        slow_rate: A latency-critical task below this rate is slow.
        healthy_rate: A latency-critical task above this rate is healthy.
        slow_reports: Slow reports of one task, with no healthy one between
            them, before a batch task is throttled or evicted.
        healthy_reports: Healthy reports, with no slow one between them,
            before throttling is relaxed.
        settle_ms: Minimum time between two steps on a worker.
        relapse_ms: If throttling or eviction follows a relaxation within this
            time, later relaxations on the worker need more healthy reports.
        relapse_factor: Factor by which that number grows.
        max_healthy_reports: Upper bound of that number.
    """

    slow_rate: float = 0.55
    healthy_rate: float = 0.7
    slow_reports: int = 2
    healthy_reports: int = 5
    settle_ms: float = 6_000.0
    relapse_ms: float = 30_000.0
    relapse_factor: int = 4
    max_healthy_reports: int = 640


class MitigationAction(enum.Enum):
    """What a mitigation step does to a batch task."""

    THROTTLE = "throttle"
    RESTORE = "restore"
    EVICT = "evict"


@dataclasses.dataclass(slots=True, frozen=True)
class MitigationStep:
    """One mitigation step on a batch task.

    Attributes:
        action: What to do to the task.
        task: Id of the batch task.
        fraction: Fraction of full speed that it keeps; 0 for an eviction.
        reason: Why the step is taken.
    """

    action: MitigationAction
    task: str
    fraction: float
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class MitigationCandidate:
    """A batch task that may be throttled or evicted.

    Attributes:
        task: Id of the task.
        slowdown: Slowdown that it adds to the latency-critical tasks.
        cost: Work that an eviction would lose, in core milliseconds.
        fraction: Fraction of full speed that it has now.
    """

    task: str
    slowdown: float
    cost: float
    fraction: float


@dataclasses.dataclass(slots=True)
class _WorkerState:
    slow_reports: dict[str, int] = dataclasses.field(default_factory=dict)
    healthy_reports: int = 0
    healthy_needed: int = 0
    settling_until_ms: float = float("-inf")
    restored_ms: float = float("-inf")


class InterferenceController:
    """Decides the next mitigation step for each worker."""

    __slots__ = ("_params", "_states")

    def __init__(self, params: MitigationParams = MitigationParams()):
        self._params = params
        self._states: dict[str, _WorkerState] = {}

    def observe(self, worker: str, task: str, rate: float) -> None:
        """Records a rate report of a latency-critical task on a worker.

        Slow reports are counted for each task, so that reports of a healthy
        task do not hide that another one is slow.
        """
        state = self._states.get(worker)
        if state is None:
            state = _WorkerState(healthy_needed=self._params.healthy_reports)
            self._states[worker] = state
        if rate < self._params.slow_rate:
            state.slow_reports[task] = state.slow_reports.get(task, 0) + 1
            state.healthy_reports = 0
        elif rate > self._params.healthy_rate:
            state.slow_reports.pop(task, None)
            state.healthy_reports += not state.slow_reports

    def step_due(self, worker: str, now_ms: float) -> bool:
        """Returns whether a step may be due.

        A cheap check before candidates are collected.
        """
        state = self._states.get(worker)
        if state is None or now_ms < state.settling_until_ms:
            return False
        return (
            self._is_slow(state)
            or state.healthy_reports >= state.healthy_needed
        )

    def _is_slow(self, state: _WorkerState) -> bool:
        most = max(state.slow_reports.values(), default=0)
        return most >= self._params.slow_reports

    def step(
        self,
        worker: str,
        candidates: Sequence[MitigationCandidate],
        now_ms: float,
    ) -> MitigationStep | None:
        """Returns the mitigation step to apply on a worker now, or None.

        Args:
            worker: Id of the worker.
            candidates: Its batch tasks.
            now_ms: Current clock reading.
        """
        if not candidates or not self.step_due(worker, now_ms):
            return None
        state = self._states[worker]
        slow = self._is_slow(state)
        step = (
            _tighten_throttling(candidates)
            if slow
            else _relax_throttling(candidates)
        )
        if step is not None:
            state.slow_reports.clear()
            state.healthy_reports = 0
            state.settling_until_ms = now_ms + self._params.settle_ms
            self._back_off_on_relapse(state, step, now_ms)
        return step

    def _back_off_on_relapse(
        self, state: _WorkerState, step: MitigationStep, now_ms: float
    ) -> None:
        """Requires more healthy reports of a worker after a relapse."""
        params = self._params
        if step.action is MitigationAction.RESTORE:
            state.restored_ms = now_ms
        elif now_ms - state.restored_ms < params.relapse_ms:
            needed = state.healthy_needed * params.relapse_factor
            state.healthy_needed = min(needed, params.max_healthy_reports)


def _tighten_throttling(
    candidates: Sequence[MitigationCandidate],
) -> MitigationStep:
    """Returns a throttling of the task that causes most of the slowdown.

    If that task is at the lowest speed already, returns the eviction of the
    task at that speed that loses the least work.
    """
    worst = max(candidates, key=lambda c: c.slowdown * c.fraction)
    for fraction in THROTTLE_STEPS:
        if worst.fraction > fraction:
            return MitigationStep(
                MitigationAction.THROTTLE,
                worst.task,
                fraction,
                f"slows latency-critical tasks by {worst.slowdown:.2f}",
            )
    throttled = [c for c in candidates if c.fraction <= THROTTLE_STEPS[-1]]
    cheapest = min(throttled, key=lambda c: c.cost)
    return MitigationStep(
        MitigationAction.EVICT, cheapest.task, 0.0, "throttling did not help"
    )


def _relax_throttling(
    candidates: Sequence[MitigationCandidate],
) -> MitigationStep | None:
    """Returns a speed-up by one step of the throttled task that slows least.

    Returns None if no task is throttled.
    """
    throttled = [c for c in candidates if c.fraction < FULL_SPEED]
    if not throttled:
        return None
    mildest = min(throttled, key=lambda c: c.slowdown)
    steps = (FULL_SPEED, *THROTTLE_STEPS)
    relaxed_fraction = min(step for step in steps if step > mildest.fraction)
    return MitigationStep(
        MitigationAction.RESTORE,
        mildest.task,
        relaxed_fraction,
        "latency-critical tasks are healthy",
    )
