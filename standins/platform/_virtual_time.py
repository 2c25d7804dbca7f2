"""An event loop on virtual time, which advances only while it is idle."""

import asyncio
import functools
import selectors
from collections.abc import Callable, Coroutine

from limpetyard._clock import MS_PER_SECOND
from standins.platform._processor import schedule

# Virtual time advances by at least this much, so that the addition changes the
# float however large the time is.
MIN_STEP_S = 1e-6

# Time of day at virtual time 0, Unix milliseconds.
START_WALL_MS = 1e12


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time by the time-out instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError(
                "deadlock: no callback is ready and no timer is set"
            )
        if timeout > 0:
            self.now_s += max(MIN_STEP_S, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, which starts at 0."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_s

    def call_soon(
        self, callback: Callable, *args, context=None
    ) -> asyncio.Handle:
        """See `asyncio.loop.call_soon`; takes turns on a node's processor."""
        return schedule(super().call_soon, callback, args, context)

    def call_at(
        self, when: float, callback: Callable, *args, context=None
    ) -> asyncio.TimerHandle:
        """See `asyncio.loop.call_at`; takes turns on a node's processor."""
        call = functools.partial(super().call_at, when)
        return schedule(call, callback, args, context)


class VirtualClock:
    """A node's clock, derived from the time of the running loop.

    Attributes:
        jump_ms: Offset of the time of day, to simulate clock skew.
    """

    def __init__(self):
        self.jump_ms = 0.0

    def now_ms(self) -> float:
        """Returns the monotonic time in milliseconds."""
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    def wall_ms(self) -> float:
        """Returns the time of day in Unix milliseconds."""
        return self.now_ms() + START_WALL_MS + self.jump_ms


def run_in_virtual_time(main: Coroutine) -> object:
    """Runs a coroutine in virtual time and returns its result.

    Tasks that still run afterwards are cancelled.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
