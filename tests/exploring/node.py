"""One daemon of an explored schedule, with its faults on the way."""

import dataclasses
from collections.abc import Iterator

from limpetyard.cell import (
    CellRecord,
    CellSnapshot,
    CellState,
)
from limpetyard.config import (
    CONFIG_STREAM,
    ConfigRecord,
    ConfigSnapshot,
    ConfigState,
)
from limpetyard.errors import LogUnavailableError, StreamBrokenError
from limpetyard.log import Page, StreamProjector, StreamReader
from limpetyard.placement import new_policy
from limpetyard.scheduler import (
    Append,
    CellController,
    Effect,
    StartRuns,
    StopRuns,
    SyncWorker,
    ThrottleRuns,
)
from standins.worker_model import (
    WorkerModel,
)
from tests.exploring.world import (
    CELL,
    CONFIG_SNAPSHOT_RECORDS,
    PARAMS,
    STEP_MS,
    Simulation,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """What a coroutine yields to be resumed later."""

    until_ms: float


class _Sleep:
    __slots__ = ("_until_ms",)

    def __init__(self, until_ms: float):
        self._until_ms = until_ms

    def __await__(self) -> Iterator[Wait]:
        yield Wait(self._until_ms)


class _DaemonLogClient:
    """The log as one daemon reaches it."""

    def __init__(self, sim: Simulation, daemon: "SimulatedDaemon"):
        self._sim = sim
        self._daemon = daemon

    async def append(self, stream: str, data: str) -> int:
        """Appends; the commit may be late and the answer lost."""
        raise AssertionError("the explorer appends through effects")

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> Page:
        """Reads after a delay, and is read by the daemon after another."""
        del wait_ms
        sim = self._sim
        await _Sleep(sim.clock.now_ms() + sim.delay_ms())
        if (
            sim.log_down
            or sim.loses_message()
            or self._daemon.is_cut_from("log")
        ):
            raise LogUnavailableError("read")
        page = sim.log.read(stream, offset, limit)
        await _Sleep(sim.clock.now_ms() + sim.delay_ms())
        return page


class SimulatedDaemon:
    """One daemon's part in the cell, restarted as often as it is killed."""

    def __init__(self, sim: Simulation, name: str, rank: int):
        self.sim = sim
        self.name = name
        self.rank = rank
        self.incarnation = 0
        self.paused_until_ms = 0.0
        self.alive = False
        self.start()

    def start(self) -> None:
        """Starts the daemon with nothing but its settings."""
        sim = self.sim
        self.incarnation += 1
        self.alive = True
        self.paused_until_ms = 0.0
        self.last_snapshot_as_of = -1
        self.last_config_version = 0
        self.controller = CellController(
            CELL,
            f"{self.name}#{self.incarnation}",
            PARAMS,
            new_policy("learned", 0),
        )
        log = _DaemonLogClient(sim, self)
        self.cell = StreamReader(log, CELL, cell_projector, sim.clock)
        self.config = StreamReader(
            log, CONFIG_STREAM, config_projector, sim.clock
        )
        incarnation = self.incarnation
        self._resume(self._follow(self.cell, incarnation), incarnation)
        self._resume(self._follow(self.config, incarnation), incarnation)
        sim.schedule(
            sim.rng.uniform(0, STEP_MS), lambda: self._step(incarnation)
        )

    def kill(self) -> None:
        """Ends the daemon at once."""
        self.alive = False

    def pause(self, ms: float) -> None:
        """Freezes the daemon; what it was about to send leaves afterwards."""
        self.paused_until_ms = self.sim.clock.now_ms() + ms

    def is_cut_from(self, other: str) -> bool:
        """Returns whether nothing passes between it and another side."""
        return (self.name, other) in self.sim.cut_links

    def _is_current(self, incarnation: int) -> bool:
        return self.alive and self.incarnation == incarnation

    async def _follow(self, reader: StreamReader, incarnation: int) -> None:
        clock = self.sim.clock
        while self._is_current(incarnation):
            try:
                await reader.advance(0)
            except (LogUnavailableError, StreamBrokenError):
                await _Sleep(clock.now_ms() + 200)
            await _Sleep(clock.now_ms() + 100)

    def _resume(self, coro, incarnation: int) -> None:
        """Resumes a coroutine whenever its waits are over."""
        if not self._is_current(incarnation):
            coro.close()
            return
        pause_left_ms = self.paused_until_ms - self.sim.clock.now_ms()
        if pause_left_ms > 0:
            self.sim.schedule(
                pause_left_ms, lambda: self._resume(coro, incarnation)
            )
            return
        try:
            wait = coro.send(None)
        except StopIteration:
            return
        delay_ms = max(0.0, wait.until_ms - self.sim.clock.now_ms())
        self.sim.schedule(delay_ms, lambda: self._resume(coro, incarnation))

    def _step(self, incarnation: int) -> None:
        if not self._is_current(incarnation):
            return
        sim = self.sim
        now_ms = sim.clock.now_ms()
        pause_left_ms = self.paused_until_ms - now_ms
        if pause_left_ms > 0:
            sim.schedule(pause_left_ms, lambda: self._step(incarnation))
            return
        for effect in self._decide(now_ms):
            # A pause may fall between the decision and its effect.
            wait_ms = 0.0
            if sim.faults_enabled and sim.rng.random() < 0.01:
                wait_ms = sim.rng.uniform(0, 12_000)
            sim.schedule(
                wait_ms, lambda e=effect: self._execute(e, incarnation)
            )
        sim.record_double_owners()
        sim.schedule(STEP_MS, lambda: self._step(incarnation))

    def _decide(self, now_ms: float) -> list[Effect]:
        if self.cell.projector is None or self.config.projector is None:
            return []
        config = self.config.projector.projection
        if config.version < self.last_config_version:
            self.sim.config_reverts.append(f"{self.name}: {config.version}")
        self.last_config_version = config.version
        self.controller.set_state(self.cell.projector.projection)
        self.controller.set_config(config, self.config.confirmed_ms)
        self.controller.set_vms(self.sim.vms())
        effects = self.controller.step(
            now_ms, self.cell.confirmed_ms, self.rank * 750.0
        )
        self._snapshot_config()
        return effects + self._snapshot()

    def _snapshot_config(self) -> None:
        projector = self.config.projector
        as_of = projector.next_offset - 1
        if as_of - projector.snapshot_as_of < CONFIG_SNAPSHOT_RECORDS:
            return
        record = ConfigSnapshot(as_of, projector.projection.dump())
        self._commit_later(CONFIG_STREAM, record)

    def _snapshot(self) -> list[Effect]:
        projector = self.cell.projector
        as_of = projector.next_offset - 1
        newest = max(projector.snapshot_as_of, self.last_snapshot_as_of)
        if as_of - newest < PARAMS.snapshot_records:
            return []
        self.last_snapshot_as_of = as_of
        return [Append(CellSnapshot(as_of, projector.projection.dump()))]

    def _execute(self, effect: Effect, incarnation: int) -> None:
        if self._is_current(incarnation):
            self._HANDLERS[type(effect)](self, effect, incarnation)

    def _append(self, effect: Append, incarnation: int) -> None:
        del incarnation
        self._commit_later(CELL, effect.record)

    def _commit_later(self, stream: str, record: object) -> None:
        sim = self.sim
        if sim.loses_message() or self.is_cut_from("log"):
            return

        def commit() -> None:
            if not sim.log_down:
                sim.append(stream, record)

        sim.schedule(sim.delay_ms(), commit)

    def _sync(self, effect: SyncWorker, incarnation: int) -> None:
        def handle(model: WorkerModel) -> None:
            reply = model.sync(effect.order)
            self._send_reply(
                incarnation,
                lambda: self.controller.on_sync_reply(
                    model.id, effect.order, reply, self.sim.clock.now_ms()
                ),
            )

        self._send_to_worker(effect.worker, handle)

    def _start_runs(self, effect: StartRuns, incarnation: int) -> None:
        def handle(model: WorkerModel) -> None:
            reply = model.start(effect.orders)
            self._send_reply(
                incarnation,
                lambda: self.controller.on_start_reply(
                    model.id, effect.orders, reply
                ),
            )

        self._send_to_worker(effect.worker, handle)

    def _stop_runs(self, effect: StopRuns, incarnation: int) -> None:
        del incarnation
        self._send_to_worker(
            effect.worker, lambda model: model.stop(effect.orders)
        )

    def _throttle_runs(self, effect: ThrottleRuns, incarnation: int) -> None:
        del incarnation
        self._send_to_worker(
            effect.worker, lambda model: model.throttle(effect.orders)
        )

    def _send_to_worker(self, worker_id: str, callback) -> None:
        sim = self.sim
        for _ in range(sim.copy_count()):
            if sim.loses_message() or self.is_cut_from(worker_id):
                continue
            sim.schedule(
                sim.delay_ms(), lambda: self._deliver(worker_id, callback)
            )

    def _deliver(self, worker_id: str, callback) -> None:
        if worker_id not in self.sim.gone_workers:
            callback(self.sim.workers[worker_id])

    def _send_reply(self, incarnation: int, callback) -> None:
        sim = self.sim
        if sim.loses_message():
            return

        def deliver() -> None:
            if not self._is_current(incarnation):
                return
            pause_left_ms = self.paused_until_ms - sim.clock.now_ms()
            if pause_left_ms > 0:
                sim.schedule(pause_left_ms, deliver)
                return
            callback()

        sim.schedule(sim.delay_ms(), deliver)

    _HANDLERS = {
        Append: _append,
        SyncWorker: _sync,
        StartRuns: _start_runs,
        StopRuns: _stop_runs,
        ThrottleRuns: _throttle_runs,
    }


def cell_projector() -> StreamProjector:
    """Returns a folder of the cell's stream."""
    return StreamProjector(CellState(), CellRecord, CellSnapshot)


def config_projector() -> StreamProjector:
    """Returns a folder of the configuration stream."""
    return StreamProjector(ConfigState(), ConfigRecord, ConfigSnapshot)
