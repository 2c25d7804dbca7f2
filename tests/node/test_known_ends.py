"""What an owner knows of ends that are not stored, on whole sites."""

import asyncio
import unittest

from limpetyard.engine import RunEndKind
from standins.platform import SimulatedSite, violations
from tests.node.test_long_running import (
    SETTLED_S,
    long_running_job,
)
from tests.node.test_unstarted_doubts import DoubtTestCase, until


class CheckpointTest(DoubtTestCase):
    """A worker with the end of a run answers the next owner a little late."""

    def test_stopped_run(self):
        """A task starts from an older checkpoint than the stopped run saved.

        The end is not stored when the cell passes on. Its worker answers the
        next owner after 0.1 s.
        """
        checkpoints: list[tuple[int, str]] = []

        async def hook(site, dispatcher, worker, effect) -> None:
            checkpoints.append((effect.run, effect.checkpoint))
            if effect.run == 2:
                await asyncio.Event().wait()
            await self.send(dispatcher, worker, effect)

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            busy = next(w for w in site.workers.values() if w.running())
            previous = site.owner()
            (task,) = busy.running()
            engine = previous.node._owners[0].engine
            previous.store_link.cut = True
            busy.end_run(task, RunEndKind.STOPPED)
            await until(lambda: engine.find_task(task).checkpoint)
            for host in site.hosts:
                if host is not previous:
                    host.worker_links[busy.entry.id].delay_ms = 50.0
            site.pass_cell_on()
            await asyncio.sleep(8)

        site = self.run_site(scenario, hook)
        self.assertEqual(violations(site.history), [])
        _, checkpoint = next(c for c in checkpoints if c[0] > 2)
        self.assertEqual(checkpoint, "saved")


if __name__ == "__main__":
    unittest.main()
