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
from limpetyard.placement import PlacementPolicy, SizeBook
from limpetyard.scheduler._context import CellContext
from limpetyard.scheduler._effects import Append, Effect
from limpetyard.scheduler._commits import EntryCollector
from limpetyard.scheduler._easing import InterferenceMitigator
from limpetyard.scheduler._planner import Planner
from limpetyard.scheduler._tending import Tending
from limpetyard.scheduler._terms import ControlTerms
from limpetyard.scheduler._workers import KnownWorker


class CellController:
    """Follows one cell and decides for it while it owns it.

    Attributes:
        claims_enabled: Whether the cell may be claimed; False while draining.
    """

    __slots__ = (
        "_entry_collector",
        "_last_commit_ms",
        "_context",
        "_mitigator",
        "_reconciler",
        "claims_enabled",
    )

    def __init__(
        self,
        name: str,
        owner: str,
        terms: ControlTerms,
        policy: PlacementPolicy,
    ):
        self.claims_enabled = True
        self._context = CellContext(name, owner, terms)
        sizes = SizeBook()
        self._entry_collector = EntryCollector(
            self._context, Planner(policy, sizes)
        )
        self._reconciler = Tending(self._context)
        self._mitigator = InterferenceMitigator(self._context, policy, sizes)
        self._last_commit_ms = float("-inf")

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
    def workers(self) -> dict[str, KnownWorker]:
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
        current = order.epoch == self.ownership.epoch
        if worker is None or not self.ownership.owning or not current:
            return
        if reply.stale or not worker.in_order(reply):
            return
        news = worker.apply_reply(reply, now_ms)
        worker.discard_runs(order.forget)
        self._mitigator.learn(worker, news)

    def heard_start(
        self, worker_id: str, orders: list[StartOrder], reply: StartReply
    ) -> None:
        """Takes in the answers to start orders."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            self._reconciler.heard_start(worker, orders, reply)

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
            self._reset_workers()
        effects: list[Effect] = []
        record = self.ownership.resend(now_ms)
        if record is not None:
            effects.append(Append(record))
        if self.ownership.owning:
            effects += self._owner_effects(now_ms)
        elif self.claims_enabled and self.ownership.may_claim(
            confirmed_ms, claim_extra_ms
        ):
            effects.append(Append(self.ownership.claim(now_ms)))
        return effects

    def release(self, now_ms: float) -> list[Effect]:
        """Returns the effect that gives the cell up, if it can be now."""
        self.claims_enabled = False
        if not self.ownership.owning or not self.ownership.idle:
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
        if not self.ownership.idle:
            return []
        commit_ms = self._context.terms.commit_ms
        due = now_ms - self._last_commit_ms >= commit_ms
        renewal = self.ownership.renewal_due(now_ms)
        if not due and not renewal:
            return []
        entries = self._entry_collector.entries(now_ms)
        if not entries and not renewal:
            return []
        self._last_commit_ms = now_ms
        return [Append(self.ownership.write(now_ms, entries))]
