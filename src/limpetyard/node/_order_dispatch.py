"""Executes the effects of the engine and reports their results to it."""

from collections.abc import Callable

from limpetyard._clock import Clock
from limpetyard._events import event
from limpetyard.engine import (
    AdviceClient,
    Effect,
    Engine,
    Pace,
    PaceOrder,
    RequestAdvice,
    StaleTokenError,
    Start,
    StartOrder,
    StartResult,
    StepWorkerClient,
    Stop,
    Ticket,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)

# Maximum number of times that an unanswered start order is sent.
START_ATTEMPTS = 2


class OrderDispatcher:
    """Sends the orders of one ownership to workers."""

    __slots__ = (
        "_advice",
        "_clock",
        "_end_ownership",
        "_engine",
        "_lease_ms",
        "_may_order",
        "_replan",
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
    ):
        """Initializes a dispatcher.

        Args:
            engine: Engine that processes the results.
            workers: Client of the workers.
            advice: Client of the advice service, or None.
            clock: Clock for the times of orders and results.
            lease_ms: Duration of the lease that a start order grants.
            may_order: Returns whether orders may be issued: not after the
                ownership has ended, nor while orders are suspended.
            end_ownership: Ends the ownership for a reason.
            replan: Requests another round of planning.
        """
        self._engine = engine
        self._workers = workers
        self._advice = advice
        self._clock = clock
        self._lease_ms = lease_ms
        self._may_order = may_order
        self._end_ownership = end_ownership
        self._replan = replan

    async def execute(self, effect: Effect) -> None:
        """Executes one effect."""
        await _EXECUTORS[type(effect)](self, effect)

    async def _start(self, effect: Start) -> None:
        """Sends a start order, at most `START_ATTEMPTS` times."""
        worker = self._engine.workers.get(effect.worker)
        if worker is None:
            return
        token = worker.token
        result = None
        for attempt in range(START_ATTEMPTS):
            now_ms = self._clock.now_ms()
            until_ms = worker.grant_lease(now_ms, self._lease_ms)
            expected = (effect.task, effect.run) in worker.runs
            if until_ms is None or worker.token != token or not expected:
                return
            if not self._may_order():
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
            try:
                result = await self._workers.start(worker.entry, order)
                if attempt and result is not StartResult.STARTED:
                    # The unanswered first attempt may have started a run,
                    # which may have ended already. The result is unknown.
                    result = None
                break
            except (WorkerOutcomeUnknownError, WrongWorkerError) as exc:
                event("order_failed", order="start", reason=exc)
            except StaleTokenError:
                if worker.token == token:
                    self._end_ownership(
                        f"worker {worker.id} has seen a higher fencing token"
                    )
                return
        event(
            "task_started",
            task=effect.task.name,
            run=effect.run,
            worker=effect.worker,
            kind=effect.placer,
            result=result.value if result is not None else "silent",
        )
        self._engine.on_start_reply(effect, result, self._clock.now_ms())
        self._replan()

    async def _stop(self, effect: Stop) -> None:
        worker = self._engine.workers.get(effect.worker)
        if worker is None or not self._may_order():
            return
        token = worker.token
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
        try:
            await self._workers.pace(worker.entry, order)
        except (
            WorkerOutcomeUnknownError,
            WrongWorkerError,
            StaleTokenError,
        ) as exc:
            event("order_failed", order="pace", reason=exc)
            return
        event(
            "task_paced",
            task=effect.task.name,
            worker=effect.worker,
            percent=effect.percent,
        )

    async def _request_advice(self, effect: RequestAdvice) -> None:
        if self._advice is None:
            event("advice_missing", job=effect.job)
            return
        try:
            tickets = await self._advice.advise(
                effect.job, effect.occurrence, effect.step, list(effect.workers)
            )
        except WorkerOutcomeUnknownError as exc:
            event("advice_failed", job=effect.job, reason=exc)
            return
        now_ms = self._clock.now_ms()
        self._engine.add_tickets(
            effect.job,
            effect.occurrence,
            effect.step,
            [Ticket(t.worker, t.ticket, now_ms + t.valid_ms) for t in tickets],
        )
        self._replan()


_EXECUTORS = {
    Start: OrderDispatcher._start,
    Stop: OrderDispatcher._stop,
    Pace: OrderDispatcher._pace,
    RequestAdvice: OrderDispatcher._request_advice,
}
