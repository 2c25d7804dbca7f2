"""Sites of processes for tests."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from standins.site import Site

TEMPLATE = """
[service.tally]
idempotent = false
deadline_ms = 3000
max_body_bytes = 1000

[service.lookup]
idempotent = true
deadline_ms = 3000

[task.reconciliation]
cores = 4.0
memory_mb = 2048
run_ms = 1500

[task.urgent-count]
cores = 2.0
run_ms = 60000
latency_critical = true

[task.giant]
cores = 4000.0
"""
PARAMETERS = """
cells = 1

[partner.north]
weight = 2.0

[partner.south]
weight = 1.0
"""
PARTNER = {"X-Limpetyard-Partner": "north"}


class SiteTest(unittest.IsolatedAsyncioTestCase):
    """A test on processes; `site` is up and ends with the test.

    Attributes:
        site: The processes.
        daemon_count: How many daemons there are.
        worker_count: How many workers there are.
        target_count: How many targets serve "tally".
        flags: Flags of every daemon.
    """

    daemon_count = 2
    worker_count = 3
    target_count = 2
    flags: tuple[str, ...] = ("--log-level=WARNING", "--drain-ms=300")

    async def asyncSetUp(self):  # noqa: N802
        """Starts the processes and publishes a configuration."""
        folder = tempfile.TemporaryDirectory(prefix="limpetyard-")
        self.addCleanup(folder.cleanup)
        self.site = Site(Path(folder.name))
        await self.enterAsyncContext(self.site)
        if self.target_count:
            await self.site.add_targets(self.target_count, "tally")
        if self.worker_count:
            await self.site.add_workers(self.worker_count)
        await self.site.add_daemons(self.daemon_count, *self.flags)
        await self.site.ready()
        status, answer = await self.publish(0)
        self.assertEqual(status, 200, answer)

    async def publish(
        self, expected: int, parameters: str = PARAMETERS, node: str = ""
    ) -> tuple[int, dict]:
        """Publishes the configuration and waits until all have it."""
        status, answer = await self.site.call(
            "POST",
            "/api/config",
            {
                "expected": expected,
                "author": "test",
                "template": TEMPLATE,
                "parameters": parameters,
            },
            node,
        )
        if status == 200:
            await self.in_force(answer["version"])
        return status, answer

    async def set_zone(
        self, expected: int, zone: str, out: bool, node: str = ""
    ) -> tuple[int, dict]:
        """Takes a zone out or brings it back."""
        order = {"expected": expected, "author": "test", "out": out}
        return await self.site.call("POST", f"/api/zones/{zone}", order, node)

    async def submit(
        self, job: str, class_name: str = "reconciliation", count: int = 1
    ) -> tuple[int, dict]:
        """Submits a job."""
        order = {
            "id": job,
            "partner": "north",
            "class_name": class_name,
            "count": count,
        }
        return await self.site.call("POST", "/api/jobs", order)

    async def in_force(self, version: int) -> None:
        """Waits until every daemon has the configuration."""
        for node in self.site.daemons:
            await self.until(lambda n=node: self._has_version(n, version))

    async def job_over(self, job: str, timeout_s: float = 30) -> None:
        """Waits until a job is over."""

        async def over() -> bool:
            _, answer = await self.site.call("GET", f"/api/jobs/{job}")
            return answer.get("state") == "over"

        await self.until(over, timeout_s)

    async def until(self, condition, timeout_s: float = 20) -> None:
        """Waits until an awaitable condition is true."""
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(0.05)

    async def find_owner(self) -> str:
        """Returns the node that owns the first cell, or ""."""
        for node in self.site.daemons:
            try:
                _, status = await self.site.call(
                    "GET", "/api/status", None, node
                )
            except OSError:
                continue
            for cell in status["cells"]:
                if cell["status"] == "owning":
                    return node
        return ""

    async def _has_version(self, node: str, version: int) -> bool:
        _, answer = await self.site.call("GET", "/api/config", None, node)
        return answer.get("in_force", -1) >= version
