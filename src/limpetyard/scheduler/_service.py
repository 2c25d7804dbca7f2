"""Runs a cell's controller against the log and the workers."""

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
    StreamBrokenError,
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

STEP_MS = 50
FOLLOW_WAIT_MS = 500
RETRY_MS = 200

_ENCODER = msgspec.json.Encoder()


class CellService(Service):
    """Follows one cell and acts for it while this daemon owns it.

    Attributes:
        controller: Decides; fed by this service's tasks.
        traced_controller: The controller, or a recorder of what it is told.
        reader: Keeps the state level with the stream.
        claim_extra_ms: Wait on top of the lease before claiming.
        appends: Count of append calls.
    """

    def __init__(
        self,
        controller: CellController,
        log: Log,
        workers: WorkerClient,
        clock: Clock,
        params: SchedulerParams,
        tail: RecentDecisions,
        metrics: Metrics,
        recorder: TraceRecorder | None = None,
    ):
        super().__init__()
        self.controller = controller
        self.traced_controller = recorder or controller
        self._tap = recorder.on_record if recorder else None
        self.claim_extra_ms = 0.0
        self.appends = 0
        self._log = log
        self._workers = workers
        self._clock = clock
        self._terms = params
        self._tail = tail
        self._metrics = metrics
        self._plan = SnapshotSchedule(
            params.snapshot_records, params.snapshot_ms
        )
        self.reader = StreamReader(
            log, controller.name, self._new_projector, clock
        )
        self._do = {
            Append: self._do_append,
            SyncWorker: self._do_sync,
            StartRuns: self._do_start,
            StopRuns: self._do_stop,
            ThrottleRuns: self._do_throttle,
        }

    @property
    def label(self) -> str:
        """Name of the service in mode's reports."""
        return f"CellService: {self.controller.name}"

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self.reader.advance(FOLLOW_WAIT_MS)
                self.controller.set_state(self.reader.projector.projection)
            except (LogUnavailableError, StreamBrokenError) as exc:
                event("cell_read_failed", "WARNING", reason=exc)
                await self.sleep(RETRY_MS / MS_PER_SECOND)
            self.step()

    @Service.task
    async def _steps(self) -> None:
        while not self.should_stop:
            self.step()
            await self.sleep(STEP_MS / MS_PER_SECOND)

    def step(self) -> None:
        """Lets the controller decide and carries out what is due."""
        if self.reader.projector is None:
            return
        status = self.controller.ownership.status
        effects = self.traced_controller.step(
            self._clock.now_ms(), self.reader.confirmed_ms, self.claim_extra_ms
        )
        self._note_status(status)
        for effect in effects + self._snapshot():
            self._perform(effect)

    async def release_ownership(self) -> None:
        """Releases the cell if it is owned here; returns once it is gone."""
        self.controller.accepting = False
        while self.controller.ownership.is_owner:
            for effect in self.controller.release(self._clock.now_ms()):
                self._perform(effect)
            await asyncio.sleep(STEP_MS / MS_PER_SECOND)

    def _note_status(self, before: str) -> None:
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
        state = CellState(self._note_change)
        return StreamProjector(state, CellRecord, CellSnapshot, self._tap)

    def _note_change(self, change: StateChange) -> None:
        ownership = self.controller.ownership
        if not ownership.is_owner or change.epoch != ownership.epoch:
            return
        name = self.controller.name
        entry = change.entry
        self._tail.note(name, change, self._clock.now_ms())
        self._metrics.decision(name, type(entry).__name__.lower())
        if isinstance(entry, Ended):
            self._metrics.run(
                change.spec.partner,
                change.spec.class_name,
                entry.outcome.value,
                entry.ran_ms,
            )

    def _snapshot(self) -> list[Effect]:
        projector = self.reader.projector
        now_ms = self._clock.now_ms()
        is_owner = self.controller.ownership.is_owner
        if not is_owner or not self._plan.due(projector, now_ms, rank=0):
            return []
        as_of = projector.next_offset - 1
        return [Append(CellSnapshot(as_of, projector.projection.dump()))]

    def _perform(self, effect: Effect) -> None:
        self.add_future(self._do[type(effect)](effect))

    async def _do_append(self, effect: Append) -> None:
        self.appends += 1
        text = _ENCODER.encode(effect.record).decode()
        try:
            await self._log.append(self.controller.name, text)
        except LogUnavailableError as exc:
            event("append_unanswered", "WARNING", topic="cells", reason=exc)

    async def _do_sync(self, effect: SyncWorker) -> None:
        try:
            reply = await self._workers.sync(effect.address, effect.order)
        except WorkerUnavailableError as exc:
            event("worker_silent", "DEBUG", worker=effect.worker, reason=exc)
            return
        self.traced_controller.on_sync_reply(
            effect.worker, effect.order, reply, self._clock.now_ms()
        )

    async def _do_start(self, effect: StartRuns) -> None:
        try:
            reply = await self._workers.start(effect.address, effect.orders)
        except WorkerUnavailableError as exc:
            event("start_unanswered", worker=effect.worker, reason=exc)
            return
        self.traced_controller.on_start_reply(
            effect.worker, effect.orders, reply
        )

    async def _do_stop(self, effect: StopRuns) -> None:
        try:
            await self._workers.stop(effect.address, effect.orders)
        except WorkerUnavailableError as exc:
            event("stop_unanswered", worker=effect.worker, reason=exc)

    async def _do_throttle(self, effect: ThrottleRuns) -> None:
        try:
            await self._workers.throttle(effect.address, effect.orders)
        except WorkerUnavailableError as exc:
            event("throttle_unanswered", worker=effect.worker, reason=exc)
