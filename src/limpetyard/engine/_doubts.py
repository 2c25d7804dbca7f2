"""Starts without a reply that a later incarnation may still carry out.

The incarnation to which such a start was sent rejects it once it was stopped,
has expired, or was followed by a later run of the task. A later incarnation has
seen neither token nor stop, and its clock is another one. So the task starts on
that very incarnation only, until no later one can have the run.
"""

import math
from collections.abc import Callable, Mapping
from typing import Protocol

from limpetyard._events import event
from limpetyard._registry import Registry
from limpetyard.engine._params import EngineParams
from limpetyard.engine._worker import (
    MAX_ORDER_DELAY_MS,
    Worker,
    lease_bound_ms,
)
from limpetyard.jobs import Job, StartDoubt, Task, TaskKey

# Returns whether a doubt is over, given its worker.
Ending = Callable[[StartDoubt, Worker], bool]

ENDINGS: Registry[Ending] = Registry("ending of a doubt")

# Longest wait of a long-running task for the worker of a doubt, unless that is
# silent. It covers the backoff after a start without a reply.
MAX_LONG_RUNNING_HOLD_MS = 1000

# Time after the last reply of a silent worker, and after the last report of a
# run of the task, until which a long-running task waits for that worker,
# whichever is later. The fault that silences the worker began after that reply.
# A task must run again 7 s after the last fault, but not before 9 s after its
# last run. Each leaves half a second for the start.
MAX_LONG_RUNNING_SILENCE_MS = 6500
MAX_LONG_RUNNING_IDLE_MS = 8500

# Start orders without a reply, since the last one that was answered, after
# which a worker holds no long-running task.
MAX_LONG_RUNNING_SILENT_STARTS = 2


class DoubtedState(Protocol):
    """What doubts depend on; see `Engine`."""

    params: EngineParams
    open_jobs: Mapping[str, Job]
    workers: Mapping[str, Worker]
    confirmed_ms: float

    def find_task(self, key: TaskKey) -> Task | None:
        """Returns the task with this key, or None if there is none."""


class StartDoubts:
    """The doubts of one ownership."""

    __slots__ = ("_inherited", "_not_due", "_state", "_tasks", "_until_ms")

    def __init__(self, state: DoubtedState):
        self._state = state
        self._tasks: dict[TaskKey, Task] = {}
        # Time by which the longest lease has expired that a late start, or an
        # order that was sent to the same incarnation after it, may grant.
        self._until_ms: dict[TaskKey, float] = {}
        # Doubts of earlier owners that were added, as replies are applied
        # again and again.
        self._inherited: set[tuple[TaskKey, StartDoubt]] = set()
        # Those about occurrences that are not due here yet, and until when they
        # last.
        self._not_due: dict[TaskKey, tuple[StartDoubt, float]] = {}

    def inherit(self, key: TaskKey, doubt: StartDoubt, until_ms: float) -> None:
        """Adds a doubt of an earlier owner, once.

        The end of the task is held back by the worker as it was by that owner;
        see `Worker.hold_end`.

        Args:
            key: The task.
            doubt: The doubt.
            until_ms: Time after which it is over in any case.
        """
        if (key, doubt) not in self._inherited:
            self._inherited.add((key, doubt))
            job = self._state.open_jobs.get(key.job)
            if job is not None and key.occurrence >= job.due:
                self._not_due[key] = (doubt, until_ms)
            self.add(key, doubt, until_ms)
            worker = self._state.workers.get(doubt.worker)
            if worker is not None:
                worker.inherit_pending_start(key, doubt.sent_ms)

    def add_due(self) -> None:
        """Adds the doubts about occurrences that have become due."""
        for key, (doubt, until_ms) in list(self._not_due.items()):
            job = self._state.open_jobs.get(key.job)
            if job is None or key.occurrence < job.due:
                del self._not_due[key]
                self.add(key, doubt, until_ms)

    def add(
        self, key: TaskKey, doubt: StartDoubt, until_ms: float = 0.0
    ) -> None:
        """Adds a doubt, unless a later one exists or the task needs none.

        Tasks of which copies may run have none.

        Args:
            key: The task.
            doubt: The doubt.
            until_ms: Time before which nothing but a reply ends it.
        """
        if key.job not in self._state.open_jobs:
            return
        task = self._state.find_task(key)
        if task is None or task.step.copies:
            return
        last = task.start_doubt
        if last is not None and last.sent_ms > doubt.sent_ms:
            return
        task.start_doubt = doubt
        self._tasks[key] = task
        self._until_ms[key] = max(
            self._until_ms.get(key, 0.0),
            self._bound_ms(doubt.sent_ms),
            until_ms,
        )

    def all(self) -> dict[TaskKey, tuple[StartDoubt, float]]:
        """Returns the doubts, and the times after which they are over."""
        for key, task in self._tasks.items():
            self._extend(key, task.start_doubt)
        return self._not_due | {
            key: (task.start_doubt, self._until_ms[key])
            for key, task in self._tasks.items()
        }

    def add_unanswered(self) -> None:
        """Adds doubts about all starts that have no reply yet.

        Called once the ownership has ended, so that no reply will count.
        """
        for worker in self._state.workers.values():
            for run in worker.runs.values():
                if run.start_in_flight or (
                    run.may_exist and run.acked_ms is None
                ):
                    sent_ms = run.start_sent_ms
                    doubt = StartDoubt(worker.id, worker.born, sent_ms)
                    self.add(run.task, doubt)

    def end_over(self, now_ms: float) -> None:
        """Ends the doubts that are over."""
        certain_ms = min(now_ms, self._state.confirmed_ms)
        for key, task in list(self._tasks.items()):
            how = self._how_ended(key, task, certain_ms)
            if how is None and self._is_limited(task, now_ms):
                how = "limit"
            if how is None:
                continue
            doubt = task.start_doubt
            task.start_doubt = None
            del self._tasks[key], self._until_ms[key]
            waits = task.state == "waiting" and task.idle_since_ms is not None
            event(
                "doubt_ended",
                task=key.name,
                worker=doubt.worker,
                how=how,
                age_ms=now_ms - doubt.sent_ms,
                waited_ms=now_ms - task.idle_since_ms if waits else 0.0,
            )

    def _how_ended(
        self, key: TaskKey, task: Task, certain_ms: float
    ) -> str | None:
        """Returns in which way a doubt is over; None if it is not."""
        if key.job not in self._state.open_jobs or task.state == "done":
            return "needless"
        doubt = task.start_doubt
        worker = self._state.workers.get(doubt.worker)
        if worker is not None:
            for name in ENDINGS:
                if ENDINGS.get(name)(doubt, worker):
                    return name
            self._extend(key, doubt)
        return "time" if certain_ms > self._until_ms[key] else None

    def _is_limited(self, task: Task, now_ms: float) -> bool:
        """Returns whether a long-running task must wait no longer.

        It waits only where that costs little: for an incarnation that replies,
        for the first reply of the next one, or for a silent worker as long as
        the fault that silences it allows.
        """
        if not task.step.long_running:
            return False
        doubt = task.start_doubt
        if task.state != "waiting":
            return task.worker != doubt.worker
        worker = self._state.workers.get(doubt.worker)
        if worker is None:
            return True
        if not worker.is_responsive(now_ms) and now_ms <= self._silence_end_ms(
            task, worker
        ):
            return False
        since_ms = task.idle_since_ms
        if since_ms is None or now_ms - since_ms > MAX_LONG_RUNNING_HOLD_MS:
            return True
        return worker.born <= doubt.born and not (
            worker.is_responsive(now_ms)
            and worker.silent_starts < MAX_LONG_RUNNING_SILENT_STARTS
        )

    def _silence_end_ms(self, task: Task, worker: Worker) -> float:
        """Returns until when a long-running task may wait for a silent worker.

        A worker that has not replied to this owner may have been lost long
        before. When a job was accepted is not known if an earlier owner may
        have started it.
        """
        if worker.replied_ms is None:
            return -math.inf
        end_ms = worker.replied_ms + MAX_LONG_RUNNING_SILENCE_MS
        job = self._state.open_jobs[task.key.job]
        ran_ms = task.ran_ms
        if ran_ms is None and not job.inherited:
            ran_ms = job.accepted_ms
        if ran_ms is not None:
            end_ms = max(end_ms, ran_ms + MAX_LONG_RUNNING_IDLE_MS)
        return end_ms

    def _extend(self, key: TaskKey, doubt: StartDoubt) -> None:
        """Extends a doubt by the last order that may renew the late run."""
        worker = self._state.workers.get(doubt.worker)
        if worker is not None and worker.born <= doubt.born:
            self._until_ms[key] = max(
                self._until_ms[key], self._bound_ms(worker.granted_ms)
            )

    def _bound_ms(self, sent_ms: float) -> float:
        longest_ms = lease_bound_ms(self._state.params.longest_lease_ms)
        return sent_ms + MAX_ORDER_DELAY_MS + longest_ms


@ENDINGS.register("replaced")
def _replaced(doubt: StartDoubt, worker: Worker) -> bool:
    """Another worker is at the address; see `Engine.on_worker_replaced`."""
    return worker.ended


@ENDINGS.register("same_incarnation")
def _same_incarnation(doubt: StartDoubt, worker: Worker) -> bool:
    """The incarnation was up when late starts had been carried out."""
    return (
        worker.born == doubt.born
        and worker.polled_ms >= doubt.sent_ms + MAX_ORDER_DELAY_MS
    )


@ENDINGS.register("later_incarnation")
def _later_incarnation(doubt: StartDoubt, worker: Worker) -> bool:
    """A later incarnation rejects the start, and has told of its run."""
    return (
        worker.born > doubt.born
        and worker.token_confirmed
        and worker.has_all_ends
    )
