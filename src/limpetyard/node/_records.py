"""Applies the stored records of a cell and of its workers to the engine."""

import asyncio
import math
from collections.abc import Callable

import msgspec

from limpetyard._clock import Clock
from limpetyard._events import event
from limpetyard.engine import (
    Engine,
    RecordedState,
    WorkerEntry,
    WorkerRecord,
)
from limpetyard.jobs import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    CHUNK_PREFIX,
    PROGRESS_PREFIX,
    QUEUE_SERVICE_PREFIX,
    Job,
    JobSpec,
    QueueService,
    apply_progress,
    cancelled_job,
    cancels_jobs_of,
    chunk_job,
    decode_queue_service,
    decode_record,
    decode_spec,
)
from limpetyard.node._early_cancellations import EarlyCancellations
from limpetyard.node._order_permit import decode_witnesses
from limpetyard.node._store_layout import (
    PLACES_KEY,
    SETTLED_KEY,
    UNLEASED_KEY,
    WITNESSES_PREFIX,
    WORKER_KEY_PREFIX,
)
from limpetyard.node._unleased_workers import UnleasedRecord, decode_unleased
from limpetyard.store import StoredRecord

_worker_decoder = msgspec.msgpack.Decoder(WorkerRecord)

# Records applied in one iteration of the event loop while a cell is loaded.
# Some jobs have thousands of tasks, and heartbeats are due meanwhile.
APPLIED_PER_ITERATION = 8

# Longest epoch, bytes: the store has offsets of 64 bits.
MAX_EPOCH_BYTES = 8


class RecordApplier:
    """Applies the records that an owner has read to the owner's engine.

    Records of the jobs topic are collected until `apply_collected`, since the
    progress of a job may be read before the job. After that they are applied at
    once, as directory entries always are.

    Attributes:
        stray_keys: Keys of records that are of no use, to be deleted.
        stray_chunks: Chunks, by key, of jobs that are not known: an owner that
            knows no chunks has deleted the job.
        deleted_jobs: Ids of ended jobs whose records are deleted, or about to
            be, but which are still known.
        early_cancellations: Cancellations of jobs that have not been read.
        overwritten_jobs: Ids of known jobs that a later submission under their
            id has overwritten in the store with another specification.
        unrecorded_services: Services of queues of jobs that were read, without
            a record: nodes of an earlier release have accepted the jobs.
    """

    __slots__ = (
        "_clock",
        "_collected",
        "_engine",
        "_on_change",
        "_parse_worker_entry",
        "_recorded_services",
        "_recorded_workers",
        "_wall_ms",
        "deleted_jobs",
        "early_cancellations",
        "overwritten_jobs",
        "stray_keys",
        "stray_chunks",
        "unrecorded_services",
    )

    def __init__(
        self,
        engine: Engine,
        parse_worker_entry: Callable[[StoredRecord], WorkerEntry | None],
        clock: Clock,
        wall_ms: Callable[[], float],
        on_change: Callable[[], None],
    ):
        """Initializes an applier.

        Args:
            engine: Engine that the records are applied to.
            parse_worker_entry: Decodes the directory entry of a worker; returns
                None if it cannot be decoded or its state is neither ready nor
                draining.
            clock: Clock for the times at which records are applied.
            wall_ms: Returns the time of day in Unix milliseconds.
            on_change: Called after `apply_jobs` or `apply_entries` has applied
                records.
        """
        self._engine = engine
        self._parse_worker_entry = parse_worker_entry
        self._clock = clock
        self._wall_ms = wall_ms
        self._on_change = on_change
        # None once the collected records have been applied.
        self._collected: list[StoredRecord] | None = []
        # By worker id.
        self._recorded_workers: dict[str, RecordedState] = {}
        self.stray_keys: set[str] = set()
        self.stray_chunks: dict[str, bytes] = {}
        self.early_cancellations = EarlyCancellations()
        self.deleted_jobs: set[str] = set()
        self.overwritten_jobs: set[str] = set()
        self._recorded_services: set[QueueService] = set()
        self.unrecorded_services: set[QueueService] = set()

    def places_epoch(self) -> int:
        """Returns the epoch of the latest owner that stored places.

        That is one that stored the place of each long-running task before it
        started the task there. Returns 0 if there was none. Must be called
        before `apply_collected`.
        """
        return self._stored_epoch(PLACES_KEY)

    def settled_epoch(self) -> int:
        """Returns the epoch of the latest owner that had no earlier one left.

        That is one that has stored that no owner before it issues orders.
        Returns 0 if there was none. Must be called before `apply_collected`.
        """
        return self._stored_epoch(SETTLED_KEY)

    def witnesses(self) -> dict[int, list[str]]:
        """Returns the addresses of the witnesses of each owner, by epoch.

        Must be called before `apply_collected`.
        """
        witnesses: dict[int, list[str]] = {}
        for record in self._collected:
            number = record.key.removeprefix(WITNESSES_PREFIX)
            if number == record.key or not number.isdecimal():
                continue
            if record.value is None:
                witnesses.pop(int(number), None)
            else:
                witnesses[int(number)] = decode_witnesses(record.value)
        return witnesses

    def unleased(self) -> UnleasedRecord:
        """Returns which workers get no lease from the owner that stored it.

        Must be called before `apply_collected`.
        """
        value = None
        for record in self._collected:
            if record.key == UNLEASED_KEY:
                value = record.value
        return decode_unleased(value)

    def _stored_epoch(self, key: str) -> int:
        epoch = 0
        for record in self._collected:
            if record.key != key or record.value is None:
                continue
            if len(record.value) > MAX_EPOCH_BYTES:
                reason = f"{len(record.value)} bytes"
                event(
                    "record_unreadable", "ERROR", key=record.key, reason=reason
                )
                continue
            epoch = int.from_bytes(record.value)
        return epoch

    async def apply_collected(self) -> dict[str, RecordedState]:
        """Applies the collected records, a few in each loop iteration.

        Returns:
            State of each worker that an earlier owner recorded, by worker id.
        """
        records, self._collected = self._collected, None
        latest = {record.key: record for record in records}
        for prefix in (
            WORKER_KEY_PREFIX,
            QUEUE_SERVICE_PREFIX,
            ACCEPTED_PREFIX,
            CHUNK_PREFIX,
            PROGRESS_PREFIX,
            CANCELLED_PREFIX,
        ):
            applied = 0
            for key, record in latest.items():
                if key.startswith(prefix) and record.value is not None:
                    self._apply(record, loaded=True)
                    applied += 1
                    if applied % APPLIED_PER_ITERATION == 0:
                        await asyncio.sleep(0)
        return self._recorded_workers

    def apply_jobs(self, records: list[StoredRecord]) -> None:
        """Collects or, after `apply_collected`, applies jobs topic records."""
        if self._collected is not None:
            self._collected += records
            return
        for record in records:
            if record.value is not None:
                self._apply(record, loaded=False)
            elif record.key.startswith(CANCELLED_PREFIX):
                self.early_cancellations.on_deleted(record.key)
        if records:
            self._on_change()

    def _apply(self, record: StoredRecord, loaded: bool) -> None:
        """Applies a record; logs one that cannot be decoded.

        Args:
            record: The record, which has a value.
            loaded: Whether this owner read it when it loaded the cell.
        """
        try:
            for prefix, apply in _APPLIERS.items():
                if record.key.startswith(prefix):
                    apply(self, record, loaded)
        except msgspec.MsgspecError as exc:
            event("record_unreadable", "ERROR", key=record.key, reason=exc)

    def _apply_accepted(self, record: StoredRecord, loaded: bool) -> None:
        spec = decode_spec(record.value)
        _check_key(record, ACCEPTED_PREFIX + spec.id)
        now_ms = self._clock.now_ms()
        age_ms = max(0.0, self._wall_ms() - spec.accepted_ms)
        self._check_service(spec, loaded)
        known = spec.id in self._engine.jobs
        submitted_ms = now_ms - age_ms if loaded else now_ms
        job = self._engine.add_job(spec, submitted_ms, loaded)
        if not known and not loaded:
            event("job_read", job=spec.id, queue=spec.queue.name, age_ms=age_ms)
            job.accepted_ms = now_ms - age_ms
        if known:
            self._check_repeat(job.spec, spec)
            if job.is_final:
                self._keep_ended(job, now_ms)
        for cancellation in self.early_cancellations.pop(spec.id):
            self._apply_cancelled(cancellation, loaded)

    def _check_repeat(self, first: JobSpec, spec: JobSpec) -> None:
        """Looks whether a stored job is still the one that was accepted first.

        Only the first one counts. The times of acceptance may differ.
        """
        accepted_ms = first.accepted_ms
        if msgspec.structs.replace(spec, accepted_ms=accepted_ms) == first:
            return
        self.overwritten_jobs.add(spec.id)
        event(
            "job_overwritten",
            job=spec.id,
            queue=spec.queue.name,
            service=spec.queue.service,
            first_queue=first.queue.name,
            first_service=first.queue.service,
        )

    def _keep_ended(self, job: Job, now_ms: float) -> None:
        """Keeps a job that was submitted or cancelled as if it ended now."""
        job.ended_ms = now_ms
        if job.spec.id in self.deleted_jobs:
            event("deleted_job_kept", job=job.spec.id, state=job.state)
            self.deleted_jobs.remove(job.spec.id)
            self.overwritten_jobs.add(job.spec.id)
            job.dirty = True

    def _check_service(self, spec: JobSpec, loaded: bool) -> None:
        """Looks whether the service of a job's queue is recorded.

        If it is not, earlier owners may have known the job with any service,
        which a node of an earlier release has overwritten.
        """
        queue = spec.queue
        pair = QueueService(queue.name, queue.service)
        known = (self._recorded_services, self.unrecorded_services)
        if any(pair in pairs for pairs in known):
            return
        self.unrecorded_services.add(pair)
        self._engine.add_queue_service(queue.name, queue.service)
        if loaded:
            for worker in self._engine.workers.values():
                for service in worker.services:
                    self._engine.add_queue_service(queue.name, service)

    def _apply_queue_service(self, record: StoredRecord, _: bool) -> None:
        pair = decode_queue_service(record.value)
        _check_key(record, pair.key)
        self._recorded_services.add(pair)
        self.unrecorded_services.discard(pair)
        self._engine.add_queue_service(pair.queue, pair.service)

    def _apply_progress(self, record: StoredRecord, loaded: bool) -> None:
        """Applies progress that was loaded.

        Ignores later records, since this owner has appended them itself.
        """
        job = self._engine.jobs.get(record.key.removeprefix(PROGRESS_PREFIX))
        if loaded and job is not None:
            apply_progress(job, record.value, self._clock.now_ms())
            if job.is_final:
                self._engine.open_jobs.pop(job.spec.id, None)

    def _apply_chunk(self, record: StoredRecord, loaded: bool) -> None:
        """Keeps a chunk, to be applied with the progress of its job."""
        if not loaded:
            return
        job = self._engine.jobs.get(chunk_job(record.key))
        chunks = self.stray_chunks if job is None else job.stored_chunks
        chunks[record.key] = record.value

    def _apply_cancelled(self, record: StoredRecord, loaded: bool) -> None:
        """Cancels a job, at once or when it is read."""
        self.stray_keys.discard(record.key)
        job_id = cancelled_job(record.key)
        job = self._engine.jobs.get(job_id)
        if job is None:
            self.early_cancellations.add(record, self._clock.now_ms())
            event("cancellation_kept", job=job_id, key=record.key)
            return
        queue = job.spec.queue.name
        if cancels_jobs_of(record.value, queue):
            event("cancellation_read", job=job_id, state=job.state)
            now_ms = self._clock.now_ms()
            self._engine.cancel_job(job_id, now_ms)
            # It is kept as long as it would be without the job.
            self._keep_ended(job, now_ms)
            return
        event("cancellation_ignored", job=job_id, queue=queue)
        self.stray_keys.add(record.key)

    def _apply_worker(self, record: StoredRecord, loaded: bool) -> None:
        """Adds a worker that an earlier owner recorded; ignores later records.

        Its directory entry counts as missing until it has been read.
        """
        if not loaded:
            return
        stored = decode_record(_worker_decoder, record.value)
        entry = stored.to_entry()
        _check_key(record, WORKER_KEY_PREFIX + entry.id)
        if not math.isfinite(entry.remaining_ms):
            raise msgspec.ValidationError("time that is not finite")
        self._recorded_workers[entry.id] = RecordedState(
            entry.born, entry.draining, stored.stale_leases
        )
        now_ms = self._clock.now_ms()
        worker = self._engine.workers.get(entry.id)
        if worker is not None:
            worker.services |= {entry.service}
            return
        self._engine.set_entry(entry, now_ms)
        self._engine.mark_entry_missing(entry.id, now_ms)

    def apply_entries(self, records: list[StoredRecord]) -> None:
        """Applies directory entries of workers."""
        now_ms = self._clock.now_ms()
        for record in records:
            entry = None
            if record.value is not None:
                entry = self._parse_worker_entry(record)
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
            self._on_change()

    def reset_entries(self, keys: set[str]) -> None:
        """Marks the workers that are not in `keys` as missing."""
        now_ms = self._clock.now_ms()
        for worker_id in self._engine.workers:
            if worker_id not in keys:
                self._engine.mark_entry_missing(worker_id, now_ms)


def _check_key(record: StoredRecord, key: str) -> None:
    """Checks that a record is under the key of what it describes.

    Raises:
        msgspec.ValidationError: If it is not: it would change what the record
            under that key means.
    """
    if record.key != key:
        raise msgspec.ValidationError("the record is under another key")


_APPLIERS = {
    QUEUE_SERVICE_PREFIX: RecordApplier._apply_queue_service,
    ACCEPTED_PREFIX: RecordApplier._apply_accepted,
    CHUNK_PREFIX: RecordApplier._apply_chunk,
    PROGRESS_PREFIX: RecordApplier._apply_progress,
    CANCELLED_PREFIX: RecordApplier._apply_cancelled,
    WORKER_KEY_PREFIX: RecordApplier._apply_worker,
}
