"""A link between two parties, with injected faults."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from limpetyard._clock import MS_PER_SECOND
from standins.platform._processor import Processor

T = TypeVar("T")

# Values of a link without faults.
SOUND_LINK = {
    "cut": False,
    "refusing": False,
    "refusal_rate": 0.0,
    "reset_rate": 0.0,
    "delay_ms": 1.0,
    "reply_delay_ms": 0.0,
    "reply_loss_rate": 0.0,
    "late_rate": 0.0,
    "late_ms": (1000.0, 6000.0),
}


class LinkTimeoutError(Exception):
    """No reply arrived within the time-out."""


class LinkRefusedError(Exception):
    """The call was rejected without effect."""


class Link:
    """A link that carries calls and their replies.

    Attributes:
        delay_ms: Latency in one direction.
        cut: Whether neither calls nor replies pass.
        refusing: Whether calls are rejected.
        refusal_rate: Fraction of calls that are rejected.
        reset_rate: Fraction of calls whose connection breaks at once; half of
            these calls are executed.
        reply_loss_rate: Fraction of calls that are executed but get no reply.
        late_rate: Fraction of calls that get no reply and are executed late.
        late_ms: Shortest and longest delay of these late calls.
        reply_delay_ms: Further latency of replies, which may be out of date
            then.
        late_calls: Number of late calls so far.
        processor: Processor of the caller, or None if calls cost no time.
        thawed: Cleared while the caller's VM is frozen; calls and replies in
            transit wait until it is set.
    """

    def __init__(self, rng: random.Random, delay_ms: float = 1.0):
        self._rng = rng
        self.delay_ms = self._sound_delay_ms = delay_ms
        self.cut = False
        self.refusing = False
        self.refusal_rate = 0.0
        self.reset_rate = 0.0
        self.reply_loss_rate = 0.0
        self.late_rate = 0.0
        self.late_ms = (1000.0, 6000.0)
        self.reply_delay_ms = 0.0
        self.late_calls = 0
        self.processor: Processor | None = None
        self.thawed = asyncio.Event()
        self.thawed.set()
        self._background: set[asyncio.Task] = set()

    @property
    def disturbed(self) -> bool:
        """Whether calls may fail or take longer than usual now."""
        rates = (
            self.refusal_rate,
            self.reset_rate,
            self.reply_loss_rate,
            self.late_rate,
        )
        return (
            self.cut
            or self.refusing
            or any(rates)
            or self.delay_ms > self._sound_delay_ms
            or self.reply_delay_ms > 0
        )

    async def call(
        self, operation: Callable[[], Awaitable[T]], timeout_ms: float
    ) -> T:
        """Executes a call over the link and returns its reply.

        Raises:
            LinkTimeoutError: If no reply arrives within the time-out; the call
                may have been executed or may be executed later.
            LinkRefusedError: If the link rejects the call.
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                exchange = self._call(operation)
                if self.processor is not None:
                    return await self.processor.call(exchange)
                return await exchange
        except TimeoutError:
            await self.thawed.wait()
            raise LinkTimeoutError from None

    async def _call(self, operation: Callable[[], Awaitable[T]]) -> T:
        await self._transit()
        if self.refusing or self._draw(self.refusal_rate):
            raise LinkRefusedError
        if self._draw(self.reset_rate):
            if self._rng.random() < 0.5:
                self._start_task(operation())
            raise LinkTimeoutError
        if self._rng.random() < self.late_rate:
            self._start_task(self._execute_late(operation))
            await asyncio.Event().wait()
        if self._rng.random() < self.reply_loss_rate:
            self._start_task(operation())
            await asyncio.Event().wait()
        reply = await operation()
        if self.reply_delay_ms:
            await asyncio.sleep(self.reply_delay_ms / MS_PER_SECOND)
        await self._transit()
        return reply

    def _draw(self, rate: float) -> bool:
        """Draws, unless the rate is 0, so that other draws stay the same."""
        return rate > 0 and self._rng.random() < rate

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
    """Awaits a call and discards its result or exception."""
    await asyncio.gather(operation, return_exceptions=True)
