"""Deals of the simulated store's groups, by the page of the protocol."""

import asyncio
import unittest

from standins.platform import run_in_virtual_time
from standins.platform._store import (
    PARTITION_COUNT,
    StoreModel,
    deal_first_away,
    deal_in_order,
)
from standins.platform._virtual_time import VirtualClock

GROUP = "g"
TTL_MS = 1000


class _Members:
    """Members that join by hand, each with the generation it knows."""

    def __init__(self, deal):
        self.store = StoreModel(VirtualClock())
        self.store.deal = deal
        self.known: dict[str, int] = {}

    async def join(self, *names: str) -> list[bool]:
        """Joins; returns for each member whether partition 0 is listed."""
        listed = []
        for name in names:
            assignment = await self.store.join(
                GROUP, name, TTL_MS, self.known.get(name, 0)
            )
            self.known[name] = assignment.generation
            listed.append(0 in assignment.partitions)
        return listed

    async def holder(self) -> str:
        """Returns the member that holds partition 0."""
        return (await self.store.partition_owners(GROUP))[0]


class DealTest(unittest.TestCase):
    """When partition 0 moves, and to which member."""

    def check(self, deal, scenario) -> None:
        """Runs a scenario with members of a group."""
        run_in_virtual_time(scenario(_Members(deal)))

    def test_moves_with_the_join_that_acknowledges(self):
        """A partition that is no longer listed moves with the next join."""

        async def scenario(members: _Members) -> None:
            await members.join("b")
            self.assertEqual(await members.join("a"), [False])
            self.assertEqual(await members.holder(), "b")
            self.assertEqual(await members.join("b"), [False])
            self.assertEqual(await members.holder(), "b")
            await members.join("b")
            self.assertEqual(await members.holder(), "a")
            self.assertEqual(await members.join("a"), [True])

        for deal in (deal_in_order, deal_first_away):
            with self.subTest(deal.__name__):
                self.check(deal, scenario)

    def test_dealt_again_before_the_join(self):
        """A join with the generation of the loss, not a later one, does."""

        async def scenario(members: _Members) -> None:
            await members.join("c")
            await members.join("b")
            self.assertEqual(await members.join("c"), [False])
            await members.join("a")
            await members.join("c")
            self.assertEqual(await members.holder(), "a")

        self.check(deal_in_order, scenario)

    def test_expired_member(self):
        """The next member holds the partition; the former one is back last."""

        async def scenario(members: _Members) -> None:
            await members.join("a", "b", "c")
            generation = members.known["c"]
            members.store.expire_member("a")
            self.assertEqual(await members.holder(), "b")
            self.assertEqual(await members.join("a"), [False])
            self.assertGreater(members.known["a"], generation)
            await members.join("b", "c", "b", "c", "a")
            self.assertEqual(await members.holder(), "b")
            members.store.expire_member("b", heir="a")
            self.assertEqual(await members.holder(), "a")
            members.store.expire_member("a", heir="c")
            self.assertEqual(await members.holder(), "c")

        self.check(deal_in_order, scenario)

    def test_first_away(self):
        """Each change takes partition 0 from its holder; the deal is even."""

        async def scenario(members: _Members) -> None:
            store = members.store
            former = ""
            changes = (
                *(lambda n=n: members.join(n) for n in "bac"),
                lambda: store.leave(GROUP, "b"),
                lambda: members.join("d"),
                lambda: store.leave(GROUP, "a"),
            )
            for change in changes:
                await change()
                await members.join(*store._groups[GROUP].members)
                await members.join(*store._groups[GROUP].members)
                owners = await store.partition_owners(GROUP)
                self.assertNotEqual(owners[0], former)
                former = owners[0]
                names = list(owners.values())
                counts = {names.count(name) for name in names}
                self.assertLessEqual(max(counts) - min(counts), 1)
            self.assertEqual(len(owners), PARTITION_COUNT)
            await asyncio.sleep(2 * TTL_MS / 1000)
            self.assertEqual(
                set((await store.partition_owners(GROUP)).values()), {""}
            )

        self.check(deal_first_away, scenario)


if __name__ == "__main__":
    unittest.main()
