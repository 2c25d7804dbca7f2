"""Which classes of tasks shared a worker at a past moment."""

import dataclasses

RETENTION_MS = 30_000.0


@dataclasses.dataclass(slots=True)
class _Interval:
    class_name: str
    fraction: float
    from_ms: float
    to_ms: float = float("inf")


class ColocationHistory:
    """Stays of a cell's runs on one worker, by the worker's clock.

    Reports lag: a rate describes the runs that were there then, some of
    which have ended since, and not those that were started since. A run whose
    throttling changes begins another stay.
    """

    __slots__ = ("_open_intervals", "_intervals")

    def __init__(self):
        self._open_intervals: dict[tuple[str, int], _Interval] = {}
        self._intervals: list[tuple[tuple[str, int], _Interval]] = []

    def note(
        self,
        run: tuple[str, int],
        class_name: str,
        fraction: float,
        since_ms: float,
        now_ms: float,
    ) -> None:
        """Takes in that a run goes on.

        Args:
            run: Task and attempt.
            class_name: Class of the task.
            fraction: Part of its speed that it is throttled to.
            since_ms: When it was started.
            now_ms: When this was so.
        """
        interval = self._open_intervals.get(run)
        if interval is not None and interval.fraction == fraction:
            return
        if interval is not None:
            interval.to_ms = now_ms
        from_ms = since_ms if interval is None else now_ms
        self._open_intervals[run] = _Interval(class_name, fraction, from_ms)
        self._intervals.append((run, self._open_intervals[run]))

    def ended(self, run: tuple[str, int], now_ms: float) -> None:
        """Takes in that a run has ended."""
        interval = self._open_intervals.pop(run, None)
        if interval is not None:
            interval.to_ms = now_ms

    def neighbours_at(
        self, run: tuple[str, int], at_ms: float
    ) -> tuple[tuple[str, float], ...]:
        """Returns classes and numbers of the others at a moment.

        A throttled run counts as the fraction of its speed.
        """
        counts: dict[str, float] = {}
        for key, interval in self._intervals:
            if key != run and interval.from_ms <= at_ms < interval.to_ms:
                number = counts.get(interval.class_name, 0.0)
                counts[interval.class_name] = number + interval.fraction
        return tuple(sorted(counts.items()))

    def prune(self, at_ms: float) -> None:
        """Drops stays that ended long before a moment."""
        limit_ms = at_ms - RETENTION_MS
        self._intervals = [s for s in self._intervals if s[1].to_ms > limit_ms]
