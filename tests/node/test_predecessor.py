"""Takeovers after owners that lost the cell before they had loaded it."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Callable
from unittest import mock

from limpetyard.engine import MIN_CLOCK_RATE, EngineParams
from limpetyard.jobs import TaskHistory, TaskKey
from limpetyard.node import FenceResult, RemainingLeases
from limpetyard.node._predecessor import Predecessor
from limpetyard.node._store_layout import CLAIM_KEY
from limpetyard.store import (
    LatestPage,
    StoredRecord,
    StoreOffsetTrimmedError,
    TailPage,
)
from standins.platform import SimulatedSite, run_in_virtual_time
from standins.platform._virtual_time import VirtualClock
from tests.node.test_fencing import reassign
from tests.node.test_long_running import (
    LongRunningTestCase,
    crash_worker,
    fail_task,
    newest_owner,
)
from tests.node.test_whole_site import LEASE_MS

# Time for which a node owns the cell without having loaded it.
UNLOADED_S = 1.6

# Time for which the frozen owner may order at least, once it is replaced.
MIN_UNFENCED_MS = 2000

# Time in which a task starts again that need not wait for any lease.
RESTART_S = 2.0


@contextlib.asynccontextmanager
async def held_load(host) -> AsyncIterator[None]:
    """Holds the reads by which a new owner loads the jobs of the cell."""
    store = host.node._adapters.store
    read_latest = store.read_latest
    released = asyncio.Event()

    async def held_read_latest(topic, partition, after):
        if topic == "jobs":
            await released.wait()
        return await read_latest(topic, partition, after)

    with mock.patch.object(store, "read_latest", held_read_latest):
        try:
            yield
        finally:
            released.set()


async def pass_on_unloaded(
    site: SimulatedSite,
    times: int,
    meanwhile: Callable[[SimulatedSite], None] = lambda site: None,
) -> None:
    """Assigns the cell to nodes in turn, each of which loses it unloaded.

    Args:
        site: The site.
        times: Number of nodes.
        meanwhile: Called while each of them owns the cell.
    """
    async with contextlib.AsyncExitStack() as held:
        for _ in range(times):
            host = await reassign(site)
            await held.enter_async_context(held_load(host))
            await asyncio.sleep(UNLOADED_S)
            meanwhile(site)
        site.pass_cell_on()
        while (owner := host.node._owners.get(0)) and not owner.ended:
            await asyncio.sleep(0.01)


class UnloadedOwnersTest(LongRunningTestCase):
    """The cell passes through nodes that lose it before they have loaded it."""

    def test_worker_lost_before_the_takeovers(self):
        """LOST: the wait for a lost worker's lease began anew at each owner."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=True)
            await pass_on_unloaded(site, 4)

        self.run_scenario(scenario)

    def test_task_that_was_never_on_the_lost_worker(self):
        """Stored places were not trusted after an owner that stored none."""

        async def scenario(site: SimulatedSite) -> None:
            crash_worker(site, busy=False)
            await pass_on_unloaded(site, 1, fail_task)
            await asyncio.sleep(RESTART_S)
            self.assertEqual(site.unplaced_long_running(), [])

        self.run_scenario(scenario)


class UnfencedOwnerTest(LongRunningTestCase):
    """The owner before the previous one has not been fenced."""

    def test_orders_of_the_owner_before(self):
        """New jobs were taken as certain to have been started by nobody."""

        async def scenario(site: SimulatedSite) -> None:
            frozen = site.owner()
            site.freeze(frozen)
            while (previous := newest_owner(site)) is frozen:
                await asyncio.sleep(0.05)
            engine = previous.node._owners[0].engine
            until_ms = engine.predecessor_until_ms
            self.assertGreater(until_ms, site.clock.now_ms() + MIN_UNFENCED_MS)
            site.pass_cell_on()
            while (host := newest_owner(site)) in (frozen, previous):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)
            engine = host.node._owners[0].engine
            self.assertGreater(engine.predecessor_until_ms, until_ms - 100)

        self.run_scenario(scenario)


class FormerOwners:
    """The claims of former owners, and their replies when they are fenced.

    Stands in for the store and for the client of the other nodes. The store
    has trimmed all but the claims in `kept`.
    """

    def __init__(
        self, replies: dict[str, RemainingLeases | None], kept: range, read: int
    ):
        self.replies = replies
        # Members that were asked, in order.
        self.asked: list[str] = []
        # Number of calls of each member that get no answer at first.
        self.unanswered: dict[str, int] = {}
        self._kept = kept
        self._read = read

    async def read_latest(self, topic, partition, after) -> LatestPage:
        """Returns the claim that was the latest one at first."""
        return LatestPage(self._read, [self._claim(self._read)], False)

    async def read(self, topic, partition, offset, wait_ms) -> TailPage:
        """Returns the claims from an offset on."""
        if offset + 1 not in self._kept:
            raise StoreOffsetTrimmedError(topic, offset)
        records = [self._claim(n) for n in self._kept if n > offset]
        return TailPage(self._kept.stop, self._kept.stop, records)

    async def fence_owner(self, member, cell, epoch) -> FenceResult:
        """Returns the reply of a member; none answers if it is not listed."""
        self.asked.append(member)
        left = self.unanswered.get(member, 0)
        self.unanswered[member] = left - 1
        if left > 0 or member not in self.replies:
            return FenceResult(False)
        return FenceResult(True, self.replies[member])

    def _claim(self, epoch: int) -> StoredRecord:
        return StoredRecord(epoch - 1, CLAIM_KEY, f"node-{epoch}".encode())


class PredecessorTest(unittest.TestCase):
    """Which owner counts as the previous one; epoch 6 is the new one."""

    def fence(self, replies, kept=range(4, 6), read: int = 3) -> Predecessor:
        """Fences the owners with epochs below 6."""

        async def main() -> Predecessor:
            owners = FormerOwners(replies, kept, read)
            params = EngineParams(LEASE_MS, LEASE_MS)
            clock = VirtualClock()
            predecessor = Predecessor(0, owners, owners, clock, params)
            await predecessor.read()
            await predecessor.fence(6)
            return predecessor

        return run_in_virtual_time(main())

    def check_leases(self, predecessor: Predecessor) -> None:
        """Checks that the lease of 700 ms is known."""
        self.assertTrue(predecessor.fence_confirmed)
        left_ms = predecessor.latest_run_end_ms("w")
        self.assertAlmostEqual(left_ms, 700 / MIN_CLOCK_RATE, delta=10)

    def test_claims_after_the_one_that_was_read(self):
        """The bound of 10.2 s began anew after a claim in between."""
        self.check_leases(
            self.fence(
                {
                    "node-5": RemainingLeases(0, {}, member="node-5"),
                    "node-4": RemainingLeases(2, {}, member="node-4"),
                    "node-3": RemainingLeases(3, {"w": 700.0}),
                }
            )
        )

    def test_claims_that_are_kept(self):
        """Claims since its own are no earlier ones, nor are those of others."""
        reply = RemainingLeases(0, {}, member="node-5", claims={3: "other"})
        predecessor = self.fence({"node-5": reply}, range(4, 8))
        self.assertEqual(sorted(predecessor.claims), [3, 4, 5])
        self.assertEqual(predecessor.claims[3], "node-3")

    def test_trimmed_claims(self):
        """An owner that never loaded the cell knows the trimmed claim."""
        reply = RemainingLeases(0, {}, member="node-5", claims={4: "other"})
        leases = RemainingLeases(4, {"w": 700.0})
        replies = {"node-5": reply, "other": leases}
        self.check_leases(self.fence(replies, range(5, 6), read=5))

    def test_unknown_claim(self):
        """An owner of which nothing is known may order for its whole time."""
        reply = RemainingLeases(0, {}, member="node-5")
        predecessor = self.fence({"node-5": reply}, range(5, 6), read=5)
        self.assertFalse(predecessor.fence_confirmed)
        self.assertGreater(predecessor.latest_run_end_ms("w"), 2 * LEASE_MS)

    def test_replies_that_prove_nothing(self):
        """A successor at the address, or a former release, tells no leases."""
        for reply in (
            None,
            RemainingLeases(2, {"w": 700.0}),
            RemainingLeases(0, {}, member="successor"),
            RemainingLeases(6, {"w": 700.0}, member="node-5"),
        ):
            with self.subTest(reply):
                predecessor = self.fence({"node-5": reply}, read=5)
                self.assertTrue(predecessor.fence_confirmed)
                left_ms = predecessor.latest_run_end_ms("w")
                self.assertGreater(left_ms, LEASE_MS)

    def test_stored_places(self):
        """Places are believed unless an owner may not have stored them."""
        members = {3: "a|b|1-pabc", 4: "a|b|pabc", 5: "a|b|0.4-abc"}
        predecessor = self.fence({})
        predecessor.claims = members

        async def trusted(epoch: int) -> bool:
            return await predecessor.all_store_places(2, epoch)

        self.assertTrue(run_in_virtual_time(trusted(5)))
        self.assertFalse(run_in_virtual_time(trusted(6)))

    def test_answers(self):
        """TWICE: an owner of an earlier release does not keep to them."""
        predecessor = self.fence({})
        predecessor.claims = {3: "a|b|pwsrabc", 4: "a|b|pwsabc", 5: "a|b|pwsrd"}

        async def since(lowest: int, epoch: int) -> int:
            return await predecessor.answers_kept_since(lowest, epoch)

        self.assertEqual(run_in_virtual_time(since(5, 6)), 5)
        self.assertEqual(run_in_virtual_time(since(2, 4)), 2)
        self.assertEqual(run_in_virtual_time(since(2, 6)), 4)


class UntoldTest(unittest.TestCase):
    """What earlier owners tell of tasks; epoch 6 is the new one."""

    first, second, third = (TaskKey("1" * 16, 0, 0, n) for n in range(3))

    def ask(
        self,
        replies: dict[str, RemainingLeases | None],
        attempts: int = 1,
        unanswered: dict[str, int] | None = None,
        kept: range = range(1, 6),
    ) -> tuple[Predecessor, FormerOwners]:
        """Fences the previous owner, and asks those before it."""

        async def main() -> tuple[Predecessor, FormerOwners]:
            owners = FormerOwners(replies, kept, 5)
            owners.unanswered = unanswered or {}
            params = EngineParams(LEASE_MS, LEASE_MS)
            clock = VirtualClock()
            predecessor = Predecessor(0, owners, owners, clock, params)
            await predecessor.read()
            await predecessor.fence(6)
            for _ in range(attempts):
                await predecessor.ask_untold(6)
            return predecessor, owners

        return run_in_virtual_time(main())

    def loaded(self, epoch: int, **fields) -> RemainingLeases:
        """Returns the reply of an owner that has loaded the cell."""
        return RemainingLeases(epoch, {}, member=f"node-{epoch}", **fields)

    def test_tasks_that_the_later_owner_may_have_started(self):
        """TWICE: a report counts though a later owner may have started it."""
        histories = (
            TaskHistory(self.first, 1, (), "cp"),
            TaskHistory(self.second, 1, (), "cp"),
        )
        predecessor, _ = self.ask(
            {
                "node-5": self.loaded(5, untold=(self.first, self.third)),
                "node-4": self.loaded(
                    4,
                    unstarted=(self.first, self.second),
                    histories=histories,
                ),
            }
        )
        self.assertEqual(predecessor.unstarted_tasks, (self.first,))
        self.assertEqual(predecessor.task_histories, histories[:1])

    def test_chain(self):
        """Several owners in turn were not told, or one was and started it."""
        predecessor, _ = self.ask(
            {
                "node-5": self.loaded(
                    5, unstarted=(self.third,), untold=(self.first, self.second)
                ),
                # Never loaded the cell.
                "node-4": RemainingLeases(0, {}, member="node-4"),
                "node-3": self.loaded(3, untold=(self.first, self.third)),
                "node-2": self.loaded(
                    2, unstarted=(self.first, self.second, self.third)
                ),
            }
        )
        self.assertEqual(predecessor.unstarted_tasks, (self.third, self.first))

    def test_nothing_untold(self):
        """Owners are asked in vain, such as after an earlier release."""
        _, owners = self.ask(
            {
                "node-5": self.loaded(5, unstarted=(self.first,)),
                "node-4": self.loaded(4, unstarted=(self.second,)),
            },
            attempts=2,
        )
        self.assertEqual(owners.asked, ["node-5"])

    def test_late_answer(self):
        """An owner is not asked again, or is once it has answered."""
        replies = {
            "node-5": self.loaded(5, untold=(self.first,)),
            "node-4": self.loaded(4, unstarted=(self.first,)),
        }
        predecessor, owners = self.ask(replies, 1, {"node-4": 2})
        self.assertEqual(predecessor.unstarted_tasks, ())
        predecessor, owners = self.ask(replies, 4, {"node-4": 2})
        self.assertEqual(predecessor.unstarted_tasks, (self.first,))
        self.assertEqual(owners.asked.count("node-4"), 3)

    def test_replies_that_prove_nothing(self):
        """TWICE: an owner in between, of which nothing is known, is skipped."""
        for reply in (
            None,
            RemainingLeases(2, {}, unstarted=(self.first,)),
            RemainingLeases(0, {}, member="successor"),
            RemainingLeases(6, {}, member="node-4", unstarted=(self.first,)),
        ):
            with self.subTest(reply):
                predecessor, owners = self.ask(
                    {
                        "node-5": self.loaded(5, untold=(self.first,)),
                        "node-4": reply,
                        "node-3": self.loaded(3, unstarted=(self.first,)),
                    }
                )
                self.assertEqual(predecessor.unstarted_tasks, ())
                self.assertNotIn("node-3", owners.asked)

    def test_silent_previous_owner(self):
        """TWICE: the owner before one that does not answer is believed."""
        predecessor, owners = self.ask(
            {"node-4": self.loaded(4, unstarted=(self.first,))}
        )
        self.assertEqual(predecessor.unstarted_tasks, ())
        self.assertEqual(owners.asked, ["node-5"])

    def test_unknown_claim(self):
        """TWICE: the walk passes over a claim that is not known."""
        predecessor, _ = self.ask(
            {
                "node-5": self.loaded(5, untold=(self.first,)),
                "node-3": self.loaded(3, unstarted=(self.first,)),
            },
            kept=range(5, 6),
        )
        self.assertEqual(predecessor.unstarted_tasks, ())


if __name__ == "__main__":
    unittest.main()
