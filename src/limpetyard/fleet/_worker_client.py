"""What limpetyard asks of a worker.

All times in orders are readings of the worker's own clock, which it tells in
every reply. An order that is held back on its way therefore does nothing once
its time is over, without any two VMs comparing clocks.
"""

import enum
from typing import Protocol

import aiohttp
import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard.cell import ResourceVector
from limpetyard.errors import WorkerUnavailableError


class RunState(enum.Enum):
    """State of a run at its worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class Refusal(enum.Enum):
    """Why a worker did not start a run."""

    STALE_EPOCH = "stale_epoch"
    STALE_ATTEMPT = "stale_attempt"
    EXPIRED = "expired"
    OTHER_BOOT = "other_boot"
    NO_ROOM = "no_room"


class Run(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a worker says of one run.

    Attributes:
        task: Id of the task.
        attempt: Number of the run.
        state: State of the run.
        checkpoint: Progress to resume from, once it has ended.
        ran_ms: How long it has run.
        rate: Progress per unit of time against an idle worker, as far as
            the lagging report shows, or 0 if it does not show it yet.
        rate_at_ms: Worker's clock at the moment that `rate` describes.
        cores: Processors that it kept busy or waited for at that moment.
        fraction: Part of its speed that it is throttled to.
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
    """Measured use of one worker, which lags.

    Attributes:
        at_ms: Worker's clock at the moment described.
        cores: Processors in use.
        memory_mb: Memory in use, in MiB.
    """

    at_ms: float
    cores: float
    memory_mb: int


class SyncOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """Renews the lease of a cell's runs on a worker and asks for news.

    Attributes:
        cell: Name of the cell.
        epoch: Ownership that asks; the worker refuses an older one.
        since: Revision of the news that the owner has.
        boot: Run of the worker that `since` belongs to, 0 if unknown.
        lease_until_ms: Worker's clock until when the runs may go on, or 0
            to leave the lease as it is.
        forget: Ended runs that the log holds.
    """

    cell: str
    epoch: int
    since: int
    boot: int = 0
    lease_until_ms: float = 0.0
    forget: list[tuple[str, int]] = []


class SyncReply(msgspec.Struct, frozen=True):
    """A worker's news.

    Attributes:
        boot: This run of the worker; a later one has a larger number.
        clock_ms: Worker's clock.
        rev: Revision of the news.
        stale: Whether the order came from an older ownership.
        runs: Runs that changed after `since`, or all if `boot` differs.
        usage: Measured use.
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
        epoch: Ownership that asks.
        boot: Run of the worker that is meant.
        task: Id of the task.
        attempt: Number of the run.
        not_after_ms: Worker's clock after which the order is void.
        lease_until_ms: Worker's clock until when the run may go on.
        size: Resources set aside.
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
    """What became of one start order; `refusal` is None if it runs."""

    task: str
    attempt: int
    refusal: Refusal | None = None


class StartReply(msgspec.Struct, frozen=True):
    """What became of start orders, in their order."""

    results: list[StartResult]


class StopOrder(msgspec.Struct, frozen=True):
    """Checkpoints and stops a run, or makes sure that it never starts."""

    cell: str
    epoch: int
    task: str
    attempt: int


class ThrottleOrder(msgspec.Struct, frozen=True):
    """Limits a run to a fraction of its speed, or lifts the limit.

    Attributes:
        cell: Name of the cell.
        epoch: Ownership that asks.
        task: Id of the task.
        attempt: Number of the run.
        fraction: Part of its speed, above 0 and at most 1.
    """

    cell: str
    epoch: int
    task: str
    attempt: int
    fraction: float


class WorkerClient(Protocol):
    """Calls to workers; each raises WorkerUnavailableError if unanswered."""

    async def sync(self, address: str, order: SyncOrder) -> SyncReply:
        """Renews and asks for news."""

    async def start(self, address: str, orders: list[StartOrder]) -> StartReply:
        """Starts runs; repeating an order changes nothing."""

    async def stop(self, address: str, orders: list[StopOrder]) -> None:
        """Stops runs; the outcome shows in the next sync."""

    async def throttle(self, address: str, orders: list[ThrottleOrder]) -> None:
        """Throttles runs."""


class HttpWorkerClient:
    """Clients of all workers."""

    __slots__ = ("_session", "_timeout")

    def __init__(self, session: aiohttp.ClientSession, timeout_ms: int):
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / MS_PER_SECOND)

    async def sync(self, address: str, order: SyncOrder) -> SyncReply:
        """Renews and asks for news."""
        body = await self._post(f"{address}/sync", order)
        return msgspec.json.decode(body, type=SyncReply)

    async def start(self, address: str, orders: list[StartOrder]) -> StartReply:
        """Starts runs; repeating an order changes nothing."""
        body = await self._post(f"{address}/start", orders)
        return msgspec.json.decode(body, type=StartReply)

    async def stop(self, address: str, orders: list[StopOrder]) -> None:
        """Stops runs; the outcome shows in the next sync."""
        await self._post(f"{address}/stop", orders)

    async def throttle(self, address: str, orders: list[ThrottleOrder]) -> None:
        """Throttles runs."""
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
