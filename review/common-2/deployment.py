"""A small deployment on loopback addresses, for one script.

Nodes are processes with the command of the deploy file. The store and the
workers are the models of `standins.platform`, served over HTTP in this process,
so that a script can disturb them.
"""

import asyncio
import collections
import contextlib
import logging
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from limpetyard._clock import MS_PER_SECOND, BootClock
from limpetyard.engine import (
    StaleTokenError,
    WorkerDisconnectedError,
    WorkerEntry,
)
from limpetyard.jobs import JobSpec, QueueParams, Resources, StepSpec
from standins.platform._gangs import Gangs
from standins.platform._history import (
    EndsAcknowledged,
    History,
    RunEnded,
    RunStarted,
)
from standins.platform._http import StoreServer, WorkerServer
from standins.platform._store import StoreModel
from standins.platform._worker import WorkerModel

ROOT = Path(__file__).resolve().parents[2]
ADDRESS = "127.0.0.1"
HOST = "queue.example"
PREFIX = "/queue/"
SERVICE = "pool"
QUEUE = QueueParams("queue", SERVICE, 0, 3, 2.0, 1000.0)
DEADLINE_MS = 3000
READY_S = 20.0

# Bounds of the site ukili-yard.
CONTACT_MS = 3000
VISIBLE_MS = 3000
CANCEL_MS = 3000
LONGEST_LEASE_MS = 6000
HEARTBEAT_MS = 1500
MISSED_HEARTBEATS = 3

# Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control"]
ip = "127.0.0.1"
zone = "zone-0"
region = "region-0"
bootstrap = true
discovery = "platform"
entryKind = "vip"
heartbeatMs = 1500
controlMode = "call"
[listenAddrs]
frontend = "{frontend}"
readiness = "{readiness}"
controlPlane = "{peers}"
[limits]
cpuQuota = 0.43
cpuCores = 1
memoryMb = 300
maxFds = 4100
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = 6000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remoteFactor = 1.5
harmMs = 4000
[platform]
address = "{store}"
form = "log"
parts = 24
minTtlMs = 1000
"""

Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]

_ports: set[int] = set()


def free_address() -> str:
    """Returns an address that is free now, and was not returned before."""
    while True:
        with socket.socket() as sock:
            sock.bind((ADDRESS, 0))
            port = sock.getsockname()[1]
        if port not in _ports:
            _ports.add(port)
            return f"{ADDRESS}:{port}"


class Server:
    """HTTP server that can be closed, or leave calls without an answer.

    Attributes:
        address: IP:port.
        silent: Whether calls get no answer and are not executed.
    """

    def __init__(self, handle: Handler):
        self.address = free_address()
        self.silent = False
        self._handle = handle
        self._runner: web.ServerRunner | None = None
        self._transports: set[asyncio.Transport] = set()

    async def start(self) -> None:
        """Listens; does nothing if the server does so already."""
        if self._runner is not None:
            return
        self._runner = web.ServerRunner(
            web.Server(self._answer, access_log=None), shutdown_timeout=0.05
        )
        await self._runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(
            self._runner, host, int(port), reuse_address=True
        ).start()

    async def stop(self) -> None:
        """Resets all connections, and refuses new ones."""
        runner, self._runner = self._runner, None
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        if runner is not None:
            await runner.cleanup()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        self._transports.add(req.transport)
        if not self.silent:
            resp = await self._handle(req)
        if self.silent:
            # The connection on which a response is lost returns nothing more.
            await asyncio.Event().wait()
        return resp


class Node:
    """Process of one node, and its own way to the store.

    Attributes:
        name: Name of the node.
        store: Server at which this node alone reaches the store.
        frontend: IP:port on which it serves clients.
        readiness: IP:port of its readiness check.
    """

    def __init__(self, name: str, folder: Path, store: Handler):
        self.name = name
        self.store = Server(store)
        self.frontend = free_address()
        self.readiness = free_address()
        self._folder = folder
        self._path = folder / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                frontend=self.frontend,
                readiness=self.readiness,
                peers=free_address(),
                store=self.store.address,
            )
        )
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "LIMPETYARD_SETTINGS": str(self._path),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def end(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def terminate(self) -> None:
        """Sends SIGTERM to the process."""
        self._process.send_signal(signal.SIGTERM)

    def log(self) -> str:
        """Returns what the process has written."""
        return (self._folder / f"{self.name}.log").read_text()


class Worker:
    """A worker over HTTP.

    Attributes:
        model: Its state.
        unhealthy: Whether it rejects all starts with status 503, and does
            nothing.
        rejected: Number of starts that it has rejected so, by job.
        late_job: Id of a job whose starts get no answer and are carried out
            later, or "".
        late: Bodies of these starts.
        reaches_store: Whether its directory entry is written.
        listener: Its server.
    """

    def __init__(self, model: WorkerModel):
        self.model = model
        self.unhealthy = False
        self.rejected: collections.Counter[str] = collections.Counter()
        self.late_job = ""
        self.late: list[dict] = []
        self.reaches_store = True
        self._server = WorkerServer(model)
        self.listener = Server(self._handle)
        model.entry = msgspec.structs.replace(
            model.entry, address=self.listener.address
        )

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        if req.path == "/run-start":
            body = msgspec.json.decode(await req.read())
            job = body["task"].partition(".")[0]
            if self.unhealthy:
                self.rejected[job] += 1
                return web.Response(status=503)
            if job == self.late_job:
                self.late.append(body)
                # The connection on which a response is lost returns nothing.
                await asyncio.Event().wait()
        try:
            return await self._server.handle(req)
        except WorkerDisconnectedError:
            req.transport.abort()
            raise

    async def carry_out_late(self) -> list[int]:
        """Carries out the late starts now; returns the statuses."""
        late, self.late = self.late, []
        statuses = []
        for body in late:
            try:
                resp = await self._server.run_start(body)
                statuses.append(resp.status)
            except StaleTokenError:
                statuses.append(409)
        return statuses

    async def crash(self, down_s: float) -> None:
        """Crashes; is back after some time under its id and address."""
        await self.listener.stop()
        self.model.refuse_connections()
        await asyncio.sleep(down_s)
        self.restart()
        await self.listener.start()

    def restart(self) -> None:
        """Starts the next incarnation; the one before has crashed."""
        if self.model.up:
            self.model.crash()
        self.model.restart()
        self.model.entry = msgspec.structs.replace(
            self.model.entry, born=int(time.time() * MS_PER_SECOND)
        )

    async def lose(self) -> None:
        """Crashes for good."""
        await self.listener.stop()
        self.model.refuse_connections()


class Deployment:
    """Nodes, workers and the store.

    Attributes:
        nodes: The nodes.
        workers: The workers.
        history: What the workers have done.
        store: State of the store.
    """

    def __init__(self, folder: Path, nodes: int, workers: int, record: Path):
        self.clock = BootClock()
        self.history = History()
        self.store = StoreModel(self.clock)
        self._start_ms = self.clock.now_ms()
        self._record = record.open("w")
        server = StoreServer(self.store)
        self.nodes = [
            Node(f"node-{n}", folder, server.handle) for n in range(nodes)
        ]
        self.workers = [self._new_worker(n) for n in range(workers)]
        self._http: aiohttp.ClientSession | None = None

    def _new_worker(self, number: int) -> Worker:
        entry = WorkerEntry(
            f"w-{number}",
            SERVICE,
            "",
            f"zone-{number % 3}",
            f"rack-{number % 3}",
            ("plain", f"rack-{number % 3}"),
            Resources(8000, 32_000, 0),
            int(time.time() * MS_PER_SECOND),
        )
        model = WorkerModel(
            entry,
            self.clock,
            self.history,
            self.history.submitted.get,
            _NeverFails(),
            Gangs(),
            LONGEST_LEASE_MS,
        )
        return Worker(model)

    def at_s(self, at_ms: float | None = None) -> float:
        """Returns a time as seconds since the start, by default now."""
        if at_ms is None:
            at_ms = self.clock.now_ms()
        return (at_ms - self._start_ms) / MS_PER_SECOND

    def note(self, text: str, at_ms: float | None = None) -> None:
        """Writes a line to the record."""
        line = f"{self.at_s(at_ms):8.3f} s  {text}"
        print(line, file=self._record, flush=True)
        print(line)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs everything while the context lasts."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._note_runs)
            servers = [worker.listener for worker in self.workers]
            servers += [node.store for node in self.nodes]
            for server in servers:
                await server.start()
                stack.push_async_callback(server.stop)
            self.store.write("operators", "config", _config())
            heartbeats = asyncio.ensure_future(self._heartbeats())
            stack.callback(heartbeats.cancel)
            self._http = await stack.enter_async_context(
                aiohttp.ClientSession()
            )
            for node in self.nodes:
                stack.callback(node.end)
                node.start()
            async with asyncio.timeout(READY_S):
                for node in self.nodes:
                    await self._wait_ready(node)
                while not self._owner_name():
                    await asyncio.sleep(0.1)
            # Until the owner has polled and recorded all workers.
            await asyncio.sleep(4.0)
            self.note(f"all nodes are ready; {self._owner_name()} is the owner")
            yield

    async def _wait_ready(self, node: Node) -> None:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                url = f"http://{node.readiness}/readiness"
                async with self._http.get(url) as resp:
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.1)

    def _owner_name(self) -> str:
        latest = self.store.partition("owners", 0).latest.get("owner")
        return latest.value.decode().partition("|")[0] if latest else ""

    def split_nodes(self) -> tuple[Node, list[Node]]:
        """Returns the node that owns the cell, and the others."""
        owner = self._owner_name()
        others = [node for node in self.nodes if node.name != owner]
        (node,) = (node for node in self.nodes if node.name == owner)
        return node, others

    async def _heartbeats(self) -> None:
        missed: collections.Counter[str] = collections.Counter()
        while True:
            for worker in self.workers:
                entry = worker.model.entry
                if worker.model.up and worker.reaches_store:
                    missed[entry.id] = 0
                    self.write_entry(worker)
                    continue
                missed[entry.id] += 1
                if missed[entry.id] == MISSED_HEARTBEATS:
                    self.store.write("workers", entry.id, None)
            await asyncio.sleep(HEARTBEAT_MS / MS_PER_SECOND)

    def write_entry(self, worker: Worker) -> None:
        """Writes the directory entry of a worker, as at its start."""
        entry = worker.model.entry
        self.store.write("workers", entry.id, _encode(entry))

    async def ask(
        self,
        node: Node,
        method: str,
        job: str,
        spec: JobSpec | None = None,
        leave_ms: int = DEADLINE_MS,
    ) -> tuple[int, dict]:
        """Sends a request of a client; the status is 0 without an answer.

        Args:
            node: Node that gets it.
            method: HTTP method.
            job: Id of the job, or "" for the queue.
            spec: Job to submit.
            leave_ms: Time after which the client leaves.
        """
        body = None
        if spec is not None:
            self.history.submitted[spec.id] = spec
            body = _job_body(spec)
        timeout = aiohttp.ClientTimeout(total=leave_ms / MS_PER_SECOND)
        headers = {"Host": HOST, "Deadline-Ms": str(DEADLINE_MS)}
        status, answer = 0, {}
        sent_s = self.at_s()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._http.request(
                method,
                f"http://{node.frontend}{PREFIX}{job}",
                data=body,
                headers=headers,
                timeout=timeout,
            ) as resp:
                text = await resp.read()
                status = resp.status
                answer = msgspec.json.decode(text or b"{}")
        self.note(
            f"client: {method} {PREFIX}{job} to {node.name}, sent at "
            f"{sent_s:.3f} s: {status} {answer}"
        )
        return status, answer

    def starts(self, job: str) -> list[RunStarted]:
        """Returns the starts of the tasks of a job."""
        starts = self.history.of(RunStarted)
        return [start for start in starts if start.task.job == job]

    def ends(self, job: str) -> list[RunEnded]:
        """Returns the ends of runs of a job, "crashed" among them."""
        ends = self.history.of(RunEnded)
        return [end for end in ends if end.task.job == job]

    def _note_runs(self) -> None:
        """Writes what the workers have run to the record."""
        for entry in self.history.entries:
            if isinstance(entry, RunStarted):
                what = "starts"
            elif isinstance(entry, RunEnded):
                what = f"ends {entry.end_kind}:"
            elif isinstance(entry, EndsAcknowledged):
                self.note(
                    f"worker {entry.worker}: lastSeen {entry.number}",
                    entry.at_ms,
                )
                continue
            else:
                continue
            self.note(
                f"worker {entry.worker} (born {entry.born}) {what} "
                f"{entry.task.name} run {entry.run}",
                entry.at_ms,
            )


class _NeverFails(random.Random):
    """Source of numbers for `WorkerModel`: no run fails."""

    def random(self) -> float:
        """Returns a number that is not below any failure rate."""
        return 1.0


def one_task_job(
    number: int, run_ms: int, cores_milli: int = 1000, steps: int = 1
) -> JobSpec:
    """Returns a job of steps with one task each, one after another."""
    return JobSpec(
        f"{number:016x}",
        QUEUE,
        "payload",
        tuple(
            StepSpec(
                1,
                Resources(cores_milli, 100, 0),
                run_ms,
                after=(step - 1,) if step else (),
            )
            for step in range(steps)
        ),
    )


def lasting_job(number: int, cores_milli: int = 1000) -> JobSpec:
    """Returns a job with one task that lasts until the job is cancelled."""
    step = StepSpec(1, Resources(cores_milli, 100, 0), 500, long_running=True)
    return JobSpec(f"{number:016x}", QUEUE, "payload", (step,))


def run(
    script: Callable[[Deployment, bool], Awaitable[int]],
    folder: Path,
    nodes: int = 3,
    workers: int = 7,
) -> None:
    """Runs a script and exits with its status.

    Args:
        script: Runs on a started deployment; gets whether to disturb it.
        folder: Folder of the case, which gets `record.txt`.
        nodes: Number of nodes.
        workers: Number of workers.
    """
    # Connections that are reset end handlers of the stand-ins.
    logging.getLogger("aiohttp.server").disabled = True
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run(script, folder, nodes, workers, trouble)))


async def _run(script, folder, nodes, workers, trouble) -> int:
    with tempfile.TemporaryDirectory(prefix="limpetyard-review-") as temporary:
        record = folder / "record.txt"
        site = Deployment(Path(temporary), nodes, workers, record)
        site.note(f"trouble: {trouble}")
        status = NOT_RUN
        try:
            async with site.running():
                status = await script(site, trouble)
        except Exception as exc:
            site.note(f"the case could not run: {exc!r}")
        site.note(f"status {status}")
        if logs := os.environ.get("REVIEW_LOGS"):
            for node in site.nodes:
                Path(logs, f"{node.name}.log").write_text(node.log())
        return status


def _config() -> bytes:
    route = {
        "name": QUEUE.name,
        "host": HOST,
        "pathPrefix": PREFIX,
        "service": SERVICE,
        "maxAttempts": QUEUE.max_attempts,
        "stretch": QUEUE.stretch,
        "targetLatencyMs": QUEUE.objective_ms,
    }
    return msgspec.json.encode({"version": 1, "routes": [route]})


def _encode(entry: WorkerEntry) -> bytes:
    return msgspec.json.encode(
        {
            "service": entry.service,
            "address": entry.address,
            "zone": entry.availability_zone,
            "state": "ready",
            "born": entry.born,
            "capacity": {
                "cpu": entry.capacity.cores_milli,
                "memMb": entry.capacity.memory_mb,
            },
            "labels": entry.labels,
        }
    )


def _job_body(spec: JobSpec) -> bytes:
    steps = [
        {
            "count": step.count,
            "cpu": step.need.cores_milli,
            "memMb": step.need.memory_mb,
            "estimatedMs": step.run_ms,
            "after": step.after,
            "longRunning": step.long_running,
        }
        for step in spec.steps
    ]
    return msgspec.json.encode({"spec": spec.payload, "steps": steps})
