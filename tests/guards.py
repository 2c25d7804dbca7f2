"""Safeguards that tests disable to show that the checks detect their absence.

Each function below replaces the code of one safeguard, here called a guard. Its
docstring says how the system then behaves.
"""

import contextlib
import math
from collections.abc import Callable, Iterator
from unittest import mock

import msgspec

from limpetyard._registry import Registry
from limpetyard.cell import CellState, Claim, Ownership
from limpetyard.fleet import StartRejection
from limpetyard.log import StreamProjector, StreamReader
from limpetyard.scheduler._context import CellContext
from limpetyard.scheduler._reconciler import WorkerReconciler
from limpetyard.scheduler._workers import TrackedWorker
from standins.worker_model import WorkerModel

GuardRemover = Callable[[contextlib.ExitStack], None]
GUARDS: Registry[GuardRemover] = Registry("guard")


@contextlib.contextmanager
def guard_disabled(name: str | None) -> Iterator[None]:
    """Disables a guard while the context lasts; None disables nothing."""
    with contextlib.ExitStack() as stack:
        if name is not None:
            GUARDS.get(name)(stack)
        yield


def _patch(stack: contextlib.ExitStack, owner: type, name: str, new) -> None:
    stack.enter_context(mock.patch.object(owner, name, new))


@GUARDS.register("claim-order")
def _claim_order(stack: contextlib.ExitStack) -> None:
    """A claim counts even if the owner appended after the claimant's read."""
    apply_claim = CellState._apply_claim

    def accept_any_claim(self: CellState, offset: int, record: Claim) -> None:
        seen = self.owner_offset
        apply_claim(self, offset, msgspec.structs.replace(record, seen=seen))

    table = {**CellState._APPLY, Claim: accept_any_claim}
    stack.enter_context(mock.patch.dict(CellState._APPLY, table))


@GUARDS.register("lease-start")
def _lease_start(stack: contextlib.ExitStack) -> None:
    """The lease starts when its record is read back, not before the append."""
    observe = Ownership.observe
    renew = Ownership._renew

    def late_observe(self: Ownership, now_ms: float) -> None:
        if self._pending is not None:
            self._pending.read_ms = now_ms
        observe(self, now_ms)

    def late_renew(self: Ownership) -> None:
        read_ms = self._pending.read_ms
        renew(self)
        span_ms = self._params.lease_ms - self._params.margin_ms
        self._lease_until_ms = read_ms + span_ms

    from limpetyard.cell import _ownership

    class Pending(_ownership._Pending):
        read_ms = 0.0

    stack.enter_context(mock.patch.object(_ownership, "_Pending", Pending))
    _patch(stack, Ownership, "observe", late_observe)
    _patch(stack, Ownership, "_renew", late_renew)


@GUARDS.register("start-deadline")
def _start_deadline(stack: contextlib.ExitStack) -> None:
    """Start orders never expire."""
    start_order = WorkerReconciler._start_order

    def start_without_deadline(self, worker, task, now_ms):
        order = start_order(self, worker, task, now_ms)
        return msgspec.structs.replace(order, not_after_ms=math.inf)

    _patch(stack, WorkerReconciler, "_start_order", start_without_deadline)


@GUARDS.register("epoch-fence")
def _epoch_fence(stack: contextlib.ExitStack) -> None:
    """Workers accept orders with outdated epochs."""
    _patch(stack, WorkerModel, "_admit_epoch", lambda self, cell, epoch: True)


@GUARDS.register("stopped-attempt")
def _stopped_attempt(stack: contextlib.ExitStack) -> None:
    """A worker starts a run although the stop order for it came first."""
    find_rejection = WorkerModel._rejection

    def ignore_stop_orders(self: WorkerModel, order):
        rejection = find_rejection(self, order)
        if rejection is not StartRejection.STALE_ATTEMPT:
            return rejection
        del self._runs[order.task]
        return find_rejection(self, order)

    _patch(stack, WorkerModel, "_rejection", ignore_stop_orders)


@GUARDS.register("forget-wait")
def _forget_wait(stack: contextlib.ExitStack) -> None:
    """A worker forgets a run too early: its start order may still arrive."""
    _patch(
        stack,
        WorkerReconciler,
        "_start_expired",
        lambda self, worker, run, now_ms: True,
    )


@GUARDS.register("lapse-wait")
def _lapse_wait(stack: contextlib.ExitStack) -> None:
    """Runs of a silent worker count as ended before their leases expire."""

    def expire_when_silent(
        self: TrackedWorker, now_ms, acquired_ms, params
    ) -> bool:
        since_ms = (
            self.last_reply_ms
            if self.last_reply_ms is not None
            else acquired_ms
        )
        return self.gone or now_ms - since_ms > params.silent_ms

    _patch(stack, TrackedWorker, "runs_expired", expire_when_silent)


@GUARDS.register("outage-wait")
def _outage_wait(stack: contextlib.ExitStack) -> None:
    """A new owner ignores renewals by its predecessor during a log outage."""
    runs_expired = TrackedWorker.runs_expired

    def expire_without_outage(
        self: TrackedWorker, now_ms, acquired_ms, params
    ) -> bool:
        early_ms = acquired_ms - params.outage_ms
        return runs_expired(self, now_ms, early_ms, params)

    _patch(stack, TrackedWorker, "runs_expired", expire_without_outage)


@GUARDS.register("answer-order")
def _answer_order(stack: contextlib.ExitStack) -> None:
    """A delayed reply is applied like a current one."""
    _patch(stack, TrackedWorker, "is_current", lambda self, reply: True)


@GUARDS.register("config-age")
def _config_age(stack: contextlib.ExitStack) -> None:
    """Starts continue however old the configuration is."""
    _patch(
        stack,
        CellContext,
        "start_deadline_ms",
        lambda self: self.ownership.lease_until_ms,
    )


@GUARDS.register("capacity")
def _capacity(stack: contextlib.ExitStack) -> None:
    """Placement and workers compare memory only, not cores."""
    from limpetyard.cell import ResourceVector

    def can_fit(self: ResourceVector, other: ResourceVector) -> bool:
        return other.memory_mb <= self.memory_mb

    _patch(stack, ResourceVector, "can_fit", can_fit)


@GUARDS.register("reservation")
def _reservation(stack: contextlib.ExitStack) -> None:
    """Placed tasks reserve nothing, and workers ignore what already runs."""
    from limpetyard.placement import WorkerView

    _patch(stack, WorkerView, "add", lambda self, task: self.tasks.append(task))
    _patch(stack, WorkerModel, "_free", lambda self: self.size)


@GUARDS.register("snapshot-base")
def _snapshot_base(stack: contextlib.ExitStack) -> None:
    """A reader accepts a snapshot even if records after it are missing."""
    apply_snapshot = StreamProjector._apply_snapshot

    def accept_any_snapshot(
        self: StreamProjector, offset: int, snapshot
    ) -> None:
        self._buffer_start = 0
        apply_snapshot(self, offset, snapshot)

    _patch(stack, StreamProjector, "_apply_snapshot", accept_any_snapshot)


@GUARDS.register("whole-swap")
def _whole_swap(stack: contextlib.ExitStack) -> None:
    """An incomplete state is visible while a trimmed stream is read again."""
    bootstrap = StreamReader.bootstrap

    async def clear_before_bootstrap(self: StreamReader) -> None:
        self.projector = self._new_projector()
        await bootstrap(self)

    _patch(stack, StreamReader, "bootstrap", clear_before_bootstrap)
