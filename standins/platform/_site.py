"""A whole site: nodes, workers, the store, operators and clients."""

import asyncio
import random

import msgspec

from limpetyard._clock import MS_PER_SECOND
from limpetyard.engine import WorkerEntry
from limpetyard.errors import RequestError
from limpetyard.jobs import JobSpec, QueueParams, Resources
from limpetyard.node import (
    FenceResult,
    JobService,
    Node,
    NodeSettings,
    PeerUnavailableError,
    PlatformAdapters,
    Queue,
    SiteConfig,
    SiteView,
)
from limpetyard.store import StoredRecord
from standins.platform._gangs import Gangs
from standins.platform._history import (
    Accepted,
    Cancelled,
    History,
    Shown,
    ZoneSet,
)
from standins.platform._link import Link, RefusedPathError, SilentPathError
from standins.platform._store import LinkedStoreClient, StoreModel
from standins.platform._virtual_time import VirtualClock
from standins.platform._worker import LinkedWorkerClient, WorkerModel

SERVICE = "pool"
QUEUE = QueueParams("queue", SERVICE, 0, 3, 2.0, 1000.0)
HEARTBEAT_MS = 1500
PEER_TIMEOUT_MS = 400
POLL_MS = 500
DEADLINE_MS = 3000.0
NOT_ACCEPTED = ("not_ready", "store_refused")


class _Host:
    """One VM and the node that runs there."""

    def __init__(self, name: str, number: int, rng: random.Random):
        self.name = name
        self.number = number
        self.clock = VirtualClock()
        self.store_link = Link(rng)
        self.worker_links: dict[str, Link] = {}
        self.peer_link = Link(rng)
        self.node: Node | None = None
        self.job_service: JobService | None = None
        self.lives = 0

    @property
    def links(self) -> list[Link]:
        return [self.store_link, self.peer_link, *self.worker_links.values()]


class _WorldPeers:
    """Calls from one node to the others."""

    def __init__(self, site: "SimulatedSite", host: _Host):
        self._site = site
        self._host = host

    async def _call(self, member: str, act):
        target = self._site.host_of(member)
        if target is None or target.node is None:
            raise PeerUnavailableError(member)
        node = target.node

        async def answer():
            await target.peer_link.thawed.wait()
            if target.peer_link.cut or target.node is not node:
                raise SilentPathError
            return act(node)

        try:
            return await self._host.peer_link.carry(answer, PEER_TIMEOUT_MS)
        except (SilentPathError, RefusedPathError):
            raise PeerUnavailableError(member) from None

    async def job_state(self, member: str, job_id: str) -> str:
        return await self._call(member, lambda node: node.job_state(job_id))

    async def queue_pending(self, member: str, queue: str) -> int:
        return await self._call(member, lambda node: node.queue_pending(queue))

    async def fence_owner(
        self, member: str, cell: int, epoch: int
    ) -> FenceResult:
        target = self._site.host_of(member)
        if target is None or target.node is None:
            return FenceResult(True)
        try:
            leases = await self._call(
                member, lambda node: node.fence(cell, epoch)
            )
        except PeerUnavailableError:
            return FenceResult(False)
        return FenceResult(True, leases)


class SimulatedSite:
    """A site that runs on the event loop of the test.

    Attributes:
        history: What workers and clients saw.
        gangs: Runs that work only together.
        hosts: VMs of the system.
        workers: Workers by id.
        store: The store.
        rng: Source of all luck.
    """

    def __init__(self, nodes: int, workers: int, seed: int = 0):
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.history = History()
        self.gangs = Gangs()
        self.store = StoreModel(self.clock)
        self.hosts = [
            _Host(f"node-{number}", number, self.rng) for number in range(nodes)
        ]
        self.workers: dict[str, WorkerModel] = {}
        self._tasks: list[asyncio.Task] = []
        self._version = 0
        for number in range(workers):
            self.add_worker(number)

    def add_worker(self, number: int) -> WorkerModel:
        """Adds a worker with eight cores."""
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
        model = WorkerModel(
            entry,
            self.clock,
            self.history,
            self.history.submitted.get,
            self.rng,
            self.gangs,
        )
        self.workers[entry.id] = model
        self.history.labels[entry.id] = entry.labels
        self.history.zones[entry.id] = entry.availability_zone
        for host in self.hosts:
            host.worker_links[entry.id] = Link(self.rng)
        return model

    async def start(self) -> None:
        """Publishes a configuration and starts all nodes."""
        self.publish()
        self._tasks.append(asyncio.ensure_future(self._heartbeats()))
        for host in self.hosts:
            await self.start_node(host)

    async def stop(self) -> None:
        """Ends everything."""
        for host in self.hosts:
            await self.kill_node(host)
        for task in self._tasks:
            task.cancel()

    def publish(self) -> None:
        """Publishes another version of the configuration."""
        self._version += 1
        queue = Queue("host", "/queue/", QUEUE)
        config = SiteConfig(self._version, (queue,), 1 << 18)
        self.store.write("operators", "config", msgspec.msgpack.encode(config))

    def set_zone(self, zone: str, out: bool) -> None:
        """Takes a zone out of service, or back."""
        self.store.write(
            "operators", f"evacuate/{zone}", b"{}" if out else None
        )
        self.history.add(ZoneSet(self.clock.now_ms(), zone, out))

    async def start_node(self, host: _Host) -> None:
        """Starts a node, with nothing of its earlier lives."""
        host.lives += 1
        view = SiteView()
        cfg = NodeSettings(
            host.name,
            "zone-0",
            "127.0.0.1:1",
            "127.0.0.1:2",
            f"10.1.0.{host.number}:{host.lives}",
            "127.0.0.1:3",
        )

        def callers(job_service: JobService):
            host.job_service = job_service
            return None, lambda: None

        async def listen(name: str, address: str, handler) -> None:
            """Opens no socket."""

        adapters = PlatformAdapters(
            LinkedStoreClient(self.store, host.store_link),
            LinkedWorkerClient(self.workers, host.worker_links),
            None,
            _read_entry,
            lambda records: _apply_operators(view, records),
            lambda keys: _reset_operators(view, keys),
            callers,
            _WorldPeers(self, host),
            listen,
        )
        host.node = Node(cfg, adapters, view, host.clock, host.clock.wall_ms)
        await host.node.start()

    async def kill_node(self, host: _Host) -> None:
        """Ends a node at once, with all that it was doing."""
        node, host.node, host.job_service = host.node, None, None
        if node is None:
            return
        for link in host.links:
            link.cut = True
        await _kill(node)
        for link in host.links:
            link.cut = False

    def freeze(self, host: _Host) -> None:
        """Holds everything up that a VM sends or receives."""
        for link in host.links:
            link.thawed.clear()

    def thaw(self, host: _Host) -> None:
        """Lets a frozen VM go on."""
        for link in host.links:
            link.thawed.set()

    def host_of(self, member: str) -> _Host | None:
        """Returns the VM that a member of the group runs on."""
        for host in self.hosts:
            node = host.node
            if node is not None and node.member.name == member:
                return host
        return None

    def unplaced_long_running(self) -> list[str]:
        """Returns lasting tasks that do not run although there is room."""
        running = {t for w in self.workers.values() for t in w.running()}
        accepted = [
            entry.spec
            for entry in self.history.of(Accepted)
            if entry.spec.id not in self.history.cancels_sent
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
        """Returns the VM that decides now, if there is one."""
        for host in self.hosts:
            if host.node is not None and host.node.owns_cell():
                return host
        return None

    async def submit(self, spec: JobSpec, host: _Host | None = None) -> bool:
        """Hands a job in as a client does; returns whether it is accepted."""
        self.history.submitted[spec.id] = spec
        only_refused = True
        for _ in range(8):
            target = host or self.rng.choice(self.hosts)
            job_service = target.job_service
            if job_service is None:
                await asyncio.sleep(0.2)
                continue
            try:
                await job_service.submit(spec, DEADLINE_MS)
            except RequestError as exc:
                only_refused &= exc.kind.value in NOT_ACCEPTED
                await asyncio.sleep(0.3)
                continue
            except asyncio.CancelledError:
                only_refused = False
                raise
            self.history.add(Accepted(self.clock.now_ms(), spec))
            return True
        if only_refused:
            self.history.refused.add(spec.id)
        return False

    async def cancel(self, job_id: str) -> bool:
        """Cancels a job as a client does; returns whether it was answered."""
        self.history.cancels_sent.add(job_id)
        for _ in range(8):
            job_service = self.rng.choice(self.hosts).job_service
            if job_service is not None:
                try:
                    await job_service.cancel(job_id, DEADLINE_MS)
                except RequestError:
                    await asyncio.sleep(0.3)
                    continue
                self.history.add(Cancelled(self.clock.now_ms(), job_id))
                return True
            await asyncio.sleep(0.2)
        return False

    async def query_state(self, job_id: str) -> str | None:
        """Asks for a job's state as a client does; None without an answer."""
        job_service = self.rng.choice(self.hosts).job_service
        if job_service is None:
            return None
        try:
            state = await job_service.state(job_id, DEADLINE_MS)
        except RequestError as exc:
            if exc.kind.value != "job_gone":
                return None
            state = ""
        self.history.add(Shown(self.clock.now_ms(), job_id, state))
        return state

    async def wait_for(
        self, job_id: str, states: tuple[str, ...], longest_ms: float
    ) -> str | None:
        """Polls until a job is in one of some states; returns the last one."""
        end_ms = self.clock.now_ms() + longest_ms
        state = None
        while self.clock.now_ms() < end_ms:
            state = await self.query_state(job_id)
            if state in states:
                break
            await asyncio.sleep(POLL_MS / MS_PER_SECOND)
        return state

    async def _heartbeats(self) -> None:
        while True:
            for worker in list(self.workers.values()):
                key = worker.entry.id
                if worker.up:
                    entry = msgspec.msgpack.encode(worker.entry)
                    self.store.write("workers", key, entry)
                elif key in self.store.partition("workers", 0).read_latest:
                    self.store.write("workers", key, None)
            await asyncio.sleep(HEARTBEAT_MS / MS_PER_SECOND)


async def _kill(node: Node) -> None:
    """Stops a node's tasks without letting them say goodbye."""
    await node.stop()


def _read_entry(history: StoredRecord) -> WorkerEntry:
    return msgspec.msgpack.decode(history.value, type=WorkerEntry)


def _apply_operators(view: SiteView, records: list[StoredRecord]) -> None:
    for history in records:
        if history.key == "config" and history.value is not None:
            view.set_config(
                msgspec.msgpack.decode(history.value, type=SiteConfig)
            )
        zone = history.key.removeprefix("evacuate/")
        if zone != history.key:
            out = {zone} if history.value is not None else set()
            view.zones_out = frozenset(view.zones_out - {zone} | out)


def _reset_operators(view: SiteView, keys: set[str]) -> None:
    view.zones_out = frozenset(
        key.removeprefix("evacuate/")
        for key in keys
        if key.startswith("evacuate/")
    )
