"""Cancellations of jobs that the owner has not read yet.

A node may store a job after its caller has left and cancelled it at another
node. The cancellation then comes first in the store, and may have been answered
before any node but the first one knows of the job.
"""

from limpetyard._events import event
from limpetyard.jobs import cancelled_job
from limpetyard.store import StoredRecord

# Number of these cancellations from which on callers are told to come back.
# Each takes a few hundred bytes.
MAX_EARLY_CANCELLATIONS = 10_000


class EarlyCancellations:
    """Records of cancellations, kept until their job is read or they expire.

    Attributes:
        undone: Records whose key was deleted from the store after they were
            stored, by key: the deletion was on its way when the job was
            cancelled again. They are to be stored once more.
    """

    __slots__ = ("_records", "undone")

    def __init__(self):
        # Records by key and when they were read, by job; oldest first.
        self._records: dict[str, tuple[dict[str, StoredRecord], float]] = {}
        self.undone: dict[str, StoredRecord] = {}

    def full_ms(self, job_id: str, now_ms: float, retention_ms: float) -> float:
        """Returns for how long no cancellation of a job is to be acknowledged.

        Args:
            job_id: Id of the job.
            now_ms: Current time.
            retention_ms: Time for which records are kept.
        """
        is_full = len(self._records) >= MAX_EARLY_CANCELLATIONS
        if not is_full or job_id in self._records:
            return 0.0
        _, read_ms = next(iter(self._records.values()))
        return max(1.0, read_ms + retention_ms - now_ms)

    def add(self, record: StoredRecord, now_ms: float) -> None:
        """Adds a record of a cancellation that was just read."""
        job_id = cancelled_job(record.key)
        records, _ = self._records.pop(job_id, ({}, 0.0))
        records[record.key] = record
        self._records[job_id] = (records, now_ms)
        self.undone.pop(record.key, None)

    def on_deleted(self, key: str) -> None:
        """Handles the deletion of a record from the store."""
        records, _ = self._records.get(cancelled_job(key), ({}, 0.0))
        if key in records:
            event("cancellation_undone", job=cancelled_job(key), key=key)
            self.undone[key] = records[key]

    def pop(self, job_id: str) -> list[StoredRecord]:
        """Removes and returns the records of a job."""
        records, _ = self._records.pop(job_id, ({}, 0.0))
        return list(records.values())

    def pop_expired(self, now_ms: float, retention_ms: float) -> set[str]:
        """Removes old records and returns their keys.

        Args:
            now_ms: Current time.
            retention_ms: Time for which records are kept.
        """
        expired = [
            job_id
            for job_id, (_, read_ms) in self._records.items()
            if now_ms - read_ms > retention_ms
        ]
        return {record.key for job in expired for record in self.pop(job)}
