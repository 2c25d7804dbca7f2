"""Counts work by kind, so that logs tell who waits and who is held back.

Lines about single runs are limited in number; these counts are complete.
"""

import dataclasses
from typing import TYPE_CHECKING

from limpetyard._events import event
from limpetyard.engine._placement import placer_name
from limpetyard.engine._worker import RunState

if TYPE_CHECKING:
    from limpetyard.engine._engine import Engine

# Time between two counts.
COUNT_INTERVAL_MS = 2000


@dataclasses.dataclass(slots=True)
class _Counts:
    """Counts of one kind of work, named after its placer.

    Attributes:
        waiting: Ready tasks that wait.
        running: Runs that are not being stopped.
        stopping: Runs that are.
        slowed: Running ones that were given less than full speed.
        paused: Those of them that were given none.
        over_target: Running ones over their latency target.
    """

    waiting: int = 0
    running: int = 0
    stopping: int = 0
    slowed: int = 0
    paused: int = 0
    over_target: int = 0


class Census:
    """Logs counts of all work of a cell, and the room that is left."""

    __slots__ = ("_counted_ms", "_engine")

    def __init__(self, engine: "Engine"):
        self._engine = engine
        self._counted_ms = float("-inf")

    def count_if_due(self, now_ms: float) -> None:
        """Counts, unless it was done a short time ago."""
        if now_ms - self._counted_ms < COUNT_INTERVAL_MS:
            return
        self._counted_ms = now_ms
        counts: dict[str, _Counts] = {}
        self._count_waiting(counts)
        self._count_runs(counts)
        for kind, number in sorted(counts.items()):
            event(
                "work_counted",
                kind=kind,
                waiting=number.waiting,
                running=number.running,
                stopping=number.stopping,
                slowed=number.slowed,
                paused=number.paused,
                over_target=number.over_target,
            )
        free = [
            worker.free_resources().cores_milli / 1000
            for worker in self._engine.workers.values()
            if not worker.entry.draining and worker.is_responsive(now_ms)
        ]
        event(
            "room_counted",
            workers=len(free),
            free_cores=sum(free),
            most_on_one=max(free, default=0.0),
        )

    def _count_waiting(self, counts: dict[str, _Counts]) -> None:
        for job in self._engine.open_jobs.values():
            for occurrence, number in job.waiting_steps():
                kind = placer_name(job.spec.steps[number])
                entry = counts.setdefault(kind, _Counts())
                entry.waiting += len(job.waiting_tasks(occurrence, number))

    def _count_runs(self, counts: dict[str, _Counts]) -> None:
        # A member of an enum is slow to look up, and there are many runs.
        stopping = RunState.STOPPING
        for worker in self._engine.workers.values():
            for run in worker.runs.values():
                entry = counts.setdefault(placer_name(run.step), _Counts())
                if run.state is stopping:
                    entry.stopping += 1
                    continue
                entry.running += 1
                entry.slowed += run.speed_percent < 100
                entry.paused += run.speed_percent == 0
                entry.over_target += run.strain is not None
