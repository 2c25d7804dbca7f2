"""An event loop whose time passes only while nothing is left to do."""

import asyncio
import selectors
from collections.abc import Coroutine

from limpetyard._clock import MS_PER_SECOND

# Time moves on by at least this, which a reading of any size can hold.
SMALLEST_STEP_S = 1e-6


# Time of day at which a world begins, Unix milliseconds.
START_WALL_MS = 1e12


class _JumpingSelector(selectors.SelectSelector):
    """Lets virtual time pass in place of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every task waits for something that never is")
        if timeout > 0:
            self.now_s += max(SMALLEST_STEP_S, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time that starts at 0."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns virtual seconds."""
        return self._jumping.now_s


class VirtualClock:
    """A node's clock on the running loop's time.

    Attributes:
        jump_ms: Added to the time of day.
    """

    def __init__(self):
        self.jump_ms = 0.0

    def now_ms(self) -> float:
        """Returns milliseconds of steady time."""
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    def wall_ms(self) -> float:
        """Returns the time of day, Unix milliseconds."""
        return self.now_ms() + START_WALL_MS + self.jump_ms


def run_in_virtual_time(main: Coroutine) -> object:
    """Runs a coroutine on virtual time and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
