"""A simulated site: nodes, workers, store, operators and clients."""

import asyncio
import inspect
import random
from collections.abc import Coroutine, Sequence

import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard._error_kinds import ErrorKind
from limpetyard.engine import WorkerEntry
from limpetyard.errors import RequestError
from limpetyard.jobs import JobSpec, Resources
from limpetyard.node import (
    FenceResult,
    JobService,
    JobStatus,
    Node,
    NodeSettings,
    PeerUnavailableError,
    PlatformAdapters,
    Queue,
    SiteConfig,
    SiteView,
)
from limpetyard.node._store_layout import (
    CLAIM_KEY,
    OWNERS_TOPIC,
    member_address,
)
from limpetyard.store import StoredRecord
from standins.platform._gangs import Gangs
from standins.platform._history import (
    History,
    JobAccepted,
    JobCancelled,
    StateReturned,
    ZoneChanged,
)
from standins.platform._link import Link, LinkRefusedError, LinkTimeoutError
from standins.platform._long_running import LongRunningTaskWatch
from standins.platform._processor import Processor
from standins.platform._random_jobs import QUEUE, SERVICE
from standins.platform._store import LinkedStoreClient, StoreModel
from standins.platform._virtual_time import VirtualClock
from standins.platform._worker import (
    LONGEST_LEASE_MS,
    LinkedWorkerClient,
    WorkerModel,
)

HEARTBEAT_INTERVAL_MS = 1500

# The store removes the entry of a worker after this many missing reports.
MAX_MISSING_REPORTS = 3
PEER_TIMEOUT_MS = 400
POLL_INTERVAL_MS = 500
DEADLINE_MS = 3000.0

# A crashed worker is back after this time.
RETURN_MS = 3000

# Longest wait for the claim of the next owner.
CLAIM_TIMEOUT_S = 3.0

# Time between two looks at the claims and the members of the group.
CLAIM_CHECK_S = 0.001

# Kinds of errors that rule out that the job was accepted.
NOT_ACCEPTED_KINDS = ("not_ready", "store_refused")


class _Host:
    """A VM and the node that runs on it, None while it is down."""

    def __init__(
        self,
        name: str,
        number: int,
        rng: random.Random,
        processor_cores: float = 0.0,
    ):
        self.name = name
        self.number = number
        self.processor_cores = processor_cores
        self.address = f"10.1.0.{number}:2"
        self.clock = VirtualClock()
        self.store_link = Link(rng)
        self.worker_links: dict[str, Link] = {}
        self.peer_link = Link(rng)
        self.node: Node | None = None
        self.job_service: JobService | None = None
        self.incarnations = 0
        self.processor: Processor | None = None

    @property
    def links(self) -> list[Link]:
        return [self.store_link, self.peer_link, *self.worker_links.values()]

    def add_processor(self) -> None:
        """Makes the calls and the planning of the node cost time."""
        self.processor = Processor(self.clock)
        for link in self.links:
            link.processor = self.processor

    async def run(self, work: Coroutine) -> object:
        """Runs a coroutine on the processor of the node, if it has one."""
        if self.processor is None:
            return await work
        return await self.processor.run(work)

    async def serve(self, work: Coroutine) -> object:
        """Serves a call on the processor of the node, if it has one."""
        if self.processor is None:
            return await work
        return await self.processor.serve(work)


class _SimulatedPeers:
    """Client of the other nodes over the link of one node."""

    def __init__(self, site: "SimulatedSite", host: _Host):
        self._site = site
        self._host = host

    async def _call(self, member: str, operation):
        peer = self._site.host_of(member)
        if peer is None or peer.node is None:
            raise PeerUnavailableError(member)
        return await self._call_host(peer, operation)

    async def _call_at(self, address: str, operation):
        """Calls the process at an address, whichever it is."""
        for peer in self._site.hosts:
            if peer.address == address and peer.node is not None:
                return await self._call_host(peer, operation)
        raise PeerUnavailableError(address)

    async def _call_host(self, peer: _Host, operation):
        node = peer.node

        async def handle():
            await peer.peer_link.thawed.wait()
            if peer.peer_link.refusing:
                raise LinkRefusedError
            if peer.peer_link.cut or peer.node is not node:
                raise LinkTimeoutError
            return await peer.serve(execute())

        async def execute():
            reply = operation(node)
            return await reply if inspect.isawaitable(reply) else reply

        try:
            return await self._host.peer_link.call(handle, PEER_TIMEOUT_MS)
        except (LinkRefusedError, LinkTimeoutError):
            raise PeerUnavailableError(peer.name) from None

    async def job_status(self, member: str, job_id: str) -> JobStatus:
        return await self._call(member, lambda node: node.job_status(job_id))

    async def queue_pending(self, member: str, queue: str) -> int:
        return await self._call(member, lambda node: node.queue_pending(queue))

    async def answers(self, member: str) -> bool:
        try:
            await self._call(member, lambda node: None)
        except PeerUnavailableError:
            return False
        return True

    async def fence_owner(
        self, member: str, cell: int, epoch: int
    ) -> FenceResult:
        try:
            leases = await self._call_at(
                member_address(member), lambda node: node.fence(cell, epoch)
            )
        except PeerUnavailableError:
            return FenceResult(False)
        return FenceResult(True, leases)

    async def fence_witness(
        self, address: str, cell: int, epoch: int
    ) -> float | None:
        try:
            leases = await self._call_at(
                address, lambda node: node.fence(cell, epoch)
            )
        except PeerUnavailableError:
            return None
        return leases.extended_left_ms

    async def extend(self, address: str, cell: int, epoch: int) -> bool:
        try:
            return await self._call_at(
                address, lambda node: node.extend(cell, epoch)
            )
        except PeerUnavailableError:
            return False

    async def extend_joined(self, address: str, cell: int, epoch: int) -> bool:
        try:
            return await self._call_at(
                address, lambda node: node.extend(cell, epoch, True)
            )
        except PeerUnavailableError:
            return False

    async def succeed(self, member: str, cell: int, epoch: int) -> bool:
        try:
            return await self._call(
                member, lambda node: node.succeed(cell, epoch)
            )
        except PeerUnavailableError:
            return False

    async def ownership_age_ms(self, member: str, cell: int) -> float | None:
        try:
            status = await self._call(
                member, lambda node: node.ownership_status(cell)
            )
        except PeerUnavailableError:
            return None
        return status.age_ms if status.member == member else None


class SimulatedSite:
    """A site that runs in the event loop of the test.

    Attributes:
        clock: Clock of the workers, the store and the history.
        history: History of workers and clients.
        gangs: Gangs of all workers.
        hosts: VMs of the nodes.
        workers: Workers by id.
        store: The store.
        rng: Source of all random choices.
    """

    def __init__(
        self,
        nodes: int,
        workers: int,
        seed: int = 0,
        processor_cores: Sequence[float] = (),
        processors: bool = False,
        longest_lease_ms: int = LONGEST_LEASE_MS,
    ):
        """Initializes a site.

        Args:
            nodes: Number of nodes.
            workers: Number of workers.
            seed: Seed of all random choices.
            processor_cores: Processor capacity of each node; unknown for all
                if empty.
            processors: Whether calls cost the nodes time; see `Processor`.
            longest_lease_ms: Longest lease that workers accept.
        """
        self._seed = seed
        self._longest_lease_ms = longest_lease_ms
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.history = History()
        self.gangs = Gangs()
        self.store = StoreModel(self.clock)
        self.hosts = [
            _Host(f"node-{number}", number, self.rng, cores)
            for number, cores in enumerate(processor_cores or [0.0] * nodes)
        ]
        self.workers: dict[str, WorkerModel] = {}
        self._tasks: list[asyncio.Task] = []
        self._crashes = 0
        self._frozen_ms: dict[_Host, float] = {}
        self._version = 0
        for number in range(workers):
            self.add_worker(number)
        if processors:
            for host in self.hosts:
                host.add_processor()

    def add_worker(self, number: int) -> WorkerModel:
        """Adds a worker with 8 cores and 32 GB of memory."""
        entry = WorkerEntry(
            f"w-{number}",
            SERVICE,
            f"10.0.0.{number}:80",
            f"zone-{number % 3}",
            f"rack-{number % 4}",
            ("plain", f"rack-{number % 4}"),
            Resources(8000, 32_000, 0),
            1,
        )
        return self._add_worker(entry)

    def replace_worker(self, model: WorkerModel) -> WorkerModel:
        """Replaces a crashed worker by one with a new id at its address."""
        model.has_left = False
        model.is_replaced = True
        entry = model.entry
        successor = msgspec.structs.replace(
            entry, id=f"{entry.id}+", born=entry.born + 1, draining=False
        )
        return self._add_worker(successor)

    def resize_worker(self, model: WorkerModel, cores: int) -> None:
        """Changes the number of cores of a worker and publishes its entry."""
        capacity = msgspec.structs.replace(
            model.entry.capacity, cores_milli=cores * 1000
        )
        model.resize(capacity)
        entry = msgspec.msgpack.encode(model.entry)
        self.store.write("workers", model.entry.id, entry)

    def crash_worker(self, model: WorkerModel) -> None:
        """Crashes a worker, which is back after `RETURN_MS`.

        In turns, it is back under the same id, and as a new worker at the same
        address.
        """
        if not model.up:
            return
        model.refuse_connections()
        self._crashes += 1
        return_worker = (
            model.restart
            if self._crashes % 2
            else lambda: self.replace_worker(model)
        )
        asyncio.get_running_loop().call_later(
            RETURN_MS / MS_PER_SECOND, return_worker
        )

    def _add_worker(self, entry: WorkerEntry) -> WorkerModel:
        model = WorkerModel(
            entry,
            self.clock,
            self.history,
            self.history.submitted.get,
            self.rng,
            self.gangs,
            self._longest_lease_ms,
            # Of its own, so that a restart changes no other random choice.
            random.Random(f"{self._seed} {entry.id}"),
        )
        model.on_deadly_run = self.crash_worker
        self.workers[entry.id] = model
        self.history.labels[entry.id] = entry.labels
        self.history.zones[entry.id] = entry.availability_zone
        for host in self.hosts:
            link = host.worker_links[entry.id] = Link(self.rng)
            link.processor = host.processor
        return model

    async def start(self) -> None:
        """Publishes a configuration and starts all nodes."""
        self.publish()
        watch = LongRunningTaskWatch(self)
        for work in (self._heartbeats(), watch.run()):
            self._tasks.append(asyncio.ensure_future(work))
        for host in self.hosts:
            await self.start_node(host)

    async def stop(self) -> None:
        """Stops all nodes and the heartbeats of the workers."""
        for host in self.hosts:
            await self.kill_node(host)
        for task in self._tasks:
            task.cancel()

    def publish(self) -> None:
        """Writes a new version of the configuration to the store."""
        self._version += 1
        queue = Queue("host", "/queue/", QUEUE)
        config = SiteConfig(self._version, (queue,), 1 << 18)
        self.store.write("operators", "config", msgspec.msgpack.encode(config))

    def set_zone(self, zone: str, out: bool) -> None:
        """Takes a zone out of service or returns it to service."""
        self.store.write(
            "operators", f"evacuate/{zone}", b"{}" if out else None
        )
        self.history.add(ZoneChanged(self.clock.now_ms(), zone, out))

    async def start_node(self, host: _Host) -> None:
        """Starts a new incarnation of a node, without any earlier state."""
        host.incarnations += 1
        view = SiteView()
        cfg = NodeSettings(
            host.name,
            "zone-0",
            "127.0.0.1:1",
            "127.0.0.1:2",
            host.address,
            "127.0.0.1:3",
            longest_lease_ms=self._longest_lease_ms,
            processor_cores=host.processor_cores,
        )

        def serve_callers(job_service: JobService):
            host.job_service = job_service
            return None, lambda: None

        async def listen(name: str, address: str, handler) -> None:
            """Does nothing: the simulation needs no sockets."""

        adapters = PlatformAdapters(
            LinkedStoreClient(self.store, host.store_link),
            LinkedWorkerClient(self.workers, host.worker_links, name=host.name),
            None,
            _read_entry,
            lambda records: _apply_operator_records(view, records),
            lambda keys: _reset_evacuations(view, keys),
            serve_callers,
            _SimulatedPeers(self, host),
            listen,
        )
        host.node = Node(cfg, adapters, view, host.clock, host.clock.wall_ms)
        await host.run(host.node.start())

    async def kill_node(self, host: _Host) -> None:
        """Stops a node abruptly.

        Its links are cut meanwhile, so that nothing that it sends while it
        stops arrives.
        """
        node, host.node, host.job_service = host.node, None, None
        if node is None:
            return
        for link in host.links:
            link.cut = True
        if host.processor is not None:
            host.processor.reset()
        await _kill(node)
        if host.processor is not None:
            host.processor.reset()
        for link in host.links:
            link.cut = False

    def freeze(self, host: _Host) -> None:
        """Holds back all messages that a VM sends or receives."""
        self._frozen_ms.setdefault(host, self.clock.now_ms())
        for link in host.links:
            link.thawed.clear()

    def thaw(self, host: _Host) -> None:
        """Resumes a frozen VM."""
        now_ms = self.clock.now_ms()
        pause = (self._frozen_ms.pop(host, now_ms), now_ms)
        self.history.node_pause_windows[host.name].append(pause)
        for link in host.links:
            link.thawed.set()

    def host_of(self, member: str) -> _Host | None:
        """Returns the VM of a group member, or None if it is down."""
        for host in self.hosts:
            node = host.node
            if node is not None and node.member.name == member:
                return host
        return None

    def unplaced_long_running(self) -> list[str]:
        """Returns a LOST violation for each task that should run but doesn't.

        These are the tasks of accepted long-running jobs for which some worker
        has room.
        """
        running = {t for w in self.workers.values() for t in w.running()}
        accepted = [
            entry.spec
            for entry in self.history.of(JobAccepted)
            if entry.spec.id not in self.history.cancel_requests
            and entry.spec.steps[0].long_running
        ]
        return [
            f"LOST {spec.id} task {index} does not run"
            for spec in accepted
            for index in range(spec.steps[0].count)
            if (spec.id, 0, 0, index) not in running
            and any(w.has_room(spec, 0) for w in self.workers.values())
        ]

    def owner(self) -> _Host | None:
        """Returns the VM whose node owns the cell now, if any."""
        for host in self.hosts:
            if host.node is not None and host.node.owns_cell():
                return host
        return None

    def latest_claim(self) -> StoredRecord | None:
        """Returns the latest claim of the cell; its value names the member."""
        return self.store.partition(OWNERS_TOPIC, 0).latest.get(CLAIM_KEY)

    def pass_cell_on(self, heir: _Host | None = None) -> asyncio.Task[bool]:
        """Makes another node claim the cell; the owner is not told.

        The membership of the owner expires, and again with each join of it,
        until there is another claim. Its process works on, and may reach all.

        Args:
            heir: VM of the node that the group assigns the cell to; by default
                the next one.

        Returns:
            A task whose result tells whether there was a claim in time. The
            membership has expired when this returns.
        """
        member = heir.node.member.name if heir and heir.node else ""
        before = self.latest_claim()
        self.expire_claimant(member)
        return asyncio.ensure_future(self._wait_for_claim(before, member))

    def expire_claimant(self, heir: str = "") -> None:
        """Lets the membership of the node with the latest claim expire now.

        Args:
            heir: Member that gets the cell; by default the next one.
        """
        claim = self.latest_claim()
        if claim is not None:
            self.expire_member(claim.value.decode(), heir)

    def expire_member(self, name: str, heir: str = "") -> None:
        """Lets a membership expire now, which is not told.

        The group keeps members whose joins it gets, so the last reply to a join
        becomes as old as the TTL.

        Args:
            name: Name of the member.
            heir: Member that gets the cell; by default the next one.
        """
        host = self.host_of(name)
        member = None if host is None else host.node.member
        if member is not None and member.confirmed_ms is not None:
            expired_ms = host.clock.now_ms() - member._ttl_ms
            member.confirmed_ms = min(member.confirmed_ms, expired_ms)
        self.store.expire_member(name, heir)

    async def _wait_for_claim(
        self, before: StoredRecord | None, heir: str
    ) -> bool:
        end_s = asyncio.get_running_loop().time() + CLAIM_TIMEOUT_S
        while self.latest_claim() == before:
            if asyncio.get_running_loop().time() >= end_s:
                return False
            self.expire_claimant(heir)
            await asyncio.sleep(CLAIM_CHECK_S)
        return True

    async def submit(self, spec: JobSpec, host: _Host | None = None) -> bool:
        """Submits a job as a client does.

        Args:
            spec: The job.
            host: The VM to submit to; by default a random one per attempt.

        Returns:
            Whether one of 8 attempts was accepted.
        """
        self.history.submitted[spec.id] = spec
        only_refused = True
        for _ in range(8):
            entry_host = host or self.rng.choice(self.hosts)
            job_service = entry_host.job_service
            if job_service is None:
                await asyncio.sleep(0.2)
                continue
            try:
                await entry_host.serve(job_service.submit(spec, DEADLINE_MS))
            except RequestError as exc:
                only_refused &= exc.kind.value in NOT_ACCEPTED_KINDS
                await asyncio.sleep(0.3)
                continue
            except asyncio.CancelledError:
                only_refused = False
                raise
            self.history.add(JobAccepted(self.clock.now_ms(), spec))
            return True
        if only_refused:
            self.history.refused.add(spec.id)
        return False

    def _queue_of(self, job_id: str) -> str:
        """Returns the queue to which clients submitted a job, if any."""
        spec = self.history.submitted.get(job_id)
        return (spec.queue if spec is not None else QUEUE).name

    async def cancel(self, job_id: str) -> bool:
        """Cancels a job as a client does; returns whether it was confirmed."""
        self.history.cancel_requests.add(job_id)
        for _ in range(8):
            host = self.rng.choice(self.hosts)
            job_service = host.job_service
            if job_service is not None:
                try:
                    await host.serve(
                        job_service.cancel(
                            job_id, self._queue_of(job_id), DEADLINE_MS
                        )
                    )
                except RequestError as exc:
                    if exc.kind is not ErrorKind.JOB_GONE:
                        await asyncio.sleep(0.3)
                        continue
                self.history.add(JobCancelled(self.clock.now_ms(), job_id))
                return True
            await asyncio.sleep(0.2)
        return False

    async def query_state(self, job_id: str) -> str | None:
        """Queries the state of a job as a client does.

        Returns:
            The state, "" if the job is unknown, or None without a response.
        """
        host = self.rng.choice(self.hosts)
        job_service = host.job_service
        if job_service is None:
            return None
        try:
            state = await host.serve(
                job_service.state(job_id, self._queue_of(job_id), DEADLINE_MS)
            )
        except RequestError as exc:
            if exc.kind.value != "job_gone":
                return None
            state = ""
        self.history.add(StateReturned(self.clock.now_ms(), job_id, state))
        return state

    async def wait_for(
        self, job_id: str, states: tuple[str, ...], timeout_ms: float
    ) -> str | None:
        """Polls until a job reaches one of `states`; returns the last state."""
        end_ms = self.clock.now_ms() + timeout_ms
        state = None
        while self.clock.now_ms() < end_ms:
            state = await self.query_state(job_id)
            if state in states:
                break
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_SECOND)
        return state

    def isolate_worker(self, model: WorkerModel, isolated: bool) -> None:
        """Cuts a worker off from all nodes and the store, or reconnects it.

        Connections to it are refused meanwhile.
        """
        model.reaches_store = not isolated
        for host in self.hosts:
            host.worker_links[model.entry.id].refusing = isolated

    async def _heartbeats(self) -> None:
        missing: dict[str, int] = {}
        while True:
            for worker in list(self.workers.values()):
                key = worker.entry.id
                if worker.up and worker.reaches_store:
                    missing[key] = 0
                    entry = msgspec.msgpack.encode(worker.entry)
                    self.store.write("workers", key, entry)
                    continue
                missing[key] = missing.get(key, 0) + 1
                expired = missing[key] >= MAX_MISSING_REPORTS or not worker.up
                if expired and key in self.store.partition("workers", 0).latest:
                    self.store.write("workers", key, None)
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)


async def _kill(node: Node) -> None:
    """Stops a node without a graceful leave."""
    await node.stop()


def _read_entry(record: StoredRecord) -> WorkerEntry:
    return msgspec.msgpack.decode(record.value, type=WorkerEntry)


def _apply_operator_records(
    view: SiteView, records: list[StoredRecord]
) -> None:
    for record in records:
        if record.key == "config" and record.value is not None:
            view.set_config(
                msgspec.msgpack.decode(record.value, type=SiteConfig)
            )
        zone = record.key.removeprefix("evacuate/")
        if zone != record.key:
            out = {zone} if record.value is not None else set()
            view.zones_out = frozenset(view.zones_out - {zone} | out)


def _reset_evacuations(view: SiteView, keys: set[str]) -> None:
    view.zones_out = frozenset(
        key.removeprefix("evacuate/")
        for key in keys
        if key.startswith("evacuate/")
    )
