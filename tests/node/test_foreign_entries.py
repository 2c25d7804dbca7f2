"""Entries of other writers among the directory entries of workers."""

import asyncio
import unittest
from unittest import mock

import msgspec

from limpetyard.jobs import JobSpec, StepSpec
from limpetyard.node import Queue, SiteConfig
from limpetyard.platform._worker_entries import parse_worker_entry
from limpetyard.store import StoredRecord
from standins.platform import SimulatedSite, _site
from standins.platform._site import QUEUE
from tests.node.test_whole_site import NODE_RECOVERY_MS, SMALL, SiteTestCase
from tests.platform.test_worker_entries import malformed_entries

OTHER_PREFIX = "other-"

_read_entry = _site._read_entry


def read_entry(record: StoredRecord):
    """Decodes the entries of other writers as the platform's adapter does."""
    if record.key.startswith(OTHER_PREFIX):
        return parse_worker_entry(record)
    return _read_entry(record)


class ForeignEntryTest(SiteTestCase):
    """The owner goes on whatever another writer leaves in the directory."""

    def setUp(self):
        """Reads the entries of other writers with the platform's adapter."""
        patch = mock.patch.object(_site, "_read_entry", read_entry)
        self.enterContext(patch)

    def write_malformed_entries(self, site: SimulatedSite) -> None:
        """Writes all malformed entries."""
        for number, value in enumerate(malformed_entries().values()):
            site.store.write("workers", f"{OTHER_PREFIX}{number}", value)

    async def check_scheduling(self, site: SimulatedSite, job_id: str) -> None:
        """Completes a job that needs a worker that is listed from now on."""
        site.add_worker(9)
        step = StepSpec(7, SMALL, run_ms=200, per_worker=1)
        self.assertTrue(
            await site.submit(JobSpec(job_id, QUEUE, "payload", (step,)))
        )
        state = await site.wait_for(job_id, ("completed",), 5000)
        self.assertEqual(state, "completed")

    def test_while_following(self):
        """An entry ended each ownership that read it: LOST."""

        async def scenario(site: SimulatedSite) -> None:
            owner = site.owner().node._owners[0]
            for number, value in enumerate(malformed_entries().values()):
                key = f"{OTHER_PREFIX}{number}"
                site.store.write("workers", key, value)
                await asyncio.sleep(0.3)
                self.assertTrue(owner.deciding, value[:200])
            self.assertFalse(
                [w for w in owner.engine.workers if w.startswith(OTHER_PREFIX)]
            )
            await self.check_scheduling(site, "1" * 16)

        self.run_scenario(scenario)

    def test_at_a_takeover(self):
        """An entry ended each ownership that loaded it: LOST."""

        async def scenario(site: SimulatedSite) -> None:
            self.write_malformed_entries(site)
            await site.kill_node(site.owner())
            await asyncio.sleep((1000 + NODE_RECOVERY_MS) / 1000)
            owner = site.owner().node._owners[0]
            await self.check_scheduling(site, "1" * 16)
            self.assertTrue(owner.deciding)

        self.run_scenario(scenario)

    def add_silent_workers(
        self, site: SimulatedSite, service: str, count: int
    ) -> None:
        """Adds well-formed entries of workers that never reply."""
        for number in range(count):
            entry = msgspec.structs.replace(
                site.workers["w-0"].entry,
                id=f"a-{number}",
                service=service,
                address=f"10.9.{number // 200}.{number % 200}:80",
            )
            site._add_worker(entry)
            for host in site.hosts:
                host.worker_links[entry.id].cut = True

    async def check_takeover(self, site: SimulatedSite) -> None:
        """Kills the owner; inherited and new jobs must complete soon."""
        await self.submit(site, range(3))
        await site.kill_node(site.owner())
        at_ms = site.clock.now_ms()
        await self.complete(site, range(3))
        await self.submit(site, range(3, 4))
        await self.complete(site, range(3, 4))
        took_ms = site.clock.now_ms() - at_ms
        self.assertLess(took_ms, 2 * (2 * 500 + NODE_RECOVERY_MS))

    def test_service_of_no_queue(self):
        """Polls of workers of an unknown service held up a takeover."""

        async def scenario(site: SimulatedSite) -> None:
            self.add_silent_workers(site, "other", 200)
            await asyncio.sleep(3)
            await self.check_takeover(site)
            engine = site.owner().node._owners[0].engine
            self.assertIn("a-0", engine.workers)

        self.run_scenario(scenario)

    def test_worker_that_never_replied(self):
        """Inherited tasks waited for a worker that no owner ever reached."""

        async def scenario(site: SimulatedSite) -> None:
            self.add_silent_workers(site, _site.SERVICE, 1)
            await asyncio.sleep(3)
            await self.check_takeover(site)
            self.assertNotIn("w/a-0", site.store.partition("jobs", 0).latest)

        self.run_scenario(scenario)

    def test_service_that_is_added(self):
        """Workers of a service are used once a queue names it."""

        async def scenario(site: SimulatedSite) -> None:
            entry = msgspec.structs.replace(
                site.workers["w-0"].entry,
                id="a-0",
                service="added",
                address="10.9.0.0:80",
            )
            site._add_worker(entry)
            await asyncio.sleep(3)
            queue = msgspec.structs.replace(QUEUE, name="q2", service="added")
            config = SiteConfig(9, (Queue("host", "/q2/", queue),), 1 << 18)
            record = msgspec.msgpack.encode(config)
            site.store.write("operators", "config", record)
            await asyncio.sleep(1)
            job = JobSpec("1" * 16, queue, "payload", (StepSpec(1, SMALL),))
            self.assertTrue(await site.submit(job))
            state = await site.wait_for(job.id, ("completed",), 3000)
            self.assertEqual(state, "completed")

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
