"""State of a job and its tasks."""

import math
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from limpetyard._chart import StateChart
from limpetyard.jobs._occurrences import OccurrenceSet
from limpetyard.jobs._spec import JobSpec, StepSpec

JOB_CHART = StateChart.load("step_job")
TASK_CHART = StateChart.load("step_task")
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


class TaskKey(NamedTuple):
    """Key of one task.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        index: Number of the task in the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> str:
        """Name of the task in logs, such as "<job>.0.1.2"."""
        return ".".join(map(str, self))


class StartDoubt(NamedTuple):
    """A start without a reply that a later incarnation may still carry out.

    Attributes:
        worker: Worker to which the start was sent.
        born: Incarnation to which it was sent.
        sent_ms: When it was sent.
    """

    worker: str
    born: int
    sent_ms: float


class AnsweredPlace(NamedTuple):
    """The only incarnation that can have a run of a task, or had one.

    It has begun the latest run, and no start order of the task is left that
    another incarnation of its worker may carry out.

    Attributes:
        worker: Id of the worker.
        born: Incarnation of the worker.
        epoch: Epoch of the owner that knew this first.
        sole: Whether no start order of the task was left for other workers
            either.
    """

    worker: str
    born: int
    epoch: int
    sole: bool = False


class Task:
    """One task and the state of its runs.

    Attributes:
        key: Key of the task.
        step: Specification of the step.
        state: State in the task state machine.
        run: Number of the latest run; 0 before the first.
        ended_runs: Numbers of the runs whose end was processed.
        failure_count: Number of failed runs.
        early_failures: Number of runs of a long-running task that failed soon
            after their start, since the last one that did not.
        rejections: Number of its start orders that were rejected since the
            last one that was not.
        avoided_worker: Worker of the last run that failed, or whose start order
            was rejected or not answered, or "".
        crash_score: Score of the workers that crashed under runs that were not
            proven by then, since a run last was; see
            `limpetyard.engine._crashes`.
        crashed_workers: Those of these workers that this owner has seen.
        crash_counted_run: Latest run under which such a crash was counted.
        begun_run: Latest run that has begun while the task had such crashes.
        isolate_until_ms: Time until which the task, if it has such crashes,
            waits for a worker of its own, or None before it is to be placed.
        stored_worker: Worker of the run that an earlier owner stored if the
            task had such crashes, or ""; until the task is placed, or a crash
            of it is counted or cleared.
        stored_born: Incarnation of that worker.
        checkpoint: Checkpoint to resume from, or "".
        worker: Worker of the latest run while the task is placed, else "".
        worker_born: Incarnation of that worker.
        may_be_running: Whether a run that an earlier owner started may still
            exist on some worker.
        possible_worker: The only worker on which such a run may exist, "" if on
            none, or None if it may exist on any.
        recorded_place: What the store has as `place`, or None while an append
            that changes it is in progress.
        answered: Place of the latest run once that is known to be answered, as
            it is stored; kept while an earlier owner's run may exist. Or None.
        inherited_answer: `answered` of an earlier owner that this owner may
            rely on, until the task is placed, or None.
        earlier_starts_over: Whether it is known that no start order of the task
            by an earlier owner is left.
        unanswered_until_ms: Time until which a start order of this owner that
            got no reply may be carried out, by any incarnation.
        recorded_answers: Workers that the store may have as `answered`. The
            task is not started there, as a later owner would not expect it.
        restarted_worker: Worker that restarted with a run of the task, or "". A
            late order to its earlier incarnation may start that run again until
            the worker is confirmed.
        start_doubt: Latest start that a later incarnation may still carry out,
            or None. Until it is over, the task starts only on the incarnation
            to which that was sent.
        stray_workers: Workers that have reported a run that the task does not
            need. It waits until these runs have ended.
        idle_since_ms: When the task last returned to the waiting state, or
            None.
        ran_ms: When a worker last reported a run of the task that has ended, or
            None if this owner knows of none.
        retry_at_ms: Time before which the task is not started again.
    """

    __slots__ = (
        "_waiting",
        "answered",
        "begun_run",
        "checkpoint",
        "crash_counted_run",
        "crash_score",
        "crashed_workers",
        "earlier_starts_over",
        "early_failures",
        "ended_runs",
        "avoided_worker",
        "failure_count",
        "idle_since_ms",
        "inherited_answer",
        "isolate_until_ms",
        "key",
        "may_be_running",
        "possible_worker",
        "ran_ms",
        "recorded_answers",
        "recorded_place",
        "rejections",
        "restarted_worker",
        "retry_at_ms",
        "run",
        "start_doubt",
        "state",
        "step",
        "stored_born",
        "stored_worker",
        "stray_workers",
        "unanswered_until_ms",
        "worker",
        "worker_born",
    )

    def __init__(
        self,
        key: TaskKey,
        step: StepSpec,
        waiting: "dict[int, Task] | None" = None,
    ):
        """Initializes a task that waits.

        Args:
            key: Key of the task.
            step: Specification of the step.
            waiting: Waiting tasks of the step by index; the task keeps its own
                entry up to date.
        """
        self.key = key
        self.step = step
        self.state = TASK_CHART.initial
        self._waiting = {} if waiting is None else waiting
        self._waiting[key.index] = self
        self.run = 0
        self.ended_runs: set[int] = set()
        self.failure_count = 0
        self.early_failures = 0
        self.rejections = 0
        self.avoided_worker = ""
        self.crash_score = 0
        self.crash_counted_run = 0
        self.begun_run = 0
        self.crashed_workers: list[str] = []
        self.isolate_until_ms: float | None = None
        self.checkpoint = ""
        self.worker = ""
        self.worker_born = 0
        self.stored_worker = ""
        self.stored_born = 0
        self.may_be_running = False
        self.possible_worker: str | None = None
        self.recorded_place: str | None = ""
        self.answered: AnsweredPlace | None = None
        self.inherited_answer: AnsweredPlace | None = None
        self.earlier_starts_over = False
        self.unanswered_until_ms = -math.inf
        self.recorded_answers: frozenset[str] = frozenset()
        self.restarted_worker = ""
        self.start_doubt: StartDoubt | None = None
        self.stray_workers: frozenset[str] = frozenset()
        self.idle_since_ms: float | None = None
        self.ran_ms: float | None = None
        self.retry_at_ms = 0.0

    @property
    def has_failed(self) -> bool:
        """Whether a run of the task has failed."""
        return bool(self.failure_count or self.avoided_worker)

    @property
    def is_restart(self) -> bool:
        """Whether a waiting task has had a run, and none that went wrong.

        One whose runs fail early, crash workers or are rejected is none: it
        must not come before others again and again.
        """
        return self.run > 0 and not (
            self.early_failures or self.rejections or self.crash_score
        )

    @property
    def suspect_place(self) -> tuple[str, int]:
        """Worker and incarnation whose crash would count against the task.

        ("", 0) if the task is no suspect, or if there is none.
        """
        if not self.crash_score:
            return ("", 0)
        has_begun = self.run == self.begun_run
        if self.worker and has_begun and self.run != self.crash_counted_run:
            return (self.worker, self.worker_born)
        if self.stored_worker:
            return (self.stored_worker, self.stored_born)
        return ("", 0)

    @property
    def place(self) -> str:
        """Worker on which runs may exist, or "".

        Kept for long-running tasks only, if the places of the job are known.
        """
        earlier = self.restarted_worker or self.possible_worker
        return self.worker or earlier or ""

    def may_run_on(self, unconfirmed: Mapping[str, int]) -> bool:
        """Returns whether an earlier owner's run may exist on some workers.

        A run that was answered has ended with its incarnation.

        Args:
            unconfirmed: Latest known incarnations, by worker id, of the workers
                on which such runs may exist.
        """
        if not self.may_be_running or not unconfirmed:
            return False
        place = self.inherited_answer
        free = (
            place.worker
            if place is not None
            and unconfirmed.get(place.worker, 0) > place.born
            else None
        )
        if self.possible_worker is None:
            return len(unconfirmed) > (free is not None)
        return (
            self.possible_worker in unconfirmed and self.possible_worker != free
        )

    def put_on(self, worker: str, born: int, run: int) -> None:
        """Records that a waiting task has a run on a worker, and nowhere else.

        Args:
            worker: Id of the worker.
            born: Incarnation of the worker.
            run: Number of the run.
        """
        self.fire("place")
        self.run = run
        self.worker = worker
        self.worker_born = born
        self.stored_worker = ""
        self.may_be_running = False
        self.possible_worker = ""
        self.answered = self.inherited_answer = None

    def fire(self, event: str) -> None:
        """Applies an event of the task state machine."""
        self.state = TASK_CHART.next(self.state, event)
        if self.state == "waiting":
            self._waiting[self.key.index] = self
        else:
            self._waiting.pop(self.key.index, None)


class Job:
    """State of a job and its tasks.

    Times are on this process's clock.

    Attributes:
        spec: Specification, as accepted.
        state: State in the job state machine.
        stored_state: Latest state that is stored, or implied by a stored one.
        tasks: Tasks of all due occurrences, by occurrence, step and index.
        due: Number of occurrences that are due.
        submitted_ms: When the job was accepted, or when it was read if that was
            after this process took the cell over.
        accepted_ms: When the job was accepted, by the times of day of this VM
            and of the one that accepted it.
        started_ms: When the first task started, or None. For a job that an
            earlier owner started, when this owner read it.
        ended_ms: When the job reached a final state, or None.
        dirty: Whether the job has changes that are not stored yet.
        done_occurrences: Occurrences, of a job with several, of which all tasks
            are done. The job has forgotten these tasks.
        inherited: Whether an earlier owner may have started tasks of the job,
            including tasks of occurrences that are not due yet here.
        places_known: Whether the store has had the place of each long-running
            task, before it was started there, since the job was accepted.
        stored_chunks: Values of the chunks of its progress that are stored, by
            key; see `progress_changes`.
        estimates: Estimates that depend on the specification only, kept by
            the planner; None before they are needed.
    """

    __slots__ = (
        "_remaining",
        "_waiting",
        "accepted_ms",
        "dirty",
        "done_occurrences",
        "due",
        "ended_ms",
        "estimates",
        "inherited",
        "places_known",
        "spec",
        "started_ms",
        "state",
        "stored_chunks",
        "stored_state",
        "submitted_ms",
        "tasks",
    )

    def __init__(self, spec: JobSpec, submitted_ms: float):
        self.spec = spec
        self.state = JOB_CHART.initial
        self.stored_state = JOB_CHART.initial
        self.tasks: dict[tuple[int, int, int], Task] = {}
        self.done_occurrences = OccurrenceSet()
        self.due = 0
        self.submitted_ms = submitted_ms
        self.accepted_ms = submitted_ms
        self.started_ms: float | None = None
        self.ended_ms: float | None = None
        self.dirty = False
        self.inherited = False
        self.places_known = True
        self.stored_chunks: dict[str, bytes] = {}
        self.estimates: tuple | None = None
        self._remaining: dict[tuple[int, int], int] = {}
        # Waiting tasks of each step that is not done, by index.
        self._waiting: dict[tuple[int, int], dict[int, Task]] = {}
        if not spec.timed:
            self.make_due(spec.occurrences)

    @property
    def is_final(self) -> bool:
        """Whether the state is final."""
        return self.state in FINAL_STATES

    @property
    def shown_state(self) -> str:
        """State that callers are told: a final one only once it is stored."""
        if not self.is_final or self.stored_state in FINAL_STATES:
            return self.state
        return self.stored_state if self.started_ms is None else "running"

    def make_due(self, occurrences: int) -> None:
        """Creates the tasks of the first occurrences; idempotent.

        Args:
            occurrences: Number of occurrences that are due.
        """
        for occurrence in range(self.due, occurrences):
            if occurrence in self.done_occurrences:
                continue
            for number, step in enumerate(self.spec.steps):
                self._remaining[occurrence, number] = step.count
                waiting = self._waiting[occurrence, number] = {}
                for index in range(step.count):
                    key = TaskKey(self.spec.id, occurrence, number, index)
                    task = Task(key, step, waiting)
                    task.may_be_running = self.inherited
                    if step.long_running and self.places_known:
                        task.possible_worker = ""
                    self.tasks[occurrence, number, index] = task
        self.due = max(self.due, occurrences)

    def due_at_ms(self, occurrence: int) -> float:
        """Returns when an occurrence is due, in Unix milliseconds."""
        spec = self.spec
        return spec.first_due_ms + occurrence * spec.interval_ms

    def task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Returns a task; None if there is none, or its occurrence is done."""
        return self.tasks.get((occurrence, step, index))

    def mark_inherited(self) -> None:
        """Records that an earlier owner may have started any of the tasks."""
        self.inherited = True
        for task in self.tasks.values():
            task.may_be_running = True

    def exclude_earlier_starts(self) -> None:
        """Records of which tasks no start order of an earlier owner is left.

        Owners start a long-running task at its stored place only. So there is
        none of a task that was never placed, nor of one with a stored place
        that is its answered one, as no order was left then.
        """
        for task in self.long_running_tasks():
            answer, place = task.inherited_answer, task.possible_worker
            was_placed = task.run or place != ""
            task.earlier_starts_over = not was_placed or (
                answer is not None and answer.sole and answer.worker == place
            )

    def exclude_inherited_runs(self, occurrence: int, after: int) -> int:
        """Records that no earlier owner has started what follows a step.

        Args:
            occurrence: The occurrence.
            after: Number of the step, of which no earlier owner can know that
                it is done.

        Returns:
            Number of waiting tasks that may have had a run before.
        """
        later = {after}
        changed = 0
        for number, step in enumerate(self.spec.steps):
            if number == after or later.isdisjoint(step.after):
                continue
            later.add(number)
            for task in self.waiting_tasks(occurrence, number):
                if task.may_be_running and not task.run:
                    task.may_be_running = False
                    task.possible_worker = ""
                    task.earlier_starts_over = True
                    changed += 1
        return changed

    def forget_places(self) -> None:
        """Records that long-running tasks may have been started anywhere."""
        self.places_known = False
        self.dirty = True
        for task in self.tasks.values():
            task.possible_worker = None

    def confirm_places(self) -> None:
        """Records that no unknown run of an earlier owner exists."""
        self.places_known = True
        self.dirty = True
        for task in self.long_running_tasks():
            task.possible_worker = task.possible_worker or ""

    def long_running_tasks(self) -> Iterator[Task]:
        """Yields the long-running tasks."""
        if any(step.long_running for step in self.spec.steps):
            for task in self.tasks.values():
                if task.step.long_running:
                    yield task

    def step_tasks(self, occurrence: int, step: int) -> Iterator[Task]:
        """Yields the tasks of one step of one occurrence.

        Yields none if the occurrence is done as a whole.
        """
        for index in range(self.spec.steps[step].count):
            task = self.tasks.get((occurrence, step, index))
            if task is not None:
                yield task

    def step_of_done(self, occurrence: int, step: int) -> StepSpec | None:
        """Returns a step of an occurrence that is done as a whole, or None."""
        if occurrence not in self.done_occurrences:
            return None
        return dict(enumerate(self.spec.steps)).get(step)

    def remaining_tasks(self, occurrence: int, step: int) -> int:
        """Returns how many tasks of a step are not done.

        Returns 1 if the occurrence is not due or is done as a whole.
        """
        return self._remaining.get((occurrence, step), 1)

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Returns whether all steps that a due step depends on are done."""
        if (occurrence, step) not in self._remaining:
            return False
        after = self.spec.steps[step].after
        return not after or all(
            self._remaining[occurrence, dependency] == 0 for dependency in after
        )

    def open_steps(self) -> Iterator[tuple[int, int]]:
        """Yields occurrence and step of all ready steps that are not done."""
        for (occurrence, step), remaining in self._remaining.items():
            if remaining and self.step_ready(occurrence, step):
                yield occurrence, step

    def waiting_steps(self) -> Iterator[tuple[int, int]]:
        """Yields occurrence and step of all ready steps with waiting tasks."""
        for (occurrence, step), waiting in self._waiting.items():
            if waiting and self.step_ready(occurrence, step):
                yield occurrence, step

    def waiting_tasks(self, occurrence: int, step: int) -> list[Task]:
        """Returns the waiting tasks of a step, by index."""
        waiting = self._waiting.get((occurrence, step), {})
        return [waiting[index] for index in sorted(waiting)]

    def early_failures(self, step: int) -> int:
        """Returns the fewest early failures of a waiting task of a step."""
        return min(
            (
                task.early_failures
                for (_, number), waiting in self._waiting.items()
                if number == step
                for task in waiting.values()
            ),
            default=0,
        )

    def has_restart(self, step: int) -> bool:
        """Returns whether a waiting task of a step is a restart."""
        return any(
            task.is_restart
            for (_, number), waiting in self._waiting.items()
            if number == step
            for task in waiting.values()
        )

    def mark_task_done(self, task: Task) -> None:
        """Marks a task as done; idempotent."""
        if task.state == "done":
            return
        task.fire("finish")
        task.worker = ""
        task.answered = None
        _, occurrence, step, _ = task.key
        self._remaining[occurrence, step] -= 1
        if not self._remaining[occurrence, step]:
            del self._waiting[occurrence, step]
            self._forget_if_done(occurrence)
        self.dirty = True

    def _forget_if_done(self, occurrence: int) -> None:
        """Forgets the tasks of an occurrence that is done, if there are others.

        A long schedule would grow without bound.
        """
        steps = range(len(self.spec.steps))
        if self.spec.occurrences == 1 or any(
            self._remaining[occurrence, step] for step in steps
        ):
            return
        self.done_occurrences.add(occurrence)
        for step in steps:
            del self._remaining[occurrence, step]
            for index in range(self.spec.steps[step].count):
                del self.tasks[occurrence, step, index]

    def restore_done(self, occurrences: OccurrenceSet) -> None:
        """Restores the occurrences that are done.

        Must be called before `make_due`, but for a job without times, whose
        occurrences are due from the start.
        """
        self.done_occurrences = occurrences
        for occurrence in range(self.due):
            if occurrence not in occurrences:
                continue
            for number, step in enumerate(self.spec.steps):
                del self._remaining[occurrence, number]
                del self._waiting[occurrence, number]
                for index in range(step.count):
                    del self.tasks[occurrence, number, index]

    @property
    def has_placed_tasks(self) -> bool:
        """Whether a task is placed on a worker."""
        return any(
            remaining > len(self._waiting.get(key, ()))
            for key, remaining in self._remaining.items()
        )

    @property
    def all_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        return self.due == self.spec.occurrences and not any(
            self._remaining.values()
        )

    def mark_running(self) -> None:
        """Marks the job as running, unless it is in a final state."""
        if not self.is_final:
            self.state = JOB_CHART.next(self.state, "begin")

    def move_to_final(self, event: str, now_ms: float) -> None:
        """Moves the job to a final state.

        Args:
            event: Event of the job state machine: complete, fail or cancel.
            now_ms: Current time.

        Raises:
            ChartError: If the job is in a final state already.
        """
        self.state = JOB_CHART.next(self.state, event)
        self.ended_ms = now_ms
        self.dirty = True
