"""The records of a cell's stream.

A cell is a subset of a region's workers, spread over its availability zones,
and the jobs that run on them. Its stream is the only source of truth for both.
"""

import enum

import msgspec


class RunOutcome(enum.Enum):
    """How a run of a task ended."""

    FINISHED = "finish"
    FAILED = "fail"
    LOST = "lose"
    EVICTED = "evict"
    REFUSED = "refuse"


class ResourceVector(msgspec.Struct, frozen=True):
    """Resources of a worker or a task.

    Attributes:
        cores: CPU cores; fractions are allowed.
        memory_mb: Memory in MiB.
        accelerators: Number of accelerators.
    """

    cores: float
    memory_mb: int
    accelerators: int = 0

    def plus(self, other: "ResourceVector") -> "ResourceVector":
        """Returns the sum for each resource."""
        return ResourceVector(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "ResourceVector") -> "ResourceVector":
        """Returns the difference for each resource; it may be negative."""
        return ResourceVector(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def can_fit(self, other: "ResourceVector") -> bool:
        """Returns whether `other` fits for each resource."""
        return (
            other.cores <= self.cores
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


class JobSpec(msgspec.Struct, frozen=True):
    """A job as it was submitted.

    Attributes:
        id: Id chosen by the submitter; it makes submissions idempotent.
        partner: Name of the customer that the job runs for.
        class_name: Class of the tasks in the template.
        count: Number of tasks.
        size: Resources that one task requests.
        run_ms: Expected run time of one task.
        latency_critical: Whether the tasks have priority over batch tasks.
        max_attempts: Number of failed runs after which a task is abandoned.
    """

    id: str
    partner: str
    class_name: str
    count: int
    size: ResourceVector
    run_ms: int
    latency_critical: bool = False
    max_attempts: int = 5


class Submit(msgspec.Struct, tag="submit", frozen=True):
    """Submits a job to the cell; without effect if its id is known."""

    job: JobSpec


class Cancel(msgspec.Struct, tag="cancel", frozen=True):
    """Cancels a job; its running tasks are stopped."""

    job: str


class Claim(msgspec.Struct, tag="claim", frozen=True):
    """Claims the ownership of the cell.

    A claim is valid if `epoch` is the current epoch plus 1 and no valid record
    of an owner has an offset after `seen`.

    Attributes:
        owner: Owner id of the claimant, unique to one run of one daemon.
        epoch: Epoch that the claim would start.
        seen: Offset of the last valid record of an owner that the claimant
            has read.
    """

    owner: str
    epoch: int
    seen: int


class Placed(msgspec.Struct, tag="placed", frozen=True):
    """Places a task on a worker.

    Attributes:
        task: Id of the task.
        attempt: Number of this run; each placement of the task increases it
            by 1.
        worker: Id of the worker VM.
        boot: Boot number of the worker; distinguishes it from the same worker
            after a restart.
        size: Resources reserved on the worker.
        reason: Why the worker was chosen.
    """

    task: str
    attempt: int
    worker: str
    boot: int
    size: ResourceVector
    reason: str = ""


class Ended(msgspec.Struct, tag="ended", frozen=True):
    """Ends a run of a task, which is known to have stopped.

    Attributes:
        task: Id of the task.
        attempt: Number of the run.
        outcome: How the run ended.
        checkpoint: Checkpoint to resume from, or "" if there is none.
        ran_ms: Run time.
        reason: Why the system ended the run, or "".
    """

    task: str
    attempt: int
    outcome: RunOutcome
    checkpoint: str = ""
    ran_ms: int = 0
    reason: str = ""


class Rejected(msgspec.Struct, tag="rejected", frozen=True):
    """Rejects a job that can never run in this cell."""

    job: str
    reason: str


Entry = Placed | Ended | Rejected


class Write(msgspec.Struct, tag="write", frozen=True):
    """Decisions of the owner; also renews its lease.

    Attributes:
        owner: Owner id of the writer.
        epoch: Epoch of the writer's ownership.
        seq: Sequence number of the owner's records, from 1; a duplicate is
            ignored.
        entries: Decisions, in order; may be empty.
    """

    owner: str
    epoch: int
    seq: int
    entries: list[Entry] = []


class Release(msgspec.Struct, tag="release", frozen=True):
    """Releases the ownership, so that the next claim needs no wait."""

    owner: str
    epoch: int


class CellSnapshot(msgspec.Struct, tag="snapshot", frozen=True):
    """The state of the cell after the record at offset `as_of`."""

    as_of: int
    state: msgspec.Raw


CellRecord = Submit | Cancel | Claim | Write | Release | CellSnapshot
