"""Node of one VM: sockets, group membership and ownerships of cells."""

import asyncio
import contextlib
import math
import uuid
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from mode import Service

from limpetyard._addresses import parse_host_port
from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import (
    AdviceClient,
    EngineParams,
    StepWorkerClient,
    WorkerEntry,
)
from limpetyard.node._candidacy import Candidacy
from limpetyard.node._claims import Claim, ClaimsFollower
from limpetyard.node._gauges import cell_gauges, loop_gauge, site_gauges
from limpetyard.node._handover import LeaseExpiries, RemainingLeases
from limpetyard.node._job_service import BatchAppender, JobService
from limpetyard.node._loop_monitor import LoopMonitor
from limpetyard.node._member import GroupMember
from limpetyard.node._metrics import Gauge, NodeMetrics
from limpetyard.node._owner import CellOwner
from limpetyard.node._peers import (
    CancellationsFullError,
    JobNotFoundError,
    JobStatus,
    OwnershipStatus,
    PeerClient,
    PeerServer,
    PeerUnavailableError,
)
from limpetyard.node._settings import NodeSettings
from limpetyard.node._site import SiteView
from limpetyard.node._store_layout import (
    ANSWERS_MARK,
    EXTERNAL_PARTITION,
    OPERATORS_TOPIC,
    member_name,
)
from limpetyard.node._succession import hand_over
from limpetyard.node._witness import Witness
from limpetyard.store import KeyFollower, Store, StoredRecord, StoreError

# Number of cells that jobs and workers are divided into. There is currently one
# cell, number 0.
CELL_COUNT = 1

# Maximum duration of leases. It is longer than the replacement of an owner
# takes. The tasks of an unresponsive worker wait for this time before they
# start elsewhere.
LEASE_MS = 5000

# An owner issues no orders if the group has not confirmed its membership for
# the first of these, unless its witnesses extend that up to the second one.
# Together with a lease, the first bounds the wait for what ran on a worker that
# is lost with its owner, and the second the outage of the store that running
# work outlasts.
UNWITNESSED_MS = 2000
SELF_FENCE_MS = 6000

# A node is not ready for callers if no join has succeeded for this long, or on
# standby no read of the assignments. It joins three times a second.
READY_MAX_AGE_MS = 1500

# Time for which a leaving node fails its readiness checks before it exits. The
# load balancer removes a node after two failed checks, one second apart.
DRAIN_NOTICE_MS = 2500

# Number of claims that a node keeps for later owners: those of nodes that join
# together, and lose the cell to each other, with room to spare.
MAX_SAVED_CLAIMS = 64

# A leaving node gives its cells up this long before it exits. Storing, naming a
# successor and leaving the group take less.
HAND_OVER_MS = 1200

# A leaving node that owned a cell answers its successor before it exits, which
# may take this long to ask, and then has this long to send the reply.
SUCCESSOR_ASKS_MS = 400
REPLY_SENT_MS = 50

# Interval at which a leaving node checks whether it still owns a cell.
KEEP_CHECK_MS = 50

# A leaving node exits this long before it would be killed.
EXIT_MARGIN_MS = 500

Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]


async def listen(name: str, address: str, handler: Handler) -> None:
    """Starts an HTTP server.

    Args:
        name: Name of the setting that holds the address, for error messages.
        address: IP:port.
        handler: Handler of all requests.
    """
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.TCPSite(
        runner, *parse_host_port(name, address), reuse_address=True
    )
    await site.start()


class PlatformAdapters(msgspec.Struct, frozen=True):
    """Adapters through which a node reaches its platform.

    Attributes:
        store: Store of partitioned logs.
        workers: Client of the workers.
        advice: Client of the advice service, or None.
        parse_worker_entry: Decodes the directory entry of a worker.
        apply_operator_records: Applies records of the operators.
        reset_operator_keys: Called with the keys of all existing records of
            the operators after a complete load.
        make_request_handler: Returns the handler of callers' requests and a
            function that makes callers reconnect to another node.
        peers: Client of other nodes.
        listen: Starts an HTTP server; see `limpetyard.node.listen`.
    """

    store: Store
    workers: StepWorkerClient
    advice: AdviceClient | None
    parse_worker_entry: Callable[[StoredRecord], WorkerEntry | None]
    apply_operator_records: Callable[[list[StoredRecord]], None]
    reset_operator_keys: Callable[[set[str]], None]
    make_request_handler: Callable[
        [JobService], tuple[Handler, Callable[[], None]]
    ]
    peers: PeerClient
    listen: Callable[[str, str, Handler], Awaitable[None]]


class Node(Service):
    """All services of a node.

    Attributes:
        view: Latest known configuration of the site.
        member: Membership in the group that assigns cells.
        metrics: Metrics of this node.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        adapters: PlatformAdapters,
        view: SiteView,
        clock: Clock,
        wall_ms: Callable[[], float],
    ):
        super().__init__()
        self.view = view
        self._cfg = cfg
        self._adapters = adapters
        self._clock = clock
        self._wall_ms = wall_ms
        self._nonce = ANSWERS_MARK + uuid.uuid4().hex[:12]
        self._owners: dict[int, CellOwner] = {}
        self._former_leases: dict[int, LeaseExpiries] = {}
        # Member names in claims by epoch, by cell.
        self._former_claims: dict[int, dict[int, str]] = {}
        self._leaving = False
        self._successor_told = asyncio.Event()
        self._in_flight = 0
        self._params = EngineParams(
            min(LEASE_MS, cfg.longest_lease_ms),
            SELF_FENCE_MS,
            cfg.remote_factor,
            cfg.gang_timeout_ms,
            cfg.strain_limit_ms,
            cfg.reserved_share,
            cfg.pacer,
            UNWITNESSED_MS,
            cfg.longest_lease_ms,
        )
        name = member_name(
            cfg.node, cfg.peers, self._nonce, cfg.processor_cores
        )
        self.member = GroupMember(
            name,
            adapters.store,
            clock,
            cfg.group_ttl_ms,
            self._on_assignment,
            adapters.peers.answers,
            self._owns_cell,
        )
        self._witness = Witness(
            cfg.peers, clock, lambda: self.member.confirmed_ms
        )
        self._claims = {
            cell: ClaimsFollower(cell, adapters.store, clock, self._on_claim)
            for cell in range(CELL_COUNT)
        }
        self._candidacies = {
            cell: Candidacy(cell, self.member, claims, adapters.peers, clock)
            for cell, claims in self._claims.items()
        }
        # Cells for which a check whether this node may claim them is running.
        self._considered: set[int] = set()
        self._appender = BatchAppender(
            adapters.store, clock, 0, f"inbox-{self._nonce}"
        )
        self._job_service = JobService(
            self._appender, adapters.peers, self, clock
        )
        self._loop_monitor = LoopMonitor(clock)
        self.metrics = NodeMetrics(self._gauges)
        self._operators = KeyFollower(
            adapters.store,
            clock,
            OPERATORS_TOPIC,
            EXTERNAL_PARTITION,
            adapters.apply_operator_records,
            adapters.reset_operator_keys,
        )

    async def on_start(self) -> None:
        """Opens the sockets and joins the group."""
        cfg = self._cfg
        self._handle_request, self._drain_callers = (
            self._adapters.make_request_handler(self._job_service)
        )
        listen = self._adapters.listen
        await listen("callers", cfg.callers, self._serve_caller)
        await listen("readiness", cfg.readiness, self._serve_readiness)
        await listen("peers", cfg.peers, PeerServer(self).handle)
        if cfg.metrics:
            await listen("metrics", cfg.metrics, self.metrics.handle)
        self.add_future(self._operators.follow())
        self.add_future(self._appender.run())
        for claims in self._claims.values():
            self.add_future(claims.follow())
        await self.add_runtime_dependency(self._loop_monitor)
        await self.add_runtime_dependency(self.member)
        event("node_started", node=cfg.node, zone=cfg.availability_zone)

    async def leave(self) -> None:
        """Drains requests in flight, hands over all cells and leaves.

        Cuts off requests that are still in flight shortly before the node
        would be killed.
        """
        self._leaving = True
        until_ms = self._clock.now_ms() + self._cfg.leave_ms - EXIT_MARGIN_MS
        event("node_leaving", cells=len(self._owners))
        self._drain_callers()
        notice_end_ms = self._clock.now_ms() + DRAIN_NOTICE_MS
        await self._keep_cells(min(notice_end_ms, until_ms - HAND_OVER_MS))
        await self.member.stop()
        owned = any(not owner.ended for owner in self._owners.values())
        self._successor_told.clear()
        for cell in list(self._owners):
            await self._release(cell, "leaving")
        await self.member.leave()
        if owned:
            await self._tell_successor(until_ms)
        left_ms = notice_end_ms - self._clock.now_ms()
        await asyncio.sleep(max(0.0, left_ms) / MS_PER_SECOND)
        while self._in_flight and self._clock.now_ms() < until_ms:
            await asyncio.sleep(0.02)
        event("node_left", cut=self._in_flight)

    async def _tell_successor(self, until_ms: float) -> None:
        """Waits until the next owner has asked what this one knows.

        Otherwise it waits for leases that no longer last, and acknowledges ends
        that this owner held back.

        Args:
            until_ms: Latest time.
        """
        left_ms = min(SUCCESSOR_ASKS_MS, until_ms - self._clock.now_ms())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, left_ms) / MS_PER_SECOND):
                await self._successor_told.wait()
                await asyncio.sleep(REPLY_SENT_MS / MS_PER_SECOND)
        event("successor_told", told=self._successor_told.is_set())

    async def _keep_cells(self, until_ms: float) -> None:
        """Keeps the cells of a leaving node until a time, if it owns any.

        In a roll, nodes that have left before it are back by then. They are
        the ones that can keep a cell.
        """
        while self._clock.now_ms() < until_ms and any(
            not owner.ended for owner in self._owners.values()
        ):
            await asyncio.sleep(KEEP_CHECK_MS / MS_PER_SECOND)

    async def _serve_caller(self, req: web.BaseRequest) -> web.Response:
        self._in_flight += 1
        try:
            return await self._handle_request(req)
        finally:
            self._in_flight -= 1

    async def _serve_readiness(self, req: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    @property
    def ready(self) -> bool:
        """Whether this node can serve callers.

        True if it is not leaving, has a configuration, and has recently joined
        the group or, on standby, read its assignments.
        """
        confirmed_ms = self.member.confirmed_ms
        return (
            not self._leaving
            and self.view.config is not None
            and confirmed_ms is not None
            and self._clock.now_ms() - confirmed_ms < READY_MAX_AGE_MS
        )

    async def _on_assignment(self, cells: frozenset[int]) -> None:
        """Claims cells that this node may own; releases all to stand by.

        The cells that the group assigns matter for `Candidacy` alone.
        """
        if self.member.standing_by:
            for cell in list(self._owners):
                await self._release(cell, "standing by")
            return
        for cell in self._claims:
            await self._remove_ended(cell)
            self._consider(cell)

    def _on_claim(self, cell: int, claim: Claim) -> None:
        """Handles another latest claim of a cell, or the first read of it."""
        self._witness.record_claim(cell, claim.epoch)
        owner = self._owners.get(cell)
        if owner is not None:
            owner.fence(claim.epoch)
        self._consider(cell)

    def _owns_cell(self) -> bool:
        """Returns whether a claim of this node is in force."""
        return any(
            owner.epoch and not owner.ended for owner in self._owners.values()
        )

    @property
    def _may_own(self) -> bool:
        return not (self._leaving or self.member.standing_by)

    def _consider(self, cell: int) -> None:
        """Claims a cell in the background if this node may."""
        is_free = cell not in self._owners and cell not in self._considered
        if self._may_own and is_free and self._candidacies[cell].is_due:
            self._considered.add(cell)
            self.add_future(self._claim_if_free(cell))

    async def _claim_if_free(self, cell: int) -> None:
        try:
            after_epoch = await self._candidacies[cell].may_claim_after()
        finally:
            self._considered.discard(cell)
        if after_epoch is not None:
            await self._own(cell, after_epoch)

    async def _own(self, cell: int, after_epoch: int) -> None:
        """Starts an ownership, unless there is one or this node leaves.

        Args:
            cell: Number of the cell.
            after_epoch: Epoch of the claim that the new one is to follow.
        """
        await self._remove_ended(cell)
        if self._may_own and cell not in self._owners:
            owner = self._new_owner(cell, after_epoch)
            self._owners[cell] = owner
            await self.add_runtime_dependency(owner)

    async def _remove_ended(self, cell: int) -> None:
        """Removes an ownership that has ended."""
        owner = self._owners.get(cell)
        if owner is not None and (owner.ended or owner.crashed):
            self._save_claims(owner)
            self._save_leases(owner)
            del self._owners[cell]
            await owner.stop()

    async def _release(self, cell: int, reason: str) -> None:
        """Ends an ownership, if there is one, and has another node succeed."""
        owner = self._owners[cell]
        if owner.ended:
            return
        await owner.release(reason)
        self._save_claims(owner)
        self._save_leases(owner)
        if owner.epoch:
            await hand_over(
                cell,
                owner.epoch,
                self.member,
                self._claims[cell],
                self._adapters.peers,
                self._clock,
            )

    def _new_owner(self, cell: int, after_epoch: int) -> CellOwner:
        adapters = self._adapters
        return CellOwner(
            cell,
            after_epoch,
            self.member,
            self._claims[cell],
            adapters.store,
            adapters.workers,
            adapters.advice,
            adapters.peers,
            self.view,
            adapters.parse_worker_entry,
            self._clock,
            self._wall_ms,
            self._params,
            self._cfg.state_kept_ms,
            self._witness,
            self._cfg.group_ttl_ms,
        )

    def _gauges(self) -> list[Gauge]:
        """Returns the current gauges of this node and its cell."""
        now_ms = self._clock.now_ms()
        config = self.view.config
        gauges = site_gauges(
            config.version if config else 0,
            len(self.view.zones_out),
            now_ms - (self._operators.confirmed_ms or now_ms),
            now_ms - (self.member.confirmed_ms or now_ms),
        )
        gauges.append(loop_gauge(self._loop_monitor.pop_max_lag_ms()))
        owner = self._owners.get(0)
        if owner is not None and owner.deciding:
            gauges += cell_gauges(owner.engine, now_ms)
        return gauges

    def owns_cell(self) -> bool:
        """Returns whether this node owns the cell and has loaded it."""
        owner = self._owners.get(0)
        return owner is not None and owner.deciding

    def _deciding_owner(self) -> CellOwner:
        """Returns the owner of the cell.

        Raises:
            PeerUnavailableError: If this node does not own the loaded cell.
        """
        owner = self._owners.get(0)
        if owner is None or not owner.deciding:
            raise PeerUnavailableError("this node does not own the cell")
        return owner

    async def job_status(self, job_id: str) -> JobStatus:
        """See `LocalCells.job_status`."""
        owner = self._deciding_owner()
        if job_id not in owner.engine.jobs:
            # It may have been accepted since the last read.
            try:
                await owner.read_jobs()
            except StoreError as exc:
                raise PeerUnavailableError(f"jobs not read: {exc}") from exc
            owner = self._deciding_owner()
        job = owner.engine.jobs.get(job_id)
        if job is None:
            full_ms = owner.cancellations_full_ms(job_id)
            if full_ms > 0:
                raise CancellationsFullError(math.ceil(full_ms / MS_PER_SECOND))
            raise JobNotFoundError(job_id)
        return JobStatus(job.shown_state, job.spec.queue.name)

    def queue_pending(self, queue: str) -> int:
        """See `LocalCells.queue_pending`."""
        jobs = self._deciding_owner().engine.open_jobs.values()
        return sum(
            job.state == "queued"
            and not job.spec.timed
            and job.spec.queue.name == queue
            for job in jobs
        )

    async def find_owner(self, cell: int, refresh: bool = False) -> str:
        """See `LocalCells.find_owner`."""
        claims = self._claims[cell]
        if refresh:
            await claims.refresh()
        if claims.latest is not None and claims.latest.member:
            return claims.latest.member
        return await self.member.assigned_member(cell, refresh)

    def is_self(self, member: str) -> bool:
        """See `LocalCells.is_self`."""
        return member == self.member.name

    def extend(self, cell: int, epoch: int, joined: bool = False) -> bool:
        """See `LocalCells.extend`."""
        return self._witness.extend(cell, epoch, joined)

    def succeed(self, cell: int, epoch: int) -> bool:
        """See `LocalCells.succeed`."""
        if not (self.ready and self._may_own and cell in self._claims):
            return False
        self.add_future(self._own(cell, epoch))
        return True

    def ownership_status(self, cell: int) -> OwnershipStatus:
        """See `LocalCells.ownership_status`."""
        owner = self._owners.get(cell)
        is_alive = owner is not None and not owner.ended
        is_kept = is_alive and self.member.is_in_group
        age_ms = owner.confirmed_age_ms if is_kept else None
        return OwnershipStatus(self.member.name, age_ms)

    def fence(self, cell: int, epoch: int) -> RemainingLeases:
        """See `LocalCells.fence`."""
        owner = self._owners.get(cell)
        if owner is not None:
            owner.fence(epoch)
            self._save_claims(owner)
            if owner.ended:
                self._save_leases(owner)
                self._successor_told.set()
        expiries = self._former_leases.get(cell)
        leases = (
            expiries.remaining(self._clock.now_ms())
            if expiries is not None
            else RemainingLeases(0, {})
        )
        return msgspec.structs.replace(
            leases,
            member=self.member.name,
            claims=self._former_claims.get(cell, {}),
            extended_left_ms=self._witness.withhold(cell, epoch),
        )

    def _save_claims(self, owner: CellOwner) -> None:
        """Saves the claims that an ownership knew, for later owners."""
        claims = self._former_claims.get(owner.cell, {}) | owner.earlier_claims
        latest = sorted(claims)[-MAX_SAVED_CLAIMS:]
        self._former_claims[owner.cell] = {n: claims[n] for n in latest}

    def _save_leases(self, owner: CellOwner) -> None:
        """Saves the lease expiries, which the next owner may request."""
        if owner.state_loaded:
            self._former_leases[owner.cell] = LeaseExpiries(
                owner.engine, owner.removed_workers
            )
