"""Derives a projection, the state of a stream with limited retention.

A snapshot record holds the state after the record at offset `as_of`. The state
is a pure function of the records up to that offset, so a snapshot is valid
whoever wrote it, even a writer that no longer owned anything. A reader that
lacks the beginning of the stream may start from a snapshot if and only if it
has read every record after `as_of`; it then applies these records.
"""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec

from limpetyard.log._interface import Page, Record


class Projection(Protocol):
    """State derived by applying the records of one stream in order."""

    def reset(self) -> None:
        """Resets to the state of an empty stream."""

    def apply(self, offset: int, record: object) -> None:
        """Applies one record."""

    def load(self, state: msgspec.Raw) -> None:
        """Replaces the state with that of a snapshot."""


class SnapshotLike(Protocol):
    """Fields that the snapshot record of any stream has."""

    as_of: int
    state: msgspec.Raw


_ProjectionT = TypeVar("_ProjectionT", bound=Projection)


class StreamProjector(Generic[_ProjectionT]):
    """Applies the records of one stream to a projection.

    Attributes:
        projection: The derived state.
        next_offset: Offset of the next record to read.
        has_base: Whether the projection reflects the whole stream up to
            `next_offset`. If not, records are buffered until a usable
            snapshot is read.
        snapshot_offset: Offset of the latest snapshot read, or -1.
        snapshot_as_of: Largest `as_of` of the snapshots read, or -1.
        on_record: Called with each raw record before it is applied.
    """

    __slots__ = (
        "_buffer",
        "_buffer_start",
        "_decoder",
        "_snapshot_type",
        "has_base",
        "next_offset",
        "on_record",
        "projection",
        "snapshot_as_of",
        "snapshot_offset",
    )

    def __init__(
        self,
        projection: _ProjectionT,
        record_type: type,
        snapshot_type: type,
        on_record: Callable[[Record], None] | None = None,
    ):
        self.projection = projection
        self.on_record = on_record
        self._decoder = msgspec.json.Decoder(record_type)
        self._snapshot_type = snapshot_type
        self.restart(0)

    def restart(self, offset: int) -> None:
        """Resets the projection and continues with the record at `offset`."""
        self.projection.reset()
        self.next_offset = offset
        self.has_base = offset == 0
        self.snapshot_offset = -1
        self.snapshot_as_of = -1
        self._buffer: list[tuple[int, object]] = []
        self._buffer_start = offset

    def apply_page(self, page: Page) -> None:
        """Applies the records of a page that starts at `next_offset`.

        Raises:
            ValueError: If the offsets have a gap or do not match.
        """
        for record in page.records:
            self.apply_record(record)

    def apply_record(self, raw: Record) -> None:
        """Applies the record at `next_offset`.

        Raises:
            ValueError: If the record has another offset.
        """
        if raw.offset != self.next_offset:
            raise ValueError(
                f"record at offset {raw.offset},"
                f" expected offset {self.next_offset}"
            )
        self.next_offset = raw.offset + 1
        if self.on_record is not None:
            self.on_record(raw)
        try:
            record = self._decoder.decode(raw.data)
        except msgspec.MsgspecError:
            # Skipping keeps all readers in agreement: no reader can decode it.
            return
        if isinstance(record, self._snapshot_type):
            self._apply_snapshot(raw.offset, record)
        elif self.has_base:
            self.projection.apply(raw.offset, record)
        else:
            self._buffer.append((raw.offset, record))

    def _apply_snapshot(self, offset: int, snapshot: SnapshotLike) -> None:
        self.snapshot_offset = offset
        self.snapshot_as_of = max(self.snapshot_as_of, snapshot.as_of)
        usable = snapshot.as_of + 1 >= self._buffer_start
        if self.has_base or not usable:
            return
        self.projection.load(snapshot.state)
        for buffered_offset, record in self._buffer:
            if buffered_offset > snapshot.as_of:
                self.projection.apply(buffered_offset, record)
        self._buffer = []
        self.has_base = True
