"""What limpetyard asks of a worker that runs tasks of steps under a lease.

Times in orders are readings of the worker's own clock, which it tells in every
reply, so that an order that was held back does nothing once its time is over.
"""

import enum
from typing import Protocol

import msgspec

from limpetyard.errors import LimpetyardError, PlatformError
from limpetyard.jobs import Resources, TaskKey


class WorkerOutcomeUnknownError(PlatformError):
    """No answer came; the order may be carried out now, later or never."""


class WorkerDownError(WorkerOutcomeUnknownError):
    """Nobody listens at the worker's address."""


class WrongWorkerError(LimpetyardError):
    """Another worker answers at the address."""


class StaleTokenError(LimpetyardError):
    """The worker has seen a higher fencing token."""


class WorkerEntry(msgspec.Struct, frozen=True):
    """What a worker says of itself.

    Attributes:
        id: Its id.
        service: Pool that it belongs to.
        address: IP:port for orders.
        availability_zone: Where it stands.
        rack: Its rack.
        labels: All its labels.
        capacity: What it has.
        born: Unix milliseconds at which this life of it began.
        draining: Whether it is about to leave.
        remaining_ms: Shortest time left while it drains.
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
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunReport(msgspec.Struct, frozen=True):
    """One run in a worker's list.

    Attributes:
        task: Its task.
        run: Its number.
        checkpoint: Newest saved progress, or "".
        percent: Share of its speed that it may use; 100 once it is at work.
        measurement: Of the last half second: the tail of the response times in
            milliseconds for a task that serves, else the processors in use,
            in thousandths of a core.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: float
    measurement: float


class RunEndReport(msgspec.Struct, frozen=True):
    """One ended run that the worker remembers until it is noted.

    Attributes:
        number: Number of the end in this life of the worker, from 1.
        task: Its task.
        run: Its number.
        how: How it ended.
        checkpoint: Newest saved progress, or "".
    """

    number: int
    task: TaskKey
    run: int
    how: RunEndKind
    checkpoint: str


class PollRequest(msgspec.Struct, frozen=True):
    """Extends the lease of all runs and asks for the lists.

    Attributes:
        token: Fencing token.
        acked_end: Ends up to this number may be forgotten.
        lease_until_ms: Worker's clock at which its lease ends, or None to
            leave the lease as it is.
        wait_ms: How long the worker may wait for an end.
    """

    token: int
    acked_end: int
    lease_until_ms: int | None
    wait_ms: int


class PollReply(msgspec.Struct, frozen=True):
    """A worker's lists.

    Attributes:
        born: Life of the worker that answers.
        clock_ms: Its clock.
        runs: What runs.
        ends: Ends that are not noted, in order.
    """

    born: int
    clock_ms: float
    runs: list[RunReport]
    ends: list[RunEndReport]


class StartOrder(msgspec.Struct, frozen=True):
    """Starts a run; repeating it changes nothing."""

    task: TaskKey
    run: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class StartResult(enum.Enum):
    """What became of a start that was answered."""

    STARTED = "started"
    STALE_RUN = "stale_run"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class PaceOrder(msgspec.Struct, frozen=True):
    """Limits the share of its speed that a run may use."""

    task: TaskKey
    run: int
    percent: int
    token: int


class StepWorkerClient(Protocol):
    """Orders to workers.

    Every call raises `WorkerOutcomeUnknownError` without an answer,
    `WrongWorkerError` if another worker answered, `StaleTokenError` if the
    token is too low.
    """

    async def poll(
        self, entry: WorkerEntry, order: PollRequest, timeout_ms: float
    ) -> PollReply:
        """Extends the lease and returns the lists."""

    async def start(self, entry: WorkerEntry, order: StartOrder) -> StartResult:
        """Starts a run."""

    async def stop(
        self, entry: WorkerEntry, task: TaskKey, run: int, token: int
    ) -> None:
        """Stops a run, or keeps it from ever starting."""

    async def pace(self, entry: WorkerEntry, order: PaceOrder) -> None:
        """Limits a run's speed."""


class Ticket(msgspec.Struct, frozen=True):
    """Leave to run a step on a worker."""

    worker: str
    ticket: str
    valid_ms: float


class AdviceService(Protocol):
    """The service that names the workers of a step."""

    async def advise(
        self, job: str, occurrence: int, step: int, workers: list[str]
    ) -> list[Ticket]:
        """Returns a ticket for each worker that may run the step.

        Raises:
            WorkerOutcomeUnknownError: If the service gave no answer.
        """
