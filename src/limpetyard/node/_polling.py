"""Looks at workers, again and again, which extends their leases."""

import asyncio
from collections.abc import Callable

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import (
    Engine,
    PollRequest,
    StaleTokenError,
    StepWorkerClient,
    Worker,
    WorkerDownError,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)

# How long a worker waits with its lists for an end: beside tasks that serve
# as long as their figures cover, else twice that.
LOOK_SERVING_MS = 500
LOOK_MS = 1000

# Longest wait for the answer of a look beyond what the worker may wait.
LOOK_TIMEOUT_MS = 600

# Pause after a look that failed.
LOOK_RETRY_MS = 150


class Looks:
    """Looks at the workers of one ownership."""

    __slots__ = (
        "_clock",
        "_engine",
        "_lease_ms",
        "_lose",
        "_may_order",
        "_news",
        "_stored",
        "_workers",
    )

    def __init__(
        self,
        engine: Engine,
        workers: StepWorkerClient,
        clock: Clock,
        lease_ms: float,
        may_order: Callable[[], bool],
        lose: Callable[[str], None],
        news: Callable[[], None],
        stored: asyncio.Event,
    ):
        """Makes looks.

        Args:
            engine: Told what workers list.
            workers: Who is looked at.
            clock: Times them.
            lease_ms: Lease that a look asks for.
            may_order: Whether this node is still the owner.
            lose: Ends the ownership, with a reason.
            news: Told when lists had anything new.
            stored: Set for a moment after each append.
        """
        self._engine = engine
        self._workers = workers
        self._clock = clock
        self._lease_ms = lease_ms
        self._may_order = may_order
        self._lose = lose
        self._news = news
        self._stored = stored

    async def follow(self, worker_id: str) -> None:
        """Looks at a worker until it is dropped or the task is cancelled."""
        while True:
            worker = self._engine.workers.get(worker_id)
            if worker is None:
                return
            if not self._may_order():
                await asyncio.sleep(LOOK_RETRY_MS / MS_PER_SECOND)
                continue
            try:
                await self._look(worker)
            except StaleTokenError:
                self._lose(f"worker {worker_id} has seen a higher token")
                return
            except (WorkerOutcomeUnknownError, WrongWorkerError) as exc:
                if isinstance(exc, WorkerDownError):
                    self._engine.on_connection_refused(
                        worker, self._clock.now_ms()
                    )
                event("look_failed", worker=worker_id, reason=exc)
                await asyncio.sleep(LOOK_RETRY_MS / MS_PER_SECOND)

    async def _look(self, worker: Worker) -> None:
        now_ms = self._clock.now_ms()
        token = worker.token
        lease_until_ms = None
        if worker.is_responsive(now_ms):
            lease_until_ms = worker.grant_lease(now_ms, self._lease_ms)
        wait_ms = _wait_ms(worker, lease_until_ms)
        order = PollRequest(token, worker.acked_end, lease_until_ms, wait_ms)
        reply = await self._workers.poll(
            worker.entry, order, wait_ms + LOOK_TIMEOUT_MS
        )
        if worker.token != token:
            return
        token_confirmed = worker.token_confirmed
        arrived_ms = self._clock.now_ms()
        news = self._engine.on_poll(worker, now_ms, reply, arrived_ms)
        if news or not token_confirmed:
            self._news()
        if worker.received_end > worker.acked_end:
            await self._wait_stored()

    async def _wait_stored(self) -> None:
        """Waits for the next append, since ends repeat until it is noted."""
        try:
            async with asyncio.timeout(LOOK_RETRY_MS / MS_PER_SECOND):
                await self._stored.wait()
        except TimeoutError:
            return


def _wait_ms(worker: Worker, lease_until_ms: int | None) -> int:
    """Returns how long the worker may hold its answer back."""
    known = worker.token_confirmed and lease_until_ms is not None
    if not known or worker.received_end > worker.acked_end:
        return 0
    serves = any(run.step.target_ms for run in worker.runs.values())
    return LOOK_SERVING_MS if serves else LOOK_MS
