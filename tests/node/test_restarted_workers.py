"""Workers that restart under their ids and are lost or cut off soon after.

The clock of each incarnation starts anew. An order that tells a time of an
earlier incarnation's clock gives the next one a lease of any length, up to the
longest that workers accept.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from limpetyard.engine._worker import RESPONSIVE_WITHIN_MS
from limpetyard.jobs import TaskKey
from limpetyard.node._order_dispatch import START_VALID_MS
from limpetyard.node._polling import POLL_WAIT_MS
from standins.platform import SimulatedSite, violations
from standins.platform._worker import WorkerModel
from tests.node.test_long_running import newest_owner
from tests.node.test_unstarted_doubts import DoubtTestCase, cut_off, until
from tests.node.test_whole_site import job

# The order reaches the next incarnation before a poll with a new token does.
LATE_MS = 100.0

# More than the time for which a start order is valid.
EXPIRED_MS = START_VALID_MS + 600.0

# Longer than any scenario.
RUN_MS = 40_000

CUT_S = 9.0

# Time in which a worker that has restarted replies and gets work.
REPLY_S = 1.0

# Longest time until tasks of a lost worker start elsewhere: a lease of 5.2 s on
# a clock that is 2 % slow, and a second; and where the owner is lost at the
# same time.
ORDINARY_DELAY_MS = 1.02 * 5200 + 1000
TAKEOVER_DELAY_MS = 9000

# Time after which no order to an earlier incarnation counts any more.
LONG_AFTER_S = 13.0

# Time for which an owner starts tasks on a worker that does not reply, and most
# of it.
UNCERTAIN_MS = RESPONSIVE_WITHIN_MS
DUE_AFTER_MS = 0.9 * UNCERTAIN_MS

Scenario = Callable[[SimulatedSite], Awaitable[None]]


class RestartTestCase(DoubtTestCase):
    """Runs scenarios in which orders to one worker may be late."""

    def play(self, scenario: Scenario, workers: int = 3) -> SimulatedSite:
        """Runs a scenario and returns the site."""
        self.sent: asyncio.Queue[str] = asyncio.Queue()
        self.holds_next_start = False

        async def hook(site, dispatcher, worker, effect) -> None:
            if self.holds_next_start:
                self.holds_next_start = False
                link = site.owner().worker_links[worker.id]
                link.late_rate = 1.0
                link.late_ms = (self.late_ms, self.late_ms)
                self.sent.put_nowait(worker.id)
            await self.send(dispatcher, worker, effect)

        return self.run_site(scenario, hook, workers=workers)

    def check(self, scenario: Scenario) -> None:
        """Runs a scenario; no task may run twice at the same time."""
        site = self.play(scenario)
        found = violations(site.history, finished=False)
        self.assertEqual([v for v in found if v.startswith("TWICE")], [])

    def running(self, site: SimulatedSite) -> set[TaskKey]:
        """Returns the tasks that run now."""
        return {t for w in site.workers.values() for t in w.running()}

    async def submit(self, site: SimulatedSite, number: int) -> None:
        """Submits a job whose tasks leave room on all workers."""
        spec = job(number, count=6, run_ms=RUN_MS)
        self.assertTrue(await site.submit(spec))

    async def delay_start(
        self, site: SimulatedSite, number: int, late_ms: float = LATE_MS
    ) -> str:
        """Submits a job, one start of which is late; returns its worker."""
        self.holds_next_start = True
        self.late_ms = late_ms
        await self.submit(site, number)
        worker_id = await self.sent.get()
        link = site.owner().worker_links[worker_id]
        late_calls = link.late_calls
        await until(lambda: link.late_calls > late_calls)
        link.late_rate = 0.0
        return worker_id

    async def start_late(
        self, site: SimulatedSite, number: int = 0, restarts: int = 1
    ) -> WorkerModel:
        """Lets a worker restart and accept a start of before.

        Returns:
            The worker. Its owner has not noticed the restart.
        """
        worker = site.workers[await self.delay_start(site, number)]
        for _ in range(restarts):
            worker.crash()
            worker.restart(0.0)
        await asyncio.sleep(1.2 * LATE_MS / 1000)
        self.assertTrue(worker.running())
        self.assertFalse(self.is_noticed(site, worker))
        return worker

    def is_noticed(self, site: SimulatedSite, worker: WorkerModel) -> bool:
        """Returns whether the owner has counted the worker's incarnation."""
        known = newest_owner(site).node._owners[0].engine.workers
        return known[worker.entry.id].born == worker.entry.born

    async def confirm(self, site: SimulatedSite, worker: WorkerModel) -> None:
        """Waits until the worker has replied to its owner."""
        engine = newest_owner(site).node._owners[0].engine
        known = engine.workers[worker.entry.id]
        await until(
            lambda: known.born == worker.entry.born and known.token_confirmed
        )

    async def cut(self, site: SimulatedSite, worker: WorkerModel) -> None:
        """Cuts a worker off from all nodes for a while."""
        cut_off(site, worker.entry.id)
        await asyncio.sleep(CUT_S)
        for host in site.hosts:
            host.worker_links[worker.entry.id].cut = False
        await asyncio.sleep(1)


class SameOwnerTest(RestartTestCase):
    """The owner sees the restart, and the worker is cut off soon after."""

    def test_late_start(self):
        """TWICE: a start of before the restart was carried out after it."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            await self.confirm(site, worker)
            await self.submit(site, 1)
            await asyncio.sleep(REPLY_S)
            await self.cut(site, worker)

        self.check(scenario)

    def test_start_sent_again(self):
        """TWICE: a start was sent again after a reset connection.

        The worker was silent for a moment, too short for a poll to time out.
        """

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, 0)
            await asyncio.sleep(REPLY_S)
            worker = next(w for w in site.workers.values() if w.running())
            worker.crash()
            await asyncio.sleep(0.1)
            worker.restart(0.0)
            await self.submit(site, 1)
            await self.confirm(site, worker)
            await asyncio.sleep(REPLY_S)
            await self.cut(site, worker)

        self.check(scenario)


class KilledOwnerTest(RestartTestCase):
    """The owner is killed, so that it cannot answer its successor."""

    def test_worker_that_the_next_owner_never_reaches(self):
        """TWICE: the leases of a killed owner were taken to last 5.2 s."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            await self.confirm(site, worker)
            await self.submit(site, 1)
            await asyncio.sleep(REPLY_S / 2)
            await site.kill_node(site.owner())
            await self.cut(site, worker)

        self.check(scenario)

    def test_worker_that_the_next_owner_reaches_once(self):
        """TWICE: a reply to the next owner bounded the lease to 5.2 s.

        The owner was killed before it had noticed the restart.
        """

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            await site.kill_node(site.owner())
            await until(lambda: newest_owner(site) is not None)
            await self.confirm(site, worker)
            await self.cut(site, worker)

        self.check(scenario)


class FencedOwnerTest(RestartTestCase):
    """The owner answers its successor, which never reaches the worker."""

    def test_leases_of_the_earlier_incarnation(self):
        """TWICE: the fenced owner knew only leases of before the restart.

        The directory shows the restart to its successor.
        """

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            cut_off(site, worker.entry.id)
            self.assertTrue(await site.pass_cell_on())
            await self.cut(site, worker)

        self.check(scenario)

    def test_leases_of_the_new_incarnation(self):
        """TWICE: the fenced owner told only the lease that it had granted."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site)
            await self.confirm(site, worker)
            await asyncio.sleep(REPLY_S / 2)
            cut_off(site, worker.entry.id)
            self.assertTrue(await site.pass_cell_on())
            await self.cut(site, worker)

        self.check(scenario)


class TwoRestartsTest(RestartTestCase):
    """The worker restarts twice before it is cut off."""

    def test_restarts_between_two_polls(self):
        """TWICE: a start of before two restarts was carried out after them."""

        async def scenario(site: SimulatedSite) -> None:
            worker = await self.start_late(site, restarts=2)
            await self.confirm(site, worker)
            await self.submit(site, 1)
            await asyncio.sleep(REPLY_S)
            await self.cut(site, worker)

        self.check(scenario)

    def test_start_for_the_second_incarnation(self):
        """TWICE: the third incarnation accepted a time of the second one."""

        async def scenario(site: SimulatedSite) -> None:
            await self.submit(site, 0)
            await asyncio.sleep(REPLY_S)
            for worker in site.workers.values():
                worker.crash()
                worker.restart()
            for worker in site.workers.values():
                await self.confirm(site, worker)
            await asyncio.sleep(REPLY_S)
            worker = await self.start_late(site, number=1)
            self.assertEqual(worker.entry.born, 3)
            await self.confirm(site, worker)
            await asyncio.sleep(REPLY_S)
            await self.cut(site, worker)

        self.check(scenario)


class LatePollTest(RestartTestCase):
    """A poll that renews a lease reaches the next incarnation."""

    def test_lease_of_the_earlier_clock(self):
        """TWICE: runs that started later got the lease of that poll."""

        async def scenario(site: SimulatedSite) -> None:
            worker = site.workers["w-0"]
            link = site.owner().worker_links["w-0"]
            link.late_rate, link.late_ms = 1.0, (LATE_MS, LATE_MS)
            late_calls = link.late_calls
            await until(lambda: link.late_calls > late_calls)
            link.late_rate = 0.0
            worker.crash()
            worker.restart(0.0)
            await self.confirm(site, worker)
            await asyncio.sleep(REPLY_S / 2)
            await self.submit(site, 0)
            await asyncio.sleep(REPLY_S / 2)
            self.assertTrue(worker.running())
            await self.cut(site, worker)

        self.check(scenario)


class ExpiredStartTest(RestartTestCase):
    """A start expires by the earlier clock before the worker restarts."""

    def test_start_that_the_next_incarnation_accepts(self):
        """TWICE: the new clock was behind the time at which a start expired.

        Its task had started elsewhere by then.
        """

        async def scenario(site: SimulatedSite) -> None:
            worker_id = await self.delay_start(site, 0, EXPIRED_MS)
            worker = site.workers[worker_id]
            link = site.owner().worker_links[worker_id]
            # The start is not sent again.
            link.refusing = True
            await asyncio.sleep(0.7)
            link.refusing = False
            await asyncio.sleep((EXPIRED_MS - 750) / 1000)
            self.assertEqual(len(self.running(site)), 6)
            worker.crash()
            worker.restart(0.0)
            await asyncio.sleep(0.1)
            self.assertTrue(worker.running())
            await asyncio.sleep(REPLY_S)

        self.check(scenario)


class UnfencedOwnerTest(RestartTestCase):
    """An owner that is cut off from all else reaches a restarted worker.

    Its successor has had a reply of the incarnation before.
    """

    def link(self, site: SimulatedSite, host, up: bool, others: bool) -> None:
        """Connects the worker w-0 with a VM, or with all others, or cuts it."""
        for other in site.hosts:
            if (other is not host) == others:
                other.worker_links["w-0"].cut = not up

    def test_task_that_is_due_then(self):
        """TWICE: both owners started a timed task.

        The one before sends the start less than 1.6 s after the last reply of
        the incarnation before, which had not seen the newer token then.
        """

        async def scenario(site: SimulatedSite) -> None:
            former, worker = site.owner(), site.workers["w-0"]
            clock = former.clock
            known = former.node._owners[0].engine.workers["w-0"]

            async def next_reply() -> float:
                last_ms = known.replied_ms
                await until(lambda: known.replied_ms > last_ms)
                return known.replied_ms

            first_ms = await next_reply()
            interval_ms = await next_reply() - first_ms
            due_ms = first_ms + 5 * interval_ms + DUE_AFTER_MS
            spec = msgspec.structs.replace(
                job(0, count=6, run_ms=RUN_MS),
                first_due_ms=clock.wall_ms() - clock.now_ms() + due_ms,
            )
            self.assertTrue(await site.submit(spec))
            await next_reply()
            for worker_id, link in former.worker_links.items():
                link.cut = worker_id != "w-0"
            last_ms = await next_reply()
            while due_ms - last_ms > UNCERTAIN_MS:
                last_ms = await next_reply()
            # The next reply is lost, and the poll after it is never received.
            self.link(site, former, up=False, others=False)
            former.store_link.cut = former.peer_link.cut = True
            self.link(site, former, up=False, others=True)
            site.pass_cell_on()
            await asyncio.sleep((POLL_WAIT_MS + 10) / 1000)
            self.link(site, former, up=True, others=True)
            await until(lambda: newest_owner(site) not in (None, former))
            await self.confirm(site, worker)
            self.link(site, former, up=False, others=True)
            worker.reaches_store = False
            worker.crash()
            worker.restart(0.0)
            self.link(site, former, up=True, others=False)
            await asyncio.sleep((due_ms - clock.now_ms()) / 1000 + REPLY_S)

        self.check(scenario)


class OrdinaryDelayTest(RestartTestCase):
    """Tasks of a lost worker start elsewhere after the ordinary time."""

    def check_delay(
        self, lose: Callable[..., Awaitable[None]], limit_ms: float
    ) -> None:
        """Checks how long the tasks of a lost worker wait.

        Args:
            lose: Called with the site and a worker that runs tasks, and that
                restarted `LONG_AFTER_S` ago or never; loses it for good.
            limit_ms: The longest delay allowed.
        """
        for restarts in (True, False):
            with self.subTest(restarts=restarts):
                self.check_delay_of(lose, limit_ms, restarts)

    def check_delay_of(
        self,
        lose: Callable[..., Awaitable[None]],
        limit_ms: float,
        restarts: bool,
    ) -> None:
        """See `check_delay`."""
        missing: list[TaskKey] = []

        async def scenario(site: SimulatedSite) -> None:
            if restarts:
                worker = await self.start_late(site)
                await self.confirm(site, worker)
            else:
                await self.submit(site, 0)
                worker = site.workers["w-0"]
            await asyncio.sleep(LONG_AFTER_S)
            tasks = worker.running()
            self.assertTrue(tasks)
            await lose(site, worker)
            await asyncio.sleep(limit_ms / 1000)
            missing.extend(set(tasks) - self.running(site))

        site = self.play(scenario)
        self.assertEqual(missing, [])
        found = violations(site.history, finished=False)
        self.assertEqual([v for v in found if v.startswith("TWICE")], [])

    def test_worker_lost_long_after_its_restart(self):
        """LOST: a restart prolonged the wait for the worker for good."""

        async def lose(site: SimulatedSite, worker: WorkerModel) -> None:
            worker.crash()

        self.check_delay(lose, ORDINARY_DELAY_MS)

    def test_worker_lost_with_the_owner(self):
        """LOST: an unanswered takeover prolonged the wait for all workers."""

        async def lose(site: SimulatedSite, worker: WorkerModel) -> None:
            worker.crash()
            await site.kill_node(site.owner())

        self.check_delay(lose, TAKEOVER_DELAY_MS)

    def test_worker_lost_after_a_takeover(self):
        """LOST: the first reply to a new owner bounded no earlier lease."""

        async def lose(site: SimulatedSite, worker: WorkerModel) -> None:
            await site.kill_node(site.owner())
            await until(lambda: newest_owner(site) is not None)
            await self.confirm(site, worker)
            worker.crash()

        self.check_delay(lose, ORDINARY_DELAY_MS)


if __name__ == "__main__":
    unittest.main()
