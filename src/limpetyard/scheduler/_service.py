"""Service that connects a cell's controller to the log and the workers."""

import asyncio

import msgspec
from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard._metrics import Metrics
from limpetyard.cell import (
    CellRecord,
    CellSnapshot,
    CellState,
    Ended,
    StateChange,
)
from limpetyard.errors import (
    LogUnavailableError,
    StreamUnrecoverableError,
    WorkerUnavailableError,
)
from limpetyard.fleet import WorkerClient
from limpetyard.log import Log, SnapshotSchedule, StreamProjector, StreamReader
from limpetyard.scheduler._controller import CellController
from limpetyard.scheduler._decisions import RecentDecisions
from limpetyard.scheduler._effects import (
    Append,
    Effect,
    StartRuns,
    StopRuns,
    SyncWorker,
    ThrottleRuns,
)
from limpetyard.scheduler._params import SchedulerParams
from limpetyard.scheduler._trace import TraceRecorder

# Delay between two periodic steps of the controller, and between two attempts
# to release the cell.
STEP_MS = 50

# Maximum time that a read of the cell's stream waits for new records.
FOLLOW_WAIT_MS = 500

# Delay after a failed read of the cell's stream.
RETRY_MS = 200

_ENCODER = msgspec.json.Encoder()


class CellService(Service):
    """Follows one cell and performs its effects while this daemon owns it.

    Attributes:
        controller: Decides which effects this service performs.
        traced_controller: The controller, or the trace recorder that wraps it.
        reader: Reads the stream and projects it into the cell's state.
        claim_extra_ms: Time to wait, in addition to the lease, before
            claiming.
        append_count: Number of append calls.
    """

    def __init__(
        self,
        controller: CellController,
        log: Log,
        workers: WorkerClient,
        clock: Clock,
        params: SchedulerParams,
        decisions: RecentDecisions,
        metrics: Metrics,
        recorder: TraceRecorder | None = None,
    ):
        super().__init__()
        self.controller = controller
        self.traced_controller = recorder or controller
        self._on_record = recorder.on_record if recorder else None
        self.claim_extra_ms = 0.0
        self.append_count = 0
        self._log = log
        self._workers = workers
        self._clock = clock
        self._params = params
        self._decisions = decisions
        self._metrics = metrics
        self._snapshot_schedule = SnapshotSchedule(
            params.snapshot_records, params.snapshot_ms
        )
        self.reader = StreamReader(
            log, controller.name, self._new_projector, clock
        )
        self._handlers = {
            Append: self._handle_append,
            SyncWorker: self._handle_sync,
            StartRuns: self._handle_start,
            StopRuns: self._handle_stop,
            ThrottleRuns: self._handle_throttle,
        }

    @property
    def label(self) -> str:
        """Name of the service in mode's logs."""
        return f"CellService: {self.controller.name}"

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self.reader.advance(FOLLOW_WAIT_MS)
                self.controller.set_state(self.reader.projector.projection)
            except (LogUnavailableError, StreamUnrecoverableError) as exc:
                event("cell_read_failed", "WARNING", reason=exc)
                await self.sleep(RETRY_MS / MS_PER_SECOND)
            self.step()

    @Service.task
    async def _step_periodically(self) -> None:
        while not self.should_stop:
            self.step()
            await self.sleep(STEP_MS / MS_PER_SECOND)

    def step(self) -> None:
        """Runs one step of the controller and performs its effects.

        Does nothing before the reader has a state.
        """
        if self.reader.projector is None:
            return
        status = self.controller.ownership.status
        effects = self.traced_controller.step(
            self._clock.now_ms(), self.reader.confirmed_ms, self.claim_extra_ms
        )
        self._log_ownership_change(status)
        for effect in effects + self._snapshot_effects():
            self._perform(effect)

    async def release_ownership(self) -> None:
        """Releases the cell and returns once this daemon no longer owns it."""
        self.controller.claims_enabled = False
        while self.controller.ownership.is_owner:
            for effect in self.controller.release(self._clock.now_ms()):
                self._perform(effect)
            await asyncio.sleep(STEP_MS / MS_PER_SECOND)

    def _log_ownership_change(self, before: str) -> None:
        ownership = self.controller.ownership
        if ownership.status != before:
            event(
                "cell_ownership",
                cell=self.controller.name,
                before=before,
                now=ownership.status,
                epoch=self.controller.state.epoch,
            )

    def _new_projector(self) -> StreamProjector:
        state = CellState(self._record_decision)
        return StreamProjector(state, CellRecord, CellSnapshot, self._on_record)

    def _record_decision(self, change: StateChange) -> None:
        ownership = self.controller.ownership
        if not ownership.is_owner or change.epoch != ownership.epoch:
            return
        name = self.controller.name
        entry = change.entry
        self._decisions.add(name, change, self._clock.now_ms())
        self._metrics.count_decision(name, type(entry).__name__.lower())
        if isinstance(entry, Ended):
            self._metrics.observe_run(
                change.spec.partner,
                change.spec.class_name,
                entry.outcome.value,
                entry.ran_ms,
            )

    def _snapshot_effects(self) -> list[Effect]:
        projector = self.reader.projector
        now_ms = self._clock.now_ms()
        is_owner = self.controller.ownership.is_owner
        if not is_owner or not self._snapshot_schedule.start_if_due(
            projector, now_ms, rank=0
        ):
            return []
        as_of = projector.next_offset - 1
        return [Append(CellSnapshot(as_of, projector.projection.dump()))]

    def _perform(self, effect: Effect) -> None:
        self.add_future(self._handlers[type(effect)](effect))

    async def _handle_append(self, effect: Append) -> None:
        self.append_count += 1
        text = _ENCODER.encode(effect.record).decode()
        try:
            await self._log.append(self.controller.name, text)
        except LogUnavailableError as exc:
            event("append_unanswered", "WARNING", topic="cells", reason=exc)

    async def _handle_sync(self, effect: SyncWorker) -> None:
        try:
            reply = await self._workers.sync(effect.address, effect.order)
        except WorkerUnavailableError as exc:
            event("worker_silent", "DEBUG", worker=effect.worker, reason=exc)
            return
        self.traced_controller.on_sync_reply(
            effect.worker, effect.order, reply, self._clock.now_ms()
        )

    async def _handle_start(self, effect: StartRuns) -> None:
        try:
            reply = await self._workers.start(effect.address, effect.orders)
        except WorkerUnavailableError as exc:
            event("start_unanswered", worker=effect.worker, reason=exc)
            return
        self.traced_controller.on_start_reply(
            effect.worker, effect.orders, reply
        )

    async def _handle_stop(self, effect: StopRuns) -> None:
        try:
            await self._workers.stop(effect.address, effect.orders)
        except WorkerUnavailableError as exc:
            event("stop_unanswered", worker=effect.worker, reason=exc)

    async def _handle_throttle(self, effect: ThrottleRuns) -> None:
        try:
            await self._workers.throttle(effect.address, effect.orders)
        except WorkerUnavailableError as exc:
            event("throttle_unanswered", worker=effect.worker, reason=exc)
