"""Room that long-running tasks leave for tasks that end.

Long-running tasks come first and stay. Where more of them are wanted than fit,
they would leave every worker less room than the smallest of them needs, and
wider short tasks would wait for one to end. They therefore leave some cores, in
pieces that are large enough for short tasks.

A long-running task must not wait while a worker has plenty of room: one that
fits twice on a worker is always placed. So is one that has run before.
"""

import math

from limpetyard.engine._candidate import Candidate
from limpetyard.engine._load import is_short
from limpetyard.engine._ranking import UnmetNeeds, single_need
from limpetyard.jobs import JobSpec, StepSpec, Task

# Time over which arrived work is averaged.
WINDOW_MS = 10_000.0

# Time over which the widest short task is remembered.
WIDTH_WINDOW_MS = 60_000.0

# Reserved cores as a multiple of those needed on average, as arrivals vary.
RESERVE_FACTOR = 1.5

# Largest share of the cores of a service that is reserved for the load seen. A
# share that is reserved in any case is a setting.
MAX_RESERVED_SHARE = 0.15

# Width of a piece as a share of the widest worker's cores: the one assumed
# before any short task has arrived, and the largest.
DEFAULT_PIECE_SHARE = 0.25
MAX_PIECE_SHARE = 0.5

# A long-running task that fits this many times on a worker is always placed.
PLENTY_FACTOR = 2


class OfferedLoad:
    """Load of the short tasks of a service."""

    __slots__ = ("_at_ms", "_core_ms", "_width", "_width_at_ms")

    def __init__(self):
        # Work that has arrived, decaying over `WINDOW_MS`.
        self._core_ms = 0.0
        self._at_ms = 0.0
        self._width = 0.0
        self._width_at_ms = 0.0

    def add(self, spec: JobSpec, now_ms: float) -> None:
        """Adds the work of a job that has just arrived."""
        short = [step for step in spec.steps if is_short(step)]
        if not short:
            return
        self._core_ms = self._core_ms * self._decay(now_ms) + sum(
            step.count * step.run_ms * step.need.cores_milli / 1000
            for step in short
        )
        self._at_ms = now_ms
        widest = max(step.need.cores_milli for step in short) / 1000
        self._width = max(widest, self.width(now_ms))
        self._width_at_ms = now_ms

    def cores(self, now_ms: float) -> float:
        """Returns the cores needed on average."""
        return self._core_ms * self._decay(now_ms) / WINDOW_MS

    def width(self, now_ms: float) -> float:
        """Returns the cores of the widest task, less for older ones."""
        age_ms = max(0.0, now_ms - self._width_at_ms)
        return self._width * math.exp(-age_ms / WIDTH_WINDOW_MS)

    def _decay(self, now_ms: float) -> float:
        return math.exp(-max(0.0, now_ms - self._at_ms) / WINDOW_MS)


class LongRunningRoom:
    """Decides in one round which long-running tasks of a service may start.

    A first start that is refused is remembered for the rest of the round, so
    that hundreds of equal or wider ones need not look at all workers again. In
    rare cases a later placement of the round leaves a worker less than a piece,
    which short tasks then cannot lose any more; what could start there waits
    for the next round.
    """

    __slots__ = ("_candidates", "_left", "_piece", "_refused")

    def __init__(
        self,
        candidates: list[Candidate],
        load: OfferedLoad,
        min_share: float,
        now_ms: float,
    ):
        """Initializes the room.

        Args:
            candidates: Workers of the service that may get new work.
            load: Load of the short tasks of the service.
            min_share: Share of the cores that is reserved in any case.
            now_ms: Current time.
        """
        self._candidates = candidates
        # Needs of first starts that no worker may take.
        self._refused = UnmetNeeds()
        sizes = [c.entry.capacity.cores_milli / 1000 for c in candidates]
        widest = max(sizes, default=0.0)
        width = load.width(now_ms) or DEFAULT_PIECE_SHARE * widest
        self._piece = min(width, MAX_PIECE_SHARE * widest)
        total = sum(sizes)
        reserved = max(
            min_share * total,
            min(
                RESERVE_FACTOR * load.cores(now_ms), MAX_RESERVED_SHARE * total
            ),
        )
        # Cores in pieces beyond those that are reserved.
        self._left = sum(map(self._usable, candidates)) - reserved

    def take(
        self, best: Candidate, task: Task, step_key: tuple[str, int, int]
    ) -> Candidate | None:
        """Returns the worker for a task, or None if it must wait.

        Args:
            best: Best worker for the task.
            task: The task.
            step_key: Job, occurrence and number of its step.
        """
        step = task.step
        chosen = best
        if not task.run and not self._may_take(best, step):
            chosen = next(
                (
                    c
                    for c in self._candidates
                    if (not step.label or step.label in c.entry.labels)
                    and c.allows(step, step_key)
                    and self._may_take(c, step)
                ),
                None,
            )
        if chosen is not None:
            self._left -= self._loss(chosen, step)
        elif not self._has_room_beyond_limit(step):
            self._refused.add(step.fills, step.label, single_need(step))
        return chosen

    def refuses(self, task: Task) -> bool:
        """Returns whether it is known that a task must wait."""
        step = task.step
        return not task.run and self._refused.includes(
            step.fills, step.label, single_need(step)
        )

    def _has_room_beyond_limit(self, step: StepSpec) -> bool:
        """Returns whether only a limit for each worker may hold a task back."""
        return step.per_worker > 0 and any(
            candidate.has_room(step) and self._may_take(candidate, step)
            for candidate in self._candidates
            if not step.label or step.label in candidate.entry.labels
        )

    def _may_take(self, candidate: Candidate, step: StepSpec) -> bool:
        loss = self._loss(candidate, step)
        return (
            not loss
            or loss <= self._left
            or candidate.fits_times(step, PLENTY_FACTOR)
        )

    def _usable(self, candidate: Candidate, less: float = 0.0) -> float:
        """Returns the cores for short tasks, 0 if less than a piece."""
        free = candidate.free_resources.cores_milli / 1000
        cores = free + candidate.short_cores - less
        return cores if cores >= self._piece else 0.0

    def _loss(self, candidate: Candidate, step: StepSpec) -> float:
        """Returns the cores that short tasks lose by a task there."""
        cores = step.need.cores_milli / 1000
        return self._usable(candidate) - self._usable(candidate, cores)
