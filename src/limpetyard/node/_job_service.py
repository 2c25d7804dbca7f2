"""Submission, cancellation and queries of jobs, at any node.

A job or a cancellation is accepted once it is stored; the owner of its cell
reads it from the store. Jobs are therefore accepted while the owner is
unavailable, and acceptance does not depend on a node that may be replaced.
"""

import asyncio

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._error_kinds import ErrorKind
from limpetyard._events import event
from limpetyard.errors import RequestError
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    JobSpec,
    QueueService,
    cancellation_keys,
    encode_cancellation,
    encode_queue_service,
    encode_spec,
)
from limpetyard.node._peers import (
    CancellationsFullError,
    JobNotFoundError,
    LocalCells,
    PeerClient,
    PeerUnavailableError,
)
from limpetyard.node._store_layout import JOBS_TOPIC, member_node
from limpetyard.store import (
    KeyedRecord,
    Store,
    StoreError,
    StoreRefusedError,
    Writer,
    size_bytes,
    split_append,
)

# Delay before a query to the owner is retried, and maximum time that a caller
# waits for an unavailable owner: about the duration of a takeover.
OWNER_RETRY_MS = 100
OWNER_TIMEOUT_MS = 800

# Callers accept pending counts that are up to two seconds old.
PENDING_MAX_AGE_MS = 1000

# Requests are refused while an append has been unanswered for this long: the
# records queued behind it could be neither accepted nor refused in time.
UNANSWERED_LIMIT_MS = 500

# Part of a caller's deadline that is reserved for sending the response.
RESPONSE_RESERVE_MS = 100

# Longest wait for an append, whatever the deadline of the caller. An unanswered
# append must be over long before a cancellation expires; see `state_kept_ms`.
MAX_APPEND_WAIT_MS = 30_000

# Retry-After of refused requests: the duration of a takeover, rounded up.
RETRY_AFTER_S = 1

# Number of records at which an append takes no further callers.
MAX_BATCH_RECORDS = 64

# What a node knows of a job without its state, when it cancels it.
OWNER_AWAY = "owner_away"
OTHER_QUEUE = "other_queue"
NOT_FOUND = "not_found"


class OtherQueueError(JobNotFoundError):
    """The job is one of another queue."""


class _PendingRecords:
    """Records of one caller in the queue and the future that it awaits."""

    __slots__ = ("fut", "job", "records")

    def __init__(
        self, job: str, records: list[KeyedRecord], fut: asyncio.Future
    ):
        self.job = job
        self.records = records
        self.fut = fut

    @property
    def is_wanted(self) -> bool:
        """Whether the caller still waits."""
        return not self.fut.done()


class BatchAppender:
    """Appends the records of concurrent callers to the store in batches."""

    __slots__ = ("_clock", "_queue", "_store", "_writer")

    def __init__(self, store: Store, clock: Clock, cell: int, producer: str):
        self._clock = clock
        self._store = store
        self._queue: asyncio.Queue[_PendingRecords] = asyncio.Queue()
        self._writer = Writer(store, clock, JOBS_TOPIC, cell, producer, 1)

    async def run(self) -> None:
        """Appends queued records until cancelled."""
        while True:
            batch = [await self._queue.get()]
            size = len(batch[0].records)
            while size < MAX_BATCH_RECORDS and not self._queue.empty():
                batch.append(self._queue.get_nowait())
                size += len(batch[-1].records)
            # Callers that have timed out have cancelled their futures.
            batch = [item for item in batch if item.is_wanted]
            start = 0
            for records in split_append(
                [item.records for item in batch], self._store.limits.call_bytes
            ):
                end, size = start, 0
                while size < len(records):
                    size += len(batch[end].records)
                    end += 1
                # Others may have left during the appends before.
                part = [item for item in batch[start:end] if item.is_wanted]
                if part:
                    await self._append(part)
                start = end

    async def _append(self, batch: list[_PendingRecords]) -> None:
        """Appends records and tells their callers the outcome.

        An append without an answer is abandoned once all callers have left:
        they may have cancelled their jobs elsewhere.
        """
        records = [record for item in batch for record in item.records]
        try:
            await self._writer.append(
                records,
                lambda: any(item.is_wanted for item in batch),
            )
        except StoreError as exc:
            for item in batch:
                if not item.is_wanted:
                    event("append_abandoned", job=item.job, reason=exc)
            _fail_batch(batch, exc)
            return
        for item in batch:
            if not item.fut.done():
                item.fut.set_result(None)

    async def append(
        self, job: str, records: list[KeyedRecord], wait_ms: float
    ) -> None:
        """Queues records and waits until they are stored, by one append.

        Args:
            job: Id of the job that they are about.
            records: Records to append.
            wait_ms: Maximum time to wait, cut to `MAX_APPEND_WAIT_MS`.

        Raises:
            RequestError: BAD_REQUEST if the records are too large to be stored,
                STORE_REFUSED if no record is or will be stored,
                STORE_SILENT if the outcome is unknown.
        """
        sizes = [size_bytes(record) for record in records]
        limits = self._store.limits
        for size, limit in (
            (max(sizes), limits.record_bytes),
            (sum(sizes), limits.call_bytes),
        ):
            if size > limit:
                raise RequestError(
                    ErrorKind.BAD_REQUEST,
                    f"{size} bytes are to be stored, limit is {limit} bytes",
                )
        since_ms = self._writer.unanswered_since_ms
        now_ms = self._clock.now_ms()
        if since_ms is not None and now_ms - since_ms > UNANSWERED_LIMIT_MS:
            raise RequestError(
                ErrorKind.STORE_REFUSED,
                f"store has not answered for {now_ms - since_ms:.0f} ms",
                RETRY_AFTER_S,
            )
        wait_ms = min(wait_ms, MAX_APPEND_WAIT_MS)
        fut = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_PendingRecords(job, records, fut))
        try:
            async with asyncio.timeout(max(wait_ms, 1) / MS_PER_SECOND):
                await fut
        except TimeoutError:
            raise RequestError(
                ErrorKind.STORE_SILENT,
                f"append not confirmed within {wait_ms:.0f} ms",
            ) from None


def _fail_batch(batch: list[_PendingRecords], exc: StoreError) -> None:
    refused = isinstance(exc, StoreRefusedError)
    kind = ErrorKind.STORE_REFUSED if refused else ErrorKind.STORE_SILENT
    for item in batch:
        if not item.fut.done():
            item.fut.set_exception(RequestError(kind, str(exc), RETRY_AFTER_S))


class JobService:
    """Serves the requests of callers about jobs."""

    __slots__ = (
        "_appender",
        "_cells",
        "_clock",
        "_peers",
        "_pending",
        "_recorded_services",
    )

    def __init__(
        self,
        appender: BatchAppender,
        peers: PeerClient,
        cells: LocalCells,
        clock: Clock,
    ):
        self._appender = appender
        self._peers = peers
        self._cells = cells
        self._clock = clock
        self._pending: dict[str, tuple[float, int]] = {}
        # Services of queues whose records are known to be stored.
        self._recorded_services: set[QueueService] = set()

    async def submit(self, spec: JobSpec, deadline_ms: float) -> None:
        """Accepts a job; idempotent by the id of the job.

        Args:
            spec: Specification of the job.
            deadline_ms: Time that the caller waits.

        Raises:
            RequestError: If the job is not accepted, or acceptance is unknown.
        """
        start_ms = self._clock.now_ms()
        # A repeat overwrites the job, perhaps with another service.
        pair = QueueService(spec.queue.name, spec.queue.service)
        records = []
        if pair not in self._recorded_services:
            records.append(KeyedRecord(pair.key, encode_queue_service(pair)))
        records.append(
            KeyedRecord(ACCEPTED_PREFIX + spec.id, encode_spec(spec))
        )
        await self._appender.append(
            spec.id, records, deadline_ms - RESPONSE_RESERVE_MS
        )
        self._recorded_services.add(pair)
        event(
            "job_accepted",
            job=spec.id,
            queue=spec.queue.name,
            steps=len(spec.steps),
            took_ms=self._clock.now_ms() - start_ms,
        )

    async def cancel(self, job_id: str, queue: str, deadline_ms: float) -> None:
        """Cancels a job of a queue.

        The cancellation is stored even if the owner is unavailable, does not
        know the job or knows that it has ended, as another node may be about to
        store the job, perhaps once the owner has forgotten it. It names
        the queue, so that it does not cancel a job of another queue.

        Args:
            job_id: Id of the job.
            queue: Name of the queue that the caller uses.
            deadline_ms: Time that the caller waits.

        Raises:
            RequestError: JOB_GONE if the queue has no such job, QUEUE_FULL if
                the owner can't keep the cancellation of one that it does not
                know; otherwise as for `submit`.
        """
        start_ms = self._clock.now_ms()
        owner = await self._cells.find_owner(0)
        try:
            state = await self._query_state(owner, job_id, queue)
        except PeerUnavailableError:
            state = OWNER_AWAY
        except OtherQueueError:
            state = OTHER_QUEUE
        except CancellationsFullError as exc:
            raise RequestError(
                ErrorKind.QUEUE_FULL, str(exc), exc.retry_after_s
            ) from exc
        except JobNotFoundError:
            state = NOT_FOUND
        is_stored = state != OTHER_QUEUE
        if is_stored:
            left_ms = deadline_ms - (self._clock.now_ms() - start_ms)
            value = encode_cancellation(queue)
            records = [
                KeyedRecord(key, value)
                for key in cancellation_keys(job_id, queue)
            ]
            await self._appender.append(
                job_id, records, left_ms - RESPONSE_RESERVE_MS
            )
        event(
            "job_cancelled",
            job=job_id,
            queue=queue,
            owner=member_node(owner),
            state=state,
            stored=is_stored,
            took_ms=self._clock.now_ms() - start_ms,
        )
        if state in (NOT_FOUND, OTHER_QUEUE):
            raise RequestError(ErrorKind.JOB_GONE, job_id)

    async def state(self, job_id: str, queue: str, deadline_ms: float) -> str:
        """Returns the state of a job of a queue.

        Args:
            job_id: Id of the job.
            queue: Name of the queue that the caller uses.
            deadline_ms: Time that the caller waits.

        Raises:
            RequestError: JOB_GONE if the queue has no such job, OWNER_AWAY if
                the owner is unavailable.
        """
        start_ms = self._clock.now_ms()
        wait_ms = min(OWNER_TIMEOUT_MS, deadline_ms - RESPONSE_RESERVE_MS)
        while True:
            try:
                owner = await self._cells.find_owner(0)
                return await self._query_state(owner, job_id, queue)
            except JobNotFoundError:
                raise RequestError(ErrorKind.JOB_GONE, job_id) from None
            except PeerUnavailableError as exc:
                if self._clock.now_ms() - start_ms > wait_ms:
                    raise RequestError(
                        ErrorKind.OWNER_AWAY, str(exc), RETRY_AFTER_S
                    ) from exc
                await self._cells.find_owner(0, refresh=True)
            await asyncio.sleep(OWNER_RETRY_MS / MS_PER_SECOND)

    async def pending(self, queue: str) -> int:
        """Returns the number of queued jobs of a queue, without timed ones.

        The number may be up to `PENDING_MAX_AGE_MS` old.

        Raises:
            RequestError: OWNER_AWAY if the owner is unavailable.
        """
        now_ms = self._clock.now_ms()
        read_ms, count = self._pending.get(queue, (float("-inf"), 0))
        if now_ms - read_ms < PENDING_MAX_AGE_MS:
            return count
        try:
            count = await self._query_pending(queue)
        except PeerUnavailableError:
            # The cell may have passed to another node since it was read.
            await self._cells.find_owner(0, refresh=True)
            try:
                count = await self._query_pending(queue)
            except PeerUnavailableError as exc:
                raise RequestError(
                    ErrorKind.OWNER_AWAY, str(exc), RETRY_AFTER_S
                ) from exc
        self._pending[queue] = (now_ms, count)
        return count

    async def _query_state(self, owner: str, job_id: str, queue: str) -> str:
        """Returns the state of a job of a queue.

        Args:
            owner: Member name of the owner, or "" if it is not known.
            job_id: Id of the job.
            queue: Name of the queue.

        Raises:
            JobNotFoundError: If the queue has no such job; `OtherQueueError`
                if another queue has it.
            PeerUnavailableError: If the owner is unavailable.
        """
        if self._cells.is_self(owner):
            status = await self._cells.job_status(job_id)
        else:
            status = await self._peers.job_status(owner, job_id)
        # An owner of a former release does not tell the queue.
        if status.queue not in ("", queue):
            raise OtherQueueError(job_id)
        return status.state

    async def _query_pending(self, queue: str) -> int:
        owner = await self._cells.find_owner(0)
        if self._cells.is_self(owner):
            return self._cells.queue_pending(queue)
        return await self._peers.queue_pending(owner, queue)
