"""Processes the ended runs that workers report."""

from typing import TYPE_CHECKING

from limpetyard._events import event
from limpetyard.engine._step_worker_client import RunEndKind, RunEndReport
from limpetyard.engine._worker import HEALTHY_RUN_MS, RunState, Worker
from limpetyard.jobs import Job, Task

if TYPE_CHECKING:
    from limpetyard.engine._engine import Engine

# Backoff of a failed task. Without it, a worker on which everything fails could
# use up all attempts of the task before it is put on probation.
FAILED_TASK_BACKOFF_MS = 100

# Time for which ends of inherited jobs are held back while the previous owner
# has not told of which starts it had no reply. It answers sooner, if at all.
PREDECESSOR_REPLY_MS = 500

# Exponential backoff of a long-running task whose runs fail soon. It is longer
# than that of a worker on probation, so that another task gets the next probe.
# The maximum is below 3 s, the longest time that a long-running task may wait.
INITIAL_LONG_RUNNING_BACKOFF_MS = 150
MAX_LONG_RUNNING_BACKOFF_MS = 2400


# Ends that show that the run did not crash its worker.
_SURVIVED_KINDS = frozenset(
    {RunEndKind.DONE, RunEndKind.FAILED, RunEndKind.STOPPED}
)


class RunEndHandler:
    """Updates tasks, jobs and workers when runs have ended."""

    __slots__ = ("_engine",)

    def __init__(self, engine: "Engine"):
        self._engine = engine

    def handle_ends(
        self, worker: Worker, ends: list[RunEndReport], now_ms: float
    ) -> bool:
        """Processes the ended runs that a worker reports, each one once.

        Returns:
            Whether any of them is new.
        """
        has_new_ends = False
        for end in ends:
            if end.number <= worker.last_received_end:
                continue
            worker.last_received_end = end.number
            worker.unacked_ends.append((end.number, end.task))
            has_new_ends = True
            run = worker.runs.get((end.task, end.run))
            if run is not None:
                worker.settle_start(run)
            job = self._engine.jobs.get(end.task.job)
            awaits_reply = (
                job is not None
                and job.inherited
                and not self._engine.predecessor_asked
            )
            least_ms = PREDECESSOR_REPLY_MS if awaits_reply else 0.0
            worker.hold_end(end.number, end.task, now_ms, least_ms)
            self._handle_end(worker, end, now_ms)
        return has_new_ends

    def _handle_end(
        self, worker: Worker, end: RunEndReport, now_ms: float
    ) -> None:
        """Processes a newly reported end.

        Each run of a task counts once. An end is outdated if the task is placed
        as another run. It is also outdated if the task has had a newer run,
        unless runs of an earlier owner may still exist.
        """
        run = worker.runs.pop((end.task, end.run), None)
        if end.kind in _SURVIVED_KINDS:
            self._engine.crashes.clear(end.task)
        job = self._engine.jobs.get(end.task.job)
        task = self._engine.find_reported_task(end.task)
        if task is None or end.run in task.ended_runs:
            return
        # Its start may have got no reply, or an earlier owner had sent it.
        job.mark_running()
        if job.started_ms is None:
            job.started_ms = now_ms
        is_other_run = task.state == "placed" and (
            task.worker != worker.id or task.run != end.run
        )
        if is_other_run or end.run < task.run and not task.may_be_running:
            self._handle_outdated_end(worker, job, task, end, now_ms)
            return
        self._record_end(task, end)
        job.dirty = True
        if run is not None:
            task.ran_ms = run.reported_ms or task.ran_ms
            event(
                "run_ended",
                task=end.task.name,
                run=end.run,
                worker=worker.id,
                how=end.kind.value,
                age_ms=now_ms - run.placed_ms,
            )
        if end.kind is RunEndKind.DONE and not task.step.long_running:
            worker.failures = 0
            self._finish_task(job, task, now_ms)
            return
        if end.kind is RunEndKind.FAILED:
            placed_ms = run.placed_ms if run is not None else now_ms
            early = now_ms - placed_ms <= HEALTHY_RUN_MS
            self._record_failure(worker, job, task, now_ms, early)
        self._engine.release_task(task, now_ms)

    def _handle_outdated_end(
        self,
        worker: Worker,
        job: Job,
        task: Task,
        end: RunEndReport,
        now_ms: float,
    ) -> None:
        """Processes the end of a run that the owner dropped and replaced.

        A worker may execute an order after the owner has dropped the run. The
        outcome of such a run counts, since the worker drops its report once it
        is acknowledged.
        """
        event(
            "end_outdated",
            task=end.task.name,
            run=end.run,
            worker=worker.id,
            how=end.kind.value,
        )
        if job.is_final or task.step.long_running or task.state == "done":
            return
        task.ended_runs.add(end.run)
        job.dirty = True
        if end.kind is RunEndKind.FAILED:
            self._record_failure(worker, job, task, now_ms, early=True)
        elif end.kind is RunEndKind.DONE:
            self._stop_runs(task)
            self._finish_task(job, task, now_ms)

    def _stop_runs(self, task: Task) -> None:
        """Marks the runs of a task, or of its whole gang, as stopping."""
        for worker in self._engine.workers.values():
            for run in worker.runs.values():
                same_gang = task.step.gang and run.task[:3] == task.key[:3]
                if run.task == task.key or same_gang:
                    run.state = RunState.STOPPING

    def _record_end(self, task: Task, end: RunEndReport) -> None:
        """Records an end in its task.

        The ends of runs on several workers arrive in any order. Long-running
        tasks restart without limit, so only their last end is kept.
        """
        if task.step.long_running:
            task.ended_runs.clear()
        task.ended_runs.add(end.run)
        if end.run >= task.run:
            task.run = end.run
            task.checkpoint = end.checkpoint or task.checkpoint

    def _finish_task(self, job: Job, task: Task, now_ms: float) -> None:
        gang = task.step.gang
        if not job.is_final:
            job.mark_task_done(task)
            if gang:
                self._finish_gang(job, task)
            if job.all_done:
                self._engine.end_job(job, "complete", now_ms)

    def _finish_gang(self, job: Job, task: Task) -> None:
        """Marks all members of a gang as done.

        A member ends as DONE only if all others succeeded; see `RunEndKind`.
        """
        _, occurrence, step, _ = task.key
        for other in list(job.step_tasks(occurrence, step)):
            job.mark_task_done(other)

    def _record_failure(
        self, worker: Worker, job: Job, task: Task, now_ms: float, early: bool
    ) -> None:
        """Records a failed run; fails the job at the last allowed attempt.

        Args:
            worker: Worker of the run.
            job: The job.
            task: The task.
            now_ms: Current time.
            early: Whether the run failed soon after its start.
        """
        worker.record_failure(now_ms)
        if task.step.long_running:
            self._record_long_running_failure(worker, task, now_ms, early)
            return
        task.avoided_worker = worker.id
        task.retry_at_ms = now_ms + FAILED_TASK_BACKOFF_MS
        task.failure_count += 1
        if (
            task.failure_count >= job.spec.queue.max_attempts
            and not job.is_final
        ):
            self._engine.end_job(job, "fail", now_ms)

    def _record_long_running_failure(
        self, worker: Worker, task: Task, now_ms: float, early: bool
    ) -> None:
        """Backs off from a long-running task that fails early.

        Others start again at once, and where they were: a serving task that
        moves meets best-effort tasks that were paced for other neighbours.
        """
        if not early:
            task.early_failures = 0
            return
        task.avoided_worker = worker.id
        # Limits the size of the shift.
        doublings = min(task.early_failures, 10)
        task.early_failures += 1
        task.retry_at_ms = now_ms + min(
            INITIAL_LONG_RUNNING_BACKOFF_MS << doublings,
            MAX_LONG_RUNNING_BACKOFF_MS,
        )
