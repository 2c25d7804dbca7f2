"""The views that placement decides on, and the interface of a policy."""

import dataclasses
import random
from collections.abc import Sequence
from typing import Protocol

from limpetyard._registry import Registry
from limpetyard.cell import ResourceVector


@dataclasses.dataclass(slots=True)
class TaskView:
    """A task that waits for a placement, or runs on a worker.

    Attributes:
        id: Id of the task.
        job: Id of its job.
        partner: Whom it runs for.
        class_name: Its class.
        latency_critical: Whether it goes before batch work.
        size: What has to be set aside for it.
    """

    id: str
    job: str
    partner: str
    class_name: str
    latency_critical: bool
    size: ResourceVector


@dataclasses.dataclass(slots=True)
class WorkerView:
    """A worker as placement sees it.

    Attributes:
        id: Id of the worker VM.
        availability_zone: Where it stands.
        rack: Its rack.
        capacity: All that it has.
        free: What is not set aside.
        throttled: Number of its tasks that are throttled.
        accepts_batch: Whether batch work may be placed there now.
        tasks: Everything that is set down on it.
        classes: Number of these tasks by class and urgency.
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
        """Sets a task down on the worker."""
        self.tasks.append(task)
        self.free = self.free.minus(task.size)
        key = (task.class_name, task.latency_critical)
        self.classes[key] = self.classes.get(key, 0) + 1

    def remove(self, task: TaskView) -> None:
        """Takes a task off the worker."""
        self.tasks.remove(task)
        self.free = self.free.plus(task.size)
        self.classes[(task.class_name, task.latency_critical)] -= 1

    def admits(self, task: TaskView) -> bool:
        """Returns whether the task may be placed there and has room."""
        allowed = self.accepts_batch or task.latency_critical
        return allowed and self.free.holds(task.size)

    def load(self) -> float:
        """Returns the largest used fraction over the resources."""
        return max(
            _used(self.capacity.cores, self.free.cores),
            _used(self.capacity.memory_mb, self.free.memory_mb),
            _used(self.capacity.accelerators, self.free.accelerators),
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """A worker for a task and why it was chosen."""

    worker: WorkerView
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class RateSample:
    """How fast one task ran among others on one worker.

    Attributes:
        class_name: Class of the task.
        latency_critical: Whether the task is latency-critical.
        neighbours: Classes and numbers of the tasks beside it at that time;
            a throttled one counts as the fraction of its speed.
        rate: Progress against an idle worker, above 0, about 1 at best.
        at_ms: When this was so.
        capacity: All that the worker has.
    """

    class_name: str
    latency_critical: bool
    neighbours: tuple[tuple[str, float], ...]
    rate: float
    at_ms: float
    capacity: ResourceVector


class PlacementPolicy(Protocol):
    """Chooses among workers that have room."""

    def choose(
        self, task: TaskView, workers: Sequence[WorkerView]
    ) -> Choice | None:
        """Returns a worker for `task`, or None to let it wait.

        Args:
            task: The task.
            workers: Workers that have room for it, at least one.
        """

    def learn(self, sample: RateSample) -> None:
        """Takes in one measurement."""

    def slowdown(self, victims: Sequence[str], class_name: str) -> float:
        """Returns what a task adds to the slowdown of others.

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
        name: Name in `POLICIES`.
        seed: Seed of its random choices.
    """
    return POLICIES.get(name)(random.Random(seed))
