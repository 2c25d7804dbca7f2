"""What limpetyard asks of the platform's log."""

from typing import Protocol

import msgspec


class Record(msgspec.Struct, frozen=True):
    """One record of a stream.

    Attributes:
        offset: Place in the stream, counted from 0 without gaps.
        data: JSON text of the record.
    """

    offset: int
    data: str


class Page(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    Attributes:
        first: Offset of the oldest record that the log still keeps.
        end: Offset that the next append will get, when the read was served.
        records: Records from the offset asked for, in order.
    """

    first: int
    end: int
    records: list[Record]


class Log(Protocol):
    """Streams that only grow at their end and lose their oldest records."""

    async def append(self, stream: str, data: str) -> int:
        """Appends one record and returns its offset.

        Raises:
            LogUnavailableError: If no answer came; the record may stand in the
                stream now, later or never.
        """

    async def read(
        self, stream: str, offset: int, limit: int, wait_ms: int
    ) -> Page:
        """Reads records from `offset` on.

        Args:
            stream: Name of the stream.
            offset: First offset wanted.
            limit: Largest number of records to return; 0 asks for the bounds.
            wait_ms: How long the log may hold the call while there is nothing.

        Raises:
            OffsetTrimmedError: If `offset` is no longer kept.
            LogUnavailableError: If no answer came.
        """
