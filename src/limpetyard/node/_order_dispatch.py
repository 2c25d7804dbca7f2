"""Executes the effects of the engine and reports their results to it."""

import asyncio
import collections
import contextlib
import weakref
from collections.abc import Callable, Coroutine

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import (
    AdviceClient,
    Effect,
    Engine,
    OrderWithheldError,
    Pace,
    PaceOrder,
    PollRequest,
    RequestAdvice,
    RunState,
    StaleTokenError,
    Start,
    StartOrder,
    StartResult,
    StepWorkerClient,
    Stop,
    Ticket,
    Worker,
    WorkerDownError,
    WorkerOutcomeUnknownError,
    WorkerRun,
    WrongWorkerError,
)
from limpetyard.jobs import AdviceParams, QueueParams

# Maximum number of times that an unanswered start order is sent.
START_ATTEMPTS = 2

# Time after which a worker rejects a start order that it receives late. It runs
# on the worker's clock, and from this owner's estimate of that clock, which is
# behind by up to the age of the reply that it comes from. The lease of a
# responsive worker lasts longer, as each poll renews it.
START_VALID_MS = 3000

# Maximum number of start orders in flight, so that the replies to all of them
# are processed within the time-out of an order, and of accepted ones that need
# not wait for the store.
MAX_STARTS_IN_FLIGHT = 48

# Maximum number of accepted starts of long-running tasks whose place is stored
# first. They do not hold back the others while the store is slow. Most of them
# wait for an append or for earlier starts on the same worker.
MAX_UNRECORDED_STARTS = 3 * MAX_STARTS_IN_FLIGHT

# Time since the last confirmation of the ownership after which each start order
# follows a poll. A later owner may have fenced the incarnation by then, and
# another one that has restarted since would accept the order.
UNCONFIRMED_MS = 1000

# Time-out of such a poll, to which the worker replies at once.
PROBE_TIMEOUT_MS = 300

# Interval at which a start that waits for the store is checked again.
RECORD_CHECK_MS = 500

# Maximum number of stop orders in flight. The time-out of an order begins when
# it is sent, so many of them must not wait for each other's replies.
MAX_STOPS_IN_FLIGHT = 96

# Time-out of a call for advice beyond the figures of its queue.
ADVICE_MARGIN_MS = 2000

# Calls of the expected duration that may take place within the time-out: one
# before, which was given up, may still be under way at the service.
ADVICE_CALLS = 2

# The time-out doubles with each call of a queue that fails, at most this often,
# in case the figures that are stored with its jobs are out of date.
MAX_ADVICE_DOUBLINGS = 2


def advice_timeout_ms(
    params: AdviceParams, workers: int, failures: int
) -> float:
    """Returns the time-out of a call for advice.

    Args:
        params: Figures of the queue.
        workers: Number of workers that the call names.
        failures: Calls of the queue that have failed since one succeeded.
    """
    expected_ms = params.decision_ms + workers * params.per_worker_ms
    doublings = min(failures, MAX_ADVICE_DOUBLINGS)
    return (ADVICE_MARGIN_MS + ADVICE_CALLS * expected_ms) * (1 << doublings)


class OrderDispatcher:
    """Sends the orders of one ownership to workers.

    Start orders to the same worker are sent one after another, and so are stop
    orders. With the poll, they use one connection each.

    Calls for advice of a queue are made one after another, so that one with
    slow advice and many steps does not hold back the others.
    """

    __slots__ = (
        "_advice",
        "_advice_failures",
        "_advice_locks",
        "_append_done",
        "_clock",
        "_end_ownership",
        "_engine",
        "_lease_ms",
        "_may_order",
        "_replan",
        "_send_slots",
        "_start_locks",
        "_starts",
        "_stop_locks",
        "_stop_slots",
        "_stops",
        "_unrecorded_starts",
        "_workers",
    )

    def __init__(
        self,
        engine: Engine,
        workers: StepWorkerClient,
        advice: AdviceClient | None,
        clock: Clock,
        lease_ms: float,
        may_order: Callable[[], bool],
        end_ownership: Callable[[str], None],
        replan: Callable[[], None],
        append_done: asyncio.Event,
    ):
        """Initializes a dispatcher.

        Args:
            engine: Engine that processes the results.
            workers: Client of the workers.
            advice: Client of the advice service, or None.
            clock: Clock for the times of orders and results.
            lease_ms: Longest duration of a lease.
            may_order: Returns whether orders may be issued: not after the
                ownership has ended, nor while orders are suspended.
            end_ownership: Ends the ownership for a reason.
            replan: Requests another round of planning.
            append_done: Pulsed (set and at once cleared) after each append.
        """
        self._engine = engine
        self._workers = workers
        self._advice = advice
        self._clock = clock
        self._lease_ms = lease_ms
        self._may_order = may_order
        self._end_ownership = end_ownership
        self._replan = replan
        self._append_done = append_done
        # Calls for advice that have failed since one succeeded, by queue.
        self._advice_failures: collections.Counter[str] = collections.Counter()
        self._advice_locks: weakref.WeakValueDictionary[str, asyncio.Lock] = (
            weakref.WeakValueDictionary()
        )
        # Task and run of each start that is accepted and not done. Those that
        # waited for the store are in the second set.
        self._starts: set[tuple] = set()
        self._unrecorded_starts: set[tuple] = set()
        self._send_slots = asyncio.Semaphore(MAX_STARTS_IN_FLIGHT)
        self._start_locks: weakref.WeakValueDictionary[str, asyncio.Lock] = (
            weakref.WeakValueDictionary()
        )
        # Stop orders that are in flight or wait for it.
        self._stops: set[Stop] = set()
        self._stop_slots = asyncio.Semaphore(MAX_STOPS_IN_FLIGHT)
        self._stop_locks: weakref.WeakValueDictionary[str, asyncio.Lock] = (
            weakref.WeakValueDictionary()
        )

    @property
    def free_starts(self) -> int:
        """Number of starts that may be accepted now.

        A caller may exceed it, such as for a gang, whose members must start
        together.
        """
        return max(0, MAX_STARTS_IN_FLIGHT - len(self._starts))

    @property
    def free_unrecorded_starts(self) -> int:
        """Number of starts that may be accepted now and wait for the store."""
        return max(0, MAX_UNRECORDED_STARTS - len(self._unrecorded_starts))

    def accept(self, effect: Effect) -> Coroutine[None, None, None]:
        """Accepts an effect and returns the coroutine that executes it.

        A start counts against `free_starts` or, if it must wait for the store,
        `free_unrecorded_starts` at once, until the coroutine has ended or is
        dropped.
        """
        if not isinstance(effect, Start):
            return _EXECUTORS[type(effect)](self, effect)
        if self._is_recorded(effect):
            execution, accepted = self._start(effect), self._starts
        else:
            execution = self._start_when_recorded(effect)
            accepted = self._unrecorded_starts
        key = (effect.task, effect.run)
        accepted.add(key)
        # A coroutine that is cancelled before its first step does not execute
        # its `finally` clause.
        weakref.finalize(execution, accepted.discard, key)
        return execution

    async def execute(self, effect: Effect) -> None:
        """Executes one effect."""
        await self.accept(effect)

    def _is_recorded(self, effect: Start) -> bool:
        return self._engine.is_place_recorded(effect.task, effect.worker)

    async def _start_when_recorded(self, effect: Start) -> None:
        """Starts a run once a later owner would know of its worker.

        If the run must not start any more, it is withdrawn.
        """
        try:
            while not self._is_recorded(effect):
                worker = self._engine.workers.get(effect.worker)
                run = worker and worker.runs.get((effect.task, effect.run))
                if run is None:
                    return
                if not self._may_start(worker, run, self._clock.now_ms()):
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RECORD_CHECK_MS / MS_PER_SECOND):
                        await self._append_done.wait()
            await self._start(effect)
        finally:
            self._unrecorded_starts.discard((effect.task, effect.run))

    async def _start(self, effect: Start) -> None:
        """Sends a start order after earlier ones to the same worker."""
        try:
            lock = self._start_locks.setdefault(effect.worker, asyncio.Lock())
            # A start that waits for its worker must not take a slot.
            async with lock, self._send_slots:
                worker = self._engine.workers.get(effect.worker)
                if worker is not None:
                    await self._send_start(worker, effect)
        finally:
            self._starts.discard((effect.task, effect.run))
            self._replan()

    async def _send_start(self, worker: Worker, effect: Start) -> None:
        """Sends a start order, at most `START_ATTEMPTS` times.

        Withdraws the start if no order for it was sent: if the run must not
        start any more, or if all connections were refused or orders withheld.
        """
        token = worker.token
        result = clock_ms = None
        sends, queued_ms = 0, 0.0
        # Whether an earlier attempt may have been executed.
        may_have_begun = False
        for attempt in range(START_ATTEMPTS):
            is_current = await self._is_current(worker, token)
            now_ms = self._clock.now_ms()
            run = worker.runs.get((effect.task, effect.run))
            if run is None or worker.token != token:
                return
            if run.state is RunState.RUNNING:
                # A poll has shown that an unanswered attempt was executed.
                result = StartResult.STARTED
                break
            until_ms = (
                self._grant_start(worker, run, effect, now_ms)
                if is_current
                else None
            )
            if until_ms is None:
                if not may_have_begun:
                    self._engine.on_start_withdrawn(effect, now_ms)
                    return
                break
            order = StartOrder(
                effect.task,
                effect.run,
                effect.payload,
                until_ms,
                token,
                effect.checkpoint,
                effect.ticket,
            )
            sends += 1
            born = worker.born
            run.add_start_expiry(until_ms, now_ms)
            if not attempt:
                queued_ms = now_ms - run.placed_ms
            run.start_in_flight = True
            try:
                reply = await self._workers.start(worker.entry, order)
                result, clock_ms = reply.result, reply.clock_ms
                if may_have_begun and result is not StartResult.STARTED:
                    # The unanswered first attempt may have started a run,
                    # which may have ended already. The result is unknown.
                    result = None
                break
            except (WorkerDownError, OrderWithheldError) as exc:
                event("order_failed", order="start", reason=exc)
                worker.revoke_lease(token, until_ms)
            except (WorkerOutcomeUnknownError, WrongWorkerError) as exc:
                event("order_failed", order="start", reason=exc)
                may_have_begun = True
                self._engine.on_start_unanswered(effect, born, now_ms)
                worker.record_unanswered(token)
                worker.record_pending_start(run, self._clock.now_ms())
            except StaleTokenError:
                if worker.token == token:
                    self._end_ownership(
                        f"worker {worker.id} has seen a higher fencing token"
                    )
                return
        run.start_in_flight = False
        if result is None and not may_have_begun:
            now_ms = self._clock.now_ms()
            worker.record_silent_start(now_ms)
            self._engine.on_start_withdrawn(effect, now_ms)
            return
        event(
            "task_started",
            task=effect.task.name,
            run=effect.run,
            worker=effect.worker,
            kind=effect.placer,
            result=result.value if result is not None else "silent",
            queued_ms=queued_ms,
            sends=sends,
            until_ms=run.start_expires_ms,
        )
        self._engine.on_start_reply(
            effect, result, self._clock.now_ms(), clock_ms
        )

    async def _is_current(self, worker: Worker, token: int) -> bool:
        """Returns whether a start order meets the incarnation of a token.

        Asks the worker if the ownership has not been confirmed lately. Ends it
        if the worker has seen a higher token.
        """
        age_ms = self._clock.now_ms() - self._engine.confirmed_ms
        if age_ms < UNCONFIRMED_MS or not self._may_order():
            return True
        born = worker.born
        request = PollRequest(token, 0, None, 0)
        try:
            reply = await self._workers.poll(
                worker.entry, request, PROBE_TIMEOUT_MS
            )
        except (WorkerOutcomeUnknownError, WrongWorkerError) as exc:
            event("look_failed", worker=worker.id, reason=exc)
            worker.record_unanswered(token)
            worker.record_silent_start(self._clock.now_ms())
            return False
        except StaleTokenError:
            if worker.token == token:
                self._end_ownership(
                    f"worker {worker.id} has seen a higher fencing token"
                )
            return False
        if reply.born != born:
            worker.record_silent_start(self._clock.now_ms())
        return reply.born == born

    def _grant_start(
        self, worker: Worker, run: WorkerRun, effect: Start, now_ms: float
    ) -> int | None:
        """Grants the lease of a start order; None if it must not be sent.

        The result is the time on the worker's clock at which the order expires.
        """
        if not self._is_recorded(effect):
            return None
        if not self._may_start(worker, run, now_ms):
            return None
        if not self._engine.has_valid_ticket(effect, now_ms):
            return None
        return worker.grant_lease(now_ms, min(START_VALID_MS, self._lease_ms))

    def _may_start(self, worker: Worker, run: WorkerRun, now_ms: float) -> bool:
        """Returns whether a start order for a run may be sent now.

        The run may have been stopped since it was planned, and the worker may
        have become silent, have rejected the start before this one, have less
        capacity, drain, or be in a zone that is out of service.
        """
        return (
            run.state is RunState.ORDERED
            and not worker.entry.draining
            and worker.entry.availability_zone not in self._engine.zones_out
            and not worker.is_overcommitted
            and worker.is_responsive(now_ms)
            and self._engine.may_lease(worker.id)
            and now_ms >= worker.backoff_until_ms
            and self._may_order()
        )

    async def _stop(self, effect: Stop) -> None:
        """Sends a stop order in its turn, unless it already waits for it.

        Drops it if the worker has restarted by then: the run may be needed if
        it is there again.
        """
        worker = self._engine.workers.get(effect.worker)
        if worker is None or effect in self._stops:
            return
        token = worker.token
        self._stops.add(effect)
        lock = self._stop_locks.setdefault(effect.worker, asyncio.Lock())
        try:
            async with lock, self._stop_slots:
                await self._send_stop(effect, token)
        finally:
            self._stops.discard(effect)

    async def _send_stop(self, effect: Stop, token: int) -> None:
        worker = self._engine.workers.get(effect.worker)
        if worker is None or worker.token != token or not self._may_order():
            return
        try:
            await self._workers.stop(
                worker.entry, effect.task, effect.run, token
            )
        except (WorkerOutcomeUnknownError, WrongWorkerError) as exc:
            event("order_failed", order="stop", reason=exc)
            return
        except StaleTokenError:
            if worker.token == token:
                self._end_ownership(
                    f"worker {worker.id} has seen a higher fencing token"
                )
            return
        if worker.token == token:
            self._engine.on_stop_reply(effect, self._clock.now_ms())

    async def _pace(self, effect: Pace) -> None:
        worker = self._engine.workers.get(effect.worker)
        if worker is None or not self._may_order():
            return
        order = PaceOrder(effect.task, effect.run, effect.percent, worker.token)
        sent_ms = self._clock.now_ms()
        try:
            await self._workers.pace(worker.entry, order)
        except (
            WorkerOutcomeUnknownError,
            WrongWorkerError,
            StaleTokenError,
        ) as exc:
            event("order_failed", order="pace", reason=exc)
            self._engine.on_pace_failed(effect)
            return
        event(
            "task_paced",
            task=effect.task.name,
            worker=effect.worker,
            percent=effect.percent,
            took_ms=self._clock.now_ms() - sent_ms,
        )

    async def _request_advice(self, effect: RequestAdvice) -> None:
        """Requests advice after earlier requests of the same queue."""
        job = self._engine.open_jobs.get(effect.job)
        if job is None:
            return
        queue = job.spec.queue
        lock = self._advice_locks.setdefault(queue.name, asyncio.Lock())
        async with lock:
            # The job may have ended in the meantime.
            if effect.job in self._engine.open_jobs:
                await self._call_for_advice(effect, queue)

    async def _call_for_advice(
        self, effect: RequestAdvice, queue: QueueParams
    ) -> None:
        if self._advice is None:
            event("advice_missing", job=effect.job)
            self._engine.on_advice_failed(effect, self._clock.now_ms())
            return
        workers = list(effect.workers)
        failures = self._advice_failures[queue.name]
        timeout_ms = advice_timeout_ms(queue.advice, len(workers), failures)
        try:
            tickets = await self._advice.advise(
                effect.job, effect.occurrence, effect.step, workers, timeout_ms
            )
        except WorkerOutcomeUnknownError as exc:
            event("advice_failed", job=effect.job, reason=exc)
            self._advice_failures[queue.name] += 1
            self._engine.on_advice_failed(effect, self._clock.now_ms())
            return
        self._advice_failures[queue.name] = 0
        now_ms = self._clock.now_ms()
        self._engine.add_tickets(
            effect,
            [Ticket(t.worker, t.ticket, now_ms + t.valid_ms) for t in tickets],
        )
        self._replan()


_EXECUTORS = {
    Stop: OrderDispatcher._stop,
    Pace: OrderDispatcher._pace,
    RequestAdvice: OrderDispatcher._request_advice,
}
