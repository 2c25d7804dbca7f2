"""Everything that one VM runs."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from mode import Service

from limpetyard._addresses import parse_host_port
from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event
from limpetyard.engine import (
    AdviceService,
    EngineParams,
    StepWorkerClient,
    WorkerEntry,
)
from limpetyard.node._gauges import cell_beliefs, site_beliefs
from limpetyard.node._handover import LeaseRecord, RemainingLeases
from limpetyard.node._job_service import BatchAppender, JobService
from limpetyard.node._member import GroupMember
from limpetyard.node._metrics import Belief, NodeMetrics
from limpetyard.node._owner import CellOwner
from limpetyard.node._peers import (
    JobNotFoundError,
    PeerClient,
    PeerServer,
    PeerUnavailableError,
)
from limpetyard.node._settings import NodeSettings
from limpetyard.node._site import SiteView
from limpetyard.node._store_layout import (
    OPERATORS_TOPIC,
    OTHERS_PART,
    member_name,
)
from limpetyard.store import KeyFollower, Store, StoredRecord

# Cells that jobs and workers are spread over.
CELLS = 1

# Longest lease asked for: outlives the replacement of an owner, and is the
# time that a task waits whose worker is lost.
LEASE_MS = 5000

# An owner that has not heard from the group for this long gives no orders.
SELF_FENCE_MS = 5000

# A node is not ready for callers while the store has not answered for this
# long: a join is due three times a second.
READY_MS = 1500

# A node that leaves tells the balancer, which takes two misses, one second
# each, to notice.
LEAVE_MS = 2500

# A node that leaves is out so long before it would be killed.
EXIT_MS = 500

Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]


async def listen(name: str, address: str, handler: Handler) -> None:
    """Opens a listening socket.

    Args:
        name: Name of the setting that gives the address.
        address: IP:port.
        handler: Answers requests.
    """
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.TCPSite(
        runner, *parse_host_port(name, address), reuse_address=True
    )
    await site.start()


class PlatformAdapters(msgspec.Struct, frozen=True):
    """The platform as a node sees it.

    Attributes:
        store: The store.
        workers: Orders to workers.
        advice: The advice service, or None.
        read_entry: Reads a worker's entry.
        operators: Takes operators' records in.
        operators_reset: Told which of them exist.
        callers: Makes the handler of callers' requests, and what asks callers
            to connect elsewhere.
        peers: Calls to other nodes.
        listen: Opens a listening socket: name, IP:port, handler.
    """

    store: Store
    workers: StepWorkerClient
    advice: AdviceService | None
    read_entry: Callable[[StoredRecord], WorkerEntry | None]
    operators: Callable[[list[StoredRecord]], None]
    operators_reset: Callable[[set[str]], None]
    callers: Callable[[JobService], tuple[Handler, Callable[[], None]]]
    peers: PeerClient
    listen: Callable[[str, str, Handler], Awaitable[None]]


class Node(Service):
    """All services of one VM.

    Attributes:
        view: The newest configuration.
        member: Membership in the group that deals cells out.
        metrics: Counts events and tells what is believed.
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
        self._nonce = uuid.uuid4().hex[:12]
        self._owners: dict[int, CellOwner] = {}
        self._last_leases: dict[int, LeaseRecord] = {}
        self._leaving = False
        self._in_flight = 0
        self._terms = EngineParams(
            min(LEASE_MS, cfg.longest_lease_ms),
            SELF_FENCE_MS,
            cfg.remote_factor,
            cfg.gang_timeout_ms,
        )
        name = member_name(cfg.node, cfg.peers, self._nonce)
        self.member = GroupMember(
            name, adapters.store, clock, cfg.group_ttl_ms, self._on_dealt
        )
        self._inbox = BatchAppender(
            adapters.store, clock, 0, f"inbox-{self._nonce}"
        )
        self._job_service = JobService(
            self._inbox, lambda: self.member, adapters.peers, self, clock
        )
        self.metrics = NodeMetrics(self._beliefs)
        self._operators = KeyFollower(
            adapters.store,
            clock,
            OPERATORS_TOPIC,
            OTHERS_PART,
            adapters.operators,
            adapters.operators_reset,
        )

    async def on_start(self) -> None:
        """Opens the sockets and joins the group."""
        cfg = self._cfg
        self._callers, self._drain_callers = self._adapters.callers(
            self._job_service
        )
        listen = self._adapters.listen
        await listen("callers", cfg.callers, self._serve_caller)
        await listen("readiness", cfg.readiness, self._serve_readiness)
        await listen("peers", cfg.peers, PeerServer(self).handle)
        if cfg.metrics:
            await listen("metrics", cfg.metrics, self.metrics.handle)
        self.add_future(self._operators.follow())
        self.add_future(self._inbox.run())
        await self.add_runtime_dependency(self.member)
        event("node_started", node=cfg.node, zone=cfg.availability_zone)

    async def leave(self) -> None:
        """Leaves without cutting off a request that ends in time."""
        self._leaving = True
        until_ms = self._clock.now_ms() + self._cfg.leave_ms - EXIT_MS
        event("node_leaving", cells=len(self._owners))
        self._drain_callers()
        await self.member.stop()
        for owner in list(self._owners.values()):
            await owner.release("leaving")
            self._keep_leases(owner)
        await self.member.leave()
        await asyncio.sleep(LEAVE_MS / MS_PER_SECOND)
        while self._in_flight and self._clock.now_ms() < until_ms:
            await asyncio.sleep(0.02)
        event("node_left", cut=self._in_flight)

    async def _serve_caller(self, req: web.BaseRequest) -> web.Response:
        self._in_flight += 1
        try:
            return await self._callers(req)
        finally:
            self._in_flight -= 1

    async def _serve_readiness(self, req: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    @property
    def ready(self) -> bool:
        """Whether callers are served well here."""
        confirmed_ms = self.member.confirmed_ms
        return (
            not self._leaving
            and self.view.config is not None
            and confirmed_ms is not None
            and self._clock.now_ms() - confirmed_ms < READY_MS
        )

    async def _on_dealt(self, cells: frozenset[int]) -> None:
        """Begins and ends ownerships after a join."""
        for cell, owner in list(self._owners.items()):
            if cell not in cells and not owner.ended:
                await owner.release("dealt to another node")
            if owner.ended or owner.crashed:
                self._keep_leases(owner)
                del self._owners[cell]
                await owner.stop()
        if self._leaving:
            return
        for cell in cells:
            if cell < CELLS and cell not in self._owners:
                self._owners[cell] = self._new_owner(cell)
                await self.add_runtime_dependency(self._owners[cell])

    def _new_owner(self, cell: int) -> CellOwner:
        adapters = self._adapters
        return CellOwner(
            cell,
            self.member,
            adapters.store,
            adapters.workers,
            adapters.advice,
            adapters.peers,
            self.view,
            adapters.read_entry,
            self._clock,
            self._wall_ms,
            self._terms,
            self._cfg.state_kept_ms,
        )

    def _beliefs(self) -> list[Belief]:
        """Returns what this node believes, for the metrics."""
        now_ms = self._clock.now_ms()
        config = self.view.config
        found = site_beliefs(
            config.version if config else 0,
            len(self.view.zones_out),
            now_ms - (self._operators.confirmed_ms or now_ms),
            now_ms - (self.member.confirmed_ms or now_ms),
        )
        owner = self._owners.get(0)
        if owner is not None and owner.deciding:
            found += cell_beliefs(owner.engine, now_ms)
        return found

    def owns(self) -> bool:
        """Whether this node decides for the cell."""
        owner = self._owners.get(0)
        return owner is not None and owner.deciding

    def _owner(self) -> CellOwner:
        owner = self._owners.get(0)
        if owner is None or not owner.deciding:
            raise PeerUnavailableError("this node does not own the cell")
        return owner

    def job_state(self, job_id: str) -> str:
        """See `LocalCells.job_state`."""
        owner = self._owner()
        job = owner.engine.jobs.get(job_id)
        if job is None:
            if not owner.fresh:
                raise PeerUnavailableError(
                    "the end of the jobs has not been read"
                )
            raise JobNotFoundError(job_id)
        return job.stored_state if job.over else job.state

    def queue_pending(self, queue: str) -> int:
        """See `LocalCells.queue_pending`."""
        jobs = self._owner().engine.open_jobs.values()
        return sum(
            job.state == "queued"
            and not job.spec.timed
            and job.spec.queue.name == queue
            for job in jobs
        )

    def fence(self, cell: int, epoch: int) -> RemainingLeases | None:
        """See `LocalCells.fence`."""
        owner = self._owners.get(cell)
        engine = owner.engine if owner is not None else None
        if engine is not None and engine.epoch < epoch:
            owner.lose(f"epoch {epoch} has taken over")
            self._keep_leases(owner)
        record = self._last_leases.get(cell)
        return record.left(self._clock.now_ms()) if record else None

    def _keep_leases(self, owner: CellOwner) -> None:
        """Keeps what the next owner will ask for."""
        if owner.begun:
            self._last_leases[owner.cell] = LeaseRecord(owner.engine)
