"""State that a cell's owner keeps of each worker."""

import dataclasses

from limpetyard.fleet import (
    Run,
    RunState,
    SyncReply,
    Vm,
    VmState,
)
from limpetyard.scheduler._breaker import CircuitBreaker
from limpetyard.scheduler._colocation import ColocationHistory
from limpetyard.scheduler._params import SchedulerParams

ENDED_STATES = frozenset(
    {
        RunState.FINISHED,
        RunState.FAILED,
        RunState.STOPPED,
        RunState.LAPSED,
    }
)


@dataclasses.dataclass(slots=True)
class SentStart:
    """The newest start order that was sent for a task.

    Times are readings of this daemon's clock.

    Attributes:
        attempt: Attempt of the task.
        sent_ms: Time when it was sent.
        expired_after_ms: Time after which no copy of it can take effect.
    """

    attempt: int
    sent_ms: float
    expired_after_ms: float


class TrackedWorker:
    """State of one worker, as reported during the current ownership.

    Times are readings of this daemon's clock, except `clock_ms`.

    Attributes:
        vm: Its entry in the VM list.
        boot: Number of its current boot, or 0 before its first reply.
        clock_ms: Reading of the worker's clock in its newest reply.
        last_reply_ms: Time when that reply arrived, or None.
        rev: Revision of the newest reply that was applied.
        runs: Its runs of this cell by task.
        last_grant_ms: Time just before the newest order that granted or
            renewed a lease on runs was sent.
        first_reply_ms: Time of the first reply of this ownership, or None.
        last_sync_ms: Time when the newest sync was sent.
        sent_starts: Newest start order that was sent, by task.
        requested_stops: Runs that have to stop, as (task, attempt), with the
            time of the newest stop order; minus infinity before the first.
        colocation: History of the classes that ran on it together.
        overload_eviction_ms: Time of the newest eviction for overload.
        usage: Its newest measured resource usage, or None.
        breaker: Limits placements while its runs fail.
    """

    __slots__ = (
        "boot",
        "breaker",
        "clock_ms",
        "colocation",
        "first_reply_ms",
        "last_grant_ms",
        "last_reply_ms",
        "last_sync_ms",
        "overload_eviction_ms",
        "requested_stops",
        "rev",
        "runs",
        "sent_starts",
        "usage",
        "vm",
    )

    def __init__(self, vm: Vm):
        self.vm = vm
        self.breaker = CircuitBreaker()
        self.reset()

    def reset(self) -> None:
        """Resets all state that is valid for one ownership only."""
        self.boot = 0
        self.clock_ms = 0.0
        self.last_reply_ms: float | None = None
        self.first_reply_ms: float | None = None
        self.last_grant_ms = float("-inf")
        self.rev = 0
        self.runs: dict[str, Run] = {}
        self.last_sync_ms = float("-inf")
        self.sent_starts: dict[str, SentStart] = {}
        self.requested_stops: dict[tuple[str, int], float] = {}
        self.usage = None
        self.overload_eviction_ms = float("-inf")
        self.colocation = ColocationHistory()

    @property
    def gone(self) -> bool:
        """Whether the VM list reports it as `GONE`; nothing runs on it then."""
        return self.vm.state is VmState.GONE

    def is_current(self, reply: SyncReply) -> bool:
        """Returns whether no newer reply of the worker was applied before.

        A delayed reply would otherwise make the current boot look like a
        restart, or an ended run like a running one.
        """
        return (reply.boot, reply.rev) >= (self.boot, self.rev)

    def apply_reply(self, reply: SyncReply, now_ms: float) -> list[Run]:
        """Applies a reply and returns the runs that it reports as changed.

        A new boot discards all runs and orders of the previous one.
        """
        if reply.boot != self.boot:
            self.boot = reply.boot
            self.runs = {}
            self.sent_starts = {}
            self.requested_stops = {}
            self.rev = 0
        self.rev = reply.rev
        self.clock_ms = reply.clock_ms
        self.last_reply_ms = now_ms
        if self.first_reply_ms is None:
            self.first_reply_ms = now_ms
        self.usage = reply.usage or self.usage
        for run in reply.runs:
            self.runs[run.task] = run
        return reply.runs

    def request_stop(self, task: str, attempt: int) -> None:
        """Marks a run to be stopped; the reconciler sends the order."""
        self.requested_stops.setdefault((task, attempt), float("-inf"))

    def discard_runs(self, runs: list[tuple[str, int]]) -> None:
        """Drops ended runs that a sync order listed as ones to forget."""
        for task, attempt in runs:
            run = self.runs.get(task)
            if run is not None and run.attempt == attempt:
                del self.runs[task]
            self.requested_stops.pop((task, attempt), None)
            sent = self.sent_starts.get(task)
            if sent is not None and sent.attempt == attempt:
                del self.sent_starts[task]

    def replied_recently(self, now_ms: float, params: SchedulerParams) -> bool:
        """Returns whether it replied within the last `silent_ms`."""
        if self.last_reply_ms is None:
            return False
        return now_ms - self.last_reply_ms <= params.silent_ms

    def to_worker_clock(self, now_ms: float, ahead_ms: float) -> float:
        """Returns a lower bound of its clock `ahead_ms` after `now_ms`.

        The worker read its clock before the reply arrived here, so the result
        is too low by the transit time of the reply.
        """
        return self.clock_ms + (now_ms - self.last_reply_ms) + ahead_ms

    def runs_expired(
        self, now_ms: float, acquired_ms: float, params: SchedulerParams
    ) -> bool:
        """Returns whether no run of the cell can still be running there.

        After its first reply to this ownership, the worker accepts no renewal
        from an older one. Before that, an older owner may have renewed runs
        for as long as `outage_ms` allows during an outage of the log.
        """
        if self.gone:
            return True
        lease_ms = params.task_lease_ms + params.margin_ms
        if self.first_reply_ms is None:
            return now_ms > acquired_ms + params.outage_ms + lease_ms
        newest_ms = max(self.first_reply_ms, self.last_grant_ms)
        unresponsive = not self.replied_recently(now_ms, params)
        return unresponsive and now_ms > newest_ms + lease_ms
