"""Doubts about the report of tasks without a run, on whole sites."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from limpetyard.engine import Worker
from limpetyard.engine._effects import Start
from limpetyard.node._node import Node
from limpetyard.node._order_dispatch import OrderDispatcher
from standins.platform import (
    SimulatedSite,
    run_in_virtual_time,
    violations,
)
from standins.platform._history import RunStarted
from tests.node.test_fencing import held_writer_fence, reassign
from tests.node.test_long_running import (
    SETTLED_S,
    fail_task,
    long_running_job,
    newest_owner,
)

# Time from the grant of a lease for which runs may exist, on any clock.
LEASE_BOUND_MS = 5200

Send = Callable[[OrderDispatcher, Worker, Start], Awaitable[None]]
Hook = Callable[[SimulatedSite, OrderDispatcher, Worker, Start], Awaitable]


async def until(condition: Callable[[], object]) -> None:
    """Waits for a condition."""
    while not condition():
        await asyncio.sleep(0.001)


def cut_off(site: SimulatedSite, worker_id: str) -> None:
    """Lets no node reach a worker."""
    for host in site.hosts:
        host.worker_links[worker_id].cut = True


class DoubtTestCase(unittest.TestCase):
    """Runs a scenario whose start orders meet a hook."""

    def run_site(
        self, scenario, hook: Hook, nodes: int = 4, workers: int = 6
    ) -> SimulatedSite:
        """Runs a scenario; returns the site.

        Args:
            scenario: Coroutine function that gets the site.
            hook: Called with each start order, in place of the call that sends
                it, which is `self.send`.
            nodes: Number of nodes.
            workers: Number of workers.
        """
        self.send: Send = OrderDispatcher._send_start

        async def main() -> SimulatedSite:
            site = SimulatedSite(nodes, workers)

            async def send(dispatcher, worker, effect) -> None:
                await hook(site, dispatcher, worker, effect)

            with mock.patch.object(OrderDispatcher, "_send_start", send):
                await site.start()
                await asyncio.sleep(SETTLED_S)
                await scenario(site)
                await site.stop()
            return site

        return run_in_virtual_time(main())

    def starts(self, site: SimulatedSite) -> list[RunStarted]:
        """Returns all starts."""
        return site.history.of(RunStarted)


class LateOrderTest(DoubtTestCase):
    """An order of an owner that is fenced is carried out late."""

    def run_scenario(self, late_ms: float, reachable: bool) -> list[str]:
        """Returns the violations."""
        sent: asyncio.Queue[str] = asyncio.Queue()

        async def hook(site, dispatcher, worker, effect) -> None:
            if effect.run == 2:
                link = site.owner().worker_links[worker.id]
                link.late_rate = 1.0
                link.late_ms = (late_ms, late_ms)
                sent.put_nowait(worker.id)
            await self.send(dispatcher, worker, effect)

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            fail_task(site)
            worker_id = await sent.get()
            await asyncio.sleep(0.01)
            if not reachable:
                cut_off(site, worker_id)
            site.pass_cell_on()
            await asyncio.sleep(15)

        site = self.run_site(scenario, hook)
        self.assertGreater(len(self.starts(site)), 1)
        return violations(site.history)

    def test_unreachable_worker(self):
        """TWICE: a late order meets a task that was reported."""
        for late_ms in (200.0, 1000.0, 2000.0, 2900.0, 4000.0, 12_000.0):
            with self.subTest(late_ms=late_ms):
                self.assertEqual(self.run_scenario(late_ms, False), [])

    def test_reachable_worker(self):
        """TWICE: the same with a worker that answers the next owner."""
        for late_ms in (30.0, 200.0, 2000.0, 12_000.0):
            with self.subTest(late_ms=late_ms):
                self.assertEqual(self.run_scenario(late_ms, True), [])


class RefusedOrderTest(DoubtTestCase):
    """A start is withdrawn since its connection was refused."""

    def test_withdrawn_start(self):
        """TWICE, or LOST: a withdrawn start counts wrongly."""
        refused: asyncio.Queue[str] = asyncio.Queue()

        async def hook(site, dispatcher, worker, effect) -> None:
            if effect.run == 2:
                for host in site.hosts:
                    host.worker_links[worker.id].refusing = True
            await self.send(dispatcher, worker, effect)
            if effect.run == 2:
                refused.put_nowait(worker.id)

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            fail_task(site)
            worker_id = await refused.get()
            site.pass_cell_on()
            lost_ms.append(site.clock.now_ms())
            await asyncio.sleep(1)
            for host in site.hosts:
                host.worker_links[worker_id].refusing = False
            await asyncio.sleep(12)

        lost_ms: list[float] = []
        site = self.run_site(scenario, hook)
        self.assertEqual(violations(site.history), [])
        waits = [s.at_ms - lost_ms[0] for s in self.starts(site)[1:]]
        self.assertLess(waits[0], LEASE_BOUND_MS)


class OwnersBetweenTest(DoubtTestCase):
    """Owners between the one that knows and the one that needs it."""

    def run_chain(
        self,
        pass_on: Callable[[SimulatedSite, str], Awaitable[None]],
        nodes: int = 4,
        settled_s: float = SETTLED_S,
    ) -> tuple[SimulatedSite, list[float]]:
        """Withholds an order, loses its worker, and passes the cell on.

        Args:
            pass_on: Called with the site and the id of the worker.
            nodes: Number of nodes.
            settled_s: Time after which a run fails.

        Returns:
            The site, and how long after the loss each run started.
        """
        stored: asyncio.Queue[str] = asyncio.Queue()
        lost_ms: list[float] = []

        async def hook(site, dispatcher, worker, effect) -> None:
            if effect.run == 2:
                stored.put_nowait(worker.id)
                await asyncio.Event().wait()
            await self.send(dispatcher, worker, effect)

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(settled_s)
            fail_task(site)
            worker_id = await stored.get()
            site.workers[worker_id].crash()
            lost_ms.append(site.clock.now_ms())
            await pass_on(site, worker_id)
            await asyncio.sleep(20)

        site = self.run_site(scenario, hook, nodes)
        starts = self.starts(site)[1:]
        return site, [s.at_ms - lost_ms[0] for s in starts]

    def test_owner_that_never_loads(self):
        """LOST: the owner in between has loaded nothing."""

        async def pass_on(site: SimulatedSite, worker_id: str) -> None:
            between = await reassign(site)
            async with held_writer_fence(between):
                await until(
                    lambda: (
                        (owner := between.node._owners.get(0))
                        and owner.engine is not None
                    )
                )
                await asyncio.sleep(0.05)
                await reassign(site)
                await asyncio.sleep(0.3)

        site, waits_ms = self.run_chain(pass_on)
        self.assertEqual(violations(site.history), [])
        self.assertEqual(len(waits_ms), 1)
        self.assertLess(waits_ms[0], 3000)

    def test_owner_that_never_loads_and_is_lost(self):
        """LOST: it may have loaded the cell, and no reply tells.

        So the report of the owner before it must not count, and the wait is
        that for a lost owner.
        """

        async def pass_on(site: SimulatedSite, worker_id: str) -> None:
            between = await reassign(site)
            async with held_writer_fence(between):
                await until(
                    lambda: (
                        (owner := between.node._owners.get(0))
                        and owner.engine is not None
                    )
                )
                await asyncio.sleep(0.05)
                await site.kill_node(between)

        for step in range(8):
            # Joins and reads of the claims are a third of a second apart.
            settled_s = SETTLED_S + step * 0.05
            with self.subTest(settled_s=settled_s):
                site, waits_ms = self.run_chain(pass_on, settled_s=settled_s)
                self.assertEqual(violations(site.history), [])
                self.assertEqual(len(waits_ms), 1)
                self.assertLess(waits_ms[0], 9000)

    def test_two_nodes_in_turn(self):
        """TWICE, or LOST: a process that had the cell twice."""

        async def pass_on(site: SimulatedSite, worker_id: str) -> None:
            for _ in range(4):
                await reassign(site)
                await asyncio.sleep(0.12)

        site, waits_ms = self.run_chain(pass_on, nodes=2)
        self.assertEqual(violations(site.history), [])
        self.assertEqual(len(waits_ms), 1)
        self.assertLess(waits_ms[0], 3000)

    def test_reply_after_the_load(self):
        """LOST: the reply arrives when the state has been loaded."""

        async def pass_on(site: SimulatedSite, worker_id: str) -> None:
            for host in site.hosts:
                host.peer_link.delay_ms = 150.0
            await reassign(site)

        site, waits_ms = self.run_chain(pass_on)
        self.assertEqual(violations(site.history), [])
        self.assertEqual(len(waits_ms), 1)
        self.assertLess(waits_ms[0], 3000)

    def test_owner_that_is_replaced_before_the_reply(self):
        """A task waits 8.1 s: the one in between got no reply before it ended.

        All owners reply, and the first one still knows that there is no run.
        """
        self.check_replaced_before_the_reply(0.0)

    def test_first_owner_that_replies_late(self):
        """A task waits 8.1 s: the first owner is asked only once."""
        self.check_replaced_before_the_reply(1.0)

    def check_replaced_before_the_reply(self, silent_s: float) -> None:
        """Checks a chain in which the one in between gets no reply.

        Args:
            silent_s: Time for which the first owner does not reply to the last
                one either.
        """

        async def pass_on(site: SimulatedSite, worker_id: str) -> None:
            previous = newest_owner(site)
            fence = Node.fence
            held = asyncio.Event()

            async def slow_fence(node, cell, epoch):
                reply = fence(node, cell, epoch)
                if node is previous.node and not held.is_set():
                    await held.wait()
                return reply

            with mock.patch.object(Node, "fence", slow_fence):
                between = await reassign(site)
                await until(between.node.owns_cell)
                await asyncio.sleep(0.1)
                await reassign(site)
                await until(lambda: not between.node.owns_cell())
                await asyncio.sleep(silent_s)
                held.set()
                await asyncio.sleep(1)

        site, waits_ms = self.run_chain(pass_on)
        self.assertEqual(violations(site.history), [])
        self.assertEqual(len(waits_ms), 1)
        self.assertLess(waits_ms[0], 3000)

    def test_owner_in_between_that_starts_the_task(self):
        """TWICE: what the first owner reports counts after a start.

        The one in between gets no reply, and starts the task as its worker
        has answered. The next one does not reach the new worker of the task.
        """
        starts: list[tuple[int, str]] = []

        async def hook(site, dispatcher, worker, effect) -> None:
            if effect.run == 2:
                stored.set()
                await asyncio.Event().wait()
            starts.append((effect.run, worker.id))
            await self.send(dispatcher, worker, effect)

        async def scenario(site: SimulatedSite) -> None:
            self.assertTrue(await site.submit(long_running_job(1)))
            await asyncio.sleep(SETTLED_S)
            fail_task(site)
            await stored.wait()
            previous = newest_owner(site)
            fence = Node.fence
            released = asyncio.Event()

            async def slow_fence(node, cell, epoch):
                reply = fence(node, cell, epoch)
                if node is previous.node and not released.is_set():
                    await released.wait()
                return reply

            with mock.patch.object(Node, "fence", slow_fence):
                between = await reassign(site)
                await until(lambda: len(self.starts(site)) > 1)
                _, worker_id = starts[-1]
                for host in site.hosts:
                    if host is not between:
                        host.worker_links[worker_id].cut = True
                await reassign(site)
                await until(lambda: not between.node.owns_cell())
                released.set()
                await asyncio.sleep(12)

        stored = asyncio.Event()
        site = self.run_site(scenario, hook)
        self.assertEqual(violations(site.history), [])
        self.assertGreater(len(self.starts(site)), 2)

    def test_owner_in_between_that_is_not_reached(self):
        """TWICE: what an earlier owner reported counts after a start."""

        async def pass_on(site: SimulatedSite, worker_id: str) -> None:
            starts = len(self.starts(site))
            between = await reassign(site)
            await until(lambda: len(self.starts(site)) > starts)
            busy = next(w for w in site.workers.values() if w.running())
            for host in site.hosts:
                if host is not between:
                    host.worker_links[busy.entry.id].cut = True
            between.peer_link.cut = between.store_link.cut = True

        site, waits_ms = self.run_chain(pass_on)
        self.assertEqual(violations(site.history), [])
        self.assertEqual(len(waits_ms), 2)


class DrainTest(DoubtTestCase):
    """A task moves from a draining worker while the cell passes on."""

    def test_passing_on_at_any_time(self):
        """TWICE: a task whose older run still stops was reported."""
        for after_ms in range(0, 400, 10):
            with self.subTest(after_ms=after_ms):

                async def hook(site, dispatcher, worker, effect) -> None:
                    await self.send(dispatcher, worker, effect)

                async def scenario(site, after_ms=after_ms) -> None:
                    self.assertTrue(await site.submit(long_running_job(2)))
                    await asyncio.sleep(SETTLED_S)
                    busy = next(w for w in site.workers.values() if w.running())
                    busy.drain(6000)
                    await asyncio.sleep(after_ms / 1000)
                    for host in site.hosts:
                        if host is not newest_owner(site):
                            link = host.worker_links[busy.entry.id]
                            link.cut = True
                    site.pass_cell_on()
                    await asyncio.sleep(8)

                site = self.run_site(scenario, hook)
                found = violations(site.history)
                twice = [v for v in found if v.startswith("TWICE")]
                self.assertEqual(twice, [])


if __name__ == "__main__":
    unittest.main()
