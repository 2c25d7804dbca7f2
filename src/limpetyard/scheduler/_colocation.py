"""History of which task classes ran together on a worker."""

import dataclasses

RETENTION_MS = 30_000.0


@dataclasses.dataclass(slots=True)
class _Interval:
    class_name: str
    fraction: float
    from_ms: float
    to_ms: float = float("inf")


class ColocationHistory:
    """Intervals during which each of a cell's runs was on one worker.

    All times are readings of the worker's clock. Reports lag: a measured rate
    reflects the runs at the time of measurement, some of which have ended
    since. Runs that were started later must not count. A change of a run's
    throttling begins a new interval.
    """

    __slots__ = ("_intervals", "_open_intervals")

    def __init__(self):
        self._open_intervals: dict[tuple[str, int], _Interval] = {}
        self._intervals: list[tuple[tuple[str, int], _Interval]] = []

    def record_running(
        self,
        run: tuple[str, int],
        class_name: str,
        fraction: float,
        since_ms: float,
        now_ms: float,
    ) -> None:
        """Records that a run is running.

        Args:
            run: Id of the task, and the attempt.
            class_name: Class of the task.
            fraction: Fraction of full speed that it is throttled to.
            since_ms: When the run was started.
            now_ms: Time of the report.
        """
        interval = self._open_intervals.get(run)
        if interval is not None and interval.fraction == fraction:
            return
        if interval is not None:
            interval.to_ms = now_ms
        from_ms = since_ms if interval is None else now_ms
        self._open_intervals[run] = _Interval(class_name, fraction, from_ms)
        self._intervals.append((run, self._open_intervals[run]))

    def record_end(self, run: tuple[str, int], now_ms: float) -> None:
        """Closes the interval of a run that has ended."""
        interval = self._open_intervals.pop(run, None)
        if interval is not None:
            interval.to_ms = now_ms

    def neighbours_at(
        self, run: tuple[str, int], at_ms: float
    ) -> tuple[tuple[str, float], ...]:
        """Returns classes and counts of the other runs at a point in time.

        A throttled run counts as the fraction of full speed that it kept.
        """
        counts: dict[str, float] = {}
        for key, interval in self._intervals:
            if key != run and interval.from_ms <= at_ms < interval.to_ms:
                count = counts.get(interval.class_name, 0.0)
                counts[interval.class_name] = count + interval.fraction
        return tuple(sorted(counts.items()))

    def prune(self, at_ms: float) -> None:
        """Drops intervals that ended over `RETENTION_MS` before `at_ms`."""
        cutoff_ms = at_ms - RETENTION_MS
        self._intervals = [i for i in self._intervals if i[1].to_ms > cutoff_ms]
