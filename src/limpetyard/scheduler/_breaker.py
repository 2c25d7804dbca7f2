"""Circuit breaker that limits placements on a worker whose runs fail."""

FAILURES_TO_OPEN = 4
INITIAL_OPEN_MS = 5_000.0
MAX_OPEN_MS = 300_000.0


class CircuitBreaker:
    """Counts consecutive failed runs of one worker.

    The breaker opens after `FAILURES_TO_OPEN` failures and admits no run for
    a pause. The pause doubles with every further failure, up to `MAX_OPEN_MS`.
    After it, the breaker admits one run at a time as a probe, until a run
    succeeds.

    Attributes:
        failures: Number of failed runs since the last success.
    """

    __slots__ = (
        "_next_open_ms",
        "_open_until_ms",
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
        """Whether the breaker is open or half-open."""
        return self.failures >= FAILURES_TO_OPEN

    def admissible_runs(self, now_ms: float) -> int | None:
        """Returns how many runs may be placed now, or None for no limit."""
        if not self.tripped:
            return None
        is_open = now_ms < self._open_until_ms
        return 0 if is_open or self._probe_pending else 1

    def record_placement(self) -> None:
        """Records that a run was placed; it is the probe if tripped."""
        self._probe_pending = self.tripped

    def record_success(self) -> None:
        """Records a successful run and closes the breaker."""
        self.failures = 0
        self._next_open_ms = INITIAL_OPEN_MS
        self._probe_pending = False

    def record_failure(self, now_ms: float) -> None:
        """Records a failed run and opens the breaker at the threshold."""
        self.failures += 1
        self._probe_pending = False
        if not self.tripped:
            return
        self._open_until_ms = now_ms + self._next_open_ms
        self._next_open_ms = min(2 * self._next_open_ms, MAX_OPEN_MS)

    def record_inconclusive(self) -> None:
        """Records a run whose end says nothing about the worker's health.

        It neither opens nor closes the breaker; another probe may follow.
        """
        self._probe_pending = False
