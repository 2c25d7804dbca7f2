"""Which classes of tasks shared a worker at a past moment."""

import dataclasses

KEPT_MS = 30_000.0


@dataclasses.dataclass(slots=True)
class _Stay:
    class_name: str
    fraction: float
    from_ms: float
    to_ms: float = float("inf")


class Presence:
    """Stays of a cell's runs on one worker, by the worker's clock.

    Reports lag: a rate describes the runs that were there then, some of
    which have ended since, and not those that were started since. A run whose
    throttling changes begins another stay.
    """

    __slots__ = ("_open", "_stays")

    def __init__(self):
        self._open: dict[tuple[str, int], _Stay] = {}
        self._stays: list[tuple[tuple[str, int], _Stay]] = []

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
        stay = self._open.get(run)
        if stay is not None and stay.fraction == fraction:
            return
        if stay is not None:
            stay.to_ms = now_ms
        from_ms = since_ms if stay is None else now_ms
        self._open[run] = _Stay(class_name, fraction, from_ms)
        self._stays.append((run, self._open[run]))

    def ended(self, run: tuple[str, int], now_ms: float) -> None:
        """Takes in that a run has ended."""
        stay = self._open.pop(run, None)
        if stay is not None:
            stay.to_ms = now_ms

    def beside(
        self, run: tuple[str, int], at_ms: float
    ) -> tuple[tuple[str, float], ...]:
        """Returns classes and numbers of the others at a moment.

        A throttled run counts as the fraction of its speed.
        """
        counts: dict[str, float] = {}
        for key, stay in self._stays:
            if key != run and stay.from_ms <= at_ms < stay.to_ms:
                number = counts.get(stay.class_name, 0.0)
                counts[stay.class_name] = number + stay.fraction
        return tuple(sorted(counts.items()))

    def drop_before(self, at_ms: float) -> None:
        """Drops stays that ended long before a moment."""
        limit_ms = at_ms - KEPT_MS
        self._stays = [s for s in self._stays if s[1].to_ms > limit_ms]
