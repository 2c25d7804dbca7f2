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
    STEP_MS,
    TERMS,
    World,
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


class _NodeLog:
    """The log as one daemon reaches it."""

    def __init__(self, world: World, node: "Node"):
        self._world = world
        self._node = node

    async def append(self, stream: str, data: str) -> int:
        """Appends; the commit may be late and the answer lost."""
        raise AssertionError("the explorer appends through effects")

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> Page:
        """Reads after a delay, and is read by the daemon after another."""
        del wait_ms
        world = self._world
        await _Sleep(world.clock.now_ms() + world.delay_ms())
        if world.log_down or world.lost() or self._node.cut_from("log"):
            raise LogUnavailableError("read")
        page = world.log.read(stream, offset, limit)
        await _Sleep(world.clock.now_ms() + world.delay_ms())
        return page


class Node:
    """One daemon's part in the cell, restarted as often as it is killed."""

    def __init__(self, world: World, name: str, rank: int):
        self.world = world
        self.name = name
        self.rank = rank
        self.lives = 0
        self.paused_until_ms = 0.0
        self.alive = False
        self.start()

    def start(self) -> None:
        """Starts the daemon with nothing but its settings."""
        world = self.world
        self.lives += 1
        self.alive = True
        self.paused_until_ms = 0.0
        self.snapshot_sent = -1
        self.config_seen = 0
        self.controller = CellController(
            CELL, f"{self.name}#{self.lives}", TERMS, new_policy("learned", 0)
        )
        log = _NodeLog(world, self)
        self.cell = StreamReader(log, CELL, cell_projector, world.clock)
        self.config = StreamReader(
            log, CONFIG_STREAM, config_projector, world.clock
        )
        life = self.lives
        self._drive(self._follow(self.cell, life), life)
        self._drive(self._follow(self.config, life), life)
        world.later(world.rng.uniform(0, STEP_MS), lambda: self._step(life))

    def kill(self) -> None:
        """Ends the daemon at once."""
        self.alive = False

    def pause(self, ms: float) -> None:
        """Freezes the daemon; what it was about to send leaves afterwards."""
        self.paused_until_ms = self.world.clock.now_ms() + ms

    def cut_from(self, other: str) -> bool:
        """Returns whether nothing passes between it and another side."""
        return (self.name, other) in self.world.cut

    def _lives_on(self, life: int) -> bool:
        return self.alive and self.lives == life

    async def _follow(self, reader: StreamReader, life: int) -> None:
        clock = self.world.clock
        while self._lives_on(life):
            try:
                await reader.advance(0)
            except (LogUnavailableError, StreamUnrecoverableError):
                await _Sleep(clock.now_ms() + 200)
            await _Sleep(clock.now_ms() + 100)

    def _drive(self, coro, life: int) -> None:
        """Resumes a coroutine whenever its waits are over."""
        if not self._lives_on(life):
            coro.close()
            return
        frozen_ms = self.paused_until_ms - self.world.clock.now_ms()
        if frozen_ms > 0:
            self.world.later(frozen_ms, lambda: self._drive(coro, life))
            return
        try:
            wait = coro.send(None)
        except StopIteration:
            return
        delay_ms = max(0.0, wait.until_ms - self.world.clock.now_ms())
        self.world.later(delay_ms, lambda: self._drive(coro, life))

    def _step(self, life: int) -> None:
        if not self._lives_on(life):
            return
        world = self.world
        now_ms = world.clock.now_ms()
        frozen_ms = self.paused_until_ms - now_ms
        if frozen_ms > 0:
            world.later(frozen_ms, lambda: self._step(life))
            return
        for effect in self._decide(now_ms):
            # A pause may fall between the decision and its effect.
            wait_ms = 0.0
            if world.chaos and world.rng.random() < 0.01:
                wait_ms = world.rng.uniform(0, 12_000)
            world.later(wait_ms, lambda e=effect: self._perform(e, life))
        world.check_owners()
        world.later(STEP_MS, lambda: self._step(life))

    def _decide(self, now_ms: float) -> list[Effect]:
        if self.cell.projector is None or self.config.projector is None:
            return []
        config = self.config.projector.projection
        if config.version < self.config_seen:
            self.world.reverts.append(f"{self.name}: {config.version}")
        self.config_seen = config.version
        self.controller.set_state(self.cell.projector.projection)
        self.controller.set_config(config, self.config.confirmed_ms)
        self.controller.set_vms(self.world.vms())
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
        newest = max(projector.snapshot_as_of, self.snapshot_sent)
        if as_of - newest < TERMS.snapshot_records:
            return []
        self.snapshot_sent = as_of
        return [Append(CellSnapshot(as_of, projector.projection.dump()))]

    def _perform(self, effect: Effect, life: int) -> None:
        if self._lives_on(life):
            self._DO[type(effect)](self, effect, life)

    def _append(self, effect: Append, life: int) -> None:
        del life
        self._commit_later(CELL, effect.record)

    def _commit_later(self, stream: str, record: object) -> None:
        world = self.world
        if world.lost() or self.cut_from("log"):
            return

        def commit() -> None:
            if not world.log_down:
                world.append(stream, record)

        world.later(world.delay_ms(), commit)

    def _sync(self, effect: SyncWorker, life: int) -> None:
        def answer(model: WorkerModel) -> None:
            reply = model.sync(effect.order)
            self._reply(
                life,
                lambda: self.controller.on_sync_reply(
                    model.id, effect.order, reply, self.world.clock.now_ms()
                ),
            )

        self._to_worker(effect.worker, answer)

    def _start_runs(self, effect: StartRuns, life: int) -> None:
        def answer(model: WorkerModel) -> None:
            reply = model.start(effect.orders)
            self._reply(
                life,
                lambda: self.controller.on_start_reply(
                    model.id, effect.orders, reply
                ),
            )

        self._to_worker(effect.worker, answer)

    def _stop_runs(self, effect: StopRuns, life: int) -> None:
        del life
        self._to_worker(effect.worker, lambda model: model.stop(effect.orders))

    def _throttle_runs(self, effect: ThrottleRuns, life: int) -> None:
        del life
        self._to_worker(
            effect.worker, lambda model: model.throttle(effect.orders)
        )

    def _to_worker(self, worker_id: str, act) -> None:
        world = self.world
        for _ in range(world.copies()):
            if world.lost() or self.cut_from(worker_id):
                continue
            world.later(world.delay_ms(), lambda: self._arrive(worker_id, act))

    def _arrive(self, worker_id: str, act) -> None:
        if worker_id not in self.world.gone:
            act(self.world.workers[worker_id])

    def _reply(self, life: int, act) -> None:
        world = self.world
        if world.lost():
            return

        def arrive() -> None:
            if not self._lives_on(life):
                return
            frozen_ms = self.paused_until_ms - world.clock.now_ms()
            if frozen_ms > 0:
                world.later(frozen_ms, arrive)
                return
            act()

        world.later(world.delay_ms(), arrive)

    _DO = {
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
