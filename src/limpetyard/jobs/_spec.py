"""What a caller asks for: a job of several steps."""

import msgspec

from limpetyard.errors import LimpetyardError

MAX_PAYLOAD_BYTES = 4000
MAX_STEPS = 64
MAX_TASKS = 10_000
MAX_OCCURRENCES = 10_000
ID_LENGTH = 16
_ID_CHARS = frozenset("0123456789abcdef")


class JobError(LimpetyardError):
    """A job is not valid."""


class Resources(msgspec.Struct, frozen=True):
    """What one task needs, or a worker has.

    Attributes:
        cores_milli: Processors, in thousandths of a core.
        memory_mb: Memory, in MB.
        accelerators: Accelerators.
    """

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: "Resources") -> bool:
        """Returns whether this fits into `room`."""
        return (
            self.cores_milli <= room.cores_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job: tasks that are alike.

    Attributes:
        count: Number of tasks.
        need: What each of them needs.
        run_ms: Rough estimate of a task's run time.
        after: Numbers of the steps that must be done before.
        checkpoints: Whether tasks save their progress.
        gang: Whether tasks work only all together.
        same_rack: Whether more than one rack slows the tasks down.
        label: Label that a worker must have, or "".
        data_rack: Rack that holds the data, or "".
        per_worker: Most tasks of one occurrence on one worker; 0 for any.
        copies: Whether copies of a task may run at the same time.
        long_running: Whether tasks run until the job is cancelled.
        image: What the tasks run; equal images behave alike.
        target_ms: Bound of the tasks' response times, or 0 if they serve
            nobody.
        fills: Whether tasks use only processors that others leave idle.
        max_unavailable: Tasks that the scheduler may take away at one time;
            0 if no limit was asked for.
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
        """What is set aside on a worker for one task."""
        if not self.fills:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


class AdviceParams(msgspec.Struct, frozen=True):
    """Costs and validity of asking which workers may run a step.

    Attributes:
        decision_ms: Fixed part of the time of an answer.
        per_worker_ms: Time of an answer for each worker asked about.
        validity_ms: How long a ticket is valid.
    """

    decision_ms: float
    per_worker_ms: float
    validity_ms: float


class QueueParams(msgspec.Struct, frozen=True):
    """Terms of the queue that a job was handed in to.

    Attributes:
        name: Name of the queue.
        service: Pool of workers that runs its tasks.
        priority: 0 goes first.
        max_attempts: Failed runs of a task after which its job has failed.
        stretch: Objective, in multiples of the job's longest chain.
        objective_ms: Added to the objective.
        advice: Set if a policy names the workers of each step.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: float = 0.0
    advice: AdviceParams | None = None


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted.

    Attributes:
        id: Name chosen by the caller; equal ids are one job.
        queue: Terms in force when it was accepted.
        payload: Handed to each task unchanged.
        steps: Its steps.
        accepted_ms: Time of day at acceptance, Unix milliseconds.
        occurrences: How often the steps run.
        first_due_ms: When the first occurrence is due, Unix milliseconds.
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
        """Whether its occurrences wait for a time of day."""
        return self.first_due_ms > 0


def check_id(job_id: str) -> None:
    """Checks a job's id.

    Raises:
        JobError: If it is not 16 hexadecimal digits.
    """
    if len(job_id) != ID_LENGTH or not _ID_CHARS.issuperset(job_id.lower()):
        raise JobError(f"id {job_id!r}: 16 hexadecimal digits are required")


def check_spec(spec: JobSpec) -> None:
    """Checks a job.

    Raises:
        JobError: Names the first value that is not allowed.
    """
    check_id(spec.id)
    size = len(spec.payload.encode())
    if size > MAX_PAYLOAD_BYTES:
        raise JobError(f"payload of {size} bytes: {MAX_PAYLOAD_BYTES} at most")
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        raise JobError(f"{len(spec.steps)} steps: 1 to {MAX_STEPS} are allowed")
    if not 1 <= spec.occurrences <= MAX_OCCURRENCES:
        raise JobError(
            f"{spec.occurrences} occurrences: 1 to {MAX_OCCURRENCES}"
        )
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    total = sum(step.count for step in spec.steps)
    if total > MAX_TASKS:
        raise JobError(f"{total} tasks: {MAX_TASKS} at most")


def _check_step(number: int, step: StepSpec) -> None:
    if step.count < 1:
        raise JobError(f"step {number}: count {step.count}: at least 1")
    for other in step.after:
        if not 0 <= other < number:
            raise JobError(f"step {number}: after {other}: an earlier step")
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
            raise JobError(f"step {number}: {name} {value}: at least 0")
