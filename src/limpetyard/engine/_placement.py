"""Placers, which choose the worker of a task by the kind of its step.

Steps are of three kinds. Serving steps run until their job is cancelled, and
may have a target for their tail latency. Best-effort steps, whose placer is
registered as "filling", use only cores that others leave idle. All others are
"plain".

The headroom of a serving task is its target divided by its tail latency; see
`limpetyard.engine._interference`.
"""

from limpetyard._registry import Registry
from limpetyard.engine._interference import (
    HEADROOM_AT_TARGET,
    InterferenceModel,
)
from limpetyard.engine._ranking import Score
from limpetyard.engine._reserve import is_short
from limpetyard.engine._trials import trial_cores
from limpetyard.engine._worker import (
    INITIAL_TRIAL_BACKOFF_MS,
    Worker,
    WorkerRun,
)
from limpetyard.jobs import Resources, StepSpec

# Assumed share of their cores that serving tasks use, since no better estimate
# exists: their load varies around a mean of less than half.
SERVING_CPU_USE = 0.5

# A best-effort task is placed only where every serving task is expected to keep
# this headroom, so that the new task need not be slowed at once.
MIN_PLACEMENT_HEADROOM = 1.2 * HEADROOM_AT_TARGET


class WorkerLoad:
    """What the runs on a worker use, as long as `is_current`.

    Attributes:
        free_resources: Resources that are not reserved.
        idle_cores: Cores expected to be idle and thus free for best-effort
            tasks.
        best_effort_cores: Cores expected to be used by best-effort tasks, by
            image.
        best_effort_runs: Runs of best-effort tasks.
        short_cores: Cores reserved by tasks that end.
        serving_images: Distinct job and image of the runs with a latency
            target.
    """

    __slots__ = (
        "_capacity",
        "_run_counts",
        "_runs",
        "_speeds",
        "best_effort_cores",
        "best_effort_runs",
        "free_resources",
        "idle_cores",
        "serving_images",
        "short_cores",
    )

    def __init__(self, worker: Worker):
        self._capacity = worker.entry.capacity
        self._runs = list(worker.runs.values())
        self._run_counts: dict[str | tuple, int] | None = None
        self.free_resources = worker.free_resources()
        self.idle_cores = self._capacity.cores_milli / 1000 - sum(
            map(_used_cores, self._runs)
        )
        self.best_effort_cores = best_effort_cores(worker)
        self.best_effort_runs = [run for run in self._runs if run.step.fills]
        self.short_cores = sum(
            run.step.need.cores_milli / 1000
            for run in self._runs
            if is_short(run.step)
        )
        self._speeds = [run.speed_percent for run in self.best_effort_runs]
        self.serving_images = list(
            dict.fromkeys(
                (run.task.job, run.step.image) for run in serving_runs(worker)
            )
        )

    def is_current(self, worker: Worker) -> bool:
        """Returns whether the worker's runs, speeds and size are the same."""
        return (
            self._runs == list(worker.runs.values())
            and self._speeds
            == [run.speed_percent for run in self.best_effort_runs]
            and self._capacity == worker.entry.capacity
        )

    def count_runs(self, owner: str | tuple[str, int, int]) -> int:
        """Returns how many runs of a job or step there are.

        Args:
            owner: Id of the job, or job, occurrence and number of the step.
        """
        if self._run_counts is None:
            counts: dict[str | tuple, int] = {}
            for run in self._runs:
                for key in (run.task.job, run.task[:3]):
                    counts[key] = counts.get(key, 0) + 1
            self._run_counts = counts
        return self._run_counts.get(owner, 0)


def worker_load(worker: Worker) -> WorkerLoad:
    """Returns the current load of a worker.

    A round looks at every worker, most of which have not changed since the
    round before.
    """
    load = worker.latest_load
    if load is None or not load.is_current(worker):
        load = worker.latest_load = WorkerLoad(worker)
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
        self.idle_cores -= _used_cores(run)
        self._headroom_cache = None
        self._load = None
        if run.step.fills:
            image, used = run.step.image, _used_cores(run)
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
                run.over_since_ms is not None
                for run in serving_runs(self.worker)
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


def placer_name(step: StepSpec) -> str:
    """Returns the name of the placer for a step."""
    if step.fills:
        return "filling"
    return "serving" if step.long_running else "plain"


class Placer:
    """Chooses the worker of a task by a score of each worker.

    Attributes:
        score: The score.
    """

    __slots__ = ("score",)

    def __init__(self, score: Score):
        self.score = score


PLACERS: Registry[Placer] = Registry("placer")


@PLACERS.register("plain")
@Placer
def place_plain(
    candidate: Candidate, step: StepSpec, step_key: tuple[str, int, int]
) -> tuple | None:
    """Prefers the rack that holds the data, then the most free cores."""
    has_data = bool(step.data_rack) and candidate.entry.rack == step.data_rack
    return (not has_data, -candidate.free_resources.cores_milli)


@PLACERS.register("serving")
@Placer
def place_serving(
    candidate: Candidate, step: StepSpec, step_key: tuple[str, int, int]
) -> tuple | None:
    """Packs the tasks of one job, then all serving tasks, onto few workers.

    The lowest headroom on a worker limits the best-effort tasks there. Tasks of
    one job have the same load at the same time, tasks of several jobs do not,
    and workers without serving tasks set no limit.
    """
    return (
        -candidate.count_runs(step_key[0]),
        not candidate.has_serving_runs(),
        -candidate.free_resources.cores_milli,
    )


@PLACERS.register("filling")
@Placer
def place_best_effort(
    candidate: Candidate, step: StepSpec, step_key: tuple[str, int, int]
) -> tuple | None:
    """Prefers the worker where the image interferes least.

    The interference is relative to that of other images on the same worker; see
    `Candidate.excess_interference`. Ties go to the worker with the most
    headroom, then to the one with the most idle cores. A worker whose serving
    tasks are over their targets gets none, as it would soon have to be slowed.
    """
    if candidate.lacks_idle_cores(step) or candidate.is_strained():
        return None
    cores = step.need.cores_milli / 1000
    headroom = candidate.headroom_with(step.image, cores)
    if headroom < MIN_PLACEMENT_HEADROOM:
        return None
    return (
        round(candidate.excess_interference(step.image, cores), 1),
        -headroom,
        -candidate.idle_cores,
    )
