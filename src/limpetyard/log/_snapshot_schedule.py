"""When a snapshot has to be written before the log drops what it needs."""

from limpetyard.log._projector import StreamProjector


class SnapshotSchedule:
    """Decides when this process writes the next snapshot of a stream.

    A snapshot is due after so many records, and after so long even without
    any, because the log drops old snapshots like all else. Of several writers
    those of a higher rank wait longer, and write nothing if they see one.
    """

    __slots__ = (
        "_interval_ms",
        "_records",
        "_seen_ms",
        "_seen_offset",
        "_sent",
    )

    def __init__(self, records: int, interval_ms: float):
        """Makes a plan.

        Args:
            records: Records after which a snapshot is due.
            interval_ms: Time after which it is due in any case.
        """
        self._records = records
        self._interval_ms = interval_ms
        self._sent = -1
        self._seen_offset = -1
        self._seen_ms: float | None = None

    def due(self, projector: StreamProjector, now_ms: float, rank: int) -> bool:
        """Returns whether to write one now, and counts it as written.

        Args:
            projector: Level with the stream.
            now_ms: Present reading of the clock.
            rank: Place in the order of the writers, from 0.
        """
        if not projector.based or projector.next_offset == 0:
            return False
        self._look(projector, now_ms)
        patience = 1 + rank
        as_of = projector.next_offset - 1
        new_records = as_of - max(projector.snapshot_as_of, self._sent)
        late = now_ms - self._seen_ms >= self._interval_ms * patience
        if new_records < self._records * patience and not late:
            return False
        self._sent = as_of
        self._seen_ms = now_ms
        return True

    def _look(self, projector: StreamProjector, now_ms: float) -> None:
        newer = projector.snapshot_offset > self._seen_offset
        if self._seen_ms is None or newer:
            self._seen_offset = projector.snapshot_offset
            self._seen_ms = now_ms
