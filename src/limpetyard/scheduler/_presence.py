"""Which classes of tasks shared a worker at a past moment."""

import collections
import dataclasses

KEPT_MS = 30_000.0


@dataclasses.dataclass(slots=True)
class _Stay:
    class_name: str
    from_ms: float
    to_ms: float


class Presence:
    """Stays of a cell's runs on one worker, by the worker's clock.

    Reports lag: a rate describes the runs that were there then, some of
    which have ended since, and not those that were started since.
    """

    __slots__ = ("_stays",)

    def __init__(self):
        self._stays: dict[tuple[str, int], _Stay] = {}

    def note(
        self,
        run: tuple[str, int],
        class_name: str,
        from_ms: float,
        to_ms: float,
    ) -> None:
        """Takes in a run's stay as far as it is known.

        Args:
            run: Task and attempt.
            class_name: Class of the task.
            from_ms: When it was started.
            to_ms: When it ended, or infinity.
        """
        stay = self._stays.get(run)
        if stay is None:
            self._stays[run] = _Stay(class_name, from_ms, to_ms)
        else:
            stay.to_ms = min(stay.to_ms, to_ms)

    def beside(
        self, run: tuple[str, int], at_ms: float
    ) -> tuple[tuple[str, int], ...]:
        """Returns classes and numbers of the others at a moment."""
        counts: collections.Counter[str] = collections.Counter(
            stay.class_name
            for key, stay in self._stays.items()
            if key != run and stay.from_ms <= at_ms < stay.to_ms
        )
        return tuple(sorted(counts.items()))

    def drop_before(self, at_ms: float) -> None:
        """Drops stays that ended long before a moment."""
        self._stays = {
            key: stay
            for key, stay in self._stays.items()
            if stay.to_ms > at_ms - KEPT_MS
        }
