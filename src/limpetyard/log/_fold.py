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


class Fold(Protocol):
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


F = TypeVar("F", bound=Fold)


class StreamFolder(Generic[F]):
    """Feeds pages of one stream to a fold.

    Attributes:
        fold: The state that is kept.
        next_offset: The offset that is to be read next.
        has_base: Whether the state is that of the whole stream so far.
        snapshot_offset: Offset of the newest snapshot that was read, or -1.
        snapshot_as_of: The newest `as_of` of any snapshot read, or -1.
        tap: Called with each record before it is folded.
    """

    __slots__ = (
        "_decoder",
        "_buffer",
        "_held_from",
        "_snapshot_type",
        "has_base",
        "fold",
        "next_offset",
        "snapshot_as_of",
        "snapshot_offset",
        "tap",
    )

    def __init__(
        self,
        fold: F,
        record_type: type,
        snapshot_type: type,
        tap: Callable[[Record], None] | None = None,
    ):
        self.fold = fold
        self.tap = tap
        self._decoder = msgspec.json.Decoder(record_type)
        self._snapshot_type = snapshot_type
        self.restart(0)

    def restart(self, offset: int) -> None:
        """Forgets everything and begins at `offset`."""
        self.fold.reset()
        self.next_offset = offset
        self.has_base = offset == 0
        self.snapshot_offset = -1
        self.snapshot_as_of = -1
        self._buffer: list[tuple[int, object]] = []
        self._held_from = offset

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
        if self.tap is not None:
            self.tap(raw)
        try:
            record = self._decoder.decode(raw.data)
        except msgspec.MsgspecError:
            # A record that no reader can decode is void for all of them.
            return
        if isinstance(record, self._snapshot_type):
            self._feed_snapshot(raw.offset, record)
        elif self.has_base:
            self.fold.apply(raw.offset, record)
        else:
            self._buffer.append((raw.offset, record))

    def _feed_snapshot(self, offset: int, snapshot: SnapshotLike) -> None:
        self.snapshot_offset = offset
        self.snapshot_as_of = max(self.snapshot_as_of, snapshot.as_of)
        usable = snapshot.as_of + 1 >= self._held_from
        if self.has_base or not usable:
            return
        self.fold.load(snapshot.state)
        for buffered_offset, record in self._buffer:
            if buffered_offset > snapshot.as_of:
                self.fold.apply(buffered_offset, record)
        self._buffer = []
        self.has_base = True
