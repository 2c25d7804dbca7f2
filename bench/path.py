"""Compares requests sent directly, through a bare proxy and a daemon."""

import asyncio
import random
import statistics
import tempfile
import time
from pathlib import Path

import aiohttp

from bench.report import Bound, Section, markdown_table
from standins.site import Process, Site, free_port

REQUESTS_PER_S = 250.0
DURATION_S = 6
ROUNDS = 3
WORK_MS = "5"
MAX_LATENCY_RATIO = 1.25
MIN_CPU_EFFICIENCY_RATIO = 0.8
TEMPLATE = "[service.tally]\ndeadline_ms = 5000\n"
PARAMETERS = "[partner.north]\n"
HEADERS = {"X-Limpetyard-Partner": "north", "X-Work-Ms": WORK_MS}
ROUTES = ("direct", "pass-through", "daemon")


class _LoadRun:
    """One run of the load over one route.

    Attributes:
        latencies_ms: Latency of each request.
        cpu_s: CPU time that the route's process used, 0 without a process.
    """

    def __init__(self, url: str, process: Process | None):
        self._url = url
        self._process = process
        self.latencies_ms: list[float] = []
        self.cpu_s = 0.0

    async def send_requests(self) -> None:
        rng = random.Random(0)
        connector = aiohttp.TCPConnector(limit=64)
        before = self._process.cpu_s() if self._process else 0.0
        async with aiohttp.ClientSession(connector=connector) as http:
            requests = []
            for _ in range(int(REQUESTS_PER_S * DURATION_S)):
                requests.append(asyncio.ensure_future(self._send_request(http)))
                await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
            await asyncio.gather(*requests)
        after = self._process.cpu_s() if self._process else 0.0
        self.cpu_s = after - before

    async def _send_request(self, http: aiohttp.ClientSession) -> None:
        begin_s = time.perf_counter()
        async with http.post(self._url, data=b"?", headers=HEADERS) as resp:
            await resp.read()
            if resp.status != aiohttp.http.HTTPStatus.OK:
                raise RuntimeError(f"{self._url}: {resp.status}")
        self.latencies_ms.append((time.perf_counter() - begin_s) * 1000)

    def quantile(self, fraction: float) -> float:
        latencies_ms = sorted(self.latencies_ms)
        return latencies_ms[int(len(latencies_ms) * fraction)]


async def _measure() -> tuple[dict[str, list[_LoadRun]], dict[str, int]]:
    with tempfile.TemporaryDirectory() as folder:
        async with Site(Path(folder)) as site:
            await site.add_targets(2, "tally")
            await site.add_daemons(1, "--log-level=WARNING")
            await site.wait_ready()
            await site.call(
                "POST",
                "/api/config",
                {
                    "expected": 0,
                    "author": "bench",
                    "template": TEMPLATE,
                    "parameters": PARAMETERS,
                },
            )
            await asyncio.sleep(1)
            daemon = site.daemons["entry-0"]
            memory_kb = {"idle": daemon.memory_kb()}
            target = site.targets["target-0"].url
            pass_through = _start_pass_through(site, target)
            await site._wait_until_up(f"{pass_through.url}/health")
            routes = {
                "direct": (f"{target}/x", None),
                "pass-through": (f"{pass_through.url}/x", pass_through),
                "daemon": (f"{daemon.url}/v1/tally/x", daemon),
            }
            runs: dict[str, list[_LoadRun]] = {route: [] for route in ROUTES}
            for _ in range(ROUNDS):
                for route in ROUTES:
                    run = _LoadRun(*routes[route])
                    await run.send_requests()
                    runs[route].append(run)
            memory_kb["under load"] = daemon.memory_kb()
            return runs, memory_kb


def _start_pass_through(site: Site, target: str) -> Process:
    port = free_port()
    arguments = [
        "-m",
        "bench.passthrough",
        "--port",
        str(port),
        "--target",
        target,
    ]
    url = f"http://127.0.0.1:{port}"
    return site._start_process("pass-through", arguments, url)


def measure_section() -> Section:
    """Runs the benchmark and returns its section of the report."""
    runs, memory_kb = asyncio.run(_measure())
    rows = []
    figures: dict[str, tuple] = {}
    for route in ROUTES:
        p50 = statistics.median(r.quantile(0.5) for r in runs[route])
        p99 = statistics.median(r.quantile(0.99) for r in runs[route])
        cpu_s = statistics.median(r.cpu_s for r in runs[route])
        requests_per_cpu_s = (
            REQUESTS_PER_S * DURATION_S / cpu_s if cpu_s else float("nan")
        )
        figures[route] = (p50, p99, requests_per_cpu_s)
        rows.append(
            [route, f"{p50:.2f}", f"{p99:.2f}", f"{requests_per_cpu_s:.0f}"]
        )
    columns = ("way", "p50 ms", "p99 ms", "requests a processor second")
    pass_through_figures, daemon_figures = (
        figures["pass-through"],
        figures["daemon"],
    )
    bounds = [
        Bound.at_most(
            "p50 against pass-through",
            daemon_figures[0] / pass_through_figures[0],
            MAX_LATENCY_RATIO,
        ),
        Bound.at_most(
            "p99 against pass-through",
            daemon_figures[1] / pass_through_figures[1],
            MAX_LATENCY_RATIO,
        ),
        Bound.at_least(
            "requests a processor second against pass-through",
            daemon_figures[2] / pass_through_figures[2],
            MIN_CPU_EFFICIENCY_RATIO,
        ),
    ]
    body = (
        markdown_table(columns, rows)
        + "\n\nResident memory of the daemon: "
        + (
            ", ".join(f"{k} {v / 1024:.0f} MiB" for k, v in memory_kb.items())
            + "."
        )
    )
    return Section("path", "Request path", body, bounds)
