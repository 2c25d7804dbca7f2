"""Continuous check that long-running tasks run while workers have room."""

import asyncio
from typing import TYPE_CHECKING

from limpetyard._clock import MS_PER_SECOND
from limpetyard.jobs import JobSpec, TaskKey
from standins.platform._history import (
    JobAccepted,
    RunEnded,
    RunStarted,
    TaskIdle,
    ZoneChanged,
)

if TYPE_CHECKING:
    from standins.platform._site import SimulatedSite

SAMPLE_INTERVAL_MS = 100

# A task must run this long after the end of its last run, or after the
# acceptance of its job, ...
RESTART_MS = 6000

# ... and must not wait longer than this from then on, ...
MAX_IDLE_MS = 3000

# ... if there was no fault for this long.
UNDISTURBED_MS = 7000

# A worker has room if this many more tasks of the step fit.
ROOM_FACTOR = 2


class LongRunningTaskWatch:
    """Records in the history each long-running task that waits too long.

    Timed jobs are left out, as their tasks are not due at once.
    """

    def __init__(self, site: "SimulatedSite"):
        self._site = site
        self._read_entries = 0
        self._specs: dict[str, JobSpec] = {}
        # When each task last ended or its job was accepted, by task.
        self._idle_since_ms: dict[TaskKey, float] = {}
        self._zones_out: set[str] = set()
        # Since when the task waits in vain, and the workers that had room for
        # it in all samples since then.
        self._waits: dict[TaskKey, tuple[float, set[str]]] = {}
        self._reported: set[TaskKey] = set()

    async def run(self) -> None:
        """Takes samples until cancelled."""
        while True:
            self._read_history()
            self._sample(self._site.clock.now_ms())
            await asyncio.sleep(SAMPLE_INTERVAL_MS / MS_PER_SECOND)

    def _read_history(self) -> None:
        entries = self._site.history.entries
        for entry in entries[self._read_entries :]:
            if isinstance(entry, JobAccepted):
                self._add_job(entry)
            elif isinstance(entry, RunStarted):
                self._reported.discard(entry.task)
            elif isinstance(entry, RunEnded):
                if entry.task.job in self._specs:
                    self._idle_since_ms[entry.task] = entry.at_ms
            elif isinstance(entry, ZoneChanged):
                self._zones_out.discard(entry.zone)
                if entry.out:
                    self._zones_out.add(entry.zone)
        self._read_entries = len(entries)

    def _add_job(self, entry: JobAccepted) -> None:
        spec = entry.spec
        watched = spec.steps[0].long_running and not spec.timed
        if not watched or spec.id in self._specs:
            return
        self._specs[spec.id] = spec
        for index in range(spec.steps[0].count):
            key = TaskKey(spec.id, 0, 0, index)
            self._idle_since_ms.setdefault(key, entry.at_ms)

    def _sample(self, now_ms: float) -> None:
        history = self._site.history
        workers = self._site.workers
        running = {task for w in workers.values() for task in w.running()}
        for task, idle_since_ms in self._idle_since_ms.items():
            due_ms = idle_since_ms + RESTART_MS
            room = set()
            if (
                task not in running
                and task.job not in history.cancel_requests
                and now_ms >= due_ms
            ):
                room = self._workers_with_room(self._specs[task.job])
            since_ms, before = self._waits.get(task, (now_ms, room))
            room &= before
            if not room:
                self._waits.pop(task, None)
                continue
            self._waits[task] = (since_ms, room)
            if (
                now_ms - since_ms >= MAX_IDLE_MS
                and history.undisturbed_ms(now_ms) >= UNDISTURBED_MS
                and task not in self._reported
            ):
                self._reported.add(task)
                history.add(TaskIdle(now_ms, task, idle_since_ms, min(room)))

    def _workers_with_room(self, spec: JobSpec) -> set[str]:
        return {
            worker.entry.id
            for worker in self._site.workers.values()
            if worker.has_room(spec, 0, ROOM_FACTOR)
            and worker.entry.availability_zone not in self._zones_out
        }
