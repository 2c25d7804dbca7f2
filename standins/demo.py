"""Demonstration: a small workspace loses a daemon and a zone under load.

The result is counted from the records of the stand-ins.
"""

import asyncio
import contextlib
import sys
import tempfile
from pathlib import Path

from limpetyard._clock import MS_PER_SECOND, BootClock
from standins import checks
from standins.load_generator import LoadGenerator
from standins.site import WORKER_SIZE, Site

TEMPLATE = """
[service.headcount]
idempotent = false
deadline_ms = 2000

[service.lookup]
idempotent = true
deadline_ms = 2000

[task.reconciliation]
cores = 4.0
memory_mb = 4096
run_ms = 5000

[task.herd-watch]
cores = 2.0
memory_mb = 1024
run_ms = 12000
latency_critical = true
"""
PARAMETERS = """
cells = 2

[partner.north]
weight = 2.0

[partner.south]
weight = 1.0
"""
LOAD_S = 20
JOBS_TIMEOUT_S = 25

# Starts in a zone are no violation until this long after it went out.
ZONE_GRACE_MS = 3000
KILLED_NODE = "entry-1"
OUTAGE_ZONE = "zone-1"

# Id, partner, class and number of tasks of each job.
JOBS = (
    ("ledger-north", "north", "reconciliation", 100),
    ("ledger-south", "south", "reconciliation", 50),
    ("herd-north", "north", "herd-watch", 6),
)


class Demo:
    """Runs the demonstration on a site and reports the result."""

    def __init__(self, site: Site):
        self._site = site
        self._clock = BootClock()
        self._load_generator = LoadGenerator(site)
        self._config_ms = 0.0
        self._outage = checks.ZoneOutage(OUTAGE_ZONE, 0.0, 0.0)

    async def run(self) -> bool:
        """Runs the scenario; returns whether no guarantee was violated."""
        site = self._site
        _print("starting 6 targets, 9 workers and 3 daemons in 3 zones")
        await site.add_targets(6, "headcount")
        await site.add_workers(9, processes=3)
        await site.add_daemons(
            3, "--lease-ms=2000", "--drain-ms=300", "--log-level=WARNING"
        )
        await site.wait_ready()
        await self._publish()
        await self._load_generator.refresh_ready()
        watch = asyncio.ensure_future(self._load_generator.watch())
        try:
            await asyncio.gather(
                self._load_generator.load("headcount", 120, LOAD_S, False),
                self._run_scenario(),
            )
            unfinished = await self._wait_for_jobs()
        finally:
            watch.cancel()
            await self._load_generator.close()
        return await self._report(unfinished)

    async def _publish(self) -> None:
        body = {
            "expected": 0,
            "author": "demo",
            "template": TEMPLATE,
            "parameters": PARAMETERS,
        }
        await self._apply_change("/api/config", body)
        _print(f"configuration in force after {self._config_ms:.0f} ms")

    async def _run_scenario(self) -> None:
        site = self._site
        await asyncio.sleep(1)
        for job, partner, class_name, count in JOBS:
            await self._submit(job, partner, class_name, count)
        _print(f"submitted {sum(job[3] for job in JOBS)} tasks in 3 jobs")
        await asyncio.sleep(4)
        site.daemons[KILLED_NODE].kill()
        _print(f"killed {KILLED_NODE}")
        await asyncio.sleep(2)
        site.start_daemon(KILLED_NODE)
        _print(f"replaced {KILLED_NODE}")
        await asyncio.sleep(2)
        await self._set_zone(True)
        await asyncio.sleep(6)
        await self._set_zone(False)

    async def _set_zone(self, out: bool) -> None:
        # The grace period starts at the call, not at its acceptance.
        now_ms = self._clock.now_ms()
        _, config = await self._site.call("GET", "/api/config")
        body = {
            "expected": config["version"],
            "author": "demo",
            "out": out,
        }
        await self._apply_change(f"/api/zones/{OUTAGE_ZONE}", body)
        if out:
            self._outage = checks.ZoneOutage(OUTAGE_ZONE, now_ms, float("inf"))
        else:
            self._outage = checks.ZoneOutage(
                OUTAGE_ZONE, self._outage.from_ms, now_ms
            )
        _print(f"{OUTAGE_ZONE} is {'out' if out else 'back'}")

    async def _apply_change(self, path: str, body: dict) -> None:
        begin_ms = self._clock.now_ms()
        status, reply = await self._site.call("POST", path, body)
        if status != 200:
            raise RuntimeError(f"{path}: {reply}")
        for node in self._site.daemons:
            await self._wait_in_force(node, reply["version"])
        took_ms = self._clock.now_ms() - begin_ms
        self._config_ms = max(self._config_ms, took_ms)

    async def _wait_in_force(self, node: str, version: int) -> None:
        while True:
            _, config = await self._site.call("GET", "/api/config", None, node)
            if config.get("in_force", -1) >= version:
                return
            await asyncio.sleep(0.02)

    async def _submit(
        self, job: str, partner: str, class_name: str, count: int
    ) -> None:
        body = {
            "id": job,
            "partner": partner,
            "class_name": class_name,
            "count": count,
        }
        status, reply = await self._site.call("POST", "/api/jobs", body)
        if status != 200:
            raise RuntimeError(f"{job}: {reply}")

    async def _wait_for_jobs(self) -> list[str]:
        unfinished = [job[0] for job in JOBS]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOBS_TIMEOUT_S):
                while unfinished:
                    _, job = await self._site.call(
                        "GET", f"/api/jobs/{unfinished[0]}"
                    )
                    if job.get("state") == "over":
                        unfinished.pop(0)
                    await asyncio.sleep(0.1)
        return unfinished

    async def _report(self, unfinished: list[str]) -> bool:
        worker_events = await self._site.worker_events()
        records = (await self._site.target_records()).values()
        results = self._load_generator.results
        executed = checks.executed_requests(records)
        finished = {
            event.task for event in worker_events if event.what == "finished"
        }
        tasks = {
            f"{job[0]}/{number}" for job in JOBS for number in range(job[3])
        }
        answered = [result for result in results if result.answered]
        sizes = dict.fromkeys(self._site.workers, WORKER_SIZE)
        counts = {
            "requests": len(results),
            "answered": len(answered),
            "doubled": len(checks.duplicate_requests(records))
            + len(checks.finished_twice(worker_events))
            + len(checks.overlaps(worker_events)),
            "lost": len(tasks - finished)
            + sum(result.id not in executed for result in answered),
            "false_not_run": sum(
                result.ran == "no" and result.id in executed
                for result in results
            ),
            "tasks_started": sum(
                event.what == "start" for event in worker_events
            ),
            "tasks_finished": len(finished),
            "evictions": sum(
                event.what == "stopped" for event in worker_events
            ),
            "overloads": len(checks.overloads(worker_events, sizes)),
            "zone_out_starts": len(
                checks.zone_outage_starts(
                    worker_events, [self._outage], ZONE_GRACE_MS
                )
            ),
            "config_seconds": round(self._config_ms / MS_PER_SECOND, 3),
        }
        self._print_summary(counts, unfinished)
        print("demo", *(f"{key}={value}" for key, value in counts.items()))
        guarantees = (
            "doubled",
            "lost",
            "false_not_run",
            "overloads",
            "zone_out_starts",
        )
        return not any(counts[key] for key in guarantees)

    def _print_summary(self, counts: dict, unfinished: list[str]) -> None:
        results = self._load_generator.results
        latencies_ms = sorted(
            result.took_ms for result in results if result.answered
        )
        disconnected = sum(result.status == 0 for result in results)
        unknown = sum(result.ran == "unknown" for result in results)
        _print("")
        _print("From the records of the stand-ins:")
        _print(
            f"  {counts['answered']} of {len(results)} requests were answered"
        )
        _print(f"  {disconnected} lost their connection to the killed daemon")
        _print(f"  {unknown} got the response that their outcome is unknown")
        if latencies_ms:
            median_ms, p99_ms = (
                latencies_ms[len(latencies_ms) // 2],
                latencies_ms[int(len(latencies_ms) * 0.99)],
            )
            _print(
                f"  half of them within {median_ms:.0f} ms,"
                f" 99 % in {p99_ms:.0f} ms"
            )
        _print(
            f"  {counts['tasks_finished']} tasks finished,"
            f" {counts['evictions']} runs were evicted or cancelled"
        )
        if unfinished:
            _print(f"  not completed in time: {', '.join(unfinished)}")


def _print(text: str) -> None:
    print(text, flush=True)


async def main() -> bool:
    """Runs the demonstration with its logs in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="limpetyard-") as folder:
        async with Site(Path(folder)) as site:
            return await Demo(site).run()


if __name__ == "__main__":
    try:
        sys.exit(0 if asyncio.run(main()) else 1)
    except KeyboardInterrupt:
        sys.exit(130)
