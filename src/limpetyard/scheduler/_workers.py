"""What an owner knows of each worker of its cell."""

import dataclasses

from limpetyard.fleet import (
    Run,
    RunState,
    SyncReply,
    Vm,
    VmState,
)
from limpetyard.scheduler._breaker import Breaker
from limpetyard.scheduler._colocation import Presence
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
    """The newest start order of a run that was sent."""

    attempt: int
    sent_ms: float
    void_after_ms: float


class TrackedWorker:
    """One worker, as far as the present ownership has heard of it.

    Attributes:
        vm: Its entry in the VM list.
        boot: Its run, or 0 before it answered.
        clock_ms: Its clock when it last answered.
        last_reply_ms: Own clock when that answer arrived, or None.
        rev: Revision of the news that was taken in.
        runs: Its runs of this cell by task.
        granted_ms: Own clock before the newest order that let runs go on.
        first_heard_ms: Own clock at the first answer of this ownership.
        sync_sent_ms: Own clock at the newest sync.
        starts: The newest start sent of each task.
        stops: Own clock at the newest stop sent of each run that has to
            end, or minus infinity before the first.
        presence: Which classes shared it when.
        uncrowded_ms: Own clock at the newest eviction for crowding.
        usage: Its newest measured use, or None.
        breaker: Keeps work from a worker that fails everything.
    """

    __slots__ = (
        "boot",
        "breaker",
        "clock_ms",
        "first_heard_ms",
        "granted_ms",
        "last_reply_ms",
        "presence",
        "rev",
        "runs",
        "starts",
        "stops",
        "uncrowded_ms",
        "sync_sent_ms",
        "usage",
        "vm",
    )

    def __init__(self, vm: Vm):
        self.vm = vm
        self.breaker = Breaker()
        self.forget_ownership()

    def forget_ownership(self) -> None:
        """Drops what only counts under one ownership."""
        self.boot = 0
        self.clock_ms = 0.0
        self.last_reply_ms: float | None = None
        self.first_heard_ms: float | None = None
        self.granted_ms = float("-inf")
        self.rev = 0
        self.runs: dict[str, Run] = {}
        self.sync_sent_ms = float("-inf")
        self.starts: dict[str, SentStart] = {}
        self.stops: dict[tuple[str, int], float] = {}
        self.usage = None
        self.uncrowded_ms = float("-inf")
        self.presence = Presence()

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

    def take(self, reply: SyncReply, now_ms: float) -> list[Run]:
        """Takes in an answer and returns the runs that are news."""
        if reply.boot != self.boot:
            self.boot = reply.boot
            self.runs = {}
            self.starts = {}
            self.stops = {}
            self.rev = 0
        self.rev = reply.rev
        self.clock_ms = reply.clock_ms
        self.last_reply_ms = now_ms
        if self.first_heard_ms is None:
            self.first_heard_ms = now_ms
        self.usage = reply.usage or self.usage
        for run in reply.runs:
            self.runs[run.task] = run
        return reply.runs

    def want_stop(self, task: str, attempt: int) -> None:
        """Notes that a run has to end."""
        self.stops.setdefault((task, attempt), float("-inf"))

    def forgotten(self, runs: list[tuple[str, int]]) -> None:
        """Drops runs that the worker was told to forget."""
        for task, attempt in runs:
            run = self.runs.get(task)
            if run is not None and run.attempt == attempt:
                del self.runs[task]
            self.stops.pop((task, attempt), None)
            sent = self.starts.get(task)
            if sent is not None and sent.attempt == attempt:
                del self.starts[task]

    def heard_lately(self, now_ms: float, params: SchedulerParams) -> bool:
        """Returns whether it answered within the silent time."""
        if self.last_reply_ms is None:
            return False
        return now_ms - self.last_reply_ms <= params.silent_ms

    def clock_in(self, now_ms: float, ahead_ms: float) -> float:
        """Returns its clock for a moment at most `ahead_ms` from now."""
        return self.clock_ms + (now_ms - self.last_reply_ms) + ahead_ms

    def surely_lapsed(
        self, now_ms: float, acquired_ms: float, params: SchedulerParams
    ) -> bool:
        """Returns whether no run of the cell can still be going on there.

        Once the worker has answered this ownership, it takes no renewal from
        an older one; before that, an older owner may have renewed for as long
        as an outage of the log lets it.
        """
        if self.gone:
            return True
        lease_ms = params.task_lease_ms + params.margin_ms
        if self.first_heard_ms is None:
            return now_ms > acquired_ms + params.outage_ms + lease_ms
        newest_ms = max(self.first_heard_ms, self.granted_ms)
        silent = not self.heard_lately(now_ms, params)
        return silent and now_ms > newest_ms + lease_ms
