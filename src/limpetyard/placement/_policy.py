"""Input views of placement and the interface of a placement policy."""

import dataclasses
import random
from collections.abc import Sequence
from typing import Protocol

from limpetyard._registry import Registry
from limpetyard.cell import ResourceVector


@dataclasses.dataclass(slots=True)
class TaskView:
    """A task that is queued or placed on a worker.

    Attributes:
        id: Id of the task.
        job: Id of its job.
        partner: Customer that it runs for.
        class_name: Its class.
        latency_critical: Whether it has priority over batch tasks.
        size: Resources to reserve for it.
    """

    id: str
    job: str
    partner: str
    class_name: str
    latency_critical: bool
    size: ResourceVector


@dataclasses.dataclass(slots=True)
class WorkerView:
    """A worker's capacity and its placed tasks.

    Attributes:
        id: Id of the worker VM.
        availability_zone: Its availability zone.
        rack: Its rack.
        capacity: Its total resources.
        free: Resources that are not reserved.
        throttled: Number of its tasks that are throttled.
        accepts_batch: Whether batch tasks may be placed there now.
        tasks: All tasks that are placed on it.
        classes: Number of these tasks by class and whether they are
            latency-critical.
    """

    id: str
    availability_zone: str
    rack: str
    capacity: ResourceVector
    free: ResourceVector
    throttled: int = 0
    accepts_batch: bool = True
    tasks: list[TaskView] = dataclasses.field(default_factory=list)
    classes: dict[tuple[str, bool], int] = dataclasses.field(
        default_factory=dict
    )

    def add(self, task: TaskView) -> None:
        """Places a task on the worker and reserves its resources."""
        self.tasks.append(task)
        self.free = self.free.minus(task.size)
        key = (task.class_name, task.latency_critical)
        self.classes[key] = self.classes.get(key, 0) + 1

    def remove(self, task: TaskView) -> None:
        """Removes a task and frees its resources."""
        self.tasks.remove(task)
        self.free = self.free.plus(task.size)
        self.classes[(task.class_name, task.latency_critical)] -= 1

    def admits(self, task: TaskView) -> bool:
        """Returns whether the task may be placed there and fits."""
        allowed = self.accepts_batch or task.latency_critical
        return allowed and self.free.can_fit(task.size)

    def load(self) -> float:
        """Returns the largest used fraction over the resources."""
        return max(
            _used(self.capacity.cores, self.free.cores),
            _used(self.capacity.memory_mb, self.free.memory_mb),
            _used(self.capacity.accelerators, self.free.accelerators),
        )


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerChoice:
    """A worker that was chosen for a task, and the reason."""

    worker: WorkerView
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class RateSample:
    """Measured rate of one task beside others on one worker.

    Attributes:
        class_name: Class of the task.
        latency_critical: Whether the task is latency-critical.
        neighbours: Classes and counts of the tasks beside it at that time;
            a throttled task counts as the fraction of its speed.
        rate: Progress relative to an idle worker, above 0 and at best
            about 1.
        at_ms: Time of the measurement.
        capacity: Total resources of the worker.
    """

    class_name: str
    latency_critical: bool
    neighbours: tuple[tuple[str, float], ...]
    rate: float
    at_ms: float
    capacity: ResourceVector


class PlacementPolicy(Protocol):
    """Chooses a worker for each task, among those that have room."""

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> WorkerChoice | None:
        """Returns a worker for `task`, or None to leave it queued.

        Args:
            task: The task.
            workers: Workers that have room for it, at least one.
        """

    def learn(self, sample: RateSample) -> None:
        """Updates the policy from one measurement."""

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns the slowdown that a task adds to others, in total.

        Args:
            victims: Classes of the tasks beside it.
            class_name: Class of the task.
        """


def _used(capacity: float, free: float) -> float:
    return (capacity - free) / capacity if capacity else 0.0


Factory = type[PlacementPolicy]
POLICIES: Registry[Factory] = Registry("placement policy")


def new_policy(name: str, seed: int) -> PlacementPolicy:
    """Returns a new policy.

    Args:
        name: Registered name in `POLICIES`.
        seed: Seed of its random number generator.
    """
    return POLICIES.get(name)(random.Random(seed))
