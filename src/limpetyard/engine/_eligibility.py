"""Conditions under which a worker gets no new work.

Each condition is a function on lists of workers, so that a round of planning
applies it to all workers in one call.
"""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from limpetyard._events import event
from limpetyard._registry import Registry
from limpetyard.engine._worker import Worker

if TYPE_CHECKING:
    from limpetyard.engine._engine import Engine

# Returns the workers that the condition does not withhold, given some workers,
# the engine and the time.
Condition = Callable[[list[Worker], "Engine", float], list[Worker]]

CONDITIONS: Registry[Condition] = Registry("condition")

# A worker counts for the first of these that withholds it. Those that an
# operator or the platform has caused come first.
CONDITION_ORDER = (
    "draining",
    "missing",
    "zone_out",
    "entry_outdated",
    "unconfirmed",
    "silent",
    "unrecorded",
    "unleased",
    "backoff",
    "suspect",
    "probation",
)

# Conditions of workers that are about to leave or have left.
LEAVING = frozenset({"draining", "missing"})

# Time after a takeover by which all workers should have become usable; later
# ones are not followed.
FOLLOWED_MS = 5000


def usable_workers(
    workers: Iterable[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    """Returns the workers that may get new work."""
    usable = list(workers)
    for condition in _ORDERED:
        usable = condition(usable, engine, now_ms)
    return usable


def withheld_workers(
    workers: Iterable[Worker], engine: "Engine", now_ms: float
) -> dict[str, list[Worker]]:
    """Returns the workers that get no new work, by condition."""
    left = list(workers)
    withheld: dict[str, list[Worker]] = {}
    for name, condition in zip(CONDITION_ORDER, _ORDERED, strict=True):
        passed = condition(left, engine, now_ms)
        if len(passed) < len(left):
            ids = {worker.id for worker in passed}
            withheld[name] = [w for w in left if w.id not in ids]
        left = passed
    return withheld


def count_text(withheld: dict[str, list[Worker]]) -> str:
    """Returns the number of workers by condition, for log lines."""
    return " ".join(f"{name}:{len(ws)}" for name, ws in withheld.items())


class TakeoverProgress:
    """Logs how the workers become usable after a takeover.

    There is a line once the first, half and all of the workers that are listed
    and do not drain are usable, and one if some of them are not in time.
    """

    __slots__ = ("_engine", "_marks", "_since_ms")

    def __init__(self, engine: "Engine"):
        self._engine = engine
        self._since_ms: float | None = None
        # Shares that are still to be reached, in this order.
        self._marks = [("first", 0.0), ("half", 0.5), ("all", 1.0)]

    def observe(self, now_ms: float) -> None:
        """Logs the largest share that has been reached since the last call."""
        if not self._marks:
            return
        if self._since_ms is None:
            self._since_ms = now_ms
        workers = list(self._engine.workers.values())
        withheld = withheld_workers(workers, self._engine, now_ms)
        usable = len(workers) - sum(map(len, withheld.values()))
        leaving = sum(len(withheld.get(name, ())) for name in LEAVING)
        expected = len(workers) - leaving
        reached = ""
        while self._marks and usable >= max(1, self._marks[0][1] * expected):
            reached = self._marks.pop(0)[0]
        if not reached and now_ms - self._since_ms >= FOLLOWED_MS:
            reached = "late"
            self._marks = []
        if reached:
            event(
                "workers_usable",
                epoch=self._engine.epoch,
                reached=reached,
                usable=usable,
                expected=expected,
                age_ms=now_ms - self._since_ms,
                withheld=count_text(withheld),
            )


@CONDITIONS.register("backoff")
def _backoff(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    """A start order got no reply."""
    return [w for w in workers if now_ms >= w.backoff_until_ms]


@CONDITIONS.register("draining")
def _draining(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    return [w for w in workers if not w.entry.draining]


@CONDITIONS.register("entry_outdated")
def _entry_outdated(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    """The directory entry is that of another incarnation."""
    return [w for w in workers if w.entry.born == w.born]


@CONDITIONS.register("missing")
def _missing(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    """The worker has no directory entry."""
    return [w for w in workers if w.missing_since_ms is None]


@CONDITIONS.register("probation")
def _probation(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    return [w for w in workers if not w.failures or w.accepts_task(now_ms)]


@CONDITIONS.register("silent")
def _silent(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    return [w for w in workers if w.is_responsive(now_ms)]


@CONDITIONS.register("suspect")
def _suspect(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    """The worker runs a task that may crash it."""
    return [w for w in workers if w.isolated_run is None or not w.hosts_suspect]


@CONDITIONS.register("unconfirmed")
def _unconfirmed(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    """The worker has not replied to a poll with its present token."""
    return [w for w in workers if w.token_confirmed]


@CONDITIONS.register("unleased")
def _unleased(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    may_lease = engine.may_lease
    return [w for w in workers if may_lease(w.id)]


@CONDITIONS.register("unrecorded")
def _unrecorded(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    """The present incarnation is not stored."""
    return [w for w in workers if w.recorded]


@CONDITIONS.register("zone_out")
def _zone_out(
    workers: list[Worker], engine: "Engine", now_ms: float
) -> list[Worker]:
    zones_out = engine.zones_out
    return [w for w in workers if w.entry.availability_zone not in zones_out]


_ORDERED = tuple(map(CONDITIONS.get, CONDITION_ORDER))
