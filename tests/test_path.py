"""End-to-end test of requests, tasks and zones with separate processes."""

import collections
import unittest

from standins import checks
from tests.sites import PARTNER_HEADERS, SiteTest

# Tasks of 2 cores that fill two workers of 32 cores.
FILLER_COUNT = 32
AFTER_COUNT = 24


class WholePathTest(SiteTest):
    """Requests, a job, and taking a zone out and back in."""

    async def test_request_reaches_a_target(self):
        """A request through any daemon gets a target's response."""
        for node, daemon in self.site.daemons.items():
            headers = {**PARTNER_HEADERS, "X-Request-Id": node}
            async with self.site.http.post(
                f"{daemon.url}/v1/tally/herd?x=1", data=b"7", headers=headers
            ) as resp:
                self.assertEqual(resp.status, 200)
                self.assertEqual(await resp.text(), f"{node}:7")

    async def test_task_runs_once(self):
        """Every task of a job finishes exactly once."""
        status, _ = await self.submit("season", count=12)
        self.assertEqual(status, 200)
        await self.wait_job_done("season")
        worker_events = await self.site.worker_events()
        finished = [e.task for e in worker_events if e.what == "finished"]
        self.assertEqual(len(finished), 12)
        self.assertEqual(checks.overlaps(worker_events), [])

    async def test_zone_out_and_back(self):
        """No task starts in a zone that is out; tasks start once it is back."""
        status, answer = await self.set_zone(1, "zone-0", True)
        self.assertEqual((status, answer), (200, {"version": 2}))
        await self.wait_in_force(2)
        await self.submit("while-out", count=6)
        await self.wait_job_done("while-out")
        # These tasks leave no room in the other zones and outlast the test, so
        # the zone that is back has to take all tasks of the next job.
        await self.submit("filler", "urgent-count", FILLER_COUNT)
        await self.wait_until(self._filler_started)
        zones = await self._start_zones()
        self.assertNotIn("zone-0", set().union(*zones.values()))
        status, answer = await self.set_zone(2, "zone-0", False)
        self.assertEqual((status, answer), (200, {"version": 3}))
        await self.submit("after", count=AFTER_COUNT)
        await self.wait_job_done("after")
        zones = await self._start_zones("after")
        self.assertEqual(list(zones.values()), [{"zone-0"}] * AFTER_COUNT)

    async def _filler_started(self) -> bool:
        return len(await self._start_zones("filler")) == FILLER_COUNT

    async def _start_zones(self, job: str = "") -> dict[str, set[str]]:
        """Returns the zones in which each task of a job started, by task."""
        zones = collections.defaultdict(set)
        for event in await self.site.worker_events():
            if event.what == "start" and event.task.startswith(job):
                zones[event.task].add(event.zone)
        return zones


if __name__ == "__main__":
    unittest.main()
