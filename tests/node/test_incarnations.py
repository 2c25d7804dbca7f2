"""Workers that come back smaller, before their directory entry is written."""

import asyncio
import unittest

import msgspec

from limpetyard.engine import WorkerEntry
from limpetyard.jobs import Resources
from standins.platform import SimulatedSite
from standins.platform._history import RunStarted
from tests.node.test_whole_site import SiteTestCase


class SmallerIncarnationTest(SiteTestCase):
    """The only worker of 8 cores comes back with 2, unknown to the store."""

    def return_smaller(self, site: SimulatedSite) -> None:
        """Restarts the worker; the store keeps the entry from before."""
        worker = site.workers["w-0"]
        worker.reaches_store = False
        worker.crash()
        worker.entry = msgspec.structs.replace(
            worker.entry, capacity=Resources(2000, 32_000, 0)
        )
        worker.restart()

    def starts(self, site: SimulatedSite) -> int:
        """Returns the number of starts on the present incarnation."""
        born = site.workers["w-0"].entry.born
        starts = site.history.of(RunStarted)
        return sum(entry.born == born for entry in starts)

    def recorded(self, site: SimulatedSite) -> tuple[int, int]:
        """Returns incarnation and cores in the record of the worker."""
        records = site.store.partition("jobs", 0).latest
        entry = msgspec.msgpack.decode(records["w/w-0"].value, type=WorkerEntry)
        return entry.born, entry.capacity.cores_milli

    def check(self, take_over: bool) -> None:
        """Lets tasks wait until the store knows the incarnation."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, range(4), run_ms=800)
            await asyncio.sleep(0.3)
            self.return_smaller(site)
            if take_over:
                await site.kill_node(site.owner())
            await asyncio.sleep(2.5)
            worker = site.owner().node._owners[0].engine.workers["w-0"]
            self.assertEqual((worker.born, worker.token_confirmed), (2, True))
            self.assertEqual(self.starts(site), 0)
            self.assertEqual(self.recorded(site), (1, 8000))
            site.workers["w-0"].reaches_store = True
            await self.complete(site, range(4))
            self.assertEqual(self.recorded(site), (2, 2000))

        self.run_scenario(scenario, workers=1)

    def test_same_owner(self):
        """Tasks started by the former capacity: LIMIT.

        The record kept the former entry for good, for a later owner to use.
        """
        self.check(take_over=False)

    def test_new_owner(self):
        """A new owner reads the former entry and started by it: LIMIT."""
        self.check(take_over=True)


if __name__ == "__main__":
    unittest.main()
