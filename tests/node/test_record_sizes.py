"""Records and appends beyond the limits of the store."""

import asyncio

from limpetyard.node._store_layout import JOBS_TOPIC, PLACES_KEY
from limpetyard.store import StoreLimits
from standins.platform import SimulatedSite
from standins.platform._site import DEADLINE_MS
from tests.node.test_whole_site import SiteTestCase, job

JOBS = range(30)

# Holds a few records of such jobs.
CALL_BYTES = 1200

# Time after which an ended job has been forgotten.
FORGOTTEN_S = 130


class CallLimitTest(SiteTestCase):
    """What is to be stored at once exceeds one append."""

    def test_takeover_with_many_jobs(self):
        """Every append of the owner was refused, for ever: LOST."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, JOBS, run_ms=2000)
            # As after an owner of a build that stores no places: all jobs
            # change at the takeover.
            site.store.write(JOBS_TOPIC, PLACES_KEY, None)
            site.store.limits = StoreLimits(call_bytes=CALL_BYTES)
            await site.kill_node(site.owner())
            await self.complete(site, JOBS)
            self.assertIn(
                PLACES_KEY, site.store.partition(JOBS_TOPIC, 0).latest
            )

        self.run_scenario(scenario, workers=20)

    def test_many_callers(self):
        """All jobs that were handed in at one time were refused."""

        async def scenario(site: SimulatedSite) -> None:
            site.store.limits = StoreLimits(call_bytes=CALL_BYTES)
            service = site.owner().job_service
            specs = [job(number) for number in JOBS]
            site.history.submitted.update((spec.id, spec) for spec in specs)
            await asyncio.gather(
                *(service.submit(spec, DEADLINE_MS) for spec in specs)
            )
            await self.complete(site, JOBS)

        self.run_scenario(scenario, workers=20)

    def test_many_ended_jobs(self):
        """Records of ended jobs were never deleted."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, JOBS, run_ms=100)
            await self.complete(site, JOBS)
            site.store.limits = StoreLimits(call_bytes=CALL_BYTES)
            await site.kill_node(site.owner())
            await asyncio.sleep(FORGOTTEN_S)
            keys = site.store.partition(JOBS_TOPIC, 0).latest
            self.assertEqual([k for k in keys if k[:2] in ("s/", "p/")], [])

        self.run_scenario(scenario)
