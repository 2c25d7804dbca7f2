"""The records of jobs in the store, and the book that is read from them."""

import msgspec

from limpetyard._events import event
from limpetyard.jobs._job import FINAL_STATES, Job
from limpetyard.jobs._spec import JobSpec

# Keys are a letter and a job's id: what was accepted, what was cancelled,
# and how far the job has come.
ACCEPTED_PREFIX = "s/"
CANCELLED_PREFIX = "c/"
PROGRESS_PREFIX = "p/"

_spec_decoder = msgspec.msgpack.Decoder(JobSpec)


class TaskMark(msgspec.Struct, array_like=True):
    """What is kept of one task.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number in the step.
        done: Whether it is done.
        run: Number of its newest run.
        ended: Numbers of the runs whose ends are counted here.
        failed: Failed runs.
        checkpoint: Progress to resume from.
    """

    occurrence: int
    step: int
    index: int
    done: bool
    run: int
    ended: list[int]
    failed: int
    checkpoint: str


class Progress(msgspec.Struct):
    """How far a job has come.

    Attributes:
        state: State in the job chart.
        due: Occurrences that have become due.
        marks: Tasks that have run.
        ended_ms: Time of day at which a final state was reached, or 0.
    """

    state: str
    due: int
    marks: list[TaskMark]
    ended_ms: float = 0.0


_progress_decoder = msgspec.msgpack.Decoder(Progress)


def encode_spec(spec: JobSpec) -> bytes:
    """Returns the stored form of an accepted job."""
    return msgspec.msgpack.encode(spec)


def decode_spec(data: bytes) -> JobSpec:
    """Reads an accepted job.

    Raises:
        msgspec.MsgspecError: If it is not one.
    """
    return _spec_decoder.decode(data)


def encode_progress(job: Job, wall_ms: float) -> bytes:
    """Returns the stored form of a job's progress."""
    marks = [] if job.over else _marks(job)
    ended_ms = wall_ms if job.over else 0.0
    return msgspec.msgpack.encode(Progress(job.state, job.due, marks, ended_ms))


def _marks(job: Job) -> list[TaskMark]:
    return [
        TaskMark(
            task.key.occurrence,
            task.key.step,
            task.key.index,
            task.state == "done",
            task.run,
            sorted(task.ended),
            task.failed,
            task.checkpoint,
        )
        for task in job.tasks.values()
        if task.run
    ]


def apply_progress(job: Job, data: bytes, now_ms: float) -> None:
    """Brings a job that was just read to its stored progress.

    Raises:
        msgspec.MsgspecError: If `data` is no progress.
    """
    progress = _progress_decoder.decode(data)
    job.make_due(progress.due)
    for mark in progress.marks:
        task = job.task(mark.occurrence, mark.step, mark.index)
        if task is None:
            event("mark_unknown", job=job.spec.id, mark=mark)
            continue
        task.run = max(task.run, mark.run)
        task.ended = set(mark.ended)
        task.failed = max(task.failed, mark.failed)
        task.checkpoint = mark.checkpoint
        if mark.done:
            job.finish(task)
    if progress.state != job.state:
        job.begun_ms = now_ms
    job.state = progress.state
    job.stored_state = progress.state
    if progress.state in FINAL_STATES:
        job.ended_ms = now_ms
    job.dirty = False
