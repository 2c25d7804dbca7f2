"""Crashes of workers, and the tasks that may have caused them.

A task may crash each worker that starts it. A crashed worker reports no ends,
so such a task is found by the runs that had begun and were not yet proven when
their worker crashed. Innocent tasks are among them. A task that was found once
is therefore a suspect: it is isolated from other tasks that are not proven,
until a run of it is proven. Each crash adds to its score, less if other jobs
may have been the cause. At a limit, the job fails.
"""

import collections
from typing import TYPE_CHECKING, NamedTuple

from limpetyard._events import event
from limpetyard.engine._candidate import Candidate
from limpetyard.engine._step_worker_client import WorkerEntry
from limpetyard.engine._worker import Worker, WorkerRun
from limpetyard.jobs import Task, TaskKey

if TYPE_CHECKING:
    from limpetyard.engine._engine import Engine

# What a crash adds to the score of a task: if it is proven, the job alone had
# unproven runs on the worker, and these certainly began before the crash; and
# otherwise.
LONE_CRASH = 2
SHARED_CRASH = 1

# Score of a task at which its job fails. It is higher while workers also crash
# for other reasons, as an innocent task is likelier to be hit several times
# then, and for long-running tasks, whose jobs are worth more. Even if every
# crash is shared, five counted ones suffice; those that are proven only after a
# takeover may not be counted.
MAX_SCORE = 4
MAX_SCORE_IF_DOUBTFUL = 5

# A suspect that has waited for this long to be isolated is placed as any other
# task, since a long-running one must not wait.
ISOLATION_WAIT_MS = 2000

# Time for which a crash shows that workers crash for other reasons, and for
# which suspects avoid its machine and zone.
RECENT_CRASH_MS = 60_000


class _Crash(NamedTuple):
    """A crash of a worker.

    Attributes:
        at_ms: When the crash was proven.
        entry: Directory entry of the worker.
        incarnation: Id and incarnation of the worker.
        has_suspects: Whether runs on the worker were not proven.
    """

    at_ms: float
    entry: WorkerEntry
    incarnation: tuple[str, int]
    has_suspects: bool


class CrashTracker:
    """Scores tasks by the crashes of their workers, and isolates suspects."""

    __slots__ = ("_counted", "_engine", "_recent")

    def __init__(self, engine: "Engine"):
        self._engine = engine
        self._recent: collections.deque[_Crash] = collections.deque()
        # Runs against which a crash was counted, and what it added, by id and
        # incarnation of the worker.
        self._counted: dict[tuple[str, int], list[tuple[WorkerRun, int]]] = {}

    def record_crash(
        self, worker: Worker, now_ms: float, proven: bool = True
    ) -> bool:
        """Counts a crash for each task with an unproven run that has begun.

        A start order without a reply shows nothing: it may have met a worker
        that had crashed before. Does nothing if the crash is known, or if the
        worker was draining, as it has departed then.

        Args:
            worker: The worker.
            now_ms: Current time.
            proven: Whether it is certain that the worker has crashed. It may
                also be cut off for good.

        Returns:
            Whether a crash was counted.
        """
        if worker.crashed or worker.entry.draining:
            return False
        worker.crashed = True
        unproven = worker.unproven_runs()
        runs = [run for run in unproven if run.began]
        incarnation = (worker.id, worker.born)
        # The others may have crashed long before this owner's term.
        if runs or worker.replied_ms is not None:
            self._forget_old(now_ms)
            crash = _Crash(now_ms, worker.entry, incarnation, bool(runs))
            self._recent.append(crash)
        worker.lost_runs.clear()
        for run in runs:
            # One run counts once, though the worker may still be polled.
            run.crash_counted = True
        lone = len({run.task.job for run in unproven}) == 1
        known = worker.replied_ms is not None
        certain = known and proven and not any(r.began_in_doubt for r in runs)
        added = LONE_CRASH if lone and certain else SHARED_CRASH
        counted = {run.task: run for run in runs}.values()
        if counted:
            self._counted[incarnation] = [(run, added) for run in counted]
        for run in counted:
            self._count(worker, run, added, now_ms, proven)
        return bool(runs)

    def retract_crash(self, worker: Worker) -> None:
        """Takes back what a crash has counted, as the worker replies.

        A job that has failed stays so.
        """
        for run, added in self._counted.pop((worker.id, worker.born), ()):
            run.crash_counted = False
            task = self._engine.find_task(run.task)
            if task is None or worker.id not in task.crashed_workers:
                continue
            task.crash_score = max(0, task.crash_score - added)
            task.crashed_workers.remove(worker.id)
            self._engine.jobs[run.task.job].dirty = True
            event(
                "crash_retracted",
                task=run.task.name,
                run=run.run,
                worker=worker.id,
                score=task.crash_score,
            )

    def _count(
        self,
        worker: Worker,
        run: WorkerRun,
        added: int,
        now_ms: float,
        proven: bool = True,
    ) -> None:
        job = self._engine.open_jobs.get(run.task.job)
        task = self._engine.find_task(run.task)
        if job is None or task is None or task.state == "done":
            return
        task.crash_score += added
        task.crashed_workers.append(worker.id)
        task.crash_counted_run = run.run
        task.stored_worker = ""
        job.dirty = True
        event(
            "task_crashes_workers",
            task=run.task.name,
            run=run.run,
            workers=" ".join(task.crashed_workers),
            score=task.crash_score,
            proven=proven,
        )
        doubtful = task.step.long_running or any(
            not crash.has_suspects for crash in self._recent
        )
        limit = MAX_SCORE_IF_DOUBTFUL if doubtful else MAX_SCORE
        if task.crash_score >= limit:
            self._engine.end_job(job, "fail", now_ms)

    def expect_runs(self, now_ms: float) -> None:
        """Adds the runs of suspects that an earlier owner has stored.

        The crash of their worker counts even if this owner never sees them.
        """
        for job in list(self._engine.open_jobs.values()):
            for task in job.tasks.values():
                worker = self._engine.workers.get(task.stored_worker)
                if worker is None or not task.crash_score:
                    continue
                run = WorkerRun(task.key, task.run, task.step, now_ms)
                run.began = True
                if worker.born == task.stored_born:
                    worker.lost_runs.append(run)
                    worker.lapsed_ms = now_ms
                elif worker.born > task.stored_born:
                    self._count(worker, run, SHARED_CRASH, now_ms)

    def _forget_old(self, now_ms: float) -> None:
        while self._recent and now_ms - self._recent[0].at_ms > RECENT_CRASH_MS:
            self._counted.pop(self._recent.popleft().incarnation, None)

    def clear(self, key: TaskKey) -> None:
        """Clears the score of a task that did not crash its worker."""
        task = self._engine.find_task(key)
        if task is not None and task.crash_score:
            task.crash_score = 0
            task.crashed_workers.clear()
            task.stored_worker = ""
            self._engine.jobs[key.job].dirty = True

    def isolated(
        self, candidates: "list[Candidate]", now_ms: float
    ) -> "list[Candidate]":
        """Returns the workers without unproven runs, best for suspects first.

        Those without a recent crash on their machine come first, then those
        with few in their zone, and few runs.
        """
        self._forget_old(now_ms)
        addresses = {crash.entry.address for crash in self._recent}
        zones = collections.Counter(
            crash.entry.availability_zone for crash in self._recent
        )

        def risk(candidate: Candidate) -> tuple[bool, int, int]:
            entry = candidate.entry
            return (
                entry.address in addresses,
                zones[entry.availability_zone],
                len(candidate.worker.runs),
            )

        return sorted(
            (c for c in candidates if not c.worker.unproven_runs()), key=risk
        )


def split_suspects(
    waiting: list[Task], now_ms: float
) -> tuple[list[Task], list[Task]]:
    """Splits waiting tasks into suspects to isolate and the others."""
    if not any(task.crash_score for task in waiting):
        return [], waiting
    suspects: list[Task] = []
    others: list[Task] = []
    for task in waiting:
        if task.crash_score and task.isolate_until_ms is None:
            task.isolate_until_ms = now_ms + ISOLATION_WAIT_MS
        isolated = task.crash_score and now_ms < task.isolate_until_ms
        (suspects if isolated else others).append(task)
    return suspects, others
