"""What the runs on a worker use, and what they leave."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from limpetyard.jobs import Resources, StepSpec, TaskKey

# Assumed share of their cores that serving tasks use, since no better estimate
# exists: their load varies around a mean of less than half.
SERVING_CPU_USE = 0.5


class LoadedRun(Protocol):
    """What the load of a worker depends on, of a run.

    Attributes:
        task: Key of the task.
        step: Specification of its step.
        speed_percent: Speed that the run was given.
    """

    task: TaskKey
    step: StepSpec
    speed_percent: int


_RunT = TypeVar("_RunT", bound=LoadedRun)


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

    def __init__(
        self, capacity: Resources, free: Resources, runs: list[LoadedRun]
    ):
        """Initializes the load of a worker.

        Args:
            capacity: Size of the worker.
            free: Resources that are not reserved.
            runs: Runs on the worker.
        """
        self._capacity = capacity
        self._runs = runs
        self._run_counts: dict[str | tuple, int] | None = None
        self.free_resources = free
        self.idle_cores = capacity.cores_milli / 1000 - sum(
            map(used_cores, runs)
        )
        self.best_effort_cores = best_effort_cores(runs)
        self.best_effort_runs = [run for run in runs if run.step.fills]
        self.short_cores = sum(
            run.step.need.cores_milli / 1000
            for run in runs
            if is_short(run.step)
        )
        self._speeds = [run.speed_percent for run in self.best_effort_runs]
        self.serving_images = list(
            dict.fromkeys(
                (run.task.job, run.step.image) for run in serving_runs(runs)
            )
        )

    def is_current(self, capacity: Resources, runs: list[LoadedRun]) -> bool:
        """Returns whether the worker's runs, speeds and size are the same."""
        return (
            self._runs == runs
            and self._speeds
            == [run.speed_percent for run in self.best_effort_runs]
            and self._capacity == capacity
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


def serving_runs(runs: Iterable[_RunT]) -> list[_RunT]:
    """Returns the runs whose step has a latency target."""
    return [run for run in runs if run.step.target_ms]


def best_effort_cores(runs: Iterable[LoadedRun]) -> dict[str, float]:
    """Returns the cores expected to be used by best-effort tasks, by image."""
    cores: dict[str, float] = {}
    for run in runs:
        if run.step.fills:
            used = cores.get(run.step.image, 0.0)
            cores[run.step.image] = used + used_cores(run)
    return cores


def used_cores(run: LoadedRun) -> float:
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


def is_short(step: StepSpec) -> bool:
    """Returns whether the tasks of a step end and need cores of their own."""
    return not step.long_running and not step.fills
