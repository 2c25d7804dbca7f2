"""Places of long-running tasks that are stored, but never ordered."""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from limpetyard.engine import Worker
from limpetyard.engine._effects import Start
from limpetyard.engine._worker import WorkerRun
from limpetyard.node._order_dispatch import OrderDispatcher
from standins.platform import SimulatedSite, run_in_virtual_time, violations
from standins.platform._history import RunStarted
from standins.platform._worker import WorkerModel
from tests.node.test_long_running import (
    SETTLED_S,
    fail_task,
    long_running_job,
    newest_owner,
)

# Time from the grant of a lease for which runs may exist, on any clock.
LEASE_BOUND_MS = 5200

OWNERS = 3


class StoredPlaceChainTest(unittest.TestCase):
    """Owners in turn lose the cell between a stored place and its order."""

    def run_chain(
        self, lose_worker: Callable[[WorkerModel], None]
    ) -> tuple[SimulatedSite, list[float]]:
        """Loses the cell, and the worker of the place, several times.

        Returns:
            The site, and how long after the first loss each run started.
        """
        stored: asyncio.Queue[str] = asyncio.Queue()
        send_start = OrderDispatcher._send_start
        withheld = 0

        async def withhold(
            dispatcher: OrderDispatcher, worker: Worker, effect: Start
        ) -> None:
            nonlocal withheld
            if effect.run == 1 or withheld == OWNERS:
                await send_start(dispatcher, worker, effect)
                return
            withheld += 1
            stored.put_nowait(worker.id)
            await asyncio.Event().wait()

        async def main() -> tuple[SimulatedSite, float]:
            site = SimulatedSite(5, 10)
            await site.start()
            await asyncio.sleep(SETTLED_S)
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            fail_task(site)
            lost_ms = []
            for _ in range(OWNERS):
                worker = site.workers[await stored.get()]
                former = newest_owner(site)
                site.pass_cell_on()
                while former.node.owns_cell():
                    await asyncio.sleep(0.001)
                lost_ms.append(site.clock.now_ms())
                lose_worker(worker)
            await asyncio.sleep(20)
            await site.stop()
            return site, lost_ms[0]

        with mock.patch.object(OrderDispatcher, "_send_start", withhold):
            site, lost_ms = run_in_virtual_time(main())
        starts = [start.at_ms for start in site.history.of(RunStarted)]
        return site, [at_ms - lost_ms for at_ms in starts[1:]]

    def test_workers_that_are_lost(self):
        """LOST: a task waited for three leases of workers, one by one.

        No worker had ever got an order for it.
        """
        site, waits_ms = self.run_chain(WorkerModel.crash)
        self.assertEqual(violations(site.history), [])
        self.assertEqual(len(waits_ms), 1)
        self.assertLess(waits_ms[0], LEASE_BOUND_MS)

    def test_workers_that_stay(self):
        """The chain itself costs no lease while workers reply."""
        site, waits_ms = self.run_chain(lambda worker: None)
        self.assertEqual(violations(site.history), [])
        self.assertEqual(len(waits_ms), 1)
        self.assertLess(waits_ms[0], LEASE_BOUND_MS)


class SentOrderTest(unittest.TestCase):
    """The owner loses the cell before a start order is answered."""

    def run_scenario(self) -> list[str]:
        """Returns the violations.

        A worker executes an order whose answer is lost. No other node reaches
        the worker, which keeps the run until its lease has expired.
        """
        sent: asyncio.Queue[str] = asyncio.Queue()
        send_start = OrderDispatcher._send_start

        async def main() -> SimulatedSite:
            site = SimulatedSite(3, 4)

            async def lose_reply(
                dispatcher: OrderDispatcher, worker: Worker, effect: Start
            ) -> None:
                if effect.run == 2:
                    link = site.owner().worker_links[worker.id]
                    link.reply_loss_rate = 1.0
                    sent.put_nowait(worker.id)
                await send_start(dispatcher, worker, effect)

            with mock.patch.object(OrderDispatcher, "_send_start", lose_reply):
                await site.start()
                await asyncio.sleep(SETTLED_S)
                self.assertTrue(await site.submit(long_running_job(1)))
                await asyncio.sleep(SETTLED_S)
                fail_task(site)
                worker = site.workers[await sent.get()]
                while not worker.running():
                    await asyncio.sleep(0.001)
                for host in site.hosts:
                    host.worker_links[worker.entry.id].cut = True
                site.pass_cell_on()
                await asyncio.sleep(10)
                await site.stop()
            return site

        site = run_in_virtual_time(main())
        self.assertEqual(len(site.history.of(RunStarted)), 3)
        return violations(site.history)

    def test_order_without_an_answer(self):
        """TWICE: the next owner takes the task to have no run."""
        self.assertEqual(self.run_scenario(), [])

    def test_handover_that_omits_orders(self):
        """If sent orders are taken for none, the task runs twice."""
        with mock.patch.object(WorkerRun, "may_exist", False):
            found = self.run_scenario()
        self.assertTrue(any(v.startswith("TWICE") for v in found), found)
