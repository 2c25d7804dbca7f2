"""A request straight to a target, through a pass-through, through a daemon."""

import asyncio
import random
import statistics
import tempfile
import time
from pathlib import Path

import aiohttp

from bench.report import Bound, Section, table
from standins.site import Process, Site, free_port

RATE = 250.0
SECONDS = 6
ROUNDS = 3
WORK_MS = "5"
LATENCY_TARGET = 1.25
PROCESSOR_TARGET = 0.8
TEMPLATE = "[service.tally]\ndeadline_ms = 5000\n"
PARAMETERS = "[partner.north]\n"
HEADERS = {"X-Limpetyard-Partner": "north", "X-Work-Ms": WORK_MS}
WAYS = ("direct", "pass-through", "daemon")


class _Run:
    """One load on one way."""

    def __init__(self, url: str, process: Process | None):
        self._url = url
        self._process = process
        self.took: list[float] = []
        self.cpu_s = 0.0

    async def load(self) -> None:
        rng = random.Random(0)
        connector = aiohttp.TCPConnector(limit=64)
        before = self._process.cpu_s() if self._process else 0.0
        async with aiohttp.ClientSession(connector=connector) as http:
            asked = []
            for _ in range(int(RATE * SECONDS)):
                asked.append(asyncio.ensure_future(self._one(http)))
                await asyncio.sleep(rng.expovariate(RATE))
            await asyncio.gather(*asked)
        after = self._process.cpu_s() if self._process else 0.0
        self.cpu_s = after - before

    async def _one(self, http: aiohttp.ClientSession) -> None:
        begin = time.perf_counter()
        async with http.post(self._url, data=b"?", headers=HEADERS) as resp:
            await resp.read()
            if resp.status != aiohttp.http.HTTPStatus.OK:
                raise RuntimeError(f"{self._url}: {resp.status}")
        self.took.append((time.perf_counter() - begin) * 1000)

    def quantile(self, part: float) -> float:
        took = sorted(self.took)
        return took[int(len(took) * part)]


async def _measure() -> tuple[dict[str, list[_Run]], dict[str, int]]:
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
            memory = {"idle": daemon.memory_kb()}
            target = site.targets["target-0"].url
            passing = _passing(site, target)
            await site._wait_until_up(f"{passing.url}/health")
            ways = {
                "direct": (f"{target}/x", None),
                "pass-through": (f"{passing.url}/x", passing),
                "daemon": (f"{daemon.url}/v1/tally/x", daemon),
            }
            runs: dict[str, list[_Run]] = {way: [] for way in WAYS}
            for _ in range(ROUNDS):
                for way in WAYS:
                    run = _Run(*ways[way])
                    await run.load()
                    runs[way].append(run)
            memory["under load"] = daemon.memory_kb()
            return runs, memory


def _passing(site: Site, target: str) -> Process:
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
    return site._process("pass-through", arguments, url)


def section() -> Section:
    """Measures everything and returns the section of the report."""
    runs, memory = asyncio.run(_measure())
    rows = []
    figures: dict[str, tuple] = {}
    for way in WAYS:
        p50 = statistics.median(r.quantile(0.5) for r in runs[way])
        p99 = statistics.median(r.quantile(0.99) for r in runs[way])
        cpu_s = statistics.median(r.cpu_s for r in runs[way])
        a_second = RATE * SECONDS / cpu_s if cpu_s else float("nan")
        figures[way] = (p50, p99, a_second)
        rows.append([way, f"{p50:.2f}", f"{p99:.2f}", f"{a_second:.0f}"])
    columns = ("way", "p50 ms", "p99 ms", "requests a processor second")
    base, mine = figures["pass-through"], figures["daemon"]
    bounds = [
        Bound.most(
            "p50 against pass-through", mine[0] / base[0], LATENCY_TARGET
        ),
        Bound.most(
            "p99 against pass-through", mine[1] / base[1], LATENCY_TARGET
        ),
        Bound.least(
            "requests a processor second against pass-through",
            mine[2] / base[2],
            PROCESSOR_TARGET,
        ),
    ]
    body = (
        table(columns, rows)
        + "\n\nResident memory of the daemon: "
        + (
            ", ".join(f"{k} {v / 1024:.0f} MiB" for k, v in memory.items())
            + "."
        )
    )
    return Section("path", "Request path", body, bounds)
