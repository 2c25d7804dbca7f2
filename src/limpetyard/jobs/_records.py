"""Encoding and decoding of the job records in the store."""

import hashlib
import math

import msgspec

from limpetyard._events import event
from limpetyard.jobs._job import FINAL_STATES, JOB_CHART, AnsweredPlace, Job
from limpetyard.jobs._occurrences import OccurrenceSet
from limpetyard.jobs._spec import (
    MAX_AMOUNT,
    MAX_OCCURRENCES,
    MAX_STEPS,
    MAX_TASKS,
    AdviceParams,
    JobSpec,
)

# Prefixes of record keys, followed by the id of the job: an accepted job, a
# cancellation, the progress of a job, and chunks of that progress. Builds that
# know no chunks ignore their prefix.
ACCEPTED_PREFIX = "s/"
CANCELLED_PREFIX = "c/"
PROGRESS_PREFIX = "p/"
CHUNK_PREFIX = "t/"

# Prefix of the keys of `QueueService` records. Builds that do not know it
# ignore these records.
QUEUE_SERVICE_PREFIX = "q/"

# Tasks of one step whose progress shares a chunk. A change of one task rewrites
# 2 to 8 KB; a job of 10,000 tasks has 79 chunks.
CHUNK_TASKS = 128

# Value of a cancellation by a release that did not store the queue.
ANY_QUEUE = b"1"

# Length of the part of a key that stands for a queue or a service. Their names
# may be longer than the keys of the store.
TAG_BYTES = 8

# Most marks of tasks whose occurrence is done. Beyond, such occurrences are
# stored as ranges, so that the record of a long schedule stays small.
MAX_DONE_MARKS = 1000

_spec_decoder = msgspec.msgpack.Decoder(JobSpec)


class QueueService(msgspec.Struct, frozen=True, array_like=True):
    """A service under which jobs of a queue may have been accepted.

    Attributes:
        queue: Name of the queue.
        service: Name of the service.
    """

    queue: str
    service: str

    @property
    def key(self) -> str:
        """Key of its record."""
        tags = f"{_tag(self.queue)}/{_tag(self.service)}"
        return QUEUE_SERVICE_PREFIX + tags


_queue_service_decoder = msgspec.msgpack.Decoder(QueueService)


class TaskProgress(msgspec.Struct, array_like=True):
    """Stored progress of one task.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number of the task in the step.
        done: Whether the task is done.
        run: Number of the latest run.
        ended_runs: Numbers of the runs whose end is included in this progress.
        failure_count: Number of failed runs.
        checkpoint: Checkpoint to resume from, or "".
        crash_score: Score of the workers that crashed under the task; see
            `limpetyard.jobs.Task`.
        worker: Worker whose crash would count against the task if it has such
            crashes, else "".
        born: Incarnation of that worker.
        place: Worker on which a run of a long-running task may exist, or "";
            see `JobProgress.places_known`.
        answered_worker: Worker of `Task.answered`, or "".
        answered_born: Its incarnation.
        answered_epoch: Epoch of the owner that knew this first.
        answered_sole: See `AnsweredPlace.sole`.
    """

    occurrence: int
    step: int
    index: int
    done: bool
    run: int
    ended_runs: list[int]
    failure_count: int
    checkpoint: str
    crash_score: int = 0
    worker: str = ""
    born: int = 0
    place: str = ""
    answered_worker: str = ""
    answered_born: int = 0
    answered_epoch: int = 0
    answered_sole: bool = False


class JobProgress(msgspec.Struct):
    """Stored progress of a job.

    Attributes:
        state: State in the job state machine.
        due: Number of occurrences that have become due.
        marks: Progress of the tasks that have run or are done, as members of a
            gang are whose run is not known; empty in a final state.
        ended_ms: Unix milliseconds at which a final state was reached, or 0.
        places_known: Whether no long-running task was started anywhere but at
            the place that is stored for it.
        done: First and last number of each range of occurrences that are done
            and have no marks.
    """

    state: str
    due: int
    marks: list[TaskProgress]
    ended_ms: float = 0.0
    places_known: bool = False
    done: list[tuple[int, int]] = []


class ChunkedProgress(JobProgress):
    """Stored progress of a job whose marks are in chunks.

    It has no marks and no known places itself: builds that know no chunks must
    not take the places as known.

    Attributes:
        in_chunks: Whether the marks are in chunks. If not, chunks are outdated.
        chunks_places_known: `places_known` of the job.
    """

    in_chunks: bool = False
    chunks_places_known: bool = False


_progress_decoder = msgspec.msgpack.Decoder(ChunkedProgress)
_chunk_decoder = msgspec.msgpack.Decoder(list[TaskProgress])


def queue_tag(queue: str) -> str:
    """Returns what stands for a queue in the records of its jobs."""
    return _tag(queue)


def _tag(name: str) -> str:
    return hashlib.blake2b(name.encode(), digest_size=TAG_BYTES).hexdigest()


def cancellation_keys(job_id: str, queue: str) -> tuple[str, str]:
    """Returns the keys of the cancellation of a job by callers of a queue.

    Callers of another queue may write the first one too. It is the only one
    that releases without the second one read.
    """
    key = CANCELLED_PREFIX + job_id
    return key, f"{key}/{queue_tag(queue)}"


def encode_cancellation(queue: str) -> bytes:
    """Returns the stored form of a cancellation by callers of a queue."""
    return queue_tag(queue).encode()


def cancelled_job(key: str) -> str:
    """Returns the id of the job from a key of its cancellation."""
    return key.removeprefix(CANCELLED_PREFIX).partition("/")[0]


def cancels_jobs_of(value: bytes, queue: str) -> bool:
    """Returns whether a stored cancellation is valid for jobs of a queue."""
    return value in (ANY_QUEUE, encode_cancellation(queue))


def encode_queue_service(pair: QueueService) -> bytes:
    """Returns the stored form of a service of a queue."""
    return msgspec.msgpack.encode(pair)


def decode_queue_service(data: bytes) -> QueueService:
    """Decodes a service of a queue.

    Raises:
        msgspec.MsgspecError: If `data` is not valid.
    """
    return decode_record(_queue_service_decoder, data)


def encode_spec(spec: JobSpec) -> bytes:
    """Returns the stored form of an accepted job."""
    return msgspec.msgpack.encode(spec)


def decode_spec(data: bytes) -> JobSpec:
    """Decodes an accepted job.

    Raises:
        msgspec.MsgspecError: If `data` is not a valid job.
    """
    spec = decode_record(_spec_decoder, data)
    _check_sizes(spec)
    return spec


def decode_record(decoder: msgspec.msgpack.Decoder, data: bytes):
    """Decodes a stored record.

    Raises:
        msgspec.MsgspecError: If `data` is not valid, also if it is nested too
            deeply.
    """
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise msgspec.DecodeError(str(exc)) from exc


def _check_sizes(spec: JobSpec) -> None:
    """Checks that a stored job can be held in memory and in its numbers.

    Accepted jobs hold these limits in every release; see `check_spec`.

    Raises:
        msgspec.ValidationError: If it cannot.
    """
    steps = spec.steps
    if not 1 <= spec.occurrences <= MAX_OCCURRENCES:
        raise msgspec.ValidationError("number of occurrences out of bounds")
    if not 1 <= len(steps) <= MAX_STEPS:
        raise msgspec.ValidationError("number of steps out of bounds")
    if min(step.count for step in steps) < 1:
        raise msgspec.ValidationError("step without tasks")
    if sum(step.count for step in steps) > MAX_TASKS:
        raise msgspec.ValidationError("number of tasks out of bounds")
    for number, step in enumerate(steps):
        if not all(0 <= other < number for other in step.after):
            raise msgspec.ValidationError("step after one that is not earlier")
    queue = spec.queue
    advice = queue.advice or AdviceParams(0.0, 0.0, 0.0)
    numbers = (
        spec.accepted_ms,
        spec.first_due_ms,
        spec.interval_ms,
        queue.stretch,
        queue.objective_ms,
        *msgspec.structs.astuple(advice),
        *(step.target_ms for step in steps),
    )
    if not all(map(math.isfinite, numbers)):
        raise msgspec.ValidationError("number that is not finite")


def encode_progress(job: Job, wall_ms: float) -> bytes:
    """Returns the stored form of the progress of a job, in one record.

    Args:
        job: The job.
        wall_ms: Current time of day in Unix milliseconds, stored with a final
            state.
    """
    return _encode_whole(job, _task_progress(job), wall_ms)


def progress_changes(
    job: Job, wall_ms: float, max_bytes: int
) -> dict[str, bytes | None]:
    """Returns the records that change with the progress of a job.

    They must be appended in this order: marks move to chunks, or back, with
    the record of the job, which comes after new chunks and before deletions.

    Args:
        job: The job; its `stored_chunks` must be kept up to date.
        wall_ms: See `encode_progress`.
        max_bytes: Largest value of a record that the store takes. Progress that
            fits is stored in one record, which older builds can read.

    Returns:
        Value of each record, or None if it is deleted, by key.
    """
    marks = _task_progress(job)
    data = _encode_whole(job, marks, wall_ms)
    chunks: dict[str, bytes] = {}
    if len(data) > max_bytes:
        chunks = _encode_chunks(job, marks)
        data = msgspec.msgpack.encode(
            ChunkedProgress(
                job.state,
                job.due,
                [],
                done=job.done_occurrences.ranges(),
                in_chunks=True,
                chunks_places_known=job.places_known,
            )
        )
    changes: dict[str, bytes | None] = {
        key: value
        for key, value in chunks.items()
        if job.stored_chunks.get(key) != value
    }
    changes[PROGRESS_PREFIX + job.spec.id] = data
    changes.update(dict.fromkeys(sorted(job.stored_chunks.keys() - chunks)))
    return changes


def chunk_job(key: str) -> str:
    """Returns the id of the job that a key of a chunk belongs to."""
    return key.removeprefix(CHUNK_PREFIX).partition("/")[0]


def _encode_whole(job: Job, marks: list[TaskProgress], wall_ms: float) -> bytes:
    done = []
    if not job.is_final:
        if _has_marks_of_done(job):
            marks = marks + _marks_of_done(job)
        else:
            done = job.done_occurrences.ranges()
    ended_ms = wall_ms if job.is_final else 0.0
    return msgspec.msgpack.encode(
        JobProgress(job.state, job.due, marks, ended_ms, job.places_known, done)
    )


def _encode_chunks(job: Job, marks: list[TaskProgress]) -> dict[str, bytes]:
    """Returns the value of each chunk by key."""
    chunks: dict[str, list[TaskProgress]] = {}
    for mark in marks:
        chunk = f"{mark.occurrence}.{mark.step}.{mark.index // CHUNK_TASKS}"
        chunks.setdefault(chunk, []).append(mark)
    return {
        f"{CHUNK_PREFIX}{job.spec.id}/{chunk}": msgspec.msgpack.encode(part)
        for chunk, part in chunks.items()
    }


def _has_marks_of_done(job: Job) -> bool:
    """Returns whether tasks of done occurrences get marks.

    Builds that know no ranges would start the tasks again otherwise.
    """
    tasks = sum(step.count for step in job.spec.steps)
    return len(job.done_occurrences) * tasks <= MAX_DONE_MARKS


def _marks_of_done(job: Job) -> list[TaskProgress]:
    return [
        TaskProgress(occurrence, step, index, True, 1, [], 0, "")
        for occurrence in job.done_occurrences.numbers()
        for step, step_spec in enumerate(job.spec.steps)
        for index in range(step_spec.count)
    ]


def _task_progress(job: Job) -> list[TaskProgress]:
    """Returns the marks of the job's tasks; none in a final state."""
    if job.is_final:
        return []
    return [
        TaskProgress(
            task.key.occurrence,
            task.key.step,
            task.key.index,
            task.state == "done",
            task.run,
            sorted(task.ended_runs),
            task.failure_count,
            task.checkpoint,
            task.crash_score,
            *task.suspect_place,
            task.place if task.step.long_running else "",
            *(task.answered or ()),
        )
        for task in job.tasks.values()
        if task.run or task.state == "done"
    ]


def apply_progress(job: Job, data: bytes, now_ms: float) -> None:
    """Applies stored progress to a job that was just read.

    Args:
        job: The job, to be updated; it has the chunks that are stored.
        data: Stored form of its progress.
        now_ms: Current time on this process's clock.

    Raises:
        msgspec.MsgspecError: If `data` is not valid progress of the job, which
            is unchanged then.
    """
    progress = decode_record(_progress_decoder, data)
    _check_progress(job.spec, progress)
    marks = progress.marks
    if progress.in_chunks:
        for chunk in job.stored_chunks.values():
            marks += decode_record(_chunk_decoder, chunk)
    if progress.places_known or progress.chunks_places_known:
        job.confirm_places()
    else:
        job.forget_places()
    job.restore_done(OccurrenceSet(progress.done))
    job.make_due(progress.due)
    for mark in marks:
        task = job.task(mark.occurrence, mark.step, mark.index)
        if task is None or not _is_within_bounds(mark):
            event("mark_unknown", job=job.spec.id, mark=mark)
            continue
        task.run = max(task.run, mark.run)
        task.ended_runs = set(mark.ended_runs)
        task.failure_count = max(task.failure_count, mark.failure_count)
        task.checkpoint = mark.checkpoint
        task.crash_score = max(task.crash_score, mark.crash_score)
        task.stored_worker, task.stored_born = mark.worker, mark.born
        if task.step.long_running and job.places_known:
            task.possible_worker = task.recorded_place = mark.place
        if mark.done:
            job.mark_task_done(task)
        elif mark.answered_worker:
            task.answered = AnsweredPlace(
                mark.answered_worker,
                mark.answered_born,
                mark.answered_epoch,
                mark.answered_sole,
            )
            task.recorded_answers = frozenset((mark.answered_worker,))
    if progress.state != job.state:
        job.started_ms = now_ms
    job.state = progress.state
    job.stored_state = progress.state
    if progress.state in FINAL_STATES:
        job.ended_ms = now_ms
    job.dirty = False


def _check_progress(spec: JobSpec, progress: JobProgress) -> None:
    """Checks that progress can be that of a job.

    Raises:
        msgspec.ValidationError: If it cannot.
    """
    if progress.state not in JOB_CHART.states:
        raise msgspec.ValidationError("unknown state")
    if not 0 <= progress.due <= spec.occurrences:
        raise msgspec.ValidationError("number of due occurrences out of bounds")
    previous = -1
    for first, last in progress.done:
        if not previous < first <= last < spec.occurrences:
            raise msgspec.ValidationError("ranges of occurrences out of order")
        previous = last


def _is_within_bounds(mark: TaskProgress) -> bool:
    """Returns whether the next progress of the task can be stored too."""
    numbers = (
        mark.run,
        mark.failure_count,
        mark.crash_score,
        mark.born,
        mark.answered_born,
        mark.answered_epoch,
        *mark.ended_runs,
    )
    return all(0 <= number <= MAX_AMOUNT for number in numbers)
