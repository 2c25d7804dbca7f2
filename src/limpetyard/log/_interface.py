"""Interface of the platform's log."""

from typing import Protocol

import msgspec


class Record(msgspec.Struct, frozen=True):
    """One record of a stream.

    Attributes:
        offset: Position in the stream; starts at 0, without gaps.
        data: JSON text of the record.
    """

    offset: int
    data: str


class Page(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    Attributes:
        first: Offset of the oldest record that the log retains.
        end: Offset of the next append, at the time the read was served.
        records: Records starting at the requested offset, in order.
    """

    first: int
    end: int
    records: list[Record]


class Log(Protocol):
    """Append-only streams that are trimmed from their beginning."""

    async def append(self, stream: str, data: str) -> int:
        """Appends one record and returns its offset.

        Raises:
            LogUnavailableError: If no valid response arrived; the record may
                have been appended, may be appended later, or never.
        """

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> Page:
        """Reads records starting at `offset`.

        Args:
            stream: Name of the stream.
            offset: Offset of the first record to return.
            limit: Maximum number of records; 0 returns the bounds only.
            wait_ms: Long-poll time-out: how long the log may hold the call
                while there are no records.

        Raises:
            OffsetTrimmedError: If the record at `offset` was trimmed.
            LogUnavailableError: If no valid response arrived.
        """
