"""Client and messages of the worker API.

All times in orders are readings of the worker's own clock, which it returns in
every sync reply. A delayed order therefore has no effect once it has expired,
and the clocks of two VMs are never compared.
"""

import enum
from typing import Protocol

import aiohttp
import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard.cell import ResourceVector
from limpetyard.errors import WorkerUnavailableError


class RunState(enum.Enum):
    """State of a run on its worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class StartRejection(enum.Enum):
    """Reason why a worker rejected a start order."""

    STALE_EPOCH = "stale_epoch"
    STALE_ATTEMPT = "stale_attempt"
    EXPIRED = "expired"
    OTHER_BOOT = "other_boot"
    NO_ROOM = "no_room"


class Run(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of one run, as reported by its worker.

    Attributes:
        task: Id of the task.
        attempt: Attempt number of the run.
        state: State of the run.
        checkpoint: Progress to resume from, set once the run has ended.
        ran_ms: Run time so far.
        rate: Speed relative to a run on an idle worker, from a delayed
            measurement; 0 if there is none yet.
        rate_at_ms: Worker's clock at the time of the measurement.
        cores: Cores that it used or waited for at that time.
        fraction: Fraction of full speed that it is throttled to.
    """

    task: str
    attempt: int
    state: RunState
    checkpoint: str = ""
    ran_ms: int = 0
    rate: float = 0.0
    rate_at_ms: float = 0.0
    cores: float = 0.0
    fraction: float = 1.0


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of one worker, from a delayed measurement.

    Attributes:
        at_ms: Worker's clock at the time of the measurement.
        cores: Cores in use.
        memory_mb: Memory in use, in MiB.
    """

    at_ms: float
    cores: float
    memory_mb: int


class SyncOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """Renews the lease of a cell's runs on a worker and requests updates.

    Attributes:
        cell: Name of the cell.
        epoch: Fencing token of the ownership; the worker rejects an older
            one.
        since: Latest revision that the owner has received.
        boot: Boot number of the worker that `since` refers to; 0 if unknown.
        lease_until_ms: Expiry of the lease on the worker's clock; 0 leaves
            the lease unchanged.
        forget: Ended runs, as (task, attempt), that the log has recorded;
            the worker may discard them.
    """

    cell: str
    epoch: int
    since: int
    boot: int = 0
    lease_until_ms: float = 0.0
    forget: list[tuple[str, int]] = []


class SyncReply(msgspec.Struct, frozen=True):
    """Updates from a worker.

    Attributes:
        boot: Boot number of the worker; increases with each restart.
        clock_ms: Reading of the worker's clock.
        rev: Revision of the reported state.
        stale: Whether the order carried an outdated epoch.
        runs: Runs that changed after `since`, or all if `boot` differs.
        usage: Latest resource usage, or None if unknown.
    """

    boot: int
    clock_ms: float
    rev: int
    stale: bool = False
    runs: list[Run] = []
    usage: Usage | None = None


class StartOrder(msgspec.Struct, frozen=True):
    """Starts one run.

    Attributes:
        cell: Name of the cell.
        epoch: Fencing token of the ownership.
        boot: Expected boot number of the worker.
        task: Id of the task.
        attempt: Attempt number of the run.
        not_after_ms: Expiry of the order on the worker's clock.
        lease_until_ms: Expiry of the lease on the worker's clock.
        size: Resources to reserve.
        run_ms: Declared run time.
        class_name: Class of the task.
        checkpoint: Progress to resume from, or "".
    """

    cell: str
    epoch: int
    boot: int
    task: str
    attempt: int
    not_after_ms: float
    lease_until_ms: float
    size: ResourceVector
    run_ms: int
    class_name: str
    checkpoint: str = ""


class StartResult(msgspec.Struct, frozen=True):
    """Result of one start order; `refusal` is None if the run started."""

    task: str
    attempt: int
    refusal: StartRejection | None = None


class StartReply(msgspec.Struct, frozen=True):
    """Results of start orders, in the order of the request."""

    results: list[StartResult]


class StopOrder(msgspec.Struct, frozen=True):
    """Checkpoints and stops a run, or prevents a run not yet started."""

    cell: str
    epoch: int
    task: str
    attempt: int


class ThrottleOrder(msgspec.Struct, frozen=True):
    """Limits a run to a fraction of its speed, or lifts the limit.

    Attributes:
        cell: Name of the cell.
        epoch: Fencing token of the ownership.
        task: Id of the task.
        attempt: Attempt number of the run.
        fraction: Fraction of full speed, above 0 and at most 1; 1 lifts the
            limit.
    """

    cell: str
    epoch: int
    task: str
    attempt: int
    fraction: float


class WorkerClient(Protocol):
    """Interface of a client of the workers.

    Each method raises `WorkerUnavailableError` if the call fails; the order may
    or may not have taken effect.
    """

    async def sync(self, address: str, order: SyncOrder) -> SyncReply:
        """Renews the lease and returns updates."""

    async def start(self, address: str, orders: list[StartOrder]) -> StartReply:
        """Starts runs; idempotent."""

    async def stop(self, address: str, orders: list[StopOrder]) -> None:
        """Stops runs; the next sync reports the outcome."""

    async def throttle(self, address: str, orders: list[ThrottleOrder]) -> None:
        """Sets the speed limits of runs."""


class HttpWorkerClient:
    """An HTTP client of the workers."""

    __slots__ = ("_session", "_timeout")

    def __init__(self, session: aiohttp.ClientSession, timeout_ms: int):
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / MS_PER_SECOND)

    async def sync(self, address: str, order: SyncOrder) -> SyncReply:
        """Renews the lease and returns updates."""
        body = await self._post(f"{address}/sync", order)
        return msgspec.json.decode(body, type=SyncReply)

    async def start(self, address: str, orders: list[StartOrder]) -> StartReply:
        """Starts runs; idempotent."""
        body = await self._post(f"{address}/start", orders)
        return msgspec.json.decode(body, type=StartReply)

    async def stop(self, address: str, orders: list[StopOrder]) -> None:
        """Stops runs; the next sync reports the outcome."""
        await self._post(f"{address}/stop", orders)

    async def throttle(self, address: str, orders: list[ThrottleOrder]) -> None:
        """Sets the speed limits of runs."""
        await self._post(f"{address}/throttle", orders)

    async def _post(self, url: str, order: object) -> bytes:
        try:
            async with self._session.post(
                url, data=msgspec.json.encode(order), timeout=self._timeout
            ) as resp:
                resp.raise_for_status()
                return await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise WorkerUnavailableError(f"{url}: {exc!r}") from exc
