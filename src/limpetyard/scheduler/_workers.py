"""What an owner knows of each worker of its cell."""

import dataclasses

from limpetyard.fleet import (
    Run,
    RunState,
    SyncReply,
    Vm,
    VmState,
)
from limpetyard.scheduler._breaker import CircuitBreaker
from limpetyard.scheduler._presence import ColocationHistory
from limpetyard.scheduler._terms import ControlTerms

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
    """The newest start order of a run that was sent."""

    attempt: int
    sent_ms: float
    expired_after_ms: float


class KnownWorker:
    """One worker, as far as the present ownership has heard of it.

    Attributes:
        vm: Its entry in the VM list.
        boot: Its run, or 0 before it answered.
        clock_ms: Its clock when it last answered.
        heard_ms: Own clock when that answer arrived, or None.
        rev: Revision of the news that was taken in.
        runs: Its runs of this cell by task.
        last_grant_ms: Own clock before the newest order that let runs go on.
        first_reply_ms: Own clock at the first answer of this ownership.
        last_sync_ms: Own clock at the newest sync.
        starts: The newest start sent of each task.
        stops: Own clock at the newest stop sent of each run that has to
            end, or minus infinity before the first.
        colocation: Which classes shared it when.
        overload_eviction_ms: Own clock at the newest eviction for crowding.
        usage: Its newest measured use, or None.
        breaker: Keeps work from a worker that fails everything.
    """

    __slots__ = (
        "boot",
        "breaker",
        "clock_ms",
        "first_reply_ms",
        "last_grant_ms",
        "heard_ms",
        "colocation",
        "rev",
        "runs",
        "starts",
        "stops",
        "overload_eviction_ms",
        "last_sync_ms",
        "usage",
        "vm",
    )

    def __init__(self, vm: Vm):
        self.vm = vm
        self.breaker = CircuitBreaker()
        self.reset()

    def reset(self) -> None:
        """Drops what only counts under one ownership."""
        self.boot = 0
        self.clock_ms = 0.0
        self.heard_ms: float | None = None
        self.first_reply_ms: float | None = None
        self.last_grant_ms = float("-inf")
        self.rev = 0
        self.runs: dict[str, Run] = {}
        self.last_sync_ms = float("-inf")
        self.starts: dict[str, SentStart] = {}
        self.stops: dict[tuple[str, int], float] = {}
        self.usage = None
        self.overload_eviction_ms = float("-inf")
        self.colocation = ColocationHistory()

    @property
    def gone(self) -> bool:
        """Whether the platform says that it runs nothing any more."""
        return self.vm.state is VmState.GONE

    def in_order(self, reply: SyncReply) -> bool:
        """Returns whether no later news of the worker was taken in.

        An answer that was held back would otherwise make the present boot
        look like a restart, or an ended run like one that goes on.
        """
        return (reply.boot, reply.rev) >= (self.boot, self.rev)

    def apply_reply(self, reply: SyncReply, now_ms: float) -> list[Run]:
        """Takes in an answer and returns the runs that are news."""
        if reply.boot != self.boot:
            self.boot = reply.boot
            self.runs = {}
            self.starts = {}
            self.stops = {}
            self.rev = 0
        self.rev = reply.rev
        self.clock_ms = reply.clock_ms
        self.heard_ms = now_ms
        if self.first_reply_ms is None:
            self.first_reply_ms = now_ms
        self.usage = reply.usage or self.usage
        for run in reply.runs:
            self.runs[run.task] = run
        return reply.runs

    def request_stop(self, task: str, attempt: int) -> None:
        """Notes that a run has to end."""
        self.stops.setdefault((task, attempt), float("-inf"))

    def discard_runs(self, runs: list[tuple[str, int]]) -> None:
        """Drops runs that the worker was told to forget."""
        for task, attempt in runs:
            run = self.runs.get(task)
            if run is not None and run.attempt == attempt:
                del self.runs[task]
            self.stops.pop((task, attempt), None)
            sent = self.starts.get(task)
            if sent is not None and sent.attempt == attempt:
                del self.starts[task]

    def replied_recently(self, now_ms: float, terms: ControlTerms) -> bool:
        """Returns whether it answered within the silent time."""
        if self.heard_ms is None:
            return False
        return now_ms - self.heard_ms <= terms.silent_ms

    def to_worker_clock(self, now_ms: float, ahead_ms: float) -> float:
        """Returns its clock for a moment at most `ahead_ms` from now."""
        return self.clock_ms + (now_ms - self.heard_ms) + ahead_ms

    def surely_lapsed(
        self, now_ms: float, won_ms: float, terms: ControlTerms
    ) -> bool:
        """Returns whether no run of the cell can still be going on there.

        Once the worker has answered this ownership, it takes no renewal from
        an older one; before that, an older owner may have renewed for as long
        as an outage of the log lets it.
        """
        if self.gone:
            return True
        lease_ms = terms.task_lease_ms + terms.margin_ms
        if self.first_reply_ms is None:
            return now_ms > won_ms + terms.outage_ms + lease_ms
        newest_ms = max(self.first_reply_ms, self.last_grant_ms)
        silent = not self.replied_recently(now_ms, terms)
        return silent and now_ms > newest_ms + lease_ms
