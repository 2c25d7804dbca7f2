"""Reads the records of one cell and of the workers into the engine."""

from collections.abc import Callable

import msgspec

from limpetyard._clock import Clock
from limpetyard._events import event
from limpetyard.engine import Engine, WorkerEntry
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    PROGRESS_PREFIX,
    apply_progress,
    decode_spec,
)
from limpetyard.node._store_layout import WORKER_KEY
from limpetyard.store import StoredRecord


class CellRecords:
    """What one owner has read.

    Until `begin` it collects, since a job's progress may be read before the
    job; after that it follows.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_collected",
        "_engine",
        "_read_entry",
        "_recorded",
        "_wall_ms",
    )

    def __init__(
        self,
        engine: Engine,
        read_entry: Callable[[StoredRecord], WorkerEntry | None],
        clock: Clock,
        wall_ms: Callable[[], float],
        changed: Callable[[], None],
    ):
        """Makes a reader.

        Args:
            engine: Told what is read.
            read_entry: Reads a worker's entry.
            clock: Times what is read.
            wall_ms: Time of day, Unix milliseconds.
            changed: Told when there is news.
        """
        self._engine = engine
        self._read_entry = read_entry
        self._clock = clock
        self._wall_ms = wall_ms
        self._changed = changed
        self._collected: list[StoredRecord] | None = []
        self._recorded: dict[str, tuple[int, bool]] = {}

    def begin(self) -> dict[str, tuple[int, bool]]:
        """Takes in what was collected.

        Returns:
            Life of each worker that an earlier owner recorded, and whether it
            was leaving, by its id.
        """
        records, self._collected = self._collected, None
        newest = {record.key: record for record in records}
        for prefix in (
            WORKER_KEY,
            ACCEPTED_PREFIX,
            PROGRESS_PREFIX,
            CANCELLED_PREFIX,
        ):
            for key, record in newest.items():
                if key.startswith(prefix) and record.value is not None:
                    self._take(record, loaded=True)
        return self._recorded

    def take_jobs(self, records: list[StoredRecord]) -> None:
        if self._collected is not None:
            self._collected += records
            return
        for record in records:
            if record.value is not None:
                self._take(record, loaded=False)
        if records:
            self._changed()

    def _take(self, record: StoredRecord, loaded: bool) -> None:
        try:
            for prefix, take in _RECORD_KINDS.items():
                if record.key.startswith(prefix):
                    take(self, record, loaded)
        except msgspec.MsgspecError as exc:
            event("record_unreadable", "ERROR", key=record.key, reason=exc)

    def _take_accepted(self, record: StoredRecord, loaded: bool) -> None:
        spec = decode_spec(record.value)
        now_ms = self._clock.now_ms()
        age_ms = max(0.0, self._wall_ms() - spec.accepted_ms)
        known = spec.id in self._engine.jobs
        seen_ms = now_ms - age_ms if loaded else now_ms
        self._engine.add_job(spec, seen_ms, loaded)
        if not known and not loaded:
            event("job_read", job=spec.id, queue=spec.queue.name, age_ms=age_ms)

    def _take_progress(self, record: StoredRecord, loaded: bool) -> None:
        job = self._engine.jobs.get(record.key.removeprefix(PROGRESS_PREFIX))
        if loaded and job is not None:
            apply_progress(job, record.value, self._clock.now_ms())
            if job.over:
                self._engine.open_jobs.pop(job.spec.id, None)

    def _take_cancelled(self, record: StoredRecord, loaded: bool) -> None:
        job_id = record.key.removeprefix(CANCELLED_PREFIX)
        self._engine.cancel(job_id, self._clock.now_ms())

    def _take_worker(self, record: StoredRecord, loaded: bool) -> None:
        if not loaded:
            return
        entry = msgspec.msgpack.decode(record.value, type=WorkerEntry)
        self._recorded[entry.id] = (entry.born, entry.draining)
        now_ms = self._clock.now_ms()
        if entry.id not in self._engine.workers:
            self._engine.set_entry(entry, now_ms)
            self._engine.mark_entry_missing(entry.id, now_ms)

    def take_entries(self, records: list[StoredRecord]) -> None:
        now_ms = self._clock.now_ms()
        for record in records:
            entry = None
            if record.value is not None:
                entry = self._read_entry(record)
            if entry is None:
                self._engine.mark_entry_missing(record.key, now_ms)
                continue
            known = self._engine.workers.get(entry.id)
            if known is None or known.entry.draining != entry.draining:
                event(
                    "worker_listed",
                    worker=entry.id,
                    draining=entry.draining,
                    zone=entry.availability_zone,
                )
            self._engine.set_entry(entry, now_ms)
        if records:
            self._changed()

    def reset_entries(self, keys: set[str]) -> None:
        now_ms = self._clock.now_ms()
        for worker_id in self._engine.workers:
            if worker_id not in keys:
                self._engine.mark_entry_missing(worker_id, now_ms)


_RECORD_KINDS = {
    ACCEPTED_PREFIX: CellRecords._take_accepted,
    PROGRESS_PREFIX: CellRecords._take_progress,
    CANCELLED_PREFIX: CellRecords._take_cancelled,
    WORKER_KEY: CellRecords._take_worker,
}
