"""Measures cost slopes: memory, time, records or bytes per unit.

A unit is for example a task, a sync or a VM.
"""

import asyncio
import gc
import resource
import subprocess
import sys
import tracemalloc
from pathlib import Path

import msgspec

from bench.recovery import measure_appends
from bench.scale import WORKERS_PER_CELL, measure_decision_ms
from limpetyard._clock import BootClock
from limpetyard.cell import (
    CellState,
    Claim,
    JobSpec,
    LeaseParams,
    Placed,
    ResourceVector,
    Submit,
    Write,
)
from limpetyard.config import Publish
from limpetyard.fleet import (
    Run,
    RunState,
    StartOrder,
    StartReply,
    StartResult,
    SyncOrder,
    SyncReply,
    Usage,
    Vm,
    VmRole,
)
from limpetyard.membership import (
    MembershipService,
    MembershipView,
    MemberState,
    MemberUpdate,
    Packet,
    encode_packet,
)
from limpetyard.membership._service import PROBE_INTERVAL_MS
from limpetyard.membership._wire import PacketKind
from limpetyard.scheduler import SchedulerParams
from standins.stepped_cluster import SteppedCluster

ROOT = Path(__file__).resolve().parent.parent

# Assumed size of the head of an HTTP request or response.
HTTP_HEAD_BYTES = 230

# Settings for the size planned for two years: --lease-ms and --commit-ms.
LARGE_PARAMS = SchedulerParams(
    lease=LeaseParams(lease_ms=6000), commit_ms=1250, sync_ms=3000
)


def measure_portable_slopes() -> dict[str, float]:
    """Returns the slopes of counts and bytes, the same on every machine."""
    run = Run(
        "a-job-of-some-name/123", 1, RunState.RUNNING, "", 5000, 0.91, 1e6
    )
    idle = SyncReply(
        1_764_819_000, 123456.789, 42, usage=Usage(1e6, 24.0, 90_000)
    )
    order = SyncOrder("cell-17", 12, 42, 1_764_819_000, 123456.789)
    size = ResourceVector(1.0, 500)
    start = StartOrder(
        "cell-17", 12, 1, run.task, 1, 123456.7, 123456.7, size, 60_000, "class"
    )
    placed = Placed(run.task, 1, "worker-123", 1, size, "cost 0.123")
    packet = Packet(PacketKind.PING, 1, "entry-12", "", [_MEMBER_UPDATE] * 3)
    idle_appends_per_s, _, _ = measure_appends(0, 60, LARGE_PARAMS)
    peak_appends_per_s, peak_per_start, _ = measure_appends(8, 60, LARGE_PARAMS)
    present_appends_per_s, _, _ = measure_appends(5)
    return {
        "sync: bytes sent and received": 2 * HTTP_HEAD_BYTES
        + _encoded_bytes(order)
        + _encoded_bytes(idle),
        "sync: bytes more for a run with news": _encoded_bytes(run),
        "start: bytes of order and answer": _encoded_bytes(start)
        + _encoded_bytes(StartReply([StartResult(run.task, 1)])),
        "placement: bytes in the stream": _encoded_bytes(placed),
        "renewal: bytes in the stream": _encoded_bytes(
            Write("entry-12#abcd", 12, 99)
        ),
        "claim: bytes in the stream": _encoded_bytes(
            Claim("entry-12#abcd", 12, 999)
        ),
        "snapshot: bytes a task": _snapshot_bytes_per_task(),
        # 28 bytes are the headers of IPv4 (20) and UDP (8).
        "probe: bytes of a datagram": len(encode_packet(packet)) + 28,
        "probe: datagrams a second": 2 * 1000 / PROBE_INTERVAL_MS,
        "poll: bytes of a read without news": 2 * HTTP_HEAD_BYTES + 40,
        "configuration: bytes for 570 partners": _encoded_bytes(
            Publish("id" * 16, 1, "operator", "", _partners_text(570))
        ),
        "VM list: bytes a VM": _encoded_bytes(_VM),
        "cell: appends a second, idle": idle_appends_per_s,
        "cell: appends a second, today at 5 starts/s": present_appends_per_s,
        "cell: appends a second, at its part of the peak": peak_appends_per_s,
        "cell: appends a start, at its part of the peak": peak_per_start,
    }


_MEMBER_UPDATE = MemberUpdate(
    "entry-12", 1_764_819_000_000_000_000, MemberState.ALIVE, 24
)


_VM = Vm(
    "worker-1234",
    VmRole.WORKER,
    "zone-12",
    "http://10.20.30.40:8000",
    rack="zone-12-rack-3",
    size=ResourceVector(32.0, 125_000),
)


def _encoded_bytes(value: object) -> int:
    return len(msgspec.json.encode(value))


def _cell_state(tasks: int) -> CellState:
    state = CellState()
    state.apply(0, Claim("entry-12#abcd", 1, -1))
    jobs = max(1, tasks // 20)
    offset = 1
    for number in range(jobs):
        spec = JobSpec(
            f"job-{number}",
            "north",
            "class",
            20,
            ResourceVector(1.0, 500),
            60_000,
        )
        state.apply(offset, Submit(spec))
        offset += 1
    entries = [
        Placed(
            task,
            1,
            f"worker-{n % WORKERS_PER_CELL}",
            1,
            ResourceVector(1.0, 500),
        )
        for n, task in enumerate(list(state.tasks)[:tasks])
    ]
    state.apply(offset, Write("entry-12#abcd", 1, 1, entries))
    return state


def _snapshot_bytes_per_task() -> float:
    small, large = (len(_cell_state(n).dump()) for n in (200, 600))
    return (large - small) / 400


def measure_machine_slopes() -> dict[str, float]:
    """Returns the slopes of memory and CPU time on this machine."""
    params = SchedulerParams(lease=LeaseParams(lease_ms=600_000))
    return {
        "memory: interpreter, MiB": _resident_mib("pass"),
        "memory: and the libraries, MiB": _resident_mib(_LIBRARIES),
        "memory: and limpetyard, MiB": _resident_mib(
            "import limpetyard.daemon"
        ),
        "memory: a placed task, bytes": _bytes_per_item(
            lambda: _cell_state(2000), lambda: _cell_state(1000), 1000
        ),
        "memory: a worker, bytes": _bytes_per_item(
            lambda: _new_controller(300, params),
            lambda: _new_controller(100, params),
            200,
        ),
        "memory: a peer, bytes": _bytes_per_item(
            lambda: _membership_view(1000), lambda: _membership_view(10), 990
        ),
        "memory: a partner, bytes": _bytes_per_item(
            lambda: _config_state(600), lambda: _config_state(10), 590
        ),
        "time: a sync at the owner, ms": asyncio.run(_measure_sync_ms()),
        "time: a decision, ms": measure_decision_ms(1300, 41),
        "time: a probe, ms": asyncio.run(_measure_probe_ms()),
    }


_LIBRARIES = (
    "import aiohttp, aiohttp.web, mode, capnp, cappa, loguru, msgspec,"
    " prometheus_client, xxhash"
)


def _resident_mib(code: str) -> float:
    """Returns the resident memory of an interpreter that has run the code."""
    tail = (
        "\nprint(next(x.split()[1] for x in open('/proc/self/status')"
        " if x.startswith('VmRSS')))"
    )
    out = subprocess.run(
        [sys.executable, "-c", code + tail],
        capture_output=True,
        check=True,
        cwd=ROOT,
    )
    return int(out.stdout) / 1024


def _bytes_per_item(large, small, count: int) -> float:
    sizes = []
    for build in (large, small):
        gc.collect()
        tracemalloc.start()
        instance = build()
        gc.collect()
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del instance
    return (sizes[0] - sizes[1]) / count


def _new_controller(workers: int, params: SchedulerParams):
    cluster = SteppedCluster(workers, ResourceVector(32.0, 125_000), params)
    daemon = cluster.daemon("d0")
    daemon.run(500)
    return daemon.controller


def _membership_view(peers: int) -> MembershipView:
    view = MembershipView("me", 1)
    view.update_members(
        {f"entry-{n}": ("127.0.0.1", n) for n in range(peers)}, 0
    )
    return view


def _config_state(partners: int):
    from limpetyard.config import ConfigState

    state = ConfigState()
    state.apply(0, Publish("id", 0, "bench", "", _partners_text(partners)))
    return state


def _partners_text(count: int) -> str:
    return "".join(
        f"[partner.team-{n}]\nquota_cores = 50.0\n" for n in range(count)
    )


async def _measure_sync_ms() -> float:
    """Measures the client's CPU time for one sync over HTTP."""
    import tempfile

    import aiohttp

    from limpetyard.fleet import HttpWorkerClient
    from standins.site import Site

    count = 600
    with tempfile.TemporaryDirectory() as folder:
        async with Site(Path(folder)) as site:
            await site.add_workers(8)
            async with aiohttp.ClientSession() as http:
                workers = HttpWorkerClient(http, 2000)
                url = next(iter(site.workers.values())).url
                order = SyncOrder("cell-0", 1, 0, 1, 0.0)
                await workers.sync(f"{url}/w/worker-0", order)
                before = resource.getrusage(resource.RUSAGE_SELF)
                for number in range(count):
                    address = f"{url}/w/worker-{number % 8}"
                    await workers.sync(address, order)
                after = resource.getrusage(resource.RUSAGE_SELF)
    spent_s = after.ru_utime - before.ru_utime
    spent_s += after.ru_stime - before.ru_stime
    return spent_s * 1000 / count


async def _measure_probe_ms() -> float:
    """Measures one daemon's CPU time for one probe and its reply."""
    from standins.site import free_port

    clock = BootClock()
    ports = [free_port(), free_port()]
    services = [
        MembershipService(f"entry-{n}", "127.0.0.1", port, clock)
        for n, port in enumerate(ports)
    ]
    peer_addresses = {
        f"entry-{n}": ("127.0.0.1", p) for n, p in enumerate(ports)
    }
    for service in services:
        await service.start()
        service.view.update_members(peer_addresses, clock.now_ms())
    count = 500
    member = services[0].view.members["entry-1"]
    before = resource.getrusage(resource.RUSAGE_SELF)
    for _ in range(count):
        await services[0]._probe_one(member)
    after = resource.getrusage(resource.RUSAGE_SELF)
    for service in services:
        await service.stop()
    spent_s = after.ru_utime - before.ru_utime
    spent_s += after.ru_stime - before.ru_stime
    # Both daemons run in this process.
    return spent_s * 1000 / count / 2
