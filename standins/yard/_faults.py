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
        lost: Share of calls that are done and not answered.
        late: Share of calls that are not answered and done much later.
        late_ms: Shortest and longest time until those are done.
        late_calls: Calls done late so far.
        thawed: Cleared while the caller's VM stands still; calls under way and
            answers wait.
    """

    def __init__(self, rng: random.Random, delay_ms: float = 1.0):
        self._rng = rng
        self.delay_ms = delay_ms
        self.cut = False
        self.refusing = False
        self.lost = 0.0
        self.late = 0.0
        self.late_ms = (1000.0, 6000.0)
        self.late_calls = 0
        self.thawed = asyncio.Event()
        self.thawed.set()
        self._background: set[asyncio.Task] = set()

    async def call(
        self, operation: Callable[[], Awaitable[T]], timeout_ms: float
    ) -> T:
        """Carries a call there and its answer back.

        Raises:
            SilentPathError: After the timeout; the call may be done, now or
                later.
            RefusedPathError: If it was turned away.
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await self._call(operation)
        except TimeoutError:
            await self.thawed.wait()
            raise SilentPathError from None

    async def _call(self, operation: Callable[[], Awaitable[T]]) -> T:
        await self._transit()
        if self.refusing:
            raise RefusedPathError
        if self._rng.random() < self.late:
            self._start_task(self._execute_late(operation))
            await asyncio.Event().wait()
        if self._rng.random() < self.lost:
            self._start_task(operation())
            await asyncio.Event().wait()
        reply = await operation()
        await self._transit()
        return reply

    async def _transit(self) -> None:
        await asyncio.sleep(self.delay_ms / MS_PER_SECOND)
        await self.thawed.wait()
        if self.cut:
            await asyncio.Event().wait()

    async def _execute_late(
        self, operation: Callable[[], Awaitable[T]]
    ) -> None:
        self.late_calls += 1
        await asyncio.sleep(self._rng.uniform(*self.late_ms) / MS_PER_SECOND)
        await operation()

    def _start_task(self, operation: Awaitable) -> None:
        task = asyncio.ensure_future(_ignore_result(operation))
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _ignore_result(operation: Awaitable) -> None:
    """Awaits a call whose answer nobody waits for, whatever it is."""
    await asyncio.gather(operation, return_exceptions=True)
