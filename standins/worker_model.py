"""In-memory model of a worker, with leases, rejections and a record."""

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

FAILURE_DELAY_MS = 50.0
SAMPLE_INTERVAL_MS = 2000.0


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of a worker.

    Attributes:
        fail_everything: Whether every run fails after `FAILURE_DELAY_MS`.
        run_factor: Actual run times relative to the declared ones.
        true_cores: Actual CPU use in cores, by class, where it differs from the
            allocation.
    """

    fail_everything: bool = False
    run_factor: float = 1.0
    true_cores: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class WorkerEvent:
    """Entry of a worker's record: a run started or ended.

    Attributes:
        at_ms: Clock of the machine that the model runs on.
        what: "start", the state in which the run ended, or "restarted".
        worker: Id of the worker.
        zone: Its availability zone.
        task: Id of the task.
        attempt: Number of the run.
        checkpoint: Progress at that time.
        size: Resources allocated to the run.
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
    """A run that shares the worker with another one.

    Attributes:
        class_name: Its class.
        fraction: Fraction of full speed that it is throttled to.
    """

    class_name: str
    fraction: float


@dataclasses.dataclass(slots=True)
class _Run:
    """A run on the worker, kept after its end until the owner drops it.

    Attributes:
        progress_ms: Work done so far, in ms of run time at full speed.
        required_ms: Work after which the run finishes.
        advanced_ms: Time up to which the progress is computed.
        ran_ms: Time that the run has run, at any speed.
        rate: Newest reported sample of the rate.
        rate_at_ms: Time of that sample.
        pending_rate: Newest sample, which is not reported yet.
        fraction: Fraction of full speed that the run is throttled to.
        rev: Revision of the worker's state in which the run last changed.
    """

    cell: str
    task: str
    attempt: int
    state: RunState
    size: ResourceVector
    class_name: str
    lease_until_ms: float
    progress_ms: float = 0.0
    required_ms: float = 0.0
    advanced_ms: float = 0.0
    ran_ms: float = 0.0
    rate: float = 0.0
    rate_at_ms: float = 0.0
    pending_rate: float = 0.0
    fraction: float = 1.0
    rev: int = 0


class WorkerModel:
    """A worker that advances its runs whenever it is called or ticked.

    Attributes:
        id: Id of the VM.
        zone: Its availability zone.
        size: Its capacity.
        boot: Its incarnation, counted from 1.
        faults: Its injected faults.
        record: What actually happened, in order.
        interference: Returns the rate of a run, given its class and the runs on
            the same worker.
    """

    def __init__(
        self,
        vm_id: str,
        zone: str,
        size: ResourceVector,
        clock: Clock,
        interference,
    ):
        self.id = vm_id
        self.zone = zone
        self.size = size
        self.faults = Faults()
        self.record: list[WorkerEvent] = []
        self.interference = interference
        self._clock = clock
        self.boot = 0
        self._rev = 0
        self._sampled_ms = clock.now_ms()
        self.restart()

    def restart(self) -> None:
        """Starts the next incarnation; all runs and epochs are lost."""
        for run in getattr(self, "_runs", {}).values():
            if run.state is RunState.RUNNING:
                self._record_event("restarted", run)
        self.boot += 1
        self._epochs: dict[str, int] = {}
        self._runs: dict[str, _Run] = {}

    def sync(self, order: SyncOrder) -> SyncReply:
        """Handles a sync: renews leases and returns the changed runs."""
        self.tick()
        if not self._admit_epoch(order.cell, order.epoch):
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
        changed_runs = [
            self._run_message(run) for run in runs if run.rev > since
        ]
        return SyncReply(
            self.boot,
            self._clock.now_ms(),
            self._rev,
            runs=changed_runs,
            usage=self._usage(),
        )

    def start(self, orders: list[StartOrder]) -> StartReply:
        """Handles start orders."""
        self.tick()
        return StartReply([self._start(order) for order in orders])

    def stop(self, orders: list[StopOrder]) -> None:
        """Handles stop orders."""
        self.tick()
        for order in orders:
            if self._admit_epoch(order.cell, order.epoch):
                self._stop(order)

    def _forget(self, task: str, attempt: int) -> None:
        run = self._runs.get(task)
        if run is None or run.state is RunState.RUNNING:
            return
        if run.attempt == attempt:
            del self._runs[task]

    def throttle(self, orders: list[ThrottleOrder]) -> None:
        """Handles throttle orders."""
        self.tick()
        for order in orders:
            run = self._runs.get(order.task)
            admitted = self._admit_epoch(order.cell, order.epoch)
            if run and admitted and run.attempt == order.attempt:
                run.fraction = order.fraction
                self._mark_changed(run)

    def tick(self) -> None:
        """Advances all runs to the present time and ends those that are due."""
        now_ms = self._clock.now_ms()
        running = self._running()
        for run in running:
            self._advance(run, running, min(now_ms, run.lease_until_ms))
        for run in running:
            self._end_if_due(run, now_ms)
        if now_ms - self._sampled_ms >= SAMPLE_INTERVAL_MS:
            self._sample_rates(now_ms)

    def _running(self) -> list[_Run]:
        runs = self._runs.values()
        return [run for run in runs if run.state is RunState.RUNNING]

    def _admit_epoch(self, cell: str, epoch: int) -> bool:
        known = self._epochs.get(cell, 0)
        if epoch < known:
            return False
        self._epochs[cell] = epoch
        return True

    def _start(self, order: StartOrder) -> StartResult:
        rejection = self._rejection(order)
        known = self._runs.get(order.task)
        repeated = known is not None and known.attempt == order.attempt
        if rejection is None and not repeated:
            self._add_run(order)
        return StartResult(order.task, order.attempt, rejection)

    def _rejection(self, order: StartOrder) -> StartRejection | None:
        """Returns why an order is rejected; None if it is new or a repeat."""
        if not self._admit_epoch(order.cell, order.epoch):
            return StartRejection.STALE_EPOCH
        if order.boot != self.boot:
            return StartRejection.OTHER_BOOT
        known = self._runs.get(order.task)
        if known is not None and known.attempt >= order.attempt:
            not_stopped = known.state is not RunState.STOPPED
            repeated = known.attempt == order.attempt and not_stopped
            return None if repeated else StartRejection.STALE_ATTEMPT
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

    def _add_run(self, order: StartOrder) -> None:
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
            required_ms=order.run_ms * self.faults.run_factor,
            advanced_ms=now_ms,
        )
        self._runs[order.task] = run
        self._mark_changed(run)
        self._record_event("start", run)

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
            self._mark_changed(run)
        elif run.state is RunState.RUNNING:
            self._end(run, RunState.STOPPED)

    def _advance(self, run: _Run, running: list[_Run], until_ms: float) -> None:
        if until_ms <= run.advanced_ms:
            return
        rate = self.rate_of(run, running) * run.fraction
        passed_ms = until_ms - run.advanced_ms
        run.progress_ms += passed_ms * rate
        run.ran_ms += passed_ms
        run.advanced_ms = until_ms

    def rate_of(self, run: _Run, running: list[_Run]) -> float:
        """Returns the unthrottled speed of a run, 1.0 on an idle worker."""
        colocated = [
            ColocatedRun(other.class_name, other.fraction)
            for other in running
            if other is not run
        ]
        needed = sum(self._cores(other) for other in running)
        cpu_share = min(1.0, self.size.cores / needed) if needed else 1.0
        return self.interference(run.class_name, colocated) * cpu_share

    def running(self) -> list[_Run]:
        """Returns the runs that have not ended."""
        return self._running()

    def _cores(self, run: _Run) -> float:
        true_cores = self.faults.true_cores
        cores = true_cores.get(run.class_name, run.size.cores)
        return cores * run.fraction

    def _end_if_due(self, run: _Run, now_ms: float) -> None:
        if run.progress_ms >= run.required_ms:
            self._end(run, RunState.FINISHED)
        elif self.faults.fail_everything and run.ran_ms >= FAILURE_DELAY_MS:
            self._end(run, RunState.FAILED)
        elif now_ms > run.lease_until_ms:
            self._end(run, RunState.LAPSED)

    def _end(self, run: _Run, state: RunState) -> None:
        run.state = state
        self._mark_changed(run)
        self._record_event(state.value, run)

    def _sample_rates(self, now_ms: float) -> None:
        """Reports the rates of the previous sample and takes a new one."""
        previous_sample_ms, self._sampled_ms = self._sampled_ms, now_ms
        running = self._running()
        for run in running:
            if run.pending_rate:
                run.rate, run.rate_at_ms = run.pending_rate, previous_sample_ms
                self._mark_changed(run)
            run.pending_rate = self.rate_of(run, running)

    def _usage(self) -> Usage:
        cores = sum(run.size.cores for run in self._running())
        memory_mb = sum(run.size.memory_mb for run in self._running())
        return Usage(self._sampled_ms, cores, memory_mb)

    def _mark_changed(self, run: _Run) -> None:
        self._rev += 1
        run.rev = self._rev

    def _run_message(self, run: _Run) -> Run:
        running = run.state is RunState.RUNNING
        return Run(
            run.task,
            run.attempt,
            run.state,
            "" if running else _checkpoint_of(run),
            int(run.ran_ms),
            run.rate if running else 0.0,
            run.rate_at_ms if running else 0.0,
            self._cores(run) if running else 0.0,
            run.fraction,
        )

    def _record_event(self, what: str, run: _Run) -> None:
        # A lapsed run ended when its lease expired, which is noticed later.
        lapsed = what in ("lapsed",)
        at_ms = run.lease_until_ms if lapsed else self._clock.now_ms()
        self.record.append(
            WorkerEvent(
                at_ms,
                what,
                self.id,
                self.zone,
                run.task,
                run.attempt,
                _checkpoint_of(run),
                run.size,
            )
        )


def _checkpoint_of(run: _Run) -> str:
    return f"{run.progress_ms:.0f}" if run.progress_ms else ""


def no_interference(class_name: str, colocated: list[ColocatedRun]) -> float:
    """Returns full speed for every run."""
    del class_name, colocated
    return 1.0


def noisy_interference(class_name: str, colocated: list[ColocatedRun]) -> float:
    """Returns a rate that falls with the load of noisy neighbours."""
    noise = sum(
        run.fraction for run in colocated if run.class_name.startswith("noisy")
    )
    weight = 0.3 if class_name.startswith("urgent") else 0.1
    return 1.0 / (1.0 + weight * noise)
