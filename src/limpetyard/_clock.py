"""One clock type for every part of the system, in milliseconds."""

import time
from typing import Protocol

MS_PER_SECOND = 1000


class Clock(Protocol):
    """A clock that only moves forward; its origin has no meaning."""

    def now_ms(self) -> float:
        """Returns the present reading in milliseconds."""


class BootClock:
    """The clock of this machine, which goes on while the VM is suspended."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Returns milliseconds since boot."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class ManualClock:
    """A clock that moves only when told to."""

    __slots__ = ("_now_ms",)

    def __init__(self, now_ms: float = 0.0):
        self._now_ms = now_ms

    def now_ms(self) -> float:
        """Returns the reading last set."""
        return self._now_ms

    def advance(self, delta_ms: float) -> None:
        """Moves the clock forward.

        Args:
            delta_ms: Milliseconds to add, at least 0.

        Raises:
            ValueError: If `delta_ms` is negative.
        """
        if delta_ms < 0:
            raise ValueError(f"a clock cannot go back by {delta_ms} ms")
        self._now_ms += delta_ms
