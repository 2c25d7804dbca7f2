"""A worker in the platform's form: leases, tokens, ends, late orders."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard.engine import (
    PaceOrder,
    PollReply,
    PollRequest,
    RunEndKind,
    RunEndReport,
    RunReport,
    StaleTokenError,
    StartOrder,
    StartResult,
    WorkerDownError,
    WorkerEntry,
    WorkerOutcomeUnknownError,
)
from limpetyard.jobs import JobSpec, StepSpec, TaskKey
from standins.platform._gangs import Gangs
from standins.platform._history import (
    Draining,
    Ended,
    History,
    Lapsed,
    Noted,
    RunStarted,
)
from standins.platform._link import Link, RefusedPathError, SilentPathError

LONGEST_LEASE_MS = 6000
STOP_MS = 100
ORDER_TIMEOUT_MS = 500
ENDS_PER_REPLY = 500


class _Run:
    def __init__(
        self,
        order: StartOrder,
        step: StepSpec,
        end: Callable[["_Run", str], None],
    ):
        self._end = end
        self.task = order.task
        self.run = order.run
        self.step = step
        self.checkpoint = order.checkpoint
        self.percent = 100
        self.stopping = False
        self.timer: asyncio.TimerHandle | None = None

    def end(self, how: str) -> None:
        """Ends the run at its worker."""
        self._end(self, how)


class WorkerModel:
    """One worker.

    Attributes:
        entry: What it says of itself.
        up: Whether it answers and runs anything.
        left: Whether it has left for good; nobody listens at its address.
        failure_rate: Share of its runs that fail.
        runs_never_end: Whether its runs never end.
        clock_rate: Speed of its clock.
        carrying_late: Whether it carries out an order that was held back.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        clock: Clock,
        history: History,
        specs: Callable[[str], JobSpec | None],
        rng: random.Random,
        gangs: Gangs,
    ):
        self.entry = entry
        self.up = True
        self.left = False
        self.failure_rate = 0.0
        self.runs_never_end = False
        self.clock_rate = 1.0
        self.carrying_late = False
        self._clock = clock
        self._record = history
        self._specs = specs
        self._rng = rng
        self._gangs = gangs
        self._begin_life()

    def _begin_life(self) -> None:
        self._since_ms = self._clock.now_ms()
        self._runs: dict[TaskKey, _Run] = {}
        self._ends: list[RunEndReport] = []
        self._number = 0
        self._token = 0
        self._lease_ms = 0.0
        self._closed: dict[TaskKey, int] = {}
        self._lapse_timer: asyncio.TimerHandle | None = None
        self._news = asyncio.Event()

    def now_ms(self) -> float:
        """Returns the time of the world."""
        return self._clock.now_ms()

    def drain(self) -> None:
        """Says that it is about to leave."""
        self.entry = msgspec.structs.replace(self.entry, draining=True)
        self._record.add(
            Draining(self._clock.now_ms(), self.entry.id, self.entry.born)
        )

    def clock_ms(self) -> float:
        """Returns a reading of its own clock."""
        return (self._clock.now_ms() - self._since_ms) * self.clock_rate

    def running(self) -> list[TaskKey]:
        """Returns what it runs."""
        return list(self._runs)

    def has_room(self, spec: JobSpec, number: int) -> bool:
        """Returns whether one more task of a step fits."""
        step = spec.steps[number]
        held = [run.step.reserved for run in self._runs.values()]
        need = step.reserved
        has = self.entry.capacity
        same = sum(task[:3] == (spec.id, 0, number) for task in self._runs)
        return (
            self.up
            and not self.entry.draining
            and (not step.label or step.label in self.entry.labels)
            and (not step.per_worker or same < step.per_worker)
            and need.cores_milli + sum(r.cores_milli for r in held)
            <= has.cores_milli
            and need.memory_mb + sum(r.memory_mb for r in held) <= has.memory_mb
        )

    def crash(self) -> None:
        """Ends its life; what runs ends without a trace."""
        for run in list(self._runs.values()):
            self._end(run, "crashed")
        self.up = False

    def leave(self) -> None:
        """Exits, as it said that it would."""
        self.crash()
        self.left = True

    def restart(self) -> None:
        """Begins another life under the same id."""
        self.entry = _reborn(self.entry)
        self._begin_life()
        self.up = True

    async def poll(self, order: PollRequest) -> PollReply:
        """See `limpetyard.engine.StepWorkerClient.look`."""
        self._check(order.token)
        if order.lease_until_ms is not None:
            self._extend(order.lease_until_ms)
        if order.acked_end:
            self._forget(order.acked_end)
        if not self._ends and order.wait_ms:
            self._news = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(order.wait_ms / MS_PER_SECOND):
                    await self._news.wait()
            self._check(order.token)
        rows = [
            RunReport(run.task, run.run, run.checkpoint, run.percent, 0.0)
            for run in self._runs.values()
        ]
        return PollReply(
            self.entry.born,
            self.clock_ms(),
            rows,
            self._ends[:ENDS_PER_REPLY],
        )

    async def start(self, order: StartOrder) -> StartResult:
        """See `limpetyard.engine.StepWorkerClient.start`."""
        self._check(order.token)
        running = self._runs.get(order.task)
        if running is not None and running.run == order.run:
            self._extend(order.lease_until_ms)
            return StartResult.STARTED
        if order.run <= self._closed.get(order.task, 0):
            self._extend(order.lease_until_ms)
            return StartResult.STALE_RUN
        if order.lease_until_ms <= self.clock_ms():
            return StartResult.EXPIRED
        self._extend(order.lease_until_ms)
        spec = self._specs(order.task.job)
        step = spec.steps[order.task.step] if spec else StepSpec(1)
        run = _Run(order, step, self._end)
        self._runs[order.task] = run
        self._record.add(
            RunStarted(
                self._clock.now_ms(),
                self.entry.id,
                self.entry.born,
                order.task,
                order.run,
                self._over(),
                self.carrying_late,
            )
        )
        self._schedule(run)
        return StartResult.STARTED

    async def stop(self, task: TaskKey, run: int, token: int) -> None:
        """See `limpetyard.engine.StepWorkerClient.stop`."""
        self._check(token)
        self._closed[task] = max(run, self._closed.get(task, 0))
        running = self._runs.get(task)
        if running is None or running.run != run or running.stopping:
            return
        running.stopping = True
        if running.timer is not None:
            running.timer.cancel()
        loop = asyncio.get_running_loop()
        running.timer = loop.call_later(
            STOP_MS / MS_PER_SECOND,
            self._end,
            running,
            RunEndKind.STOPPED.value,
        )

    async def pace(self, order: PaceOrder) -> None:
        """See `limpetyard.engine.StepWorkerClient.pace`."""
        self._check(order.token)
        run = self._runs.get(order.task)
        if run is not None and run.run == order.run:
            run.percent = order.percent

    def _check(self, token: int) -> None:
        if not self.up:
            raise SilentPathError
        if token < self._token:
            raise StaleTokenError(self.entry.id)
        self._token = token

    def _over(self) -> bool:
        cores = sum(r.step.reserved.cores_milli for r in self._runs.values())
        memory = sum(r.step.reserved.memory_mb for r in self._runs.values())
        has = self.entry.capacity
        return cores > has.cores_milli or memory > has.memory_mb

    def _schedule(self, run: _Run) -> None:
        how = RunEndKind.DONE.value
        if self._rng.random() < self.failure_rate:
            how = RunEndKind.FAILED.value
        if run.step.gang:
            self._gangs.join(run, how)
            return
        if run.step.long_running or self.runs_never_end:
            return
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(
            max(run.step.run_ms, 1) / MS_PER_SECOND, self._end, run, how
        )

    def _end(self, run: _Run, how: str) -> None:
        if self._runs.get(run.task) is not run:
            return
        del self._runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._closed[run.task] = max(run.run, self._closed.get(run.task, 0))
        self._number += 1
        self._record.add(
            Ended(
                self._clock.now_ms(),
                self.entry.id,
                self.entry.born,
                self._number,
                run.task,
                run.run,
                how,
            )
        )
        if how != "crashed":
            self._ends.append(
                RunEndReport(
                    self._number, run.task, run.run, RunEndKind(how), "saved"
                )
            )
        self._news.set()
        if run.step.gang:
            self._gangs.leave(run, how)

    def _extend(self, until_ms: float) -> None:
        longest = self.clock_ms() + LONGEST_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest))
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        left_ms = (self._lease_ms - self.clock_ms()) / self.clock_rate
        self._lapse_timer = asyncio.get_running_loop().call_later(
            max(0.0, left_ms) / MS_PER_SECOND, self._lapse
        )

    def _lapse(self) -> None:
        self._record.add(
            Lapsed(self._clock.now_ms(), self.entry.id, self.entry.born)
        )
        for run in list(self._runs.values()):
            self._end(run, RunEndKind.LAPSED.value)

    def _forget(self, number: int) -> None:
        self._ends = [end for end in self._ends if end.number > number]
        self._record.add(
            Noted(
                self._clock.now_ms(),
                self.entry.id,
                self.entry.born,
                number,
            )
        )


def _reborn(entry: WorkerEntry) -> WorkerEntry:
    return msgspec.structs.replace(entry, born=entry.born + 1, draining=False)


class LinkedWorkerClient:
    """All workers as one node reaches them.

    Attributes:
        links: Path to each worker, by its id.
        deliver_after_restart: Whether orders to one life of a worker may be
            carried out in the next.
    """

    deliver_after_restart = False

    def __init__(self, models: dict[str, WorkerModel], links: dict[str, Link]):
        self._models = models
        self.links = links

    async def _call(self, entry: WorkerEntry, act, timeout_ms: float):
        model = self._models.get(entry.id)
        if model is None or model.left and not self.links[entry.id].cut:
            raise WorkerDownError(f"{entry.id} is gone")
        born = model.entry.born
        sent_ms = model.now_ms()

        async def carry_out():
            """An order dies with the life of the worker that received it."""
            if model.entry.born != born and not self.deliver_after_restart:
                raise SilentPathError
            waited_ms = model.now_ms() - sent_ms
            model.carrying_late = waited_ms > timeout_ms
            try:
                return await act(model)
            finally:
                model.carrying_late = False

        try:
            return await self.links[entry.id].carry(carry_out, timeout_ms)
        except (SilentPathError, RefusedPathError):
            raise WorkerOutcomeUnknownError(entry.id) from None

    async def poll(
        self, entry: WorkerEntry, order: PollRequest, timeout_ms: float
    ) -> PollReply:
        """See `limpetyard.engine.StepWorkerClient.look`."""
        return await self._call(entry, lambda m: m.poll(order), timeout_ms)

    async def start(self, entry: WorkerEntry, order: StartOrder) -> StartResult:
        """See `limpetyard.engine.StepWorkerClient.start`."""
        return await self._call(
            entry, lambda m: m.start(order), ORDER_TIMEOUT_MS
        )

    async def stop(
        self, entry: WorkerEntry, task: TaskKey, run: int, token: int
    ) -> None:
        """See `limpetyard.engine.StepWorkerClient.stop`."""
        await self._call(
            entry, lambda m: m.stop(task, run, token), ORDER_TIMEOUT_MS
        )

    async def pace(self, entry: WorkerEntry, order: PaceOrder) -> None:
        """See `limpetyard.engine.StepWorkerClient.pace`."""
        await self._call(entry, lambda m: m.pace(order), ORDER_TIMEOUT_MS)
