"""Carries out what the engine decides, and tells it what became of it."""

from collections.abc import Callable

from limpetyard._clock import Clock
from limpetyard._events import event
from limpetyard.engine import (
    AdviceService,
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

# A start without an answer is sent this often before it is given up.
START_SENDINGS = 2


class Orders:
    """Orders to workers under one ownership."""

    __slots__ = (
        "_advice",
        "_clock",
        "_engine",
        "_lease_ms",
        "_lose",
        "_may_order",
        "_wake",
        "_workers",
    )

    def __init__(
        self,
        engine: Engine,
        workers: StepWorkerClient,
        advice: AdviceService | None,
        clock: Clock,
        lease_ms: float,
        may_order: Callable[[], bool],
        lose: Callable[[str], None],
        wake: Callable[[], None],
    ):
        """Makes orders.

        Args:
            engine: Told what became of them.
            workers: Who gets them.
            advice: The advice service, or None.
            clock: Times them.
            lease_ms: Lease that a start asks for.
            may_order: Whether this node is still the owner.
            lose: Ends the ownership, with a reason.
            wake: Has the engine plan again.
        """
        self._engine = engine
        self._workers = workers
        self._advice = advice
        self._clock = clock
        self._lease_ms = lease_ms
        self._may_order = may_order
        self._lose = lose
        self._wake = wake

    async def carry_out(self, effect: Effect) -> None:
        """Carries one effect out."""
        await _EXECUTORS[type(effect)](self, effect)

    async def _start(self, effect: Start) -> None:
        worker = self._engine.workers.get(effect.worker)
        if worker is None:
            return
        token = worker.token
        result = None
        for sending in range(START_SENDINGS):
            now_ms = self._clock.now_ms()
            until_ms = worker.grant_lease(now_ms, self._lease_ms)
            wanted = (effect.task, effect.run) in worker.runs
            if until_ms is None or worker.token != token or not wanted:
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
                if sending and result is not StartResult.STARTED:
                    # The first sending may have run, and ended, already.
                    result = None
                break
            except (WorkerOutcomeUnknownError, WrongWorkerError) as exc:
                event("order_failed", order="start", reason=exc)
            except StaleTokenError:
                if worker.token == token:
                    self._lose(f"worker {worker.id} has seen a higher token")
                return
        event(
            "task_started",
            task=effect.task.name,
            run=effect.run,
            worker=effect.worker,
            kind=effect.reason,
            result=result.value if result is not None else "silent",
        )
        self._engine.on_start(effect, result, self._clock.now_ms())
        self._wake()

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
                self._lose(f"worker {worker.id} has seen a higher token")
            return
        if worker.token == token:
            self._engine.on_stop(effect, self._clock.now_ms())

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

    async def _ask(self, effect: RequestAdvice) -> None:
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
        self._wake()


_EXECUTORS = {
    Start: Orders._start,
    Stop: Orders._stop,
    Pace: Orders._pace,
    RequestAdvice: Orders._ask,
}
