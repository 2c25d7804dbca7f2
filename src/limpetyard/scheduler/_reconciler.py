"""Orders to workers: syncs with lease renewals, starts and stops."""

from limpetyard.cell import Task
from limpetyard.fleet import (
    Run,
    RunState,
    StartOrder,
    StartRejection,
    StartReply,
    StopOrder,
    SyncOrder,
)
from limpetyard.scheduler._context import CellContext
from limpetyard.scheduler._effects import (
    Effect,
    StartRuns,
    StopRuns,
    SyncWorker,
)
from limpetyard.scheduler._workers import ENDED_STATES, SentStart, TrackedWorker


class WorkerReconciler:
    """Derives the orders to each worker from the projected state.

    Compares the placements in the state with the runs that a worker reports.
    """

    __slots__ = ("_context",)

    def __init__(self, context: CellContext):
        self._context = context

    def effects(self, worker: TrackedWorker, now_ms: float) -> list[Effect]:
        """Returns the orders that are due for a worker."""
        if worker.gone:
            return []
        effects: list[Effect] = []
        params = self._context.params
        if now_ms - worker.last_sync_ms >= params.sync_ms:
            effects.append(self._sync_effect(worker, now_ms))
        if not worker.replied_recently(now_ms, params):
            return effects
        stops = self._stop_orders(worker, now_ms)
        if stops:
            effects.append(StopRuns(worker.vm.id, worker.vm.address, stops))
        starts = self._start_orders(worker, now_ms)
        if starts:
            effects.append(StartRuns(worker.vm.id, worker.vm.address, starts))
        return effects

    def on_start_reply(
        self,
        worker: TrackedWorker,
        orders: list[StartOrder],
        reply: StartReply,
    ) -> None:
        """Handles the results of start orders.

        A run that the worker has no room for is marked to be stopped.
        """
        for order, result in zip(orders, reply.results, strict=True):
            if result.refusal is StartRejection.NO_ROOM:
                worker.request_stop(order.task, order.attempt)

    def _sync_effect(self, worker: TrackedWorker, now_ms: float) -> SyncWorker:
        """Returns a sync, with a renewal of the runs' lease if permitted.

        A lease end of 0 in the order means no renewal.
        """
        context = self._context
        lease_until_ms = 0.0
        if self._may_renew(worker, now_ms):
            worker.last_grant_ms = now_ms
            lease_until_ms = worker.to_worker_clock(
                now_ms, context.params.task_lease_ms
            )
        worker.last_sync_ms = now_ms
        order = SyncOrder(
            context.name,
            context.ownership.epoch,
            worker.rev,
            worker.boot,
            lease_until_ms,
            self._forgettable_runs(worker, now_ms),
        )
        return SyncWorker(worker.vm.id, worker.vm.address, order)

    def _may_renew(self, worker: TrackedWorker, now_ms: float) -> bool:
        """Returns whether the worker's runs may get a lease renewal.

        Renewals continue for `outage_ms` after this daemon's lease has
        expired, so that an outage of the log does not end running tasks.
        """
        context = self._context
        lease_end_ms = context.ownership.lease_until_ms
        within_outage = now_ms < lease_end_ms + context.params.outage_ms
        return within_outage and worker.replied_recently(now_ms, context.params)

    def _forgettable_runs(
        self, worker: TrackedWorker, now_ms: float
    ) -> list[tuple[str, int]]:
        """Returns ended runs that the worker may discard."""
        return [
            (run.task, run.attempt)
            for run in worker.runs.values()
            if run.state in ENDED_STATES
            and not self._context.is_placed(worker, run)
            and self._start_expired(worker, run, now_ms)
        ]

    def _start_expired(
        self, worker: TrackedWorker, run: Run, now_ms: float
    ) -> bool:
        """Returns whether no copy of a start order can still take effect.

        A copy that arrives after the run was forgotten would start it again.
        """
        sent = worker.sent_starts.get(run.task)
        return sent is None or now_ms > sent.expired_after_ms

    def _stop_orders(
        self, worker: TrackedWorker, now_ms: float
    ) -> list[StopOrder]:
        """Returns the stops that were not sent within the last `repeat_ms`."""
        context = self._context
        orders = []
        for key in self._unplaced_runs(worker) + self._runs_to_stop(worker):
            last_ms = worker.requested_stops.get(key, float("-inf"))
            if now_ms - last_ms < context.params.repeat_ms:
                continue
            worker.requested_stops[key] = now_ms
            orders.append(
                StopOrder(context.name, context.ownership.epoch, *key)
            )
        return orders

    def _unplaced_runs(self, worker: TrackedWorker) -> list[tuple[str, int]]:
        """Returns running runs that the projected state does not place."""
        return [
            (run.task, run.attempt)
            for run in worker.runs.values()
            if run.state is RunState.RUNNING
            and not self._context.is_placed(worker, run)
        ]

    def _runs_to_stop(self, worker: TrackedWorker) -> list[tuple[str, int]]:
        """Returns placed runs that have to stop, batch tasks first."""
        zone_in_service = self._context.zone_in_service(worker)
        tasks = [
            task
            for task in self._context.placed_on(worker)
            if not zone_in_service
            or (task.id, task.attempt) in worker.requested_stops
            or self._context.state.job_of(task).cancelled
        ]
        tasks.sort(key=self._context.is_critical)
        return [(task.id, task.attempt) for task in tasks]

    def _start_orders(
        self, worker: TrackedWorker, now_ms: float
    ) -> list[StartOrder]:
        context = self._context
        if not context.may_start(now_ms) or not context.zone_in_service(worker):
            return []
        return [
            self._start_order(worker, task, now_ms)
            for task in context.placed_on(worker)
            if self._start_due(worker, task, now_ms)
        ]

    def _start_due(
        self, worker: TrackedWorker, task: Task, now_ms: float
    ) -> bool:
        """Returns whether a placed task's start has to be sent or resent."""
        stopping = (task.id, task.attempt) in worker.requested_stops
        if task.boot != worker.boot or stopping:
            return False
        run = worker.runs.get(task.id)
        if run is not None and run.attempt >= task.attempt:
            return False
        sent = worker.sent_starts.get(task.id)
        if sent is None or sent.attempt != task.attempt:
            return True
        return now_ms - sent.sent_ms >= self._context.params.repeat_ms

    def _start_order(
        self, worker: TrackedWorker, task: Task, now_ms: float
    ) -> StartOrder:
        """Returns a start order and records that it was sent."""
        context = self._context
        spec = context.state.job_of(task).spec
        valid_ms = context.start_deadline_ms() - now_ms
        expired_after_ms = now_ms + valid_ms + context.params.margin_ms
        worker.last_grant_ms = now_ms
        worker.sent_starts[task.id] = SentStart(
            task.attempt, now_ms, expired_after_ms
        )
        return StartOrder(
            cell=context.name,
            epoch=context.ownership.epoch,
            boot=task.boot,
            task=task.id,
            attempt=task.attempt,
            not_after_ms=worker.to_worker_clock(now_ms, valid_ms),
            lease_until_ms=worker.to_worker_clock(
                now_ms, context.params.task_lease_ms
            ),
            size=task.size,
            run_ms=spec.run_ms,
            class_name=spec.class_name,
            checkpoint=task.checkpoint,
        )
