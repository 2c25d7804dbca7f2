"""Placers, which choose the worker of a task by the kind of its step.

Steps are of three kinds. Serving steps run until their job is cancelled, and
may have a target for their tail latency. Best-effort steps, whose placer is
registered as "filling", use only cores that others leave idle. All others are
"plain".

The headroom of a serving task is its target divided by its tail latency; see
`limpetyard.engine._interference`.
"""

from collections.abc import Callable

from limpetyard._registry import Registry
from limpetyard.engine._interference import (
    HEADROOM_AT_TARGET,
    InterferenceModel,
)
from limpetyard.engine._worker import Worker, WorkerRun
from limpetyard.jobs import Resources, StepSpec, Task

# Assumed share of their cores that serving tasks use, since no better estimate
# exists: their load varies around a mean of less than half.
SERVING_CPU_USE = 0.5

# A best-effort task is placed only where every serving task is expected to keep
# this headroom, so that the new task need not be slowed at once.
MIN_PLACEMENT_HEADROOM = 1.2 * HEADROOM_AT_TARGET


class Candidate:
    """A worker during one round of placement.

    Attributes:
        worker: The worker.
        free_resources: Resources that are not reserved.
        idle_cores: Cores expected to be idle and thus free for best-effort
            tasks.
    """

    __slots__ = (
        "_best_effort_cores",
        "_has_probe",
        "_headroom_cache",
        "_interference",
        "_now_ms",
        "free_resources",
        "idle_cores",
        "worker",
    )

    def __init__(
        self, worker: Worker, interference: InterferenceModel, now_ms: float
    ):
        self.worker = worker
        self._now_ms = now_ms
        self._headroom_cache: list[tuple[str, float]] | None = None
        self.free_resources = worker.free_resources()
        self._interference = interference
        self._best_effort_cores = best_effort_cores(worker)
        self._has_probe = False
        self.idle_cores = _idle_cores(worker)

    @property
    def entry(self):
        """Directory entry of the worker."""
        return self.worker.entry

    def reserve(self, run: WorkerRun) -> None:
        """Reserves resources for a run.

        For a worker on probation, the run is the probe, and the worker accepts
        no further run in this round.
        """
        self._has_probe = self.worker.on_probation
        need = run.step.reserved
        self.free_resources = Resources(
            self.free_resources.cores_milli - need.cores_milli,
            self.free_resources.memory_mb - need.memory_mb,
            self.free_resources.accelerators - need.accelerators,
        )
        self.idle_cores -= _used_cores(run)
        self._headroom_cache = None
        if run.step.fills:
            added = self._best_effort_cores.get(run.step.image, 0.0)
            self._best_effort_cores[run.step.image] = added + _used_cores(run)

    def fits_times(self, step: StepSpec, count: int) -> bool:
        """Returns whether `count` tasks of a step fit."""
        need = step.reserved
        return Resources(
            need.cores_milli * count,
            need.memory_mb * count,
            need.accelerators * count,
        ).fits(self.free_resources)

    def allows(self, step: StepSpec, step_key: tuple[str, int, int]) -> bool:
        """Returns whether one more task of a step may be placed."""
        if self._has_probe or not step.reserved.fits(self.free_resources):
            return False
        limit = step.per_worker
        return not limit or self.worker.count_runs(*step_key) < limit

    def headroom_with(self, image: str, cores: float) -> float:
        """Returns the lowest headroom here with one more best-effort task.

        Args:
            image: Image of the task to be added.
            cores: Cores that it would use.
        """
        return min(
            (
                headroom - self._interference.weight(serving, image) * cores
                for serving, headroom in self._lowest_headrooms()
            ),
            default=float("inf"),
        )

    def excess_interference(self, image: str, cores: float) -> float:
        """Returns how much more an image interferes here than the mean image.

        Args:
            image: Image of the best-effort task.
            cores: Cores that it would use.

        Returns:
            Extra loss of headroom, highest over the serving images here;
            negative if the image interferes less than others do.
        """
        return max(
            (
                (
                    self._interference.weight(s, image)
                    - self._interference.mean_weight(s)
                )
                * cores
                for s, _ in self._lowest_headrooms()
            ),
            default=0.0,
        )

    def _lowest_headrooms(self) -> list[tuple[str, float]]:
        """Returns the lowest predicted headroom of each serving image here.

        Only runs with a latency target count; see `serving_runs`.
        """
        if self._headroom_cache is None:
            lowest: dict[str, float] = {}
            for run in serving_runs(self.worker):
                image = run.step.image
                headroom = self._interference.predicted_baseline(
                    run.task.job, self._now_ms
                )
                headroom -= sum(
                    self._interference.weight(image, other) * used
                    for other, used in self._best_effort_cores.items()
                )
                lowest[image] = min(headroom, lowest.get(image, headroom))
            self._headroom_cache = list(lowest.items())
        return self._headroom_cache


def serving_runs(worker: Worker) -> list[WorkerRun]:
    """Returns the runs on a worker whose step has a latency target."""
    return [run for run in worker.runs.values() if run.step.target_ms]


def best_effort_cores(worker: Worker) -> dict[str, float]:
    """Returns the cores expected to be used by best-effort tasks, by image."""
    cores: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.fills:
            used = cores.get(run.step.image, 0.0)
            cores[run.step.image] = used + _used_cores(run)
    return cores


def _used_cores(run: WorkerRun) -> float:
    """Returns the cores that a run is expected to use.

    These are the cores that its step requests, multiplied by `SERVING_CPU_USE`
    for a step with a latency target, or else by the speed that a best-effort
    run was given.
    """
    cores = run.step.need.cores_milli / 1000
    if run.step.target_ms:
        return cores * SERVING_CPU_USE
    if run.step.fills:
        return cores * run.speed_percent / 100
    return cores


def _idle_cores(worker: Worker) -> float:
    used = sum(_used_cores(run) for run in worker.runs.values())
    return worker.entry.capacity.cores_milli / 1000 - used


def placer_name(step: StepSpec) -> str:
    """Returns the name of the placer for a step."""
    if step.fills:
        return "filling"
    return "serving" if step.long_running else "plain"


Placer = Callable[
    [Task, StepSpec, list[Candidate], tuple[str, int, int]], Candidate | None
]
PLACERS: Registry[Placer] = Registry("placer")


def _allowed(
    task: Task,
    step: StepSpec,
    candidates: list[Candidate],
    step_key: tuple[str, int, int],
) -> list[Candidate]:
    """Returns the workers that a task may go to.

    Avoids, if there are others, the worker where the task failed last and, once
    it has failed, all workers with recent failures.
    """
    allowed = [c for c in candidates if c.allows(step, step_key)]
    others = [
        c
        for c in allowed
        if c.worker.id != task.failed_on
        and not (task.failure_count and c.worker.failures)
    ]
    return others or allowed


@PLACERS.register("plain")
def place_plain(
    task: Task,
    step: StepSpec,
    candidates: list[Candidate],
    step_key: tuple[str, int, int],
) -> Candidate | None:
    """Prefers the rack that holds the data, then the most free cores."""
    return max(
        _allowed(task, step, candidates, step_key),
        key=lambda c: (
            bool(step.data_rack) and c.entry.rack == step.data_rack,
            c.free_resources.cores_milli,
        ),
        default=None,
    )


@PLACERS.register("serving")
def place_serving(
    task: Task,
    step: StepSpec,
    candidates: list[Candidate],
    step_key: tuple[str, int, int],
) -> Candidate | None:
    """Packs the tasks of one job, then all serving tasks, onto few workers.

    The lowest headroom on a worker limits the best-effort tasks there. Tasks of
    one job have the same load at the same time, tasks of several jobs do not,
    and workers without serving tasks set no limit.
    """
    return max(
        _allowed(task, step, candidates, step_key),
        key=lambda c: (
            sum(run.task.job == task.key.job for run in c.worker.runs.values()),
            bool(serving_runs(c.worker)),
            c.free_resources.cores_milli,
        ),
        default=None,
    )


@PLACERS.register("filling")
def place_best_effort(
    task: Task,
    step: StepSpec,
    candidates: list[Candidate],
    step_key: tuple[str, int, int],
) -> Candidate | None:
    """Prefers the worker where the image interferes least.

    The interference is relative to that of other images on the same worker; see
    `Candidate.excess_interference`. Ties go to the worker with the most
    headroom, then to the one with the most idle cores.
    """
    cores = step.need.cores_milli / 1000
    best, best_key = None, None
    for candidate in _allowed(task, step, candidates, step_key):
        if candidate.idle_cores < cores:
            continue
        headroom = candidate.headroom_with(step.image, cores)
        if headroom < MIN_PLACEMENT_HEADROOM:
            continue
        key = (
            round(candidate.excess_interference(step.image, cores), 1),
            -headroom,
            -candidate.idle_cores,
        )
        if best_key is None or key < best_key:
            best, best_key = candidate, key
    return best
