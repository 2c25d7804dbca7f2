"""When a snapshot has to be written before the log drops what it needs."""

from limpetyard.log._fold import StreamFolder


class SnapshotPlan:
    """Decides when this process writes the next snapshot of a stream.

    A snapshot is due after so many records, and after so long even without
    any, because the log drops old snapshots like all else. Of several writers
    those of a higher rank wait longer, and write nothing if they see one.
    """

    __slots__ = (
        "_interval_ms",
        "_records",
        "_last_snapshot_ms",
        "_last_snapshot_offset",
        "_written_as_of",
    )

    def __init__(self, records: int, interval_ms: float):
        """Makes a plan.

        Args:
            records: Records after which a snapshot is due.
            interval_ms: Time after which it is due in any case.
        """
        self._records = records
        self._interval_ms = interval_ms
        self._written_as_of = -1
        self._last_snapshot_offset = -1
        self._last_snapshot_ms: float | None = None

    def due(self, folder: StreamFolder, now_ms: float, rank: int) -> bool:
        """Returns whether to write one now, and counts it as written.

        Args:
            folder: Level with the stream.
            now_ms: Present reading of the clock.
            rank: Place in the order of the writers, from 0.
        """
        if not folder.has_base or folder.next_offset == 0:
            return False
        self._note_snapshot(folder, now_ms)
        rank_factor = 1 + rank
        as_of = folder.next_offset - 1
        new_records = as_of - max(folder.snapshot_as_of, self._written_as_of)
        overdue = (
            now_ms - self._last_snapshot_ms >= self._interval_ms * rank_factor
        )
        if new_records < self._records * rank_factor and not overdue:
            return False
        self._written_as_of = as_of
        self._last_snapshot_ms = now_ms
        return True

    def _note_snapshot(self, folder: StreamFolder, now_ms: float) -> None:
        newer = folder.snapshot_offset > self._last_snapshot_offset
        if self._last_snapshot_ms is None or newer:
            self._last_snapshot_offset = folder.snapshot_offset
            self._last_snapshot_ms = now_ms
