"""In-memory model of the platform's append-only log."""

from limpetyard.errors import OffsetTrimmedError
from limpetyard.log import Page, Record


class LogModel:
    """Streams of records with limited retention.

    Attributes:
        appends: Number of appends, by stream.
        bytes: Number of characters of all appended records, by stream.
        reads: Number of reads.
        archive: All records ever appended, by stream; for checkers only.
    """

    def __init__(self):
        self.appends: dict[str, int] = {}
        self.bytes: dict[str, int] = {}
        self.reads = 0
        self.archive: dict[str, list[Record]] = {}
        self._first: dict[str, int] = {}
        self._records: dict[str, list[Record]] = {}

    def append(self, stream: str, data: str) -> int:
        """Appends one record and returns its offset."""
        records = self._records.setdefault(stream, [])
        offset = self._first.get(stream, 0) + len(records)
        records.append(Record(offset, data))
        self.archive.setdefault(stream, []).append(records[-1])
        self.appends[stream] = self.appends.get(stream, 0) + 1
        self.bytes[stream] = self.bytes.get(stream, 0) + len(data)
        return offset

    def end(self, stream: str) -> int:
        """Returns the offset that the next append gets."""
        records = self._records.get(stream, [])
        return self._first.get(stream, 0) + len(records)

    def read(self, stream: str, offset: int, limit: int) -> Page:
        """Returns up to `limit` records from `offset` on.

        Raises:
            OffsetTrimmedError: If `limit` is not 0 and the offset is below the
                retained range.
        """
        self.reads += 1
        first = self._first.get(stream, 0)
        if limit and offset < first:
            raise OffsetTrimmedError(stream, offset, first)
        records = self._records.get(stream, [])
        start = max(0, offset - first)
        return Page(first, self.end(stream), records[start : start + limit])

    def trim(self, stream: str, keep: int) -> None:
        """Trims a stream to its newest `keep` records."""
        records = self._records.get(stream, [])
        drop = max(0, len(records) - keep)
        self._first[stream] = self._first.get(stream, 0) + drop
        del records[:drop]

    def streams(self) -> list[str]:
        """Returns the names of all streams."""
        return list(self._records)
