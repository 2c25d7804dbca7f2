"""A worker as one round of placement sees it."""

from collections.abc import Callable

from limpetyard.engine._interference import InterferenceModel
from limpetyard.engine._load import WorkerLoad, serving_runs, used_cores
from limpetyard.engine._trials import trial_cores
from limpetyard.engine._worker import (
    INITIAL_TRIAL_BACKOFF_MS,
    Worker,
    WorkerRun,
)
from limpetyard.jobs import Resources, StepSpec


def worker_load(worker: Worker) -> WorkerLoad:
    """Returns the current load of a worker.

    A round looks at every worker, most of which have not changed since the
    round before.
    """
    load, capacity = worker.latest_load, worker.entry.capacity
    runs = list(worker.runs.values())
    if load is None or not load.is_current(capacity, runs):
        load = WorkerLoad(capacity, worker.free_resources(), runs)
        worker.latest_load = load
    return load


class Candidate:
    """A worker during one round of placement.

    Attributes:
        worker: The worker.
        free_resources: Resources that are not reserved.
        idle_cores: Cores expected to be idle and thus free for best-effort
            tasks.
        short_cores: Cores reserved by tasks that end, when the round began.
    """

    __slots__ = (
        "_best_effort_cores",
        "_has_probe",
        "_headroom_cache",
        "_interference",
        "_is_strained",
        "_load",
        "_now_ms",
        "free_resources",
        "idle_cores",
        "short_cores",
        "worker",
    )

    def __init__(
        self, worker: Worker, interference: InterferenceModel, now_ms: float
    ):
        self.worker = worker
        self._now_ms = now_ms
        self._headroom_cache: list[tuple[str, float]] | None = None
        self._interference = interference
        self._has_probe = False
        self._is_strained: bool | None = None
        load = worker_load(worker)
        # None after a reservation, since the worker may have got the run.
        self._load: WorkerLoad | None = load
        self.free_resources = load.free_resources
        self.idle_cores = load.idle_cores
        self.short_cores = load.short_cores
        self._best_effort_cores = load.best_effort_cores

    @property
    def entry(self):
        """Directory entry of the worker."""
        return self.worker.entry

    def reserve(self, run: WorkerRun) -> None:
        """Reserves resources for a run.

        For a worker on probation, the run is the probe, and the worker accepts
        no further run in this round; nor does it after a run of a suspect.
        """
        worker = self.worker
        if worker.on_probation or run is worker.isolated_run:
            self._has_probe = True
        need = run.step.reserved
        self.free_resources = Resources(
            self.free_resources.cores_milli - need.cores_milli,
            self.free_resources.memory_mb - need.memory_mb,
            self.free_resources.accelerators - need.accelerators,
        )
        self.idle_cores -= used_cores(run)
        self._headroom_cache = None
        self._load = None
        if run.step.fills:
            image, used = run.step.image, used_cores(run)
            used += self._best_effort_cores.get(image, 0.0)
            self._best_effort_cores = {**self._best_effort_cores, image: used}

    def fits_times(self, step: StepSpec, count: int) -> bool:
        """Returns whether `count` tasks of a step fit.

        Always false if the worker is on probation and has received its probe,
        or has received a suspect.
        """
        need = step.reserved
        return not self._has_probe and Resources(
            need.cores_milli * count,
            need.memory_mb * count,
            need.accelerators * count,
        ).fits(self.free_resources)

    def allows(self, step: StepSpec, step_key: tuple[str, int, int]) -> bool:
        """Returns whether one more task of a step may be placed."""
        if not self.has_room(step):
            return False
        limit = step.per_worker
        return not limit or self.count_runs(step_key) < limit

    def has_room(self, step: StepSpec) -> bool:
        """Returns whether the worker has resources for a task of a step.

        Always false if the worker is on probation and has received its probe,
        or has received a suspect.
        """
        need, free = step.need, self.free_resources
        return (
            not self._has_probe
            and (0 if step.fills else need.cores_milli) <= free.cores_milli
            and need.memory_mb <= free.memory_mb
            and need.accelerators <= free.accelerators
        )

    def lacks_idle_cores(self, step: StepSpec) -> bool:
        """Returns whether a task would use more than the idle cores."""
        return self.idle_cores < step.need.cores_milli / 1000

    def count_runs(self, owner: str | tuple[str, int, int]) -> int:
        """Returns how many runs of a job or step may exist on the worker.

        Args:
            owner: Id of the job, or job, occurrence and number of the step.
        """
        return self._current_load().count_runs(owner)

    def is_strained(self) -> bool:
        """Returns whether a serving run here is over its latency target."""
        if self._is_strained is None:
            self._is_strained = any(
                run.strain is not None
                for run in serving_runs(self.worker.runs.values())
            )
        return self._is_strained

    def is_open_to_trials(self) -> bool:
        """Returns whether a trial may start here, if there is room.

        Where a serving task is over its target, only after a time without
        best-effort tasks, so that these cannot be the cause.
        """
        worker = self.worker
        if worker.has_trial or self._now_ms < worker.trial_backoff_until_ms:
            return False
        return not self.is_strained() or (
            worker.best_effort_seen_ms is not None
            and self._now_ms - worker.best_effort_seen_ms
            >= INITIAL_TRIAL_BACKOFF_MS
        )

    def accepts_trial(self, step: StepSpec) -> bool:
        """Returns whether a trial of a step may start here."""
        return self.is_open_to_trials() and self.idle_cores >= trial_cores(step)

    def has_serving_runs(self) -> bool:
        """Returns whether a run here has a latency target."""
        return bool(self._current_load().serving_images)

    def _current_load(self) -> WorkerLoad:
        if self._load is None:
            self._load = worker_load(self.worker)
        return self._load

    def headroom_with(self, image: str, cores: float) -> float:
        """Returns the lowest headroom here with one more best-effort task.

        Args:
            image: Image of the task to be added.
            cores: Cores that it would use.
        """
        lowest = float("inf")
        for serving, headroom in self._lowest_headrooms():
            weight = self._interference.weight(serving, image)
            lowest = min(lowest, headroom - weight * cores)
        return lowest

    def excess_interference(self, image: str, cores: float) -> float:
        """Returns how much more an image interferes here than the mean image.

        Args:
            image: Image of the best-effort task.
            cores: Cores that it would use.

        Returns:
            Extra loss of headroom, highest over the serving images here;
            negative if the image interferes less than others do.
        """
        model = self._interference
        excesses = [
            (model.weight(s, image) - model.mean_weight(s)) * cores
            for s, _ in self._lowest_headrooms()
        ]
        return max(excesses, default=0.0)

    def _lowest_headrooms(self) -> list[tuple[str, float]]:
        """Returns the lowest predicted headroom of each serving image here.

        Only runs with a latency target count; see `serving_runs`.
        """
        if self._headroom_cache is None:
            model = self._interference
            lowest: dict[str, float] = {}
            losses: dict[str, float] = {}
            for job, image in self._current_load().serving_images:
                if image not in losses:
                    losses[image] = sum(
                        model.weight(image, other) * used
                        for other, used in self._best_effort_cores.items()
                    )
                headroom = model.predicted_baseline(job, self._now_ms)
                headroom -= losses[image]
                lowest[image] = min(headroom, lowest.get(image, headroom))
            self._headroom_cache = list(lowest.items())
        return self._headroom_cache


# Returns the sort key of a worker for one more task of a step, lowest first, or
# None if the worker is not suitable.
Score = Callable[[Candidate, StepSpec, tuple[str, int, int]], tuple | None]
