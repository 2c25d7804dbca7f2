"""Tests of submissions, queries and cancellations through several queues."""

import asyncio

import msgspec

from limpetyard.errors import RequestError
from limpetyard.jobs import JobSpec, StepSpec
from standins.platform import SimulatedSite
from standins.platform._site import DEADLINE_MS, QUEUE
from tests.node.test_whole_site import SMALL, SiteTestCase

ID = f"{1:016x}"
OTHER = msgspec.structs.replace(QUEUE, name="other")


def job(run_ms: int = 4000) -> JobSpec:
    """Returns a job of the first queue."""
    return JobSpec(ID, QUEUE, "payload", (StepSpec(2, SMALL, run_ms),))


class OtherQueueTest(SiteTestCase):
    """Callers of a queue that use the id of another queue's job."""

    def service(self, site: SimulatedSite):
        """Returns the job service of a node that does not own the cell."""
        owner = site.owner()
        return next(
            host.job_service
            for host in site.hosts
            if host is not owner and host.job_service is not None
        )

    async def kill_owner(self, site: SimulatedSite) -> None:
        """Kills the node that owns the cell."""
        await site.kill_node(site.owner())

    async def taken_over(self, site: SimulatedSite) -> None:
        """Waits until another node owns the cell."""
        while site.owner() is None:
            await asyncio.sleep(0.1)

    async def assert_kind(self, kind: str, call) -> None:
        """Asserts the error of a call."""
        with self.assertRaises(RequestError) as caught:
            await call
        self.assertEqual(caught.exception.kind.value, kind)

    def test_query_and_cancel(self):
        """The job was shown to callers of the other queue, and cancelled."""

        async def scenario(site: SimulatedSite) -> None:
            await site.submit(job())
            hosts = [host.job_service for host in site.hosts]
            for service in hosts:
                await self.assert_kind(
                    "job_gone", service.state(ID, OTHER.name, DEADLINE_MS)
                )
                await self.assert_kind(
                    "job_gone", service.cancel(ID, OTHER.name, DEADLINE_MS)
                )
            await self.complete(site, range(1, 2))

        self.run_scenario(scenario)

    def test_cancel_while_owner_is_away(self):
        """A cancellation that cannot be checked cancels no other's job."""

        async def scenario(site: SimulatedSite) -> None:
            await site.submit(job())
            await asyncio.sleep(0.5)
            await self.kill_owner(site)
            await self.service(site).cancel(ID, OTHER.name, DEADLINE_MS)
            self.assertIsNone(site.owner())
            await self.complete(site, range(1, 2))

        self.run_scenario(scenario)

    def test_both_queues_cancel_while_owner_is_away(self):
        """The later cancellation does not replace that of the job's queue."""

        async def scenario(site: SimulatedSite) -> None:
            await site.submit(job())
            await asyncio.sleep(0.5)
            await self.kill_owner(site)
            self.assertTrue(await site.cancel(ID))
            await self.service(site).cancel(ID, OTHER.name, DEADLINE_MS)
            self.assertIsNone(site.owner())
            state = await site.wait_for(ID, ("cancelled", "completed"), 20_000)
            self.assertEqual(state, "cancelled")

        self.run_scenario(scenario)
