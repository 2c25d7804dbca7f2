"""Orders to workers: news and leases, starts, stops and throttling."""

from limpetyard.cell import Task
from limpetyard.fleet import (
    Refusal,
    Run,
    RunState,
    StartOrder,
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
    """Derives what each worker has to be told from the folded state."""

    __slots__ = ("_context",)

    def __init__(self, context: CellContext):
        self._context = context

    def effects(self, worker: TrackedWorker, now_ms: float) -> list[Effect]:
        """Returns the orders that are due for a worker."""
        if worker.gone:
            return []
        effects: list[Effect] = []
        params = self._context.params
        if now_ms - worker.sync_sent_ms >= params.sync_ms:
            effects.append(self._sync(worker, now_ms))
        if not worker.heard_lately(now_ms, params):
            return effects
        stops = self._stops(worker, now_ms)
        if stops:
            effects.append(StopRuns(worker.vm.id, worker.vm.address, stops))
        starts = self._starts(worker, now_ms)
        if starts:
            effects.append(StartRuns(worker.vm.id, worker.vm.address, starts))
        return effects

    def on_start_reply(
        self,
        worker: TrackedWorker,
        orders: list[StartOrder],
        reply: StartReply,
    ) -> None:
        """Takes in what became of start orders."""
        for order, result in zip(orders, reply.results, strict=True):
            if result.refusal is Refusal.NO_ROOM:
                worker.want_stop(order.task, order.attempt)

    def _sync(self, worker: TrackedWorker, now_ms: float) -> SyncWorker:
        context = self._context
        lease_until_ms = 0.0
        if self._may_renew(worker, now_ms):
            worker.granted_ms = now_ms
            lease_until_ms = worker.clock_in(
                now_ms, context.params.task_lease_ms
            )
        worker.sync_sent_ms = now_ms
        order = SyncOrder(
            context.name,
            context.ownership.epoch,
            worker.rev,
            worker.boot,
            lease_until_ms,
            self._to_forget(worker, now_ms),
        )
        return SyncWorker(worker.vm.id, worker.vm.address, order)

    def _may_renew(self, worker: TrackedWorker, now_ms: float) -> bool:
        """Returns whether runs may go on; in an outage of the log as well."""
        context = self._context
        lease_end_ms = context.ownership.lease_until_ms
        in_time = now_ms < lease_end_ms + context.params.outage_ms
        return in_time and worker.heard_lately(now_ms, context.params)

    def _to_forget(
        self, worker: TrackedWorker, now_ms: float
    ) -> list[tuple[str, int]]:
        return [
            (run.task, run.attempt)
            for run in worker.runs.values()
            if run.state in ENDED_STATES
            and not self._context.is_placed(worker, run)
            and self._start_void(worker, run, now_ms)
        ]

    def _start_void(
        self, worker: TrackedWorker, run: Run, now_ms: float
    ) -> bool:
        """Returns whether no copy of a start can still be on its way."""
        sent = worker.starts.get(run.task)
        return sent is None or now_ms > sent.void_after_ms

    def _stops(self, worker: TrackedWorker, now_ms: float) -> list[StopOrder]:
        context = self._context
        orders = []
        for key in self._unknown_runs(worker) + self._unwanted(worker):
            last_ms = worker.stops.get(key, float("-inf"))
            if now_ms - last_ms < context.params.repeat_ms:
                continue
            worker.stops[key] = now_ms
            orders.append(
                StopOrder(context.name, context.ownership.epoch, *key)
            )
        return orders

    def _unknown_runs(self, worker: TrackedWorker) -> list[tuple[str, int]]:
        """Returns runs that go on though the stream does not place them."""
        return [
            (run.task, run.attempt)
            for run in worker.runs.values()
            if run.state is RunState.RUNNING
            and not self._context.is_placed(worker, run)
        ]

    def _unwanted(self, worker: TrackedWorker) -> list[tuple[str, int]]:
        """Returns placements that shall be ended, batch work first."""
        zone_open = self._context.zone_open(worker)
        wanted = [
            task
            for task in self._context.placed_on(worker)
            if not zone_open
            or (task.id, task.attempt) in worker.stops
            or self._context.state.job_of(task).cancelled
        ]
        wanted.sort(key=self._context.is_critical)
        return [(task.id, task.attempt) for task in wanted]

    def _starts(self, worker: TrackedWorker, now_ms: float) -> list[StartOrder]:
        context = self._context
        if not context.may_start(now_ms) or not context.zone_open(worker):
            return []
        return [
            self._start(worker, task, now_ms)
            for task in context.placed_on(worker)
            if self._start_due(worker, task, now_ms)
        ]

    def _start_due(
        self, worker: TrackedWorker, task: Task, now_ms: float
    ) -> bool:
        stopping = (task.id, task.attempt) in worker.stops
        if task.boot != worker.boot or stopping:
            return False
        run = worker.runs.get(task.id)
        if run is not None and run.attempt >= task.attempt:
            return False
        sent = worker.starts.get(task.id)
        if sent is None or sent.attempt != task.attempt:
            return True
        return now_ms - sent.sent_ms >= self._context.params.repeat_ms

    def _start(
        self, worker: TrackedWorker, task: Task, now_ms: float
    ) -> StartOrder:
        context = self._context
        spec = context.state.job_of(task).spec
        valid_ms = context.starts_end_ms() - now_ms
        void_after_ms = now_ms + valid_ms + context.params.margin_ms
        worker.granted_ms = now_ms
        worker.starts[task.id] = SentStart(task.attempt, now_ms, void_after_ms)
        return StartOrder(
            cell=context.name,
            epoch=context.ownership.epoch,
            boot=task.boot,
            task=task.id,
            attempt=task.attempt,
            not_after_ms=worker.clock_in(now_ms, valid_ms),
            lease_until_ms=worker.clock_in(
                now_ms, context.params.task_lease_ms
            ),
            size=task.size,
            run_ms=spec.run_ms,
            class_name=spec.class_name,
            checkpoint=task.checkpoint,
        )
