"""Interfaces to the workers and to the advice service.

Workers run tasks under a lease. Times in orders are on the worker's own clock,
which every reply to a poll reports. An order that is delayed in transit
therefore has no effect after its time.
"""

import enum
from collections.abc import Callable
from typing import Protocol, Self

import msgspec

from limpetyard.errors import LimpetyardError, PlatformError
from limpetyard.jobs import Resources, TaskKey


class WorkerOutcomeUnknownError(PlatformError):
    """No usable reply; the order may take effect now, later or never."""


class WorkerDownError(WorkerOutcomeUnknownError):
    """Nothing listens at the worker's address."""


class OrderWithheldError(WorkerOutcomeUnknownError):
    """Orders may not be issued any more, and this one was not sent."""


class WorkerDisconnectedError(WorkerOutcomeUnknownError):
    """The connection was closed before a complete reply arrived."""


class WrongWorkerError(LimpetyardError):
    """Another worker replied at the address."""


class StaleTokenError(LimpetyardError):
    """The worker has seen a higher fencing token and rejects this one."""


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
        draining: Whether the worker is about to depart.
        remaining_ms: Least time left before a draining worker departs.
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
    """Report of a worker on a run that exists.

    Attributes:
        task: Key of the task.
        run: Number of the run.
        checkpoint: Latest checkpoint, or "".
        percent: Progress: for a run that lasts, 100 once it has started up and
            works without a limit; for others, the share of the work done.
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
        checkpoint: Latest checkpoint, or "".
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
        acked_end: Number up to which the owner acknowledges ended runs; the
            worker no longer reports these.
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
        has_all_ends: Whether `ends` is complete; the others follow in replies
            to later polls.
    """

    born: int
    clock_ms: float
    runs: list[RunReport]
    ends: list[RunEndReport]
    has_all_ends: bool = True


class StartOrder(msgspec.Struct, frozen=True):
    """Starts a run; idempotent.

    Attributes:
        task: Key of the task.
        run: Number of the run.
        payload: Payload of the job.
        lease_until_ms: End of the lease on the worker's clock. The worker
            rejects the order after that.
        token: Fencing token.
        checkpoint: Checkpoint to resume from, or "".
        ticket: Ticket of the advice service, or "".
    """

    task: TaskKey
    run: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class StartResult(enum.Enum):
    """Result of a start order, as replied by the worker."""

    STARTED = "started"
    STALE_RUN = "stale_run"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class StartReply(msgspec.Struct, frozen=True):
    """Reply of a worker to a start order.

    Attributes:
        result: The result.
        clock_ms: Reading of the worker's clock, or None if it cannot be read.
    """

    result: StartResult
    clock_ms: float | None = None


class PaceOrder(msgspec.Struct, frozen=True):
    """Limits a run to a percentage of its full speed."""

    task: TaskKey
    run: int
    percent: int
    token: int


class StepWorkerClient(Protocol):
    """Client for requests to workers.

    Every method raises `WorkerOutcomeUnknownError` if no usable reply arrives,
    `WrongWorkerError` if another worker replies, and `StaleTokenError` if the
    token is too low.
    """

    def guarded(self, may_send: Callable[[str, int], bool]) -> Self:
        """Returns a client that sends nothing once it may not.

        Args:
            may_send: Returns whether an order or a poll to the worker with this
                id may be sent with this token. Asked right before it is sent,
                as it may wait for a connection; if not, the call raises
                `OrderWithheldError`.
        """

    async def poll(
        self, entry: WorkerEntry, request: PollRequest, timeout_ms: float
    ) -> PollReply:
        """Renews the lease and returns the worker's reports."""

    async def start(self, entry: WorkerEntry, order: StartOrder) -> StartReply:
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
        valid_ms: In a reply of the advice service, the duration for which the
            ticket is valid. In the engine, the time on this process's clock
            until which it is valid.
    """

    worker: str
    ticket: str
    valid_ms: float


class AdviceClient(Protocol):
    """Client of the advice service, which permits workers for a step."""

    async def advise(
        self,
        job: str,
        occurrence: int,
        step: int,
        workers: list[str],
        timeout_ms: float,
    ) -> list[Ticket]:
        """Returns a ticket for each worker that may run the step.

        The `valid_ms` of each ticket is a duration. Calls are made one at a
        time, in turn; the time-out begins when the turn of a call comes.

        Raises:
            WorkerOutcomeUnknownError: If no usable reply arrives.
        """
