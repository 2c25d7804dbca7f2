"""Monotonic clocks, in milliseconds."""

import time
from typing import Protocol

MS_PER_SECOND = 1000


class Clock(Protocol):
    """A monotonic clock; its origin is arbitrary."""

    def now_ms(self) -> float:
        """Returns the current time in milliseconds."""


class BootClock:
    """Time since boot, including the time that the VM was suspended."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Returns milliseconds since boot."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class ManualClock:
    """A clock for tests and simulations that moves only by `advance`."""

    __slots__ = ("_now_ms",)

    def __init__(self, now_ms: float = 0.0):
        self._now_ms = now_ms

    def now_ms(self) -> float:
        """Returns the time that was last set, in milliseconds."""
        return self._now_ms

    def advance(self, delta_ms: float) -> None:
        """Moves the clock forward.

        Args:
            delta_ms: Milliseconds to add, at least 0.

        Raises:
            ValueError: If `delta_ms` is negative.
        """
        if delta_ms < 0:
            raise ValueError(f"clock cannot advance by {delta_ms} ms")
        self._now_ms += delta_ms
