"""Owns one cell: takes it over, decides, orders and stores.

A group of the store names the owner; the offset of its claim is its epoch. The
epoch fences its appends in the store and its orders at the workers, so a wrong
or doubled assignment costs time and nothing else.
"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine

import msgspec
from mode import Service

from limpetyard._chart import StateChart, StateMachine
from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import (
    AdviceService,
    Effect,
    Engine,
    EngineParams,
    StepWorkerClient,
    Worker,
    WorkerEntry,
)
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    PROGRESS_PREFIX,
    encode_progress,
)
from limpetyard.node._member import GroupMember
from limpetyard.node._order_dispatch import Orders
from limpetyard.node._peers import PeerClient
from limpetyard.node._polling import Looks
from limpetyard.node._predecessor import Predecessor
from limpetyard.node._records import CellRecords
from limpetyard.node._site import SiteView
from limpetyard.node._store_layout import (
    CLAIM_KEY,
    JOBS_TOPIC,
    OTHERS_PART,
    OWNER_PRODUCER,
    OWNERS_TOPIC,
    WORKER_KEY,
    WORKERS_TOPIC,
)
from limpetyard.store import (
    FencedError,
    KeyedRecord,
    KeyFollower,
    SequenceError,
    Store,
    StoredRecord,
    StoreError,
    StoreRefusedError,
    Writer,
)

# Ends of a worker that come within this time are stored by one append.
GATHER_MS = 15

# Longest time without planning, for what only the passing of time changes.
PLAN_MS = 100

# Shortest time between two rounds of planning.
PLAN_PAUSE_MS = 10

# Pause between two readings of the workers' entries, which come all the time;
# an eighth of the two seconds within which a leaving worker is spared.
ENTRIES_PAUSE_MS = 250

# Longest time that a release takes to store what is known.
RELEASE_MS = 150

# Pause after a refused append.
STORE_RETRY_MS = 100

# The owner says what it does not know only as long as it has read the end of
# the jobs within this time.
FRESH_MS = 2000

# Time between two rounds of forgetting.
FORGET_MS = 5000


class CellOwner(Service):
    """One ownership of one cell.

    Attributes:
        cell: Number of the cell.
        state_machine: Where it is in the owner chart.
        engine: What is known and decided; None before the claim.
        begun: Whether it has ever had the cell's state, and may have given
            orders.
    """

    def __init__(
        self,
        cell: int,
        member: GroupMember,
        store: Store,
        workers: StepWorkerClient,
        advice: AdviceService | None,
        peers: PeerClient,
        view: SiteView,
        read_entry: Callable[[StoredRecord], WorkerEntry | None],
        clock: Clock,
        wall_ms: Callable[[], float],
        params: EngineParams,
        kept_ms: float,
    ):
        super().__init__()
        self.cell = cell
        self.state_machine = StateMachine(StateChart.load("owner"))
        self.engine: Engine | None = None
        self.begun = False
        self._member = member
        self._store = store
        self._workers = workers
        self._advice = advice
        self._view = view
        self._read_entry = read_entry
        self._clock = clock
        self._wall_ms = wall_ms
        self._terms = params
        self._kept_ms = kept_ms
        self._orders: Orders | None = None
        self._looks: Looks | None = None
        self._writer: Writer | None = None
        self._jobs: KeyFollower | None = None
        self._entries: KeyFollower | None = None
        self._records: CellRecords | None = None
        self._predecessor = Predecessor(cell, store, peers, clock, params)
        self._storing = asyncio.Lock()
        self._wake = asyncio.Event()
        self._dirty = asyncio.Event()
        self._stored = asyncio.Event()
        self._recorded: dict[str, tuple[int, bool]] = {}
        self._looking: dict[str, asyncio.Task] = {}
        self._forgot_ms = 0.0
        self._held_back = False

    @property
    def deciding(self) -> bool:
        """Whether the cell's state is loaded and in use."""
        return self.state_machine.state == "deciding"

    @property
    def ended(self) -> bool:
        """Whether this ownership is over."""
        return self.state_machine.state == "ended"

    @property
    def fresh(self) -> bool:
        """Whether all jobs accepted some time ago are known."""
        confirmed_ms = self._jobs and self._jobs.confirmed_ms
        if not confirmed_ms:
            return False
        return self._clock.now_ms() - confirmed_ms < FRESH_MS

    @Service.task
    async def _own(self) -> None:
        await self._guard(self._take_and_keep())

    async def _take_and_keep(self) -> None:
        while not self.ended and not self.should_stop:
            try:
                await self._take_over()
                break
            except (FencedError, SequenceError) as exc:
                self.lose(f"fenced: {exc}")
                return
            except StoreError as exc:
                event("takeover_failed", cell=self.cell, reason=exc)
                await asyncio.sleep(STORE_RETRY_MS / MS_PER_SECOND)
        if self.ended or self.should_stop:
            return
        for loop in (
            self._jobs.follow(),
            self._entries.follow(),
            self._persist_loop(),
            self._plan_loop(),
        ):
            self._spawn(loop)

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        """Runs something as long as the ownership lasts."""
        return self.add_future(self._guard(work))

    async def _guard(self, work: Coroutine) -> None:
        """Gives the cell up when something fails in a way nobody foresaw.

        What is stored and what workers list is enough to begin anew; to go on
        without the part that failed is not.
        """
        try:
            await work
        except Exception as exc:
            event("owner_failed", "ERROR", cell=self.cell, reason=repr(exc))
            self.lose("failed")

    async def _take_over(self) -> None:
        begun_ms = self._clock.now_ms()
        if self.state_machine.state == "claiming":
            await self._predecessor.read()
            await self._claim()
            self.state_machine.fire("claimed")
            self._spawn(self._silence())
        await self._writer.fence()
        await self._load()
        self._begin()
        self.state_machine.fire("loaded")
        event(
            "cell_taken_over",
            cell=self.cell,
            epoch=self.engine.epoch,
            jobs=len(self.engine.open_jobs),
            workers=len(self.engine.workers),
            took_ms=self._clock.now_ms() - begun_ms,
        )

    async def _silence(self) -> None:
        await self._predecessor.fence_owner(self.engine.epoch)
        if self.begun:
            self._heed_predecessor()

    def _heed_predecessor(self) -> None:
        """Brings what is unsure down to what the last owner left."""
        for worker in self.engine.workers.values():
            worker.prior_lease_end_ms = min(
                worker.prior_lease_end_ms,
                self._predecessor.runs_until(worker.id),
            )
        if self._predecessor.fence_confirmed:
            self.engine.predecessor_until_ms = self._clock.now_ms()
        self._wake.set()

    async def _claim(self) -> None:
        record = KeyedRecord(CLAIM_KEY, self._member.name.encode())
        offset = await self._store.append(OWNERS_TOPIC, self.cell, [record])
        epoch = offset + 1
        event("cell_claimed", cell=self.cell, epoch=epoch)
        self.engine = Engine(epoch, self._terms)
        self._orders = Orders(
            self.engine,
            self._workers,
            self._advice,
            self._clock,
            self._terms.lease_ms,
            self._may_order,
            self.lose,
            self._wake.set,
        )
        self._looks = Looks(
            self.engine,
            self._workers,
            self._clock,
            self._terms.lease_ms,
            self._may_order,
            self.lose,
            self._on_news,
            self._stored,
        )
        self._writer = Writer(
            self._store,
            self._clock,
            JOBS_TOPIC,
            self.cell,
            OWNER_PRODUCER,
            epoch,
        )

    async def _load(self) -> None:
        self._records = CellRecords(
            self.engine,
            self._read_entry,
            self._clock,
            self._wall_ms,
            self._on_records,
        )
        self._jobs = KeyFollower(
            self._store,
            self._clock,
            JOBS_TOPIC,
            self.cell,
            self._records.take_jobs,
        )
        self._entries = KeyFollower(
            self._store,
            self._clock,
            WORKERS_TOPIC,
            OTHERS_PART,
            self._records.take_entries,
            self._records.reset_entries,
            ENTRIES_PAUSE_MS,
        )
        await asyncio.gather(self._jobs.load(), self._entries.load())

    def _begin(self) -> None:
        """Builds the state from what was loaded."""
        self._recorded = self._records.begin()
        for job in self.engine.open_jobs.values():
            job.mark_inherited()
        for worker in self.engine.workers.values():
            worker.prior_lease_end_ms = float("inf")
        self.engine.predecessor_until_ms = (
            self._clock.now_ms() + self._terms.self_fence_ms
        )
        self.begun = True
        self._heed_predecessor()
        self._tend_workers()

    def _on_records(self) -> None:
        """Has what was read taken into account."""
        if self.deciding:
            self._tend_workers()
            self._on_news()

    def _on_news(self) -> None:
        self._dirty.set()
        self._wake.set()

    def _tend_workers(self) -> None:
        """Looks at each worker and has each recorded."""
        for worker_id in self.engine.workers:
            if worker_id not in self._looking:
                self._looking[worker_id] = self._spawn(self._follow(worker_id))
        if self._unrecorded():
            self._dirty.set()

    async def _follow(self, worker_id: str) -> None:
        await self._looks.follow(worker_id)
        self._looking.pop(worker_id, None)

    def _unrecorded(self) -> list[Worker]:
        return [
            worker
            for worker in self.engine.workers.values()
            if self._recorded.get(worker.id)
            != (worker.born, worker.entry.draining)
        ]

    def _may_order(self) -> bool:
        """Whether this node is still the owner as far as it can know."""
        if self.ended:
            return False
        confirmed_ms = self._member.confirmed_ms
        age_ms = self._clock.now_ms() - confirmed_ms
        may = age_ms < self._terms.self_fence_ms
        if may == self._held_back:
            self._held_back = not may
            event("orders_held_back", held_back=not may, age_ms=age_ms)
        return may

    async def _persist_loop(self) -> None:
        while not self.ended and not self.should_stop:
            await self._dirty.wait()
            await asyncio.sleep(GATHER_MS / MS_PER_SECOND)
            self._dirty.clear()
            try:
                await self._persist()
            except (FencedError, SequenceError) as exc:
                self.lose(f"fenced: {exc}")
            except StoreRefusedError as exc:
                event("store_refused", cell=self.cell, reason=exc)
                self._dirty.set()
                await asyncio.sleep(STORE_RETRY_MS / MS_PER_SECOND)

    async def _persist(self) -> None:
        """Stores what has changed, after what is being stored already.

        An end counts as stored only together with its job, so that two
        batches must not overtake each other.
        """
        async with self._storing:
            await self._persist_changes()

    async def _persist_changes(self) -> None:
        jobs, batch = self.engine.pop_dirty()
        wall_ms = self._wall_ms()
        records = [
            KeyedRecord(
                PROGRESS_PREFIX + job.spec.id, encode_progress(job, wall_ms)
            )
            for job in jobs
        ]
        workers = self._unrecorded()
        records += [
            KeyedRecord(
                WORKER_KEY + worker.id, msgspec.msgpack.encode(worker.entry)
            )
            for worker in workers
        ]
        recorded = {
            worker.id: (worker.born, worker.entry.draining)
            for worker in workers
        }
        if records:
            try:
                await self._writer.append(records)
            except StoreError:
                self.engine.on_store_rejected(batch)
                raise
        self._recorded.update(recorded)
        self.engine.on_stored(batch)
        self.engine.set_recorded(self._recorded)
        self._stored.set()
        self._stored.clear()
        self._wake.set()

    async def _plan_loop(self) -> None:
        while not self.ended and not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PLAN_MS / MS_PER_SECOND):
                    await self._wake.wait()
            self._wake.clear()
            now_ms = self._clock.now_ms()
            self.engine.zones_out = self._view.zones_out
            if self._may_order():
                effects = self.engine.plan(now_ms, self._wall_ms())
                self._execute(effects)
            if any(job.dirty for job in self.engine.open_jobs.values()):
                self._dirty.set()
            if now_ms - self._forgot_ms > FORGET_MS:
                self._forgot_ms = now_ms
                await self._forget(now_ms)
            await asyncio.sleep(PLAN_PAUSE_MS / MS_PER_SECOND)

    async def _forget(self, now_ms: float) -> None:
        """Drops jobs that ended long ago and workers that are gone."""
        old = [
            job.spec.id
            for job in self.engine.jobs.values()
            if job.over
            and job.stored_state == job.state
            and now_ms - job.ended_ms > self._kept_ms
        ]
        gone = self.engine.remove_gone_workers(now_ms)
        records = [KeyedRecord(WORKER_KEY + worker, None) for worker in gone]
        for job_id in old:
            for prefix in (PROGRESS_PREFIX, CANCELLED_PREFIX, ACCEPTED_PREFIX):
                records.append(KeyedRecord(prefix + job_id, None))
        if not records:
            return
        try:
            await self._writer.append(records)
        except StoreError as exc:
            event("forget_failed", reason=exc)
            return
        for job_id in old:
            self.engine.forget(job_id)
        for worker in gone:
            self._recorded.pop(worker, None)

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._spawn(self._orders.carry_out(effect))

    def lose(self, reason: str) -> None:
        """Ends the ownership at once; no order is given after this."""
        if self.ended:
            return
        self.state_machine.fire("lost")
        event("cell_lost", cell=self.cell, reason=reason)
        for task in self._looking.values():
            task.cancel()

    async def release(self, reason: str) -> None:
        """Stores what is known and ends the ownership."""
        if self.deciding:
            try:
                async with asyncio.timeout(RELEASE_MS / MS_PER_SECOND):
                    await self._persist()
            except (StoreError, TimeoutError) as exc:
                event("release_unstored", cell=self.cell, reason=repr(exc))
        self.lose(reason)
