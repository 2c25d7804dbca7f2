"""Workers that have left hold nothing back, also if all nodes are lost."""

import asyncio
import collections
import unittest
from unittest import mock

import msgspec

from limpetyard.engine import RunEndKind
from limpetyard.jobs import JobSpec, Resources, StepSpec
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._site import QUEUE
from standins.platform._worker import WorkerModel
from tests.node.test_long_running import SETTLED_S

# How long a job may have nothing running although a task could run, seconds;
# and how long nodes that were all lost may take until one owns the cell.
LOST_S = 3.0
TAKEOVER_S = 2.0


def two_steps() -> JobSpec:
    """Returns a job whose second step follows the first."""
    need = Resources(1000, 500, 0)
    first = StepSpec(1, need, run_ms=6000)
    second = StepSpec(4, need, run_ms=6000, after=(0,))
    return JobSpec("1" * 16, QUEUE, "payload", (first, second))


class DepartedWorkerTest(unittest.TestCase):
    """All nodes are lost just after an idle worker has left."""

    def waited_s(self, leave) -> float:
        """Returns how long the second step waits after a loss of all nodes.

        Args:
            leave: Coroutine function that lets an idle worker leave.
        """

        async def main() -> float:
            site = SimulatedSite(3, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(two_steps()))
            await asyncio.sleep(1)
            workers = site.workers.values()
            busy = next(w for w in workers if w.running())
            await leave(next(w for w in workers if not w.running()))
            for host in site.hosts:
                await site.kill_node(host)
            (task,) = busy.running()
            busy.end_run(task, RunEndKind.DONE)
            await asyncio.sleep(0.5)
            for host in site.hosts:
                await site.start_node(host)
            since_ms = site.clock.now_ms()
            while not any(w.running() for w in workers):
                await asyncio.sleep(0.05)
            waited_s = (site.clock.now_ms() - since_ms) / 1000
            await asyncio.sleep(SETTLED_S + LOST_S)
            await site.query_state(two_steps().id)
            await site.stop()
            self.assertEqual(violations(site.history), [])
            return waited_s

        return run_in_virtual_time(main())

    def test_drained_worker(self):
        """LOST: tasks wait for a worker that had drained and was idle."""

        async def leave(worker) -> None:
            worker.drain(2000.0)
            await asyncio.sleep(2)
            worker.leave()
            await asyncio.sleep(0.5)

        self.assertLess(self.waited_s(leave), TAKEOVER_S + LOST_S)

    def test_worker_that_drains_on(self):
        """The worker is still there, and answers the new owner."""

        async def leave(worker) -> None:
            worker.drain(20_000.0)
            await asyncio.sleep(2)

        self.assertLess(self.waited_s(leave), TAKEOVER_S + LOST_S)

    def test_polls_of_a_drained_worker(self):
        """It is polled as other idle workers are, though it gets no lease."""
        polled: list[str] = []
        poll = WorkerModel.poll

        async def count(worker, order):
            polled.append(worker.entry.id)
            return await poll(worker, order)

        async def main() -> int:
            site = SimulatedSite(3, 4)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            site.workers["w-1"].drain(60_000.0)
            await asyncio.sleep(SETTLED_S)
            polled.clear()
            for number in range(40):
                spec = msgspec.structs.replace(two_steps(), id=f"{number:016x}")
                self.assertTrue(await site.submit(spec))
                await asyncio.sleep(0.1)
            counts = collections.Counter(polled)
            await site.stop()
            return counts["w-1"]

        with mock.patch.object(WorkerModel, "poll", count):
            polls = run_in_virtual_time(main())
        self.assertGreaterEqual(polls, 3)
        self.assertLessEqual(polls, 12)


if __name__ == "__main__":
    unittest.main()
