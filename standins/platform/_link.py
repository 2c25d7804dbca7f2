"""Paths between two parties, and what can go wrong on them."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from limpetyard._clock import MS_PER_SECOND

T = TypeVar("T")


class SilentPathError(Exception):
    """No answer comes back."""


class RefusedPathError(Exception):
    """The call was turned away; nothing was done."""


class Link:
    """A path that calls take.

    Attributes:
        delay_ms: One way.
        cut: Whether nothing passes.
        refusing: Whether calls are turned away.
        reply_loss_rate: Share of calls that are done and not answered.
        late_rate: Share of calls that are not answered and done much later.
        late_ms: Shortest and longest time until those are done.
        late_now: Calls done late so far.
        thawed: Cleared while the caller's VM stands still; calls under way and
            answers wait.
    """

    def __init__(self, rng: random.Random, delay_ms: float = 1.0):
        self._rng = rng
        self.delay_ms = delay_ms
        self.cut = False
        self.refusing = False
        self.reply_loss_rate = 0.0
        self.late_rate = 0.0
        self.late_ms = (1000.0, 6000.0)
        self.late_now = 0
        self.thawed = asyncio.Event()
        self.thawed.set()
        self._background: set[asyncio.Task] = set()

    async def carry(
        self, act: Callable[[], Awaitable[T]], timeout_ms: float
    ) -> T:
        """Carries a call there and its answer back.

        Raises:
            SilentPathError: After the timeout; the call may be done, now or
                later.
            RefusedPathError: If it was turned away.
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await self._carry(act)
        except TimeoutError:
            await self.thawed.wait()
            raise SilentPathError from None

    async def _carry(self, act: Callable[[], Awaitable[T]]) -> T:
        await self._travel()
        if self.refusing:
            raise RefusedPathError
        if self._rng.random() < self.late_rate:
            self._start(self._do_late(act))
            await asyncio.Event().wait()
        if self._rng.random() < self.reply_loss_rate:
            self._start(act())
            await asyncio.Event().wait()
        answer = await act()
        await self._travel()
        return answer

    async def _travel(self) -> None:
        await asyncio.sleep(self.delay_ms / MS_PER_SECOND)
        await self.thawed.wait()
        if self.cut:
            await asyncio.Event().wait()

    async def _do_late(self, act: Callable[[], Awaitable[T]]) -> None:
        self.late_now += 1
        await asyncio.sleep(self._rng.uniform(*self.late_ms) / MS_PER_SECOND)
        await act()

    def _start(self, act: Awaitable) -> None:
        task = asyncio.ensure_future(_quiet(act))
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _quiet(act: Awaitable) -> None:
    """Awaits a call whose answer nobody waits for, whatever it is."""
    await asyncio.gather(act, return_exceptions=True)
