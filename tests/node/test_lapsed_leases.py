"""An owner that is cut off takes a lease as over that its successor renews."""

import asyncio
import unittest

from standins.platform import SimulatedSite, run_in_virtual_time, violations
from tests.node.test_whole_site import job

SETTLED_S = 6

# Times between the loss of the worker and that of the store.
GAPS_S = (0.6, 2.7, 3.0, 3.3)


class LapsedLeaseTest(unittest.TestCase):
    """An owner that is cut off from the store counts leases as lapsed."""

    def run_scenario(self, run_ms: int, gap_s: float) -> list[str]:
        """Returns the violations.

        The owner loses a worker and then the store. Its successor reaches that
        worker. The owner still orders at a worker that only it reaches.
        """

        async def main() -> SimulatedSite:
            site = SimulatedSite(4, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(job(0, count=1, run_ms=run_ms)))
            await asyncio.sleep(1)
            owner = site.owner()
            spare = next(w for w in site.workers.values() if not w.running())
            for host in site.hosts:
                for worker_id, link in host.worker_links.items():
                    if (worker_id == spare.entry.id) != (host is owner):
                        link.cut = True
            await asyncio.sleep(gap_s)
            owner.store_link.cut = owner.peer_link.cut = True
            await asyncio.sleep(12)
            await site.stop()
            return site

        site = run_in_virtual_time(main())
        return violations(site.history, finished=False)

    def test_run_that_has_ended(self):
        """TWICE: the successor has acknowledged the end of the task."""
        for gap_s in GAPS_S:
            with self.subTest(gap_s):
                self.assertEqual(self.run_scenario(4000, gap_s), [])

    def test_run_that_goes_on(self):
        """TWICE: the successor has renewed the lease of the worker."""
        for gap_s in GAPS_S:
            with self.subTest(gap_s):
                self.assertEqual(self.run_scenario(15_000, gap_s), [])


if __name__ == "__main__":
    unittest.main()
