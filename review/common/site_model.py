"""A small site for the cases: platform stand-ins, nodes and clients.

The stand-ins follow the users' page PROTOCOL.md and run in this process, on
loopback addresses and the real clock. The nodes are processes that are started
with the command of the deploy file.
"""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_MS = 1500
MAX_HOLD_MS = 6000
STOP_MS = 100
PARTS = 24
MAX_RECORD_BYTES = 262_144
MAX_CALL_BYTES = 2_097_152
STORE_ANSWER_MS = 4
SERVICE = "pool"
HOST = "queue.example"


def now_ms() -> float:
    """Returns the time on this machine's steady clock."""
    return time.monotonic() * 1000


def free_port(address: str = "127.0.0.1") -> int:
    """Returns a port that is free now."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


def reply(data: dict, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.json_response(data, status=status)


async def serve(handler, address: str = "127.0.0.1", port: int = 0):
    """Starts an HTTP server; returns its runner and port."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    port = port or free_port(address)
    site = web.TCPSite(runner, address, port, reuse_address=True)
    await site.start()
    return runner, port


class Record:
    """Log of a case: what was sent, answered and run, with times."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._start_ms = now_ms()

    def add(self, text: str) -> None:
        """Writes one line."""
        at = (now_ms() - self._start_ms) / 1000
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()


class _Partition:
    def __init__(self):
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, tuple[int, int | None, dict]] = {}
        self.appended = asyncio.Event()

    def append(self, contents: list[bytes]) -> int:
        first = len(self.records)
        for content in contents:
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.appended.set()
        self.appended = asyncio.Event()
        return first


class _Group:
    """Consumer group: members by expiry, and an even assignment."""

    def __init__(self):
        self.generation = 0
        self.members: dict[str, float] = {}
        self.confirmed: dict[str, int] = {}
        self.owners: dict[int, str] = {}
        self.targets: dict[int, str] = {}
        self.moved: dict[int, int] = {}

    def expire(self) -> None:
        gone = [m for m, until in self.members.items() if until < now_ms()]
        for member in gone:
            del self.members[member]
        if gone:
            self.deal()

    def deal(self) -> None:
        self.generation += 1
        names = list(self.members)
        for part in range(PARTS):
            target = names[part % len(names)] if names else ""
            if self.targets.get(part) != target:
                self.targets[part] = target
                self.moved[part] = self.generation
        self.settle()

    def settle(self) -> None:
        for part, target in self.targets.items():
            owner = self.owners.get(part, "")
            if owner == target:
                continue
            released = self.confirmed.get(owner, 0) >= self.moved[part]
            if owner not in self.members or released:
                self.owners[part] = target


class Store:
    """The platform's store: a log with keyed topics and groups.

    Attributes:
        refused: Number of refused appends by reason.
        busy: Whether the store is down and answers each call with 503.
    """

    def __init__(self, record: Record):
        self._record = record
        self._parts = collections.defaultdict(_Partition)
        self._groups = collections.defaultdict(_Group)
        self.refused = collections.Counter()
        self.busy = False

    def holder(self, part: int = 0) -> str:
        """Returns the name of the node that the group gives a partition."""
        group = self._groups["cells"]
        return group.owners.get(part, "").partition("|")[0]

    def part(self, topic: str, part: int = 0) -> _Partition:
        """Returns a partition."""
        return self._parts[topic, part]

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Writes a record as the operator or a worker does."""
        name = key.encode()
        self.part(topic).append([bytes([len(name)]) + name + (value or b"")])

    async def handle(self, req: web.BaseRequest) -> web.Response:
        """Handles one call."""
        body = await req.read()
        await asyncio.sleep(STORE_ANSWER_MS / 2000)
        if self.busy:
            return reply({"reason": "busy"}, 503)
        call = getattr(self, "_" + req.path.strip("/").replace("-", "_"))
        resp = await call(req.query, body)
        await asyncio.sleep(STORE_ANSWER_MS / 2000)
        return resp

    async def _log_append(self, query, body: bytes) -> web.Response:
        contents, at = [], 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            contents.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        largest = max(map(len, contents), default=0)
        if largest > MAX_RECORD_BYTES or len(body) > MAX_CALL_BYTES:
            self.refused["size"] += 1
            self._record.add(
                f"store refuses an append to {query['topic']} with 400:"
                f" largest record {largest} bytes, call {len(body)} bytes"
            )
            return reply({"reason": "size"}, 400)
        part = self.part(query["topic"], int(query["part"]))
        if "producerId" not in query:
            offset = part.append(contents)
            return reply({"offset": offset, "endOffset": len(part.records)})
        return self._append_in_sequence(part, query, contents)

    def _append_in_sequence(
        self, part: _Partition, query, contents: list[bytes]
    ) -> web.Response:
        producer, epoch = query["producerId"], int(query["epoch"])
        known, expected, recent = part.producers.get(producer, (-1, None, {}))
        if epoch < known:
            return reply({"reason": "fenced"}, 409)
        if epoch > known:
            expected, recent = None, {}
        if not contents:
            part.producers[producer] = (epoch, expected, recent)
            return reply({"offset": len(part.records)})
        seq = int(query["seq"])
        if seq in recent:
            return reply(recent[seq])
        if expected is not None and seq != expected:
            return reply({"reason": "seq", "expected": expected}, 409)
        offset = part.append(contents)
        answer = {"offset": offset, "endOffset": len(part.records)}
        recent = dict(list(recent.items())[-4:]) | {seq: answer}
        part.producers[producer] = (epoch, seq + 1, recent)
        return reply(answer)

    async def _log_read(self, query, body: bytes) -> web.Response:
        part = self.part(query["topic"], int(query["part"]))
        first, wait_ms = int(query["from"]), int(query.get("waitMs", 0))
        if first >= len(part.records) and wait_ms:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await part.appended.wait()
        chunks = [struct.pack(">QQ", len(part.records), 0)]
        size = 0
        for content in part.records[first:]:
            chunks.append(struct.pack(">I", len(content)) + content)
            size += len(content)
            if size > 1_000_000:
                break
        return web.Response(body=b"".join(chunks))

    async def _log_newest(self, query, body: bytes) -> web.Response:
        part = self.part(query["topic"], int(query["part"]))
        after = query.get("after", "")
        keys = sorted(key for key in part.newest if key > after)
        items, size = [], 0
        for key in keys:
            offset, value = part.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
            size += len(text)
            if len(items) == 500 or size > 1_000_000:
                break
        more = len(items) < len(keys)
        end = len(part.records)
        return reply({"items": items, "hasMore": more, "endOffset": end})

    async def _log_join(self, query, body: bytes) -> web.Response:
        call = json.loads(body)
        group, member = self._groups[call["group"]], call["memberId"]
        group.expire()
        new = member not in group.members
        group.members[member] = now_ms() + call["ttlMs"]
        group.confirmed[member] = call["generation"]
        if new:
            group.deal()
        group.settle()
        rows = [
            [call["topics"][0], part, 0]
            for part, owner in group.owners.items()
            if owner == member == group.targets[part]
        ]
        return reply({"generation": group.generation, "parts": rows})

    async def _log_leave(self, query, body: bytes) -> web.Response:
        call = json.loads(body)
        group = self._groups[call["group"]]
        if group.members.pop(call["memberId"], None) is not None:
            group.deal()
        return reply({})

    async def _log_owners(self, query, body: bytes) -> web.Response:
        group = self._groups[query["group"]]
        group.expire()
        rows = [
            ["keyed.jobs", part, owner, 0]
            for part, owner in group.owners.items()
            if owner
        ]
        return reply({"owners": rows})


class Proxy:
    """TCP proxy in front of a minion, which can refuse all connections."""

    def __init__(self, port: int, target_port: int):
        self.port = port
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Accepts connections."""
        self._server = await asyncio.start_server(
            self._forward, "127.0.0.1", self.port, reuse_address=True
        )

    async def refuse(self) -> None:
        """Resets all connections and refuses new ones."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _forward(self, reader, writer) -> None:
        try:
            upstream = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        await asyncio.gather(
            self._copy(reader, upstream[1]), self._copy(upstream[0], writer)
        )

    async def _copy(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        writer.close()


class Worker:
    """A minion: runs tasks under one lease, checks tokens, lists ends.

    The payload of a job is JSON: `ms` is the run time of each task, 0 for tasks
    that last, and `tail` the tail latency in ms that each task reports, if any.
    """

    def __init__(self, name: str, number: int, site: "Site", cores: int):
        self.id = name
        self.zone = ZONES[number % len(ZONES)]
        self.cores = cores
        self._site = site
        self._address = "127.0.0.1"
        self.port = 0
        self._runner: web.ServerRunner | None = None
        self._beat: asyncio.Task | None = None
        self.up = False
        self.dark = False
        # Time for which the minion, which drains, stays at least, or None.
        self.remaining_ms: int | None = None
        self.cut = False
        self.beat_ms = 0.0
        self.proxy: Proxy | None = None
        self.kind = "a"
        # What the machine's time of day is ahead of the true time.
        self.time_ahead_ms = 0
        self._handlers: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts an incarnation."""
        self.born = int(time.time() * 1000) + self.time_ahead_ms
        self._zero_ms = now_ms()
        self.token = 0
        self.lease_ms = 0.0
        self.runs: dict[str, dict] = {}
        self.closed: dict[str, int] = {}
        self.ends: list[list] = []
        self.end_count = 0
        self.changed = asyncio.Event()
        self.up = True
        self.dark = False
        if self._runner is None:
            self._runner, self.port = await serve(
                self._handle, self._address, self.port
            )
        if self.proxy is None:
            self.proxy = Proxy(free_port(), self.port)
            await self.proxy.open()
        self._beat = asyncio.ensure_future(self._live())

    async def drain(self, remaining_ms: int) -> None:
        """Announces that the minion leaves; it serves on until then."""
        self.remaining_ms = remaining_ms
        self._report()
        self._site.record.add(f"{self.id} is draining, {remaining_ms} ms left")

    async def cut_off(self) -> None:
        """Cuts the links to the system and the store; connections fail."""
        self.cut = True
        await self.proxy.refuse()
        self._site.record.add(f"{self.id} is cut off, runs {list(self.runs)}")

    async def heal(self) -> None:
        """Ends the cut."""
        self.cut = False
        await self.proxy.open()
        self._site.record.add(f"{self.id} is reachable, runs {list(self.runs)}")

    def _report(self) -> None:
        self.beat_ms = now_ms()
        self._site.store.put("keyed.servers", self.id, self.entry())

    def entry(self) -> bytes:
        """Returns the directory entry."""
        draining = self.remaining_ms is not None
        more = {"remainingMs": self.remaining_ms} if draining else {}
        return json.dumps(
            more
            | {
                "service": SERVICE,
                "address": f"{self._address}:{self.proxy.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if draining else "ready",
                "coldLeftMs": 0,
                "capacity": {
                    "cpu": self.cores * 1000,
                    "memMb": 128_000,
                    "gpus": 0,
                },
                "labels": [self.kind, f"r-{self.zone}"],
                "clockMs": int(self.clock_ms()),
                "born": self.born,
                "seq": self.end_count,
            }
        ).encode()

    def clock_ms(self) -> float:
        """Returns the minion's own clock."""
        return now_ms() - self._zero_ms

    async def _live(self) -> None:
        self.beat_ms = 0.0
        while True:
            if now_ms() - self.beat_ms >= HEARTBEAT_MS and not self.cut:
                self._report()
            if self.runs and self.clock_ms() > self.lease_ms:
                for task in list(self.runs):
                    self._end(task, "lapsed")
            await asyncio.sleep(0.02)

    def crash_dark(self) -> None:
        """Loses power: runs nothing and answers nothing from now on."""
        self._site.record.add(f"{self.id} loses power, runs {len(self.runs)}")
        for task, run in list(self.runs.items()):
            run["timer"].cancel()
            self._site.ended(self, task, run["run"], "gone")
        self.runs = {}
        self.up, self.dark = False, True
        self._beat.cancel()

    async def restart(self) -> None:
        """Starts again under the same id and address; knows nothing."""
        for handler in list(self._handlers):
            handler.cancel()
        await self.start()
        self._site.record.add(f"{self.id} is back, born {self.born}")

    async def stop(self) -> None:
        """Ends the stand-in."""
        if self._beat is not None:
            self._beat.cancel()
        if self.proxy is not None:
            await self.proxy.refuse()
        if self._runner is not None:
            for run in getattr(self, "runs", {}).values():
                run["timer"].cancel()
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        task = asyncio.current_task()
        self._handlers.add(task)
        try:
            while self.dark:
                # No power: the connection stays silent and nothing is done.
                await asyncio.sleep(60)
            if req.headers.get("Expected-Instance") != self.id:
                return web.Response(status=421)
            call = json.loads(await req.read())
            if call.get("fencingToken", 0) < self.token:
                return self._answer({"reason": "fence"}, 409)
            self.token = call.get("fencingToken", 0)
            handler = getattr(self, "_" + req.path.strip("/").replace("-", "_"))
            return await handler(call)
        finally:
            self._handlers.discard(task)

    def _answer(self, data: dict, status: int = 200) -> web.Response:
        head = {"clockMs": int(self.clock_ms()), "born": self.born}
        return reply(head | data, status)

    def _extend(self, call: dict) -> None:
        if call.get("expiresMs") is not None:
            limit = self.clock_ms() + MAX_HOLD_MS
            self.lease_ms = max(self.lease_ms, min(call["expiresMs"], limit))

    async def _hold(self, call: dict) -> web.Response:
        self._extend(call)
        seen = call.get("lastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        if not self.ends and call.get("waitMs"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(call["waitMs"] / 1000):
                    await self.changed.wait()
        rows = [[t, r["run"], "", 100, r["tail"]] for t, r in self.runs.items()]
        return self._answer({"running": rows, "endedRuns": self.ends[:500]})

    async def _run_start(self, call: dict) -> web.Response:
        task, run = call["task"], call["runId"]
        running = self.runs.get(task)
        if running is not None and running["run"] == run:
            return self._answer({})
        if run <= self.closed.get(task, 0) or running is not None:
            self._extend(call)
            return self._answer({"reason": "old"}, 409)
        if call["expiresMs"] <= self.clock_ms():
            return self._answer({"reason": "late"}, 409)
        self._extend(call)
        spec = json.loads(call["spec"])
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            spec["ms"] / 1000 if spec["ms"] else 1e6, self._end, task, "done"
        )
        self.runs[task] = {
            "run": run,
            "timer": timer,
            "tail": spec.get("tail", 0),
        }
        self._site.started(self, task, run)
        return self._answer({})

    async def _run_stop(self, call: dict) -> web.Response:
        task, run = call["task"], call["runId"]
        self.closed[task] = max(run, self.closed.get(task, 0))
        running = self.runs.get(task)
        if running is not None and running["run"] == run:
            running["timer"].cancel()
            loop = asyncio.get_running_loop()
            running["timer"] = loop.call_later(
                STOP_MS / 1000, self._end, task, "stopped"
            )
        return self._answer({})

    async def _pace(self, call: dict) -> web.Response:
        return self._answer({})

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.closed[task] = max(run["run"], self.closed.get(task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, task, run["run"], how, ""])
        self._site.ended(self, task, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()


class NodeProcess:
    """One process of the system, as the deploy file starts it."""

    def __init__(self, number: int, site: "Site"):
        self.name = f"edge-{number}"
        self.address = f"127.0.{1 + number}.1"
        self.zone = ZONES[number % len(ZONES)]
        self._site = site
        self.frontend = free_port(self.address)
        self.readiness = free_port(self.address)
        self._control = free_port(self.address)
        self._metrics = free_port(self.address)
        self._process: asyncio.subprocess.Process | None = None

    def _settings(self) -> str:
        zones = "".join(f'{zone} = "region"\n' for zone in ZONES)
        return f"""
nodeName = "{self.name}"
role = "node"
machineClass = "edge"
serves = ["edge","control"]
ip = "{self.address}"
zone = "{self.zone}"
region = "region"
heartbeatMs = {HEARTBEAT_MS}
controlMode = "call"
[zones]
{zones}
[listenAddrs]
frontend = "{self.address}:{self.frontend}"
readiness = "{self.address}:{self.readiness}"
controlPlane = "{self.address}:{self._control}"
[limits]
cpuQuota = 0.43
cpuCores = 1
memoryMb = 300
[bounds]
contactMs = 3000
ackMs = 4000
graceS = 6
maxHoldMs = {MAX_HOLD_MS}
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
status_s = 120
remoteFactor = 1.5
harmMs = 4000
[platform]
address = "127.0.0.1:{self._site.store_port}"
form = "log"
parts = {PARTS}
maxRecordBytes = {MAX_RECORD_BYTES}
maxCallBytes = {MAX_CALL_BYTES}
minTtlMs = 1000
"""

    async def start(self) -> None:
        """Starts the process."""
        folder = self._site.folder
        path = folder / f"{self.name}.toml"
        path.write_text(self._settings(), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["node"]["run"])
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LIMPETYARD_SETTINGS": str(path),
            "LIMPETYARD_METRICS_PORT": str(self._metrics),
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def ready(self) -> bool:
        """Returns whether the node reports itself ready."""
        url = f"http://{self.address}:{self.readiness}/readiness"
        try:
            async with self._site.http.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def kill(self) -> None:
        """Kills the process; the platform starts it again shortly after."""
        self._site.record.add(f"{self.name} is killed")
        await self.stop()

    def log(self) -> str:
        """Returns what the process has logged."""
        path = self._site.folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def stop(self) -> None:
        """Ends the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


class Answer:
    """Answer to a client; status 0 if there was none."""

    def __init__(self, status: int, data: dict):
        self.status = status
        self.data = data


class Site:
    """Store, workers, nodes and clients of one case.

    Attributes:
        starts: (time, worker id, task, run) of each start that a worker began.
        run_ends: (time, worker id, task, run, how) of each end.
        muted: Ids of jobs whose runs are not written to the record.
    """

    def __init__(self, record: Record, workers: int, nodes: int, cores=32):
        self.record = record
        self.store = Store(record)
        self.store_port = 0
        self.workers = [
            Worker(f"i-{number:08x}", number, self, cores)
            for number in range(1, workers + 1)
        ]
        self._node_count = nodes
        self.nodes: list[NodeProcess] = []
        self.starts: list[tuple] = []
        self.run_ends: list[tuple] = []
        self.muted: set[str] = set()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Site":
        stack = self._stack
        self.folder = Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix="review-"))
        )
        self.http = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3))
        )
        runner, self.store_port = await serve(self.store.handle)
        stack.push_async_callback(runner.cleanup)
        self.store.put(
            "keyed.op", "config", json.dumps(self._config()).encode()
        )
        expiry = asyncio.ensure_future(self._expire_entries())
        stack.callback(expiry.cancel)
        for worker in self.workers:
            await worker.start()
            stack.push_async_callback(worker.stop)
        self.nodes = [NodeProcess(n, self) for n in range(self._node_count)]
        for node in self.nodes:
            stack.push_async_callback(node.stop)
            await node.start()
        until_ms = now_ms() + 30_000
        while not all([await node.ready() for node in self.nodes]):
            if now_ms() > until_ms:
                raise RuntimeError("the nodes did not become ready")
            await asyncio.sleep(0.1)
        self.record.add(f"{len(self.nodes)} nodes are ready")
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._stack.aclose()

    async def _expire_entries(self) -> None:
        """Removes entries after three heartbeat intervals of silence."""
        entries = self.store.part("keyed.servers").newest
        while True:
            for worker in self.workers:
                silent_ms = now_ms() - worker.beat_ms
                if worker.id in entries and silent_ms > 3 * HEARTBEAT_MS:
                    self.record.add(f"the store removes servers/{worker.id}")
                    self.store.put("keyed.servers", worker.id, None)
            await asyncio.sleep(0.05)

    def _config(self) -> dict:
        routes = [
            {
                "name": f"r-{name}",
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 250,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": attempts,
                "stretch": 1.5,
            }
            for name, attempts in (("short", 2), ("lasting", 4))
        ]
        return {
            "version": 7,
            "routes": routes,
            "services": [{"name": SERVICE, "enforcesCapacity": False}],
            "limits": {"maxBodyBytes": 262_144},
        }

    def started(self, worker: Worker, task: str, run: int) -> None:
        """Records a start."""
        self.starts.append((now_ms(), worker.id, task, run))
        if task.partition(".")[0] not in self.muted:
            self.record.add(f"{worker.id} starts {task} run {run}")

    def ended(self, worker: Worker, task: str, run: int, how: str) -> None:
        """Records an end."""
        self.run_ends.append((now_ms(), worker.id, task, run, how))
        if task.partition(".")[0] not in self.muted:
            self.record.add(f"{worker.id} ends {task} run {run}: {how}")

    async def call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        node: NodeProcess | None = None,
        http: aiohttp.ClientSession | None = None,
    ) -> Answer:
        """Sends one request of a client and returns the answer."""
        node = node or random.choice(self.nodes)
        url = f"http://{node.address}:{node.frontend}{path}"
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        try:
            async with (http or self.http).request(
                method, url, json=body, headers=headers
            ) as resp:
                text = await resp.text()
                answer = Answer(resp.status, json.loads(text) if text else {})
        except (aiohttp.ClientError, TimeoutError) as exc:
            answer = Answer(0, {"error": repr(exc)})
        self.record.add(
            f"client: {method} {path} at {node.name} ->"
            f" {answer.status} {answer.data}"
        )
        return answer

    async def submit(self, path: str, body: dict, tries: int = 10) -> bool:
        """Submits a job until it is accepted; returns whether it was."""
        for node in itertools.islice(itertools.cycle(self.nodes), tries):
            answer = await self.call("POST", path, body, node)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, path: str, tries: int = 10) -> str:
        """Asks for the state of a job until there is an answer."""
        for node in itertools.islice(itertools.cycle(self.nodes), tries):
            answer = await self.call("GET", path, None, node)
            if answer.status == 200:
                return answer.data["state"]
            if answer.status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return "no answer"

    def keep_logs(self, folder: Path, lines: int = 40) -> None:
        """Adds the first ends of ownership in the nodes' logs to the record."""
        words = ("owner_failed", "store_refused", "task_crashes", "job_ended")
        found = [
            f"{node.name}: {line}"
            for node in self.nodes
            for line in node.log().splitlines()
            if any(word in line for word in words)
        ]
        for line in found[:lines]:
            self.record.add(f"log of {line[:300]}")


def job_id() -> str:
    """Returns a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def step(count=1, cpu=1000, mem=1000, **more) -> dict:
    """Returns one step of a job."""
    return {"count": count, "cpu": cpu, "memMb": mem, **more}


def main(folder: Path, case, trouble: bool) -> None:
    """Runs a case and exits with its status.

    Args:
        folder: Folder of the case, for `record.txt`.
        case: Coroutine function of the record and of `trouble`; returns
            whether the rule held.
        trouble: Whether there is a disruption.
    """
    record = Record(folder / "record.txt")
    record.add(f"disruption: {'yes' if trouble else 'no'}")

    async def limited() -> bool:
        async with asyncio.timeout(110):
            return await case(record, trouble)

    try:
        held = asyncio.run(limited())
    except Exception as exc:  # The case could not run.
        record.add(f"the case could not run: {exc!r}")
        print(f"could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    record.add(f"the rule {'held' if held else 'was broken'}")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
