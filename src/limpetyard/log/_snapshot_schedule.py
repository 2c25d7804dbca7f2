"""Schedules snapshots before the log trims the records that they cover."""

from limpetyard.log._projector import StreamProjector


class SnapshotSchedule:
    """Decides when this process writes the next snapshot of a stream.

    A snapshot is due after a number of records. It is also due after a time
    without any records, because the log trims old snapshots like all other
    records. If there are several writers, those of a higher rank wait longer
    and skip the snapshot if another writer's arrives.
    """

    __slots__ = (
        "_interval_ms",
        "_last_snapshot_ms",
        "_last_snapshot_offset",
        "_records",
        "_written_as_of",
    )

    def __init__(self, records: int, interval_ms: float):
        """Initializes the schedule.

        Args:
            records: Number of new records after which a snapshot is due.
            interval_ms: Time since the last snapshot after which the next is
                due, even without new records.
        """
        self._records = records
        self._interval_ms = interval_ms
        self._written_as_of = -1
        self._last_snapshot_offset = -1
        self._last_snapshot_ms: float | None = None

    def start_if_due(
        self, projector: StreamProjector, now_ms: float, rank: int
    ) -> bool:
        """Returns whether a snapshot is due; if so, counts it as written.

        Args:
            projector: Up to date with the stream.
            now_ms: Current clock reading.
            rank: Rank of this process among the writers, from 0. All limits
                are multiplied by `1 + rank`.
        """
        if not projector.has_base or projector.next_offset == 0:
            return False
        self._note_snapshot(projector, now_ms)
        rank_factor = 1 + rank
        as_of = projector.next_offset - 1
        new_records = as_of - max(projector.snapshot_as_of, self._written_as_of)
        overdue = (
            now_ms - self._last_snapshot_ms >= self._interval_ms * rank_factor
        )
        if new_records < self._records * rank_factor and not overdue:
            return False
        self._written_as_of = as_of
        self._last_snapshot_ms = now_ms
        return True

    def _note_snapshot(self, projector: StreamProjector, now_ms: float) -> None:
        newer = projector.snapshot_offset > self._last_snapshot_offset
        if self._last_snapshot_ms is None or newer:
            self._last_snapshot_offset = projector.snapshot_offset
            self._last_snapshot_ms = now_ms
