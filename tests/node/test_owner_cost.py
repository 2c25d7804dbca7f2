"""Work of an owner that grows with the number of workers."""

import asyncio
import unittest
from unittest import mock

from limpetyard.node import CellOwner
from limpetyard.node._predecessor import Predecessor
from limpetyard.store import StoredRecord
from standins.platform import SimulatedSite, run_in_virtual_time

WORKERS = 40
PIECES = 20


class OwnerCostTest(unittest.TestCase):
    """How often an owner looks at all workers."""

    def run_owner(self, scenario) -> None:
        """Runs a scenario with the owner of a site, after a takeover."""

        async def main() -> None:
            site = SimulatedSite(3, WORKERS)
            await site.start()
            await asyncio.sleep(3)
            await site.kill_node(site.owner())
            await asyncio.sleep(5)
            await scenario(site.owner().node._owners[0])
            await site.stop()

        run_in_virtual_time(main())

    def test_records_in_pieces(self):
        """Each piece of the workers' entries had all workers looked at.

        Their heartbeats took a tenth of the owner's processor (LOST).
        """

        async def scenario(owner: CellOwner) -> None:
            track = CellOwner._track_workers
            with mock.patch.object(
                CellOwner, "_track_workers", autospec=True, side_effect=track
            ) as tracked:
                for number in range(PIECES):
                    record = StoredRecord(number, f"gone-{number}", None)
                    owner._record_applier.apply_entries([record])
                await asyncio.sleep(0.05)
            self.assertGreaterEqual(tracked.call_count, 1)
            self.assertLessEqual(tracked.call_count, 3)

        self.run_owner(scenario)

    def test_bounds_of_all_workers(self):
        """What bounds all earlier owners was computed anew for each worker.

        It took the processor of a new owner until the bounds were known.
        """

        async def scenario(owner: CellOwner) -> None:
            end_ms = Predecessor._witnessed_end_ms
            with mock.patch.object(
                Predecessor,
                "_witnessed_end_ms",
                autospec=True,
                side_effect=end_ms,
            ) as computed:
                owner._apply_predecessor_bounds()
            self.assertEqual(len(owner.engine.workers), WORKERS)
            self.assertEqual(computed.call_count, 1)

        self.run_owner(scenario)


if __name__ == "__main__":
    unittest.main()
