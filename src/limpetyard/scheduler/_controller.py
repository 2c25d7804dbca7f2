"""Scheduling decisions of one daemon for one cell.

The controller does no I/O and reads no clock. Its caller passes in what it
read and received, and each step returns the effects that are due. Effects are
derived from the projected state, not from events: a new owner continues where
the previous one stopped, and a request whose reply was lost is sent again.
"""

from collections.abc import Iterable

from limpetyard.cell import CellState, Ownership
from limpetyard.config import ConfigState
from limpetyard.fleet import StartOrder, StartReply, SyncOrder, SyncReply, Vm
from limpetyard.placement import PlacementPolicy, SizeEstimator
from limpetyard.scheduler._context import CellContext
from limpetyard.scheduler._effects import Append, Effect
from limpetyard.scheduler._entries import EntryCollector
from limpetyard.scheduler._mitigation import InterferenceMitigator
from limpetyard.scheduler._params import SchedulerParams
from limpetyard.scheduler._planner import PlacementPlanner
from limpetyard.scheduler._reconciler import WorkerReconciler
from limpetyard.scheduler._workers import TrackedWorker


class CellController:
    """Follows one cell and schedules its tasks while this daemon owns it.

    Attributes:
        claims_enabled: Whether the controller may claim the cell; False while
            the daemon drains.
        context: State shared by the components of the controller.
    """

    __slots__ = (
        "_entry_collector",
        "_last_commit_ms",
        "_mitigator",
        "_reconciler",
        "claims_enabled",
        "context",
    )

    def __init__(
        self,
        name: str,
        owner: str,
        params: SchedulerParams,
        policy: PlacementPolicy,
    ):
        self.claims_enabled = True
        self.context = CellContext(name, owner, params)
        sizes = SizeEstimator()
        self._entry_collector = EntryCollector(
            self.context, PlacementPlanner(policy, sizes)
        )
        self._reconciler = WorkerReconciler(self.context)
        self._mitigator = InterferenceMitigator(self.context, policy, sizes)
        self._last_commit_ms = float("-inf")

    @property
    def name(self) -> str:
        """Name of the cell's stream."""
        return self.context.name

    @property
    def state(self) -> CellState:
        """The state projected from the stream."""
        return self.context.state

    @property
    def ownership(self) -> Ownership:
        """This daemon's view of the cell's ownership."""
        return self.context.ownership

    @property
    def workers(self) -> dict[str, TrackedWorker]:
        """Workers of the cell by id."""
        return self.context.workers

    def set_state(self, state: CellState) -> None:
        """Sets the projected state, which the stream's reader updates."""
        self.context.state = state
        self.ownership.state = state

    def set_config(self, cfg: ConfigState, confirmed_ms: float | None) -> None:
        """Sets the configuration in force.

        Args:
            cfg: The configuration.
            confirmed_ms: Clock reading from just before the newest read that
                reached the end of the configuration stream, or None.
        """
        self.context.cfg = cfg
        self.context.cfg_confirmed_ms = confirmed_ms

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Updates the cell's workers from the VM list.

        A worker that is no longer listed keeps its last entry while tasks are
        placed on it: the list may lag, so a missing entry does not prove that
        the VM is `GONE`.
        """
        listed = {vm.id: vm for vm in vms}
        for worker_id, vm in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                self.workers[worker_id] = TrackedWorker(vm)
            else:
                worker.vm = vm
        for worker_id in list(self.workers):
            if worker_id not in listed and worker_id not in self.state.placed:
                del self.workers[worker_id]

    def on_sync_reply(
        self, worker_id: str, order: SyncOrder, reply: SyncReply, now_ms: float
    ) -> None:
        """Handles a worker's reply to a sync.

        Ignores replies to an order of another epoch, stale replies and
        replies older than one that was already applied.
        """
        worker = self.workers.get(worker_id)
        current = order.epoch == self.ownership.epoch
        if worker is None or not self.ownership.is_owner or not current:
            return
        if reply.stale or not worker.is_current(reply):
            return
        updates = worker.apply_reply(reply, now_ms)
        worker.discard_runs(order.forget)
        self._mitigator.observe_runs(worker, updates)

    def on_start_reply(
        self, worker_id: str, orders: list[StartOrder], reply: StartReply
    ) -> None:
        """Handles a worker's reply to start orders."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            self._reconciler.on_start_reply(worker, orders, reply)

    def step(
        self, now_ms: float, confirmed_ms: float | None, claim_extra_ms: float
    ) -> list[Effect]:
        """Returns the effects that are due.

        Args:
            now_ms: Current clock reading.
            confirmed_ms: Clock reading from just before the newest read that
                reached the end of the cell's stream, or None.
            claim_extra_ms: Time to wait, in addition to the lease, before
                claiming.
        """
        previous_acquired_ms = self.ownership.acquired_ms
        self.ownership.observe(now_ms)
        if self.ownership.acquired_ms != previous_acquired_ms:
            self._reset_workers()
        effects: list[Effect] = []
        record = self.ownership.resend(now_ms)
        if record is not None:
            effects.append(Append(record))
        if self.ownership.is_owner:
            effects += self._owner_effects(now_ms)
        elif self.claims_enabled and self.ownership.may_claim(
            confirmed_ms, claim_extra_ms
        ):
            effects.append(Append(self.ownership.claim(now_ms)))
        return effects

    def release(self, now_ms: float) -> list[Effect]:
        """Returns the effect that releases the cell, and disables claims.

        The list is empty if this daemon does not own the cell or still waits
        to read back its last record.
        """
        self.claims_enabled = False
        if not self.ownership.is_owner or not self.ownership.may_append:
            return []
        return [Append(self.ownership.release(now_ms))]

    def _reset_workers(self) -> None:
        for worker in self.workers.values():
            worker.reset()
        self._last_commit_ms = float("-inf")

    def _owner_effects(self, now_ms: float) -> list[Effect]:
        effects = self._commit_effects(now_ms)
        for worker in self.workers.values():
            effects += self._mitigator.effects(worker, now_ms)
            effects += self._reconciler.effects(worker, now_ms)
        return effects

    def _commit_effects(self, now_ms: float) -> list[Effect]:
        if not self.ownership.may_append:
            return []
        commit_ms = self.context.params.commit_ms
        due = now_ms - self._last_commit_ms >= commit_ms
        renewal = self.ownership.renewal_due(now_ms)
        if not due and not renewal:
            return []
        entries = self._entry_collector.entries(now_ms)
        if not entries and not renewal:
            return []
        self._last_commit_ms = now_ms
        return [Append(self.ownership.write(now_ms, entries))]
