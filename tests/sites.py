"""Test case with a site of real processes."""

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
PARTNER_HEADERS = {"X-Limpetyard-Partner": "north"}


class SiteTest(unittest.IsolatedAsyncioTestCase):
    """Test case that runs daemons and stand-ins as processes.

    Attributes:
        site: The processes; they end with the test.
        daemon_count: Number of daemons to start.
        worker_count: Number of workers to start.
        target_count: Number of targets of the service "tally" to start.
        flags: Command-line flags of every daemon.
    """

    daemon_count = 2
    worker_count = 3
    target_count = 2
    flags: tuple[str, ...] = ("--log-level=WARNING", "--drain-ms=300")

    async def asyncSetUp(self):  # noqa: N802
        """Starts the processes and publishes a configuration."""
        directory = tempfile.TemporaryDirectory(prefix="limpetyard-")
        self.addCleanup(directory.cleanup)
        self.site = Site(Path(directory.name))
        await self.enterAsyncContext(self.site)
        if self.target_count:
            await self.site.add_targets(self.target_count, "tally")
        if self.worker_count:
            await self.site.add_workers(self.worker_count)
        await self.site.add_daemons(self.daemon_count, *self.flags)
        await self.site.wait_ready()
        status, reply = await self.publish(0)
        self.assertEqual(status, 200, reply)

    async def publish(
        self, expected: int, parameters: str = PARAMETERS, node: str = ""
    ) -> tuple[int, dict]:
        """Publishes a configuration and waits until all have it in force."""
        status, reply = await self.site.call(
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
            await self.wait_in_force(reply["version"])
        return status, reply

    async def set_zone(
        self, expected: int, zone: str, out: bool, node: str = ""
    ) -> tuple[int, dict]:
        """Takes a zone out of service or returns it to service."""
        body = {"expected": expected, "author": "test", "out": out}
        return await self.site.call("POST", f"/api/zones/{zone}", body, node)

    async def submit(
        self, job: str, class_name: str = "reconciliation", count: int = 1
    ) -> tuple[int, dict]:
        """Submits a job of `count` tasks."""
        body = {
            "id": job,
            "partner": "north",
            "class_name": class_name,
            "count": count,
        }
        return await self.site.call("POST", "/api/jobs", body)

    async def wait_in_force(self, version: int) -> None:
        """Waits until every daemon has the version or a newer one in force."""
        for node in self.site.daemons:
            await self.wait_until(lambda n=node: self._has_version(n, version))

    async def wait_job_done(self, job: str, timeout_s: float = 30) -> None:
        """Waits until a job has ended."""

        async def has_ended() -> bool:
            _, reply = await self.site.call("GET", f"/api/jobs/{job}")
            return reply.get("state") == "over"

        await self.wait_until(has_ended, timeout_s)

    async def wait_until(self, condition, timeout_s: float = 20) -> None:
        """Polls a condition until its awaited result is true.

        Raises:
            TimeoutError: If it is still false after `timeout_s`.
        """
        with self.site.described():
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(0.05)

    async def find_owner(self) -> str:
        """Returns the name of a daemon that owns a cell, or ""."""
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
        _, reply = await self.site.call("GET", "/api/config", None, node)
        return reply.get("in_force", -1) >= version
