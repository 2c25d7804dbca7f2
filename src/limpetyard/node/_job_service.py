"""Takes jobs in, and tells of them, at any node.

A job or a cancellation is accepted once the store has it; the owner of its
cell reads it there. So jobs are accepted while the owner is away, and no
answer depends on a node that may be replaced.
"""

import asyncio
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._error_kinds import ErrorKind
from limpetyard._events import event
from limpetyard.errors import RequestError
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    FINAL_STATES,
    JobSpec,
    encode_spec,
)
from limpetyard.node._member import GroupMember
from limpetyard.node._peers import (
    JobNotFoundError,
    LocalCells,
    PeerClient,
    PeerUnavailableError,
)
from limpetyard.node._store_layout import JOBS_TOPIC
from limpetyard.store import (
    KeyedRecord,
    Store,
    StoreError,
    StoreRefusedError,
    Writer,
)

# Pause before the owner is asked again, and longest time for which a caller
# waits for an owner that is away: a takeover takes about as long.
ASK_AGAIN_MS = 100
OWNER_WAIT_MS = 800

# A pending count may be two seconds old.
PENDING_AGE_MS = 1000

# Requests are refused while an append has been without an answer this long:
# what waits behind it could be neither accepted nor refused in time.
SILENT_MS = 500

# Part of a caller's time that is left for the answer itself.
ANSWER_MS = 100

# After this a caller may try again: the time of a takeover, rounded up.
RETRY_AFTER_S = 1

# Jobs of one append.
BATCH = 64


class _Waiting:
    """A record that waits to be stored."""

    __slots__ = ("fut", "record")

    def __init__(self, record: KeyedRecord, fut: asyncio.Future):
        self.record = record
        self.fut = fut


class BatchAppender:
    """Stores records in batches, for callers that wait for it."""

    __slots__ = ("_clock", "_queue", "_writer")

    def __init__(self, store: Store, clock: Clock, cell: int, producer: str):
        self._clock = clock
        self._queue: asyncio.Queue[_Waiting] = asyncio.Queue()
        self._writer = Writer(store, clock, JOBS_TOPIC, cell, producer, 1)

    async def run(self) -> None:
        """Stores what is put in, until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while len(batch) < BATCH and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            batch = [item for item in batch if not item.fut.done()]
            if not batch:
                continue
            try:
                await self._writer.append([item.record for item in batch])
            except StoreError as exc:
                _fail(batch, exc)
            else:
                for item in batch:
                    if not item.fut.done():
                        item.fut.set_result(None)

    async def put(self, record: KeyedRecord, wait_ms: float) -> None:
        """Stores a record.

        Raises:
            RequestError: STORE_REFUSED if it is not stored and never will be,
                STORE_SILENT if it is not known.
        """
        since_ms = self._writer.waiting_since_ms
        now_ms = self._clock.now_ms()
        if since_ms is not None and now_ms - since_ms > SILENT_MS:
            raise RequestError(
                ErrorKind.STORE_REFUSED,
                f"the store has not answered for {now_ms - since_ms:.0f} ms",
                RETRY_AFTER_S,
            )
        fut = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Waiting(record, fut))
        try:
            async with asyncio.timeout(max(wait_ms, 1) / MS_PER_SECOND):
                await fut
        except TimeoutError:
            raise RequestError(
                ErrorKind.STORE_SILENT,
                f"not known to be stored after {wait_ms:.0f} ms",
            ) from None


def _fail(batch: list[_Waiting], exc: StoreError) -> None:
    refused = isinstance(exc, StoreRefusedError)
    kind = ErrorKind.STORE_REFUSED if refused else ErrorKind.STORE_SILENT
    for item in batch:
        if not item.fut.done():
            item.fut.set_exception(RequestError(kind, str(exc), RETRY_AFTER_S))


class JobService:
    """What callers can do with jobs."""

    __slots__ = ("_cells", "_clock", "_inbox", "_member", "_peers", "_pending")

    def __init__(
        self,
        inbox: BatchAppender,
        member: Callable[[], GroupMember],
        peers: PeerClient,
        cells: LocalCells,
        clock: Clock,
    ):
        self._inbox = inbox
        self._member = member
        self._peers = peers
        self._cells = cells
        self._clock = clock
        self._pending: dict[str, tuple[float, int]] = {}

    async def submit(self, spec: JobSpec, deadline_ms: float) -> None:
        """Accepts a job; one id is one job.

        Args:
            spec: The job.
            deadline_ms: How long the caller waits.

        Raises:
            RequestError: If it is not accepted, or not known to be.
        """
        begun_ms = self._clock.now_ms()
        record = KeyedRecord(ACCEPTED_PREFIX + spec.id, encode_spec(spec))
        await self._inbox.put(record, deadline_ms - ANSWER_MS)
        event(
            "job_accepted",
            job=spec.id,
            queue=spec.queue.name,
            steps=len(spec.steps),
            took_ms=self._clock.now_ms() - begun_ms,
        )

    async def cancel(self, job_id: str, deadline_ms: float) -> None:
        """Cancels a job.

        Raises:
            RequestError: JOB_GONE if there is no such job, or as for `submit`.
        """
        begun_ms = self._clock.now_ms()
        try:
            state = await self._ask_state(job_id)
        except PeerUnavailableError:
            state = ""
        except JobNotFoundError:
            raise RequestError(ErrorKind.JOB_GONE, job_id) from None
        if state not in FINAL_STATES:
            left_ms = deadline_ms - (self._clock.now_ms() - begun_ms)
            record = KeyedRecord(CANCELLED_PREFIX + job_id, b"1")
            await self._inbox.put(record, left_ms - ANSWER_MS)
        event("job_cancelled", job=job_id, state=state or "unknown")

    async def state(self, job_id: str, deadline_ms: float) -> str:
        """Returns the state of a job.

        Raises:
            RequestError: JOB_GONE if there is no such job, OWNER_AWAY if it
                is not known.
        """
        begun_ms = self._clock.now_ms()
        wait_ms = min(OWNER_WAIT_MS, deadline_ms - ANSWER_MS)
        while True:
            try:
                return await self._ask_state(job_id)
            except JobNotFoundError:
                raise RequestError(ErrorKind.JOB_GONE, job_id) from None
            except PeerUnavailableError as exc:
                if self._clock.now_ms() - begun_ms > wait_ms:
                    raise RequestError(
                        ErrorKind.OWNER_AWAY, str(exc), RETRY_AFTER_S
                    ) from exc
                await self._member().holder(0, refresh=True)
            await asyncio.sleep(ASK_AGAIN_MS / MS_PER_SECOND)

    async def pending(self, queue: str) -> int:
        """Returns how many accepted jobs of a queue have not begun.

        Raises:
            RequestError: OWNER_AWAY if it is not known.
        """
        now_ms = self._clock.now_ms()
        read_ms, number = self._pending.get(queue, (float("-inf"), 0))
        if now_ms - read_ms < PENDING_AGE_MS:
            return number
        try:
            number = await self._ask_pending(queue)
        except PeerUnavailableError as exc:
            await self._member().holder(0, refresh=True)
            raise RequestError(
                ErrorKind.OWNER_AWAY, str(exc), RETRY_AFTER_S
            ) from exc
        self._pending[queue] = (now_ms, number)
        return number

    async def _ask_state(self, job_id: str) -> str:
        member = self._member()
        if 0 in member.held:
            return self._cells.job_state(job_id)
        holder = await member.holder(0)
        return await self._peers.job_state(holder, job_id)

    async def _ask_pending(self, queue: str) -> int:
        member = self._member()
        if 0 in member.held:
            return self._cells.queue_pending(queue)
        holder = await member.holder(0)
        return await self._peers.queue_pending(holder, queue)
