"""Folding a stream with limited retention into a state.

A snapshot record holds the state as it stands after the record `as_of`. The
state is a pure function of the records up to there, so it does not matter who
wrote the snapshot or whether the writer still owned anything. A reader that
lacks the beginning of the stream may start from a snapshot exactly if it has
read every record after `as_of`; it then folds these.
"""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import msgspec

from limpetyard.log._interface import Page, Record


class Projection(Protocol):
    """A state that is folded from the records of one stream."""

    def reset(self) -> None:
        """Goes back to the state of an empty stream."""

    def apply(self, offset: int, record: object) -> None:
        """Folds one record in."""

    def load(self, state: msgspec.Raw) -> None:
        """Replaces the state by that of a snapshot."""


class SnapshotLike(Protocol):
    """The snapshot record of a stream."""

    as_of: int
    state: msgspec.Raw


F = TypeVar("F", bound=Projection)


class StreamProjector(Generic[F]):
    """Feeds pages of one stream to a fold.

    Attributes:
        projection: The state that is kept.
        next_offset: The offset that is to be read next.
        based: Whether the state is that of the whole stream so far.
        snapshot_offset: Offset of the newest snapshot that was read, or -1.
        snapshot_as_of: The newest `as_of` of any snapshot read, or -1.
        on_record: Called with each record before it is folded.
    """

    __slots__ = (
        "_decoder",
        "_held",
        "_buffer_start",
        "_snapshot_type",
        "based",
        "projection",
        "next_offset",
        "snapshot_as_of",
        "snapshot_offset",
        "on_record",
    )

    def __init__(
        self,
        projection: F,
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
        """Forgets everything and begins at `offset`."""
        self.projection.reset()
        self.next_offset = offset
        self.based = offset == 0
        self.snapshot_offset = -1
        self.snapshot_as_of = -1
        self._held: list[tuple[int, object]] = []
        self._buffer_start = offset

    def feed(self, page: Page) -> None:
        """Folds the records of a page that starts at `next_offset`."""
        for record in page.records:
            self._feed_record(record)

    def _feed_record(self, raw: Record) -> None:
        if raw.offset != self.next_offset:
            raise ValueError(
                f"record {raw.offset} where {self.next_offset} was due"
            )
        self.next_offset = raw.offset + 1
        if self.on_record is not None:
            self.on_record(raw)
        try:
            record = self._decoder.decode(raw.data)
        except msgspec.MsgspecError:
            # A record that no reader can decode is void for all of them.
            return
        if isinstance(record, self._snapshot_type):
            self._feed_snapshot(raw.offset, record)
        elif self.based:
            self.projection.apply(raw.offset, record)
        else:
            self._held.append((raw.offset, record))

    def _feed_snapshot(self, offset: int, snapshot: SnapshotLike) -> None:
        self.snapshot_offset = offset
        self.snapshot_as_of = max(self.snapshot_as_of, snapshot.as_of)
        usable = snapshot.as_of + 1 >= self._buffer_start
        if self.based or not usable:
            return
        self.projection.load(snapshot.state)
        for held_offset, record in self._held:
            if held_offset > snapshot.as_of:
                self.projection.apply(held_offset, record)
        self._held = []
        self.based = True
