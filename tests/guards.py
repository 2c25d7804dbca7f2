"""Guards that proofs take out to show that the checkers then cry."""

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

Remover = Callable[[contextlib.ExitStack], None]
GUARDS: Registry[Remover] = Registry("guard")


@contextlib.contextmanager
def guard_disabled(name: str | None) -> Iterator[None]:
    """Takes a guard out of the real code while the context lasts."""
    with contextlib.ExitStack() as stack:
        if name is not None:
            GUARDS.get(name)(stack)
        yield


def _replace(stack: contextlib.ExitStack, owner: type, name: str, new) -> None:
    stack.enter_context(mock.patch.object(owner, name, new))


@GUARDS.register("claim-order")
def _claim_order(stack: contextlib.ExitStack) -> None:
    """A claim counts though an owner wrote after what the claimant saw."""
    original = CellState._apply_claim

    def apply(self: CellState, offset: int, record: Claim) -> None:
        seen = self.owner_offset
        original(self, offset, msgspec.structs.replace(record, seen=seen))

    table = {**CellState._APPLY, Claim: apply}
    stack.enter_context(mock.patch.dict(CellState._APPLY, table))


@GUARDS.register("lease-start")
def _lease_start(stack: contextlib.ExitStack) -> None:
    """The lease counts from the read-back, not from before the sending."""
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
    _replace(stack, Ownership, "observe", late_observe)
    _replace(stack, Ownership, "_renew", late_renew)


@GUARDS.register("start-deadline")
def _start_deadline(stack: contextlib.ExitStack) -> None:
    """A start order is valid for ever."""
    start = WorkerReconciler._start_order

    def endless(self, worker, task, now_ms):
        order = start(self, worker, task, now_ms)
        return msgspec.structs.replace(order, not_after_ms=math.inf)

    _replace(stack, WorkerReconciler, "_start_order", endless)


@GUARDS.register("epoch-fence")
def _epoch_fence(stack: contextlib.ExitStack) -> None:
    """A worker takes orders from older ownerships."""
    _replace(stack, WorkerModel, "_admit", lambda self, cell, epoch: True)


@GUARDS.register("stopped-attempt")
def _stopped_attempt(stack: contextlib.ExitStack) -> None:
    """A worker starts a run that it was told to stop before."""
    refusal = WorkerModel._refusal

    def forgetful(self: WorkerModel, order):
        found = refusal(self, order)
        if found is not StartRejection.STALE_ATTEMPT:
            return found
        del self._runs[order.task]
        return refusal(self, order)

    _replace(stack, WorkerModel, "_refusal", forgetful)


@GUARDS.register("forget-wait")
def _forget_wait(stack: contextlib.ExitStack) -> None:
    """A worker is told to forget while a copy of the start is on its way."""
    _replace(
        stack,
        WorkerReconciler,
        "_start_expired",
        lambda self, worker, run, now_ms: True,
    )


@GUARDS.register("lapse-wait")
def _lapse_wait(stack: contextlib.ExitStack) -> None:
    """A silent worker counts as stopped at once."""

    def at_once(self: TrackedWorker, now_ms, acquired_ms, params) -> bool:
        since_ms = (
            self.last_reply_ms
            if self.last_reply_ms is not None
            else acquired_ms
        )
        return self.gone or now_ms - since_ms > params.silent_ms

    _replace(stack, TrackedWorker, "runs_expired", at_once)


@GUARDS.register("outage-wait")
def _outage_wait(stack: contextlib.ExitStack) -> None:
    """A new owner forgets that the last one may go on renewing runs."""
    lapsed = TrackedWorker.runs_expired

    def shorter(self: TrackedWorker, now_ms, acquired_ms, params) -> bool:
        early_ms = acquired_ms - params.outage_ms
        return lapsed(self, now_ms, early_ms, params)

    _replace(stack, TrackedWorker, "runs_expired", shorter)


@GUARDS.register("answer-order")
def _answer_order(stack: contextlib.ExitStack) -> None:
    """A held-back answer counts like a new one."""
    _replace(stack, TrackedWorker, "is_current", lambda self, reply: True)


@GUARDS.register("config-age")
def _config_age(stack: contextlib.ExitStack) -> None:
    """Starts go on however old the configuration is."""
    _replace(
        stack,
        CellContext,
        "start_deadline_ms",
        lambda self: self.ownership.lease_until_ms,
    )


@GUARDS.register("capacity")
def _capacity(stack: contextlib.ExitStack) -> None:
    """Placement looks at memory alone, and workers take everything."""
    from limpetyard.cell import ResourceVector

    def can_fit(self: ResourceVector, other: ResourceVector) -> bool:
        return other.memory_mb <= self.memory_mb

    _replace(stack, ResourceVector, "can_fit", can_fit)


@GUARDS.register("reservation")
def _reservation(stack: contextlib.ExitStack) -> None:
    """Work that is placed but not confirmed takes no room."""
    from limpetyard.placement import WorkerView

    _replace(
        stack, WorkerView, "add", lambda self, task: self.tasks.append(task)
    )
    _replace(stack, WorkerModel, "_free", lambda self: self.size)


@GUARDS.register("snapshot-base")
def _snapshot_base(stack: contextlib.ExitStack) -> None:
    """A reader starts from any snapshot, with a gap behind it or not."""
    feed = StreamProjector._apply_snapshot

    def gullible(self: StreamProjector, offset: int, snapshot) -> None:
        self._buffer_start = 0
        feed(self, offset, snapshot)

    _replace(stack, StreamProjector, "_apply_snapshot", gullible)


@GUARDS.register("whole-swap")
def _whole_swap(stack: contextlib.ExitStack) -> None:
    """A state shows while a trimmed stream is read again."""
    bootstrap = StreamReader.bootstrap

    async def in_place(self: StreamReader) -> None:
        self.projector = self._new_projector()
        await bootstrap(self)

    _replace(stack, StreamReader, "bootstrap", in_place)
