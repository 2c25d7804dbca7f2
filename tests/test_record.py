"""The trace that a daemon records can be replayed."""

import tempfile
import unittest
from pathlib import Path

from limpetyard.scheduler import replay
from tests.sites import SiteTest


class RecordTest(SiteTest):
    """One daemon that records the inputs of its controllers."""

    daemon_count = 1
    worker_count = 2
    target_count = 0

    async def asyncSetUp(self):
        """Starts the daemon with a directory for traces."""
        folder = tempfile.TemporaryDirectory(prefix="limpetyard-traces-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.flags = (*self.flags, f"--record-dir={folder.name}")
        await super().asyncSetUp()

    async def test_replay_decides_the_same(self):
        """The replay makes the same placements and ends the same runs."""
        await self.submit("job", count=4)
        await self.wait_job_done("job")
        lines = (self.folder / "cell-0.jsonl").read_text().splitlines()
        result = replay(lines)
        self.assertEqual(len(result.placed), 4)
        self.assertEqual(
            sorted(result.ended), [f"job/{n}@1 finish" for n in range(4)]
        )


if __name__ == "__main__":
    unittest.main()
