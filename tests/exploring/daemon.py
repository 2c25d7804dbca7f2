"""A simulated daemon whose messages can be delayed, lost or duplicated."""

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
from limpetyard.errors import LogUnavailableError, StreamUnrecoverableError
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
from tests.exploring.simulation import (
    CELL,
    CONFIG_SNAPSHOT_RECORDS,
    PARAMS,
    STEP_MS,
    Simulation,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Value that a coroutine yields to be resumed at `until_ms`."""

    until_ms: float


class _Sleep:
    __slots__ = ("_until_ms",)

    def __init__(self, until_ms: float):
        self._until_ms = until_ms

    def __await__(self) -> Iterator[Wait]:
        yield Wait(self._until_ms)


class _DaemonLogClient:
    """Client of the log model over the daemon's connection."""

    def __init__(self, sim: Simulation, daemon: "SimulatedDaemon"):
        self._sim = sim
        self._daemon = daemon

    async def append(self, stream: str, data: str) -> int:
        """Is never called: the simulation appends by `Append` effects."""
        raise AssertionError("simulated daemons append through effects only")

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> Page:
        """Reads a page; the request and the response are delayed separately."""
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
    """One daemon of the simulation.

    It runs the real controller of the cell and the real stream readers. A kill
    and a start make a new incarnation; callbacks of older ones have no effect.

    Attributes:
        sim: The simulation.
        name: Name of the daemon.
        rank: Its rank among the daemons, which delays its claims.
        incarnation: Number of the current incarnation, from 1.
        paused_until_ms: Time until which steps, reads and replies are delayed.
        alive: Whether it runs.
        controller: Controller of the cell.
        cell_reader: Reader of the cell's stream.
        config_reader: Reader of the configuration stream.
        last_snapshot_as_of: Offset that the newest snapshot sent includes.
        last_config_version: Newest configuration version in force.
    """

    def __init__(self, sim: Simulation, name: str, rank: int):
        self.sim = sim
        self.name = name
        self.rank = rank
        self.incarnation = 0
        self.paused_until_ms = 0.0
        self.alive = False
        self.start()

    def start(self) -> None:
        """Starts a new incarnation without any state of the previous one."""
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
        self.cell_reader = StreamReader(log, CELL, cell_projector, sim.clock)
        self.config_reader = StreamReader(
            log, CONFIG_STREAM, config_projector, sim.clock
        )
        incarnation = self.incarnation
        self._resume(self._follow(self.cell_reader, incarnation), incarnation)
        self._resume(self._follow(self.config_reader, incarnation), incarnation)
        sim.schedule(
            sim.rng.uniform(0, STEP_MS), lambda: self._step(incarnation)
        )

    def kill(self) -> None:
        """Stops the daemon without a shutdown."""
        self.alive = False

    def pause(self, ms: float) -> None:
        """Delays steps, reads and replies for `ms`, like a stopped process."""
        self.paused_until_ms = self.sim.clock.now_ms() + ms

    def is_cut_from(self, other: str) -> bool:
        """Returns whether the link to the log or to a worker is cut."""
        return (self.name, other) in self.sim.cut_links

    def _is_current(self, incarnation: int) -> bool:
        return self.alive and self.incarnation == incarnation

    async def _follow(self, reader: StreamReader, incarnation: int) -> None:
        clock = self.sim.clock
        while self._is_current(incarnation):
            try:
                await reader.advance(0)
            except (LogUnavailableError, StreamUnrecoverableError):
                await _Sleep(clock.now_ms() + 200)
            await _Sleep(clock.now_ms() + 100)

    def _resume(self, coro, incarnation: int) -> None:
        """Runs a coroutine to its next wait and schedules the rest."""
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
            # The process may be paused between a decision and its effect.
            wait_ms = 0.0
            if sim.faults_enabled and sim.rng.random() < 0.01:
                wait_ms = sim.rng.uniform(0, 12_000)
            sim.schedule(
                wait_ms, lambda e=effect: self._execute(e, incarnation)
            )
        sim.record_double_owners()
        sim.schedule(STEP_MS, lambda: self._step(incarnation))

    def _decide(self, now_ms: float) -> list[Effect]:
        if (
            self.cell_reader.projector is None
            or self.config_reader.projector is None
        ):
            return []
        config = self.config_reader.projector.projection
        if config.version < self.last_config_version:
            self.sim.config_reverts.append(f"{self.name}: {config.version}")
        self.last_config_version = config.version
        self.controller.set_state(self.cell_reader.projector.projection)
        self.controller.set_config(config, self.config_reader.confirmed_ms)
        self.controller.set_vms(self.sim.vms())
        effects = self.controller.step(
            now_ms, self.cell_reader.confirmed_ms, self.rank * 750.0
        )
        self._append_config_snapshot()
        return effects + self._snapshot_effects()

    def _append_config_snapshot(self) -> None:
        projector = self.config_reader.projector
        as_of = projector.next_offset - 1
        if as_of - projector.snapshot_as_of < CONFIG_SNAPSHOT_RECORDS:
            return
        record = ConfigSnapshot(as_of, projector.projection.dump())
        self._commit_later(CONFIG_STREAM, record)

    def _snapshot_effects(self) -> list[Effect]:
        projector = self.cell_reader.projector
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
        """Sends an order; it may be lost, delayed or delivered twice."""
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
        """Sends a worker's reply; it may be lost or delayed."""
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
    """Returns a projector of the cell's stream."""
    return StreamProjector(CellState(), CellRecord, CellSnapshot)


def config_projector() -> StreamProjector:
    """Returns a projector of the configuration stream."""
    return StreamProjector(ConfigState(), ConfigRecord, ConfigSnapshot)
