"""A small workspace that loses a daemon and a zone, and what came of it."""

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
WORK_END_S = 25
ZONE_GRACE_MS = 3000
KILLED = "entry-1"
ZONE = "zone-1"
JOBS = (
    ("ledger-north", "north", "reconciliation", 100),
    ("ledger-south", "south", "reconciliation", 50),
    ("herd-north", "north", "herd-watch", 6),
)


class Demo:
    """The demonstration on one site."""

    def __init__(self, site: Site):
        self._site = site
        self._clock = BootClock()
        self._callers = LoadGenerator(site)
        self._config_ms = 0.0
        self._out = checks.ZoneOutage(ZONE, 0.0, 0.0)

    async def run(self) -> bool:
        """Runs everything and returns whether all promises held."""
        site = self._site
        _say("starting 6 targets, 9 workers and 3 daemons in 3 zones")
        await site.add_targets(6, "headcount")
        await site.add_workers(9, processes=3)
        await site.add_daemons(
            3, "--lease-ms=2000", "--drain-ms=300", "--log-level=WARNING"
        )
        await site.wait_ready()
        await self._publish()
        await self._callers.refresh_ready()
        watch = asyncio.ensure_future(self._callers.watch())
        try:
            await asyncio.gather(
                self._callers.load("headcount", 120, LOAD_S, False),
                self._work(),
            )
            unfinished = await self._jobs_over()
        finally:
            watch.cancel()
            await self._callers.close()
        return await self._report(unfinished)

    async def _publish(self) -> None:
        order = {
            "expected": 0,
            "author": "demo",
            "template": TEMPLATE,
            "parameters": PARAMETERS,
        }
        await self._act("/api/config", order)
        _say(f"configuration in force after {self._config_ms:.0f} ms")

    async def _work(self) -> None:
        site = self._site
        await asyncio.sleep(1)
        for job, partner, class_name, count in JOBS:
            await self._submit(job, partner, class_name, count)
        _say(f"submitted {sum(job[3] for job in JOBS)} tasks in 3 jobs")
        await asyncio.sleep(4)
        site.daemons[KILLED].kill()
        _say(f"killed {KILLED}")
        await asyncio.sleep(2)
        site.start_daemon(KILLED)
        _say(f"replaced {KILLED}")
        await asyncio.sleep(2)
        await self._zone(True)
        await asyncio.sleep(6)
        await self._zone(False)

    async def _zone(self, out: bool) -> None:
        # The grace counts from the call, before it is accepted.
        now_ms = self._clock.now_ms()
        _, config = await self._site.call("GET", "/api/config")
        order = {
            "expected": config["version"],
            "author": "demo",
            "out": out,
        }
        await self._act(f"/api/zones/{ZONE}", order)
        if out:
            self._out = checks.ZoneOutage(ZONE, now_ms, float("inf"))
        else:
            self._out = checks.ZoneOutage(ZONE, self._out.from_ms, now_ms)
        _say(f"{ZONE} is {'out' if out else 'back'}")

    async def _act(self, path: str, order: dict) -> None:
        begin_ms = self._clock.now_ms()
        status, answer = await self._site.call("POST", path, order)
        if status != 200:
            raise RuntimeError(f"{path}: {answer}")
        for node in self._site.daemons:
            await self._in_force(node, answer["version"])
        took_ms = self._clock.now_ms() - begin_ms
        self._config_ms = max(self._config_ms, took_ms)

    async def _in_force(self, node: str, version: int) -> None:
        while True:
            _, config = await self._site.call("GET", "/api/config", None, node)
            if config.get("in_force", -1) >= version:
                return
            await asyncio.sleep(0.02)

    async def _submit(
        self, job: str, partner: str, class_name: str, count: int
    ) -> None:
        order = {
            "id": job,
            "partner": partner,
            "class_name": class_name,
            "count": count,
        }
        status, answer = await self._site.call("POST", "/api/jobs", order)
        if status != 200:
            raise RuntimeError(f"{job}: {answer}")

    async def _jobs_over(self) -> list[str]:
        left = [job[0] for job in JOBS]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WORK_END_S):
                while left:
                    _, job = await self._site.call(
                        "GET", f"/api/jobs/{left[0]}"
                    )
                    if job.get("state") == "over":
                        left.pop(0)
                    await asyncio.sleep(0.1)
        return left

    async def _report(self, unfinished: list[str]) -> bool:
        worker_events = await self._site.worker_events()
        records = (await self._site.target_records()).values()
        results = self._callers.results
        ran = checks.ran(records)
        finished = {h.task for h in worker_events if h.what == "finished"}
        tasks = {
            f"{job[0]}/{number}" for job in JOBS for number in range(job[3])
        }
        answered = [t for t in results if t.answered]
        sizes = dict.fromkeys(self._site.workers, WORKER_SIZE)
        counts = {
            "requests": len(results),
            "answered": len(answered),
            "doubled": len(checks.doubled(records))
            + len(checks.finished_twice(worker_events))
            + len(checks.overlaps(worker_events)),
            "lost": len(tasks - finished)
            + sum(t.id not in ran for t in answered),
            "false_not_run": sum(
                t.ran == "no" and t.id in ran for t in results
            ),
            "tasks_started": sum(h.what == "start" for h in worker_events),
            "tasks_finished": len(finished),
            "evictions": sum(h.what == "stopped" for h in worker_events),
            "overloads": len(checks.overloads(worker_events, sizes)),
            "zone_out_starts": len(
                checks.zone_outage_starts(
                    worker_events, [self._out], ZONE_GRACE_MS
                )
            ),
            "config_seconds": round(self._config_ms / MS_PER_SECOND, 3),
        }
        self._explain(counts, unfinished)
        print("demo", *(f"{key}={value}" for key, value in counts.items()))
        promises = (
            "doubled",
            "lost",
            "false_not_run",
            "overloads",
            "zone_out_starts",
        )
        return not any(counts[key] for key in promises)

    def _explain(self, counts: dict, unfinished: list[str]) -> None:
        results = self._callers.results
        took = sorted(t.took_ms for t in results if t.answered)
        broken = sum(t.status == 0 for t in results)
        unknown = sum(t.ran == "unknown" for t in results)
        _say("")
        _say("From the records of the stand-ins:")
        _say(f"  {counts['answered']} of {len(results)} requests were answered")
        _say(f"  {broken} lost their connection with the killed daemon")
        _say(f"  {unknown} were told that their outcome is unknown")
        if took:
            half, most = took[len(took) // 2], took[int(len(took) * 0.99)]
            _say(f"  half of them within {half:.0f} ms, 99 % in {most:.0f} ms")
        _say(
            f"  {counts['tasks_finished']} tasks finished,"
            f" {counts['evictions']} runs were evicted or cancelled"
        )
        if unfinished:
            _say(f"  not over in time: {', '.join(unfinished)}")


def _say(text: str) -> None:
    print(text, flush=True)


async def main() -> bool:
    """Runs the demonstration in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix="limpetyard-") as folder:
        async with Site(Path(folder)) as site:
            return await Demo(site).run()


if __name__ == "__main__":
    try:
        sys.exit(0 if asyncio.run(main()) else 1)
    except KeyboardInterrupt:
        sys.exit(130)
