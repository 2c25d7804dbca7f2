"""The records of a cell's stream.

A cell is a part of a region's workers, cut across its availability zones, and
the jobs that run there. Its stream is the only place where anything about
them is agreed.
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
        cores: Processors.
        memory_mb: Memory in MiB.
        accelerators: Accelerators.
    """

    cores: float
    memory_mb: int
    accelerators: int = 0

    def plus(self, other: "ResourceVector") -> "ResourceVector":
        """Returns the sum of both sizes."""
        return ResourceVector(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "ResourceVector") -> "ResourceVector":
        """Returns what is left when `other` is taken away."""
        return ResourceVector(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def holds(self, other: "ResourceVector") -> bool:
        """Returns whether `other` fits in on every resource."""
        return (
            other.cores <= self.cores
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


class JobSpec(msgspec.Struct, frozen=True):
    """A job as it was submitted.

    Attributes:
        id: The submitter's name for it, which also makes a repeated
            submission idempotent.
        partner: Who it runs for.
        class_name: Class of its tasks in the template.
        count: Number of tasks.
        size: What one task needs.
        run_ms: Expected run time of one task.
        latency_critical: Whether its tasks go before batch work.
        max_attempts: Failed runs after which a task is given up.
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
    """Hands a job to the cell."""

    job: JobSpec


class Cancel(msgspec.Struct, tag="cancel", frozen=True):
    """Ends a job; its running tasks are stopped."""

    job: str


class Claim(msgspec.Struct, tag="claim", frozen=True):
    """Asks for ownership of the cell.

    It is valid if `epoch` follows the present one and no valid record of an
    owner stands behind `seen`.

    Attributes:
        owner: The claimant, unique to one run of one daemon.
        epoch: Number of the ownership asked for.
        seen: Offset of the last valid owner's record that the claimant knows.
    """

    owner: str
    epoch: int
    seen: int


class Placed(msgspec.Struct, tag="placed", frozen=True):
    """A task may run on a worker.

    Attributes:
        task: Id of the task.
        attempt: Number of this run, counted up by one for each placement.
        worker: Id of the worker VM.
        boot: The worker's run, so that a restarted worker is told apart.
        size: What is set aside on the worker.
        reason: Why the worker was chosen.
    """

    task: str
    attempt: int
    worker: str
    boot: int
    size: ResourceVector
    reason: str = ""


class Ended(msgspec.Struct, tag="ended", frozen=True):
    """A run of a task is over for certain.

    Attributes:
        task: Id of the task.
        attempt: Number of the run.
        outcome: How it ended.
        checkpoint: Progress to resume from, or "" if there is none.
        ran_ms: How long it ran.
        reason: Why the system ended it, or "".
    """

    task: str
    attempt: int
    outcome: RunOutcome
    checkpoint: str = ""
    ran_ms: int = 0
    reason: str = ""


class Rejected(msgspec.Struct, tag="rejected", frozen=True):
    """A job can never run here."""

    job: str
    reason: str


Entry = Placed | Ended | Rejected


class Write(msgspec.Struct, tag="write", frozen=True):
    """Decisions of the owner; also renews its lease.

    Attributes:
        owner: Who writes.
        epoch: Ownership under which it writes.
        seq: Counts the owner's records from 1; a repeated one is void.
        entries: Decisions, in order.
    """

    owner: str
    epoch: int
    seq: int
    entries: list[Entry] = []


class Release(msgspec.Struct, tag="release", frozen=True):
    """Gives the ownership up, so that nobody has to wait."""

    owner: str
    epoch: int


class CellSnapshot(msgspec.Struct, tag="snapshot", frozen=True):
    """The whole state of the cell after the record `as_of`."""

    as_of: int
    state: msgspec.Raw


CellRecord = Submit | Cancel | Claim | Write | Release | CellSnapshot
