"""Model of a platform worker with leases and fencing tokens."""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable, Collection

import msgspec

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard.engine import (
    OrderWithheldError,
    PaceOrder,
    PollReply,
    PollRequest,
    RunEndKind,
    RunEndReport,
    RunReport,
    StaleTokenError,
    StartOrder,
    StartReply,
    StartResult,
    WorkerDisconnectedError,
    WorkerDownError,
    WorkerEntry,
    WorkerOutcomeUnknownError,
    WrongWorkerError,
)
from limpetyard.jobs import JobSpec, Resources, StepSpec, TaskKey
from standins.platform._gangs import Gangs
from standins.platform._history import (
    DrainAnnounced,
    EndsAcknowledged,
    History,
    LeaseExpired,
    RunEnded,
    RunStarted,
)
from standins.platform._link import Link, LinkRefusedError, LinkTimeoutError

LONGEST_LEASE_MS = 10_000
STOP_MS = 100
ORDER_TIMEOUT_MS = 500
ENDS_PER_REPLY = 500

# The clock of an incarnation starts at a reading below this. It is far longer
# than a test, so that readings of two incarnations are unrelated.
MAX_FIRST_READING_MS = 10_000_000

# A start may exceed a capacity that shrank within this time, as the owner may
# not have read the directory entry yet.
SHRUNK_GRACE_MS = 1000

# A task of a deadly job crashes its worker this long after its start.
DEADLY_RUN_MS = 10


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

    def end(self, end_kind: str) -> None:
        """Ends the run on its worker."""
        self._end(self, end_kind)


class WorkerModel:
    """A worker that runs tasks under a lease and records what it does.

    Attributes:
        entry: Its directory entry.
        up: Whether it responds and runs tasks.
        has_left: Whether it has shut down; its address refuses connections.
        reaches_store: Whether its reports reach the store.
        is_replaced: Whether another worker listens at its address.
        is_unhealthy: Whether it rejects each start.
        failure_rate: Fraction of its runs that fail.
        runs_never_end: Whether its runs never end.
        clock_rate: Rate of its clock relative to simulation time.
        delivering_late: Whether the order in execution arrived after its
            sender's time-out.
        order_sender: Name of the node that sent the order in execution, or "".
        last_closed_born: Latest incarnation that closed its connections when it
            ended.
        on_deadly_run: Called when a task of a deadly job crashes the worker.
        measure: Returns the measurement of a run in a report.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        clock: Clock,
        history: History,
        specs: Callable[[str], JobSpec | None],
        rng: random.Random,
        gangs: Gangs,
        longest_lease_ms: float = LONGEST_LEASE_MS,
        clock_rng: random.Random | None = None,
    ):
        """Initializes a worker in its first incarnation.

        Args:
            entry: Its directory entry.
            clock: Clock of the simulation.
            history: History that it writes to.
            specs: Returns the specification of a job by its id.
            rng: Source of random choices about its runs.
            gangs: Gangs of all workers.
            longest_lease_ms: Longest lease that it accepts.
            clock_rng: Source of the first reading of each incarnation's clock;
                0 by default.
        """
        self.entry = entry
        self.up = True
        self.has_left = False
        self.reaches_store = True
        self.is_replaced = False
        self.is_unhealthy = False
        self.failure_rate = 0.0
        self.runs_never_end = False
        self.clock_rate = 1.0
        self.delivering_late = False
        self.order_sender = ""
        self.last_closed_born = 0
        # Capacity before the last change, and when that was.
        self._former_capacity = entry.capacity
        self._resized_ms = -math.inf
        self.on_deadly_run: Callable[[WorkerModel], None] = WorkerModel.crash
        self.measure: Callable[[_Run], float] = lambda _: 0.0
        self._clock = clock
        self._history = history
        self._specs = specs
        self._rng = rng
        self._gangs = gangs
        self._longest_lease_ms = longest_lease_ms
        self._clock_rng = clock_rng
        self._begin_incarnation(self._draw_first_reading())

    def _draw_first_reading(self) -> float:
        if self._clock_rng is None:
            return 0.0
        return self._clock_rng.uniform(0, MAX_FIRST_READING_MS)

    def _begin_incarnation(self, first_reading_ms: float) -> None:
        self._started_ms = self._clock.now_ms()
        self._first_reading_ms = first_reading_ms
        self._runs: dict[TaskKey, _Run] = {}
        self._ends: list[RunEndReport] = []
        self._last_end_number = 0
        self._token = 0
        self._lease_until_ms = 0.0
        # Newest run of each task that ended or was stopped; an order to start
        # it or an older one is stale.
        self._last_closed_runs: dict[TaskKey, int] = {}
        self._lease_timer: asyncio.TimerHandle | None = None
        self._end_event = asyncio.Event()

    def now_ms(self) -> float:
        """Returns the simulation time."""
        return self._clock.now_ms()

    def drain(self, remaining_ms: float = 0.0) -> None:
        """Marks the directory entry as draining.

        Args:
            remaining_ms: Announced minimum time until it departs.
        """
        self.entry = msgspec.structs.replace(
            self.entry, draining=True, remaining_ms=remaining_ms
        )
        self._history.add(
            DrainAnnounced(self._clock.now_ms(), self.entry.id, self.entry.born)
        )

    def resize(self, capacity: Resources) -> None:
        """Changes the capacity; runs beyond it go on."""
        self._former_capacity = self.entry.capacity
        self._resized_ms = self._clock.now_ms()
        self.entry = msgspec.structs.replace(self.entry, capacity=capacity)

    def clock_ms(self) -> float:
        """Returns the worker's own clock."""
        age_ms = self._clock.now_ms() - self._started_ms
        return self._first_reading_ms + age_ms * self.clock_rate

    @property
    def runs(self) -> list[_Run]:
        """Runs on the worker now."""
        return list(self._runs.values())

    def running(self) -> list[TaskKey]:
        """Returns the tasks that run now."""
        return list(self._runs)

    def has_room(self, spec: JobSpec, number: int, times: int = 1) -> bool:
        """Returns whether the worker can run one more task of a step.

        Args:
            spec: The job.
            number: Index of the step.
            times: Multiple of the need of a task that must be free.
        """
        return self._has_room_beside(self._runs.values(), spec, number, times)

    def room_beside_long_running(
        self, spec: JobSpec, number: int, ending: Collection[str]
    ) -> int:
        """Returns how many tasks of a step fit once the other runs have ended.

        Args:
            spec: The job.
            number: Index of the step, whose tasks are not long-running.
            ending: Ids of the jobs whose long-running tasks end too.
        """
        staying = [
            run
            for run in self._runs.values()
            if run.step.long_running and run.task.job not in ending
        ]
        step = spec.steps[number]
        most = step.per_worker or step.count
        return sum(
            self._has_room_beside(staying, spec, number, times)
            for times in range(1, most + 1)
        )

    def _has_room_beside(
        self, runs: Collection[_Run], spec: JobSpec, number: int, times: int
    ) -> bool:
        step = spec.steps[number]
        reserved = [run.step.reserved for run in runs]
        need = step.reserved
        capacity = self.entry.capacity
        same_step = sum(run.task[:3] == (spec.id, 0, number) for run in runs)
        return (
            self.up
            and not self.entry.draining
            and (not step.label or step.label in self.entry.labels)
            and (not step.per_worker or same_step < step.per_worker)
            and times * need.cores_milli + sum(r.cores_milli for r in reserved)
            <= capacity.cores_milli
            and times * need.memory_mb + sum(r.memory_mb for r in reserved)
            <= capacity.memory_mb
        )

    def end_run(self, task: TaskKey, end_kind: RunEndKind) -> None:
        """Ends the run of a task in the given way and reports it."""
        self._end(self._runs[task], end_kind.value)

    def crash(self) -> None:
        """Stops responding; running tasks end without a report."""
        for run in list(self._runs.values()):
            self._end(run, "crashed")
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        self.up = False

    def refuse_connections(self) -> None:
        """Crashes; the address refuses connections from now on."""
        self.crash()
        self.has_left = True
        self.last_closed_born = self.entry.born
        self._end_event.set()

    def leave(self) -> None:
        """Exits after draining."""
        self.refuse_connections()

    def restart(self, first_reading_ms: float | None = None) -> None:
        """Starts the next incarnation under the same id.

        Args:
            first_reading_ms: First reading of its clock; random by default.
        """
        if first_reading_ms is None:
            first_reading_ms = self._draw_first_reading()
        self.entry = _next_incarnation(self.entry)
        self._end_event.set()
        self._begin_incarnation(first_reading_ms)
        self.up = True
        self.has_left = False

    async def poll(self, order: PollRequest) -> PollReply:
        """See `limpetyard.engine.StepWorkerClient.poll`."""
        self._check_token(order.token)
        if order.lease_until_ms is not None:
            self._extend_lease(order.lease_until_ms)
        if order.acked_end:
            self._acknowledge_ends(order.acked_end)
        if not self._ends and order.wait_ms:
            born = self.entry.born
            self._end_event = asyncio.Event()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(order.wait_ms / MS_PER_SECOND):
                    await self._end_event.wait()
            if self.has_left or self.entry.born != born:
                raise WorkerDisconnectedError(self.entry.id)
            self._check_token(order.token)
        reports = [
            RunReport(
                run.task,
                run.run,
                run.checkpoint,
                run.percent,
                self.measure(run),
            )
            for run in self._runs.values()
        ]
        return PollReply(
            self.entry.born,
            self.clock_ms(),
            reports,
            self._ends[:ENDS_PER_REPLY],
            len(self._ends) <= ENDS_PER_REPLY,
        )

    async def start(self, order: StartOrder) -> StartResult:
        """See `limpetyard.engine.StepWorkerClient.start`."""
        self._check_token(order.token)
        if self.is_unhealthy:
            return StartResult.UNHEALTHY
        running = self._runs.get(order.task)
        if running is not None and running.run == order.run:
            self._extend_lease(order.lease_until_ms)
            return StartResult.STARTED
        if order.run <= self._last_closed_runs.get(order.task, 0):
            self._extend_lease(order.lease_until_ms)
            return StartResult.STALE_RUN
        if order.lease_until_ms <= self.clock_ms():
            return StartResult.EXPIRED
        self._extend_lease(order.lease_until_ms)
        spec = self._specs(order.task.job)
        step = spec.steps[order.task.step] if spec else StepSpec(1)
        run = _Run(order, step, self._end)
        self._runs[order.task] = run
        self._history.add(
            RunStarted(
                self._clock.now_ms(),
                self.entry.id,
                self.entry.born,
                order.task,
                order.run,
                self._exceeds_capacity(),
                self.delivering_late,
                self.order_sender,
                order.payload,
            )
        )
        if order.task.job in self._history.deadly:
            asyncio.get_running_loop().call_later(
                DEADLY_RUN_MS / MS_PER_SECOND, self.on_deadly_run, self
            )
        self._schedule(run)
        return StartResult.STARTED

    async def stop(self, task: TaskKey, run: int, token: int) -> None:
        """See `limpetyard.engine.StepWorkerClient.stop`."""
        self._check_token(token)
        self._last_closed_runs[task] = max(
            run, self._last_closed_runs.get(task, 0)
        )
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
        self._check_token(order.token)
        run = self._runs.get(order.task)
        if run is not None and run.run == order.run:
            run.percent = order.percent

    def _check_token(self, token: int) -> None:
        if not self.up:
            raise LinkTimeoutError
        if token < self._token:
            raise StaleTokenError(self.entry.id)
        self._token = token

    def _exceeds_capacity(self) -> bool:
        cores = sum(r.step.reserved.cores_milli for r in self._runs.values())
        memory = sum(r.step.reserved.memory_mb for r in self._runs.values())
        capacities = [self.entry.capacity]
        if self._clock.now_ms() - self._resized_ms < SHRUNK_GRACE_MS:
            capacities.append(self._former_capacity)
        return all(
            cores > capacity.cores_milli or memory > capacity.memory_mb
            for capacity in capacities
        )

    def _schedule(self, run: _Run) -> None:
        end_kind = RunEndKind.DONE.value
        if self._rng.random() < self.failure_rate:
            end_kind = RunEndKind.FAILED.value
        if run.step.gang:
            self._gangs.join(run, end_kind)
            return
        if run.step.long_running or self.runs_never_end:
            return
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(
            max(run.step.run_ms, 1) / MS_PER_SECOND, self._end, run, end_kind
        )

    def _end(self, run: _Run, end_kind: str) -> None:
        if self._runs.get(run.task) is not run:
            return
        del self._runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self._last_closed_runs[run.task] = max(
            run.run, self._last_closed_runs.get(run.task, 0)
        )
        self._last_end_number += 1
        self._history.add(
            RunEnded(
                self._clock.now_ms(),
                self.entry.id,
                self.entry.born,
                self._last_end_number,
                run.task,
                run.run,
                end_kind,
            )
        )
        if end_kind != "crashed":
            self._ends.append(
                RunEndReport(
                    self._last_end_number,
                    run.task,
                    run.run,
                    RunEndKind(end_kind),
                    "saved",
                )
            )
        self._end_event.set()
        if run.step.gang:
            self._gangs.leave(run, end_kind)

    def _extend_lease(self, until_ms: float) -> None:
        max_until_ms = self.clock_ms() + self._longest_lease_ms
        self._lease_until_ms = max(
            self._lease_until_ms, min(until_ms, max_until_ms)
        )
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left_ms = (self._lease_until_ms - self.clock_ms()) / self.clock_rate
        self._lease_timer = asyncio.get_running_loop().call_later(
            max(0.0, left_ms) / MS_PER_SECOND, self._expire_lease
        )

    def _expire_lease(self) -> None:
        self._history.add(
            LeaseExpired(self._clock.now_ms(), self.entry.id, self.entry.born)
        )
        for run in list(self._runs.values()):
            self._end(run, RunEndKind.LAPSED.value)

    def _acknowledge_ends(self, number: int) -> None:
        self._ends = [end for end in self._ends if end.number > number]
        self._history.add(
            EndsAcknowledged(
                self._clock.now_ms(),
                self.entry.id,
                self.entry.born,
                number,
            )
        )


def _next_incarnation(entry: WorkerEntry) -> WorkerEntry:
    return msgspec.structs.replace(entry, born=entry.born + 1, draining=False)


class LinkedWorkerClient:
    """Client of the workers over the links of one node.

    An order that is under way while its worker restarts is executed by the next
    incarnation. A connection to the one before is reset when it is used, unless
    it was closed.

    Attributes:
        links: Link to each worker, by its id.
    """

    def __init__(
        self,
        models: dict[str, WorkerModel],
        links: dict[str, Link],
        may_send: Callable[[str, int], bool] | None = None,
        connections: dict[tuple[str, str], int] | None = None,
        name: str = "",
    ):
        self._models = models
        self.links = links
        self._may_send = may_send
        self._name = name
        # Incarnation at the other end of each connection, by worker id and
        # kind of order.
        self._connections = {} if connections is None else connections

    def guarded(
        self, may_send: Callable[[str, int], bool]
    ) -> "LinkedWorkerClient":
        """See `limpetyard.engine.StepWorkerClient.guarded`."""
        return type(self)(
            self._models, self.links, may_send, self._connections, self._name
        )

    async def _call(
        self,
        entry: WorkerEntry,
        kind: str,
        token: int,
        operation,
        timeout_ms: float,
    ):
        if self._may_send is not None and not self._may_send(entry.id, token):
            raise OrderWithheldError(entry.id)
        model = self._models.get(entry.id)
        if model is None or model.has_left and not self.links[entry.id].cut:
            raise WorkerDownError(f"{entry.id} refuses connections")
        born = model.entry.born
        sent_ms = model.now_ms()
        connection = (entry.id, kind)
        connected = self._connections.get(connection, born)
        is_stale = model.last_closed_born < connected < born

        async def deliver():
            """Executes the order, perhaps in a later incarnation."""
            if is_stale and model.up:
                raise WorkerDisconnectedError(entry.id)
            if model.is_replaced:
                raise WrongWorkerError(entry.id)
            waited_ms = model.now_ms() - sent_ms
            model.delivering_late = waited_ms > timeout_ms
            model.order_sender = self._name
            if not model.delivering_late:
                self._connections[connection] = model.entry.born
            try:
                return await operation(model)
            finally:
                model.delivering_late = False
                model.order_sender = ""

        try:
            return await self.links[entry.id].call(deliver, timeout_ms)
        except WorkerDisconnectedError:
            self._connections.pop(connection, None)
            raise
        except LinkRefusedError:
            raise WorkerDownError(f"{entry.id} refuses connections") from None
        except LinkTimeoutError:
            # A connection whose reply is still due is not used again.
            self._connections.pop(connection, None)
            raise WorkerOutcomeUnknownError(entry.id) from None

    async def poll(
        self, entry: WorkerEntry, order: PollRequest, timeout_ms: float
    ) -> PollReply:
        """See `limpetyard.engine.StepWorkerClient.poll`."""
        return await self._call(
            entry, "poll", order.token, lambda m: m.poll(order), timeout_ms
        )

    async def start(self, entry: WorkerEntry, order: StartOrder) -> StartReply:
        """See `limpetyard.engine.StepWorkerClient.start`."""

        async def execute(model: WorkerModel) -> StartReply:
            return StartReply(await model.start(order), model.clock_ms())

        return await self._call(
            entry, "start", order.token, execute, ORDER_TIMEOUT_MS
        )

    async def stop(
        self, entry: WorkerEntry, task: TaskKey, run: int, token: int
    ) -> None:
        """See `limpetyard.engine.StepWorkerClient.stop`."""
        await self._call(
            entry,
            "stop",
            token,
            lambda m: m.stop(task, run, token),
            ORDER_TIMEOUT_MS,
        )

    async def pace(self, entry: WorkerEntry, order: PaceOrder) -> None:
        """See `limpetyard.engine.StepWorkerClient.pace`."""
        await self._call(
            entry,
            "pace",
            order.token,
            lambda m: m.pace(order),
            ORDER_TIMEOUT_MS,
        )
