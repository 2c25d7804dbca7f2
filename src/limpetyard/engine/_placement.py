"""Chooses the worker of one task, by the kind of its step."""

from collections.abc import Callable

from limpetyard._registry import Registry
from limpetyard.engine._interference import AT_TARGET, TailModel
from limpetyard.engine._worker import Worker, WorkerRun
from limpetyard.jobs import Resources, StepSpec, Task

# Part of their cores that tasks which serve keep busy, as long as nothing
# better is known: their load swings around less than half.
SERVING_USE = 0.5

# A filling task is placed only where every tail beside it is expected to keep
# this headroom, so that it is not slowed down at once.
PLACE_ABOVE = 1.2 * AT_TARGET


class Candidate:
    """A worker during one round of placing.

    Attributes:
        worker: The worker.
        room: What is not set aside.
        idle_cores: Cores expected to be left for one more filling task.
    """

    __slots__ = (
        "_fills",
        "_lowest",
        "_now_ms",
        "_tails",
        "_tried",
        "idle_cores",
        "room",
        "worker",
    )

    def __init__(self, worker: Worker, tails: TailModel, now_ms: float):
        self.worker = worker
        self._now_ms = now_ms
        self._lowest: list[tuple[str, float]] | None = None
        self.room = worker.room()
        self._tails = tails
        self._fills = filling_cores(worker)
        self._tried = False
        self.idle_cores = _idle_cores(worker)

    @property
    def entry(self):
        """What the worker says of itself."""
        return self.worker.entry

    def take(self, run: WorkerRun) -> None:
        """Sets a run's need aside; one is all a worker on probation gets."""
        self._tried = self.worker.on_probation
        need = run.step.reserved
        self.room = Resources(
            self.room.cores_milli - need.cores_milli,
            self.room.memory_mb - need.memory_mb,
            self.room.accelerators - need.accelerators,
        )
        self.idle_cores -= _used_cores(run)
        self._lowest = None
        if run.step.fills:
            added = self._fills.get(run.step.image, 0.0)
            self._fills[run.step.image] = added + _used_cores(run)

    def fits_times(self, step: StepSpec, count: int) -> bool:
        """Returns whether `count` tasks of a step fit."""
        need = step.reserved
        return Resources(
            need.cores_milli * count,
            need.memory_mb * count,
            need.accelerators * count,
        ).fits(self.room)

    def allows(self, step: StepSpec, place: tuple[str, int, int]) -> bool:
        """Returns whether one more task of a step may be placed."""
        if self._tried or not step.reserved.fits(self.room):
            return False
        limit = step.per_worker
        return not limit or self.worker.count_of(*place) < limit

    def headroom_with(self, image: str, cores: float) -> float:
        """Returns the lowest headroom of a tail here.

        Args:
            image: Image of a filling task to be added.
            cores: Cores that it would use.
        """
        return min(
            (
                level - self._tails.weight(serving, image) * cores
                for serving, level in self._headrooms()
            ),
            default=float("inf"),
        )

    def advantage(self, image: str, cores: float) -> float:
        """Returns how much less an image presses here than others do."""
        return max(
            (
                (self._tails.weight(s, image) - self._tails.mean_weight(s))
                * cores
                for s, _ in self._headrooms()
            ),
            default=0.0,
        )

    def _headrooms(self) -> list[tuple[str, float]]:
        """Lowest headroom of each serving image with what fills here."""
        if self._lowest is None:
            lowest: dict[str, float] = {}
            for run in serving_runs(self.worker):
                image = run.step.image
                level = self._tails.level_ahead(run.task.job, self._now_ms)
                level -= sum(
                    self._tails.weight(image, other) * used
                    for other, used in self._fills.items()
                )
                lowest[image] = min(level, lowest.get(image, level))
            self._lowest = list(lowest.items())
        return self._lowest


def serving_runs(worker: Worker) -> list[WorkerRun]:
    """Returns the runs of a worker whose tails have targets."""
    return [run for run in worker.runs.values() if run.step.target_ms]


def filling_cores(worker: Worker) -> dict[str, float]:
    """Returns the cores that filling tasks use or may use, by image."""
    cores: dict[str, float] = {}
    for run in worker.runs.values():
        if run.step.fills:
            used = cores.get(run.step.image, 0.0)
            cores[run.step.image] = used + _used_cores(run)
    return cores


def _used_cores(run: WorkerRun) -> float:
    cores = run.step.need.cores_milli / 1000
    if run.step.target_ms:
        return cores * SERVING_USE
    if run.step.fills:
        return cores * run.wanted_percent / 100
    return cores


def _idle_cores(worker: Worker) -> float:
    used = sum(_used_cores(run) for run in worker.runs.values())
    return worker.entry.capacity.cores_milli / 1000 - used


def kind_of(step: StepSpec) -> str:
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
    place: tuple[str, int, int],
) -> list[Candidate]:
    """Returns where a task may go, off the worker that failed it last."""
    allowed = [c for c in candidates if c.allows(step, place)]
    others = [
        c
        for c in allowed
        if c.worker.id != task.failed_on
        and not (task.failed and c.worker.failures)
    ]
    return others or allowed


@PLACERS.register("plain")
def place_plain(
    task: Task,
    step: StepSpec,
    candidates: list[Candidate],
    place: tuple[str, int, int],
) -> Candidate | None:
    """Chooses the data's rack first, then the most free cores."""
    return max(
        _allowed(task, step, candidates, place),
        key=lambda c: (
            bool(step.data_rack) and c.entry.rack == step.data_rack,
            c.room.cores_milli,
        ),
        default=None,
    )


@PLACERS.register("serving")
def place_serving(
    task: Task,
    step: StepSpec,
    candidates: list[Candidate],
    place: tuple[str, int, int],
) -> Candidate | None:
    """Gathers tasks of one job, then all that serve, on few workers.

    What fills beside them is bound by the least headroom there. Tasks of one
    job have the same load at the same time, those of several have not; and
    workers without any bind nothing.
    """
    return max(
        _allowed(task, step, candidates, place),
        key=lambda c: (
            sum(run.task.job == task.key.job for run in c.worker.runs.values()),
            bool(serving_runs(c.worker)),
            c.room.cores_milli,
        ),
        default=None,
    )


@PLACERS.register("filling")
def place_filling(
    task: Task,
    step: StepSpec,
    candidates: list[Candidate],
    place: tuple[str, int, int],
) -> Candidate | None:
    """Chooses where the image presses least, against what others would."""
    cores = step.need.cores_milli / 1000
    best, best_key = None, None
    for candidate in _allowed(task, step, candidates, place):
        if candidate.idle_cores < cores:
            continue
        headroom = candidate.headroom_with(step.image, cores)
        if headroom < PLACE_ABOVE:
            continue
        key = (
            round(candidate.advantage(step.image, cores), 1),
            -headroom,
            -candidate.idle_cores,
        )
        if best_key is None or key < best_key:
            best, best_key = candidate, key
    return best
