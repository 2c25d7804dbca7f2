"""Measures how late the event loop of a node runs its callbacks."""

import asyncio

from mode import Service

from limpetyard._clock import MS_PER_SECOND, Clock
from limpetyard._events import event

# Interval of the measurements.
CHECK_INTERVAL_MS = 100

# A lag above this is logged. Heartbeats are due three times a second, so the
# loop is late for one of them.
LOGGED_LAG_MS = 250


class LoopMonitor(Service):
    """Measures the lag of the event loop: how late a timer fires."""

    def __init__(self, clock: Clock):
        super().__init__()
        self._clock = clock
        self._max_lag_ms = 0.0

    @Service.task
    async def _measure(self) -> None:
        while not self.should_stop:
            due_ms = self._clock.now_ms() + CHECK_INTERVAL_MS
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_SECOND)
            self.record_lag(self._clock.now_ms() - due_ms)

    def record_lag(self, lag_ms: float) -> None:
        """Records one measurement; logs a long lag."""
        self._max_lag_ms = max(self._max_lag_ms, lag_ms)
        if lag_ms >= LOGGED_LAG_MS:
            event("loop_blocked", lag_ms=lag_ms)

    def pop_max_lag_ms(self) -> float:
        """Returns the longest lag since the last call, and resets it."""
        max_lag_ms, self._max_lag_ms = self._max_lag_ms, 0.0
        return max_lag_ms
