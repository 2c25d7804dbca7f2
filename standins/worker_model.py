"""A worker in memory: runs under leases, refusals and an own record."""

import dataclasses
from typing import NamedTuple

from limpetyard._clock import Clock
from limpetyard.cell import ResourceVector
from limpetyard.fleet import (
    Run,
    RunState,
    StartOrder,
    StartRejection,
    StartReply,
    StartResult,
    StopOrder,
    SyncOrder,
    SyncReply,
    ThrottleOrder,
    Usage,
)

FAIL_AFTER_MS = 50.0
REPORT_MS = 2000.0


@dataclasses.dataclass(slots=True)
class Faults:
    """How a worker goes wrong.

    Attributes:
        fail_everything: Every run fails at once.
        run_factor: True run times against the declared ones.
        true_cores: True use of processors by class, where it is not what was
            set aside.
    """

    fail_everything: bool = False
    run_factor: float = 1.0
    true_cores: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerEvent:
    """One line of a worker's own record.

    Attributes:
        at_ms: Clock of the machine that the stand-in runs on.
        what: "start" or the state in which a run ended.
        worker: Id of the worker.
        zone: Its availability zone.
        task: Id of the task.
        attempt: Number of the run.
        checkpoint: Progress at that moment.
        size: What was set aside.
    """

    at_ms: float
    what: str
    worker: str
    zone: str
    task: str
    attempt: int
    checkpoint: str
    size: ResourceVector


class ColocatedRun(NamedTuple):
    """A run beside another one.

    Attributes:
        class_name: Its class.
        fraction: Part of its speed that it is throttled to.
    """

    class_name: str
    fraction: float


@dataclasses.dataclass(slots=True)
class _Run:
    cell: str
    task: str
    attempt: int
    state: RunState
    size: ResourceVector
    class_name: str
    lease_until_ms: float
    progress_ms: float = 0.0
    goal_ms: float = 0.0
    moved_ms: float = 0.0
    ran_ms: float = 0.0
    rate: float = 0.0
    rate_at_ms: float = 0.0
    next_rate: float = 0.0
    fraction: float = 1.0
    rev: int = 0


class WorkerModel:
    """One worker.

    Attributes:
        id: Id of the VM.
        zone: Its availability zone.
        size: All that it has.
        boot: Its present run.
        faults: How it goes wrong.
        record: What truly happened, in order.
        slow: Function from a class and the runs beside it to a rate.
    """

    def __init__(
        self, vm_id: str, zone: str, size: ResourceVector, clock: Clock, slow
    ):
        self.id = vm_id
        self.zone = zone
        self.size = size
        self.faults = Faults()
        self.record: list[WorkerEvent] = []
        self.slow = slow
        self._clock = clock
        self.boot = 0
        self._rev = 0
        self._reported_ms = clock.now_ms()
        self.restart()

    def restart(self) -> None:
        """Loses everything that it ran and knew."""
        for run in getattr(self, "_runs", {}).values():
            if run.state is RunState.RUNNING:
                self._note("restarted", run)
        self.boot += 1
        self._epochs: dict[str, int] = {}
        self._runs: dict[str, _Run] = {}

    def sync(self, order: SyncOrder) -> SyncReply:
        """Answers a sync."""
        self.tick()
        if not self._admit(order.cell, order.epoch):
            return SyncReply(self.boot, self._clock.now_ms(), 0, stale=True)
        runs = [r for r in self._runs.values() if r.cell == order.cell]
        same_boot = order.boot == self.boot
        if same_boot and order.lease_until_ms:
            for run in runs:
                run.lease_until_ms = max(
                    run.lease_until_ms, order.lease_until_ms
                )
        for task, attempt in order.forget if same_boot else []:
            self._forget(task, attempt)
        since = order.since if same_boot else -1
        news = [self._told(run) for run in runs if run.rev > since]
        return SyncReply(
            self.boot,
            self._clock.now_ms(),
            self._rev,
            runs=news,
            usage=self._usage(),
        )

    def start(self, orders: list[StartOrder]) -> StartReply:
        """Answers start orders."""
        self.tick()
        return StartReply([self._start(order) for order in orders])

    def stop(self, orders: list[StopOrder]) -> None:
        """Carries out stop orders."""
        self.tick()
        for order in orders:
            if self._admit(order.cell, order.epoch):
                self._stop(order)

    def _forget(self, task: str, attempt: int) -> None:
        run = self._runs.get(task)
        if run is None or run.state is RunState.RUNNING:
            return
        if run.attempt == attempt:
            del self._runs[task]

    def throttle(self, orders: list[ThrottleOrder]) -> None:
        """Carries out throttle orders."""
        self.tick()
        for order in orders:
            run = self._runs.get(order.task)
            admitted = self._admit(order.cell, order.epoch)
            if run and admitted and run.attempt == order.attempt:
                run.fraction = order.fraction
                self._touch(run)

    def tick(self) -> None:
        """Moves all runs to the present moment."""
        now_ms = self._clock.now_ms()
        running = self._running()
        for run in running:
            self._move(run, running, min(now_ms, run.lease_until_ms))
        for run in running:
            self._settle(run, now_ms)
        if now_ms - self._reported_ms >= REPORT_MS:
            self._report(now_ms)

    def _running(self) -> list[_Run]:
        runs = self._runs.values()
        return [run for run in runs if run.state is RunState.RUNNING]

    def _admit(self, cell: str, epoch: int) -> bool:
        known = self._epochs.get(cell, 0)
        if epoch < known:
            return False
        self._epochs[cell] = epoch
        return True

    def _start(self, order: StartOrder) -> StartResult:
        refusal = self._refusal(order)
        known = self._runs.get(order.task)
        repeated = known is not None and known.attempt == order.attempt
        if refusal is None and not repeated:
            self._begin(order)
        return StartResult(order.task, order.attempt, refusal)

    def _refusal(self, order: StartOrder) -> StartRejection | None:
        if not self._admit(order.cell, order.epoch):
            return StartRejection.STALE_EPOCH
        if order.boot != self.boot:
            return StartRejection.OTHER_BOOT
        known = self._runs.get(order.task)
        if known is not None and known.attempt >= order.attempt:
            ran = known.state is not RunState.STOPPED
            same = known.attempt == order.attempt and ran
            return None if same else StartRejection.STALE_ATTEMPT
        if self._clock.now_ms() > order.not_after_ms:
            return StartRejection.EXPIRED
        if not self._free().can_fit(order.size):
            return StartRejection.NO_ROOM
        return None

    def _free(self) -> ResourceVector:
        free = self.size
        for run in self._running():
            free = free.minus(run.size)
        return free

    def _begin(self, order: StartOrder) -> None:
        now_ms = self._clock.now_ms()
        run = _Run(
            order.cell,
            order.task,
            order.attempt,
            RunState.RUNNING,
            order.size,
            order.class_name,
            order.lease_until_ms,
            progress_ms=float(order.checkpoint or 0),
            goal_ms=order.run_ms * self.faults.run_factor,
            moved_ms=now_ms,
        )
        self._runs[order.task] = run
        self._touch(run)
        self._note("start", run)

    def _stop(self, order: StopOrder) -> None:
        run = self._runs.get(order.task)
        if run is not None and run.attempt > order.attempt:
            return
        if run is None or run.attempt < order.attempt:
            run = _Run(
                order.cell,
                order.task,
                order.attempt,
                RunState.STOPPED,
                ResourceVector(0.0, 0),
                "",
                0.0,
            )
            self._runs[order.task] = run
            self._touch(run)
        elif run.state is RunState.RUNNING:
            self._end(run, RunState.STOPPED)

    def _move(self, run: _Run, running: list[_Run], until_ms: float) -> None:
        if until_ms <= run.moved_ms:
            return
        rate = self.rate_of(run, running) * run.fraction
        passed_ms = until_ms - run.moved_ms
        run.progress_ms += passed_ms * rate
        run.ran_ms += passed_ms
        run.moved_ms = until_ms

    def rate_of(self, run: _Run, running: list[_Run]) -> float:
        """Returns the speed of a run against an idle worker, unthrottled."""
        colocated = [
            ColocatedRun(other.class_name, other.fraction)
            for other in running
            if other is not run
        ]
        needed = sum(self._cores(other) for other in running)
        crowding = min(1.0, self.size.cores / needed) if needed else 1.0
        return self.slow(run.class_name, colocated) * crowding

    def running(self) -> list[_Run]:
        """Returns the runs that go on."""
        return self._running()

    def _cores(self, run: _Run) -> float:
        true_cores = self.faults.true_cores
        cores = true_cores.get(run.class_name, run.size.cores)
        return cores * run.fraction

    def _settle(self, run: _Run, now_ms: float) -> None:
        if run.progress_ms >= run.goal_ms:
            self._end(run, RunState.FINISHED)
        elif self.faults.fail_everything and run.ran_ms >= FAIL_AFTER_MS:
            self._end(run, RunState.FAILED)
        elif now_ms > run.lease_until_ms:
            self._end(run, RunState.LAPSED)

    def _end(self, run: _Run, state: RunState) -> None:
        run.state = state
        self._touch(run)
        self._note(state.value, run)

    def _report(self, now_ms: float) -> None:
        """Shows the rates measured at the last report and measures anew."""
        shown_ms, self._reported_ms = self._reported_ms, now_ms
        running = self._running()
        for run in running:
            if run.next_rate:
                run.rate, run.rate_at_ms = run.next_rate, shown_ms
                self._touch(run)
            run.next_rate = self.rate_of(run, running)

    def _usage(self) -> Usage:
        cores = sum(run.size.cores for run in self._running())
        memory_mb = sum(run.size.memory_mb for run in self._running())
        return Usage(self._reported_ms, cores, memory_mb)

    def _touch(self, run: _Run) -> None:
        self._rev += 1
        run.rev = self._rev

    def _told(self, run: _Run) -> Run:
        running = run.state is RunState.RUNNING
        return Run(
            run.task,
            run.attempt,
            run.state,
            "" if running else _progress(run),
            int(run.ran_ms),
            run.rate if running else 0.0,
            run.rate_at_ms if running else 0.0,
            self._cores(run) if running else 0.0,
            run.fraction,
        )

    def _note(self, what: str, run: _Run) -> None:
        ended = what in ("lapsed",)
        at_ms = run.lease_until_ms if ended else self._clock.now_ms()
        self.record.append(
            WorkerEvent(
                at_ms,
                what,
                self.id,
                self.zone,
                run.task,
                run.attempt,
                _progress(run),
                run.size,
            )
        )


def _progress(run: _Run) -> str:
    return f"{run.progress_ms:.0f}" if run.progress_ms else ""


def no_interference(class_name: str, colocated: list[ColocatedRun]) -> float:
    """Returns full speed for everyone."""
    del class_name, colocated
    return 1.0


def noisy_interference(class_name: str, colocated: list[ColocatedRun]) -> float:
    """Returns a rate that falls with the noisy neighbours."""
    noise = sum(
        b.fraction for b in colocated if b.class_name.startswith("noisy")
    )
    weight = 0.3 if class_name.startswith("urgent") else 0.1
    return 1.0 / (1.0 + weight * noise)
