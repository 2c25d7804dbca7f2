"""Specification of a job of several steps, as submitted by a caller."""

import msgspec

from limpetyard.errors import LimpetyardError

MAX_PAYLOAD_BYTES = 4000
MAX_STEPS = 64
MAX_TASKS = 10_000
MAX_OCCURRENCES = 10_000

# Most tasks of a job that become due within `DUE_WINDOW_MS`, or that are due
# when it is accepted. Each takes about 1 kB and 6 us to create.
MAX_TASKS_AT_ONCE = 100_000
DUE_WINDOW_MS = 60_000

# Largest amount in a step, in the unit of its field. The stored form of a job
# has integers of 64 bits.
MAX_AMOUNT = 1 << 53

ID_LENGTH = 16
_ID_CHARS = frozenset("0123456789abcdef")


class InvalidJobError(LimpetyardError):
    """The specification of a job is not valid."""


class Resources(msgspec.Struct, frozen=True):
    """Resources that one task needs or one worker has.

    Attributes:
        cores_milli: CPU, in thousandths of a core.
        memory_mb: Memory, in MB.
        accelerators: Number of accelerators.
    """

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, available: "Resources") -> bool:
        """Returns whether no amount exceeds that in `available`."""
        return (
            self.cores_milli <= available.cores_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job: a number of equal tasks.

    Attributes:
        count: Number of tasks.
        need: Resources that each task requests.
        run_ms: Rough estimate of the run time of a task.
        after: Numbers of the earlier steps that must be done before.
        checkpoints: Whether tasks save checkpoints to resume from.
        gang: Whether all tasks must run at the same time (gang scheduling).
        same_rack: Whether tasks run slower if spread over several racks.
        label: Label that a worker must have, or "".
        data_rack: Rack that holds the data, or "".
        per_worker: Largest number of tasks of one occurrence on one worker; 0
            for no limit.
        copies: Whether copies of a task may run at the same time.
        long_running: Whether tasks run until the job is cancelled.
        image: Image that the tasks run. Tasks of equal images are expected to
            behave alike.
        target_ms: Target of the tail latency of the tasks, or 0 if they do not
            serve requests.
        fills: Whether tasks are best-effort: they use only cores that others
            leave idle.
        max_unavailable: Largest number of tasks that the scheduler may preempt
            at one time; 0 if no limit was requested.
    """

    count: int
    need: Resources = Resources()
    run_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_worker: int = 0
    copies: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """Resources reserved on a worker for one task.

        Best-effort tasks reserve no cores.
        """
        if not self.fills:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


class AdviceParams(msgspec.Struct, frozen=True):
    """Latency and validity of replies of the advice service.

    Attributes:
        decision_ms: Fixed part of the latency of a reply.
        per_worker_ms: Additional latency for each worker in the request.
        validity_ms: How long a ticket is valid.
    """

    decision_ms: float
    per_worker_ms: float
    validity_ms: float


class QueueParams(msgspec.Struct, frozen=True):
    """Settings of the queue that a job was submitted to.

    Attributes:
        name: Name of the queue.
        service: Pool of workers that runs the tasks.
        priority: Priority of the queue; lower values are placed first.
        max_attempts: Number of failed runs of one task at which the job fails.
        stretch: Objective for the completion time, as a multiple of the longest
            path through the steps of the job.
        objective_ms: Time added to the objective.
        advice: Parameters of the advice service if it must permit the workers
            of each step, else None.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: float = 0.0
    advice: AdviceParams | None = None


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of a job, as accepted.

    Attributes:
        id: Id chosen by the caller; a job that is submitted again under its id
            is the same job.
        queue: Settings of the queue at acceptance.
        payload: Passed to each task unchanged.
        steps: Steps of the job.
        accepted_ms: Time of acceptance, in Unix milliseconds.
        occurrences: How often the steps run.
        first_due_ms: When the first occurrence is due, in Unix milliseconds, or
            0 if occurrences do not wait for a time.
        interval_ms: Time between occurrences.
    """

    id: str
    queue: QueueParams
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: float = 0.0
    occurrences: int = 1
    first_due_ms: float = 0.0
    interval_ms: float = 0.0

    @property
    def timed(self) -> bool:
        """Whether occurrences become due at given times."""
        return self.first_due_ms > 0


def check_id(job_id: str) -> None:
    """Validates the id of a job.

    Raises:
        InvalidJobError: If it is not 16 hexadecimal digits.
    """
    if len(job_id) != ID_LENGTH or not _ID_CHARS.issuperset(job_id.lower()):
        raise InvalidJobError(f"job id {job_id!r} is not 16 hexadecimal digits")


def check_spec(spec: JobSpec) -> None:
    """Validates the specification of a job.

    Raises:
        InvalidJobError: For the first value that is not allowed.
    """
    check_id(spec.id)
    size = len(spec.payload.encode())
    if size > MAX_PAYLOAD_BYTES:
        raise InvalidJobError(
            f"payload has {size} bytes, limit is {MAX_PAYLOAD_BYTES} bytes"
        )
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        raise InvalidJobError(
            f"{len(spec.steps)} steps given, 1 to {MAX_STEPS} are allowed"
        )
    if not 1 <= spec.occurrences <= MAX_OCCURRENCES:
        raise InvalidJobError(
            f"{spec.occurrences} occurrences given, "
            f"1 to {MAX_OCCURRENCES} are allowed"
        )
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    total = sum(step.count for step in spec.steps)
    if total > MAX_TASKS:
        raise InvalidJobError(
            f"{total} tasks given, at most {MAX_TASKS} are allowed"
        )
    at_once = total * _occurrences_at_once(spec)
    if at_once > MAX_TASKS_AT_ONCE:
        raise InvalidJobError(
            f"{at_once} tasks are due within {DUE_WINDOW_MS} ms, "
            f"at most {MAX_TASKS_AT_ONCE} are allowed"
        )


def _occurrences_at_once(spec: JobSpec) -> int:
    """Returns how many occurrences are due a window after the first tasks."""
    if not spec.timed or spec.interval_ms <= 0:
        return spec.occurrences
    past_ms = max(0.0, spec.accepted_ms - spec.first_due_ms)
    number = (past_ms + DUE_WINDOW_MS) / spec.interval_ms + 1
    return int(min(number, spec.occurrences))


def _check_step(number: int, step: StepSpec) -> None:
    if step.count < 1:
        raise InvalidJobError(f"step {number}: count {step.count} is below 1")
    for other in step.after:
        if not 0 <= other < number:
            raise InvalidJobError(
                f"step {number}: after {other} is not an earlier step"
            )
    amounts = {
        "cores_milli": step.need.cores_milli,
        "memory_mb": step.need.memory_mb,
        "accelerators": step.need.accelerators,
        "run_ms": step.run_ms,
        "per_worker": step.per_worker,
        "target_ms": step.target_ms,
        "max_unavailable": step.max_unavailable,
    }
    for name, value in amounts.items():
        if value < 0:
            raise InvalidJobError(f"step {number}: {name} {value} is negative")
        if value > MAX_AMOUNT:
            raise InvalidJobError(
                f"step {number}: {name} is above {MAX_AMOUNT}"
            )
