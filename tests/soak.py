"""Soak of real node processes with faults from outside; the seed decides them.

The store and the workers are the stand-ins, served in this process. Nodes are
processes that get signals. To run a range of seeds by hand:

    python -m tests.soak FIRST LAST
"""

import asyncio
import contextlib
import logging
import os
import random
import re
import shutil
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from limpetyard._clock import MS_PER_SECOND, BootClock
from limpetyard._registry import Registry
from limpetyard.engine import WorkerEntry
from limpetyard.jobs import FINAL_STATES, JobSpec, Resources, StepSpec
from standins import process_state
from standins.platform import violations
from standins.platform._gangs import Gangs
from standins.platform._history import (
    History,
    JobAccepted,
    JobCancelled,
    StateReturned,
)
from standins.platform._http import StoreServer, WorkerServer
from standins.platform._long_running import LongRunningTaskWatch
from standins.platform._site import (
    HEARTBEAT_INTERVAL_MS,
    MAX_MISSING_REPORTS,
    QUEUE,
    SERVICE,
)
from standins.platform._store import StoreModel
from standins.platform._worker import LONGEST_LEASE_MS, WorkerModel
from standins.site import free_port
from tests.platform.test_worker_entries import malformed_entries

ADDRESS = "127.0.0.1"
HOST = "queue.example"
DEADLINE_MS = 3000
READY_S = 20.0

# Time from SIGTERM to the end of a node, after which it would be killed.
GRACE_S = 6.0

# Calm after the faults, and the longest wait for the jobs after that.
CALM_S = 12.0
JOBS_S = 25.0

SETTINGS = """
nodeName = "{name}"
zone = "zone-0"
[listenAddrs]
frontend = "{frontend}"
readiness = "{readiness}"
controlPlane = "{peers}"
[bounds]
maxHoldMs = {longest_lease_ms}
[platform]
address = "{store}"
"""


def free_address() -> str:
    """Returns an address that is free now."""
    return f"{ADDRESS}:{free_port()}"


def has_hangup(pid: int, mask: str) -> bool:
    """Returns whether SIGHUP is in a mask of signals of a process.

    Args:
        pid: Id of the process.
        mask: Name of the mask in the status of the process.
    """
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return False
    (value,) = re.findall(rf"{mask}:\s+(\w+)", status)
    return bool(int(value, 16) & 1 << (signal.SIGHUP - 1))


class Server:
    """HTTP server that can refuse connections or leave calls unanswered.

    Attributes:
        address: IP:port of the server.
        silent: Whether calls get no answer.
    """

    def __init__(self, handle):
        self.address = free_address()
        self.silent = False
        self._handle = handle
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listens; does nothing if the server does so already."""
        if self._runner is not None:
            return
        self._runner = web.ServerRunner(
            web.Server(self._answer, access_log=None), shutdown_timeout=0.1
        )
        await self._runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Refuses connections from now on."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        while self.silent:
            await asyncio.sleep(0.05)
        return await self._handle(req)


class NodeProcess:
    """A process of limpetyard-node.

    Attributes:
        name: Name of the node.
        frontend: IP:port on which it serves callers.
        expected_down: Whether the process may be down now.
    """

    def __init__(self, name: str, folder: Path, store: str):
        self.name = name
        self.frontend, self._readiness = free_address(), free_address()
        peers = free_address()
        addresses = (self.frontend, self._readiness, peers)
        self._ports = [int(a.rpartition(":")[2]) for a in addresses]
        self.expected_down = True
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()
        text = SETTINGS.format(
            name=name,
            frontend=self.frontend,
            readiness=self._readiness,
            peers=peers,
            store=store,
            longest_lease_ms=LONGEST_LEASE_MS,
        )
        self._path.write_text(text)

    async def start(self) -> None:
        """Starts the process; does nothing if it is up."""
        async with self._starting:
            if self.is_up:
                return
            env = os.environ | {"LIMPETYARD_SETTINGS": str(self._path)}
            with self._log.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "limpetyard.noded"),
                    env=env,
                    stdout=log,
                    stderr=log,
                )
            self.expected_down = False

    @property
    def is_up(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def status(self) -> int | None:
        """Exit status, or the negative number of the signal that ended it."""
        return self._process and self._process.returncode

    def describe(self) -> str:
        """Describes its state, its ports and its last lines of output."""
        pid = self._process and self._process.pid
        return process_state.describe(
            self.name, pid, self.status, self._ports, self._log
        )

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process, if it is up."""
        if self.is_up:
            self._process.send_signal(number)

    @property
    def handles_hangup(self) -> bool:
        """Whether SIGHUP does not end the process, as of a starting Python."""
        return self.is_up and any(
            has_hangup(self._process.pid, mask) for mask in ("SigIgn", "SigCgt")
        )

    async def end(self, number: int) -> None:
        """Ends the process by a signal, but not one that is started then."""
        process = self._process
        if not self.is_up:
            return
        self.expected_down = True
        process.send_signal(number)
        # A stopped process does not handle SIGTERM.
        process.send_signal(signal.SIGCONT)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def wait_ready(self, http: aiohttp.ClientSession) -> None:
        """Waits until the node reports itself ready."""
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                url = f"http://{self._readiness}/readiness"
                async with http.get(url) as resp:
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.1)


class Soak:
    """A site of real node processes.

    Attributes:
        clock: Clock of the workers, the store and the history.
        history: What workers and clients have seen.
        workers: Workers by id.
    """

    def __init__(self, folder: Path, rng: random.Random):
        self.clock = BootClock()
        self.history = History()
        self.rng = rng
        self.store = StoreModel(self.clock)
        self.store_server = StoreServer(self.store)
        self.store_listener = Server(self.store_server.handle)
        self.workers: dict[str, WorkerModel] = {}
        self.listeners: dict[str, Server] = {}
        self.ended: list[str] = []
        self.nodes = [
            NodeProcess(f"node-{n}", folder, self.store_listener.address)
            for n in range(3)
        ]
        gangs = Gangs()
        for number in range(5):
            entry = WorkerEntry(
                f"w-{number}",
                SERVICE,
                "",
                f"zone-{number % 3}",
                f"rack-{number}",
                ("plain", f"rack-{number}"),
                Resources(8000, 32_000, 0),
                1,
            )
            specs = self.history.submitted.get
            model = WorkerModel(
                entry,
                self.clock,
                self.history,
                specs,
                rng,
                gangs,
                clock_rng=rng,
            )
            listener = Server(WorkerServer(model).handle)
            model.entry = msgspec.structs.replace(
                entry, address=listener.address
            )
            self.workers[entry.id] = model
            self.listeners[entry.id] = listener
            self.history.labels[entry.id] = entry.labels
            self.history.zones[entry.id] = entry.availability_zone

    @contextlib.asynccontextmanager
    async def running(self):
        """Runs the site while the context lasts."""
        async with contextlib.AsyncExitStack() as stack:
            for listener in (self.store_listener, *self.listeners.values()):
                await listener.start()
                stack.push_async_callback(listener.stop)
            self.store.write("operators", "config", _config())
            watch = LongRunningTaskWatch(self)
            for work in (self._heartbeats(), watch.run(), self._watch_nodes()):
                stack.callback(asyncio.ensure_future(work).cancel)
            for node in self.nodes:
                await node.start()
                stack.push_async_callback(node.end, signal.SIGKILL)
            try:
                async with (
                    aiohttp.ClientSession() as http,
                    asyncio.timeout(READY_S),
                ):
                    for node in self.nodes:
                        await node.wait_ready(http)
            except TimeoutError as exc:
                exc.add_note(self.describe())
                raise
            yield

    def describe(self) -> str:
        """Describes the nodes."""
        return "\n".join(node.describe() for node in self.nodes)

    async def _heartbeats(self) -> None:
        missing = dict.fromkeys(self.workers, 0)
        while True:
            for key, model in self.workers.items():
                if model.up and model.reaches_store:
                    missing[key] = 0
                    self.store.write("workers", key, _encode_entry(model))
                    continue
                missing[key] += 1
                if missing[key] == MAX_MISSING_REPORTS:
                    self.store.write("workers", key, None)
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)

    async def _watch_nodes(self) -> None:
        """Records nodes that end by themselves."""
        while True:
            for node in self.nodes:
                if not node.expected_down and not node.is_up:
                    node.expected_down = True
                    self.ended.append(f"ENDED {node.name}: {node.status}")
            await asyncio.sleep(0.05)

    async def client(self, number: int, faults_s: float) -> None:
        """Submits one job and asks for it; keeps its connection open."""
        spec = _random_job(number, self.rng)
        self.history.submitted[spec.id] = spec
        cancels = spec.steps[0].long_running and number % 2
        await asyncio.sleep(self.rng.uniform(0, faults_s))
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / MS_PER_SECOND)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            if not await self._submit(http, spec):
                return
            if cancels:
                await asyncio.sleep(self.rng.uniform(0, 3))
                self.history.cancel_requests.add(spec.id)
                status, _ = await self._ask(http, "DELETE", spec.id)
                if status == 200:
                    cancelled = JobCancelled(self.clock.now_ms(), spec.id)
                    self.history.add(cancelled)
                return
            until_ms = self.clock.now_ms() + (
                (faults_s + CALM_S + JOBS_S) * MS_PER_SECOND
            )
            while self.clock.now_ms() < until_ms:
                await asyncio.sleep(0.5)
                status, reply = await self._ask(http, "GET", spec.id)
                if status in (200, 410):
                    state = reply.get("state", "") if status == 200 else ""
                    returned = StateReturned(
                        self.clock.now_ms(), spec.id, state
                    )
                    self.history.add(returned)
                    if state in FINAL_STATES or spec.steps[0].long_running:
                        return

    async def _submit(self, http: aiohttp.ClientSession, spec: JobSpec) -> bool:
        for _ in range(8):
            status, _ = await self._ask(http, "POST", spec.id, _job_body(spec))
            if status == 200:
                self.history.add(JobAccepted(self.clock.now_ms(), spec))
                return True
            await asyncio.sleep(0.3)
        return False

    async def _ask(
        self,
        http: aiohttp.ClientSession,
        method: str,
        job_id: str,
        body: bytes | None = None,
    ) -> tuple[int, dict]:
        """Sends one request; the status is 0 if there is no answer."""
        node = self.rng.choice(self.nodes)
        headers = {"Host": HOST, "Deadline-Ms": str(DEADLINE_MS)}
        url = f"http://{node.frontend}/queue/{job_id}"
        try:
            async with http.request(
                method, url, data=body, headers=headers
            ) as resp:
                text = await resp.read()
                return resp.status, msgspec.json.decode(text or b"{}")
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return 0, {}


Fault = Callable[[Soak], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")


@FAULTS.register("kill")
async def _kill(soak: Soak) -> None:
    node = soak.rng.choice(soak.nodes)
    await node.end(signal.SIGKILL)
    await asyncio.sleep(soak.rng.uniform(0, 2))
    await node.start()


@FAULTS.register("kill_all")
async def _kill_all(soak: Soak) -> None:
    await asyncio.gather(*(n.end(signal.SIGKILL) for n in soak.nodes))
    await asyncio.sleep(soak.rng.uniform(0, 1))
    for node in soak.nodes:
        await node.start()


@FAULTS.register("roll")
async def _roll(soak: Soak) -> None:
    for node in soak.nodes:
        await node.end(signal.SIGTERM)
        await node.start()
        await asyncio.sleep(soak.rng.uniform(0, 1))


@FAULTS.register("pause")
async def _pause(soak: Soak) -> None:
    node = soak.rng.choice(soak.nodes)
    node.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.uniform(0.2, 6))
    node.send_signal(signal.SIGCONT)


@FAULTS.register("hup")
async def _hup(soak: Soak) -> None:
    for node in soak.nodes:
        if node.handles_hangup:
            node.send_signal(signal.SIGHUP)


@FAULTS.register("store")
async def _store(soak: Soak) -> None:
    start_ms = soak.clock.now_ms()
    windows = soak.history.store_fault_windows
    windows.append((start_ms, float("inf")))
    if soak.rng.random() < 0.5:
        soak.store_server.status = soak.rng.choice([429, 503])
    else:
        soak.store_listener.silent = True
    await asyncio.sleep(soak.rng.uniform(0.3, 5))
    soak.store_server.status, soak.store_listener.silent = 0, False
    windows.remove((start_ms, float("inf")))
    windows.append((start_ms, soak.clock.now_ms()))


@FAULTS.register("worker_cut")
async def _worker_cut(soak: Soak) -> None:
    """Cuts off a worker, which is silent or refuses, and may drain."""
    model = soak.rng.choice(list(soak.workers.values()))
    listener = soak.listeners[model.entry.id]
    if soak.rng.random() < 0.3:
        model.drain(remaining_ms=soak.rng.uniform(1000, 6000))
        await asyncio.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)
    model.reaches_store = False
    if soak.rng.random() < 0.5:
        await listener.stop()
    listener.silent = True
    await asyncio.sleep(soak.rng.uniform(0.3, 7))
    listener.silent = False
    model.reaches_store = True
    if model.entry.draining:
        await _restart(model, 1.0)
    await listener.start()


async def _restart(model: WorkerModel, down_s: float) -> None:
    model.crash()
    await asyncio.sleep(down_s)
    # Another fault may have restarted it meanwhile.
    model.crash()
    model.restart()


@FAULTS.register("worker_crash")
async def _worker_crash(soak: Soak) -> None:
    model = soak.rng.choice(list(soak.workers.values()))
    listener = soak.listeners[model.entry.id]
    await listener.stop()
    await _restart(model, soak.rng.uniform(0.1, 4))
    await listener.start()


@FAULTS.register("malformed_entries")
async def _malformed_entries(soak: Soak) -> None:
    entries = list(malformed_entries().values())
    for number in range(20):
        value = soak.rng.choice(entries)
        soak.store.write("workers", f"other-{number}", value)


def _config() -> bytes:
    route = {
        "name": QUEUE.name,
        "host": HOST,
        "pathPrefix": "/queue/",
        "service": SERVICE,
        "maxAttempts": QUEUE.max_attempts,
        "stretch": QUEUE.stretch,
        "targetLatencyMs": QUEUE.objective_ms,
    }
    return msgspec.json.encode({"version": 1, "routes": [route]})


def _encode_entry(model: WorkerModel) -> bytes:
    entry = model.entry
    return msgspec.json.encode(
        {
            "service": entry.service,
            "address": entry.address,
            "zone": entry.availability_zone,
            "state": "draining" if entry.draining else "ready",
            "born": entry.born,
            "capacity": {
                "cpu": entry.capacity.cores_milli,
                "memMb": entry.capacity.memory_mb,
            },
            "labels": entry.labels,
            "remainingMs": entry.remaining_ms,
        }
    )


def _random_job(number: int, rng: random.Random) -> JobSpec:
    need = Resources(rng.randint(200, 3000), 500, 0)
    if number % 5 == 0:
        steps = (StepSpec(2, need, long_running=True, per_worker=1),)
    else:
        steps = (
            StepSpec(rng.randint(1, 4), need, rng.randint(50, 4000)),
            StepSpec(rng.randint(1, 4), need, 300, after=(0,)),
        )
    return JobSpec(f"{number:016x}", QUEUE, "payload", steps)


def _job_body(spec: JobSpec) -> bytes:
    steps = [
        {
            "count": step.count,
            "cpu": step.need.cores_milli,
            "memMb": step.need.memory_mb,
            "estimatedMs": step.run_ms,
            "after": step.after,
            "longRunning": step.long_running,
            "antiAffinity": step.per_worker,
        }
        for step in spec.steps
    ]
    return msgspec.json.encode({"spec": spec.payload, "steps": steps})


async def _inject(soak: Soak, until_ms: float) -> None:
    while soak.clock.now_ms() < until_ms:
        await asyncio.sleep(soak.rng.expovariate(1.0))
        start_ms = soak.clock.now_ms()
        windows = soak.history.fault_windows
        windows.append((start_ms, float("inf")))
        await FAULTS.get(soak.rng.choice(list(FAULTS)))(soak)
        windows.remove((start_ms, float("inf")))
        windows.append((start_ms, soak.clock.now_ms()))


async def run_soak(seed: int, faults_s: float = 20.0, jobs: int = 20) -> list:
    """Runs one soak and returns the violations of rules.

    If a rule was violated, the nodes are described on the standard error, and
    their logs are copied to the folder that the environment variable SOAK_LOGS
    names.
    """
    # Connections that are cut end handlers of the stand-ins.
    logging.getLogger("aiohttp.server").disabled = True
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="limpetyard-soak-") as folder:
        soak = Soak(Path(folder), rng)
        async with soak.running():
            until_ms = soak.clock.now_ms() + faults_s * MS_PER_SECOND
            injectors = [_inject(soak, until_ms) for _ in range(2)]
            clients = [soak.client(n, faults_s) for n in range(jobs)]
            await asyncio.gather(*injectors, *clients)
            await asyncio.sleep(CALM_S)
            found = violations(soak.history) + soak.ended
            if found:
                print(soak.describe(), file=sys.stderr)
        kept = os.environ.get("SOAK_LOGS")
        if found and kept:
            shutil.copytree(folder, Path(kept) / str(seed), dirs_exist_ok=True)
    return found


def main() -> int:
    """Runs a range of seeds; returns 1 if one of them violated a rule."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, last + 1):
        found = asyncio.run(run_soak(seed))
        failed += bool(found)
        print(f"seed {seed}: {len(found)}: {found[:3]}", flush=True)
    print(f"soaks={last - first + 1} broken={failed}")
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())
