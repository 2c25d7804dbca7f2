"""Tests of the membership in the group that assigns cells, in virtual time."""

import asyncio
import unittest

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


if __name__ == "__main__":
    unittest.main()
