"""Handover of lease expiries from the previous owners of a cell."""

from collections.abc import Collection

import msgspec

from limpetyard.engine import MAX_ORDER_DELAY_MS, Engine
from limpetyard.jobs import TaskHistory, TaskKey


class HandedDoubt(msgspec.Struct, frozen=True):
    """A `StartDoubt` in a reply to another node.

    Attributes:
        task: Key of the task.
        worker: See `StartDoubt`.
        born: See `StartDoubt`.
        age_ms: Time since the start was sent.
        left_ms: Time after which the doubt is over in any case.
    """

    task: TaskKey
    worker: str
    born: int
    age_ms: float
    left_ms: float


class HandedStart(msgspec.Struct, frozen=True):
    """A start without a reply, in a reply to another node.

    It may yet be carried out by a later incarnation of its worker, whether the
    task is done or not; see `limpetyard.engine.Worker.hold_end`.

    Attributes:
        worker: Id of the worker.
        task: Key of the task.
        age_ms: Time since the start was sent.
    """

    worker: str
    task: TaskKey
    age_ms: float


class RemainingLeases(msgspec.Struct, frozen=True):
    """Remaining leases that one ownership granted or took over.

    All times are counted from the reply that reports them.

    Attributes:
        epoch: Epoch of that ownership, the latest one in which the replying
            process may have issued orders; 0 if there was none.
        left_ms: Maximum time for which a run may still exist, by worker id.
        orders_left_ms: Time for which an owner before that ownership may still
            issue orders.
        member: Member name of the replying process; "" in the replies of
            earlier releases.
        claims: Member names in claims before its own that this process knows,
            by epoch.
        extended_left_ms: Time for which orders that this process has extended
            as a witness may still be issued; None in the replies of earlier
            releases, which are no witnesses.
        unstarted: Tasks that have no run, although places of them are stored.
        histories: Earlier runs of these tasks; none in the replies of earlier
            releases.
        untold: Tasks that the replying process has not started, and of which
            no earlier owner has told it that they have no run; none in the
            replies of earlier releases.
        stale_left_ms: Maximum time for which leases may last that orders to an
            earlier incarnation of a worker have granted, by worker id; None for
            a worker that may still accept such orders. Other workers have none.
            None as a whole in the replies of earlier releases.
        doubts: Starts that later incarnations may still carry out; none in the
            replies of earlier releases.
        pending_starts: Starts for which the ends of their tasks are held back;
            none in the replies of earlier releases.
    """

    epoch: int
    left_ms: dict[str, float]
    orders_left_ms: float = 0.0
    member: str = ""
    claims: dict[int, str] = {}
    extended_left_ms: float | None = None
    unstarted: tuple[TaskKey, ...] = ()
    histories: tuple[TaskHistory, ...] = ()
    untold: tuple[TaskKey, ...] = ()
    stale_left_ms: dict[str, float | None] | None = None
    doubts: tuple[HandedDoubt, ...] = ()
    pending_starts: tuple[HandedStart, ...] = ()

    def unstarted_among(self, keys: Collection[TaskKey]) -> "RemainingLeases":
        """Returns the reply with some of the tasks that have no run."""
        unstarted = tuple(key for key in self.unstarted if key in keys)
        histories = tuple(h for h in self.histories if h.task in keys)
        return msgspec.structs.replace(
            self, unstarted=unstarted, histories=histories
        )


class FenceResult(msgspec.Struct, frozen=True):
    """Result of fencing the previous owner of a cell.

    Attributes:
        confirmed: Whether it is certain that the owner issues no more orders.
        leases: Leases that the owner reported, or None.
    """

    confirmed: bool
    leases: RemainingLeases | None = None


class LeaseExpiries:
    """Lease expiries of an ownership that has ended."""

    __slots__ = (
        "_doubts",
        "_epoch",
        "_histories",
        "_orders_until_ms",
        "_pending_starts",
        "_stale_until_ms",
        "_unstarted",
        "_until_ms",
        "_untold",
    )

    def __init__(self, engine: Engine, removed: Collection[str] = ()):
        """Copies the time until which runs may exist, by worker.

        Args:
            engine: State of the ownership, which issues no more orders.
            removed: Workers on which no run can exist. The next owner may find
                their records.
        """
        self._epoch = engine.epoch
        engine.doubts.add_unanswered()
        self._doubts = engine.doubts.all()
        self._pending_starts = [
            (worker.id, task, sent_ms)
            for worker in engine.workers.values()
            for (task, _), sent_ms in worker.pending_starts.items()
        ]
        self._orders_until_ms = engine.predecessor_until_ms
        self._unstarted = engine.unstarted_tasks()
        self._histories = engine.task_histories(self._unstarted)
        self._untold = engine.untold_tasks()
        self._until_ms = dict.fromkeys(removed, 0.0) | {
            worker.id: worker.runs_until_ms
            for worker in engine.workers.values()
        }
        self._stale_until_ms = {
            worker.id: None
            if worker.accepts_stale_orders
            else worker.stale_lease_end_ms
            for worker in engine.workers.values()
        }

    def remaining(self, now_ms: float) -> RemainingLeases:
        """Returns the remaining times at `now_ms`."""
        return RemainingLeases(
            self._epoch,
            {
                worker: max(0.0, until_ms - now_ms)
                for worker, until_ms in self._until_ms.items()
            },
            max(0.0, self._orders_until_ms - now_ms),
            unstarted=self._unstarted,
            stale_left_ms={
                worker: None if until_ms is None else until_ms - now_ms
                for worker, until_ms in self._stale_until_ms.items()
                if until_ms is None or until_ms > now_ms
            },
            histories=shift_histories(self._histories, -now_ms),
            untold=self._untold,
            doubts=tuple(
                HandedDoubt(
                    task,
                    doubt.worker,
                    doubt.born,
                    now_ms - doubt.sent_ms,
                    until_ms - now_ms,
                )
                for task, (doubt, until_ms) in self._doubts.items()
            ),
            pending_starts=tuple(
                HandedStart(worker, task, now_ms - sent_ms)
                for worker, task, sent_ms in self._pending_starts
                if now_ms - sent_ms < MAX_ORDER_DELAY_MS
            ),
        )


def shift_histories(
    histories: Collection[TaskHistory], by_ms: float
) -> tuple[TaskHistory, ...]:
    """Returns histories with another origin of their times."""
    return tuple(
        msgspec.structs.replace(
            history, retry_ms=max(0.0, history.retry_ms + by_ms)
        )
        for history in histories
    )
