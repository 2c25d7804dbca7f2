"""A breaker that keeps work from a worker that fails all it starts."""

FAILURES_TO_OPEN = 4
INITIAL_OPEN_MS = 5_000.0
MAX_OPEN_MS = 300_000.0


class CircuitBreaker:
    """Counts failures in a row; an open breaker lets one probe through.

    Attributes:
        failures: Failures since the last success.
    """

    __slots__ = (
        "_open_until_ms",
        "_next_open_ms",
        "_probe_pending",
        "failures",
    )

    def __init__(self):
        self.failures = 0
        self._next_open_ms = INITIAL_OPEN_MS
        self._open_until_ms = float("-inf")
        self._probe_pending = False

    @property
    def tripped(self) -> bool:
        """Whether the worker has to prove itself by a probe."""
        return self.failures >= FAILURES_TO_OPEN

    def admissible_runs(self, now_ms: float) -> int | None:
        """Returns how many runs may be placed now, None for no limit."""
        if not self.tripped:
            return None
        waiting = now_ms < self._open_until_ms
        return 0 if waiting or self._probe_pending else 1

    def record_placement(self) -> None:
        """Takes in that a run was placed."""
        self._probe_pending = self.tripped

    def record_success(self) -> None:
        """Takes in a run that did not fail."""
        self.failures = 0
        self._next_open_ms = INITIAL_OPEN_MS
        self._probe_pending = False

    def record_failure(self, now_ms: float) -> None:
        """Takes in a run that failed."""
        self.failures += 1
        self._probe_pending = False
        if not self.tripped:
            return
        self._open_until_ms = now_ms + self._next_open_ms
        self._next_open_ms = min(2 * self._next_open_ms, MAX_OPEN_MS)

    def record_inconclusive(self) -> None:
        """Takes in a run that ended without a verdict on the worker."""
        self._probe_pending = False
