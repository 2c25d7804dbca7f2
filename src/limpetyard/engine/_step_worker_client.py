"""Interface to workers, which run tasks under a lease, and to advice.

Times in orders are on the worker's own clock, which every reply reports. An
order that is delayed on its way thus has no effect once its time has passed.
"""

import enum
from typing import Protocol

import msgspec

from limpetyard.errors import LimpetyardError, PlatformError
from limpetyard.jobs import Resources, TaskKey


class WorkerOutcomeUnknownError(PlatformError):
    """No usable answer; the order may take effect now, later or never."""


class WorkerDownError(WorkerOutcomeUnknownError):
    """Nothing listens at the worker's address."""


class WrongWorkerError(LimpetyardError):
    """Another worker answers at the address."""


class StaleTokenError(LimpetyardError):
    """The worker has seen a higher fencing token."""


class WorkerEntry(msgspec.Struct, frozen=True):
    """Directory entry that a worker publishes about itself.

    Attributes:
        id: Id of the worker.
        service: Pool that the worker belongs to.
        address: IP:port for orders.
        availability_zone: Zone of the worker.
        rack: Rack of the worker.
        labels: All labels of the worker.
        capacity: Total resources of the worker.
        born: Unix milliseconds at which this incarnation started.
        draining: Whether the worker is about to leave.
        remaining_ms: Least time left before a draining worker leaves.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: Resources
    born: int
    draining: bool = False
    remaining_ms: float = 0.0


class RunEndKind(enum.Enum):
    """How a run ended.

    LAPSED means that the lease expired. A member of a gang ends as BROKEN if
    another member did not succeed, and as ALONE if others did not start in
    time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(msgspec.Struct, frozen=True):
    """Report of a worker on a current run.

    Attributes:
        task: Key of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint, or "".
        percent: Share of its full speed that the run may use; 100 once it is
            working without a limit.
        measurement: Measurement over the last half second: tail latency in
            milliseconds for a serving task, else CPU use in thousandths of a
            core.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: float
    measurement: float


class RunEndReport(msgspec.Struct, frozen=True):
    """Report of a worker on an ended run, repeated until it is acknowledged.

    Attributes:
        number: Number of the end in this incarnation of the worker, from 1.
        task: Key of the task.
        run: Number of the run.
        kind: How the run ended.
        checkpoint: Newest checkpoint, or "".
    """

    number: int
    task: TaskKey
    run: int
    kind: RunEndKind
    checkpoint: str


class PollRequest(msgspec.Struct, frozen=True):
    """Renews the lease of all runs and requests reports on runs.

    Attributes:
        token: Fencing token.
        acked_end: Number up to which the worker may forget ended runs.
        lease_until_ms: End of the lease on the worker's clock, or None to
            leave the lease unchanged.
        wait_ms: Longest time that the worker may wait for a run to end before
            it replies.
    """

    token: int
    acked_end: int
    lease_until_ms: int | None
    wait_ms: int


class PollReply(msgspec.Struct, frozen=True):
    """Reply of a worker to a poll.

    Attributes:
        born: Incarnation of the worker that replies.
        clock_ms: Reading of the worker's clock.
        runs: Current runs.
        ends: Ended runs that are not acknowledged yet, in order.
    """

    born: int
    clock_ms: float
    runs: list[RunReport]
    ends: list[RunEndReport]


class StartOrder(msgspec.Struct, frozen=True):
    """Starts a run; idempotent."""

    task: TaskKey
    run: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class StartResult(enum.Enum):
    """Answer of a worker to a start order."""

    STARTED = "started"
    STALE_RUN = "stale_run"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class PaceOrder(msgspec.Struct, frozen=True):
    """Limits the share of its full speed that a run may use."""

    task: TaskKey
    run: int
    percent: int
    token: int


class StepWorkerClient(Protocol):
    """Client for requests to workers.

    Every method raises `WorkerOutcomeUnknownError` if no usable answer arrives,
    `WrongWorkerError` if another worker answers, and `StaleTokenError` if the
    token is too low.
    """

    async def poll(
        self, entry: WorkerEntry, order: PollRequest, timeout_ms: float
    ) -> PollReply:
        """Renews the lease and returns the worker's reports."""

    async def start(self, entry: WorkerEntry, order: StartOrder) -> StartResult:
        """Starts a run."""

    async def stop(
        self, entry: WorkerEntry, task: TaskKey, run: int, token: int
    ) -> None:
        """Stops a run, or prevents it from starting later."""

    async def pace(self, entry: WorkerEntry, order: PaceOrder) -> None:
        """Limits the speed of a run."""


class Ticket(msgspec.Struct, frozen=True):
    """Permission to run a step on a worker.

    Attributes:
        worker: Id of the worker.
        ticket: Opaque ticket, passed along with the start order.
        valid_ms: Validity: a duration as received from the advice service, a
            time on this process's clock within the engine.
    """

    worker: str
    ticket: str
    valid_ms: float


class AdviceClient(Protocol):
    """Client of the service that names the workers of a step."""

    async def advise(
        self, job: str, occurrence: int, step: int, workers: list[str]
    ) -> list[Ticket]:
        """Returns a ticket for each worker that may run the step.

        Raises:
            WorkerOutcomeUnknownError: If the service gave no usable answer.
        """
