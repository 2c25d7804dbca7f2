"""The decisions of one daemon about one cell.

The controller does no I/O and reads no clock. It is told what was read and
heard, and each step returns the effects that are due. Effects follow from the
folded state, not from events, so that a new owner continues where the last one
stopped and a lost answer is simply asked for again.
"""

from collections.abc import Iterable

from limpetyard.cell import (
    CellState,
    Ended,
    Entry,
    Outcome,
    Ownership,
    Placed,
    Rejected,
    Size,
    Task,
)
from limpetyard.config import ConfigState
from limpetyard.placement import PlacementPolicy, Relief
from limpetyard.platform import (
    Refusal,
    Run,
    RunState,
    StartOrder,
    StartReply,
    StopOrder,
    SyncOrder,
    SyncReply,
    Vm,
)
from limpetyard.scheduler._effects import (
    Append,
    Effect,
    StartRuns,
    StopRuns,
    SyncWorker,
)
from limpetyard.scheduler._planner import Planner
from limpetyard.scheduler._rates import samples_of
from limpetyard.scheduler._terms import ControlTerms
from limpetyard.scheduler._workers import ENDED_STATES, KnownWorker, SentStart

_OUTCOMES = {
    RunState.FINISHED: Outcome.FINISHED,
    RunState.FAILED: Outcome.FAILED,
    RunState.STOPPED: Outcome.EVICTED,
    RunState.LAPSED: Outcome.LOST,
}


class CellController:
    """Follows one cell and decides for it while it owns it.

    Attributes:
        name: Name of the cell's stream.
        state: The folded state of the stream.
        ownership: This daemon's part in owning the cell.
        workers: Workers of the cell by id.
        accepting: Whether the cell may be claimed; False while draining.
    """

    __slots__ = (
        "_cfg",
        "_cfg_confirmed_ms",
        "_committed_ms",
        "_planner",
        "_policy",
        "_relief",
        "_terms",
        "accepting",
        "name",
        "ownership",
        "state",
        "workers",
    )

    def __init__(
        self,
        name: str,
        owner: str,
        terms: ControlTerms,
        policy: PlacementPolicy,
    ):
        self.name = name
        self.state = CellState()
        self.ownership = Ownership(owner, self.state, terms.lease)
        self.workers: dict[str, KnownWorker] = {}
        self.accepting = True
        self._terms = terms
        self._policy = policy
        self._planner = Planner(policy, terms)
        self._relief = Relief()
        self._cfg = ConfigState()
        self._cfg_confirmed_ms: float | None = None
        self._committed_ms = float("-inf")

    def set_state(self, state: CellState) -> None:
        """Takes the state that the stream's reader now folds."""
        self.state = state
        self.ownership.state = state

    def set_config(self, cfg: ConfigState, confirmed_ms: float | None) -> None:
        """Takes the configuration in force.

        Args:
            cfg: The configuration.
            confirmed_ms: Clock before the newest read that reached the end of
                the configuration stream.
        """
        self._cfg = cfg
        self._cfg_confirmed_ms = confirmed_ms

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Takes the cell's workers from the VM list.

        A worker that the list does not name any more keeps its last entry as
        long as something is placed there: a list that lags proves nothing.
        """
        listed = {vm.id: vm for vm in vms}
        for worker_id, vm in listed.items():
            known = self.workers.get(worker_id)
            if known is None:
                self.workers[worker_id] = KnownWorker(vm)
            else:
                known.vm = vm
        for worker_id in list(self.workers):
            if worker_id not in listed and worker_id not in self.state.placed:
                del self.workers[worker_id]

    def heard_sync(
        self, worker_id: str, order: SyncOrder, reply: SyncReply, now_ms: float
    ) -> None:
        """Takes in the answer to a sync."""
        worker = self.workers.get(worker_id)
        if worker is None or not self._is_current(order.epoch):
            return
        if reply.stale or not worker.in_order(reply):
            return
        news = worker.take(reply, now_ms)
        for task_id, attempt in order.forget:
            run = worker.runs.get(task_id)
            if run is not None and run.attempt == attempt:
                del worker.runs[task_id]
            worker.stops.pop((task_id, attempt), None)
            sent = worker.starts.get(task_id)
            if sent is not None and sent.attempt == attempt:
                del worker.starts[task_id]
        for run in news:
            self._learn(worker, run)

    def heard_start(
        self, worker_id: str, orders: list[StartOrder], reply: StartReply
    ) -> None:
        """Takes in the answers to start orders."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        for order, result in zip(orders, reply.results, strict=True):
            if result.refusal is Refusal.NO_ROOM:
                worker.want_stop(order.task, order.attempt)

    def step(
        self, now_ms: float, confirmed_ms: float | None, claim_extra_ms: float
    ) -> list[Effect]:
        """Returns the effects that are due.

        Args:
            now_ms: Present reading of the clock.
            confirmed_ms: Clock before the newest read that reached the end of
                the cell's stream.
            claim_extra_ms: Wait on top of the lease before claiming.
        """
        before = self.ownership.won_ms
        self.ownership.observe(now_ms)
        if self.ownership.won_ms != before:
            self._begin_ownership()
        effects: list[Effect] = []
        record = self.ownership.resend(now_ms)
        if record is not None:
            effects.append(Append(record))
        if self.ownership.owning:
            effects += self._own(now_ms)
        elif self.accepting and self.ownership.may_claim(
            confirmed_ms, claim_extra_ms
        ):
            effects.append(Append(self.ownership.claim(now_ms)))
        return effects

    def release(self, now_ms: float) -> list[Effect]:
        """Returns the effect that gives the cell up, if it can be now."""
        self.accepting = False
        if not self.ownership.owning or not self.ownership.idle:
            return []
        return [Append(self.ownership.release(now_ms))]

    def _begin_ownership(self) -> None:
        for worker in self.workers.values():
            worker.forget_ownership()
        self._committed_ms = float("-inf")

    def _is_current(self, epoch: int) -> bool:
        return self.ownership.owning and epoch == self.ownership.epoch

    def _own(self, now_ms: float) -> list[Effect]:
        effects = self._commit(now_ms)
        for worker in self.workers.values():
            effects += self._tend(worker, now_ms)
        return effects

    # Decisions that the stream has to hold before they take effect.

    def _commit(self, now_ms: float) -> list[Effect]:
        if not self.ownership.idle:
            return []
        due = now_ms - self._committed_ms >= self._terms.commit_ms
        renewal = self.ownership.renewal_due(now_ms)
        if not due and not renewal:
            return []
        entries: list[Entry] = self._endings(now_ms)
        entries += self._rejections()
        if self._may_start(now_ms):
            entries += self._placements(now_ms)
        if not entries and not renewal:
            return []
        self._committed_ms = now_ms
        return [Append(self.ownership.write(now_ms, entries))]

    def _endings(self, now_ms: float) -> list[Entry]:
        entries: list[Entry] = []
        for worker_id, task_ids in self.state.placed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                continue
            lapsed = worker.surely_lapsed(
                now_ms, self.ownership.won_ms, self._terms
            )
            for task_id in task_ids:
                task = self.state.tasks[task_id]
                entry = self._ending(worker, task, lapsed)
                if entry is not None:
                    entries.append(entry)
                    self._judge(worker, entry.outcome, now_ms)
        return entries

    def _ending(
        self, worker: KnownWorker, task: Task, lapsed: bool
    ) -> Ended | None:
        run = worker.runs.get(task.id)
        restarted = worker.boot > task.boot
        if restarted:
            return _lost(task, 0, "worker restarted")
        if run and run.attempt == task.attempt and run.state in ENDED_STATES:
            return Ended(
                task.id,
                task.attempt,
                _outcome_of(run),
                run.checkpoint,
                run.ran_ms,
            )
        if lapsed:
            return _lost(task, run.ran_ms if run else 0, "worker silent")
        return None

    def _judge(
        self, worker: KnownWorker, outcome: Outcome, now_ms: float
    ) -> None:
        if outcome is Outcome.FAILED:
            worker.breaker.note_failure(now_ms)
        elif outcome is Outcome.FINISHED:
            worker.breaker.note_success()
        else:
            worker.breaker.note_no_outcome()

    def _rejections(self) -> list[Entry]:
        if not self.workers:
            return []
        entries: list[Entry] = []
        for job in self.state.jobs.values():
            size = job.spec.size
            if job.rejected or job.cancelled:
                continue
            if not any(w.vm.size.holds(size) for w in self.workers.values()):
                reason = f"no worker of {self.name} holds {_text(size)}"
                entries.append(Rejected(job.spec.id, reason))
        return entries

    def _placements(self, now_ms: float) -> list[Entry]:
        plans = self._planner.plan(
            self.state, self._cfg, self.workers.values(), now_ms
        )
        entries: list[Entry] = []
        for plan in plans:
            worker = self.workers[plan.worker.id]
            worker.breaker.note_placed()
            task = self.state.tasks[plan.task.id]
            entries.append(
                Placed(
                    task.id,
                    task.attempt + 1,
                    worker.vm.id,
                    worker.boot,
                    plan.task.size,
                    plan.reason,
                )
            )
        return entries

    # Effects on workers.

    def _tend(self, worker: KnownWorker, now_ms: float) -> list[Effect]:
        if worker.gone:
            return []
        effects: list[Effect] = []
        if now_ms - worker.sync_sent_ms >= self._terms.sync_ms:
            effects.append(self._sync(worker, now_ms))
        if not worker.heard_lately(now_ms, self._terms):
            return effects
        stops = self._stops(worker, now_ms)
        if stops:
            effects.append(StopRuns(worker.vm.id, worker.vm.address, stops))
        if self._may_start(now_ms) and self._zone_open(worker):
            starts = self._starts(worker, now_ms)
            if starts:
                effects.append(
                    StartRuns(worker.vm.id, worker.vm.address, starts)
                )
        return effects

    def _sync(self, worker: KnownWorker, now_ms: float) -> SyncWorker:
        lease_until_ms = 0.0
        if self._may_renew(worker, now_ms):
            worker.granted_ms = now_ms
            lease_until_ms = worker.clock_in(now_ms, self._terms.task_lease_ms)
        worker.sync_sent_ms = now_ms
        order = SyncOrder(
            self.name,
            self.ownership.epoch,
            worker.rev,
            worker.boot,
            lease_until_ms,
            self._to_forget(worker, now_ms),
        )
        return SyncWorker(worker.vm.id, worker.vm.address, order)

    def _may_renew(self, worker: KnownWorker, now_ms: float) -> bool:
        last_ms = self.ownership.lease_until_ms + self._terms.outage_ms
        return now_ms < last_ms and worker.heard_lately(now_ms, self._terms)

    def _to_forget(
        self, worker: KnownWorker, now_ms: float
    ) -> list[tuple[str, int]]:
        return [
            (run.task, run.attempt)
            for run in worker.runs.values()
            if run.state in ENDED_STATES
            and not self._is_placed(worker, run)
            and self._start_void(worker, run, now_ms)
        ]

    def _start_void(self, worker: KnownWorker, run: Run, now_ms: float) -> bool:
        """Returns whether no copy of a start can still be on its way."""
        sent = worker.starts.get(run.task)
        return sent is None or now_ms > sent.void_after_ms

    def _is_placed(self, worker: KnownWorker, run: Run) -> bool:
        task = self.state.tasks.get(run.task)
        return (
            task is not None
            and task.worker == worker.vm.id
            and task.attempt == run.attempt
        )

    def _stops(self, worker: KnownWorker, now_ms: float) -> list[StopOrder]:
        wanted = self._unknown_runs(worker) | self._unwanted(worker, now_ms)
        orders = []
        for task_id, attempt in wanted.items():
            key = (task_id, attempt)
            last_ms = worker.stops.get(key, float("-inf"))
            if now_ms - last_ms < self._terms.repeat_ms:
                continue
            worker.stops[key] = now_ms
            orders.append(
                StopOrder(self.name, self.ownership.epoch, task_id, attempt)
            )
        return orders

    def _unknown_runs(self, worker: KnownWorker) -> dict[str, int]:
        """Returns runs that go on though the stream does not place them."""
        return {
            run.task: run.attempt
            for run in worker.runs.values()
            if run.state is RunState.RUNNING
            and not self._is_placed(worker, run)
        }

    def _unwanted(self, worker: KnownWorker, now_ms: float) -> dict[str, int]:
        """Returns placements that shall be ended."""
        zone_open = self._zone_open(worker)
        if zone_open:
            self._relieve(worker, now_ms)
        wanted: dict[str, int] = {}
        for task_id in self.state.placed.get(worker.vm.id, ()):
            task = self.state.tasks[task_id]
            asked = (task_id, task.attempt) in worker.stops
            cancelled = self.state.job_of(task).cancelled
            if cancelled or asked or not zone_open:
                wanted[task_id] = task.attempt
        return wanted

    def _relieve(self, worker: KnownWorker, now_ms: float) -> None:
        if not self._relief.alarmed(worker.vm.id):
            return
        view = self._planner.view_of(self.state, worker)
        slowdowns = self._planner.slowdowns(view)
        victim = self._relief.victim(view, slowdowns, now_ms)
        if victim is not None:
            attempt = self.state.tasks[victim.id].attempt
            worker.want_stop(victim.id, attempt)

    def _starts(self, worker: KnownWorker, now_ms: float) -> list[StartOrder]:
        orders = []
        for task_id in self.state.placed.get(worker.vm.id, ()):
            task = self.state.tasks[task_id]
            if self._start_due(worker, task, now_ms):
                orders.append(self._start(worker, task, now_ms))
        return orders

    def _start_due(
        self, worker: KnownWorker, task: Task, now_ms: float
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
        return now_ms - sent.sent_ms >= self._terms.repeat_ms

    def _start(
        self, worker: KnownWorker, task: Task, now_ms: float
    ) -> StartOrder:
        spec = self.state.job_of(task).spec
        valid_ms = self._starts_end_ms() - now_ms
        worker.granted_ms = now_ms
        worker.starts[task.id] = SentStart(
            task.attempt, now_ms, now_ms + valid_ms + self._terms.margin_ms
        )
        return StartOrder(
            cell=self.name,
            epoch=self.ownership.epoch,
            boot=task.boot,
            task=task.id,
            attempt=task.attempt,
            not_after_ms=worker.clock_in(now_ms, valid_ms),
            lease_until_ms=worker.clock_in(now_ms, self._terms.task_lease_ms),
            size=task.size,
            run_ms=spec.run_ms,
            class_name=spec.class_name,
            checkpoint=task.checkpoint,
        )

    def _starts_end_ms(self) -> float:
        """Returns the clock after which no start sent now may take effect."""
        if self._cfg_confirmed_ms is None:
            return float("-inf")
        return min(
            self.ownership.lease_until_ms,
            self._cfg_confirmed_ms + self._terms.config_ms,
        )

    def _may_start(self, now_ms: float) -> bool:
        return self.ownership.owning and now_ms < self._starts_end_ms()

    def _zone_open(self, worker: KnownWorker) -> bool:
        return worker.vm.availability_zone not in self._cfg.zones_out

    def _learn(self, worker: KnownWorker, run: Run) -> None:
        sample = samples_of(self.state, worker, run)
        if sample is None:
            return
        self._policy.learn(sample)
        if sample.latency_critical:
            self._relief.observe(worker.vm.id, sample.rate)


def _outcome_of(run: Run) -> Outcome:
    never_ran = run.state is RunState.STOPPED and run.ran_ms == 0
    return Outcome.REFUSED if never_ran else _OUTCOMES[run.state]


def _lost(task: Task, ran_ms: int, reason: str) -> Ended:
    return Ended(task.id, task.attempt, Outcome.LOST, "", ran_ms, reason)


def _text(size: Size) -> str:
    return (
        f"{size.cores:g} cores, {size.memory_mb} MiB,"
        f" {size.accelerators} accelerators"
    )
