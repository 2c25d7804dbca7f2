"""Ownership of one cell: takeover, planning, orders and persistence.

The offset of the owner's claim gives its epoch, which fences its appends in the
store and its orders at the workers. A wrong or duplicate claim therefore costs
time but not correctness.
"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine

import msgspec
from mode import Service

from limpetyard._chart import StateChart, StateMachine
from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event, notify_listeners
from limpetyard.engine import (
    MIN_CLOCK_RATE,
    AdviceClient,
    Effect,
    Engine,
    EngineParams,
    RecordedState,
    StaleLeases,
    StepWorkerClient,
    Worker,
    WorkerEntry,
    lease_bound_ms,
)
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    CHUNK_PREFIX,
    PROGRESS_PREFIX,
    Job,
    cancellation_keys,
    chunk_job,
    encode_queue_service,
    encode_spec,
    progress_changes,
)
from limpetyard.node._claims import ClaimsFollower
from limpetyard.node._member import JOINS_PER_TTL, GroupMember
from limpetyard.node._order_dispatch import OrderDispatcher
from limpetyard.node._order_permit import (
    EXTEND_AFTER_MS,
    EXTEND_INTERVAL_MS,
    OrderPermit,
)
from limpetyard.node._peers import PeerClient
from limpetyard.node._polling import WorkerPoller
from limpetyard.node._predecessor import FENCE_RETRY_MS, Predecessor
from limpetyard.node._records import RecordApplier
from limpetyard.node._site import SiteView
from limpetyard.node._store_layout import (
    EXTERNAL_PARTITION,
    JOBS_TOPIC,
    OWNER_PRODUCER,
    PLACES_KEY,
    SETTLED_KEY,
    UNLEASED_KEY,
    WITNESSES_PREFIX,
    WORKER_KEY_PREFIX,
    WORKERS_TOPIC,
)
from limpetyard.node._term import SupersededError, Term
from limpetyard.node._unleased_workers import UnleasedWorkers
from limpetyard.node._witness import Witness
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
    size_bytes,
    split_append,
)

# Delay before an append; ends of runs that arrive within it share one append.
PERSIST_DELAY_MS = 15

# Maximum time between two rounds of planning. It covers changes that only the
# passing of time causes.
PLAN_MAX_INTERVAL_MS = 100

# Added to the time until a lease ends, for the next round to be after it.
LEASE_END_MARGIN_MS = 1

# Minimum time between two rounds of planning.
PLAN_MIN_INTERVAL_MS = 10

# Pause after a round of planning as a multiple of its duration, so that a large
# cell leaves two thirds of the event loop to orders, polls and heartbeats.
PLAN_PAUSE_RATIO = 2

# A round of planning that takes longer than this is logged: the event loop does
# nothing else meanwhile.
SLOW_PLAN_MS = 50

# Minimum time between two reads of the workers' entries, which are rewritten
# continuously. It is an eighth of the two seconds within which a draining
# worker must stop getting work.
ENTRIES_READ_INTERVAL_MS = 250

# Maximum time that a release spends on storing the latest state.
RELEASE_TIMEOUT_MS = 150

# Delay after a failed takeover or an append that the store refused.
STORE_RETRY_MS = 100

# Time between two purges of ended jobs and removed workers.
PURGE_INTERVAL_MS = 5000


# Length of a stored epoch.
EPOCH_BYTES = 8


class CellOwner(Service):
    """One term of ownership of a cell by this node.

    Elsewhere, "owner" also means the node that owns the cell.

    Attributes:
        cell: Number of the cell.
        state_machine: State machine of the ownership, from the `owner` chart.
        engine: Scheduling state and planner; None before the claim.
        state_loaded: Whether the cell's state has been loaded, so that orders
            may have been issued. Stays true after the ownership has ended.
    """

    def __init__(
        self,
        cell: int,
        after_epoch: int,
        member: GroupMember,
        claims: ClaimsFollower,
        store: Store,
        workers: StepWorkerClient,
        advice: AdviceClient | None,
        peers: PeerClient,
        view: SiteView,
        parse_worker_entry: Callable[[StoredRecord], WorkerEntry | None],
        clock: Clock,
        wall_ms: Callable[[], float],
        params: EngineParams,
        retention_ms: float,
        witness: Witness,
        group_ttl_ms: float,
    ):
        """Initializes an ownership.

        Args:
            cell: Number of the cell.
            after_epoch: Epoch of the claim that the new one is to follow; 0
                for the first one.
            member: Membership of this node.
            claims: Claims of the cell.
            store: The store.
            workers: Client of the workers.
            advice: Client of the advice service, or None.
            peers: Client of other nodes.
            view: Latest known configuration of the site.
            parse_worker_entry: Decodes the directory entry of a worker.
            clock: Clock for all times.
            wall_ms: Returns the time of day.
            params: Time limits of all owners.
            retention_ms: Time for which the state of an ended job is retained.
            witness: Witness of this process.
            group_ttl_ms: Time to live of memberships; the claim is confirmed as
                often as the membership.
        """
        super().__init__()
        self.cell = cell
        self.state_machine = StateMachine(StateChart.load("owner"))
        self.engine: Engine | None = None
        self.state_loaded = False
        self._member = member
        self._store = store
        # An order that waits for a connection may outlast the ownership, or the
        # incarnation of the worker that it is meant for.
        self._workers = workers.guarded(self._may_send)
        self._advice = advice
        self._view = view
        self._parse_worker_entry = parse_worker_entry
        self._clock = clock
        self._wall_ms = wall_ms
        self._params = params
        self._retention_ms = retention_ms
        self._dispatcher: OrderDispatcher | None = None
        self._poller: WorkerPoller | None = None
        self._writer: Writer | None = None
        self._jobs_follower: KeyFollower | None = None
        self._entries_follower: KeyFollower | None = None
        self._record_applier: RecordApplier | None = None
        self._predecessor = Predecessor(
            cell, store, peers, clock, params, witness
        )
        self._permit = OrderPermit(cell, peers, clock, params)
        self._term = Term(
            cell,
            member.name,
            after_epoch,
            store,
            claims,
            self._permit,
            clock,
            group_ttl_ms / JOINS_PER_TTL,
        )
        self._writer_fenced_ms = 0.0
        self._persist_lock = asyncio.Lock()
        self._read_lock = asyncio.Lock()
        self._plan_needed = asyncio.Event()
        self._persist_needed = asyncio.Event()
        self._append_done = asyncio.Event()
        # Stored state of each worker, by id.
        self._recorded_workers: dict[str, RecordedState] = {}
        # Workers whose current incarnation an earlier owner has recorded.
        self._inherited_workers: frozenset[str] = frozenset()
        # Workers whose record is to be deleted, by id.
        self._removed_workers: set[str] = set()
        self._poll_tasks: dict[str, asyncio.Task] = {}
        # Services whose workers are polled.
        self._tracked_services: frozenset[str] = frozenset()
        # Whether records were read since the workers were last looked at.
        self._track_due = False
        self._orders_suspended = False
        # Highest epoch by which this ownership was fenced.
        self._fencing_epoch = 0
        # Whether it is stored that this owner stores the places of long-running
        # tasks.
        self._places_recorded = False
        # Whether it is stored that no earlier owner issues orders.
        self._settled_recorded = False
        self._unleased: UnleasedWorkers | None = None
        # Whether a record of the workers without leases is to be stored.
        self._unleased_due = False
        # Keys whose latest record was too large for the store.
        self._too_large: set[str] = set()

    @property
    def deciding(self) -> bool:
        """Whether this node owns the cell and has loaded its state."""
        return self.state_machine.state == "deciding"

    @property
    def ended(self) -> bool:
        """Whether this ownership has ended."""
        return self.state_machine.state == "ended"

    @property
    def epoch(self) -> int:
        """Epoch of the claim, 0 before the reply to it."""
        return self._term.epoch

    @property
    def confirmed_age_ms(self) -> float | None:
        """Time since the last confirmation, None without any."""
        return self._permit.age_ms if self._term.epoch else None

    @property
    def removed_workers(self) -> frozenset[str]:
        """Workers that have departed, but whose records are not deleted yet."""
        return frozenset(self._removed_workers)

    @property
    def earlier_claims(self) -> dict[int, str]:
        """Member names in earlier claims that this owner knows, by epoch."""
        return self._predecessor.claims

    def cancellations_full_ms(self, job_id: str) -> float:
        """Returns for how long it keeps no early cancellation of a job.

        0 if it keeps one now.
        """
        return self._record_applier.early_cancellations.full_ms(
            job_id, self._clock.now_ms(), self._retention_ms
        )

    async def read_jobs(self) -> None:
        """Reads the jobs topic to its end, as it is now or later.

        Reads that are requested at the same time share one call.

        Raises:
            StoreError: If the store did not answer.
        """
        asked_ms = self._clock.now_ms()
        async with self._read_lock:
            while self._jobs_follower.confirmed_ms < asked_ms:
                await self._jobs_follower.read(wait_ms=0)

    @Service.task
    async def _run_ownership(self) -> None:
        await self._guard(self._take_over_and_start())

    async def _take_over_and_start(self) -> None:
        """Takes over the cell, with retries, then starts background tasks."""
        while not self.ended and not self.should_stop:
            try:
                await self._take_over()
                break
            except (FencedError, SequenceError) as exc:
                self.end_ownership(f"fenced: {exc}")
                return
            except SupersededError as exc:
                self.end_ownership(str(exc))
                return
            except StoreError as exc:
                event("takeover_failed", cell=self.cell, reason=exc)
                await asyncio.sleep(STORE_RETRY_MS / MS_PER_SECOND)
        if self.ended or self.should_stop:
            return
        for coroutine in (
            self._jobs_follower.follow(),
            self._entries_follower.follow(),
            self._persist_loop(),
            self._plan_loop(),
            self._purge_loop(),
            self._extend_loop(),
        ):
            self._spawn(coroutine)

    async def _extend_loop(self) -> None:
        """Keeps the permission to order while the store does not answer."""
        while not self.ended and not self.should_stop:
            joined = self._member.has_joined_within(EXTEND_AFTER_MS)
            await self._permit.extend(self.engine.epoch, joined)
            await asyncio.sleep(EXTEND_INTERVAL_MS / MS_PER_SECOND)

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        """Runs a coroutine as a guarded task of this service."""
        guarded = self._guard(work)
        task = self.add_future(guarded)

        def close(_) -> None:
            # A task that is cancelled before its first step awaits neither.
            guarded.close()
            work.close()

        task.add_done_callback(close)
        return task

    async def _guard(self, work: Coroutine) -> None:
        """Ends the ownership if the coroutine fails with an unexpected error.

        Stored records and the workers' reports suffice to take the cell over
        again. Continuing without the failed task would not be safe.
        """
        try:
            await work
        except Exception as exc:
            event("owner_failed", "ERROR", cell=self.cell, reason=repr(exc))
            self.end_ownership("failed")

    async def _take_over(self) -> None:
        """Claims the cell and loads its state.

        May be called again after a StoreError other than FencedError and
        SequenceError. A claim that was confirmed is not repeated.

        Raises:
            StoreError: If the store does not complete the takeover.
        """
        start_ms = self._clock.now_ms()
        if self.state_machine.state == "claiming":
            latest_epoch = await self._predecessor.read()
            await self._term.claim(latest_epoch)
            self._on_claimed()
            self.state_machine.fire("claimed")
            self._end_if_fenced()
            if self.ended:
                return
            self._spawn(
                self._term.confirm_repeatedly(
                    self.end_ownership, self._plan_needed.set
                )
            )
            self._spawn(self._fence_predecessor())
        await self._writer.fence()
        # What earlier owners have stored was made before this.
        self._writer_fenced_ms = self._clock.now_ms()
        await self._load()
        await self._build_state()
        if self.ended:
            return
        self.state_machine.fire("loaded")
        event(
            "cell_taken_over",
            cell=self.cell,
            epoch=self.engine.epoch,
            jobs=len(self.engine.open_jobs),
            workers=len(self.engine.workers),
            took_ms=self._clock.now_ms() - start_ms,
        )

    async def _fence_predecessor(self) -> None:
        await self._predecessor.fence(self.engine.epoch)
        self._apply_predecessor_bounds()
        self._spawn(self._ask_untold())
        while not self._predecessor.is_certain and not self.ended:
            await self._predecessor.fence_again(self.engine.epoch)
            self._apply_predecessor_bounds()
        if not self.ended:
            self._predecessor.log_bounds(self.engine.epoch)

    async def _ask_untold(self) -> None:
        """Learns from earlier owners what the previous one was not told."""
        predecessor = self._predecessor
        while not self.ended:
            is_last = predecessor.is_certain
            await predecessor.ask_untold(self.engine.epoch)
            self._apply_predecessor_bounds()
            if is_last or predecessor.is_told:
                break
            await asyncio.sleep(FENCE_RETRY_MS / MS_PER_SECOND)

    async def _find_held(self) -> None:
        """Waits until it is known when earlier owners were confirmed last."""
        predecessor, term = self._predecessor, self._term
        while not self.ended:
            await predecessor.find_held(
                term.epoch, term.claimed_ms, self._read_holder
            )
            if predecessor.held_ms is not None:
                break
            await asyncio.sleep(STORE_RETRY_MS / MS_PER_SECOND)

    async def _read_holder(self) -> str:
        """Reads which member holds the partition of the cell."""
        members = await self._member.read_assignments()
        return (members or {}).get(self.cell, "")

    def _apply_predecessor_bounds(self) -> None:
        """Applies the bounds on runs and orders of earlier owners.

        Lowers `prior_lease_end_ms` of each worker to
        `Predecessor.latest_run_end_ms`, and `predecessor_until_ms` to
        `Predecessor.orders_end_ms`, as far as they are known. Does nothing
        before the state has been loaded.
        """
        if not self.state_loaded:
            return
        # It is the same for all workers, and asks for all earlier owners.
        orders_end_ms = self._predecessor.orders_end_ms
        for worker in self.engine.workers.values():
            self._apply_lease_bounds(worker, orders_end_ms)
        self.engine.predecessor_until_ms = min(
            self.engine.predecessor_until_ms, orders_end_ms
        )
        self.engine.on_unstarted_tasks(
            self._predecessor.unstarted_tasks, self._predecessor.task_histories
        )
        for task, doubt, until_ms in self._predecessor.start_doubts:
            self.engine.doubts.inherit(task, doubt, until_ms)
        for worker_id, task, sent_ms in self._predecessor.pending_starts:
            worker = self.engine.workers.get(worker_id)
            if worker is not None:
                worker.inherit_pending_start(task, sent_ms)
        self.engine.predecessor_asked = self._predecessor.fence_ended.is_set()
        self._plan_needed.set()

    def _apply_lease_bounds(self, worker: Worker, orders_end_ms: float) -> None:
        """Applies the bounds on runs and leases of one worker.

        What the previous owner reported holds for a recorded incarnation only.
        A worker that no earlier owner has known has no bounds.
        """
        predecessor = self._predecessor
        if worker.id in self._inherited_workers and not worker.has_restarted:
            worker.stale_lease_end_ms = min(
                worker.stale_lease_end_ms,
                predecessor.stale_lease_end_ms(worker.id),
            )
            end_ms = predecessor.latest_run_end_ms(
                worker.id,
                worker.stale_leases(self._clock.now_ms()),
                orders_end_ms,
            )
        elif worker.has_restarted or predecessor.may_have_ordered(worker.id):
            end_ms = max(
                predecessor.latest_stale_run_end_ms(orders_end_ms),
                worker.stale_lease_end_ms,
            )
        else:
            worker.stale_lease_end_ms = end_ms = 0.0
        worker.prior_lease_end_ms = min(worker.prior_lease_end_ms, end_ms)

    def _on_claimed(self) -> None:
        """Handles the reply to the claim, which gives the epoch."""
        epoch = self._term.epoch
        event("cell_claimed", cell=self.cell, epoch=epoch)
        self.engine = Engine(epoch, self._params)
        self._dispatcher = OrderDispatcher(
            self.engine,
            self._workers,
            self._advice,
            self._clock,
            self._params.lease_ms,
            self._may_order,
            self.end_ownership,
            self._plan_needed.set,
            self._append_done,
        )
        self._poller = WorkerPoller(
            self.engine,
            self._workers,
            self._clock,
            self._params.lease_ms,
            self._may_order,
            self.end_ownership,
            self._on_change,
            self._append_done,
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
        self._record_applier = RecordApplier(
            self.engine,
            self._parse_worker_entry,
            self._clock,
            self._wall_ms,
            self._on_records,
        )
        self._jobs_follower = KeyFollower(
            self._store,
            self._clock,
            JOBS_TOPIC,
            self.cell,
            self._record_applier.apply_jobs,
            reload_lock=self._persist_lock,
        )
        self._entries_follower = KeyFollower(
            self._store,
            self._clock,
            WORKERS_TOPIC,
            EXTERNAL_PARTITION,
            self._record_applier.apply_entries,
            self._record_applier.reset_entries,
            ENTRIES_READ_INTERVAL_MS,
        )
        await asyncio.gather(
            self._jobs_follower.load(), self._entries_follower.load()
        )

    async def _build_state(self) -> None:
        """Builds the engine's state from the loaded records.

        Any task may be running, and any worker that an earlier owner recorded
        may have runs, until fencing the previous owner or polling the worker
        shows otherwise.
        """
        self._predecessor.witnesses = self._record_applier.witnesses()
        self._predecessor.settled_epoch = self._record_applier.settled_epoch()
        unleased = self._record_applier.unleased()
        self._predecessor.unleased_epoch = unleased.epoch
        self._predecessor.unleased_ends_ms = {
            worker: self._writer_fenced_ms + left_ms / MIN_CLOCK_RATE
            for worker, left_ms in unleased.left_ms.items()
        }
        places_trusted = await self._has_stored_places()
        self.engine.places_trusted = places_trusted
        self._recorded_workers = await self._record_applier.apply_collected()
        for job in self.engine.open_jobs.values():
            job.mark_inherited()
            if not places_trusted:
                job.forget_places()
        self._inherit_workers()
        await self._inherit_answers()
        for job in self.engine.open_jobs.values():
            job.exclude_earlier_starts()
        self.engine.predecessor_until_ms = float("inf")
        self.engine.crashes.expect_runs(self._clock.now_ms())
        # What is stored and handed over of earlier owners' runs must be finite.
        await self._find_held()
        if self.ended:
            return
        self._unleased = UnleasedWorkers(
            self.engine, self._recorded_workers, self._clock
        )
        self.engine.may_lease = self._unleased.may_lease
        self.state_loaded = True
        self._apply_predecessor_bounds()
        self._track_workers()

    def _inherit_workers(self) -> None:
        """Applies what earlier owners have recorded of workers.

        An incarnation was recorded as BOUNDED after an earlier owner had its
        first reply, and before its appends were fenced.
        """
        longest_ms = lease_bound_ms(self._params.longest_lease_ms)
        inherited = set()
        for worker_id, state in self._recorded_workers.items():
            worker = self.engine.workers[worker_id]
            worker.prior_lease_end_ms = float("inf")
            if state.born != worker.born:
                worker.has_restarted = True
                continue
            inherited.add(worker_id)
            worker.accepts_stale_orders = (
                state.stale_leases is StaleLeases.POSSIBLE
            )
            if state.stale_leases is StaleLeases.BOUNDED:
                worker.stale_lease_end_ms = self._writer_fenced_ms + longest_ms
        self._inherited_workers = frozenset(inherited)
        self.engine.may_have_stale_orders = self._predecessor.may_have_ordered

    async def _inherit_answers(self) -> None:
        """Relies on the answered places that all later owners have kept to."""
        tasks = [
            task
            for job in self.engine.open_jobs.values()
            for task in job.tasks.values()
            if task.answered is not None
        ]
        if not tasks:
            return
        since = await self._predecessor.answers_kept_since(
            min(task.answered.epoch for task in tasks), self.engine.epoch
        )
        for task in tasks:
            if task.answered.epoch >= since:
                task.inherited_answer = task.answered

    async def _has_stored_places(self) -> bool:
        """Returns whether the places of long-running tasks are stored.

        An owner that has stored nothing has started such tasks at stored places
        only, unless it is of a release that stores none.
        """
        stored_epoch = self._record_applier.places_epoch()
        predecessor, epoch = self._predecessor, self.engine.epoch
        if await predecessor.all_store_places(stored_epoch, epoch):
            return True
        # The replies to a fence may have claims that the store has trimmed.
        await predecessor.fence_ended.wait()
        return await predecessor.all_store_places(stored_epoch, epoch)

    def _on_records(self) -> None:
        """Handles records that were applied to the engine."""
        if self.deciding:
            # Entries come all the time; workers are looked at once a round.
            self._track_due = True
            self._on_change()

    def _on_change(self) -> None:
        self._persist_needed.set()
        self._plan_needed.set()

    def _track_workers(self) -> None:
        """Starts polling new workers and requests that they be recorded.

        Workers of a service that no queue names are polled only if they are
        recorded: an entry of another writer may lead anywhere.
        """
        self._track_due = False
        self._tracked_services = self._services()
        for worker in self.engine.workers.values():
            is_used = (
                worker.entry.service in self._tracked_services
                or worker.id in self._recorded_workers
            )
            if is_used and worker.id not in self._poll_tasks:
                self._poll_tasks[worker.id] = self._spawn(
                    self._poll_worker(worker.id)
                )
        if self._unrecorded_workers() or not self._places_recorded:
            self._persist_needed.set()

    def _services(self) -> frozenset[str]:
        """Returns the services of all queues and jobs."""
        return self._view.services | self.engine.services

    async def _poll_worker(self, worker_id: str) -> None:
        await self._poller.poll_until_removed(worker_id)
        self._poll_tasks.pop(worker_id, None)

    def _unrecorded_workers(self) -> list[Worker]:
        """Returns workers of which what later owners must know is not stored.

        One that has never replied gets no orders, so later owners need not know
        of it. One whose present incarnation has no entry gets no new work, and
        its record keeps the entry that leads to the address at which it
        replied.
        """
        now_ms = self._clock.now_ms()
        return [
            worker
            for worker in self.engine.workers.values()
            if (
                worker.id in self._recorded_workers
                or (worker.token_confirmed and worker.entry_is_current)
            )
            and self._recorded_workers.get(worker.id)
            != worker.recorded_state(now_ms)
        ]

    def _may_send(self, worker_id: str, token: int) -> bool:
        """Returns whether a worker may be sent an order with a token now."""
        worker = self.engine and self.engine.workers.get(worker_id)
        return bool(worker) and worker.token == token and self._may_order()

    def _may_order(self) -> bool:
        """Returns whether orders may be issued.

        False if the ownership has ended, or if it has not been confirmed or
        extended lately.
        """
        if self.ended:
            return False
        allowed = self._permit.is_valid
        if allowed == self._orders_suspended:
            self._orders_suspended = not allowed
            event(
                "orders_held_back",
                held_back=not allowed,
                age_ms=self._permit.age_ms,
            )
        return allowed

    async def _persist_loop(self) -> None:
        while not self.ended and not self.should_stop:
            await self._persist_needed.wait()
            await asyncio.sleep(PERSIST_DELAY_MS / MS_PER_SECOND)
            self._persist_needed.clear()
            try:
                await self._persist()
            except (FencedError, SequenceError) as exc:
                self.end_ownership(f"fenced: {exc}")
            except StoreRefusedError as exc:
                event("store_refused", cell=self.cell, reason=exc)
                self._persist_needed.set()
                await asyncio.sleep(STORE_RETRY_MS / MS_PER_SECOND)

    async def _persist(self) -> None:
        """Stores all changes, after any append in progress.

        The end of a run counts as stored only together with its job, so one
        batch, which may take several calls, must not overtake another.
        """
        async with self._persist_lock:
            await self._persist_changes()

    async def _persist_changes(self) -> None:
        """Appends changed jobs and unrecorded workers.

        If a call fails, what earlier ones have stored counts: a batch of many
        calls would hardly ever be stored as a whole while some are refused.

        Raises:
            StoreError: If a call failed.
        """
        jobs, batch = self.engine.pop_dirty()
        groups, too_large = self._job_records(jobs)
        recorded: dict[str, RecordedState] = {}
        now_ms = self._clock.now_ms()
        for worker in self._unrecorded_workers():
            key = WORKER_KEY_PREFIX + worker.id
            value = msgspec.msgpack.encode(worker.record(now_ms))
            record = KeyedRecord(key, value)
            if self._fit_store([record]):
                groups.append([record])
                recorded[worker.id] = worker.recorded_state(now_ms)
                # The stored times may be those of the incarnation before.
                self._unleased_due |= not self._unleased.may_lease(worker.id)
        # Records of jobs that are not stored are those of the previous owner.
        is_complete = not (
            too_large or self.engine.unstored_jobs.difference(batch.jobs)
        )
        if not self._places_recorded and (
            is_complete or self.engine.places_trusted
        ):
            # Last, as jobs whose places are not known must be stored before.
            epoch = self.engine.epoch.to_bytes(EPOCH_BYTES)
            groups.append([KeyedRecord(PLACES_KEY, epoch)])
        # First, as a call with many jobs may fail again and again.
        groups[:0] = [[record] for record in self._ownership_records()]
        restored = self._records_to_restore()
        groups += [[record] for record in restored]
        stored: set[str] = set()
        failure: StoreError | None = None
        try:
            await self._append(groups, stored)
        except StoreError as exc:
            if not stored:
                self.engine.on_store_rejected(batch)
                raise
            failure = exc
        finally:
            self._note_restored(restored, stored)
        self._places_recorded |= PLACES_KEY in stored
        self._settled_recorded |= SETTLED_KEY in stored
        if UNLEASED_KEY in stored:
            self._unleased_due = False
            self._unleased.on_stored()
        if f"{WITNESSES_PREFIX}{self.engine.epoch}" in stored:
            self._permit.on_stored()
        self._recorded_workers.update(
            (worker_id, state)
            for worker_id, state in recorded.items()
            if WORKER_KEY_PREFIX + worker_id in stored
        )
        left_out = [
            j for j in jobs if PROGRESS_PREFIX + j.spec.id not in stored
        ]
        self.engine.on_stored(batch, {job.spec.id for job in left_out})
        self.engine.set_recorded_workers(self._recorded_workers)
        self._append_done.set()
        self._append_done.clear()
        self._plan_needed.set()
        if failure is not None:
            for job in left_out:
                job.dirty = True
            raise failure

    def _records_to_restore(self) -> list[KeyedRecord]:
        """Returns records that others have overwritten, or a purge deleted.

        These are jobs and cancellations. The caller must pass them to
        `_note_restored`.
        """
        applier = self._record_applier
        jobs = map(self.engine.jobs.get, sorted(applier.overwritten_jobs))
        # A job that is overwritten again meanwhile must be restored again.
        applier.overwritten_jobs.clear()
        records = [
            KeyedRecord(ACCEPTED_PREFIX + job.spec.id, encode_spec(job.spec))
            for job in jobs
            if job is not None
        ]
        undone = applier.early_cancellations.undone
        return records + [KeyedRecord(k, r.value) for k, r in undone.items()]

    def _note_restored(
        self, records: list[KeyedRecord], stored: set[str]
    ) -> None:
        """Notes which records are still to be restored.

        Args:
            records: The records.
            stored: Keys of those that are stored.
        """
        applier = self._record_applier
        for record in records:
            job_id = record.key.removeprefix(ACCEPTED_PREFIX)
            if record.key in stored:
                applier.early_cancellations.undone.pop(record.key, None)
            elif job_id != record.key:
                applier.overwritten_jobs.add(job_id)

    def _ownership_records(self) -> list[KeyedRecord]:
        """Returns records of what the next owner must know of this one."""
        epoch = self.engine.epoch
        records = []
        if self._unleased_due or self._unleased.is_due():
            self._unleased_due = True
            records.append(self._unleased.make_record())
        others = self._member.other_addresses()
        if others is not None and self._permit.needs_record(others):
            records.append(self._permit.make_record(epoch, others))
        if self._is_settled():
            value = epoch.to_bytes(EPOCH_BYTES)
            records.append(KeyedRecord(SETTLED_KEY, value))
        records += [
            KeyedRecord(pair.key, encode_queue_service(pair))
            for pair in self._record_applier.unrecorded_services
        ]
        return records

    def _ownership_records_due(self) -> bool:
        """Returns whether `_ownership_records` would return any."""
        self._unleased_due |= self._unleased.is_due()
        others = self._member.other_addresses()
        return (
            self._unleased_due
            or bool(self._record_applier.unrecorded_services)
            or (others is not None and self._permit.needs_record(others))
            or self._is_settled()
        )

    def _is_settled(self) -> bool:
        """Returns whether it is to be stored that no earlier owner orders."""
        now_ms = self._clock.now_ms()
        settled = now_ms >= self.engine.predecessor_until_ms
        return settled and not self._settled_recorded

    def _job_records(
        self, jobs: list[Job]
    ) -> tuple[list[list[KeyedRecord]], list[Job]]:
        """Returns the changed records of each job, and jobs that don't fit."""
        wall_ms = self._wall_ms()
        groups: list[list[KeyedRecord]] = []
        too_large: list[Job] = []
        for job in jobs:
            empty = KeyedRecord(PROGRESS_PREFIX + job.spec.id, None)
            max_bytes = self._store.limits.largest_bytes - size_bytes(empty)
            changes = progress_changes(job, wall_ms, max_bytes)
            group = [KeyedRecord(*change) for change in changes.items()]
            if self._fit_store(group):
                groups.append(group)
            else:
                too_large.append(job)
        return groups, too_large

    def _fit_store(self, records: list[KeyedRecord]) -> bool:
        """Returns whether the store takes records of these sizes.

        Records that it refuses would be refused with all others of an append,
        again and again. Logs each key that has become too large.
        """
        limit = self._store.limits.largest_bytes
        sizes = {record.key: size_bytes(record) for record in records}
        too_large = {key: n for key, n in sizes.items() if n > limit}
        for key, size in too_large.items():
            if key not in self._too_large:
                event(
                    "record_too_large",
                    "ERROR",
                    key=key,
                    size_bytes=size,
                    limit_bytes=limit,
                )
        self._too_large.difference_update(sizes)
        self._too_large.update(too_large)
        return not too_large

    async def _append(
        self, groups: list[list[KeyedRecord]], stored: set[str]
    ) -> None:
        """Appends records in as many calls as the limit of the store takes.

        Args:
            groups: See `split_append`.
            stored: Gets the keys of the records of each call that succeeded.

        Raises:
            StoreError: If a call failed; the earlier ones have been applied.
        """
        for records in split_append(groups, self._store.limits.call_bytes):
            await self._writer.append(records)
            for record in records:
                stored.add(record.key)
                if record.key.startswith(CHUNK_PREFIX):
                    self._note_chunk(record)

    def _note_chunk(self, record: KeyedRecord) -> None:
        """Notes a chunk of the progress of a job that was stored or deleted."""
        job = self.engine.jobs.get(chunk_job(record.key))
        if job is None:
            return
        if record.value is None:
            job.stored_chunks.pop(record.key, None)
        else:
            job.stored_chunks[record.key] = record.value

    async def _plan_loop(self) -> None:
        wait_ms: float = PLAN_MAX_INTERVAL_MS
        while not self.ended and not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await self._plan_needed.wait()
            self._plan_needed.clear()
            wait_ms = PLAN_MAX_INTERVAL_MS
            now_ms = self._clock.now_ms()
            self.engine.zones_out = self._view.zones_out
            if self._track_due or self._services() != self._tracked_services:
                self._track_workers()
            took_ms = 0.0
            if self._may_order():
                self.engine.confirmed_ms = self._permit.confirmed_ms
                effects = self.engine.plan(
                    now_ms,
                    self._wall_ms(),
                    self._dispatcher.free_starts,
                    self._dispatcher.free_unrecorded_starts,
                )
                took_ms = self._clock.now_ms() - now_ms
                self._report_plan(took_ms, len(effects))
                self._execute(effects)
                passed_ms, next_ms = self.engine.awaited_ends_ms(now_ms)
                self._term.confirm_after(passed_ms)
                wait_ms = min(
                    wait_ms,
                    next_ms - now_ms + LEASE_END_MARGIN_MS,
                    self.engine.answers_due_ms - now_ms,
                )
            if self._ownership_records_due() or any(
                job.dirty for job in self.engine.open_jobs.values()
            ):
                self._persist_needed.set()
            pause_ms = max(PLAN_MIN_INTERVAL_MS, PLAN_PAUSE_RATIO * took_ms)
            await asyncio.sleep(pause_ms / MS_PER_SECOND)

    def _report_plan(self, took_ms: float, effects: int) -> None:
        notify_listeners("plan_done", took_ms=took_ms)
        if took_ms >= SLOW_PLAN_MS:
            event("plan_slow", cell=self.cell, took_ms=took_ms, effects=effects)

    async def _purge_loop(self) -> None:
        while not self.ended and not self.should_stop:
            # A batch in progress may hold a record that would be deleted.
            async with self._persist_lock:
                await self._purge(self._clock.now_ms())
            await self._drop_deleted()
            await asyncio.sleep(PURGE_INTERVAL_MS / MS_PER_SECOND)

    async def _drop_deleted(self) -> None:
        """Drops the jobs whose records are deleted.

        A job may be submitted again right before the deletion, so this waits
        until all that was stored by then has been read.
        """
        deleted = self._record_applier.deleted_jobs
        if not deleted:
            return
        try:
            await self.read_jobs()
        except StoreError as exc:
            event("forget_failed", reason=exc)
            return
        for job_id in deleted:
            self.engine.drop_job(job_id)
        deleted.clear()

    async def _purge(self, now_ms: float) -> None:
        """Deletes stray records and those of expired jobs and removed workers.

        A job expires some time after its final state has been stored, and a
        cancellation of a job that is not known after the same time.
        """
        expired_jobs = [
            job.spec
            for job in self.engine.jobs.values()
            if job.is_final
            and job.stored_state == job.state
            and now_ms - job.ended_ms > self._retention_ms
            and job.spec.id not in self._record_applier.deleted_jobs
        ]
        self._removed_workers.update(self.engine.remove_gone_workers(now_ms))
        self._on_change()
        # One that is listed again meanwhile is recorded anew.
        self._removed_workers.difference_update(self.engine.workers)
        removed = sorted(self._removed_workers)
        groups = [
            [KeyedRecord(WORKER_KEY_PREFIX + worker, None)]
            for worker in removed
        ]
        for spec in expired_jobs:
            keys = [
                *self.engine.jobs[spec.id].stored_chunks,
                PROGRESS_PREFIX + spec.id,
                *cancellation_keys(spec.id, spec.queue.name),
                ACCEPTED_PREFIX + spec.id,
            ]
            groups.append([KeyedRecord(key, None) for key in keys])
        applier = self._record_applier
        applier.stray_keys |= applier.early_cancellations.pop_expired(
            now_ms, self._retention_ms
        )
        strays = self._stray_chunks()
        strays += sorted(applier.stray_keys)
        if self._settled_recorded:
            epochs = self._predecessor.witnesses
            strays += [f"{WITNESSES_PREFIX}{epoch}" for epoch in epochs]
        groups += [[KeyedRecord(key, None)] for key in strays]
        if not groups:
            return
        # One that is listed again before the reply must be recorded anew.
        for worker in removed:
            self._recorded_workers.pop(worker, None)
        stored: set[str] = set()
        applier.deleted_jobs.update(spec.id for spec in expired_jobs)
        try:
            await self._append(groups, stored)
        except StoreError as exc:
            event("forget_failed", reason=exc)
        applier.deleted_jobs.difference_update(
            spec.id
            for spec in expired_jobs
            if ACCEPTED_PREFIX + spec.id not in stored
        )
        self._removed_workers.difference_update(
            worker for worker in removed if WORKER_KEY_PREFIX + worker in stored
        )
        for key in stored.intersection(strays):
            applier.stray_chunks.pop(key, None)
            applier.stray_keys.discard(key)
            if key.startswith(WITNESSES_PREFIX):
                epoch = int(key.removeprefix(WITNESSES_PREFIX))
                self._predecessor.witnesses.pop(epoch, None)

    def _stray_chunks(self) -> list[str]:
        """Returns the keys of chunks whose job is not known.

        A job that was submitted again under its id gets those of the earlier
        one, which its next progress replaces or deletes.
        """
        strays = self._record_applier.stray_chunks
        for key in list(strays):
            job = self.engine.jobs.get(chunk_job(key))
            if job is not None:
                job.stored_chunks.setdefault(key, strays.pop(key))
        return sorted(strays)

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._spawn(self._dispatcher.accept(effect))

    def fence(self, epoch: int) -> None:
        """Ends the ownership if its epoch is below `epoch`.

        If its epoch is not known yet, this is done once it is.
        """
        self._fencing_epoch = max(self._fencing_epoch, epoch)
        self._end_if_fenced()

    def _end_if_fenced(self) -> None:
        if self.engine is not None and self.engine.epoch < self._fencing_epoch:
            self.end_ownership(f"epoch {self._fencing_epoch} has taken over")

    def end_ownership(self, reason: str) -> None:
        """Ends the ownership at once; no order is issued after this."""
        if self.ended:
            return
        self.state_machine.fire("lost")
        if self._term.epoch:
            event(
                "cell_lost",
                cell=self.cell,
                reason=reason,
                confirmed_age_ms=self.confirmed_age_ms,
            )
        else:
            event("claim_given_up", cell=self.cell, reason=reason)
        for task in self._poll_tasks.values():
            task.cancel()

    async def release(self, reason: str) -> None:
        """Stores pending changes, if time allows, and ends the ownership."""
        if self.deciding:
            self.engine.store_answers()
            try:
                async with asyncio.timeout(RELEASE_TIMEOUT_MS / MS_PER_SECOND):
                    await self._persist()
            except (StoreError, TimeoutError) as exc:
                event("release_unstored", cell=self.cell, reason=repr(exc))
        self.end_ownership(reason)
