"""Tests of the membership in the group that assigns cells, in virtual time."""

import asyncio
import unittest
from unittest import mock

from limpetyard.node._member import JOINS_PER_TTL, GroupMember
from limpetyard.store import GroupAssignment
from standins.platform import run_in_virtual_time
from standins.platform._virtual_time import VirtualClock

TTL_MS = 1000


class _SlowStore:
    """Store whose group calls take a while.

    Attributes:
        joins_ms: Send time of each join.
    """

    def __init__(self, clock: VirtualClock, delay_ms: float):
        self._clock = clock
        self._delay_ms = delay_ms
        self.joins_ms: list[float] = []

    async def join(self, *args) -> GroupAssignment:
        self.joins_ms.append(self._clock.now_ms())
        await asyncio.sleep(self._delay_ms / 1000)
        return GroupAssignment(1, frozenset())

    async def partition_owners(self, *args) -> dict[int, str]:
        await asyncio.sleep(self._delay_ms / 1000)
        return {}

    async def leave(self, *args) -> None:
        pass


class JoinIntervalTest(unittest.TestCase):
    """Time between joins."""

    def longest_gap_ms(self, delay_ms: float) -> float:
        """Returns the longest time between two joins of a settled member."""

        async def main() -> list[float]:
            clock = VirtualClock()
            store = _SlowStore(clock, delay_ms)

            async def ignore(cells) -> None:
                pass

            async def answers(member: str) -> bool:
                return True

            member = GroupMember("node", store, clock, TTL_MS, ignore, answers)
            await member.start()
            await asyncio.sleep(10)
            await member.stop()
            return store.joins_ms

        joins_ms = run_in_virtual_time(main())
        gaps = [b - a for a, b in zip(joins_ms, joins_ms[1:], strict=False)]
        self.assertGreater(len(gaps), JOINS_PER_TTL)
        return max(gaps)

    def test_slow_answers(self):
        """The pause began with the answer, so joins came late.

        With slow answers and a busy event loop, the membership expired between
        two joins.
        """
        gap_ms = self.longest_gap_ms(300)
        self.assertLessEqual(gap_ms, TTL_MS / JOINS_PER_TTL + 10)

    def test_answers_slower_than_the_interval(self):
        """Joins overtake each other, or the next one waits for no reason."""
        self.assertLessEqual(self.longest_gap_ms(450), 460)


class NewestMembersTest(unittest.TestCase):
    """Order of the members by the time at which they joined."""

    def newest_members(
        self, tables: list[list[str]], gap_s: float = 0.3
    ) -> list[str]:
        """Returns the order after some reads of the table.

        Args:
            tables: Members in each table.
            gap_s: Time between two reads.
        """

        async def main() -> list[str]:
            clock = VirtualClock()
            store = mock.Mock()
            member = GroupMember("own", store, clock, TTL_MS, None, None)
            for names in tables:
                table = dict(enumerate(names))
                store.partition_owners = mock.AsyncMock(return_value=table)
                self.assertEqual(await member.read_assignments(), table)
                await asyncio.sleep(gap_s)
            return member.newest_members()

        return run_in_virtual_time(main())

    def test_member_without_a_cell_for_a_moment(self):
        """It was taken to have joined last, so it was the first successor."""
        tables = [["own", "a|1.2.3.4:5|0"], ["own", "b|1.2.3.5:5|1"]]
        tables.append([*tables[0], "b|1.2.3.5:5|1"])
        newest = ["b|1.2.3.5:5|1", "a|1.2.3.4:5|0"]
        self.assertEqual(self.newest_members(tables), newest)

    def test_member_that_is_gone(self):
        """It is no successor, and is forgotten."""
        tables = [["own", "a|1.2.3.4:5|0"], ["own", "b|1.2.3.5:5|1"]]
        self.assertEqual(self.newest_members(tables), ["b|1.2.3.5:5|1"])
        tables.append([*tables[0], "b|1.2.3.5:5|1"])
        newest = ["a|1.2.3.4:5|0", "b|1.2.3.5:5|1"]
        self.assertEqual(self.newest_members(tables, gap_s=10.0), newest)


if __name__ == "__main__":
    unittest.main()
