"""The decisions of one daemon about one cell.

The controller does no I/O and reads no clock. It is told what was read and
heard, and each step returns the effects that are due. Effects follow from the
folded state, not from events, so that a new owner continues where the last one
stopped and a lost answer is simply asked for again.
"""

from collections.abc import Iterable

from limpetyard.cell import CellState, Ownership
from limpetyard.config import ConfigState
from limpetyard.fleet import StartOrder, StartReply, SyncOrder, SyncReply, Vm
from limpetyard.placement import PlacementPolicy, SizeEstimator
from limpetyard.scheduler._context import CellContext
from limpetyard.scheduler._effects import Append, Effect
from limpetyard.scheduler._entries import Commits
from limpetyard.scheduler._mitigation import Easing
from limpetyard.scheduler._params import SchedulerParams
from limpetyard.scheduler._planner import Planner
from limpetyard.scheduler._reconciler import WorkerReconciler
from limpetyard.scheduler._workers import TrackedWorker


class CellController:
    """Follows one cell and decides for it while it owns it.

    Attributes:
        accepting: Whether the cell may be claimed; False while draining.
    """

    __slots__ = (
        "_commits",
        "_committed_ms",
        "_context",
        "_easing",
        "_tending",
        "accepting",
    )

    def __init__(
        self,
        name: str,
        owner: str,
        params: SchedulerParams,
        policy: PlacementPolicy,
    ):
        self.accepting = True
        self._context = CellContext(name, owner, params)
        sizes = SizeEstimator()
        self._commits = Commits(self._context, Planner(policy, sizes))
        self._tending = WorkerReconciler(self._context)
        self._easing = Easing(self._context, policy, sizes)
        self._committed_ms = float("-inf")

    @property
    def name(self) -> str:
        """Name of the cell's stream."""
        return self._context.name

    @property
    def state(self) -> CellState:
        """The folded state of the stream."""
        return self._context.state

    @property
    def ownership(self) -> Ownership:
        """This daemon's part in owning the cell."""
        return self._context.ownership

    @property
    def workers(self) -> dict[str, TrackedWorker]:
        """Workers of the cell by id."""
        return self._context.workers

    def set_state(self, state: CellState) -> None:
        """Takes the state that the stream's reader now folds."""
        self._context.state = state
        self.ownership.state = state

    def set_config(self, cfg: ConfigState, confirmed_ms: float | None) -> None:
        """Takes the configuration in force.

        Args:
            cfg: The configuration.
            confirmed_ms: Clock before the newest read that reached the end of
                the configuration stream.
        """
        self._context.cfg = cfg
        self._context.cfg_confirmed_ms = confirmed_ms

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Takes the cell's workers from the VM list.

        A worker that the list does not name any more keeps its last entry as
        long as something is placed there: a list that lags proves nothing.
        """
        listed = {vm.id: vm for vm in vms}
        for worker_id, vm in listed.items():
            known = self.workers.get(worker_id)
            if known is None:
                self.workers[worker_id] = TrackedWorker(vm)
            else:
                known.vm = vm
        for worker_id in list(self.workers):
            if worker_id not in listed and worker_id not in self.state.placed:
                del self.workers[worker_id]

    def on_sync_reply(
        self, worker_id: str, order: SyncOrder, reply: SyncReply, now_ms: float
    ) -> None:
        """Takes in the answer to a sync."""
        worker = self.workers.get(worker_id)
        current = order.epoch == self.ownership.epoch
        if worker is None or not self.ownership.is_owner or not current:
            return
        if reply.stale or not worker.in_order(reply):
            return
        news = worker.take(reply, now_ms)
        worker.forgotten(order.forget)
        self._easing.learn(worker, news)

    def on_start_reply(
        self, worker_id: str, orders: list[StartOrder], reply: StartReply
    ) -> None:
        """Takes in the answers to start orders."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            self._tending.on_start_reply(worker, orders, reply)

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
        before = self.ownership.acquired_ms
        self.ownership.observe(now_ms)
        if self.ownership.acquired_ms != before:
            self._begin_ownership()
        effects: list[Effect] = []
        record = self.ownership.resend(now_ms)
        if record is not None:
            effects.append(Append(record))
        if self.ownership.is_owner:
            effects += self._own(now_ms)
        elif self.accepting and self.ownership.may_claim(
            confirmed_ms, claim_extra_ms
        ):
            effects.append(Append(self.ownership.claim(now_ms)))
        return effects

    def release(self, now_ms: float) -> list[Effect]:
        """Returns the effect that gives the cell up, if it can be now."""
        self.accepting = False
        if not self.ownership.is_owner or not self.ownership.idle:
            return []
        return [Append(self.ownership.release(now_ms))]

    def _begin_ownership(self) -> None:
        for worker in self.workers.values():
            worker.forget_ownership()
        self._committed_ms = float("-inf")

    def _own(self, now_ms: float) -> list[Effect]:
        effects = self._commit(now_ms)
        for worker in self.workers.values():
            effects += self._easing.effects(worker, now_ms)
            effects += self._tending.effects(worker, now_ms)
        return effects

    def _commit(self, now_ms: float) -> list[Effect]:
        if not self.ownership.idle:
            return []
        commit_ms = self._context.params.commit_ms
        due = now_ms - self._committed_ms >= commit_ms
        renewal = self.ownership.renewal_due(now_ms)
        if not due and not renewal:
            return []
        entries = self._commits.entries(now_ms)
        if not entries and not renewal:
            return []
        self._committed_ms = now_ms
        return [Append(self.ownership.write(now_ms, entries))]
