"""A job on its way, and its tasks."""

from collections.abc import Iterator
from typing import NamedTuple

from limpetyard._chart import Chart
from limpetyard.jobs._spec import JobSpec, StepSpec

JOB_CHART = Chart.load("step_job")
TASK_CHART = Chart.load("step_task")
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


class TaskKey(NamedTuple):
    """Names one task.

    Attributes:
        job: Id of its job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        index: Number in the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> str:
        """The key as logs have it."""
        return ".".join(map(str, self))


class Task:
    """One task and what is known of its runs.

    Attributes:
        key: Its name.
        step: What it was asked for.
        state: State in the task chart.
        run: Number of its newest run; 0 before the first.
        ended: Numbers of the runs whose ends are taken in.
        failed: Failed runs.
        failed_on: Worker of the last failed run, or "".
        checkpoint: Progress to resume from, or "".
        worker: Worker of its newest run while it is placed, or "".
        unsure: Whether a run of an earlier owner may still be somewhere.
        idle_since_ms: When it last stopped running; None before it is ready.
        retry_at_ms: Not started before this.
    """

    __slots__ = (
        "checkpoint",
        "ended",
        "failed",
        "failed_on",
        "idle_since_ms",
        "key",
        "retry_at_ms",
        "run",
        "state",
        "step",
        "unsure",
        "worker",
    )

    def __init__(self, key: TaskKey, step: StepSpec):
        self.key = key
        self.step = step
        self.state = TASK_CHART.initial
        self.run = 0
        self.ended: set[int] = set()
        self.failed = 0
        self.failed_on = ""
        self.checkpoint = ""
        self.worker = ""
        self.unsure = False
        self.idle_since_ms: float | None = None
        self.retry_at_ms = 0.0

    def fire(self, event: str) -> None:
        """Moves along `event` in the task chart."""
        self.state = TASK_CHART.next(self.state, event)


class Job:
    """A job and its tasks.

    Attributes:
        spec: As it was accepted.
        state: State in the job chart.
        stored_state: Newest state that is stored, or implied by a stored one.
        tasks: All tasks of the occurrences that have become due.
        seen_ms: When this process first read of it, on its clock.
        begun_ms: When its first task ran, or None; for jobs that an earlier
            owner began, when they were read.
        ended_ms: When it reached a final state.
        dirty: Whether something of it is not stored yet.
        inherited: Whether an earlier owner may have started its tasks, also
            those of occurrences that it alone found due.
    """

    __slots__ = (
        "_remaining",
        "begun_ms",
        "dirty",
        "due",
        "inherited",
        "ended_ms",
        "seen_ms",
        "stored_state",
        "spec",
        "state",
        "tasks",
    )

    def __init__(self, spec: JobSpec, seen_ms: float):
        self.spec = spec
        self.state = JOB_CHART.initial
        self.stored_state = JOB_CHART.initial
        self.tasks: dict[tuple[int, int, int], Task] = {}
        self.due = 0
        self.seen_ms = seen_ms
        self.begun_ms: float | None = None
        self.ended_ms: float | None = None
        self.dirty = False
        self.inherited = False
        self._remaining: dict[tuple[int, int], int] = {}
        if not spec.timed:
            self.make_due(spec.occurrences)

    @property
    def over(self) -> bool:
        """Whether the state is final."""
        return self.state in FINAL_STATES

    def make_due(self, occurrences: int) -> None:
        """Creates the tasks of the first `occurrences` occurrences."""
        for occurrence in range(self.due, occurrences):
            for number, step in enumerate(self.spec.steps):
                self._remaining[occurrence, number] = step.count
                for index in range(step.count):
                    key = TaskKey(self.spec.id, occurrence, number, index)
                    task = Task(key, step)
                    task.unsure = self.inherited
                    self.tasks[occurrence, number, index] = task
        self.due = max(self.due, occurrences)

    def due_at_ms(self, occurrence: int) -> float:
        """Returns the time of day at which an occurrence is due."""
        spec = self.spec
        return spec.first_due_ms + occurrence * spec.interval_ms

    def task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Returns a task, or None if the job has no such task."""
        return self.tasks.get((occurrence, step, index))

    def mark_inherited(self) -> None:
        """Notes that an earlier owner may have started any of its tasks."""
        self.inherited = True
        for task in self.tasks.values():
            task.unsure = True

    def step_tasks(self, occurrence: int, step: int) -> Iterator[Task]:
        """Yields the tasks of one step of one occurrence."""
        for index in range(self.spec.steps[step].count):
            yield self.tasks[occurrence, step, index]

    def step_open(self, occurrence: int, step: int) -> int:
        """Returns how many tasks of a step are not done."""
        return self._remaining.get((occurrence, step), 1)

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Returns whether all steps before are done."""
        if (occurrence, step) not in self._remaining:
            return False
        return all(
            self._remaining[occurrence, before] == 0
            for before in self.spec.steps[step].after
        )

    def open_steps(self) -> Iterator[tuple[int, int]]:
        """Yields the steps that may run now and are not done."""
        for (occurrence, step), remaining in self._remaining.items():
            if remaining and self.step_ready(occurrence, step):
                yield occurrence, step

    def finish(self, task: Task) -> None:
        """Notes that a task is done."""
        if task.state == "done":
            return
        task.fire("finish")
        task.worker = ""
        _, occurrence, step, _ = task.key
        self._remaining[occurrence, step] -= 1
        self.dirty = True

    @property
    def all_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        return self.due == self.spec.occurrences and not any(
            self._remaining.values()
        )

    def begin(self) -> None:
        """Notes that a task of the job was started."""
        if not self.over:
            self.state = JOB_CHART.next(self.state, "begin")

    def end(self, event: str, now_ms: float) -> None:
        """Moves the job to a final state."""
        self.state = JOB_CHART.next(self.state, event)
        self.ended_ms = now_ms
        self.dirty = True
