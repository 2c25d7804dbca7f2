"""Long polls of workers, which renew their leases."""

import asyncio
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import (
    REPLY_MARGIN_MS,
    Engine,
    OrderWithheldError,
    PollRequest,
    StaleTokenError,
    StepWorkerClient,
    Worker,
    WorkerDisconnectedError,
    WorkerDownError,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)

# Maximum time that a worker delays its reply while no run ends. The first one
# is the interval that a latency measurement covers.
POLL_SERVING_WAIT_MS = 500
POLL_WAIT_MS = 1000

# Workers with a latency target, but without best-effort runs to slow, are
# polled less often, at most every `POLL_WAIT_MS`, where the polls of all
# workers would exceed this rate.
CALM_POLLS_PER_S = 120

# Workers without runs are polled less often, at most every
# `POLL_IDLE_WAIT_MS`, the longest delay that workers accept, where the polls of
# all workers would exceed this rate.
IDLE_POLLS_PER_S = 400
POLL_IDLE_WAIT_MS = 2000

# Time-out of a poll beyond the time that the worker may delay its reply.
POLL_TIMEOUT_MARGIN_MS = REPLY_MARGIN_MS

# Delay after a failed poll, and interval of checks while orders are suspended.
POLL_RETRY_MS = 150

# The same for a worker that is polled only to confirm that it has ended: each
# poll has a price.
GONE_RETRY_MS = 1000

# Maximum wait for an append before the next poll. While the store refuses
# appends, workers with ended runs are polled no more often than serving ones.
APPEND_WAIT_MS = POLL_SERVING_WAIT_MS

# Pause between polls of a worker that replies at once, as it still reports ends
# that are held back; see `Worker.hold_end`.
HELD_ENDS_POLL_MS = 150

# Maximum number of polls in flight to workers whose token is not confirmed. A
# takeover polls a large cell in several waves.
MAX_FIRST_POLLS = 64


class WorkerPoller:
    """Polls the workers of one ownership."""

    __slots__ = (
        "_append_done",
        "_clock",
        "_end_ownership",
        "_engine",
        "_first_polls",
        "_lease_ms",
        "_may_order",
        "_on_change",
        "_unanswered",
        "_workers",
    )

    def __init__(
        self,
        engine: Engine,
        workers: StepWorkerClient,
        clock: Clock,
        lease_ms: float,
        may_order: Callable[[], bool],
        end_ownership: Callable[[str], None],
        on_change: Callable[[], None],
        append_done: asyncio.Event,
    ):
        """Initializes a poller.

        Args:
            engine: Engine that processes the replies.
            workers: Client of the workers.
            clock: Clock for the times of requests and replies.
            lease_ms: Duration of the lease that a poll grants, on the worker's
                clock.
            may_order: Returns whether orders may be issued: not after the
                ownership has ended, nor while orders are suspended.
            end_ownership: Ends the ownership for a reason.
            on_change: Called when a reply has changed the engine's state.
            append_done: Pulsed (set and at once cleared) after each append.
        """
        self._engine = engine
        self._workers = workers
        self._clock = clock
        self._lease_ms = lease_ms
        self._may_order = may_order
        self._end_ownership = end_ownership
        self._on_change = on_change
        self._append_done = append_done
        self._first_polls = asyncio.Semaphore(MAX_FIRST_POLLS)
        # Workers that did not answer the last poll. Its lease may have been
        # granted; the next poll grants none, to keep the bound on it low.
        self._unanswered: set[str] = set()

    async def poll_until_removed(self, worker_id: str) -> None:
        """Polls a worker until the engine drops it.

        Ends the ownership and returns if the worker has seen a higher fencing
        token than the present one. Also ends when this coroutine is cancelled.
        """
        while True:
            worker = self._engine.workers.get(worker_id)
            if worker is None:
                return
            if not self._may_order():
                await asyncio.sleep(POLL_RETRY_MS / MS_PER_SECOND)
                continue
            try:
                if worker.token_confirmed:
                    await self._poll(worker)
                else:
                    await self._poll_in_turn(worker_id)
                if worker.last_received_end > worker.last_acked_end or not (
                    worker.is_drained or self._engine.may_lease(worker.id)
                ):
                    await self._wait_for_append()
                elif worker.held_ends and worker.holds_ends(
                    self._clock.now_ms()
                ):
                    await asyncio.sleep(HELD_ENDS_POLL_MS / MS_PER_SECOND)
            except StaleTokenError:
                self._end_ownership(
                    f"worker {worker_id} has seen a higher fencing token"
                )
                return
            except (WorkerOutcomeUnknownError, WrongWorkerError) as exc:
                event("look_failed", worker=worker_id, reason=exc)
                retry_ms = (
                    GONE_RETRY_MS if worker.is_likely_gone else POLL_RETRY_MS
                )
                await asyncio.sleep(retry_ms / MS_PER_SECOND)

    async def _poll_in_turn(self, worker_id: str) -> None:
        """Polls a worker whose token is not confirmed, when its turn comes.

        Does nothing if the worker was dropped, or orders were suspended, in the
        meantime.
        """
        async with self._first_polls:
            worker = self._engine.workers.get(worker_id)
            if worker is not None and self._may_order():
                await self._poll(worker)

    async def _poll(self, worker: Worker) -> None:
        """Polls a worker once, and renews its lease if it is responsive.

        Reports errors to the engine and raises them.
        """
        now_ms = self._clock.now_ms()
        token = worker.token
        entry = worker.entry
        lease_until_ms = None
        may_be_down = worker.id in self._unanswered
        if (
            worker.is_responsive(now_ms)
            and not may_be_down
            and self._engine.may_lease(worker.id)
        ):
            lease_until_ms = worker.grant_lease(now_ms, self._lease_ms)
        wait_ms = _wait_ms(worker, lease_until_ms, len(self._engine.workers))
        worker.poll_wait_ms = wait_ms
        request = PollRequest(
            token, worker.end_to_acknowledge(now_ms), lease_until_ms, wait_ms
        )
        try:
            reply = await self._workers.poll(
                entry, request, wait_ms + POLL_TIMEOUT_MARGIN_MS
            )
        except StaleTokenError:
            # An order with the token for the next incarnation may have been
            # executed before this poll.
            if self._is_current(worker, token):
                raise
            return
        except (WorkerOutcomeUnknownError, WrongWorkerError) as exc:
            self._unanswered.add(worker.id)
            worker.record_unanswered(token)
            if isinstance(exc, (WorkerDownError, OrderWithheldError)):
                worker.revoke_lease(token, lease_until_ms)
            # A later incarnation may have another address by now.
            if (
                self._is_current(worker, token)
                and worker.entry.address == entry.address
            ):
                self._report_failure(worker, exc, now_ms, may_be_down)
            raise
        self._unanswered.discard(worker.id)
        if not self._is_current(worker, token):
            return
        token_confirmed = worker.token_confirmed
        received_ms = self._clock.now_ms()
        changed = self._engine.on_poll_reply(worker, now_ms, reply, received_ms)
        if changed or not token_confirmed:
            self._on_change()

    def _is_current(self, worker: Worker, token: int) -> bool:
        """Returns whether a poll with a token still says something.

        The worker may have restarted since the poll was sent, or the engine may
        have dropped it: a run in the reply would be on no worker then.
        """
        known = self._engine.workers.get(worker.id)
        return known is worker and worker.token == token

    def _report_failure(
        self,
        worker: Worker,
        exc: Exception,
        sent_ms: float,
        may_be_down: bool,
    ) -> None:
        """Reports a poll that failed with an error to the engine.

        Args:
            worker: The worker.
            exc: The error.
            sent_ms: When the poll was sent.
            may_be_down: Whether the poll before got no reply, so that the next
                incarnation may have closed the connection.
        """
        now_ms = self._clock.now_ms()
        changed = False
        if isinstance(exc, WorkerDisconnectedError):
            if not may_be_down:
                worker.record_disconnect(sent_ms, now_ms)
        elif isinstance(exc, WrongWorkerError):
            changed = self._engine.on_worker_replaced(worker, now_ms)
        elif isinstance(exc, WorkerDownError):
            changed = self._engine.on_connection_refused(worker, now_ms)
        if changed:
            self._on_change()

    async def _wait_for_append(self) -> None:
        """Waits for the next append, or at most `APPEND_WAIT_MS`.

        A lease may be granted only after an append; see `UnleasedWorkers`.
        A worker repeats the end of a run in each reply until it is stored and
        acknowledged. A poll before that would return at once with known ends.
        """
        try:
            async with asyncio.timeout(APPEND_WAIT_MS / MS_PER_SECOND):
                await self._append_done.wait()
        except TimeoutError:
            return


def _wait_ms(worker: Worker, lease_until_ms: int | None, workers: int) -> int:
    """Returns the time that the worker may delay its reply.

    This is 0 if the token is not confirmed, if the poll grants no lease to a
    worker that has not drained, or if ends are not acknowledged yet.

    Args:
        worker: The worker.
        lease_until_ms: End of the lease that the poll grants, or None.
        workers: Number of workers that are polled.
    """
    if worker.is_drained:
        return POLL_WAIT_MS
    confirmed_and_leased = worker.token_confirmed and lease_until_ms is not None
    if (
        not confirmed_and_leased
        or worker.last_received_end > worker.last_acked_end
    ):
        return 0
    if not worker.runs:
        spaced_ms = workers * MS_PER_SECOND // IDLE_POLLS_PER_S
        return min(max(POLL_WAIT_MS, spaced_ms), POLL_IDLE_WAIT_MS)
    steps = [run.step for run in worker.runs.values()]
    if not any(step.target_ms for step in steps):
        return POLL_WAIT_MS
    if any(step.fills for step in steps):
        return POLL_SERVING_WAIT_MS
    spaced_ms = workers * MS_PER_SECOND // CALM_POLLS_PER_S
    return min(max(POLL_SERVING_WAIT_MS, spaced_ms), POLL_WAIT_MS)
