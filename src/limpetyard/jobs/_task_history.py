"""What an owner knows of the runs of a task that has none at present."""

import msgspec

from limpetyard.jobs._job import Task, TaskKey


class TaskHistory(msgspec.Struct, frozen=True, omit_defaults=True):
    """Runs of a long-running task, as far as its next start depends on them.

    Nodes of other releases read it: new fields need defaults.

    Attributes:
        task: Key of the task.
        run: Number of the latest run.
        ended_runs: Numbers of the runs whose end was processed.
        checkpoint: See `Task`.
        early_failures: See `Task`.
        avoided_worker: See `Task`.
        retry_ms: Time before which the task is not started again, on this
            process's clock; in a reply to another node, time left until then.
    """

    task: TaskKey
    run: int
    ended_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    early_failures: int = 0
    avoided_worker: str = ""
    retry_ms: float = 0.0


def task_history(task: Task) -> TaskHistory:
    """Returns the history of a task."""
    return TaskHistory(
        task.key,
        task.run,
        tuple(sorted(task.ended_runs)),
        task.checkpoint,
        task.early_failures,
        task.avoided_worker,
        task.retry_at_ms,
    )


def apply_history(task: Task, history: TaskHistory) -> None:
    """Applies what an earlier owner knew, unless more is known by now.

    Of an end that this owner has processed as well, only the owner that had
    placed the run knows whether it failed early.
    """
    last_end = max(history.ended_runs, default=0)
    if history.run < task.run or last_end < max(task.ended_runs, default=0):
        return
    task.run = history.run
    task.ended_runs = set(history.ended_runs)
    task.checkpoint = history.checkpoint or task.checkpoint
    task.early_failures = history.early_failures
    task.avoided_worker = history.avoided_worker
    task.retry_at_ms = history.retry_ms
